package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// dedup is what all engines together remember of keyed requests: a repeat within the window is dropped, a later one runs.
type dedup struct {
	mu     sync.Mutex
	window time.Duration
	ran    map[string]time.Time // when a request first ran
	twice  map[string]time.Duration
}

// begin reports whether the request runs now.
func (d *dedup) begin(id string) (runs bool, after time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	first, known := d.ran[id]
	if !known {
		d.ran[id] = time.Now()
		return true, 0
	}
	after = time.Since(first)
	if after <= d.window {
		return false, after
	}
	d.twice[id] = after
	return true, after
}

// keyedWindow: the connection of a keyed request is reset after the request has begun at one writer, and the other writer
// hangs for some seconds; the repeat, with a long prompt, reaches it when it runs again.
func keyedWindow(env *environment) (result, error) {
	const (
		requests     = 1
		promptTokens = 55000 // 220,000 bytes
		window       = 2 * time.Second
		hang         = 4 * time.Second
	)
	var (
		memory = &dedup{window: window, ran: map[string]time.Time{}, twice: map[string]time.Duration{}}
		gates  = map[string]*gate{"s-w1": newGate(), "s-w2": newGate()}
		other  = map[string]string{"s-w1": "s-w2", "s-w2": "s-w1"}
	)
	f, err := startFleet(env.record, 2, 2, func(e *engine) {
		e.readTime, e.events, e.localRead = 20*time.Millisecond, 10, true
		id := e.ID
		if gates[id] == nil {
			return
		}
		e.listen = func(l net.Listener) net.Listener { return gatedListener{l, gates[id]} }
		e.begun = func(w http.ResponseWriter, request string) bool {
			runs, after := memory.begin(request)
			switch {
			case runs && after == 0:
				env.record.printf("%s: %s runs", id, request)
			case runs:
				env.record.printf("%s: %s RUNS AGAIN, %.2f s after it first ran; its repeats are known for %v", id, request, after.Seconds(), window)
				return true
			default:
				env.record.printf("%s: %s is a repeat %.2f s later, not run again", id, request, after.Seconds())
				return true
			}
			if env.trouble {
				g := gates[other[id]]
				g.hang()
				env.record.printf("%s hangs for %v", other[id], hang)
				time.AfterFunc(hang, func() {
					env.record.printf("%s runs again; bytes that had come to it on each connection: %v", other[id], g.run())
				})
			}
			time.Sleep(50 * time.Millisecond)
			reset(w)
			env.record.printf("%s: the connection of %s is reset", id, request)
			return false
		}
	})
	if err != nil {
		return result{}, err
	}
	n, err := f.startNode(env, "n1", 1, likeKaraganda, func(s map[string]any) {
		order := s["Classes"].([]any)[1].(map[string]any)
		order["Repeat"], order["Group"], order["Window"] = "guarded", "all", window.Microseconds()
	})
	if err != nil {
		return result{}, err
	}
	defer n.kill()
	time.Sleep(time.Second)
	client := &http.Client{Transport: &http.Transport{}}
	for i := range requests {
		q := request{
			id: fmt.Sprintf("a7d503aa5c7e2d%02d", i), class: "order", deadline: 15 * time.Second, promptTokens: promptTokens,
		}
		env.record.printf("client sends %s, class order, keyed", q.id)
		a := q.send(context.Background(), client, n.listen, nil)
		env.record.printf("client: %s: status %d, whole %t, after %.2f s: %v", q.id, a.status, a.complete, a.took.Seconds(), a.err)
		time.Sleep(hang/2 + time.Second)
	}
	time.Sleep(hang)
	memory.mu.Lock()
	defer memory.mu.Unlock()
	longest := time.Duration(0)
	for _, after := range memory.twice {
		longest = max(longest, after)
	}
	return result{len(memory.twice) > 0, fmt.Sprintf("%d of %d keyed requests ran twice, the second time up to %.2f s after the first (window %v)",
		len(memory.twice), requests, longest.Seconds(), window)}, nil
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if gated, ok := c.(gatedConn); ok {
		gated.Conn.(*net.TCPConn).SetLinger(0) //nolint:errcheck // the close follows
	}
	c.Close()
}
