package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
)

// errNoReleaseEngine is the error of a release when there is no engine that could be asked.
var errNoReleaseEngine = errors.New("gateway: no engine is available to release the read state")

// startRelease makes the calls of a release in a goroutine of its own and then calls done. A release that failed is
// retried after a delay.
//
// A release doesn't drop a state that a decode waits for. If the last attempt is a decode that was aborted, its
// connection is closed, but the engine may process the release, which comes on another connection, before it notices
// that. So the first round waits for the settle delay, and the release is sent again later.
func (l *eventLoop) startRelease(r *release, done func()) {
	r.request.release.lastRelease = r
	last := r.request.attempts[len(r.request.attempts)-1]
	r.sendTwice = r.rounds == 0 && !last.pending && last.decodeAborted
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		if r.sendTwice {
			time.Sleep(l.engines.SettleDelay)
		}
		err := l.callRelease(r)
		done()
		if err != nil || r.sendTwice {
			r.rounds++
			time.AfterFunc(l.stateTTL()/releaseRetryDivisor, func() { l.post(nil, releaseDue{r}) })
		}
	}()
}

// retryRelease sends a release again that has failed, or that may have arrived too early. It is retried until an engine
// accepts it, at most maxReleaseRetries times. There is no retry if the request has started a later release, or will
// start one; a retry during a pending prefill would also drop the state of that prefill.
func (l *eventLoop) retryRelease(r *release) {
	request := r.request
	switch isOpen := l.requests[request.id] == request; {
	case request.release.lastRelease != r: // a later release has been started
		l.observeStateEnd(r.heldState, stateReleaseFailed)
	case l.stopping || r.rounds > maxReleaseRetries:
		l.gateway.log.Error("giving up on the release of a read state",
			zap.String("request", r.id), zap.Int("rounds", r.rounds))
		l.observeStateEnd(r.heldState, stateReleaseFailed)
	case !isOpen:
		r.endpoints = l.releaseOrder(request)
		l.startRelease(r, func() {})
	case request.willReleaseLater():
		request.release.requested = true
		l.observeStateEnd(r.heldState, stateReleaseFailed)
	default:
		request.release.heldState = r.heldState
		l.releaseNow(request, r.rounds)
	}
}

// callRelease asks the engines of a release one after another, until one of them accepts it. Several engines may be
// unreachable, and it takes long to find that out for each. So the next engine is asked when a call has failed, or, as
// a hedged request, when the last call has had no reply for a tenth of the state TTL.
func (l *eventLoop) callRelease(r *release) error {
	calls, startedAt := r.calls(), time.Now()
	deadline := startedAt.Add(l.stateTTL())
	results := make(chan error, len(calls))
	attempts := make([]engine.Attempt, len(calls))
	err, startedCalls, pendingCalls := errNoReleaseEngine, 0, 0
	for released := false; !released && (startedCalls < len(calls) || pendingCalls > 0); {
		if startedCalls < len(calls) {
			a, call := &attempts[startedCalls], calls[startedCalls]
			startedCalls, pendingCalls = startedCalls+1, pendingCalls+1
			go func() { results <- l.engines.ReleaseState(a, call.endpoint, r.id, call.newConn, deadline) }()
		}
		timeout := time.Until(deadline) + time.Second // the margin lets ReleaseState return at the deadline by itself
		if startedCalls < len(calls) {
			timeout = l.stateTTL() / releaseHedgeDivisor
		}
		timer := time.NewTimer(timeout)
		select {
		case err = <-results:
			pendingCalls--
			released = err == nil
		case <-timer.C:
		}
		timer.Stop()
	}
	for i := range startedCalls {
		attempts[i].Cancel()
	}
	for ; pendingCalls > 0; pendingCalls-- {
		<-results //nolint:errcheck // the result of a canceled call
	}
	l.logRelease(r, startedCalls, time.Since(startedAt), err)
	return err
}

// logRelease logs and counts the result of one round of calls.
func (l *eventLoop) logRelease(r *release, calls int, elapsed time.Duration, err error) {
	fields := []zap.Field{
		zap.String("request", r.id), zap.Int("calls", calls), zap.Int("rounds_before", r.rounds),
		zap.Duration("took", elapsed),
	}
	if !r.heldState.since.IsZero() {
		fields = append(fields,
			zap.String("reader", r.heldState.endpoint), zap.Duration("held_for", time.Since(r.heldState.since)))
	}
	if err != nil {
		l.gateway.metrics.StateReleases.WithLabelValues("failed").Inc()
		l.gateway.log.Warn("read state not released", append(fields, zap.Error(err))...)
		return
	}
	l.observeStateEnd(r.heldState, stateReleased)
	r.heldState = readState{}
	l.gateway.metrics.StateReleases.WithLabelValues("done").Inc()
	l.gateway.log.Info("read state released", fields...)
}
