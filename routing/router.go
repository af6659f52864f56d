// Package routing makes the routing decisions of one replica of a gateway in front of separate prefill and
// decode endpoints: where each request is prefilled and decoded, and when it is queued, retried, rejected or
// failed.
//
// A Router is a deterministic state machine. Router.Step takes events (events.go) and returns actions
// (actions.go). It reads no clock, does no I/O and starts no goroutines: the same events at the same times
// give the same actions. A Router must be used by one goroutine at a time and shares no state with other
// Routers; the replicas of a gateway don't communicate.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// queuedWakeInterval is the longest time between two steps while requests wait for capacity or for a
	// decode endpoint. It bounds the delay until a passed deadline or new capacity is noticed.
	queuedWakeInterval = 20 * time.Millisecond
	// idleWakeInterval is the longest time between two steps while requests are only in flight, so that
	// silent endpoints are noticed.
	idleWakeInterval = 200 * time.Millisecond
	// wakeTag is the tag of the one timer that a Router uses.
	wakeTag = 1

	defaultMaxAttempts   = 2
	defaultMaxRetryAfter = time.Second
	defaultSlowStartFrom = 0.25

	// minFetchInterval is the least time between fetches of a polled endpoint list, even after a failure.
	minFetchInterval = time.Second
)

// DefaultStateTTL is used if Config.StateTTL is 0.
const DefaultStateTTL = 300 * time.Millisecond

// Router makes the decisions for one replica. It is not safe for concurrent use.
type Router struct {
	config     Config
	seed       uint64        // differs between replicas, so that their random draws are independent
	now        time.Duration // time of the current step
	actions    []Action      // actions of the current step
	wakeAt     time.Duration // when the earliest pending timer fires; a past time = none is pending
	requests   map[RequestID]*request
	backends   backendSet
	queue      requestQueue
	capacity   capacityState
	affinity   prefixAffinity
	readStates readStates
	admission  admission
	latency    latencyStats
	mixed      mixedScheduler
}

// New returns a Router for one replica. Each replica of a gateway must use a different seed. An invalid
// config gives a *ConfigError.
func New(config Config, seed uint64) (*Router, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config.Replicas = max(config.Replicas, 1)
	config.MaxAttempts = cmp.Or(config.MaxAttempts, defaultMaxAttempts)
	config.MaxRetryAfter = cmp.Or(config.MaxRetryAfter, defaultMaxRetryAfter)
	config.StateTTL = cmp.Or(config.StateTTL, DefaultStateTTL)
	config.SlowStartFrom = cmp.Or(config.SlowStartFrom, defaultSlowStartFrom)
	return &Router{
		config:    config,
		seed:      seed,
		requests:  map[RequestID]*request{},
		backends:  backendSet{byID: map[EndpointID]*backend{}},
		queue:     newRequestQueue(len(config.Classes)),
		capacity:  capacityState{orderVersion: 1},
		affinity:  newPrefixAffinity(),
		admission: newAdmission(config),
		latency:   newLatencyStats(len(config.Classes)),
	}, nil
}

// Step processes the events that happened at the time now, in order. It returns the actions to carry out, in
// order. Points in time inside events are on the same clock as now.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	elapsed := (now - r.now).Seconds()
	r.now, r.actions = now, nil
	r.admission.refillQuotas(elapsed)
	for _, event := range events {
		r.handle(event)
	}
	r.releaseExpiredStates()
	if r.now >= r.backends.evaluateAt {
		r.detectOutliers()
	}
	if r.config.PollEndpoints && r.now >= r.backends.fetchAt {
		r.emit(FetchEndpoints{})
		r.backends.fetchAt = r.now + max(r.config.PollInterval/2, minFetchInterval)
	}
	awaitingDecode := r.readStates.awaitingDecode
	r.readStates.awaitingDecode = nil
	for _, req := range awaitingDecode {
		r.placeDecode(req)
	}
	r.dispatch()
	r.setTimer()
	return r.actions
}

func (r *Router) handle(event Event) {
	switch event := event.(type) {
	case EndpointList:
		r.updateEndpoints(event)
	case Request:
		r.handleRequest(event)
	case FirstToken:
		r.handleFirstToken(event)
	case Outcome:
		r.handleOutcome(event)
	case Shutdown:
		r.shutdown()
	case ClientDisconnected:
		if req := r.requests[event.Request]; req != nil && !req.ended {
			r.finish(req, nil)
		}
	}
}

// shutdown answers each request that has no answer yet. Requests that arrive afterwards are rejected.
func (r *Router) shutdown() {
	r.admission.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[id]; !req.ended && !req.streaming {
			r.finish(req, r.finalAnswer(req, 0, ReasonShutdown))
		}
	}
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// setTimer sets a timer for the next step, unless a pending timer fires as early.
func (r *Router) setTimer() {
	after := idleWakeInterval
	if len(r.queue.waiting)+len(r.readStates.awaitingDecode) > 0 {
		after = queuedWakeInterval
	} else if len(r.requests) == 0 && !r.config.PollEndpoints {
		return
	}
	if expiries := r.readStates.expiries; len(expiries) > 0 {
		after = min(after, max(expiries[0].at-r.now, 0)+time.Millisecond)
	}
	if r.wakeAt <= r.now || r.now+after < r.wakeAt {
		r.wakeAt = r.now + after
		r.emit(SetTimer{After: after, Tag: wakeTag})
	}
}
