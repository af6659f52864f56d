package routing

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// environment gives a Router random but valid events and checks that its actions keep the invariants. It does not
// model endpoints: outcomes and their times are random, independent of load.
type environment struct {
	t             *testing.T
	rnd           *rand.Rand
	config        Config
	router        *Router
	now           time.Duration
	lastID        RequestID
	requests      map[RequestID]*requestRecord
	unsettled     map[RequestID]*requestRecord // not answered, with attempts in flight or with a held state
	endpoints     map[EndpointID]Endpoint
	notReadySince map[EndpointID]time.Duration
	scheduled     []scheduledEvent
	recentSends   map[EndpointID][]time.Duration
	log           []string
}

// scheduledEvent is an event that happens at a later time.
type scheduledEvent struct {
	at    time.Duration
	event Event
}

// requestRecord is the state of a request that the invariants depend on.
type requestRecord struct {
	request   Request
	class     Class
	attempts  []attemptRecord
	ended     bool
	streaming bool
	stateHeld bool // a read state waits at a prefill endpoint
	heldSince time.Duration
}

type attemptRecord struct {
	endpoint   EndpointID
	sentAt     time.Duration
	inFlight   bool
	decode     bool
	mayHaveRun bool
	// arrived says that this is a decode that has reached a running endpoint. Other attempts may be on a connection
	// that is silent, so they don't stop the TTL of a held state.
	arrived bool
}

// maxSlowStartSends is a coarse upper bound of the sends to an endpoint in slow start in one window, whatever other
// endpoints get. Without any limit there would be far more.
const maxSlowStartSends = 25

// answerTolerance is how long after its deadline a request may still be unanswered, since steps are apart in time.
const answerTolerance = 25 * ms

func newEnvironment(t *testing.T, config Config, seed int64, endpoints int) *environment {
	t.Helper()
	env := &environment{
		t:             t,
		rnd:           rand.New(rand.NewSource(seed)),
		config:        config,
		router:        newTestRouter(t, config, uint64(seed)),
		now:           time.Hour,
		requests:      map[RequestID]*requestRecord{},
		unsettled:     map[RequestID]*requestRecord{},
		endpoints:     map[EndpointID]Endpoint{},
		notReadySince: map[EndpointID]time.Duration{},
		recentSends:   map[EndpointID][]time.Duration{},
	}
	var listed []Endpoint
	for i := range endpoints {
		e := Endpoint{
			ID: EndpointID(100 + 7*i), Kind: i % len(config.Kinds), Zone: i % 2, Cell: i % 3, State: EndpointReady,
		}
		env.endpoints[e.ID] = e
		listed = append(listed, e)
	}
	env.apply(env.router.Step(env.now, []Event{EndpointList{Scope: ListCached, Endpoints: listed}}))
	return env
}

// run plays a number of steps, each with an arrival with the given probability, then runs on until all requests are
// settled.
func (env *environment) run(steps int, arrivals float64) {
	const settleSteps = 3000
	for i := range steps + settleSteps {
		env.now += time.Duration(1+env.rnd.Intn(9)) * ms
		var events []Event
		if i < steps && env.rnd.Float64() < arrivals {
			events = append(events, env.arrival())
		}
		if i < steps && env.rnd.Intn(150) == 0 {
			events = append(events, env.listChange())
		}
		events = append(events, env.dueEvents()...)
		if len(events) > 0 {
			env.recordEvents(events)
			env.apply(env.router.Step(env.now, events))
		}
		env.checkDeadlines()
		if i >= steps && len(env.scheduled) == 0 {
			break
		}
	}
	for id, req := range env.unsettled {
		if !req.ended || req.stateHeld {
			env.fail("request %d not settled at the end of the run: ended %v, state held %v", id, req.ended, req.stateHeld)
		}
	}
}

func (env *environment) fail(format string, args ...any) {
	env.t.Helper()
	env.t.Fatalf("%v: "+format, append([]any{env.now}, args...)...)
}

func (env *environment) schedule(after time.Duration, event Event) {
	env.scheduled = append(env.scheduled, scheduledEvent{env.now + after, event})
}

func (env *environment) arrival() Event {
	env.lastID++
	class := env.rnd.Intn(len(env.config.Classes))
	req := Request{
		ID:              env.lastID,
		Class:           class,
		Session:         uint64(env.rnd.Intn(40)),
		Prefix:          uint64(env.rnd.Intn(6)),
		PromptTokens:    float64(100 + env.rnd.Intn(8000)),
		MaxOutputTokens: 300,
		Tenant:          env.rnd.Intn(3),
		Deadline:        env.now + time.Duration(300+env.rnd.Intn(4000))*ms,
	}
	if env.rnd.Intn(30) == 0 {
		req.PromptTokens *= 40
	}
	record := &requestRecord{request: req, class: env.config.Classes[class]}
	env.requests[req.ID], env.unsettled[req.ID] = record, record
	if env.rnd.Intn(20) == 0 {
		env.schedule(time.Duration(env.rnd.Intn(1000))*ms, ClientDisconnected{Request: req.ID})
	}
	return req
}

func (env *environment) listChange() Event {
	e := env.endpoints[EndpointID(100+7*env.rnd.Intn(len(env.endpoints)))]
	switch env.rnd.Intn(3) {
	case 0:
		e.State = EndpointDraining
	case 1:
		e.State = EndpointGone
	default:
		e.State, e.StartedAt = EndpointReady, env.now-time.Duration(env.rnd.Intn(3000))*ms
	}
	env.endpoints[e.ID] = e
	if e.State == EndpointReady {
		delete(env.notReadySince, e.ID)
	} else {
		env.notReadySince[e.ID] = env.now
	}
	return EndpointList{Scope: ListChanges, Endpoints: []Endpoint{e}}
}

// dueEvents removes the scheduled events that are due and returns those that are still possible.
func (env *environment) dueEvents() []Event {
	var events []Event
	rest := env.scheduled[:0]
	for _, p := range env.scheduled {
		if p.at > env.now {
			rest = append(rest, p)
		} else if env.stillPossible(p.event) {
			events = append(events, p.event)
		}
	}
	env.scheduled = rest
	return events
}

func (env *environment) stillPossible(event Event) bool {
	switch event := event.(type) {
	case ClientDisconnected:
		req := env.requests[event.Request]
		return !req.ended && !req.streaming
	case FirstToken:
		req := env.requests[event.Request]
		return !req.ended && !req.streaming
	case Outcome: // a cancel or an earlier outcome may have ended the attempt
		return env.requests[event.Request].attempts[event.Attempt].inFlight
	}
	return true
}

// recordEvents updates the records with events, and sets RequestDone in outcomes.
func (env *environment) recordEvents(events []Event) {
	for i, event := range events {
		switch event := event.(type) {
		case ClientDisconnected:
			env.requests[event.Request].ended = true
		case FirstToken:
			req := env.requests[event.Request]
			req.streaming, req.stateHeld = true, false // the state was fetched
		case Outcome:
			req := env.requests[event.Request]
			env.recordOutcome(req, event)
			event.RequestDone = req.ended
			events[i] = event
		}
	}
}

func (env *environment) recordOutcome(req *requestRecord, event Outcome) {
	a := &req.attempts[event.Attempt]
	a.inFlight = false
	noAnswer := event.Result == EngineError || event.Result == TimedOut ||
		event.Result == ConnectionReset || event.Result == Canceled
	a.mayHaveRun = a.decode && noAnswer
	switch {
	case event.Result == PrefillDone:
		req.stateHeld, req.heldSince = true, env.now
	case event.Result == Served:
		req.ended, req.stateHeld = true, false
	case event.StateMissing:
		req.stateHeld = false
	case a.arrived: // the state is still held, and its TTL starts again
		req.heldSince = env.now
	}
	a.arrived = false
	if req.streaming {
		req.ended = true
	}
}

// awaitedByDecode reports whether a decode in flight has reached a running endpoint. Only such a decode stops the TTL
// of a held state and keeps it from being released.
func (req *requestRecord) awaitedByDecode() bool {
	for _, a := range req.attempts {
		if a.inFlight && a.arrived {
			return true
		}
	}
	return false
}

// apply carries out actions and checks the invariants for each.
func (env *environment) apply(actions []Action) {
	for _, a := range actions {
		env.log = append(env.log, fmt.Sprintf("%d %+v", env.now, a))
		switch a := a.(type) {
		case Send:
			env.send(a)
		case Reject:
			env.checkAnswer(a.Request, true)
		case Fail:
			env.checkAnswer(a.Request, false)
		case ReleaseState:
			if req := env.requests[a.Request]; !req.awaitedByDecode() {
				req.stateHeld = false
			}
		case Cancel:
			attempt := &env.requests[a.Request].attempts[a.Attempt]
			attempt.arrived = false // an engine drops an attempt that waits for its state at once
			if attempt.inFlight {
				env.schedule(ms, Outcome{
					Request: a.Request, Attempt: a.Attempt, Endpoint: attempt.endpoint, Result: Canceled,
				})
			}
		case SetTimer:
			env.schedule(a.After, Timer{Tag: a.Tag})
		}
	}
}

// send checks that an attempt may be sent, and schedules a random outcome for it.
func (env *environment) send(a Send) {
	req, e := env.requests[a.Request], env.endpoints[a.Endpoint]
	if req == nil || req.ended {
		env.fail("request %d sent after its end", a.Request)
	}
	if since, ok := env.notReadySince[a.Endpoint]; ok && env.now-since > env.config.DrainGrace {
		env.fail("request %d sent to endpoint %d, which is not ready since %v", a.Request, a.Endpoint, since)
	}
	if len(req.attempts) >= env.config.MaxAttempts {
		env.fail("request %d sent again after %d attempts", a.Request, len(req.attempts))
	}
	for _, earlier := range req.attempts {
		if earlier.inFlight {
			env.fail("request %d has two attempts in flight", a.Request)
		}
		if earlier.mayHaveRun && !env.repeatable(req, earlier, e) {
			env.fail("request %d of class %s may have run and is sent to endpoint %d", a.Request, req.class.Name, a.Endpoint)
		}
	}
	env.checkSlowStart(e)
	decode := env.config.Kinds[e.Kind].Role != RolePrefill
	req.attempts = append(req.attempts, attemptRecord{
		endpoint: a.Endpoint, inFlight: true, decode: decode, sentAt: env.now,
	})
	env.drawOutcome(a, req, decode)
}

// repeatable reports whether a request of which an attempt may have run may be sent to an endpoint.
func (env *environment) repeatable(req *requestRecord, earlier attemptRecord, to Endpoint) bool {
	switch req.class.Idempotency {
	case NotIdempotent:
		return false
	case IdempotentWithKey:
		sameCell := env.endpoints[earlier.endpoint].Cell == to.Cell
		return sameCell && env.now-earlier.sentAt <= req.class.DedupWindow
	default: // Idempotent
		return true
	}
}

// checkSlowStart checks that an endpoint in slow start gets at most maxSlowStartSends sends in a window.
func (env *environment) checkSlowStart(e Endpoint) {
	if e.StartedAt == 0 || env.now-e.StartedAt > env.config.SlowStartFor {
		return
	}
	recent := env.recentSends[e.ID][:0]
	for _, at := range env.recentSends[e.ID] {
		if env.now-at < env.config.OverloadAfter {
			recent = append(recent, at)
		}
	}
	env.recentSends[e.ID] = append(recent, env.now)
	if sends := len(env.recentSends[e.ID]); sends > maxSlowStartSends {
		env.fail("endpoint %d in slow start got %d sends in %v", e.ID, sends, env.config.OverloadAfter)
	}
}

// drawOutcome draws at random how and when an attempt ends, and schedules its events.
func (env *environment) drawOutcome(a Send, req *requestRecord, decode bool) {
	outcome, begins, after := env.drawResult(a, req, decode)
	limit := req.request.Deadline - env.now
	if a.Timeout > 0 && a.Timeout < limit {
		limit = a.Timeout
	}
	attempt := &req.attempts[outcome.Attempt]
	answeredOrReset := outcome.Result == Served || outcome.Result == ConnectionReset
	endsStream := outcome.Result == Served || outcome.Result == ConnectionReset && decode
	if after > limit && !endsStream || after > time.Minute {
		after, outcome.Result, outcome.StateMissing = max(limit, 0), TimedOut, false
	} else if answeredOrReset && after > limit {
		attempt.arrived = decode
		env.schedule(limit+ms, Outcome{
			Request: outcome.Request, Attempt: outcome.Attempt, Endpoint: outcome.Endpoint, Result: TimedOut,
			Elapsed: limit,
		})
		env.scheduled = withoutFirstToken(env.scheduled, outcome)
		return
	}
	attempt.arrived = decode && (begins || reachesEndpoint(outcome.Result))
	outcome.Elapsed = after
	env.schedule(after, outcome)
}

// drawResult draws an outcome and its time at random. If begins is true, a stream begins before the outcome, and its
// first token is scheduled.
func (env *environment) drawResult(a Send, req *requestRecord, decode bool) (
	outcome Outcome, begins bool, after time.Duration,
) {
	outcome = Outcome{Request: a.Request, Attempt: len(req.attempts) - 1, Endpoint: a.Endpoint}
	after = time.Duration(1+env.rnd.Intn(400)) * ms
	switch draw := env.rnd.Intn(21); {
	case draw < 13 && !decode:
		outcome.Result = PrefillDone
	case draw < 13:
		begins = true
		env.schedule(after, FirstToken{
			Request: a.Request, Attempt: outcome.Attempt, Endpoint: a.Endpoint, Elapsed: after,
		})
		outcome.Result = Served
		if env.rnd.Intn(4) == 0 {
			outcome.Result = ConnectionReset
		}
		after += time.Duration(env.rnd.Intn(2000)) * ms
	case draw == 13:
		after = time.Hour // silent
	default:
		results := []Result{
			EngineError, Rejected, ConnectFailed, ConnectionReset, NotSent, Rejected, RequestIncomplete,
		}
		outcome.Result = results[draw-14]
		outcome.StateMissing = outcome.Result == Rejected && decode && draw == 19 // the second Rejected in results
		neverSent := outcome.Result.NeverExecuted() && outcome.Result != Rejected
		if neverSent && a.ConnectTimeout > 0 {
			after = min(after, a.ConnectTimeout)
		}
	}
	return outcome, begins, after
}

// reachesEndpoint reports whether a decode with this result reaches a running endpoint. One that is silent or whose
// connection breaks does not.
func reachesEndpoint(r Result) bool { return r == Served || r == EngineError || r == Rejected }

// withoutFirstToken removes the first token of an attempt that will time out from the scheduled events.
func withoutFirstToken(scheduled []scheduledEvent, o Outcome) []scheduledEvent {
	for i, p := range scheduled {
		if f, ok := p.event.(FirstToken); ok && f.Request == o.Request && f.Attempt == o.Attempt {
			return append(scheduled[:i], scheduled[i+1:]...)
		}
	}
	return scheduled
}

// checkAnswer checks that a request gets only one final answer, and that it is not rejected where a retry may have a
// second effect.
func (env *environment) checkAnswer(id RequestID, rejected bool) {
	req := env.requests[id]
	if req.ended {
		env.fail("request %d answered twice", id)
	}
	req.ended = true
	for _, a := range req.attempts {
		risky := a.decode && (a.inFlight || a.mayHaveRun)
		if rejected && risky && req.class.Idempotency != Idempotent {
			env.fail("request %d of class %s rejected though it may have run", id, req.class.Name)
		}
	}
}

// checkDeadlines checks that requests are answered by their deadlines and states released by the end of their TTL.
func (env *environment) checkDeadlines() {
	for id, req := range env.unsettled {
		if !req.ended && !req.streaming && env.now > req.request.Deadline+answerTolerance {
			env.fail("request %d not answered by its deadline", id)
		}
		if req.stateHeld && !req.awaitedByDecode() && env.now-req.heldSince > env.config.StateTTL {
			env.fail("the read state of request %d is held beyond its TTL though no decode has arrived", id)
		}
		inFlight := false
		for _, a := range req.attempts {
			inFlight = inFlight || a.inFlight
		}
		if req.ended && !req.stateHeld && !inFlight {
			delete(env.unsettled, id)
		}
	}
}
