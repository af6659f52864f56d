package engine

import (
	"brackenbend/internal/http1"
	"brackenbend/routing"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// Attempt is the handle by which an attempt is called off. The zero value is ready.
type Attempt struct {
	mu    sync.Mutex
	off   bool
	stop  context.CancelFunc
	conn  net.Conn
	begun bool // the stream has begun
	seen  int  // its events
	done  bool // its last event came
	kept  float64
	load  []float64
	up    bool // a connection was there to send it on
	sent  bool // the engine may act on what was accepted of the request

	began    time.Time // under mu, as progress
	progress Progress
}

// Cancel ends the attempt; its outcome is still reported.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.off = true
	if a.stop != nil {
		a.stop()
	}
	if a.conn != nil {
		a.conn.Close()
	}
}

// Cancelled tells that the attempt was called off.
func (a *Attempt) Cancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.off
}

// stops makes stop what Cancel calls; false if the attempt is already off.
func (a *Attempt) stops(stop context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.off
}

// hold makes conn the one that Cancel closes; false if the attempt is already off.
func (a *Attempt) hold(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.off
}

// drop takes conn out of Cancel's reach before it goes back to the pool; false if it was closed.
func (a *Attempt) drop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.off
}

// ended is the outcome of an attempt that broke with err, by what is known to have been sent.
func (a *Attempt) ended(err error) Outcome {
	out := Outcome{Err: err, Result: routing.ConnectionReset}
	var proto *http1.Error
	switch {
	case a.Cancelled() && !a.sent:
		out.Result = routing.NotSent
	case a.Cancelled():
		out.Result = routing.Cancelled
	case !a.sent && a.up:
		out.Result = routing.RequestIncomplete
	case !a.sent:
		out.Result = routing.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Result = routing.TimedOut
	case errors.As(err, &proto): // it did answer: a writer has fetched its state, which is gone with the answer
		out.Result, out.StateMissing = routing.EngineError, true
	}
	return out
}
