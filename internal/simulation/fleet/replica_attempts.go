package fleet

import (
	"strconv"
	"time"

	"brackenbend/routing"
)

// attempt is one attempt of a request at an engine.
type attempt struct {
	engine   int
	picked   int // by the router; differs from engine only by an oracle
	decode   bool
	id       string
	began    time.Duration
	ended    bool
	canceled bool
	unsent   bool // it surely never ran
	released bool // its state is to be released
}

// attemptOutcome is how an attempt ended.
type attemptOutcome struct {
	decode bool
	result routing.Result
}

var resultNames = map[routing.Result]string{
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
		return stageDecode + " " + resultNames[o.result]
	}
	return stagePrefill + " " + resultNames[o.result]
}

// attemptID is unique over all replicas and their runs.
func (r *replica) attemptID(request *inflightRequest) string {
	return "f" + strconv.Itoa(r.index+1) + "r" + strconv.Itoa(r.process.run) + "-" +
		strconv.FormatUint(uint64(request.id), 16) + "-" + strconv.Itoa(len(request.attempts))
}

// sendAttempt starts an attempt.
func (r *replica) sendAttempt(action routing.Send) {
	request, picked := r.requests.byID[action.Request], r.endpoints.engine[action.Endpoint]
	target := r.pickByOracle(request, picked)
	listed := r.endpoints.known[target]
	n := len(request.attempts)
	a := &attempt{
		engine: target, picked: picked, decode: r.fleet.config.Kinds[listed.kind].Role != routing.RolePrefill,
		began: r.now(), id: r.attemptID(request),
	}
	request.attempts = append(request.attempts, a)
	request.open++
	if listed.state != routing.EndpointReady { // it was notified to drain between the decision and the first byte
		a.unsent = true
		r.runTask(0, func() { r.endAttempt(request, n, attemptResult{result: routing.NotSent}) })
		return
	}
	e := r.fleet.engines[target]
	r.send(e.id, r.sendDelay(request, a), r.newEngineRequest(request, n))
	end := request.due
	if action.Timeout > 0 && (!r.fleet.options.Oracles.NoTimeouts || !e.healthy()) {
		end = min(end, r.now()+action.Timeout)
	}
	r.schedule(end-r.now(), attemptTimeout{r.process.run, request.id, n})
}

// newEngineRequest returns the message of an attempt.
func (r *replica) newEngineRequest(request *inflightRequest, n int) engineRequest {
	a := request.attempts[n]
	m := engineRequest{
		attemptRef: attemptRef{r.process.run, request.id, n}, replica: r.id, id: a.id, replicaName: r.name,
		decode: a.decode, state: noState, work: request.message.work,
	}
	if a.decode {
		m.state = request.state
	} else {
		request.state = noState
	}
	return m
}

// sendDelay draws how long a request takes to its engine. A decode that is not idempotent has a new connection.
func (r *replica) sendDelay(request *inflightRequest, a *attempt) time.Duration {
	delay := r.fleet.hop(r.rnd)
	class := r.fleet.config.Classes[request.message.traits.Class]
	if a.decode && class.Idempotency == routing.NotIdempotent {
		delay += 2 * r.fleet.options.Link
	}
	return delay
}

// onAttemptTimeout ends an attempt without a first token, or a prefill that is not done.
func (r *replica) onAttemptTimeout(m attemptTimeout) {
	request := r.requests.byID[m.request]
	if m.run != r.process.run || request == nil || request.attempts[m.attempt].ended {
		return
	}
	if request.answer == answerStreaming && request.streaming == m.attempt {
		return
	}
	r.closeConnection(request, m.attempt)
	r.endAttempt(request, m.attempt, attemptResult{result: routing.TimedOut})
}

// closeConnection closes that of an attempt to its engine.
func (r *replica) closeConnection(request *inflightRequest, n int) {
	a := request.attempts[n]
	r.send(r.fleet.engines[a.engine].id, r.fleet.hop(r.rnd), connectionClosed{a.id})
}

func (r *replica) cancel(request *inflightRequest, n int) {
	a := request.attempts[n]
	if !a.ended && !a.unsent {
		a.canceled = true
		r.closeConnection(request, n)
		r.runTask(0, func() { r.endAttempt(request, n, attemptResult{result: routing.Canceled}) })
	}
}

func (r *replica) cancelAll(request *inflightRequest) {
	for n := range request.attempts {
		r.cancel(request, n)
	}
}

// releaseWhenEnded releases the state of a prefill, at once or when the attempt has ended.
func (r *replica) releaseWhenEnded(a *attempt) {
	if a.decode || a.released {
		return
	}
	a.released = true
	if a.ended {
		r.release(a)
	}
}

func (r *replica) release(a *attempt) {
	if !a.unsent {
		r.send(r.fleet.engines[a.engine].id, r.fleet.hop(r.rnd), stateRelease{a.id})
	}
}

func (r *replica) onFirstToken(m firstToken) {
	request := r.requests.byID[m.request]
	if request == nil || request.attempts[m.attempt].ended {
		return
	}
	if request.answer != answerOpen { // another answer was given
		r.closeConnection(request, m.attempt)
		r.endAttempt(request, m.attempt, attemptResult{result: routing.Canceled})
		return
	}
	request.answer, request.streaming = answerStreaming, m.attempt
	a := request.attempts[m.attempt]
	if request.message.stream {
		r.send(r.fleet.clients.id, r.fleet.hop(r.rnd), streamBegan{request.message.attempt})
	}
	r.step(routing.FirstToken{
		Request: request.id, Attempt: m.attempt, Endpoint: r.endpoints.ids[a.picked], Elapsed: r.now() - a.began,
	})
}

func (r *replica) onAttemptEnded(m attemptEnded) {
	if request := r.requests.byID[m.request]; request != nil && !request.attempts[m.attempt].ended {
		r.endAttempt(request, m.attempt, m.attemptResult)
	}
}

// endAttempt records the result of an attempt and gives it to the router.
func (r *replica) endAttempt(request *inflightRequest, n int, m attemptResult) {
	a := request.attempts[n]
	if a.ended {
		return
	}
	a.ended = true
	r.outcomes[attemptOutcome{a.decode, m.result}]++
	a.unsent = a.unsent || m.result.NeverExecuted()
	request.open--
	isAnswer := request.answer == answerStreaming && request.streaming == n
	if isAnswer {
		r.endStream(request, m.result)
	}
	if m.result == routing.PrefillDone {
		request.state, request.prefilled = stateLocation{a.engine, a.id}, true
	}
	// Nobody else knows of a state that a prefill may have left without being done.
	if !a.decode && (a.released || m.result != routing.PrefillDone) {
		a.released = true
		r.release(a)
	}
	r.step(routing.Outcome{
		Request: request.id, Attempt: n, Endpoint: r.endpoints.ids[a.picked], Elapsed: r.now() - a.began,
		RequestDone: isAnswer, Result: m.result, StateMissing: m.stateMissing, CachedTokens: m.cachedTokens,
	})
	r.forgetIfDone(request)
}

// endStream gives the client the end of an answer that had begun.
func (r *replica) endStream(request *inflightRequest, result routing.Result) {
	switch {
	case result == routing.Served:
		r.finish(request, kindServed, 0, false)
	case request.message.stream:
		r.finish(request, kindBroken, 0, false)
	default:
		r.finish(request, kindFailed, 0, r.mayHaveEffect(request))
	}
}
