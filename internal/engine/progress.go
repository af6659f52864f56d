package engine

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Progress is how far an attempt came, for logs. Times count from the attempt's start; 0 = it did not come so far.
type Progress struct {
	ReusedConn      bool          // it was sent on a connection that had been used before
	Connected       time.Duration // a connection was there
	Written         time.Duration // the system accepted the request's last byte, which does not say that it arrived
	ResponseStarted time.Duration // the header of a response was here
}

// LostOnReusedConn reports whether the request was written on a reused connection and nothing came back: the
// connection may be dead with no sign.
func (p Progress) LostOnReusedConn() bool {
	return p.ReusedConn && p.Written > 0 && p.ResponseStarted == 0
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p Progress) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddBool("kept_connection", p.ReusedConn)
	enc.AddDuration("connected", p.Connected)
	enc.AddDuration("written", p.Written)
	enc.AddDuration("answered", p.ResponseStarted)
	return nil
}

// Progress is how far the attempt has come.
func (a *Attempt) Progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress
}

// start notes when the attempt began.
func (a *Attempt) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedAt = time.Now()
}

// advance records a step of the attempt.
func (a *Attempt) advance(step func(p *Progress, elapsed time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	step(&a.progress, max(time.Since(a.startedAt), 1)) // 0 would say that the step was not reached
}
