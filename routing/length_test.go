package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// lengthRun is a fleet in simulated time in which reading is short and prompts differ much in length: readers take prompts in turn
// at a fixed pace, writers have room for all.
type lengthRun struct {
	rnd       *rand.Rand
	config    Config
	harnesses []*harness
	queue     eventQueue
	seq       int
	now       time.Duration
	freeAt    map[EndpointID]time.Duration // when a reader has read all that it took
	requests  []lengthRequest              // by request id, from 1
	answered  map[RequestID]bool
}

type lengthRequest struct {
	replica  int
	prompt   float64
	attempts int
	over     bool
}

// replicaEvent is an event of one front.
type replicaEvent struct {
	Event
	replica int
}

const (
	lengthPrefills    = 10
	lengthPrefillRate = 10000.0 // tokens a second
	lengthQueue       = 2 * time.Second
	lengthMean        = 1100.0 // tokens of a prompt
	lengthSigma       = 1.2
	lengthFor         = 40 * time.Second
)

func newLengthRun(t *testing.T, replicas int, weightByWork bool) *lengthRun {
	t.Helper()
	config := testConfig()
	config.Replicas, config.WeightByWork, config.SlowStartFor = replicas, weightByWork, 0
	config.Classes[0].LatencyObjectivePer1000, config.Classes[0].LateWeight = 60*ms, 0.3
	d := &lengthRun{
		rnd: rand.New(rand.NewSource(int64(replicas))), config: config, now: time.Minute, freeAt: map[EndpointID]time.Duration{},
		requests: make([]lengthRequest, 1), answered: map[RequestID]bool{},
	}
	for i := range replicas {
		r, err := New(config, uint64(100+i))
		if err != nil {
			t.Fatal(err)
		}
		d.harnesses = append(d.harnesses, &harness{t: t, router: r, now: d.now})
		d.harnesses[i].step(EndpointList{Scope: ListFull, Endpoints: endpoints(lengthPrefills, 20)})
	}
	return d
}

func (d *lengthRun) plan(after time.Duration, replica int, event Event) {
	d.seq++
	heap.Push(&d.queue, plannedEvent{d.now + after, d.seq, replicaEvent{event, replica}})
}

// play lets requests come at load times what the readers can do.
func (d *lengthRun) play(load float64) {
	rate := load * lengthPrefills * lengthPrefillRate / lengthMean
	for at := 0.0; at < lengthFor.Seconds(); at += d.rnd.ExpFloat64() / rate {
		id, replica := RequestID(len(d.requests)), d.rnd.Intn(len(d.harnesses))
		prompt := lengthMean * math.Exp(lengthSigma*d.rnd.NormFloat64()-lengthSigma*lengthSigma/2)
		d.requests = append(d.requests, lengthRequest{replica: replica, prompt: prompt})
		d.plan(time.Duration(at*float64(time.Second)), replica, Request{ID: id, Session: uint64(id), PromptTokens: prompt, MaxOutputTokens: 100})
	}
	for len(d.queue) > 0 {
		e := heap.Pop(&d.queue).(plannedEvent)
		d.now = e.at
		f := e.event.(replicaEvent)
		d.step(f.replica, f.Event)
	}
}

func (d *lengthRun) step(replica int, event Event) {
	switch e := event.(type) {
	case Request:
		e.Deadline = d.now + d.config.Classes[0].Deadline + time.Duration(2*e.PromptTokens/1000*float64(d.config.Classes[0].LatencyObjectivePer1000))
		event = e
	case FirstToken:
		d.answered[e.Request] = true
	}
	h := d.harnesses[replica]
	h.now = d.now
	for _, a := range h.step(event) {
		switch a := a.(type) {
		case Send:
			d.send(replica, a)
		case Reject:
			d.requests[a.Request].over = true
		case Fail:
			d.requests[a.Request].over = true
		case SetTimer:
			if d.now < time.Minute+2*lengthFor {
				d.plan(a.After, replica, Timer{a.Tag})
			}
		}
	}
}

// send has a prompt read in its turn, or written at once.
func (d *lengthRun) send(replica int, a Send) {
	req := &d.requests[a.Request]
	out := Outcome{Request: a.Request, Attempt: req.attempts, Endpoint: a.Endpoint}
	req.attempts++
	if a.Endpoint >= 500 {
		d.plan(50*ms, replica, FirstToken{Request: a.Request, Attempt: out.Attempt, Endpoint: a.Endpoint, Elapsed: 50 * ms})
		out.Result, out.RequestDone, out.Elapsed = Served, true, time.Second
		d.plan(time.Second, replica, out)
		return
	}
	begin := max(d.freeAt[a.Endpoint], d.now)
	if begin-d.now > lengthQueue {
		out.Result, out.Elapsed = Rejected, ms
		d.plan(ms, replica, out)
		return
	}
	d.freeAt[a.Endpoint] = begin + time.Duration(req.prompt/lengthPrefillRate*float64(time.Second))
	out.Result, out.Elapsed = PrefillDone, d.freeAt[a.Endpoint]-d.now
	if a.Timeout > 0 && a.Timeout < out.Elapsed {
		out.Result, out.Elapsed = TimedOut, a.Timeout
	}
	d.plan(out.Elapsed, replica, out)
}

// shares are the answered parts of all requests, of the longest tenth and of the next fifth.
func (d *lengthRun) shares() (all, longest, next float64) {
	ids := make([]RequestID, 0, len(d.requests))
	for id := 1; id < len(d.requests); id++ {
		ids = append(ids, RequestID(id))
	}
	slices.SortFunc(ids, func(a, b RequestID) int { return int(d.requests[b].prompt - d.requests[a].prompt) })
	part := func(ids []RequestID) float64 {
		n := 0
		for _, id := range ids {
			n += boolToInt(d.answered[id])
		}
		return float64(n) / float64(len(ids))
	}
	tenth := len(ids) / 10
	return part(ids), part(ids[:tenth]), part(ids[tenth : 3*tenth])
}

// TestLongPromptsAreNotShutOut: shortest first must not serve short prompts alone. Of the longest tenth and of the next fifth at
// least two thirds of the part that all get are answered where there is room for all, and at least half of it above that.
func TestLongPromptsAreNotShutOut(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 1, 1.3} {
		least := 0.5
		if load < 0.9 {
			least = 2.0 / 3
		}
		checkLongPrompts(t, load, least)
	}
}

// TestLongPromptsAtTwiceTheLoad is the same where half of the work can be done at all.
func TestLongPromptsAtTwiceTheLoad(t *testing.T) { checkLongPrompts(t, 2, 0.5) }

// checkLongPrompts checks that long prompts get at least a part of what all get, at few and at many fronts.
func checkLongPrompts(t *testing.T, load, least float64) {
	for _, replicas := range []int{3, 30, 300} {
		for _, byWork := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d fronts, load %.1f, worth by work %t", replicas, load, byWork), func(t *testing.T) {
				t.Parallel()
				d := newLengthRun(t, replicas, byWork)
				d.play(load)
				all, longest, next := d.shares()
				t.Logf("answered: all %.2f, longest tenth %.2f, next fifth %.2f", all, longest, next)
				if longest < least*all || next < least*all {
					t.Errorf("long prompts get less than %.2f of what all get", least)
				}
			})
		}
	}
}

// TestRefusalsAreDrawnAnewForEachRequest: where a half is refused on arrival, no set of sessions, prefixes or tenants is, and none is
// spared: a client that comes again meets another draw, at the same front too.
func TestRefusalsAreDrawnAnewForEachRequest(t *testing.T) {
	const sessions, turns = 400, 6
	s := testConfig()
	s.WeightByWork = true
	for seed := range uint64(3) {
		r, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, router: r, now: time.Minute}
		h.step(EndpointList{Scope: ListFull, Endpoints: endpoints(10, 20)})
		all, none := 0, 0 // sessions of which all turns are refused, and none
		for session := range sessions {
			refused := 0
			for turn := range turns {
				r.admission.shedder.fraction = 0.5
				q := h.request(RequestID(1+turn*sessions+session), 0, 200)
				q.Session, q.Prefix = uint64(1+session), uint64(1+session%20)
				acts := h.step(q)
				refused += len(actionsOf[Reject](acts))
				h.step(ClientDisconnected{q.ID})
				for i, a := range actionsOf[Send](acts) {
					h.step(Outcome{Request: q.ID, Attempt: i, Endpoint: a.Endpoint, Result: Cancelled})
				}
			}
			all += boolToInt(refused == turns)
			none += boolToInt(refused == 0)
		}
		// chance alone gives 1 in 64 of each
		if most := sessions / 20; all > most || none > most {
			t.Errorf("seed %d: of %d sessions %d had all %d turns refused, %d none", seed, sessions, all, turns, none)
		}
	}
}
