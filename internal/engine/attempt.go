package engine

import (
	"context"
	"net"
	"sync"
	"time"
)

// Attempt is the handle by which an attempt is canceled and its progress read. The zero value is ready.
type Attempt struct {
	mu           sync.Mutex
	cancellation cancellation // under mu
	startedAt    time.Time    // under mu
	progress     Progress     // under mu

	delivery delivery    // of the attempt's goroutine
	stream   streamState // of the attempt's goroutine
}

// cancellation is what a call of Cancel ends.
type cancellation struct {
	canceled   bool
	cancelDial context.CancelFunc
	conn       net.Conn // nil once it went back to the pool
}

// delivery is how far the request has reached the engine.
type delivery struct {
	connected  bool // a connection was there to send the request on
	mayHaveRun bool // the engine may act on what it accepted of the request
}

// streamState is how far the response stream has come.
type streamState struct {
	begun         bool // its first token came and the sink took it
	lastEventSeen bool
	events        int // tokens by their place; the last event is not one
	cachedTokens  float64
	loadReport    []float64 // of a comment within the stream
}

// Cancel ends the attempt; its outcome is still reported.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.canceled = true
	if a.cancellation.cancelDial != nil {
		a.cancellation.cancelDial()
	}
	if a.cancellation.conn != nil {
		_ = a.cancellation.conn.Close() // the attempt's goroutine sees it closed, and reports that
	}
}

// Canceled reports whether the attempt was canceled.
func (a *Attempt) Canceled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancellation.canceled
}

// setCancelDial makes cancel what Cancel calls; false if the attempt is canceled already.
func (a *Attempt) setCancelDial(cancel context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.cancelDial = cancel
	return !a.cancellation.canceled
}

// attachConn makes nc the connection that Cancel closes; false if the attempt is canceled already.
func (a *Attempt) attachConn(nc net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.conn = nc
	return !a.cancellation.canceled
}

// detachConn keeps Cancel from closing the connection, which goes back to the pool; false if Cancel has closed it.
func (a *Attempt) detachConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancellation.conn = nil
	return !a.cancellation.canceled
}
