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

// lengthDay is a fleet in simulated time in which reading is short and prompts differ much in length: readers take prompts in turn
// at a fixed pace, writers have room for all.
type lengthDay struct {
	rnd     *rand.Rand
	set     Config
	rigs    []*rig
	queue   stormQueue
	seq     int
	now     time.Duration
	free    map[EndpointID]time.Duration // when a reader has read all that it took
	asked   []lengthRequest              // by request id, from 1
	answers map[RequestID]bool
}

type lengthRequest struct {
	front    int
	prompt   float64
	attempts int
	over     bool
}

// forFront is an event of one front.
type forFront struct {
	Event
	front int
}

const (
	lengthReaders  = 10
	lengthReadRate = 10000.0 // tokens a second
	lengthQueue    = 2 * time.Second
	lengthMean     = 1100.0 // tokens of a prompt
	lengthSigma    = 1.2
	lengthFor      = 40 * time.Second
)

func newLengthDay(t *testing.T, fronts int, worthByWork bool) *lengthDay {
	t.Helper()
	s := testSettings()
	s.Replicas, s.WeightByWork, s.SlowStartFor = fronts, worthByWork, 0
	s.Classes[0].LatencyObjectivePer1000, s.Classes[0].LateWeight = 60*ms, 0.3
	d := &lengthDay{
		rnd: rand.New(rand.NewSource(int64(fronts))), set: s, now: time.Minute, free: map[EndpointID]time.Duration{},
		asked: make([]lengthRequest, 1), answers: map[RequestID]bool{},
	}
	for i := range fronts {
		r, err := New(s, uint64(100+i))
		if err != nil {
			t.Fatal(err)
		}
		d.rigs = append(d.rigs, &rig{t: t, r: r, now: d.now})
		d.rigs[i].step(EndpointList{Scope: ListFull, Endpoints: pool(lengthReaders, 20)})
	}
	return d
}

func (d *lengthDay) plan(after time.Duration, front int, ev Event) {
	d.seq++
	heap.Push(&d.queue, stormEvent{d.now + after, d.seq, forFront{ev, front}})
}

// play lets requests come at load times what the readers can do.
func (d *lengthDay) play(load float64) {
	rate := load * lengthReaders * lengthReadRate / lengthMean
	for at := 0.0; at < lengthFor.Seconds(); at += d.rnd.ExpFloat64() / rate {
		id, front := RequestID(len(d.asked)), d.rnd.Intn(len(d.rigs))
		prompt := lengthMean * math.Exp(lengthSigma*d.rnd.NormFloat64()-lengthSigma*lengthSigma/2)
		d.asked = append(d.asked, lengthRequest{front: front, prompt: prompt})
		d.plan(time.Duration(at*float64(time.Second)), front, Request{ID: id, Session: uint64(id), PromptTokens: prompt, MaxOutputTokens: 100})
	}
	for len(d.queue) > 0 {
		e := heap.Pop(&d.queue).(stormEvent)
		d.now = e.at
		f := e.ev.(forFront)
		d.step(f.front, f.Event)
	}
}

func (d *lengthDay) step(front int, ev Event) {
	switch e := ev.(type) {
	case Request:
		e.Deadline = d.now + d.set.Classes[0].Deadline + time.Duration(2*e.PromptTokens/1000*float64(d.set.Classes[0].LatencyObjectivePer1000))
		ev = e
	case FirstToken:
		d.answers[e.Request] = true
	}
	g := d.rigs[front]
	g.now = d.now
	for _, a := range g.step(ev) {
		switch a := a.(type) {
		case Send:
			d.send(front, a)
		case Reject:
			d.asked[a.Request].over = true
		case Fail:
			d.asked[a.Request].over = true
		case SetTimer:
			if d.now < time.Minute+2*lengthFor {
				d.plan(a.After, front, Timer{a.Tag})
			}
		}
	}
}

// send has a prompt read in its turn, or written at once.
func (d *lengthDay) send(front int, a Send) {
	q := &d.asked[a.Request]
	out := Outcome{Request: a.Request, Attempt: q.attempts, Endpoint: a.Endpoint}
	q.attempts++
	if a.Endpoint >= 500 {
		d.plan(50*ms, front, FirstToken{Request: a.Request, Attempt: out.Attempt, Endpoint: a.Endpoint, Elapsed: 50 * ms})
		out.Result, out.RequestDone, out.Elapsed = Served, true, time.Second
		d.plan(time.Second, front, out)
		return
	}
	begin := max(d.free[a.Endpoint], d.now)
	if begin-d.now > lengthQueue {
		out.Result, out.Elapsed = Rejected, ms
		d.plan(ms, front, out)
		return
	}
	d.free[a.Endpoint] = begin + time.Duration(q.prompt/lengthReadRate*float64(time.Second))
	out.Result, out.Elapsed = PrefillDone, d.free[a.Endpoint]-d.now
	if a.Timeout > 0 && a.Timeout < out.Elapsed {
		out.Result, out.Elapsed = TimedOut, a.Timeout
	}
	d.plan(out.Elapsed, front, out)
}

// shares are the answered parts of all requests, of the longest tenth and of the next fifth.
func (d *lengthDay) shares() (all, longest, next float64) {
	ids := make([]RequestID, 0, len(d.asked))
	for id := 1; id < len(d.asked); id++ {
		ids = append(ids, RequestID(id))
	}
	slices.SortFunc(ids, func(a, b RequestID) int { return int(d.asked[b].prompt - d.asked[a].prompt) })
	part := func(ids []RequestID) float64 {
		n := 0
		for _, id := range ids {
			n += b2i(d.answers[id])
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
		longPromptsGet(t, load, least)
	}
}

// TestLongPromptsAtTwiceTheLoad is the same where half of the work can be done at all.
func TestLongPromptsAtTwiceTheLoad(t *testing.T) { longPromptsGet(t, 2, 0.5) }

// longPromptsGet checks that long prompts get at least a part of what all get, at few and at many fronts.
func longPromptsGet(t *testing.T, load, least float64) {
	for _, fronts := range []int{3, 30, 300} {
		for _, byWork := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d fronts, load %.1f, worth by work %t", fronts, load, byWork), func(t *testing.T) {
				t.Parallel()
				d := newLengthDay(t, fronts, byWork)
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
	s := testSettings()
	s.WeightByWork = true
	for seed := range uint64(3) {
		r, err := New(s, seed)
		if err != nil {
			t.Fatal(err)
		}
		g := &rig{t: t, r: r, now: time.Minute}
		g.step(EndpointList{Scope: ListFull, Endpoints: pool(10, 20)})
		all, none := 0, 0 // sessions of which all turns are refused, and none
		for session := range sessions {
			refused := 0
			for turn := range turns {
				r.admission.shedder.fraction = 0.5
				q := g.request(RequestID(1+turn*sessions+session), 0, 200)
				q.Session, q.Prefix = uint64(1+session), uint64(1+session%20)
				acts := g.step(q)
				refused += len(pick[Reject](acts))
				g.step(ClientDisconnected{q.ID})
				for i, a := range pick[Send](acts) {
					g.step(Outcome{Request: q.ID, Attempt: i, Endpoint: a.Endpoint, Result: Cancelled})
				}
			}
			all += b2i(refused == turns)
			none += b2i(refused == 0)
		}
		// chance alone gives 1 in 64 of each
		if most := sessions / 20; all > most || none > most {
			t.Errorf("seed %d: of %d sessions %d had all %d turns refused, %d none", seed, sessions, all, turns, none)
		}
	}
}
