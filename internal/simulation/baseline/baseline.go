// Package baseline implements simple routing policies with which simulations compare package routing; no replica of the
// program runs them. A Decider takes the same events and returns the same actions as routing.Router. It keeps the rules
// that a replica can keep on its own: one answer in time, no retry of a request that may have run unless it is
// idempotent, no new attempts at draining endpoints, release of read states. It ignores capacity, prefixes, health and
// slow start.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/routing"
)

// Policy determines how an endpoint is picked among the ready ones.
type Policy string

// The policies.
const (
	Random         Policy = "random"      // a random endpoint
	FewestAttempts Policy = "fewest"      // the endpoint with the fewest open attempts of this replica
	TwoChoices     Policy = "two-choices" // of two random endpoints, the one with fewer open attempts of this replica
)

// Policies are all policies.
var Policies = []Policy{Random, FewestAttempts, TwoChoices}

// A PolicyError is returned for an unknown policy.
type PolicyError struct{ Policy Policy }

func (e *PolicyError) Error() string {
	return fmt.Sprintf("baseline: unknown policy %q, want one of %v", e.Policy, Policies)
}

// Decider makes the routing decisions of one replica. It must not be used by several goroutines at once.
type Decider struct {
	policy   Policy
	config   routing.Config
	rnd      *rand.Rand
	backends []*backend // in the order in which they were first listed
	byID     map[routing.EndpointID]*backend
	requests map[routing.RequestID]*request
	actions  []routing.Action // of the current step
}

type backend struct {
	id           routing.EndpointID
	role         routing.Role
	ready        bool
	openAttempts int // sent by this replica
}

type request struct {
	event           routing.Request
	attemptsSent    int      // attempts, including completed prefills
	countedAttempts int      // sent, less completed prefills
	backend         *backend // of the open attempt; nil = no attempt is open
	prefilled       bool     // a read state is held for the decode
	mayHaveRun      bool     // an attempt with a decode may have run
	answered        bool     // no further answer is owed
}

const (
	defaultMaxAttempts = 2
	randomStream       = 77          // PCG stream of the random generator
	rejectRetryAfter   = time.Second // of all rejections
)

// New returns a decider for one replica.
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

// Step processes events and returns the actions that follow from them.
func (d *Decider) Step(now time.Duration, events []routing.Event) []routing.Action {
	d.actions = nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case routing.EndpointList:
			d.onEndpointList(ev)
		case routing.Request:
			d.onRequest(ev, now)
		case routing.Outcome:
			d.onOutcome(ev)
		case routing.ClientDisconnected:
			if r := d.requests[ev.Request]; r != nil {
				d.finish(r)
			}
		case routing.Timer:
			if r := d.requests[routing.RequestID(ev.Tag)]; r != nil && !r.answered {
				d.fail(r, false)
			}
		case routing.FirstToken:
			if r := d.requests[ev.Request]; r != nil {
				r.answered = true // a stream that has begun is the answer
			}
		}
	}
	return d.actions
}

func (d *Decider) addAction(a routing.Action) { d.actions = append(d.actions, a) }

func (d *Decider) class(r *request) *routing.Class { return &d.config.Classes[r.event.Class] }

func (d *Decider) onEndpointList(ev routing.EndpointList) {
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
	d.addAction(routing.SetTimer{After: ev.Deadline - now, Tag: uint64(ev.ID)})
	d.send(r)
}

// pick returns a ready backend for a decode, or for a prefill; nil where there is none.
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
		if other := ready[d.rnd.IntN(len(ready))]; other.openAttempts < best.openAttempts {
			best = other
		}
	case FewestAttempts:
		for _, b := range ready {
			if b.openAttempts < best.openAttempts {
				best = b
			}
		}
	}
	return best
}

// serves reports whether the backend gets attempts that begin with a decode, or with a prefill. A mixed endpoint does
// both stages in one attempt, which begins with the prefill.
func (b *backend) serves(decode bool) bool {
	if decode {
		return b.role == routing.RoleDecode
	}
	return b.role == routing.RoleMixed || b.role == routing.RolePrefill
}

// send starts the next attempt of a request. Without a backend or an attempt left it ends the request.
func (d *Decider) send(r *request) {
	b := d.pick(r.prefilled)
	if b == nil || r.countedAttempts >= d.config.MaxAttempts {
		d.rejectOrFail(r)
		return
	}
	r.attemptsSent++
	r.countedAttempts++
	r.backend = b
	b.openAttempts++
	d.addAction(routing.Send{Request: r.event.ID, Endpoint: b.id})
}

// rejectOrFail rejects a request that is idempotent or can't have run, and fails any other.
func (d *Decider) rejectOrFail(r *request) {
	class := d.class(r)
	if r.mayHaveRun && class.Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	r.answered = true
	noAutoRetry := class.Idempotency == routing.NotIdempotent
	d.addAction(routing.Reject{Request: r.event.ID, RetryAfter: rejectRetryAfter, NoAutoRetry: noAutoRetry})
	d.finish(r)
}

func (d *Decider) fail(r *request, possibleDuplicate bool) {
	r.answered = true
	d.addAction(routing.Fail{Request: r.event.ID, PossibleDuplicate: possibleDuplicate})
	d.finish(r)
}

// finish cancels the open attempt and releases the read state. With an attempt open, the request is kept until the
// attempt's outcome arrives.
func (d *Decider) finish(r *request) {
	r.answered = true
	if r.backend != nil {
		d.addAction(routing.Cancel{Request: r.event.ID, Attempt: r.attemptsSent - 1})
	}
	d.addAction(routing.ReleaseState{Request: r.event.ID})
	if r.backend == nil {
		delete(d.requests, r.event.ID)
	}
}

func (d *Decider) onOutcome(ev routing.Outcome) {
	r := d.requests[ev.Request]
	if r == nil || r.backend == nil {
		return
	}
	b := r.backend
	b.openAttempts--
	r.backend = nil
	if ev.RequestDone || r.answered {
		r.answered = true
		d.addAction(routing.ReleaseState{Request: ev.Request})
		delete(d.requests, ev.Request)
		return
	}
	if ev.Result == routing.PrefillDone {
		r.prefilled = true
		r.countedAttempts-- // a prefill that succeeded does not count against MaxAttempts
		d.send(r)
		return
	}
	d.retry(r, ev, b)
}

// retry sends a request again after an attempt that failed at b, or fails it where it may not run twice.
func (d *Decider) retry(r *request, ev routing.Outcome, b *backend) {
	prefill := b.role == routing.RolePrefill
	if !prefill && !ev.Result.NeverExecuted() { // a prefill alone has no side effects
		r.mayHaveRun = true
	}
	if ev.StateMissing || prefill {
		r.prefilled = false
		d.addAction(routing.ReleaseState{Request: ev.Request})
	}
	if r.mayHaveRun && d.class(r).Idempotency != routing.Idempotent {
		d.fail(r, false)
		return
	}
	if !prefill {
		r.prefilled = false // the attempt fetched the read state or lost it
		d.addAction(routing.ReleaseState{Request: ev.Request})
	}
	d.send(r)
}
