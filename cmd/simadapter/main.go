// Command simadapter connects routers to the operators' simulator: it reads batches from standard input and writes a
// reply to each to standard output. Each instance that the simulator names has its own router, and routers share no
// state. Everything runs in one goroutine.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"brackenbend/internal/simprotocol"
	"brackenbend/routing"
)

// inputBufferSize is the size in bytes of the buffer on standard input, which saves system calls for small batches.
const inputBufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(input io.Reader, output io.Writer) error {
	decoder := simprotocol.NewDecoder(bufio.NewReaderSize(input, inputBufferSize))
	writer := bufio.NewWriter(output)
	adapter := &adapter{routers: map[uint16]*routing.Router{}}
	var replyBuffer []byte
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply := simprotocol.NewReply(replyBuffer, batch.Seq)
		if err := adapter.handleBatch(batch, reply); err != nil {
			return err
		}
		replyBuffer = reply.Bytes()
		if _, err := writer.Write(replyBuffer); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
		if err := writer.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
	}
}

// adapter steps the routers of the running instances.
type adapter struct {
	routers map[uint16]*routing.Router
}

// instanceEvents are the routing events of a batch by instance.
type instanceEvents struct {
	byInstance    map[uint16][]routing.Event
	instanceOrder []uint16 // instances by first event; those restarted in the batch may be in it twice
}

func (e *instanceEvents) add(instance uint16, event routing.Event) {
	if len(e.byInstance[instance]) == 0 {
		e.instanceOrder = append(e.instanceOrder, instance)
	}
	e.byInstance[instance] = append(e.byInstance[instance], event)
}

// remove deletes and returns the events of an instance.
func (e *instanceEvents) remove(instance uint16) []routing.Event {
	events := e.byInstance[instance]
	delete(e.byInstance, instance)
	return events
}

// handleBatch steps the router of each instance that has events in the batch, once with all of these events in order,
// and adds its actions to the reply, or a fault if the step failed.
func (a *adapter) handleBatch(batch *simprotocol.Batch, reply *simprotocol.Reply) error {
	events, err := a.collectEvents(batch)
	if err != nil {
		return err
	}
	for _, instance := range events.instanceOrder {
		stepEvents := events.remove(instance)
		if len(stepEvents) == 0 { // stopped, or answered already
			continue
		}
		actions, err := step(a.routers[instance], batch, stepEvents)
		if err != nil {
			reply.AddFault(instance, err.Error())
			continue
		}
		if err := reply.Add(instance, actions); err != nil {
			return err
		}
	}
	return nil
}

// collectEvents starts and stops instances and returns the events of those that run. It drops events that precede a
// start or a stop of their instance in the same batch.
func (a *adapter) collectEvents(batch *simprotocol.Batch) (*instanceEvents, error) {
	events := &instanceEvents{byInstance: map[uint16][]routing.Event{}}
	for _, item := range batch.Items {
		switch event := item.Event.(type) {
		case simprotocol.Start:
			if err := a.start(item.Instance, event); err != nil {
				return nil, fmt.Errorf("instance %d: %w", item.Instance, err)
			}
			events.remove(item.Instance)
		case simprotocol.Stop:
			delete(a.routers, item.Instance)
			events.remove(item.Instance)
		case routing.Event:
			if _, running := a.routers[item.Instance]; !running {
				return nil, fmt.Errorf("batch %d: event for instance %d, which has not started", batch.Seq, item.Instance)
			}
			events.add(item.Instance, event)
		}
	}
	return events, nil
}

// start gives an instance a new router.
func (a *adapter) start(instance uint16, start simprotocol.Start) error {
	config, err := simprotocol.ParseSettings(start.Settings)
	if err != nil {
		return err
	}
	router, err := routing.New(config, start.Seed)
	if err != nil {
		return err
	}
	a.routers[instance] = router
	return nil
}

// step returns the actions of a router's step. It turns a panic of the router into an error, so that the other
// instances keep running.
func step(
	router *routing.Router, batch *simprotocol.Batch, events []routing.Event,
) (actions []routing.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			actions, err = nil, fmt.Errorf("decision module: %v", p)
		}
	}()
	return router.Step(batch.Now, events), nil
}
