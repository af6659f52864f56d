package gateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/monotonic"
	"brackenbend/routing"
)

// clientConn is a connection from a client. Its goroutine reads requests and writes every response that is not a
// stream. While a request is in flight, the goroutine blocks in a read, which returns when the client closes the
// connection or when interruptRead moves the read deadline into the past.
type clientConn struct {
	gateway        *Gateway
	conn           net.Conn
	acceptedAt     time.Time
	idleSince      monotonic.AtomicTime            // 0 = not idle, idleEvicted = closed by eviction
	currentRequest atomic.Pointer[inflightRequest] // the request in flight, or nil
	hadRequest     bool                            // a completion request was read; guarded by gateway.mu

	// Owned by the connection's goroutine.
	reader      *bufio.Reader
	closeReason string // metric label value
	pipelined   bool   // the client sent more data while a request was in flight

	// Owned by the writer to the connection: its goroutine, or the worker of the attempt that streams the answer.
	wroteResponse bool

	readDeadlineMu sync.Mutex
	aborted        bool // all further reads fail at once; guarded by readDeadlineMu
}

// clientReadBufferSize is the size of the read buffer of each open connection.
const clientReadBufferSize = 2048

// idleEvicted is the idleSince value of a connection that was closed to make room for a new one.
const idleEvicted = -1

// Bounds on the time for which, and the bytes up to which, input from a client is read and discarded after the sending
// side has been closed.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// pipelinedPause is the pause before a request that was sent before the response to the one before it. A client that
// sends without waiting could otherwise keep the processor busy.
const pipelinedPause = time.Millisecond

// pastDeadline is a read deadline that makes pending and later reads fail at once.
var pastDeadline = time.Unix(1, 0)

// newClientConn returns a connection that is idle from the start, so that it can be evicted before its goroutine runs.
func newClientConn(g *Gateway, conn net.Conn) *clientConn {
	c := &clientConn{
		gateway: g, conn: conn, acceptedAt: time.Now(), reader: bufio.NewReaderSize(conn, clientReadBufferSize),
	}
	c.markIdle()
	return c
}

// serve handles the requests on the connection one after another and then closes it. Apart from serve, only
// closeIfIdleSince and abort close the connection.
func (c *clientConn) serve() {
	defer c.close()
	for {
		req, err := c.readRequest()
		if err != nil {
			c.closeReason = closeReasonOf(err)
			c.writeReadError(err)
			return
		}
		c.closeReason = closeReasonAnswered // replaced if the connection ends for another reason
		if !c.handleRequest(req) {
			return
		}
		if c.reader.Buffered() > 0 {
			time.Sleep(pipelinedPause)
		}
	}
}

// close closes the connection. Closing a socket with unread input resets the connection, and a reset discards the part
// of a response that is still in socket buffers. So after a response, and while draining, the sending side is closed
// first, and further input is read and discarded for at most lingerTime and lingerBytes.
func (c *clientConn) close() {
	halfCloser, ok := c.conn.(interface{ CloseWrite() error })
	if ok && (c.wroteResponse || c.gateway.drain.started.Load()) && halfCloser.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails on a broken connection, where the read fails too
		_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)       // an error ends the discarding
	}
	_ = c.conn.Close() // the connection is not used after this
}

// clearIdle marks the end of the wait for a request. It returns false if the connection was evicted during the wait. A
// request that arrived at that moment must not be started, since the client sends it again on another connection.
func (c *clientConn) clearIdle() bool { return c.idleSince.Swap(0) != idleEvicted }

// markIdle records that the connection waits for the first byte of a request, unless it is idle or evicted already.
func (c *clientConn) markIdle() { c.idleSince.CompareAndSwap(0, monotonic.Now()) }

// closeIfIdleSince evicts the connection if it has been idle since the given time. It returns false if the connection
// is no longer idle.
func (c *clientConn) closeIfIdleSince(since monotonic.Time) bool {
	if !c.idleSince.CompareAndSwap(since, idleEvicted) {
		return false
	}
	_ = c.conn.Close() // the goroutine's read fails
	return true
}

// interruptRead makes the goroutine's blocked read return. A caller that ends a request closes its done channel right
// after.
func (c *clientConn) interruptRead() { _ = c.conn.SetReadDeadline(pastDeadline) } // fails only where the read fails too

// extendReadDeadline replaces the read deadline once an attempt owns the answer. The new deadline is that of the whole
// answer, or zero, which means none, if that is unknown. As in interruptRead, this fails only where the read fails too.
func (c *clientConn) extendReadDeadline(deadline time.Time) { _ = c.setReadDeadline(deadline) }

// interruptIdleRead ends the wait for a request, but not a later wait: the connection is not idle any more when its
// goroutine sets the deadline of that one.
func (c *clientConn) interruptIdleRead() {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if c.idleSince.Load() > 0 {
		c.interruptRead()
	}
}

// abort ends the connection when the time for a shutdown is over and the router has answered all requests. From now on
// all reads of the connection's goroutine fail: a request that was read completely is rejected by the router, a partial
// one gets an error response, and an idle connection is closed. If an attempt owns the answer, a stream's connection is
// closed at once, and an answer that is being collected, of which the client has nothing yet, is replaced by an error.
func (c *clientConn) abort() {
	c.readDeadlineMu.Lock()
	c.aborted = true
	c.interruptRead()
	c.readDeadlineMu.Unlock()
	request := c.currentRequest.Load()
	switch {
	case request == nil || request.state.Load() != answerStreaming:
	case request.collector == nil:
		_ = c.conn.Close() // the attempt's next write fails
	case request.respondFrom(answerStreaming, failureResponse(request, routing.ReasonShutdown.String())):
		c.postDisconnected(request)
		request.cancelAttempts()
	}
}

// streaming reports whether a stream to the client has begun and not ended.
func (c *clientConn) streaming() bool {
	request := c.currentRequest.Load()
	return request != nil && request.collector == nil && request.state.Load() == answerStreaming
}

// setReadDeadline sets the deadline for the following reads. On an aborted connection they fail at once.
func (c *clientConn) setReadDeadline(deadline time.Time) error {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if c.aborted {
		deadline = pastDeadline
	}
	return c.conn.SetReadDeadline(deadline)
}

// write writes b. It fails once the client has read nothing for the write timeout, so that its system takes no more.
func (c *clientConn) write(b []byte) error {
	c.wroteResponse = true
	for {
		if err := c.conn.SetWriteDeadline(time.Now().Add(c.gateway.Limits.WriteTimeout)); err != nil {
			return err
		}
		n, err := c.conn.Write(b)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
	}
}

// writeResponse writes a response that is not a stream.
func (c *clientConn) writeResponse(response Response, keepAlive bool) error {
	b := make([]byte, 0, headCapacity+len(response.Body))
	b = response.appendTo(b, c.gateway.RetryAfter, keepAlive)
	if hook := c.gateway.hooks.Answer; hook != nil {
		b = hook(b)
	}
	return c.write(b)
}
