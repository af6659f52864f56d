package gateway

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/monotonic"
)

// clientConn is the connection of one client. Its goroutine reads requests and writes every response that is not a
// stream. While a request is in flight it waits in a read, which ends when the client closes the connection, or when
// interruptRead moves the read deadline into the past.
type clientConn struct {
	gateway    *Gateway
	conn       net.Conn
	acceptedAt time.Time
	idleSince  monotonic.AtomicTime            // 0 = not idle, idleEvicted = closed by eviction
	current    atomic.Pointer[inflightRequest] // the request in flight, or nil
	hadRequest bool                            // a request has arrived; guarded by gateway.mu

	// Owned by the connection's goroutine.
	reader      *bufio.Reader
	closeReason string // metric label
	pipelined   bool   // the client sent more while a request was in flight

	// Owned by whoever writes to the connection: its goroutine, or the attempt that has begun to stream.
	wroteResponse      bool
	writeDeadlineSetAt time.Time

	readDeadlineMu sync.Mutex
	aborted        bool // reads fail at once, for good; guarded by readDeadlineMu
}

// clientReadBuffer is the size of a connection's read buffer. Each open connection holds one.
const clientReadBuffer = 2048

// idleEvicted in idleSince marks a connection that was closed in favor of a new one.
const idleEvicted = -1

// Bounds on what is read from a client after the sending side was closed.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// writeDeadlineSlack is the part of the write timeout for which a deadline is left as it is, instead of being set for
// every token.
const writeDeadlineSlack = 8

var longPast = time.Unix(1, 0)

func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	return &clientConn{
		gateway: g, conn: conn, acceptedAt: time.Now(), reader: bufio.NewReaderSize(conn, clientReadBuffer),
	}
}

// serve answers requests one after another and then closes the connection, which no other code does but
// closeIfIdleSince and abort.
func (c *clientConn) serve() {
	defer c.close()
	for {
		req, err := c.readRequest()
		if err != nil {
			c.closeReason = closeReasonOf(err)
			c.writeReadError(err)
			return
		}
		c.closeReason = closeAnswered // unless it ends for another reason
		if !c.handleRequest(req) {
			return
		}
	}
}

// close closes the connection. Closing with unread bytes resets a connection, and a reset drops what the system still
// holds of a response. So after a response, and while draining, the sending side is closed first, and what the client
// still sends is read and discarded within bounds of bytes and time.
func (c *clientConn) close() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if ok && (c.wroteResponse || c.gateway.drain.started.Load()) && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails on a broken connection, as the read does
		_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)       // any error ends the wait
	}
	_ = c.conn.Close() // nothing depends on it any more
}

// leaveIdle ends the time between two requests. It returns false for a connection that was evicted meanwhile: a request
// that arrived just then is not begun, since its client sends it again elsewhere.
func (c *clientConn) leaveIdle() bool { return c.idleSince.Swap(0) != idleEvicted }

// markIdle notes that the connection waits for a request's first byte.
func (c *clientConn) markIdle() { c.idleSince.Store(monotonic.Now()) }

// closeIfIdleSince evicts a connection that has been idle since then. It returns false if it is no longer.
func (c *clientConn) closeIfIdleSince(since monotonic.Time) bool {
	if !c.idleSince.CompareAndSwap(since, idleEvicted) {
		return false
	}
	_ = c.conn.Close() // its goroutine sees the close in its read
	return true
}

// interruptRead wakes the goroutine from its read. Callers close the request's done channel right after.
func (c *clientConn) interruptRead() { _ = c.conn.SetReadDeadline(longPast) } // fails only where the read fails too

// extendRead lets the goroutine wait for as long as the stream lasts; a collected answer has until deadline.
func (c *clientConn) extendRead(deadline time.Time) { _ = c.setReadDeadline(deadline) } // as above

func (c *clientConn) interruptIfIdle() {
	if c.idleSince.Load() > 0 {
		c.interruptRead()
	}
}

// abort ends the connection's work at the end of a shutdown, after the router has answered all requests. A stream is
// cut. Everything else is left to the connection's goroutine, whose reads fail at once: a whole request is rejected by
// the router, a partial one is answered with an error, and an idle connection is closed.
func (c *clientConn) abort() {
	c.readDeadlineMu.Lock()
	c.aborted = true
	c.interruptRead()
	c.readDeadlineMu.Unlock()
	if request := c.current.Load(); request != nil && request.state.Load() == answerStreaming {
		_ = c.conn.Close() // the attempt's next write fails
	}
}

// setReadDeadline bounds the following reads. Those of an aborted connection fail at once.
func (c *clientConn) setReadDeadline(deadline time.Time) error {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if c.aborted {
		deadline = longPast
	}
	return c.conn.SetReadDeadline(deadline)
}

// write writes within the write timeout, or up to an eighth less.
func (c *clientConn) write(b []byte) error {
	c.wroteResponse = true
	timeout := c.gateway.Limits.WriteTimeout
	if now := time.Now(); now.Sub(c.writeDeadlineSetAt) > timeout/writeDeadlineSlack {
		if err := c.conn.SetWriteDeadline(now.Add(timeout)); err != nil {
			return err
		}
		c.writeDeadlineSetAt = now
	}
	_, err := c.conn.Write(b)
	return err
}

// writeResponse writes a response that is not a stream.
func (c *clientConn) writeResponse(response Response, keepAlive bool) error {
	b := make([]byte, 0, headRoom+len(response.Body))
	b = response.appendTo(b, c.gateway.RetryAfter, keepAlive)
	if hook := c.gateway.hooks.Answer; hook != nil {
		b = hook(b)
	}
	return c.write(b)
}
