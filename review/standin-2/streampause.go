package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// streamPause: one of two writers hangs in the middle of its work, for less than the 5 s after which a client may not be
// left waiting, and writes on.
func streamPause(env *environment) (result, error) {
	const (
		requests = 12
		step     = 200 * time.Millisecond
		hangAt   = 3 * time.Second // after the first request
		hang     = 3700 * time.Millisecond
	)
	var (
		mu        sync.Mutex
		hangFrom  time.Time // zero before the first request
		lastEvent = map[string]time.Time{}
	)
	f, err := startFleet(env.record, 2, 2, func(e *engine) {
		e.events = 30
		e.gap = func(string, int) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			now := time.Now()
			end := hangFrom.Add(hang)
			if next := now.Add(step); env.trouble && e.ID == "s-w1" && !next.Before(hangFrom) && next.Before(end) {
				return end.Sub(now)
			}
			return step
		}
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
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: requests}}
	var (
		cut, longest = 0, time.Duration(0)
		all          sync.WaitGroup
	)
	mu.Lock()
	hangFrom = time.Now().Add(hangAt)
	mu.Unlock()
	if env.trouble {
		env.record.printf("s-w1 hangs for %v, in %v", hang, hangAt)
	}
	for i := range requests {
		q := request{
			id: fmt.Sprintf("4b6f03aa5c7e2d%02d", i), class: []string{"explain", "review-post"}[i/2%2], deadline: 4 * time.Second,
			promptTokens: 400,
		}
		all.Go(func() {
			a := q.send(context.Background(), client, n.listen, func(string) {
				mu.Lock()
				lastEvent[q.id] = time.Now()
				mu.Unlock()
			})
			mu.Lock()
			defer mu.Unlock()
			silent := time.Since(lastEvent[q.id])
			env.record.printf("client: %s, class %s: status %d, whole %t, after %.1f s, %.2f s after its last event: %v",
				q.id, q.class, a.status, a.complete, a.took.Seconds(), silent.Seconds(), a.err)
			if a.status == http.StatusOK && !a.complete {
				cut++
				longest = max(longest, silent)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond) // the engines' lines
	return result{cut > 0, fmt.Sprintf("%d of %d streams were cut off by the node, at most %.2f s after their last event",
		cut, requests, longest.Seconds())}, nil
}
