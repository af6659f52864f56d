package routing

import "time"

const (
	// minRetryAfter is the shortest advised wait before a client retries.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterPerRequest is the advised wait for each queued request ahead of the client's retry.
	retryAfterPerRequest = 10 * time.Millisecond
)

// retryOrGiveUp starts a further attempt after a failed one, or sends the final answer.
func (r *Router) retryOrGiveUp(req *request, a *attempt, event Outcome) {
	// A request whose read state is missing is prefilled again, unless the decode endpoint can prefill it and
	// too few attempts are left for both a prefill and a decode.
	mustDecode := r.config.DecodeCanPrefill && len(req.attempts)+2 > r.config.MaxAttempts
	decodeAgain := a.decode && req.state.backend != nil && (!event.StateMissing || mustDecode)
	if r.stateExpired(req) && !event.Result.NeverExecuted() && event.Result != EngineError {
		decodeAgain = false // no decode endpoint responded in time, and the state was released
	}
	reason := r.giveUpReason(req)
	if reason == ReasonNone && !r.mayRetry(req, decodeAgain) {
		reason = ReasonMayHaveRun
	}
	switch {
	case reason != ReasonNone:
		r.finish(req, r.finalAnswer(req, len(r.queue.waiting), reason))
	case decodeAgain:
		if event.Result == Rejected || event.Result == EngineError {
			r.renewState(req) // the decode reached the endpoint, which restarts the TTL of the state
		}
		r.placeDecode(req)
	default:
		if req.state.backend != nil && !event.StateMissing {
			r.emit(ReleaseState{req.ID})
		}
		req.state.backend = nil
		r.queue.add(req)
	}
}

// mayRetry reports whether a request may have a further attempt, given that an earlier one may have run. A
// request that is idempotent with a key may only be decoded again: a second prefill would use up too much of
// its dedup window.
func (r *Router) mayRetry(req *request, decodeAgain bool) bool {
	switch {
	case !req.execution.possible:
		return true
	case req.class.Idempotency == IdempotentWithKey:
		return decodeAgain
	}
	return req.class.Idempotency == Idempotent
}

// giveUpReason returns why a further attempt of a request is useless; ReasonNone if it is not.
func (r *Router) giveUpReason(req *request) Reason {
	switch {
	case r.now >= req.Deadline:
		return ReasonDeadline
	case len(req.attempts) >= r.config.MaxAttempts:
		return ReasonAttemptsExhausted
	case r.objectiveMissedInOverload(req):
		return ReasonObjectiveMissed
	}
	return ReasonNone
}

// finalAnswer returns the answer to a request that is given up: Reject if the client may safely retry, else
// Fail. A client library's automatic retry of a request that is not idempotent looks the same whether it
// follows a rejection or a lost answer, so it fails on arrival as a possible duplicate. For that reason a
// rejection of such a request asks the client not to retry automatically. queuedAhead is the number of queued
// requests that a retry would find ahead of it.
func (r *Router) finalAnswer(req *request, queuedAhead int, reason Reason) Action {
	if !safeToRetry(req) {
		return Fail{Request: req.ID, Reason: reason}
	}
	retryAfter := max(minRetryAfter, time.Duration(queuedAhead)*retryAfterPerRequest)
	return Reject{
		Request:     req.ID,
		RetryAfter:  min(retryAfter, r.config.MaxRetryAfter),
		NoAutoRetry: req.class.Idempotency == NotIdempotent,
		Reason:      reason,
	}
}

// safeToRetry reports whether a client may retry a request through any replica and at any endpoint.
func safeToRetry(req *request) bool {
	if !req.execution.possible && !req.decodeInFlight() {
		return true
	}
	switch req.class.Idempotency {
	case NotIdempotent:
		return false
	case IdempotentWithKey:
		return req.class.DedupScope == DedupAll
	default: // Idempotent
		return true
	}
}

// observeEnd passes the end of a request without a first token to the load shedder. A request that is given
// up counts as late even if it ends early; otherwise a burst of rejections would look like answers in time.
// Requests delayed by congested prefill endpoints are left to the congestion controller, and requests given
// up in the queue without an attempt used no capacity.
func (r *Router) observeEnd(req *request, givenUp bool) {
	queuedOnly := givenUp && len(req.attempts) == 0
	if !req.streaming && !req.shed && !req.congested && !queuedOnly {
		r.admission.shedder.observe(r.now, req.class, givenUp || r.now > req.objectiveAt())
	}
}

// finish ends a request; every request ends here, except those that handleRequest does not queue. It emits
// the final answer, unless answer is nil because none is owed, cancels attempts in flight and releases the
// read state.
func (r *Router) finish(req *request, answer Action) {
	req.ended = true
	r.observeEnd(req, answer != nil)
	if answer != nil {
		r.emit(answer)
	}
	for i := range req.attempts {
		if req.attempts[i].inFlight && !req.streaming && r.config.CanCancel {
			req.attempts[i].canceled = true
			r.emit(Cancel{req.ID, i})
		}
	}
	if req.state.prefillSent && !req.streaming {
		r.emit(ReleaseState{req.ID})
	}
	r.queue.remove(req)
	r.readStates.removeAwaitingDecode(req)
	if req.inFlight == 0 {
		delete(r.requests, req.ID)
	}
}
