package fleet

import (
	"strconv"
	"time"

	"brackenbend/routing"
)

// attempt is one attempt of a request at an engine.
type attempt struct {
	engine           int
	routerPick       int // the router's choice; an oracle may replace it by another engine
	decode           bool
	id               string
	startedAt        time.Duration
	ended            bool
	canceled         bool
	neverExecuted    bool // the engine certainly did not execute it
	releaseRequested bool // its read state must be released when the attempt ends
}

// attemptOutcome is the stage and the result of an attempt.
type attemptOutcome struct {
	decode bool
	result routing.Result
}

var attemptResultNames = map[routing.Result]string{
	routing.Served:            "served",
	routing.EngineError:       "failed",
	routing.Rejected:          "turned away",
	routing.TimedOut:          "timed out",
	routing.ConnectFailed:     "not connected",
	routing.ConnectionReset:   "reset",
	routing.Canceled:          "called off",
	routing.NotSent:           "not sent",
	routing.PrefillDone:       "done",
	routing.RequestIncomplete: "broken before it was whole",
}

func (o attemptOutcome) String() string {
	if o.decode {
		return stageDecode + " " + attemptResultNames[o.result]
	}
	return stagePrefill + " " + attemptResultNames[o.result]
}

// attemptID returns an ID that is unique among all replicas and the generations of their processes.
func (r *replica) attemptID(request *inflightRequest) string {
	return "f" + strconv.Itoa(r.index+1) + "r" + strconv.Itoa(r.process.generation) + "-" +
		strconv.FormatUint(uint64(request.id), 16) + "-" + strconv.Itoa(len(request.attempts))
}

// sendAttempt sends an attempt to the engine that the router or an oracle picked, and schedules its timeout.
func (r *replica) sendAttempt(action routing.Send) {
	request, routerPick := r.requests.byID[action.Request], r.endpoints.engineOf[action.Endpoint]
	target := r.pickByOracle(request, routerPick)
	entry := r.endpoints.entries[target]
	index := len(request.attempts)
	a := &attempt{
		engine: target, routerPick: routerPick, decode: r.fleet.config.Kinds[entry.kind].Role != routing.RolePrefill,
		startedAt: r.now(), id: r.attemptID(request),
	}
	request.attempts = append(request.attempts, a)
	request.openAttempts++
	if entry.state != routing.EndpointReady { // the endpoint began to drain after the router's decision
		a.neverExecuted = true
		r.runTask(0, func() { r.endAttempt(request, index, attemptResult{result: routing.NotSent}) })
		return
	}
	e := r.fleet.engines[target]
	r.send(e.id, r.sendDelay(request, a), r.newEngineRequest(request, index))
	attemptDeadline := request.deadline
	if action.Timeout > 0 && (!r.fleet.options.Oracles.NoTimeouts || !e.healthy()) {
		attemptDeadline = min(attemptDeadline, r.now()+action.Timeout)
	}
	r.schedule(attemptDeadline-r.now(), attemptTimeout{r.process.generation, request.id, index})
}

// newEngineRequest returns the message for an attempt. A new prefill invalidates the request's read state.
func (r *replica) newEngineRequest(request *inflightRequest, index int) engineRequest {
	a := request.attempts[index]
	m := engineRequest{
		attemptRef: attemptRef{r.process.generation, request.id, index}, replica: r.id, id: a.id, replicaName: r.name,
		decode: a.decode, readState: noState, work: request.message.work,
	}
	if a.decode {
		m.readState = request.readState
	} else {
		request.readState = noState
	}
	return m
}

// sendDelay draws the latency of a request to its engine. A decode that is not idempotent uses a new connection, whose
// setup adds the latency of two links.
func (r *replica) sendDelay(request *inflightRequest, a *attempt) time.Duration {
	delay := r.fleet.linkDelay(r.rnd)
	class := r.fleet.config.Classes[request.message.classification.Class]
	if a.decode && class.Idempotency == routing.NotIdempotent {
		delay += 2 * r.fleet.options.LinkLatency
	}
	return delay
}

// onAttemptTimeout ends an attempt that has not ended, unless it is streaming the answer.
func (r *replica) onAttemptTimeout(m attemptTimeout) {
	request := r.requests.byID[m.request]
	if m.generation != r.process.generation || request == nil || request.attempts[m.attempt].ended {
		return
	}
	if request.answer == answerStreaming && request.streamingAttempt == m.attempt {
		return
	}
	r.closeConnection(request, m.attempt)
	r.endAttempt(request, m.attempt, attemptResult{result: routing.TimedOut})
}

// closeConnection closes the connection of an attempt to its engine.
func (r *replica) closeConnection(request *inflightRequest, index int) {
	a := request.attempts[index]
	r.send(r.fleet.engines[a.engine].id, r.fleet.linkDelay(r.rnd), connectionClosed{a.id})
}

func (r *replica) cancel(request *inflightRequest, index int) {
	a := request.attempts[index]
	if !a.ended && !a.neverExecuted {
		a.canceled = true
		r.closeConnection(request, index)
		r.runTask(0, func() { r.endAttempt(request, index, attemptResult{result: routing.Canceled}) })
	}
}

func (r *replica) cancelAll(request *inflightRequest) {
	for index := range request.attempts {
		r.cancel(request, index)
	}
}

// releaseWhenEnded releases the read state of a prefill: immediately if the attempt has ended, else at its end.
func (r *replica) releaseWhenEnded(a *attempt) {
	if a.decode || a.releaseRequested {
		return
	}
	a.releaseRequested = true
	if a.ended {
		r.release(a)
	}
}

func (r *replica) release(a *attempt) {
	if !a.neverExecuted {
		r.send(r.fleet.engines[a.engine].id, r.fleet.linkDelay(r.rnd), stateRelease{a.id})
	}
}

func (r *replica) onFirstToken(m firstToken) {
	request := r.requests.byID[m.request]
	if request == nil || request.attempts[m.attempt].ended {
		return
	}
	if request.answer != answerPending { // another attempt is streaming, or the request has its final answer
		r.closeConnection(request, m.attempt)
		r.endAttempt(request, m.attempt, attemptResult{result: routing.Canceled})
		return
	}
	request.answer, request.streamingAttempt = answerStreaming, m.attempt
	a := request.attempts[m.attempt]
	if request.message.stream {
		r.send(r.fleet.clients.id, r.fleet.linkDelay(r.rnd), streamStarted{request.message.attempt})
	}
	r.step(routing.FirstToken{
		Request: request.id, Attempt: m.attempt, Endpoint: r.endpoints.ids[a.routerPick], Elapsed: r.now() - a.startedAt,
	})
}

func (r *replica) onAttemptEnded(m attemptEnded) {
	if request := r.requests.byID[m.request]; request != nil && !request.attempts[m.attempt].ended {
		r.endAttempt(request, m.attempt, m.attemptResult)
	}
}

// endAttempt records the result of an attempt and passes it to the router.
func (r *replica) endAttempt(request *inflightRequest, index int, result attemptResult) {
	a := request.attempts[index]
	if a.ended {
		return
	}
	a.ended = true
	r.outcomes[attemptOutcome{a.decode, result.result}]++
	a.neverExecuted = a.neverExecuted || result.result.NeverExecuted()
	request.openAttempts--
	isAnswer := request.answer == answerStreaming && request.streamingAttempt == index
	if isAnswer {
		r.endStream(request, result.result)
	}
	if result.result == routing.PrefillDone {
		request.readState, request.prefilled = stateLocation{a.engine, a.id}, true
	}
	// A prefill that did not complete may have left a read state that the router has no location for: release it here.
	if !a.decode && (a.releaseRequested || result.result != routing.PrefillDone) {
		a.releaseRequested = true
		r.release(a)
	}
	r.step(routing.Outcome{
		Request: request.id, Attempt: index, Endpoint: r.endpoints.ids[a.routerPick], Elapsed: r.now() - a.startedAt,
		RequestDone: isAnswer, Result: result.result, StateMissing: result.stateMissing, CachedTokens: result.cachedTokens,
	})
	r.removeIfDone(request)
}

// endStream sends the client the final answer when the attempt that is streaming ends.
func (r *replica) endStream(request *inflightRequest, result routing.Result) {
	switch {
	case result == routing.Served:
		r.finish(request, resultServed, 0, false)
	case request.message.stream:
		r.finish(request, resultBroken, 0, false)
	default:
		r.finish(request, resultFailed, 0, r.mayHaveEffect(request))
	}
}
