package routing

import "time"

const (
	// minPrefillTimeout and minFirstTokenTimeout bound time-outs from below, so that a few fast attempts
	// don't make them too short.
	minPrefillTimeout    = 800 * time.Millisecond
	minFirstTokenTimeout = 1500 * time.Millisecond
	// timeoutFactor is the time-out of an attempt as a multiple of its usual time ...
	timeoutFactor = 8.0
	// ... and earlyTimeoutFactor the least such multiple where another attempt can then still be in time.
	minEarlyTimeoutFactor = 4.0
	// trialSlack is added to the usual time, in seconds, within which a trial has to go well.
	trialSlack = 0.5
	// minTimeToBlameEndpoint is how long an attempt must have been in flight for a time-out at its deadline to count
	// against the endpoint.
	minTimeToBlameEndpoint = time.Second
	// rejectionPause is how long an endpoint that rejected an attempt has no capacity.
	rejectionPause = 150 * time.Millisecond
)

// send starts an attempt and books what it takes.
func (r *Router) send(req *request, b *backend, decode bool) {
	a := attempt{backend: b, sentAt: r.now, decode: decode, inFlight: true, awaitingReply: true}
	a.cost.memory = req.memoryTokens()
	if req.state.backend == nil {
		a.cost.uncached = b.uncachedTokens(req)
	}
	r.decayStats(b)
	b.silence.sent(req, r.now)
	b.load.attempts++
	if b.health.ejected { // it has its trial
		r.orderChanged()
	}
	b.load.memory += a.cost.memory
	b.load.uncached += a.cost.uncached
	a.cost.queued = b.load.uncached
	if r.inSlowStart(b) {
		b.load.warmUpSends = append(b.load.warmUpSends, r.now)
	}
	req.attempts = append(req.attempts, a)
	req.inFlight++
	req.state.requested = req.state.requested || !decode
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

// timeout bounds an attempt that another could still replace; 0 lets it run until the deadline. It is shorter
// where another attempt can then still meet the objective: a guard against requests lost at a healthy
// endpoint.
func (r *Router) timeout(req *request, a *attempt) time.Duration {
	expected := a.cost.queued * max(r.latency.prefillPace, a.backend.pace.perToken)
	minTimeout, attemptsToFinish := minPrefillTimeout, 2
	if a.decode {
		expected += r.latency.firstToken
		minTimeout, attemptsToFinish = minFirstTokenTimeout, 1
	} else {
		// What waits for other replicas takes the same time for a short prompt as for a long one.
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

// findAttempt returns the attempt that an event names; nil if there is none.
func (r *Router) findAttempt(id RequestID, index int) (*request, *attempt) {
	req := r.requests[id]
	if req == nil || index < 0 || index >= len(req.attempts) {
		return nil, nil
	}
	return req, &req.attempts[index]
}

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
		movingAverage(&b.pace.slowness, elapsed/r.latency.firstToken, slownessWeight)
		movingAverage(&r.latency.firstToken, elapsed, firstTokenWeight)
	}
	if a.cost.uncached > 0 {
		r.capacity.stale = true
		r.observePrefill(a, event.Elapsed)
		r.mixed.observe(a, r.latency.usualFirstToken(a.cost.queued), event.Elapsed)
	}
	r.answered(a, true)
	r.observeSuccess(b, req, elapsed < timeoutFactor*r.latency.firstToken+trialSlack)
}

// handleOutcome ends an attempt: books out what it took, learns from it, and decides what comes next.
func (r *Router) handleOutcome(event Outcome) {
	req, a := r.findAttempt(event.Request, event.Attempt)
	if req == nil || !a.inFlight {
		return
	}
	r.endAttempt(req, a, event)
	switch {
	case req.ended:
		if event.Result == PrefillDone || a.decode && req.state.requested && !req.streaming && !a.canceled {
			r.emit(ReleaseState{req.ID}) // nobody will fetch it
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

// endAttempt books an attempt out and learns from its outcome.
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
	r.answered(a, event.Result.endsSilence())
	r.observeResult(req, a, event)
	if a.decode && event.Result.mayHaveExecuted() && !req.execution.possible {
		req.execution = possibleExecution{possible: true, backend: b, sentAt: a.sentAt}
	}
}

// observeResult takes an attempt's result into the statistics of its endpoint.
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
	case EngineError, ConnectionReset, RequestIncomplete: // one connection may break at a healthy endpoint
		r.observeFailure(b, req, outcomeWeight)
	case TimedOut:
		r.observeTimeout(req, a, event)
	case ConnectFailed:
		r.observeFailure(b, req, connectFailureFactor*outcomeWeight)
	case Rejected:
		if !event.StateMissing {
			b.load.fullUntil, r.admission.shedder.rejectedAt = r.now+rejectionPause, r.now
			r.observeRejection(b, req, true)
		}
	case Canceled, NotSent: // the endpoint had no part in it
	}
}

func (r *Router) observePrefillDone(req *request, a *attempt, event Outcome) {
	b := a.backend
	r.observePrefill(a, event.Elapsed)
	movingAverage(&r.latency.prefillTime, event.Elapsed.Seconds(), prefillTimeWeight)
	uncached := max(req.PromptTokens-event.CachedTokens, 0) + promptOverhead
	movingAverage(&r.latency.uncachedTokens[req.Class], uncached, uncachedTokensWeight)
	b.pace.completed++
	b.cache.store(req)
	limit := timeoutFactor*a.cost.queued*r.latency.prefillPace + trialSlack
	r.observeSuccess(b, req, event.Elapsed.Seconds() < limit)
}

func (r *Router) observeTimeout(req *request, a *attempt, event Outcome) {
	b := a.backend
	r.mixed.observe(a, r.latency.usualFirstToken(a.cost.queued), event.Elapsed)
	movingAverage(&b.pace.slowness, timeoutFactor, slownessWeight)
	if r.now < req.Deadline || a.sentAt+minTimeToBlameEndpoint < r.now {
		r.observeFailure(b, req, outcomeWeight)
	} else {
		r.observeSuccess(b, req, false)
	}
	if a.decode {
		movingAverage(&r.latency.firstToken, event.Elapsed.Seconds(), firstTokenTimeoutWeight)
	} else {
		movingAverage(&r.latency.prefillTime, event.Elapsed.Seconds(), prefillTimeoutWeight)
	}
}
