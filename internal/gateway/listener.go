package gateway

import (
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/monotonic"
)

// Bounds on the backoff after a failed accept, which doubles each time.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 100 * time.Millisecond
)

// Serve accepts connections until Shutdown is called or the listener is closed.
func (g *Gateway) Serve(listener net.Listener) error {
	if !g.setListener(listener) {
		_ = listener.Close() // nothing was accepted on it
		return nil
	}
	defer g.goroutines.Done()
	defer func() { _ = listener.Close() }() // Shutdown may have closed it
	backoff := minAcceptBackoff
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			g.accept(conn)
		case g.drain.started.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)):
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			// For example, the process is out of file descriptors. Serve tries again later, also while draining. Until
			// then clients wait in the backlog.
			g.log.Error("accept failed", zap.Error(err))
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// setListener registers the listener and Serve's goroutine for Shutdown. If Shutdown was called before, it registers
// nothing and returns false, since Shutdown may already be waiting for the registered goroutines.
func (g *Gateway) setListener(listener net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drain.started.Load() {
		return false
	}
	g.listener = listener
	g.goroutines.Add(1)
	return true
}

// accept serves a connection in a goroutine of its own. At the connection limit it evicts an idle connection, or else
// closes the new one.
func (g *Gateway) accept(conn net.Conn) {
	g.mu.Lock()
	if len(g.conns) >= g.Limits.MaxConnections && !g.evictIdleConn() {
		g.mu.Unlock()
		g.metrics.EarlyRejections.WithLabelValues("connections").Inc()
		g.log.Info("connection turned away", zap.Stringer("client", conn.RemoteAddr()))
		_ = conn.Close() // nothing was read from it or written to it
		return
	}
	c := newClientConn(g, conn)
	g.conns[c] = struct{}{}
	g.goroutines.Add(1)
	g.mu.Unlock()
	g.metrics.ClientConnections.Inc()
	go func() {
		defer g.goroutines.Done()
		c.serve()
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
		g.metrics.ClientConnections.Dec()
		c.recordClose()
	}()
}

// evictIdleConn closes the connection that has been idle longest, if it has been idle for at least MinIdleTime.
// Connections that have had no completion request are closed first, and without that minimum, since a client should
// send its first one right after connecting. The caller holds g.mu.
func (g *Gateway) evictIdleConn() bool {
	if g.MinIdleTime == 0 {
		return false
	}
	now := monotonic.Now()
	for {
		oldest, idleSince := g.oldestIdleConn(now)
		if oldest == nil {
			return false
		}
		if oldest.closeIfIdleSince(idleSince) { // else a request has just arrived on it
			delete(g.conns, oldest)
			return true
		}
	}
}

// oldestIdleConn returns the connection to evict, or nil, and since when it has been idle. The caller holds g.mu.
func (g *Gateway) oldestIdleConn(now monotonic.Time) (oldest *clientConn, idleSince monotonic.Time) {
	for c := range g.conns {
		since := c.idleSince.Load()
		switch {
		case since <= 0 || c.hadRequest && now.Sub(since) < g.MinIdleTime:
			continue
		case oldest != nil && !oldest.hadRequest && c.hadRequest:
			continue
		}
		if oldest == nil || oldest.hadRequest && !c.hadRequest || since < idleSince {
			oldest, idleSince = c, since
		}
	}
	return oldest, idleSince
}
