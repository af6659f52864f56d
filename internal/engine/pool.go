package engine

import (
	"brackenbend/internal/socket"
	"brackenbend/routing"
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Endpoint is one engine as this front speaks to it.
type Endpoint struct {
	ID      routing.EndpointID
	Name    string
	Address string
	Role    routing.Role

	closed atomic.Bool // told to drain or gone: nothing new

	lastAnswer atomic.Int64 // when it last answered anything, as Unix time in nanoseconds; 0 = never

	mu    sync.Mutex
	idle  []*conn // the oldest first
	total int
	all   *atomic.Int64 // connections to all servers; set with the first
}

// Close stops everything new to the server, also what was decided but has not sent its first byte. Idle
// connections are closed.
func (s *Endpoint) Close() {
	s.closed.Store(true)
	s.DiscardIdleConns()
}

// Open lets new work through again.
func (s *Endpoint) Open() { s.closed.Store(false) }

// IsOpen tells whether new work may go to the server.
func (s *Endpoint) IsOpen() bool { return !s.closed.Load() }

// LastResponse is when the server last answered anything, as Unix time in nanoseconds; 0 = never.
func (s *Endpoint) LastResponse() int64 { return s.lastAnswer.Load() }

// DiscardIdleConns closes idle connections, as after a restart of the process behind the address.
func (s *Endpoint) DiscardIdleConns() { s.retire(func(*conn) bool { return true }) }

// retire closes the idle connections that old names.
func (s *Endpoint) retire(old func(*conn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = slices.DeleteFunc(s.idle, func(k *conn) bool {
		if !old(k) {
			return false
		}
		s.closed1(k)
		return true
	})
}

// closed1 closes a connection that is off the idle ones and books it out; s.mu is held.
func (s *Endpoint) closed1(k net.Conn) {
	if k != nil {
		k.Close()
	}
	s.total--
	s.all.Add(-1)
}

// Conns is the number of connections open or being opened.
func (s *Endpoint) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

type conn struct {
	net.Conn
	br     *bufio.Reader
	since  time.Time // idle since
	reused bool
}

var errTooMany = errors.New("engine: connections to it are at their cap")

// take gets a connection: an idle one that is alive, unless fresh is asked for, else a new one until deadline
// (zero = none). a, where given, can call the dial off.
func (c *Client) take(a *Attempt, s *Endpoint, fresh bool, deadline time.Time) (*conn, error) {
	fresh = fresh || c.distrusts()
	s.mu.Lock()
	s.all = &c.all
	for i := len(s.idle) - 1; !fresh && i >= 0; i-- {
		k := s.idle[i]
		if time.Since(k.since) < c.ReuseDelay {
			continue
		}
		s.idle = slices.Delete(s.idle, i, i+1)
		if time.Since(k.since) < c.IdleTimeout && quiet(k.Conn) {
			s.mu.Unlock()
			k.reused = true
			return k, nil
		}
		s.closed1(k)
	}
	if s.total >= c.MaxConnsPerEndpoint {
		if len(s.idle) == 0 {
			s.mu.Unlock()
			return nil, errTooMany
		}
		s.closed1(s.idle[0]) // a fresh one is wanted: the oldest idle one makes room
		s.idle = s.idle[1:]
	}
	s.total++
	s.mu.Unlock()
	var nc net.Conn
	err := errTooMany
	if n := c.all.Add(1); c.MaxConns <= 0 || n <= int64(c.MaxConns) || c.makeRoom() {
		nc, err = c.dial(a, s, deadline)
	}
	if err != nil {
		s.mu.Lock()
		s.closed1(nil)
		s.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 4096)}, nil
}

// OpenConns is the number of connections to engines that are open or being opened.
func (c *Client) OpenConns() int64 { return c.all.Load() }

// makeRoom closes the connection that has been idle longest at any server.
func (c *Client) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var at *Endpoint
	var since time.Time
	for s := range c.resting {
		s.mu.Lock()
		if len(s.idle) > 0 && (at == nil || s.idle[0].since.Before(since)) {
			at, since = s, s.idle[0].since
		}
		s.mu.Unlock()
	}
	if at == nil {
		return false
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	if len(at.idle) == 0 { // taken meanwhile
		return false
	}
	at.closed1(at.idle[0])
	at.idle = at.idle[1:]
	return true
}

// distrust notes that a kept connection broke under its next request although nothing had shown that it would:
// engines, or what stands before them, end connections sooner than was told. Another request sent on such a one may
// be lost, and for unsafe work nobody may try it again; a new connection costs a handshake. So none is used again
// until all that are kept now are past their time.
func (c *Client) distrust() {
	c.broke.Store(time.Now().UnixNano())
}

// lostOnKept draws the conclusions from a request that was written on a kept connection and of which nothing was heard. One that broke
// says something of all; one on which nothing came in time may have been forgotten on the way, or its engine may be slow,
// so the others to that engine are not trusted with a request.
func (c *Client) lostOnKept(s *Endpoint, err error) {
	switch {
	case broken(err):
		c.distrust()
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.DiscardIdleConns()
	}
}

func (c *Client) distrusts() bool {
	at := c.broke.Load()
	return at != 0 && time.Now().UnixNano()-at < int64(c.IdleTimeout)
}

// CloseExpiredIdle closes connections that have been idle for IdleTime, so that engines need not.
func (c *Client) CloseExpiredIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.resting {
		s.retire(func(k *conn) bool { return time.Since(k.since) >= c.IdleTimeout })
		s.mu.Lock()
		if len(s.idle) == 0 {
			delete(c.resting, s)
		}
		s.mu.Unlock()
	}
}

func (c *Client) dial(a *Attempt, s *Endpoint, deadline time.Time) (net.Conn, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if a != nil && !a.stops(stop) {
		return nil, errShut
	}
	d := net.Dialer{Timeout: c.DialTimeout, Deadline: deadline}
	return d.DialContext(ctx, "tcp", s.Address)
}

// give returns a connection after use; only one whose last message ended cleanly is kept.
func (c *Client) give(s *Endpoint, k *conn, clean bool) {
	s.mu.Lock()
	if !clean || !s.IsOpen() || c.distrusts() || len(s.idle) >= c.MaxIdlePerEndpoint || k.br.Buffered() > 0 || k.SetDeadline(time.Time{}) != nil {
		s.closed1(k)
		s.mu.Unlock()
		return
	}
	k.since = time.Now()
	s.idle = append(s.idle, k)
	s.mu.Unlock()
	c.mu.Lock()
	if c.resting == nil {
		c.resting = map[*Endpoint]struct{}{}
	}
	c.resting[s] = struct{}{}
	c.mu.Unlock()
}

// quiet tells that the peer has neither closed an idle connection nor sent anything on it. It narrows, but
// can't close, the gap in which a connection dies at reuse; so what may run only once dials anew.
func quiet(nc net.Conn) bool { return socket.ReadState(nc) == socket.Idle }
