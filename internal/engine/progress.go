package engine

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// Progress records when an attempt reached each step, for logs. Times count from the attempt's start; 0 = the step was
// not reached.
type Progress struct {
	ReusedConn      bool          // the connection had served an earlier request
	Connected       time.Duration // a connection was available
	Written         time.Duration // the kernel accepted the request's last byte, which may not have arrived yet
	ResponseStarted time.Duration // the response header was read
}

// LostOnReusedConn reports whether the request was written on a reused connection and got no response. The connection
// may have been lost without a reset.
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

// Progress returns the steps that the attempt has reached so far.
func (a *Attempt) Progress() Progress {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.progress
}

// start records the start time of the attempt.
func (a *Attempt) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.startedAt = time.Now()
}

// advance records that the attempt has reached a step.
func (a *Attempt) advance(step func(p *Progress, elapsed time.Duration)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	step(&a.progress, max(time.Since(a.startedAt), 1)) // 0 would mean that the step was not reached
}

// StreamProgress is how far a stream had got when it ended, for logs.
type StreamProgress struct {
	Events         int           // events with data, without the last one; used as the token count
	Bytes          int64         // bytes of the body that were read
	SinceLastEvent time.Duration // from the last event that brought the answer on to the end; 0 = there was none
}

// progress returns how far the stream has got.
func (s *streamState) progress() StreamProgress {
	p := StreamProgress{Events: s.events, Bytes: s.bytes}
	if !s.lastEventAt.IsZero() {
		p.SinceLastEvent = time.Since(s.lastEventAt)
	}
	return p
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (p StreamProgress) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt("events", p.Events)
	enc.AddInt64("bytes", p.Bytes)
	enc.AddDuration("since_last_event", p.SinceLastEvent)
	return nil
}
