package gateway

import (
	"brackenbend/internal/engine"
	"time"

	"go.uber.org/zap"
)

// Watching read states: what a reader keeps for a request from the end of its read until a writer fetches it or the front
// releases it. This is for logs and metrics; the module decides when a state is released.

// readState is a state that a reader holds for a request.
type readState struct {
	reader string
	since  time.Time // when the front heard of the read's end; zero = none is held
}

// How a state's time ended, as a label.
const (
	stateFetched       = "fetched"        // a writer's stream began
	stateMissing          = "gone"           // a writer found none, or it went with an answer
	stateReleased      = "released"       // an engine took the release
	stateAbandoned          = "left"           // the request ended, and the engine is not told or by another way
	stateReleaseFailed = "release failed" // none did
)

// stateHeld notes that a read ended well at reader.
func (l *eventLoop) stateHeld(fl *inflightRequest, reader string) {
	l.endState(fl, stateMissing) // of an earlier read, which the later one has replaced
	fl.heldState = readState{reader, time.Now()}
	l.gateway.metrics.StatesHeld.Inc()
}

// endState notes how the time of the state that fl holds ended, if it holds one.
func (l *eventLoop) endState(fl *inflightRequest, how string) {
	l.observeStateEnd(fl.heldState, how)
	fl.heldState = readState{}
}

// observeStateEnd is safe for concurrent use.
func (l *eventLoop) observeStateEnd(held readState, how string) {
	if held.since.IsZero() {
		return
	}
	l.gateway.metrics.StatesHeld.Dec()
	l.gateway.metrics.StateHeldSeconds.WithLabelValues(how).Observe(time.Since(held.since).Seconds())
}

const (
	tickInterval   = time.Second      // between looks at what is held
	statusInterval = 10 * time.Second // between status lines
	maxOverdueLogs = 5                // lines about overdue states a look
)

// checkStates logs states that are held past their time while no stream has begun, and a status line now and then.
func (l *eventLoop) checkStates() {
	var oldest time.Duration
	held, out, overdue := 0, 0, 0
	for _, fl := range l.requests {
		out += fl.pendingAttempts
		if fl.heldState.since.IsZero() {
			continue
		}
		held++
		age := time.Since(fl.heldState.since)
		oldest = max(oldest, age)
		if age <= l.stateTTL() || overdue == maxOverdueLogs {
			continue
		}
		overdue++
		last := fl.attempts[len(fl.attempts)-1]
		l.gateway.log.Warn("read state overdue", zap.String("id", fl.displayID()), zap.String("reader", fl.heldState.reader), zap.Duration("held_for", age),
			zap.String("last_attempt", last.endpoint.Name), zap.Object("progress", last.handle.Progress()))
	}
	if time.Since(l.statusLoggedAt) < statusInterval {
		return
	}
	l.statusLoggedAt = time.Now()
	l.gateway.log.Info("status", zap.Int("open_requests", len(l.requests)), zap.Int("attempts_out", out), zap.Int("states_held", held),
		zap.Duration("oldest_state", oldest), zap.Int("client_connections", l.gateway.connections()), zap.Int64("engine_connections", l.engines.OpenConns()))
}

// logAttempt logs how an attempt ended that was not served: with the module's next action it tells why a request was repeated, refused
// or failed.
func (a *attempt) logAttempt(l *eventLoop, out *engine.Outcome, took time.Duration) {
	ce := l.gateway.log.Check(zap.InfoLevel, "attempt failed")
	if ce == nil {
		return
	}
	stage := "read"
	if a.decode {
		stage = "write"
	}
	ce.Write(zap.String("id", a.request.displayID()), zap.Int("attempt", a.index), zap.String("engine", a.endpoint.Name), zap.String("stage", stage),
		zap.String("result", resultNames[out.Result]), zap.Bool("no_state", out.StateMissing), zap.Duration("took", took),
		zap.Object("progress", a.handle.Progress()), zap.Error(out.Err))
}
