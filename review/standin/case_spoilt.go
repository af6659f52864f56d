package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// spoiltEndWithin is the time in which the client's connection must end after the engine's last event, with the 50 ms
	// of every time limit on sockets.
	spoiltEndWithin = 5*time.Second + 50*time.Millisecond
	spoiltClients   = 6
	// The spoilt chunk keeps coming at the rate of the tokens before it.
	spoiltBytes    = 75
	spoiltInterval = 60 * time.Millisecond
)

// spoiltStream plays writers whose stream is spoilt after its third event: a chunk said to hold 3 GB that keeps coming.
func spoiltStream(env *environment) (bool, string, error) {
	s := karaganda()
	c, err := startCluster(env, 1, 2)
	if err != nil {
		return false, "", err
	}
	for _, w := range c.writers {
		if env.trouble {
			w.answer = (*engine).streamSpoilt
		}
	}
	n, err := c.startNode(env, &s)
	defer n.stop()
	if err != nil {
		return false, "", err
	}
	replies := make([]reply, spoiltClients)
	var group sync.WaitGroup
	for i := range replies {
		group.Go(func() { replies[i] = s.ask(env, n, fmt.Sprintf("spoilt%02d", i), s.classes[i%2], usualBody) })
	}
	group.Wait()
	late, longest := 0, time.Duration(0)
	for i := range replies {
		r := &replies[i]
		if r.lastEvent.IsZero() || !env.trouble && !r.whole {
			return false, "", fmt.Errorf("client %d got no stream: %v", i, r)
		}
		waited := r.endedAt.Sub(r.lastEvent)
		env.rec.add("client: spoilt%02d: the answer ended, or the client gave up, %.2f s after the last event", i, waited.Seconds())
		longest = max(longest, waited)
		if waited > spoiltEndWithin {
			late++
		}
	}
	return late == 0, fmt.Sprintf("%d of %d clients were left waiting over %v after the last event, the longest %.1f s",
		late, spoiltClients, spoiltEndWithin, longest.Seconds()), nil
}

// streamSpoilt sends three events, then a chunk that is said to hold 3 GB and keeps coming until the node closes.
func (e *engine) streamSpoilt(conn net.Conn, req *http.Request) bool {
	id, text := req.Header.Get("Req-Id"), streamHead
	for i := range 3 {
		if write(conn, text+chunk(tokenEvent(i))) != nil {
			return false
		}
		text = ""
		time.Sleep(eventInterval)
	}
	e.rec.add("engine %s: %s: spoilt from here: a chunk said to hold b2d05e00 (hexadecimal) bytes", e.member.ID, id)
	started := time.Now()
	err := write(conn, "b2d05e00\r\n")
	for err == nil && time.Since(started) < clientPatience+5*time.Second {
		time.Sleep(spoiltInterval)
		err = write(conn, strings.Repeat("x", spoiltBytes))
	}
	e.rec.add("engine %s: %s: the node closed %.1f s after that (%v)", e.member.ID, id, time.Since(started).Seconds(), err)
	return false
}
