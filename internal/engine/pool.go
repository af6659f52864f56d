package engine

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/monotonic"
	"brackenbend/internal/socket"
)

// poolState holds what a client tracks about the connections to all its endpoints.
type poolState struct {
	openConns     atomic.Int64         // connections open or being dialed
	reuseFailedAt monotonic.AtomicTime // when a reused connection last failed; 0 = never

	mu                sync.Mutex             // locked before Endpoint.mu
	endpointsWithIdle map[*Endpoint]struct{} // endpoints that may have idle connections
}

// OpenConns is the number of connections to all engines that are open or being dialed.
func (c *Client) OpenConns() int64 { return c.pool.openConns.Load() }

// getConn returns a usable idle connection, or dials a new one if there is none, newConn is set or reuse is suspended.
// The dial ends after DialTimeout, at deadline (zero = none) or when a is canceled; a may be nil.
func (c *Client) getConn(a *Attempt, e *Endpoint, newConn bool, deadline time.Time) (*persistConn, error) {
	newConn = newConn || c.reuseSuspended()
	pc, err := c.reuseOrReserve(e, newConn)
	if pc != nil || err != nil {
		return pc, err
	}
	nc, err := c.dialWithinLimit(a, e, deadline)
	if err != nil {
		e.mu.Lock()
		e.uncountConn()
		e.mu.Unlock()
		return nil, err
	}
	return newPersistConn(nc), nil
}

// reuseOrReserve returns an idle connection unless newConn is set. If it returns neither a connection nor an error, it
// has counted a connection that the caller must dial.
func (c *Client) reuseOrReserve(e *Endpoint, newConn bool) (*persistConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totalOpenConns = &c.pool.openConns
	if !newConn {
		if pc := c.takeIdle(e); pc != nil {
			pc.reused = true
			return pc, nil
		}
	}
	if e.openConns >= c.MaxConnsPerEndpoint {
		if len(e.idleConns) == 0 {
			return nil, errConnLimit
		}
		e.removeIdleConn(e.idleConns[0]) // makes room for the new connection
		e.idleConns = e.idleConns[1:]
	}
	e.countConn()
	return nil, nil
}

// takeIdle removes and returns the most recently used idle connection that has been idle for ReuseDelay and is usable.
// On the way it closes those that have expired, were closed by the peer or have unread data. The caller holds e.mu.
func (c *Client) takeIdle(e *Endpoint) *persistConn {
	for i := len(e.idleConns) - 1; i >= 0; i-- {
		pc := e.idleConns[i]
		if pc.idleFor() < c.ReuseDelay {
			continue
		}
		e.idleConns = slices.Delete(e.idleConns, i, i+1)
		if pc.idleFor() < c.IdleTimeout && pc.peerIdle() {
			return pc
		}
		e.removeIdleConn(pc)
	}
	return nil
}

// dialWithinLimit dials a connection that its endpoint has already counted. At the limit MaxConns it first closes an
// idle connection of any endpoint, and fails if there is none.
func (c *Client) dialWithinLimit(a *Attempt, e *Endpoint, deadline time.Time) (net.Conn, error) {
	openConns := c.pool.openConns.Add(1)
	if c.MaxConns > 0 && openConns > int64(c.MaxConns) && !c.evictLongestIdle() {
		return nil, errConnLimit
	}
	return c.dial(a, e, deadline)
}

func (c *Client) dial(a *Attempt, e *Endpoint, deadline time.Time) (net.Conn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if a != nil && !a.setCancelDial(cancel) {
		return nil, errNotSent
	}
	dialer := net.Dialer{Timeout: c.DialTimeout, Deadline: deadline}
	nc, err := dialer.DialContext(ctx, "tcp", e.Address)
	if err != nil {
		return nil, err
	}
	_ = socket.ResetOnClose(nc) // fails only on a connection that has broken already
	return nc, nil
}

// putConn returns a connection after use. It keeps the connection idle if it may be reused, and closes it otherwise.
// reusable means that the last response was read to its end and allows reuse. If it is not set, the request may not
// have arrived yet, and the close is a reset, so that it never does.
func (c *Client) putConn(e *Endpoint, pc *persistConn, reusable bool) {
	if !c.keepIdle(e, pc, reusable) {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.endpointsWithIdle == nil {
		c.pool.endpointsWithIdle = map[*Endpoint]struct{}{}
	}
	c.pool.endpointsWithIdle[e] = struct{}{}
}

// keepIdle adds a connection to the idle connections of its endpoint and returns true, or closes it.
func (c *Client) keepIdle(e *Endpoint, pc *persistConn, reusable bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !reusable {
		e.removeConn(pc)
		return false
	}
	if !e.IsOpen() || c.reuseSuspended() || len(e.idleConns) >= c.MaxIdlePerEndpoint || !pc.prepareReuse() {
		e.removeIdleConn(pc)
		return false
	}
	pc.idleSince = time.Now()
	e.idleConns = append(e.idleConns, pc)
	return true
}

// evictLongestIdle closes the connection that has been idle longest across all endpoints. It returns false if there is
// no idle connection.
func (c *Client) evictLongestIdle() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	var oldest *Endpoint
	var idleSince time.Time
	for e := range c.pool.endpointsWithIdle {
		e.mu.Lock()
		if len(e.idleConns) > 0 && (oldest == nil || e.idleConns[0].idleSince.Before(idleSince)) {
			oldest, idleSince = e, e.idleConns[0].idleSince
		}
		e.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if len(oldest.idleConns) == 0 { // another goroutine has taken it
		return false
	}
	oldest.removeIdleConn(oldest.idleConns[0])
	oldest.idleConns = oldest.idleConns[1:]
	return true
}

// CloseExpiredIdle closes the connections that have been idle for IdleTimeout, before the engines close them.
func (c *Client) CloseExpiredIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for e := range c.pool.endpointsWithIdle {
		e.discardIdle(func(pc *persistConn) bool { return pc.idleFor() >= c.IdleTimeout })
		e.mu.Lock()
		if len(e.idleConns) == 0 {
			delete(c.pool.endpointsWithIdle, e)
		}
		e.mu.Unlock()
	}
}

// suspendReuse stops the reuse of connections for IdleTimeout, after which every connection that is idle now has
// expired. It is called after a reused connection failed although its socket had shown no close: engines, or proxies in
// front of them, close idle connections earlier than IdleTimeout assumes. A request sent on such a connection may be
// lost, and not every request may then be retried, while a new connection costs only a handshake.
func (c *Client) suspendReuse() { c.pool.reuseFailedAt.Store(monotonic.Now()) }

// reuseSuspended reports whether connections are currently neither reused nor kept idle.
func (c *Client) reuseSuspended() bool {
	failedAt := c.pool.reuseFailedAt.Load()
	return failedAt != 0 && monotonic.Now().Sub(failedAt) < c.IdleTimeout
}

// onReuseFailure handles the failure of a request that was written on a reused connection and got no response. If the
// connection broke, the reuse of all connections is suspended. If the response timed out, either the connection was
// lost without a reset or the engine is slow, so only the other idle connections to that engine are closed.
func (c *Client) onReuseFailure(e *Endpoint, err error) {
	switch {
	case connectionBroke(err):
		c.suspendReuse()
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.DiscardIdleConns()
	}
}
