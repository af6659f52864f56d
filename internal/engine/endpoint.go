package engine

import (
	"slices"
	"sync"
	"sync/atomic"

	"brackenbend/internal/monotonic"
	"brackenbend/internal/socket"
	"brackenbend/routing"
)

// Endpoint is one engine and its pool of connections.
type Endpoint struct {
	ID      routing.EndpointID
	Name    string
	Address string
	Role    routing.Role

	closed       atomic.Bool          // draining or removed: no new request is sent
	lastResponse monotonic.AtomicTime // 0 = never

	mu             sync.Mutex
	idleConns      []*persistConn // the connection that has been idle longest comes first
	openConns      int            // connections open or being dialed
	totalOpenConns *atomic.Int64  // shared by all endpoints of the client; set before the first connection is counted
}

// Close keeps requests from being sent to the engine, also those of attempts in progress that have not yet written the
// first byte or a withheld last byte. It closes the idle connections.
func (e *Endpoint) Close() {
	e.closed.Store(true)
	e.DiscardIdleConns()
}

// Open allows new requests again after Close.
func (e *Endpoint) Open() { e.closed.Store(false) }

// IsOpen reports whether new requests may be sent to the engine.
func (e *Endpoint) IsOpen() bool { return !e.closed.Load() }

// LastResponse is when the engine last responded to a complete request, with any status; 0 = never.
func (e *Endpoint) LastResponse() monotonic.Time { return e.lastResponse.Load() }

// markResponse sets the time of the engine's last response to the present.
func (e *Endpoint) markResponse() { e.lastResponse.Store(monotonic.Now()) }

// DiscardIdleConns closes all idle connections, for example after the engine's process was restarted.
func (e *Endpoint) DiscardIdleConns() {
	e.discardIdle(func(*persistConn) bool { return true })
}

// discardIdle closes and removes the idle connections for which match returns true.
func (e *Endpoint) discardIdle(match func(*persistConn) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idleConns = slices.DeleteFunc(e.idleConns, func(pc *persistConn) bool {
		if !match(pc) {
			return false
		}
		e.removeIdleConn(pc)
		return true
	})
}

// removeConn closes a connection and uncounts it. The close is a reset, except after DeliverOnClose. The caller holds
// e.mu.
func (e *Endpoint) removeConn(pc *persistConn) {
	_ = pc.Close() // a failed close does no harm: the connection is not used again
	e.uncountConn()
}

// removeIdleConn closes a connection on which no request is open, without a reset, and uncounts it. The caller holds
// e.mu and removes the connection from the idle list if it is there.
func (e *Endpoint) removeIdleConn(pc *persistConn) {
	_ = socket.DeliverOnClose(pc.Conn) // if this fails, the engine sees a reset
	e.removeConn(pc)
}

// countConn counts a connection that is about to be dialed; dialWithinLimit adds it to totalOpenConns. The caller holds
// e.mu.
func (e *Endpoint) countConn() { e.openConns++ }

// uncountConn removes a connection that was closed or whose dial failed from both counts. The caller holds e.mu.
func (e *Endpoint) uncountConn() {
	e.openConns--
	e.totalOpenConns.Add(-1)
}

// Conns is the number of connections that are open or being dialed.
func (e *Endpoint) Conns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.openConns
}
