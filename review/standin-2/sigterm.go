package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// sigtermStream: a planned restart while answers stream that take longer than the platform's least time to SIGKILL.
func sigtermStream(env *environment) (result, error) {
	const (
		requests  = 4
		killAfter = 15 * time.Second // the platform's SIGKILL: no sooner than the longest deadline, counted as 3 s, plus 0.7 s
	)
	f, err := startFleet(env.record, 2, 2, func(e *engine) {
		e.events = 40 // 160 tokens, 4 a piece, 50 ms each: 8 s
		e.gap = func(string, int) time.Duration { return 200 * time.Millisecond }
	})
	if err != nil {
		return result{}, err
	}
	n, err := f.startNode(env, "n1", 1)
	if err != nil {
		return result{}, err
	}
	defer n.kill()
	time.Sleep(time.Second)
	var (
		mu      sync.Mutex
		answers = map[string]answer{}
		begun   = make(chan struct{}, requests)
		all     sync.WaitGroup
	)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests}}
	for i := range requests {
		q := request{
			id: fmt.Sprintf("9b1f03aa5c7e2d%02x", i), class: []string{"explain", "review-post"}[i%2], deadline: 4 * time.Second,
			promptTokens: 400,
		}
		all.Go(func() {
			env.record.printf("client sends %s, class %s", q.id, q.class)
			first := sync.OnceFunc(func() { begun <- struct{}{} })
			a := q.send(context.Background(), client, n.listen, func(string) { first() })
			env.record.printf("client: %s: status %d, whole %t, %.1f s, %v", q.id, a.status, a.complete, a.took.Seconds(), a.err)
			mu.Lock()
			answers[q.id] = a
			mu.Unlock()
		})
	}
	for range requests {
		select {
		case <-begun:
		case <-time.After(5 * time.Second):
			return result{}, fmt.Errorf("no stream within 5 s")
		}
	}
	if env.trouble {
		n.signal(syscall.SIGTERM)
		terminated := time.Now()
		timer := time.AfterFunc(killAfter, func() { n.signal(syscall.SIGKILL) })
		defer timer.Stop()
		defer func() {
			select {
			case <-n.ended:
			case <-time.After(2 * time.Second):
			}
			env.record.printf("the node runs: %t, %.1f s after SIGTERM", n.running(), time.Since(terminated).Seconds())
		}()
	}
	all.Wait()
	lost := 0
	for _, a := range answers {
		if a.status == http.StatusOK && !a.complete {
			lost++
		}
	}
	time.Sleep(500 * time.Millisecond) // the engines' lines
	return result{lost > 0, fmt.Sprintf("%d of %d streams were cut off while their engines wrote on", lost, requests)}, nil
}
