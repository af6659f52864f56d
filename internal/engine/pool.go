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
)

// poolState is what a client knows of the connections to all its endpoints.
type poolState struct {
	open          atomic.Int64         // connections open or being opened
	reuseFailedAt monotonic.AtomicTime // when a reused connection last broke; 0 = never

	mu       sync.Mutex             // taken before an endpoint's
	withIdle map[*Endpoint]struct{} // endpoints that may have idle connections
}

// OpenConns is the number of connections to engines that are open or being opened.
func (c *Client) OpenConns() int64 { return c.pool.open.Load() }

// getConn returns an idle connection that is alive, unless a new one is asked for, else a new one until deadline
// (zero = none). The dial can be canceled by a, unless that is nil.
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

// reuseOrReserve takes an idle connection, unless a new one is asked for. With neither a connection nor an error it has
// counted one that the caller has to open.
func (c *Client) reuseOrReserve(e *Endpoint, newConn bool) (*persistConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totalOpen = &c.pool.open
	if !newConn {
		if pc := c.takeIdle(e); pc != nil {
			pc.reused = true
			return pc, nil
		}
	}
	if e.open >= c.MaxConnsPerEndpoint {
		if len(e.idle) == 0 {
			return nil, errConnLimit
		}
		e.removeConn(e.idle[0]) // makes room for the new one
		e.idle = e.idle[1:]
	}
	e.countConn()
	return nil, nil
}

// takeIdle takes the latest idle connection that has rested and is alive, and closes those that are not; e.mu is held.
func (c *Client) takeIdle(e *Endpoint) *persistConn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		pc := e.idle[i]
		if pc.idleFor() < c.ReuseDelay {
			continue
		}
		e.idle = slices.Delete(e.idle, i, i+1)
		if pc.idleFor() < c.IdleTimeout && pc.isQuiet() {
			return pc
		}
		e.removeConn(pc)
	}
	return nil
}

// dialWithinLimit opens a connection that its endpoint has counted, unless all engines together have too many.
func (c *Client) dialWithinLimit(a *Attempt, e *Endpoint, deadline time.Time) (net.Conn, error) {
	open := c.pool.open.Add(1)
	if c.MaxConns > 0 && open > int64(c.MaxConns) && !c.evictLongestIdle() {
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
	return dialer.DialContext(ctx, "tcp", e.Address)
}

// putConn returns a connection after use. It is kept only when its last response ended cleanly.
func (c *Client) putConn(e *Endpoint, pc *persistConn, clean bool) {
	if !c.keepIdle(e, pc, clean) {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.withIdle == nil {
		c.pool.withIdle = map[*Endpoint]struct{}{}
	}
	c.pool.withIdle[e] = struct{}{}
}

// keepIdle adds a connection to the idle ones of its endpoint, or closes it.
func (c *Client) keepIdle(e *Endpoint, pc *persistConn, clean bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	keep := clean && e.IsOpen() && !c.reuseSuspended() && len(e.idle) < c.MaxIdlePerEndpoint && pc.reusable()
	if !keep {
		e.removeConn(pc)
		return false
	}
	pc.idleSince = time.Now()
	e.idle = append(e.idle, pc)
	return true
}

// evictLongestIdle closes the connection that has been idle longest at any endpoint; false when none was idle.
func (c *Client) evictLongestIdle() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	var oldest *Endpoint
	var since time.Time
	for e := range c.pool.withIdle {
		e.mu.Lock()
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(since)) {
			oldest, since = e, e.idle[0].idleSince
		}
		e.mu.Unlock()
	}
	if oldest == nil {
		return false
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if len(oldest.idle) == 0 { // taken meanwhile
		return false
	}
	oldest.removeConn(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}

// CloseExpiredIdle closes connections that have been idle for IdleTimeout, so that engines need not.
func (c *Client) CloseExpiredIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for e := range c.pool.withIdle {
		e.discardIdle(func(pc *persistConn) bool { return pc.idleFor() >= c.IdleTimeout })
		e.mu.Lock()
		if len(e.idle) == 0 {
			delete(c.pool.withIdle, e)
		}
		e.mu.Unlock()
	}
}

// suspendReuse notes that a reused connection broke although its socket had shown nothing: engines, or proxies before
// them, close connections sooner than agreed. Another request sent on such a connection may be lost, and one that must
// run only once may not be retried; a new connection costs only a handshake. So none is reused until all that are idle
// now are past their time.
func (c *Client) suspendReuse() { c.pool.reuseFailedAt.Store(monotonic.Now()) }

// reuseSuspended reports whether connections are neither reused nor kept.
func (c *Client) reuseSuspended() bool {
	at := c.pool.reuseFailedAt.Load()
	return at != 0 && monotonic.Now().Sub(at) < c.IdleTimeout
}

// onReuseFailure follows a request that was written on a reused connection and got no response. A connection that
// broke makes all reuse doubtful. One that stayed silent may have died without a sign, or its engine may be slow: only
// the other idle connections to that engine are doubtful then.
func (c *Client) onReuseFailure(e *Endpoint, err error) {
	switch {
	case connectionBroke(err):
		c.suspendReuse()
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.DiscardIdleConns()
	}
}
