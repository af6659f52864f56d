package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// nestedClients is how many requests the bad clients send at once.
	nestedClients = 200
	// nestedBodyBytes is the size of their bodies, the largest that the protocol page allows.
	nestedBodyBytes = 256 << 10
	// nestedPoll is how often the platform looks at the node's memory.
	nestedPoll = 2 * time.Millisecond
	// nestedOrders is how many usual clients have a stream under way meanwhile.
	nestedOrders = 5
)

// nested plays clients that send hundreds of requests at once that can't be read: their bodies, of 256 KiB, hold nothing
// but opening brackets. The platform kills a node that is over its limit on memory; only pages that belong to no file
// are counted here.
func nested(env *environment) (bool, string, error) {
	s := karaganda()
	c, err := startCluster(env, 2, 2)
	if err != nil {
		return false, "", err
	}
	for _, w := range c.writers {
		w.events = 40
	}
	n, err := c.startNode(env, &s)
	defer n.stop()
	if err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	peakKB, killed := 0, false
	var platform sync.WaitGroup
	platform.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(nestedPoll):
			}
			kb := n.anonymousKB()
			peakKB = max(peakKB, kb)
			if kb > memoryMB<<10 && !killed {
				killed = true
				env.rec.add("platform: the node holds %d MB, its limit is %d MB: killed", kb>>10, memoryMB)
				n.signal(syscall.SIGKILL)
			}
		}
	})
	var group sync.WaitGroup
	orders := make([]reply, nestedOrders)
	for i := range orders {
		group.Go(func() { orders[i] = s.ask(env, n, fmt.Sprintf("order%02d", i), s.classes[1], usualBody) })
	}
	time.Sleep(time.Second)
	body := usualBody
	if env.trouble {
		body = `{"a":` + strings.Repeat("[", nestedBodyBytes-len(`{"a":`))
	}
	for i := range nestedClients {
		group.Go(func() { s.ask(env, n, fmt.Sprintf("many%03d", i), s.classes[0], body) })
	}
	group.Wait()
	time.Sleep(time.Second)
	close(stop)
	platform.Wait()
	cut := 0
	for i := range orders {
		if !orders[i].whole || orders[i].status != 200 {
			cut++
		}
	}
	held := !killed && n.running()
	return held, fmt.Sprintf("the node held up to %d MB of %d MB, killed: %v; %d of %d orders under way were cut off",
		peakKB>>10, memoryMB, killed, cut, nestedOrders), nil
}
