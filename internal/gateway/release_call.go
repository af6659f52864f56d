package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
)

// errNoEngine is the error of a release for which there is no engine to ask.
var errNoEngine = errors.New("gateway: no engine to release at")

// startRelease makes the calls of a release in a goroutine of its own, and calls done after that. A release that failed
// is retried after a pause.
//
// A release spares a state for which a decode waits. Where the last decode was aborted, its connection is closed, but
// there is no order between two connections: the release waits for a moment, and is repeated where no prefill can
// follow it.
func (l *eventLoop) startRelease(r *release, done func()) {
	r.request.release.last = r
	last := r.request.attempts[len(r.request.attempts)-1]
	r.repeat = r.rounds == 0 && !last.pending && last.decodeAborted
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		if r.repeat {
			time.Sleep(l.engines.SettleDelay)
		}
		err := l.callRelease(r)
		done()
		if err != nil || r.repeat {
			r.rounds++
			time.AfterFunc(l.stateTTL()/releaseRetryPart, func() { l.post(nil, releaseDue{r}) })
		}
	}()
}

// retryRelease sends a release again that has failed, or may have come too early: a state must be released until an
// engine accepts it. A request that goes on has another release behind it, or a prefill whose state the old release
// would take.
func (l *eventLoop) retryRelease(r *release) {
	request := r.request
	switch isOpen := l.requests[request.id] == request; {
	case request.release.last != r: // a later one has been started
		l.observeStateEnd(r.held, stateReleaseFailed)
	case l.stopping || r.rounds > maxReleaseRetries:
		l.gateway.log.Error("read state given up", zap.String("request", r.id), zap.Int("rounds", r.rounds))
		l.observeStateEnd(r.held, stateReleaseFailed)
	case !isOpen:
		r.endpoints = l.releaseOrder(request)
		l.startRelease(r, func() {})
	case request.releasedLater():
		request.release.wanted = true
		l.observeStateEnd(r.held, stateReleaseFailed)
	default:
		request.release.held = r.held
		l.releaseNow(request, r.rounds)
	}
}

// callRelease has one of the engines release. Several may be lost, and it takes long to find out for each, so the next
// one is asked whenever those before have not replied for a part of the time, or have failed.
func (l *eventLoop) callRelease(r *release) error {
	calls, began := r.calls(), time.Now()
	deadline := began.Add(l.stateTTL())
	results := make(chan error, len(calls))
	attempts := make([]engine.Attempt, len(calls))
	err, asked, pending := errNoEngine, 0, 0
	for released := false; !released && (asked < len(calls) || pending > 0); {
		if asked < len(calls) {
			a, call := &attempts[asked], calls[asked]
			asked, pending = asked+1, pending+1
			go func() { results <- l.engines.ReleaseState(a, call.endpoint, r.id, call.newConn, deadline) }()
		}
		wait := time.Until(deadline) + time.Second // beyond the end of ReleaseState, which keeps the deadline itself
		if asked < len(calls) {
			wait = l.stateTTL() / releaseSteps
		}
		timer := time.NewTimer(wait)
		select {
		case err = <-results:
			pending--
			released = err == nil
		case <-timer.C:
		}
		timer.Stop()
	}
	for i := range asked {
		attempts[i].Cancel()
	}
	for ; pending > 0; pending-- {
		<-results //nolint:errcheck // the result of a canceled call
	}
	l.logRelease(r, asked, time.Since(began), err)
	return err
}

// logRelease logs and counts how a release ended.
func (l *eventLoop) logRelease(r *release, asked int, elapsed time.Duration, err error) {
	fields := []zap.Field{
		zap.String("request", r.id), zap.Int("calls", asked), zap.Int("rounds_before", r.rounds),
		zap.Duration("took", elapsed),
	}
	if !r.held.since.IsZero() {
		fields = append(fields,
			zap.String("reader", r.held.endpoint), zap.Duration("held_for", time.Since(r.held.since)))
	}
	if err != nil {
		l.gateway.metrics.Releases.WithLabelValues("failed").Inc()
		l.gateway.log.Warn("read state not released", append(fields, zap.Error(err))...)
		return
	}
	l.observeStateEnd(r.held, stateReleased)
	r.held = readState{}
	l.gateway.metrics.Releases.WithLabelValues("done").Inc()
	l.gateway.log.Info("read state released", fields...)
}
