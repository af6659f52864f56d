// Command benchlink joins the decision module to the simulator's wire: one Router an instance, nothing shared.
package main

import (
	"brackenbend/internal/simprotocol"
	"brackenbend/routing"
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec := simprotocol.NewDecoder(bufio.NewReaderSize(in, 1<<16))
	w := bufio.NewWriter(out)
	routers := map[uint16]*routing.Router{}
	var buf []byte
	for {
		batch, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply := simprotocol.NewReply(buf, batch.Seq)
		if err := answer(batch, routers, reply); err != nil {
			return err
		}
		buf = reply.Bytes()
		if _, err := w.Write(buf); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("reply %d: %w", batch.Seq, err)
		}
	}
}

// answer steps each instance named in the batch once, with its events in order.
func answer(b *simprotocol.Batch, routers map[uint16]*routing.Router, reply *simprotocol.Reply) error {
	events := map[uint16][]routing.Event{}
	var order []uint16
	for _, it := range b.Items {
		switch ev := it.Event.(type) {
		case simprotocol.Stop:
			delete(routers, it.Instance)
			events[it.Instance] = nil
		case simprotocol.Start:
			s, err := simprotocol.ParseSettings(ev.Info)
			if err != nil {
				return fmt.Errorf("instance %d: %w", it.Instance, err)
			}
			r, err := routing.New(s, ev.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", it.Instance, err)
			}
			routers[it.Instance], events[it.Instance] = r, nil
		case routing.Event:
			if _, ok := routers[it.Instance]; !ok {
				return fmt.Errorf("batch %d: event for instance %d, which has not started", b.Seq, it.Instance)
			}
			if len(events[it.Instance]) == 0 {
				order = append(order, it.Instance)
			}
			events[it.Instance] = append(events[it.Instance], ev)
		}
	}
	for _, inst := range order {
		evs := events[inst]
		events[inst] = nil
		if len(evs) == 0 {
			continue
		}
		actions, fault := step(routers[inst], b, evs)
		if fault != "" {
			reply.Fault(inst, fault)
			continue
		}
		if err := reply.Add(inst, actions); err != nil {
			return err
		}
	}
	return nil
}

// step turns a panic of the module into a fault with its text.
func step(r *routing.Router, b *simprotocol.Batch, evs []routing.Event) (actions []routing.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			fault = fmt.Sprintf("decision module: %v", p)
		}
	}()
	return r.Step(b.Now, evs), ""
}
