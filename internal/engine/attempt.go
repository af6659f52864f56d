package engine

import (
	"context"
	"net"
	"sync"
	"time"
)

// Attempt is a handle to cancel one attempt and to read its progress. The zero value is ready to use.
type Attempt struct {
	mu           sync.Mutex
	cancellation cancellation // guarded by mu
	startedAt    time.Time    // guarded by mu
	progress     Progress     // guarded by mu

	delivery delivery    // used only by the attempt's goroutine
	stream   streamState // used only by the attempt's goroutine
}

// cancellation holds the dial and the connection that Cancel aborts.
type cancellation struct {
	canceled   bool
	cancelDial context.CancelFunc
	conn       net.Conn // nil after its return to the pool
}

// delivery records how much of the request has reached the engine.
type delivery struct {
	connected  bool // a connection was available for the request
	mayHaveRun bool // the engine may have started executing the request
}

// streamState records what was received of the response stream.
type streamState struct {
	begun             bool // the first token arrived and Sink.Begin accepted the stream
	lastEventReceived bool
	answer            answerProgress
	events            int       // events with data, without the last one (sse.Done); used as the token count
	bytes             int64     // bytes of the body that were read
	lastEventAt       time.Time // when the last event that brought the answer on was read; zero = none yet
	cachedTokens      float64
	loadReport        []float64 // from a comment in the stream; nil = none
}

// Cancel aborts the attempt. Prefill or Decode still returns its outcome. The connection is reset, so that a part of
// the request that has not arrived yet never does.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.cancel()
}

// CancelUnarrived cancels the attempt unless its request has arrived at the engine. A request whose answer nobody needs
// any more must not arrive later, also where engines can't abort the work on one that has arrived.
func (a *Attempt) CancelUnarrived() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.progress.ResponseStarted > 0 || a.progress.Written > 0 && requestArrived(a.cancellation.conn) {
		return
	}
	a.cancellation.cancel()
}

// cancel aborts the dial or closes the connection. The caller holds Attempt.mu.
func (c *cancellation) cancel() {
	c.canceled = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if c.conn != nil {
		_ = c.conn.Close() // wakes the attempt's goroutine, whose I/O on it fails
	}
}

// Canceled reports whether the attempt was canceled.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancellation.canceled
}

// setCancelDial sets the function by which Cancel aborts the dial. It returns false if the attempt is already canceled.
func (a *Attempt) setCancelDial(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.cancelDial = cancel
	return !a.cancellation.canceled
}

// attachConn sets the connection that Cancel closes. It returns false if the attempt is already canceled.
func (a *Attempt) attachConn(nc net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.conn = nc
	return !a.cancellation.canceled
}

// detachConn stops Cancel from closing the connection, so that it can return to the pool. It returns false if Cancel
// has already closed it.
func (a *Attempt) detachConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.conn = nil
	return !a.cancellation.canceled
}
