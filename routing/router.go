// Package routing decides for one replica of a gateway in front of separate prefill and decode endpoints:
// where a request is prefilled and decoded, and when it is queued, retried, rejected or failed.
//
// It is a pure state machine. Router.Step takes events (events.go) and returns actions (actions.go); it reads
// no clock, does no input or output, and starts no goroutine. A Router belongs to one goroutine and shares
// nothing with other Routers; replicas of a gateway don't talk to each other. The same events at the same
// times give the same actions.
package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// queuedWakeInterval is the longest time between two steps while requests wait for capacity or for a
	// decode endpoint: it bounds how late a deadline or a freed endpoint is noticed.
	queuedWakeInterval = 20 * time.Millisecond
	// idleWakeInterval is the same while requests are only in flight: silent endpoints must be noticed.
	idleWakeInterval = 200 * time.Millisecond
	// wakeTag is the tag of the one timer that a Router uses.
	wakeTag = 1

	defaultMaxAttempts   = 2
	defaultMaxRetryAfter = time.Second
	defaultSlowStartFrom = 0.25

	// minFetchInterval bounds how often a polled endpoint list is fetched, also after a failed fetch.
	minFetchInterval = time.Second
)

// DefaultStateTTL takes the place of a Config.StateTTL of 0.
const DefaultStateTTL = 300 * time.Millisecond

// Router decides for one replica. It is not safe for concurrent use.
type Router struct {
	config     Config
	seed       uint64        // differs between replicas, so that they draw differently
	now        time.Duration // of the current step
	actions    []Action      // returned by the current step
	wakeAt     time.Duration // the earliest wake-up asked for and still to come; 0 = none
	requests   map[RequestID]*request
	backends   backendSet
	queue      requestQueue
	capacity   capacityState
	affinity   prefixAffinity
	readStates readStates
	admission  admission
	latency    latencyStats
	mixed      mixedBalance
}

// New makes a Router for one replica; each replica of a gateway uses another seed.
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

// Step takes the events that happened at now, in order, and returns what to do, in order.
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
	parked := r.readStates.parked
	r.readStates.parked = nil
	for _, req := range parked {
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

// shutdown gives each request without an answer its final one; what still arrives is rejected too.
func (r *Router) shutdown() {
	r.admission.shuttingDown = true
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if req := r.requests[id]; !req.ended && !req.streaming {
			r.finish(req, r.finalAnswer(req, 0, ReasonShutdown))
		}
	}
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// setTimer asks for the next wake-up, unless one that is as early is still to come.
func (r *Router) setTimer() {
	after := idleWakeInterval
	if len(r.queue.waiting)+len(r.readStates.parked) > 0 {
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
