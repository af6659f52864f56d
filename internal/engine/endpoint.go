package engine

import (
	"slices"
	"sync"
	"sync/atomic"

	"brackenbend/internal/monotonic"
	"brackenbend/routing"
)

// Endpoint is one engine and the connections to it.
type Endpoint struct {
	ID      routing.EndpointID
	Name    string
	Address string
	Role    routing.Role

	closed       atomic.Bool          // drains or is gone: nothing new is sent
	lastResponse monotonic.AtomicTime // 0 = never

	mu        sync.Mutex
	idle      []*persistConn // the longest idle first
	open      int            // connections open or being opened
	totalOpen *atomic.Int64  // the same for all endpoints of the client; set with the first connection
}

// Close stops everything new to the engine, also what was decided but has not sent its first byte. Idle connections
// are closed.
func (e *Endpoint) Close() {
	e.closed.Store(true)
	e.DiscardIdleConns()
}

// Open allows new work again.
func (e *Endpoint) Open() { e.closed.Store(false) }

// IsOpen reports whether new work may be sent to the engine.
func (e *Endpoint) IsOpen() bool { return !e.closed.Load() }

// LastResponse is when the engine last responded at all; 0 = never.
func (e *Endpoint) LastResponse() monotonic.Time { return e.lastResponse.Load() }

// markResponse records that the engine responds now.
func (e *Endpoint) markResponse() { e.lastResponse.Store(monotonic.Now()) }

// DiscardIdleConns closes idle connections, as after a restart of the process behind the address.
func (e *Endpoint) DiscardIdleConns() {
	e.discardIdle(func(*persistConn) bool { return true })
}

// discardIdle closes the idle connections that match.
func (e *Endpoint) discardIdle(match func(*persistConn) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = slices.DeleteFunc(e.idle, func(pc *persistConn) bool {
		if !match(pc) {
			return false
		}
		e.removeConn(pc)
		return true
	})
}

// removeConn closes a connection that is not, or is about to be no longer, among the idle ones; e.mu is held.
func (e *Endpoint) removeConn(pc *persistConn) {
	_ = pc.Close() // nothing more is sent or read on it, whether or not the close succeeds
	e.uncountConn()
}

// countConn counts a connection that is about to be opened, which then adds to totalOpen; e.mu is held.
func (e *Endpoint) countConn() { e.open++ }

// uncountConn takes a connection that is closed, or was never opened, out of the counts; e.mu is held.
func (e *Endpoint) uncountConn() {
	e.open--
	e.totalOpen.Add(-1)
}

// Conns is the number of connections open or being opened.
func (e *Endpoint) Conns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.open
}
