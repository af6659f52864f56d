package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// coldJudge counts what a cold writer gets, by the operators' budget: in each window of TipAfter at most N + 2 root N + 2
// requests of mean work (N under 30: N + 3 root N + 3), N being OverloadFactor times what it can do then.
type coldJudge struct {
	mu       sync.Mutex
	since    time.Time // its start; zero = it is not judged yet
	perS     float64   // what a warm writer can do
	arrivals []time.Time
	worst    float64 // largest part of the budget that was used
	fallen   bool
	text     string
	onFall   func()
}

const (
	coldFrom, coldFor, tipAfter = 0.25, 14 * time.Second, 2 * time.Second
	overloadFactor              = 2.5
)

func (j *coldJudge) arrived(string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.since.IsZero() || j.fallen {
		return
	}
	now := time.Now()
	age := now.Sub(j.since)
	if age >= coldFor {
		return
	}
	j.arrivals = append(j.arrivals, now)
	for now.Sub(j.arrivals[0]) > tipAfter {
		j.arrivals = j.arrivals[1:]
	}
	part := coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds()
	allowed := overloadFactor * part * j.perS * tipAfter.Seconds()
	budget := allowed + 2*math.Sqrt(allowed) + 2
	if allowed < 30 {
		budget = allowed + 3*math.Sqrt(allowed) + 3
	}
	j.worst = max(j.worst, float64(len(j.arrivals))/budget)
	if float64(len(j.arrivals)) > budget {
		j.fallen = true
		j.text = fmt.Sprintf("%d requests in %v, %.1f s after its start; N is %.1f and the budget %.1f",
			len(j.arrivals), tipAfter, age.Seconds(), allowed, budget)
		go j.onFall()
	}
}

// coldStart: a writer is restarted in good order; before it starts, the wall clock is stepped back by an hour, so that
// its up_since_ms lies an hour back.
func coldStart(env *environment) (result, error) {
	const (
		perS   = 20
		stream = 8 * time.Second
		events = 40
		slots  = 80
	)
	var judge = &coldJudge{perS: slots / stream.Seconds()}
	f, err := startFleet(env.record, 2, 4, func(e *engine) {
		e.events, e.readTime = events, 10*time.Millisecond
		e.gap = func(string, int) time.Duration { return stream / events }
		e.UpSince = time.Now().Add(-10 * time.Minute).UnixMilli()
		if e.ID == "s-w2" {
			e.arrived = judge.arrived
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
	var restarted *engine
	for _, e := range f.engines {
		if e.ID == "s-w2" {
			restarted = e
		}
	}
	judge.onFall = func() {
		restarted.stop()
		env.record.printf("s-w2 falls over: %s", judge.text)
	}

	ctx, cancel := context.WithCancel(context.Background())
	var broken, whole, refused atomic.Int64
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 300}}
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			q := request{
				id: fmt.Sprintf("7c10%012x", i), class: []string{"explain", "review-post"}[i%2], deadline: 4 * time.Second, promptTokens: 400,
			}
			clients.Go(func() {
				a := q.send(ctx, client, n.listen, nil)
				switch {
				case ctx.Err() != nil:
					return
				case a.status == http.StatusOK && a.complete:
					whole.Add(1)
				case a.status == http.StatusOK:
					broken.Add(1)
				default:
					refused.Add(1)
				}
				if !a.complete || a.status != http.StatusOK {
					env.record.printf("client: %s, class %s: status %d, whole %t, %v", q.id, q.class, a.status, a.complete, a.err)
				}
			})
			time.Sleep(time.Duration((0.5 + rand.Float64()) / perS * float64(time.Second)))
		}
	})
	defer clients.Wait()
	defer cancel()

	time.Sleep(11 * time.Second)
	leaving := restarted.member
	leaving.Phase = "Terminating"
	f.discovery.change(leaving)
	time.Sleep(stream + time.Second)
	env.record.printf("s-w2 has %d requests and ends", restarted.running.Load())
	leaving.Phase = "Gone"
	f.discovery.change(leaving)
	restarted.stop()
	time.Sleep(time.Second)
	if err := restarted.start(); err != nil {
		return result{}, err
	}
	judge.mu.Lock()
	judge.since = time.Now()
	judge.mu.Unlock()
	restarted.UpSince = time.Now().UnixMilli()
	if env.trouble {
		restarted.UpSince = time.Now().Add(-time.Hour).UnixMilli()
		env.record.printf("the wall clock was stepped back by an hour while s-w2 was away")
	}
	f.discovery.change(restarted.member)
	time.Sleep(coldFor)
	judge.mu.Lock()
	defer judge.mu.Unlock()
	text := fmt.Sprintf("the cold writer got at most %.2f of its budget; %d answers whole, %d cut, %d others",
		judge.worst, whole.Load(), broken.Load(), refused.Load())
	if judge.fallen {
		text = "the cold writer fell over: " + judge.text + "; " + text
	}
	return result{judge.fallen, text}, nil
}
