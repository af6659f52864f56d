package routing

import "time"

const (
	// minRetryAfter is the least advised wait before a client's retry.
	minRetryAfter = 200 * time.Millisecond
	// retryAfterPerRequest is the advised wait for each queued request ahead.
	retryAfterPerRequest = 10 * time.Millisecond
)

// retryOrGiveUp decides after a failed attempt: another, or the final answer at once.
func (r *Router) retryOrGiveUp(req *request, a *attempt, event Outcome) {
	// Without its state a request is prefilled again, if attempts are left for that and the decode.
	mustDecode := r.config.DecodeCanPrefill && len(req.attempts)+2 > r.config.MaxAttempts
	stateKept := a.decode && req.state.backend != nil && (!event.StateMissing || mustDecode)
	if r.stateExpired(req) && !event.Result.NeverExecuted() && event.Result != EngineError {
		stateKept = false // the decode endpoint was silent all the while, and the state was released
	}
	reason := r.giveUpReason(req)
	if reason == ReasonNone && !r.mayRetry(req, stateKept) {
		reason = ReasonMayHaveRun
	}
	switch {
	case reason != ReasonNone:
		r.finish(req, r.finalAnswer(req, len(r.queue.waiting), reason))
	case stateKept:
		if event.Result == Rejected || event.Result == EngineError {
			r.renewState(req) // the decode arrived, and the state waited for it
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

// mayRetry reports that a request may have a further attempt, considering that one may have run. One that is
// idempotent with a key is not prefilled again: that would take too much of its dedup window.
func (r *Router) mayRetry(req *request, stateKept bool) bool {
	switch {
	case !req.execution.possible:
		return true
	case req.class.Idempotency == IdempotentWithKey:
		return stateKept
	}
	return req.class.Idempotency == Idempotent
}

// giveUpReason says why no further attempt of a request can be of use; ReasonNone: one can.
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

// finalAnswer is the answer to a request that is given up: a rejection where a retry is harmless, else a
// failure. A client's own retry of a request that is not idempotent can't be told from one after a lost
// answer, and is failed on arrival; so a rejection of one asks the client not to retry by itself. ahead is
// how many queued requests a retry would find.
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

// safeToRetry reports that a client may retry through any replica and at any endpoint.
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

// observeEnd takes the end of a request without a first token into load shedding. One given up counts as
// late, however soon: else a wave of rejections would look like answers in time. One that congested prefill
// endpoints made late counts there, and one given up in the queue has taken no capacity.
func (r *Router) observeEnd(req *request, givenUp bool) {
	queuedOnly := givenUp && len(req.attempts) == 0
	if !req.streaming && !req.shed && !req.congested && !queuedOnly {
		r.admission.shedder.observe(r.now, req.class, givenUp || r.now > req.objectiveAt())
	}
}

// finish is the one place where a request ends. It answers, cancels what is in flight and releases what is
// held. A nil answer means that none is owed.
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
	if req.state.requested && !req.streaming {
		r.emit(ReleaseState{req.ID})
	}
	r.queue.remove(req)
	r.readStates.unpark(req)
	if req.inFlight == 0 {
		delete(r.requests, req.ID)
	}
}
