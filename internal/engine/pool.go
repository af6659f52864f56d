package engine

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"brackenbend/choice"
)

// Server is one engine as this front speaks to it.
type Server struct {
	ID      choice.ServerID
	Name    string
	Address string
	Role    choice.Role

	closed atomic.Bool // told to drain or gone: nothing new

	mu    sync.Mutex
	idle  []*conn
	total int
}

// Shut stops everything new to the server, also what was decided but has not sent its first byte. Idle
// connections are closed.
func (s *Server) Shut() {
	s.closed.Store(true)
	s.Forget()
}

// Open lets new work through again.
func (s *Server) Open() { s.closed.Store(false) }

// IsOpen tells whether new work may go to the server.
func (s *Server) IsOpen() bool { return !s.closed.Load() }

// Forget closes idle connections, as after a restart of the process behind the address.
func (s *Server) Forget() {
	s.mu.Lock()
	idle := s.idle
	s.idle = nil
	s.total -= len(idle)
	s.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Connections is the number of connections open or being opened.
func (s *Server) Connections() int {
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
func (c *Client) take(a *Attempt, s *Server, fresh bool, deadline time.Time) (*conn, error) {
	s.mu.Lock()
	for !fresh && len(s.idle) > 0 {
		k := s.idle[len(s.idle)-1]
		s.idle = s.idle[:len(s.idle)-1]
		if time.Since(k.since) < c.IdleTime && quiet(k.Conn) {
			s.mu.Unlock()
			k.reused = true
			return k, nil
		}
		s.total--
		k.Close()
	}
	if s.total >= c.Connections {
		if len(s.idle) == 0 {
			s.mu.Unlock()
			return nil, errTooMany
		}
		s.idle[0].Close() // a fresh one is wanted: the oldest idle one makes room
		s.idle = s.idle[1:]
		s.total--
	}
	s.total++
	s.mu.Unlock()
	nc, err := c.dial(a, s, deadline)
	if err != nil {
		s.mu.Lock()
		s.total--
		s.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, 4096)}, nil
}

func (c *Client) dial(a *Attempt, s *Server, deadline time.Time) (net.Conn, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	if a != nil && !a.stops(stop) {
		return nil, errShut
	}
	d := net.Dialer{Timeout: c.DialTime, Deadline: deadline}
	return d.DialContext(ctx, "tcp", s.Address)
}

// give returns a connection after use; only one whose last message ended cleanly is kept.
func (c *Client) give(s *Server, k *conn, clean bool) {
	s.mu.Lock()
	if clean && s.IsOpen() && len(s.idle) < c.Idle && k.br.Buffered() == 0 && k.SetDeadline(time.Time{}) == nil {
		k.since = time.Now()
		s.idle = append(s.idle, k)
		s.mu.Unlock()
		return
	}
	s.total--
	s.mu.Unlock()
	k.Close()
}

// quiet tells that the peer has neither closed an idle connection nor sent anything on it. It narrows, but
// can't close, the gap in which a connection dies at reuse; so what may run only once dials anew.
func quiet(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(e, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
