package routing

import "time"

const (
	// minPrefillTimeout and minFirstTokenTimeout are lower bounds of time-outs, so that a few fast attempts
	// don't make them too short.
	minPrefillTimeout    = 800 * time.Millisecond
	minFirstTokenTimeout = 1500 * time.Millisecond
	// timeoutFactor is the time-out of an attempt as a multiple of its expected time.
	timeoutFactor = 8.0
	// minEarlyTimeoutFactor is the least time-out, as a multiple of the expected time, to which it is
	// shortened so that another attempt can still meet the latency objective.
	minEarlyTimeoutFactor = 4.0
	// trialSlack is added, in seconds, to the time in which an attempt must succeed to end an ejection.
	trialSlack = 0.5
	// minTimeToBlameEndpoint is the time in flight from which an attempt that ends at its request's deadline
	// counts as a failure of the endpoint.
	minTimeToBlameEndpoint = time.Second
	// rejectionPause is how long an endpoint is taken to have no capacity after it rejected an attempt.
	rejectionPause = 150 * time.Millisecond
)

// send starts an attempt and adds its cost to the load of the endpoint.
func (r *Router) send(req *request, b *backend, decode bool) {
	a := attempt{backend: b, sentAt: r.now, decode: decode, inFlight: true, awaitingResponse: true}
	a.cost.memory = req.memoryTokens()
	if req.state.backend == nil {
		a.cost.uncached = b.uncachedTokens(req)
	}
	r.decayStats(b)
	b.silence.addAttempt(req, r.now)
	b.load.attempts++
	if b.health.ejected { // this attempt is its trial
		r.orderChanged()
	}
	b.load.memory += a.cost.memory
	b.load.uncached += a.cost.uncached
	a.cost.queued = b.load.uncached
	if r.inSlowStart(b) {
		b.load.slowStartSends = append(b.load.slowStartSends, r.now)
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	req.state.prefillSent = req.state.prefillSent || !decode
	connectTimeout := time.Duration(0)
	if req.state.backend != nil {
		connectTimeout = r.config.StateTTL / stateTTLParts
	}
	r.emit(Send{
		Request:        req.ID,
		Endpoint:       b.ID,
		Timeout:        r.timeout(req, &a),
		ConnectTimeout: connectTimeout,
		SendWindow:     req.sendWindow(r.now),
	})
}

// timeout returns the time-out of an attempt. It is 0, and the attempt runs until the request's deadline, if
// no other attempt may replace it. It is shortened where another attempt can then still meet the latency
// objective, so that a request lost at a healthy endpoint is still answered in time. During overload every
// attempt times out at the end of the latency objective.
func (r *Router) timeout(req *request, a *attempt) time.Duration {
	expected := float64(a.cost.queued * max(r.latency.prefillPace, a.backend.pace.perToken))
	minTimeout, attemptsToFinish := minPrefillTimeout, 2
	if a.decode {
		expected += r.latency.firstToken
		minTimeout, attemptsToFinish = minFirstTokenTimeout, 1
	} else {
		// The backlog of other replicas at the endpoint delays a short prompt as long as a long one.
		expected = max(expected, r.latency.prefillTime)
	}
	untilObjective := req.objectiveAt() - r.now
	if r.admission.shedder.shedFraction > overloadShedFraction {
		return max(untilObjective, finalAnswerMargin)
	}
	attemptsLeft := r.config.MaxAttempts - len(req.attempts)
	if attemptsLeft < attemptsToFinish || a.decode && req.class.Idempotency != Idempotent {
		return 0
	}
	timeout := max(minTimeout, seconds(timeoutFactor*expected))
	earlyTimeout := untilObjective - seconds(2*(expected+r.latency.firstToken))
	if earlyTimeout > seconds(minEarlyTimeoutFactor*expected) {
		timeout = min(timeout, earlyTimeout)
	}
	return timeout
}

// findAttempt returns the attempt that an event refers to; nil if there is none.
func (r *Router) findAttempt(id RequestID, index int) (*request, *attempt) {
	req := r.requests[id]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil, nil
	}
	return req, &req.attempts[index]
}

// handleFirstToken marks a request as streaming and passes its time to the first token to the statistics.
func (r *Router) handleFirstToken(event FirstToken) {
	req, a := r.findAttempt(event.Request, event.Attempt)
	if req == nil {
		return
	}
	b, elapsed := a.backend, event.Elapsed.Seconds()
	req.streaming, req.state.backend = true, nil
	late := r.now > req.objectiveAt()
	if !late || !req.congested {
		r.admission.shedder.observe(r.now, req.class, late)
	}
	if b.role == RoleDecode {
		updateAverage(&b.pace.slowness, elapsed/r.latency.firstToken, slownessWeight)
		updateAverage(&r.latency.firstToken, elapsed, firstTokenWeight)
	}
	if a.cost.uncached > 0 { // the attempt included the prefill
		r.capacity.stale = true
		r.observePrefill(a, event.Elapsed)
		r.mixed.observe(a, r.latency.usualFirstToken(a.cost.queued), event.Elapsed)
	}
	r.markAnswered(a, true)
	r.observeSuccess(b, req, elapsed < float64(timeoutFactor*r.latency.firstToken)+trialSlack)
}

// handleOutcome ends an attempt, updates the statistics by its result and decides how its request continues.
func (r *Router) handleOutcome(event Outcome) {
	req, a := r.findAttempt(event.Request, event.Attempt)
	if req == nil || !a.inFlight {
		return
	}
	r.endAttempt(req, a, event)
	switch {
	case req.ended:
		if event.Result == PrefillDone || a.decode && req.state.prefillSent && !req.streaming && !a.canceled {
			// No decode will fetch the state, and an earlier release may have had no effect.
			r.emit(ReleaseState{req.ID})
		}
	case event.RequestDone || event.Result == Served:
		r.finish(req, nil)
	case event.Result == PrefillDone:
		req.state.backend = a.backend
		r.renewState(req)
		r.placeDecode(req)
	default:
		r.retryOrGiveUp(req, a, event)
	}
	if req.ended && req.inFlight == 0 {
		delete(r.requests, req.ID)
	}
}

// endAttempt removes an attempt from the load of its endpoint and updates the statistics by its result.
func (r *Router) endAttempt(req *request, a *attempt, event Outcome) {
	b := a.backend
	r.decayStats(b)
	r.capacity.stale = true
	if b.health.ejected {
		r.orderChanged()
	}
	a.inFlight = false
	req.inFlight--
	b.load.attempts--
	b.load.memory = max(b.load.memory-a.cost.memory, 0)
	r.markAnswered(a, event.Result.endsSilence())
	r.observeResult(req, a, event)
	if a.decode && event.Result.mayHaveExecuted() && !req.execution.possible {
		req.execution = possibleExecution{possible: true, backend: b, sentAt: a.sentAt}
	}
}

// observeResult updates the statistics of the endpoint by the result of an attempt.
func (r *Router) observeResult(req *request, a *attempt, event Outcome) {
	b := a.backend
	if !a.decode {
		r.observePrefillTime(req, event)
	}
	switch event.Result {
	case PrefillDone:
		r.observePrefillDone(req, a, event)
	case Served:
		b.pace.completed++
	case EngineError, ConnectionReset, RequestIncomplete:
		// A broken connection has no extra weight, since a single one may break at a healthy endpoint.
		r.observeFailure(b, req, outcomeWeight)
	case TimedOut:
		r.observeTimeout(req, a, event)
	case ConnectFailed:
		r.observeFailure(b, req, connectFailureFactor*outcomeWeight)
	case Rejected:
		if !event.StateMissing {
			b.load.pausedUntil, r.admission.shedder.rejectedAt = r.now+rejectionPause, r.now
			r.observeRejection(b, req, true)
		}
	case Canceled, NotSent: // not caused by the endpoint
	}
}

// observePrefillDone updates the statistics by a prefill that succeeded.
func (r *Router) observePrefillDone(req *request, a *attempt, event Outcome) {
	b := a.backend
	r.observePrefill(a, event.Elapsed)
	updateAverage(&r.latency.prefillTime, event.Elapsed.Seconds(), prefillTimeWeight)
	uncached := max(req.PromptTokens-event.CachedTokens, 0) + promptOverhead
	updateAverage(&r.latency.uncachedTokens[req.Class], uncached, uncachedTokensWeight)
	b.pace.completed++
	b.cache.store(req)
	limit := float64(timeoutFactor*a.cost.queued*r.latency.prefillPace) + trialSlack
	r.observeSuccess(b, req, event.Elapsed.Seconds() < limit)
}

// observeTimeout updates the statistics by an attempt that timed out. It counts as a failure of the endpoint,
// but as a success if the request's deadline came soon after the send.
func (r *Router) observeTimeout(req *request, a *attempt, event Outcome) {
	b := a.backend
	r.mixed.observe(a, r.latency.usualFirstToken(a.cost.queued), event.Elapsed)
	updateAverage(&b.pace.slowness, timeoutFactor, slownessWeight)
	if r.now < req.Deadline || a.sentAt+minTimeToBlameEndpoint < r.now {
		r.observeFailure(b, req, outcomeWeight)
	} else {
		r.observeSuccess(b, req, false)
	}
	if a.decode {
		updateAverage(&r.latency.firstToken, event.Elapsed.Seconds(), firstTokenTimeoutWeight)
	} else {
		updateAverage(&r.latency.prefillTime, event.Elapsed.Seconds(), prefillTimeoutWeight)
	}
}
