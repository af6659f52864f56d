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
	stateGone          = "gone"           // a writer found none, or it went with an answer
	stateReleased      = "released"       // an engine took the release
	stateLeft          = "left"           // the request ended, and the engine is not told or by another way
	stateReleaseFailed = "release failed" // none did
)

// holds notes that a read ended well at reader.
func (l *loop) holds(fl *flight, reader string) {
	l.endsState(fl, stateGone) // of an earlier read, which the later one has replaced
	fl.held = readState{reader, time.Now()}
	l.f.m.StatesHeld.Inc()
}

// endsState notes how the time of the state that fl holds ended, if it holds one.
func (l *loop) endsState(fl *flight, how string) {
	l.stateEnded(fl.held, how)
	fl.held = readState{}
}

// stateEnded is safe for concurrent use.
func (l *loop) stateEnded(held readState, how string) {
	if held.since.IsZero() {
		return
	}
	l.f.m.StatesHeld.Dec()
	l.f.m.StateHeldSeconds.WithLabelValues(how).Observe(time.Since(held.since).Seconds())
}

const (
	lookEvery   = time.Second      // between looks at what is held
	statusEvery = 10 * time.Second // between status lines
	overdueMost = 5                // lines about overdue states a look
)

// look logs states that are held past their time while no stream has begun, and a status line now and then.
func (l *loop) look() {
	var oldest time.Duration
	held, out, overdue := 0, 0, 0
	for _, fl := range l.flights {
		out += fl.out
		if fl.held.since.IsZero() {
			continue
		}
		held++
		age := time.Since(fl.held.since)
		oldest = max(oldest, age)
		if age <= l.releaseTime() || overdue == overdueMost {
			continue
		}
		overdue++
		last := fl.attempts[len(fl.attempts)-1]
		l.f.log.Warn("read state overdue", zap.String("id", fl.title()), zap.String("reader", fl.held.reader), zap.Duration("held_for", age),
			zap.String("last_attempt", last.srv.Name), zap.Object("progress", last.handle.Progress()))
	}
	if time.Since(l.status) < statusEvery {
		return
	}
	l.status = time.Now()
	l.f.log.Info("status", zap.Int("open_requests", len(l.flights)), zap.Int("attempts_out", out), zap.Int("states_held", held),
		zap.Duration("oldest_state", oldest), zap.Int("client_connections", l.f.connections()), zap.Int64("engine_connections", l.client.OpenConns()))
}

// logAttempt logs how an attempt ended that was not served: with the module's next action it tells why a request was repeated, refused
// or failed.
func (a *attempt) logAttempt(l *loop, out *engine.Outcome, took time.Duration) {
	ce := l.f.log.Check(zap.InfoLevel, "attempt failed")
	if ce == nil {
		return
	}
	stage := "read"
	if a.write {
		stage = "write"
	}
	ce.Write(zap.String("id", a.fl.title()), zap.Int("attempt", a.n), zap.String("engine", a.srv.Name), zap.String("stage", stage),
		zap.String("result", resultNames[out.Result]), zap.Bool("no_state", out.StateMissing), zap.Duration("took", took),
		zap.Object("progress", a.handle.Progress()), zap.Error(out.Err))
}
