// Package baseline has simple deciders, for comparisons only: no replica of the program runs them. They take the same
// events and return the same actions as package routing, keep the rules that a replica alone can keep (one answer in
// time, no retry of what may have run unless it is idempotent, drains, release) and know nothing of capacity, prefixes,
// health or slow start.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/routing"
)

// Policy is how an endpoint is picked.
type Policy string

// The policies.
const (
	Random     Policy = "random"      // any
	Fewest     Policy = "fewest"      // the one with the fewest own attempts open
	TwoChoices Policy = "two-choices" // the better of two at random, by own attempts open
)

// Policies are all of them.
var Policies = []Policy{Random, Fewest, TwoChoices}

// A PolicyError is returned for an unknown policy.
type PolicyError struct{ Policy Policy }

func (e *PolicyError) Error() string {
	return fmt.Sprintf("baseline: no policy %q: %v", e.Policy, Policies)
}

// Decider makes the decisions of one replica. It is used by one goroutine.
type Decider struct {
	policy   Policy
	config   routing.Config
	rnd      *rand.Rand
	backends []*backend // in the order in which they were first listed
	byID     map[routing.EndpointID]*backend
	requests map[routing.RequestID]*request
	actions  []routing.Action // of the present step
}

type backend struct {
	id    routing.EndpointID
	role  routing.Role
	ready bool
	open  int // attempts
}

type request struct {
	event     routing.Request
	sends     int
	attempts  int      // sends less prefills that are done
	at        *backend // of the open attempt; nil = none is
	prefilled bool     // a read state waits
	ran       bool     // an attempt may have run
	answered  bool
}

const (
	defaultMaxAttempts = 2
	randomStream       = 77
	retryAfter         = time.Second // of a rejection
)

// New returns a decider.
func New(policy Policy, c routing.Config, seed uint64) (*Decider, error) {
	if !slices.Contains(Policies, policy) {
		return nil, &PolicyError{policy}
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	if c.MaxAttempts == 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return &Decider{
		policy: policy, config: c, rnd: rand.New(rand.NewPCG(seed, randomStream)),
		byID: map[routing.EndpointID]*backend{}, requests: map[routing.RequestID]*request{},
	}, nil
}

// Step takes events and returns the actions that follow from them.
func (d *Decider) Step(now time.Duration, events []routing.Event) []routing.Action {
	d.actions = nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case routing.EndpointList:
			d.onList(ev)
		case routing.Request:
			d.onRequest(ev, now)
		case routing.Outcome:
			d.onOutcome(ev)
		case routing.ClientDisconnected:
			if r := d.requests[ev.Request]; r != nil {
				d.end(r)
			}
		case routing.Timer:
			if r := d.requests[routing.RequestID(ev.Tag)]; r != nil && !r.answered {
				d.fail(r, false)
			}
		case routing.FirstToken:
			if r := d.requests[ev.Request]; r != nil {
				r.answered = true // the stream is the answer
			}
		}
	}
	return d.actions
}

func (d *Decider) act(a routing.Action) { d.actions = append(d.actions, a) }

func (d *Decider) class(r *request) *routing.Class { return &d.config.Classes[r.event.Class] }

func (d *Decider) onList(ev routing.EndpointList) {
	if ev.Scope == routing.ListFailed {
		return
	}
	if ev.Scope != routing.ListChanges {
		for _, b := range d.backends {
			b.ready = false
		}
	}
	for _, endpoint := range ev.Endpoints {
		b := d.byID[endpoint.ID]
		if b == nil {
			b = &backend{id: endpoint.ID}
			d.byID[endpoint.ID] = b
			d.backends = append(d.backends, b)
		}
		b.role, b.ready = d.config.Kinds[endpoint.Kind].Role, endpoint.State == routing.EndpointReady
	}
}

func (d *Decider) onRequest(ev routing.Request, now time.Duration) {
	r := &request{event: ev}
	d.requests[ev.ID] = r
	if ev.PossibleDuplicate && d.class(r).Idempotency == routing.NotIdempotent {
		d.fail(r, true)
		return
	}
	d.act(routing.SetTimer{After: ev.Deadline - now, Tag: uint64(ev.ID)})
	d.send(r)
}

// pick returns a ready backend that serves a stage; nil where there is none.
func (d *Decider) pick(decode bool) *backend {
	var ready []*backend
	for _, b := range d.backends {
		if b.ready && b.serves(decode) {
			ready = append(ready, b)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	best := ready[d.rnd.IntN(len(ready))]
	switch d.policy {
	case Random:
	case TwoChoices:
		if other := ready[d.rnd.IntN(len(ready))]; other.open < best.open {
			best = other
		}
	case Fewest:
		for _, b := range ready {
			if b.open < best.open {
				best = b
			}
		}
	}
	return best
}

// serves reports whether requests are sent to the backend for a stage. An endpoint of both roles does both in one
// attempt, which begins with the prefill.
func (b *backend) serves(decode bool) bool {
	if decode {
		return b.role == routing.RoleDecode
	}
	return b.role == routing.RoleMixed || b.role == routing.RolePrefill
}

// send starts a request's next attempt.
func (d *Decider) send(r *request) {
	b := d.pick(r.prefilled)
	if b == nil || r.attempts >= d.config.MaxAttempts {
		d.rejectOrFail(r)
		return
	}
	r.sends++
	r.attempts++
	r.at = b
	b.open++
	d.act(routing.Send{Request: r.event.ID, Endpoint: b.id})
}

// rejectOrFail rejects a request that has surely not run, and fails others.
func (d *Decider) rejectOrFail(r *request) {
	class := d.class(r)
	if r.ran && class.Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	r.answered = true
	noAutoRetry := class.Idempotency == routing.NotIdempotent
	d.act(routing.Reject{Request: r.event.ID, RetryAfter: retryAfter, NoAutoRetry: noAutoRetry})
	d.end(r)
}

func (d *Decider) fail(r *request, possibleDuplicate bool) {
	r.answered = true
	d.act(routing.Fail{Request: r.event.ID, PossibleDuplicate: possibleDuplicate})
	d.end(r)
}

// end cancels the open attempt and releases the read state.
func (d *Decider) end(r *request) {
	r.answered = true
	if r.at != nil {
		d.act(routing.Cancel{Request: r.event.ID, Attempt: r.sends - 1})
	}
	d.act(routing.ReleaseState{Request: r.event.ID})
	if r.at == nil {
		delete(d.requests, r.event.ID)
	}
}

func (d *Decider) onOutcome(ev routing.Outcome) {
	r := d.requests[ev.Request]
	if r == nil || r.at == nil {
		return
	}
	b := r.at
	b.open--
	r.at = nil
	if ev.RequestDone || r.answered {
		r.answered = true
		d.act(routing.ReleaseState{Request: ev.Request})
		delete(d.requests, ev.Request)
		return
	}
	if ev.Result == routing.PrefillDone {
		r.prefilled = true
		r.attempts-- // a prefill that is done counts as no attempt of the whole
		d.send(r)
		return
	}
	d.retry(r, ev, b)
}

// retry follows an attempt that failed at a backend.
func (d *Decider) retry(r *request, ev routing.Outcome, b *backend) {
	prefill := b.role == routing.RolePrefill
	if !prefill && !ev.Result.NeverExecuted() { // a prefill alone has no effect
		r.ran = true
	}
	if ev.StateMissing || prefill {
		r.prefilled = false
		d.act(routing.ReleaseState{Request: ev.Request})
	}
	if r.ran && d.class(r).Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	if !prefill {
		r.prefilled = false // the state was fetched, or lost with the attempt
		d.act(routing.ReleaseState{Request: ev.Request})
	}
	d.send(r)
}
