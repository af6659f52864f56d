package gateway

import (
	"brackenbend/internal/engine"
	"cmp"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Releasing what reads left at engines. Where state goes by each attempt's id, each reader is told of its own; where it goes by
// the request's id, any engine that runs passes the release on. It is given at once where only writes are out: one that has arrived
// keeps the state that it waits for, and one that has not arrived must not keep it from being released. Else it is given once no
// attempt is out, since it would not cover what a read under way leaves.

const (
	maxReleaseEndpoints = 8  // engines that are asked to release what a request holds, at most
	releaseSteps   = 10 // the next one is asked after this part of the release time without an answer
	maxReleaseRetries  = 10 // times that a release which failed is given anew, at most
	releasePause   = 4  // after this part of the release time
)

var errNoEngine = errors.New("front: no engine to release at")

// releaseRequested releases what reads of fl left at readers. Each is told once its attempt has ended, so that the release can't
// overtake the read; releasing twice is harmless.
func (l *eventLoop) releaseRequested(fl *inflightRequest) {
	if !l.releasesState {
		return
	}
	if fl.releaseWanted = true; l.engines.StateByRequestID {
		if !fl.releasedLater() {
			l.releaseNow(fl, 0)
		}
		return
	}
	if fl.decodeWaits() { // a reader that is told of its attempt's id can't see that a writer waits for the state
		return
	}
	for _, att := range fl.attempts {
		if att.decode || att.releaseStarted {
			continue
		}
		att.releaseStarted = true
		held := readState{}
		if att.endpoint.Name == fl.heldState.reader {
			held, fl.heldState = fl.heldState, held
		}
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			<-att.ended
			att.releaseState(l, held)
		}()
	}
}

// releasedLater tells that what fl may hold is released at the end of this round or when an attempt ends that does so by itself: a read, or
// one that was called off.
func (fl *inflightRequest) releasedLater() bool {
	if fl.pendingAttempts == 0 {
		return fl.answered()
	}
	for _, a := range fl.attempts {
		if a.pending && (!a.decode || a.handle.Cancelled()) {
			return true
		}
	}
	return false
}

// decodeWaits tells that a write is out which was not called off.
func (fl *inflightRequest) decodeWaits() bool {
	return slices.ContainsFunc(fl.attempts, func(a *attempt) bool { return a.pending && a.decode && !a.handle.Cancelled() })
}

// releaseNow releases what fl may hold. Its next attempt waits until that has ended: a release would take the state of the read
// that follows, too.
func (l *eventLoop) releaseNow(fl *inflightRequest, rounds int) {
	done := make(chan struct{})
	fl.releaseDone = done
	l.startRelease(l.newRelease(fl, rounds), func() { close(done) })
}

// newRelease is a release of what fl may hold, which counts as held no longer.
func (l *eventLoop) newRelease(fl *inflightRequest, rounds int) *release {
	r := &release{id: fl.clientID, servers: l.releaseOrder(fl), held: fl.heldState, flight: fl, rounds: rounds}
	fl.heldState = readState{}
	return r
}

// stateHolders are the readers that may hold state for fl, the latest first: those that said so, and those of which nobody knows how the
// read ended. The latter may be out of reach.
func (fl *inflightRequest) stateHolders() (told, unclear []*engine.Endpoint) {
	for _, a := range slices.Backward(fl.attempts) {
		switch {
		case a.decode || a.neverRan || slices.Contains(told, a.endpoint) || slices.Contains(unclear, a.endpoint):
		case a.mayHoldState:
			unclear = append(unclear, a.endpoint)
		default:
			told = append(told, a.endpoint)
		}
	}
	return told, unclear
}

// releaseUnclear releases what a flight that goes on may hold: its last attempt was a read of which nobody knows how it ended. The
// request may wait for long before it is read again, or that read may be sent and never arrive, and what it holds must not wait
// for either. The next attempt begins when the release has ended, which would take the state of the read that follows, too.
func (l *eventLoop) releaseUnclear(fl *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState || len(fl.attempts) == 0 {
		return
	}
	last := fl.attempts[len(fl.attempts)-1]
	if !last.mayHoldState || last.releaseStarted {
		return
	}
	last.releaseStarted = true
	l.releaseNow(fl, 0)
}

// releaseAll releases what a flight that ends may have left anywhere: the module asked for it, or a read of which nobody knows
// how it ended came before the one that was written from.
func (l *eventLoop) releaseAll(fl *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState {
		l.endState(fl, stateAbandoned)
		return
	}
	read := false
	for _, a := range fl.attempts {
		read = read || !a.decode && !a.neverRan
		fl.releaseWanted = fl.releaseWanted || a.mayHoldState && !a.releaseStarted
	}
	if fl.releaseWanted && read {
		l.startRelease(l.newRelease(fl, 0), func() {})
		return
	}
	l.endState(fl, stateFetched) // by a stream whose First was not heard of before its end
}

// releaseOrder is in which order engines are asked to release: those that hold the state, then the open ones that answered anything
// last. What nothing was heard of goes by its last answer, too: any engine that runs passes the release on.
func (l *eventLoop) releaseOrder(fl *inflightRequest) []*engine.Endpoint {
	told, others := fl.stateHolders()
	for _, s := range l.endpointsByID {
		if s.engine.IsOpen() && !slices.Contains(told, s.engine) && !slices.Contains(others, s.engine) {
			others = append(others, s.engine)
		}
	}
	slices.SortStableFunc(others, func(a, b *engine.Endpoint) int { return cmp.Compare(b.LastResponse(), a.LastResponse()) })
	order := append(told, others...)
	return order[:min(len(order), maxReleaseEndpoints)]
}

// release is what engines are asked to release.
type release struct {
	id      string             // of the request, or of the attempt
	servers []*engine.Endpoint // in the order in which they are asked
	held    readState          // what is known of it
	flight  *inflightRequest            // whose state it is
	rounds  int                // that have failed
	repeat  bool               // it is given a second time, since it may overtake the end of a write that was given up
}

// releaseCall is one engine to be asked.
type releaseCall struct {
	server *engine.Endpoint
	fresh  bool // on a new connection
}

// calls are the engines in the order in which they are asked. Kept connections may be dead with no sign, so only the first call rides
// on one; the engine that it went to, most likely the holder, is asked once more on a new one.
func (r *release) calls() []releaseCall {
	var calls []releaseCall
	for i, s := range r.servers {
		calls = append(calls, releaseCall{s, i > 0})
		if i == min(1, len(r.servers)-1) {
			calls = append(calls, releaseCall{r.servers[0], true})
		}
	}
	return calls
}

// startRelease releases in a goroutine of its own and calls done after that. What fails is given anew after a pause.
//
// A release spares a state for which a write waits. Where the last write was given up, its connection is closed, but no order holds
// between two connections: the release waits for a moment, and is given once more where no read can follow it.
func (l *eventLoop) startRelease(r *release, done func()) {
	r.flight.lastRelease = r
	last := r.flight.attempts[len(r.flight.attempts)-1]
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
			time.AfterFunc(l.stateTTL()/releasePause, func() { l.post(message{again: r}) })
		}
	}()
}

// retryRelease gives a release anew that has failed, or may have come too early: what an engine holds is owed until one takes the
// release. A request that goes on has another release behind it, or a read whose state the old release would take.
func (l *eventLoop) retryRelease(r *release) {
	fl := r.flight
	switch open := l.requests[fl.id] == fl; {
	case fl.lastRelease != r: // a later one is given
		l.observeStateEnd(r.held, stateReleaseFailed)
	case l.stopping || r.rounds > maxReleaseRetries:
		l.gateway.log.Error("read state given up", zap.String("request", r.id), zap.Int("rounds", r.rounds))
		l.observeStateEnd(r.held, stateReleaseFailed)
	case !open:
		r.servers = l.releaseOrder(fl)
		l.startRelease(r, func() {})
	case fl.releasedLater():
		fl.releaseWanted = true
		l.observeStateEnd(r.held, stateReleaseFailed)
	default:
		fl.heldState = r.held
		l.releaseNow(fl, r.rounds)
	}
}

// callRelease has one of the servers release. Several may be lost, and each takes long to show it, so the next one is
// asked whenever the ones before have said nothing for a part of the time, or have failed.
func (l *eventLoop) callRelease(r *release) error {
	calls, began := r.calls(), time.Now()
	deadline := began.Add(l.stateTTL())
	results := make(chan error, len(calls))
	attempts := make([]engine.Attempt, len(calls))
	err, asked, out := errNoEngine, 0, 0
	for released := false; !released && (asked < len(calls) || out > 0); {
		if asked < len(calls) {
			attempt, call := &attempts[asked], calls[asked]
			asked, out = asked+1, out+1
			go func() { results <- l.engines.ReleaseState(attempt, call.server, r.id, call.fresh, deadline) }()
		}
		wait := time.Until(deadline) + time.Second // Release ends by itself
		if asked < len(calls) {
			wait = l.stateTTL() / releaseSteps
		}
		timer := time.NewTimer(wait)
		select {
		case err = <-results:
			out--
			released = err == nil
		case <-timer.C:
		}
		timer.Stop()
	}
	for i := range asked {
		attempts[i].Cancel()
	}
	for ; out > 0; out-- {
		<-results
	}
	l.logRelease(r, asked, time.Since(began), err)
	return err
}

// logRelease logs and counts how a release ended.
func (l *eventLoop) logRelease(r *release, asked int, took time.Duration, err error) {
	fields := []zap.Field{zap.String("request", r.id), zap.Int("calls", asked), zap.Int("rounds_before", r.rounds), zap.Duration("took", took)}
	if !r.held.since.IsZero() {
		fields = append(fields, zap.String("reader", r.held.reader), zap.Duration("held_for", time.Since(r.held.since)))
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

func (l *eventLoop) stateTTL() time.Duration {
	if d := l.gateway.Routing.StateTTL; d > 0 {
		return d
	}
	return 300 * time.Millisecond // choice.Settings.ReleaseWithin's own default
}
