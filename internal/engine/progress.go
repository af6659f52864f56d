package engine

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Progress is how far an attempt came, for logs. Times count from the attempt's start; 0 = it did not come so far.
type Progress struct {
	ReusedConn      bool          // it was sent on a connection that had been used before
	Connected       time.Duration // a connection was there
	Written         time.Duration // the request's last byte was handed to the system, which does not tell that it arrived
	ResponseStarted time.Duration // the head of an answer was here
}

// LostOnReusedConn tells that the request was written on a kept connection and nothing came back: the connection may be dead with no sign.
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

// Progress tells how far the attempt has come.
func (a *Attempt) Progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress
}

// start notes when the attempt began.
func (a *Attempt) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.began = time.Now()
}

// advance notes a step of the attempt.
func (a *Attempt) advance(step func(p *Progress, since time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	step(&a.progress, max(time.Since(a.began), 1))
}
