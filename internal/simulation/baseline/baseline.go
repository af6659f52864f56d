// Package baseline has simple ways of deciding for a front, for comparisons only: no front runs them. They take the same
// events and give the same actions as package choice, keep the rules that a front alone can keep (one answer in time,
// nothing that may have run again unless it is safe, drains, release) and know nothing of caps, prefixes, health or cold
// engines.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/routing"
)

// Policy is how an engine is picked.
type Policy string

// The ways.
const (
	Random     Policy = "random"      // any
	Fewest     Policy = "fewest"      // the one with the fewest own requests out
	TwoChoices Policy = "two-choices" // the better of two at random, by own requests out
)

// Policies are all of them.
var Policies = []Policy{Random, Fewest, TwoChoices}

// Decider decides so for one front.
type Decider struct {
	way     Policy
	s       routing.Config
	rnd     *rand.Rand
	now     time.Duration
	servers []*server // in the order in which they were first named
	byID    map[routing.EndpointID]*server
	open    map[routing.RequestID]*request
	out     []routing.Action
}

type server struct {
	id    routing.EndpointID
	role  routing.Role
	ready bool
	out   int
}

type request struct {
	ev       routing.Request
	sends    int
	tries    int     // sends less reads that went well
	at       *server // of the attempt that is out; nil = none is
	read     bool    // a state waits
	ran      bool    // an attempt may have run
	answered bool
}

// New makes one.
func New(way Policy, s routing.Config, seed uint64) (*Decider, error) {
	if !slices.Contains(Policies, way) {
		return nil, fmt.Errorf("baseline: no way %q: %v", way, Policies)
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = 2
	}
	return &Decider{way: way, s: s, rnd: rand.New(rand.NewPCG(seed, 77)), byID: map[routing.EndpointID]*server{}, open: map[routing.RequestID]*request{}}, nil
}

// Step takes what happened and gives what is to be done.
func (d *Decider) Step(now time.Duration, events []routing.Event) []routing.Action {
	d.now, d.out = now, nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case routing.EndpointList:
			d.list(ev)
		case routing.Request:
			r := &request{ev: ev}
			d.open[ev.ID] = r
			if ev.PossibleDuplicate && d.s.Classes[ev.Class].Idempotency == routing.NotIdempotent {
				d.fail(r, true)
				break
			}
			d.act(routing.SetTimer{After: ev.Deadline - now, Tag: uint64(ev.ID)})
			d.place(r)
		case routing.Outcome:
			d.outcome(ev)
		case routing.ClientDisconnected:
			if r := d.open[ev.Request]; r != nil {
				d.end(r)
			}
		case routing.Timer:
			if r := d.open[routing.RequestID(ev.Tag)]; r != nil && !r.answered {
				d.fail(r, false)
			}
		case routing.FirstToken:
			if r := d.open[ev.Request]; r != nil {
				r.answered = true // the stream is the answer
			}
		}
	}
	return d.out
}

func (d *Decider) act(a routing.Action) { d.out = append(d.out, a) }

func (d *Decider) list(ev routing.EndpointList) {
	if ev.Scope == routing.ListFailed {
		return
	}
	if ev.Scope != routing.ListChanges {
		for _, s := range d.servers {
			s.ready = false
		}
	}
	for _, l := range ev.Endpoints {
		s := d.byID[l.ID]
		if s == nil {
			s = &server{id: l.ID}
			d.byID[l.ID] = s
			d.servers = append(d.servers, s)
		}
		s.role, s.ready = d.s.Kinds[l.Kind].Role, l.State == routing.EndpointReady
	}
}

// pick chooses among the ready servers of a stage.
func (d *Decider) pick(write bool) *server {
	var all []*server
	for _, s := range d.servers {
		if s.ready && (s.role == routing.RoleMixed && !write || s.role == routing.RoleDecode && write || s.role == routing.RolePrefill && !write) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		return nil
	}
	best := all[d.rnd.IntN(len(all))]
	switch d.way {
	case TwoChoices:
		if o := all[d.rnd.IntN(len(all))]; o.out < best.out {
			best = o
		}
	case Fewest:
		for _, s := range all {
			if s.out < best.out {
				best = s
			}
		}
	}
	return best
}

// place sends a request on to its next stage.
func (d *Decider) place(r *request) {
	s := d.pick(r.read)
	if s == nil || r.tries >= d.s.MaxAttempts {
		d.giveUp(r)
		return
	}
	r.sends++
	r.tries++
	r.at = s
	s.out++
	d.act(routing.Send{Request: r.ev.ID, Endpoint: s.id})
}

// giveUp refuses what surely has not run, and fails the rest.
func (d *Decider) giveUp(r *request) {
	class := &d.s.Classes[r.ev.Class]
	if r.ran && class.Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	r.answered = true
	d.act(routing.Reject{Request: r.ev.ID, RetryAfter: time.Second, NoAutoRetry: class.Idempotency == routing.NotIdempotent})
	d.end(r)
}

func (d *Decider) fail(r *request, earlier bool) {
	r.answered = true
	d.act(routing.Fail{Request: r.ev.ID, PossibleDuplicate: earlier})
	d.end(r)
}

// end calls off what is out and lets go of what waits.
func (d *Decider) end(r *request) {
	r.answered = true
	if r.at != nil {
		d.act(routing.Cancel{Request: r.ev.ID, Attempt: r.sends - 1})
	}
	d.act(routing.ReleaseState{Request: r.ev.ID})
	if r.at == nil {
		delete(d.open, r.ev.ID)
	}
}

func (d *Decider) outcome(ev routing.Outcome) {
	r := d.open[ev.Request]
	if r == nil || r.at == nil {
		return
	}
	s := r.at
	s.out--
	r.at = nil
	if ev.RequestDone || r.answered {
		r.answered = true
		d.act(routing.ReleaseState{Request: ev.Request})
		delete(d.open, ev.Request)
		return
	}
	never := ev.Result.NeverExecuted()
	switch {
	case ev.Result == routing.PrefillDone:
		r.read = true
		r.tries-- // the read is no try of the whole
		d.place(r)
		return
	case s.role != routing.RolePrefill && !never: // reading has no effect
		r.ran = true
	}
	if ev.StateMissing || s.role == routing.RolePrefill {
		r.read = false
		d.act(routing.ReleaseState{Request: ev.Request})
	}
	if r.ran && d.s.Classes[r.ev.Class].Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	if s.role != routing.RolePrefill {
		r.read = false // the state was fetched, or went with its writer
		d.act(routing.ReleaseState{Request: ev.Request})
	}
	d.place(r)
}
