package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// traffic sends requests of both classes at a rate until ctx ends.
type traffic struct {
	env      *environment
	address  func() string
	perS     float64
	group    sync.WaitGroup
	whole    atomic.Int64
	cut      atomic.Int64
	refused  atomic.Int64 // 429 or 503
	failed   atomic.Int64
	noAnswer atomic.Int64
}

func (t *traffic) run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	t.group.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			q := request{
				id: fmt.Sprintf("5e0a%012x", i), class: []string{"explain", "review-post"}[i%2], deadline: 4 * time.Second, promptTokens: 400,
			}
			t.group.Go(func() {
				a := q.send(context.Background(), client, t.address(), nil)
				counter := &t.failed
				switch {
				case a.status == http.StatusOK && a.complete:
					counter = &t.whole
				case a.status == http.StatusOK:
					counter = &t.cut
				case a.status == 0:
					counter = &t.noAnswer
				case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
					counter = &t.refused
				}
				counter.Add(1)
				if counter != &t.whole {
					t.env.record.printf("client: %s, class %s: status %d, whole %t, %v", q.id, q.class, a.status, a.complete, a.err)
				}
			})
			time.Sleep(time.Duration(float64(time.Second) / t.perS))
		}
	})
}

func (t *traffic) String() string {
	return fmt.Sprintf("%d answers whole, %d cut, %d refused, %d failed, %d without an answer", t.whole.Load(), t.cut.Load(),
		t.refused.Load(), t.failed.Load(), t.noAnswer.Load())
}

// slowDiscovery: discovery takes half a second to answer each call; meanwhile all writers are replaced, one by one.
func slowDiscovery(env *environment) (result, error) {
	const (
		answerAfter = 500 * time.Millisecond
		toldAfter   = 6 * time.Second        // after discovery had it and could be reached
		stopWithin  = 300 * time.Millisecond // StopSendingWithin, and 50 ms
	)
	var (
		mu     sync.Mutex
		left   = map[string]time.Time{} // when discovery had that it drains
		late   = map[string]int{}
		latest time.Duration
	)
	configure := func(e *engine) {
		e.events, e.gap = 5, func(string, int) time.Duration { return 100 * time.Millisecond }
		id := e.ID
		e.arrived = func(request string) {
			mu.Lock()
			defer mu.Unlock()
			if at, ok := left[id]; ok && time.Since(at) > toldAfter+stopWithin {
				late[id]++
				latest = max(latest, time.Since(at))
				env.record.printf("%s: %s arrives %.2f s after discovery had that it drains", id, request, time.Since(at).Seconds())
			}
		}
	}
	f, err := startFleet(env.record, 2, 2, configure)
	if err != nil {
		return result{}, err
	}
	n, err := f.startNode(env, "n1", 1)
	if err != nil {
		return result{}, err
	}
	defer n.kill()
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{env: env, address: func() string { return n.listen }, perS: 20}
	t.run(ctx)
	defer t.group.Wait()
	defer cancel()

	time.Sleep(5 * time.Second)
	if env.trouble {
		f.discovery.slow(answerAfter)
		env.record.printf("from now on discovery takes %v for each answer", answerAfter)
	}
	time.Sleep(5 * time.Second)
	states := f.engines[0].states
	for i := range 2 { // a new writer, then an old one drains
		e := &engine{
			member: member{ID: fmt.Sprintf("s-w%d", i+3), Locality: "nbo-west", Flavor: "decode", Cell: 1}, record: env.record,
			states: states, readTime: 30 * time.Millisecond, firstTime: 30 * time.Millisecond,
		}
		configure(e)
		if err := e.start(); err != nil {
			return result{}, err
		}
		e.UpSince = time.Now().UnixMilli()
		f.discovery.change(e.member)
		time.Sleep(time.Second)
		old := f.engines[2+i]
		old.member.Phase = "Terminating"
		at := f.discovery.change(old.member)
		mu.Lock()
		left[old.ID] = at
		mu.Unlock()
		old.declines.Store(true)
		time.Sleep(time.Second)
	}
	time.Sleep(14 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	sum := late["s-w1"] + late["s-w2"]
	return result{sum > 0, fmt.Sprintf("%d sends to draining writers after they counted as told, the last %.1f s after discovery had it; %v",
		sum, latest.Seconds(), t)}, nil
}
