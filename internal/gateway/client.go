package gateway

import (
	"brackenbend/internal/api"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/socket"
	"brackenbend/routing"
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// clientConn is one client's connection. Its goroutine reads requests and writes all answers that are not streams;
// while a request is open it waits in a read, which ends when the client hangs up, or when kick moves the read
// deadline into the past.
type clientConn struct {
	gateway         *Gateway
	conn        net.Conn
	reader        *bufio.Reader
	idleSince atomic.Int64 // between requests since, as Unix time in nanoseconds; 0 = it is not; or evicted
	hadRequest      bool         // a request came; under f.mu
	acceptedAt      time.Time
	pipelined   bool   // sent more while a request was open; by its goroutine
	wroteResponse  bool   // something was written on it; by whoever writes
	closeReason   string // why it is closed, for metrics; by its goroutine
	readDeadlineMu  sync.Mutex
	aborted       bool // reads end at once, for good; under deadline
	current        atomic.Pointer[inflightRequest]
	writeDeadlineSetAt      time.Time // when the write deadline was last set; by whoever writes
}

var past = time.Unix(1, 0)

// evicted marks a connection that was ended between requests to make room.
const evicted = -1

// leaveIdle ends the time between requests. It is false for a connection that was evicted meanwhile: what came on it just then
// is not begun, since its client sends it again elsewhere.
func (c *clientConn) leaveIdle() bool { return c.idleSince.Swap(0) != evicted }

// closeIfIdleSince ends a connection that has been between requests since then; false if it no longer is.
func (c *clientConn) closeIfIdleSince(since int64) bool {
	if !c.idleSince.CompareAndSwap(since, evicted) {
		return false
	}
	c.conn.Close()
	return true
}

func newClientConn(f *Gateway, nc net.Conn) *clientConn {
	return &clientConn{gateway: f, conn: nc, acceptedAt: time.Now(), reader: bufio.NewReaderSize(nc, 2048)}
}

// interruptRead ends the goroutine's wait in a read. Callers close the flight's done right after.
func (c *clientConn) interruptRead() { _ = c.conn.SetReadDeadline(past) }

// extendRead lets the wait go on for as long as the stream does; a whole answer has until last.
func (c *clientConn) extendRead(last time.Time) { _ = c.setReadDeadline(last) }

func (c *clientConn) interruptIfIdle() {
	if c.idleSince.Load() > 0 {
		c.interruptRead()
	}
}

// abort ends what the connection does: the front ends, and the module has been told so. A stream is broken off. All else
// is left to the connection's goroutine, whose reads end at once: a request that is whole is refused by the module, half
// of one is answered with an error, and an idle connection is closed.
func (c *clientConn) abort() {
	c.readDeadlineMu.Lock()
	c.aborted = true
	_ = c.conn.SetReadDeadline(past)
	c.readDeadlineMu.Unlock()
	if fl := c.current.Load(); fl != nil && fl.state.Load() == answerStreaming {
		c.conn.Close()
	}
}

// setReadDeadline bounds the reads that follow. Those of a connection that was cut short end at once.
func (c *clientConn) setReadDeadline(at time.Time) error {
	c.readDeadlineMu.Lock()
	defer c.readDeadlineMu.Unlock()
	if c.aborted {
		at = past
	}
	return c.conn.SetReadDeadline(at)
}

// write writes within the time that a client may take nothing, or an eighth less: the deadline is not set anew
// for every token.
func (c *clientConn) write(b []byte) error {
	c.wroteResponse = true
	stall := c.gateway.Limits.WriteTimeout
	if now := time.Now(); now.Sub(c.writeDeadlineSetAt) > stall/8 {
		if err := c.conn.SetWriteDeadline(now.Add(stall)); err != nil {
			return err
		}
		c.writeDeadlineSetAt = now
	}
	_, err := c.conn.Write(b)
	return err
}

// serve answers requests one after another and then ends the connection; no other place does, but evict and cutShort.
func (c *clientConn) serve() {
	defer c.close()
	for {
		req, err := c.readRequest()
		if err != nil {
			c.closeReason = closeReason(err)
			c.writeReadError(err)
			return
		}
		c.closeReason = closeAnswered // unless it ends for another reason
		if !c.handle(req) {
			return
		}
	}
}

// Why a client's connection was closed, as a label.
const (
	closeAnswered  = "after an answer"
	closeClient    = "by the client"
	closeEvicted   = "to make room"
	closeIdle      = "idle"
	closeShutdown    = "front ending"
	closeMalformed = "malformed request"
	closeSlow      = "request not whole in time"
)

var (
	errEvicted = errors.New("front: the connection was closed to make room")
	errIdle    = errors.New("front: no request came in time")
	errShutdown  = errors.New("front: no request came before the front ended")
)

// closeReason is the label for a connection on which next failed with err.
func closeReason(err error) string {
	var malformed *http1.Error
	switch {
	case errors.Is(err, errEvicted):
		return closeEvicted
	case errors.Is(err, errIdle):
		return closeIdle
	case errors.Is(err, errShutdown):
		return closeShutdown
	case errors.As(err, &malformed):
		return closeMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closeSlow
	}
	return closeClient
}

// close closes the connection. Closing over unread bytes resets a connection, and a reset takes with it what the system still
// holds of an answer. So once something was answered, or the front ends, the sending side is closed first, and what the
// client still sends is read and dropped, up to a bound in bytes and time.
func (c *clientConn) close() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if ok && (c.wroteResponse || c.gateway.draining.Load()) && half.CloseWrite() == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, c.conn, lingerBytes)
	}
	c.conn.Close()
}

// The bounds on what is read from a client after the sending side was closed.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// readRequest waits for a request and reads its head.
func (c *clientConn) readRequest() (*http1.Request, error) {
	l := c.gateway.Limits
	if err := c.setReadDeadline(c.readDeadline(l.IdleTimeout)); err != nil {
		return nil, err
	}
	c.idleSince.Store(time.Now().UnixNano())
	var err error
	if !c.gateway.draining.Load() { // else Shutdown may have looked before that was set
		_, err = c.reader.Peek(1)
	}
	if !c.leaveIdle() {
		return nil, errEvicted
	}
	draining := c.gateway.draining.Load()
	if draining && c.setReadDeadline(c.gateway.drainGraceEnd()) == nil {
		_, err = c.reader.Peek(1)
	}
	switch {
	case err == nil:
	case draining:
		return nil, errShutdown
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errIdle
	default:
		return nil, io.EOF
	}
	if !http1.HeaderBuffered(c.reader) {
		if err := c.setReadDeadline(c.readDeadline(l.HeaderTimeout)); err != nil {
			return nil, err
		}
	}
	return http1.ReadRequest(c.reader, c.gateway.limits)
}

// readDeadline is the end of a wait for a part of a request: that of a connection's first must be here soon.
func (c *clientConn) readDeadline(wait time.Duration) time.Time {
	at := time.Now().Add(wait)
	if first := c.acceptedAt.Add(c.gateway.FirstRequestTimeout); c.gateway.FirstRequestTimeout > 0 && !c.hadRequest && first.Before(at) {
		return first
	}
	return at
}

// writeReadError answers what can't be read as a request, and lets the answer arrive before the connection ends.
func (c *clientConn) writeReadError(err error) {
	var e *http1.Error
	switch {
	case errors.As(err, &e):
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = &http1.Error{Status: 408, Reason: "the request did not come in time"}
	default: // the client left
		return
	}
	c.gateway.metrics.RejectedConnections.WithLabelValues("malformed").Inc()
	a := &api.Error{Status: e.Status, Type: "invalid_request_error", Code: "malformed", Message: e.Reason}
	_ = c.writeResponse(Response{Status: e.Status, Body: a.JSON()}, false)
}

// writeResponse writes an answer that is not a stream.
func (c *clientConn) writeResponse(a Response, keep bool) error {
	b := make([]byte, 0, 256+len(a.Body))
	b = http1.AppendStatusLine(b, a.Status)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(a.Body)))
	if a.wait > 0 && c.gateway.SendRetryAfter {
		seconds := strconv.Itoa(int(math.Ceil(a.wait.Seconds())))
		if c.gateway.FractionalRetryAfter {
			seconds = strconv.FormatFloat(a.wait.Seconds(), 'f', 3, 64)
		}
		b = http1.AppendField(b, "Retry-After", seconds)
		b = http1.AppendField(b, "retry-after-ms", strconv.FormatInt(a.wait.Milliseconds(), 10))
	}
	if a.id != "" {
		b = http1.AppendField(b, engine.HeaderRequestID, a.id)
	}
	if a.noRetry {
		b = http1.AppendField(b, "x-should-retry", "false")
	}
	if !keep {
		b = http1.AppendField(b, "Connection", "close")
	}
	b = append(b, "\r\n"...)
	b = append(b, a.Body...)
	if bend := c.gateway.hooks.Answer; bend != nil {
		b = bend(b)
	}
	return c.write(b)
}

// handle answers one request and tells whether the connection stays.
func (c *clientConn) handle(req *http1.Request) bool {
	var body http1.Body
	body.Reset(c.reader, &req.Message, c.gateway.limits)
	if a := c.gateway.Protocol.RespondDirectly(req); a != nil {
		return c.respond(req, &body, *a)
	}
	return c.serveCompletion(req, &body)
}

func (c *clientConn) writeError(req *http1.Request, body *http1.Body, e *api.Error) bool {
	return c.respond(req, body, Response{Status: e.Status, Body: e.JSON()})
}

// respond answers without a flight. A body that was not read ends the connection.
func (c *clientConn) respond(req *http1.Request, body *http1.Body, a Response) bool {
	keep := !req.Close && body.AtEOF() && !c.gateway.drainDeadlinePassed()
	return c.writeResponse(a, keep) == nil && keep
}

// shed refuses a request before it is taken.
func (c *clientConn) shed(req *http1.Request, body *http1.Body, reason, message string) bool {
	c.gateway.metrics.RejectedConnections.WithLabelValues(reason).Inc()
	e := &api.Error{Status: 503, Type: "server_error", Code: "overloaded", Message: message}
	return c.respond(req, body, Response{Status: 503, Body: e.JSON(), wait: time.Second})
}

func (c *clientConn) serveCompletion(req *http1.Request, body *http1.Body) bool {
	f := c.gateway
	if f.drainDeadlinePassed() && f.AcceptWhileDraining == 0 {
		return c.shed(req, body, "draining", "this front is going down; nothing was done")
	}
	if f.openRequests.Add(1) > int64(f.Limits.MaxOpenRequests) {
		f.openRequests.Add(-1)
		return c.shed(req, body, "open requests", "too many requests are open at this front; nothing was done")
	}
	f.metrics.OpenRequests.Inc()
	defer func() { f.openRequests.Add(-1); f.metrics.OpenRequests.Dec() }()
	size := req.ContentLength
	if size < 0 {
		size = int64(f.Limits.MaxBodyBytes)
	}
	fits := size <= int64(f.Limits.MaxBodyBytes)
	if fits && f.bodyBytes.Add(size) > int64(f.Limits.MaxBufferedBodyBytes) {
		f.bodyBytes.Add(-size)
		return c.shed(req, body, "body memory", "too many bytes of requests are held at this front; nothing was done")
	}
	if !fits {
		size = 0 // refused below
	}
	booked := size
	defer func() { f.bodyBytes.Add(-booked) }()
	if req.ExpectContinue && fits {
		if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	if req.Chunked || req.ContentLength > int64(c.reader.Buffered()) {
		if c.setReadDeadline(c.readDeadline(f.Limits.BodyTimeout)) != nil {
			return false
		}
	}
	text, err := http1.ReadAll(body, int64(f.Limits.MaxBodyBytes))
	if err != nil {
		c.closeReason = closeReason(err)
		c.writeReadError(err)
		return false
	}
	fl, e := c.newInflightRequest(req, text)
	if e != nil {
		f.metrics.RejectedConnections.WithLabelValues("invalid").Inc()
		return c.writeError(req, body, e)
	}
	if f.RejectPipelining && c.reader.Buffered() > 0 { // the client may have given up on the one before it
		f.metrics.RejectedConnections.WithLabelValues("pipelined").Inc()
		return c.writeError(&http1.Request{Message: http1.Message{Close: true}}, body, errPipelined)
	}
	if !f.claimClientID(fl.clientID) {
		f.metrics.RejectedConnections.WithLabelValues("open already").Inc()
		return c.writeError(req, body, &api.Error{Status: 409, Type: "invalid_request_error", Code: "open_already", Message: "a request of this id is open"})
	}
	defer f.dropClientID(fl.clientID)
	f.mu.Lock()
	c.hadRequest = true
	f.mu.Unlock()
	fl.bodyBytes.Store(int64(len(text)))
	f.bodyBytes.Add(int64(len(text)) - booked)
	booked = 0
	defer fl.releaseBodyBytes()
	return c.serveInflight(fl)
}

// newInflightRequest reads a request's traits and makes its flight.
func (c *clientConn) newInflightRequest(req *http1.Request, body []byte) (*inflightRequest, *api.Error) {
	f := c.gateway
	t, e := f.Protocol.ParseRequest(req, body)
	if e != nil {
		return nil, e
	}
	n := f.lastRequestID.Add(1)
	if n > math.MaxUint32 {
		f.draining.Store(true)
		f.log.Error("all 2^32 request ids of this run are used; restart the front")
		return nil, &api.Error{Status: 503, Type: "server_error", Message: "this front must be restarted; nothing was done"}
	}
	now := time.Now()
	fl := &inflightRequest{
		id: routing.RequestID(n), clientID: t.ClientID, traits: t.Routing, bodies: t.Prompt, path: t.Path, idempotencyKey: t.IdempotencyKey, class: &f.classes[t.Routing.Class],
		conn: c, chunked: req.Minor == 1, acceptedAt: now, keepAlive: !req.Close && req.Minor == 1 && !f.drainDeadlinePassed(), done: make(chan struct{}), collector: t.Collector,
	}
	wait := t.FirstTokenTimeout
	if bend := f.hooks.Wait; bend != nil {
		wait = bend(wait)
	}
	fl.deadline = now.Add(api.WithMargin(wait, f.AnswerMargin))
	if t.AnswerTimeout > 0 {
		fl.answerDeadline = now.Add(api.WithMargin(t.AnswerTimeout, f.AnswerMargin))
	}
	return fl, nil
}

var errPipelined = &api.Error{Status: 400, Type: "invalid_request_error", Code: "pipelined", Message: "one request at a time on a connection"}

// claimClientID takes the client's own id of a request for it; false: an open one has it.
func (f *Gateway) claimClientID(name string) bool {
	if name == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.clientIDs[name]; open {
		return false
	}
	f.clientIDs[name] = struct{}{}
	return true
}

func (f *Gateway) dropClientID(name string) {
	if name != "" {
		f.mu.Lock()
		delete(f.clientIDs, name)
		f.mu.Unlock()
	}
}

// serveInflight hands a flight to the loop and sees it to its end.
func (c *clientConn) serveInflight(fl *inflightRequest) bool {
	f := c.gateway
	backstop := fl.deadline.Add(f.AnswerMargin / 2)
	if c.setReadDeadline(backstop) != nil {
		return false
	}
	c.current.Store(fl)
	defer c.current.Store(nil)
	f.loop.startRequest(fl)
	left := c.awaitAnswer(fl, backstop)
	if left {
		fl.result, fl.reason = "gone", reasonClientClosed
	}
	fl.logAnswer(f)
	if left {
		c.closeReason = closeClient
		return false
	}
	if fl.response.Status == 0 { // it was a stream
		return fl.keepAlive && !c.pipelined && fl.result != "gone" && (fl.result != "broken" || !f.CutBrokenStreams)
	}
	keep := fl.keepAlive && !c.pipelined && !f.drainDeadlinePassed()
	fl.response.id = fl.displayID()
	return c.writeResponse(fl.response, keep) == nil && keep
}

// awaitAnswer returns when the answer is set or the stream has ended; true: the client left before.
func (c *clientConn) awaitAnswer(fl *inflightRequest, backstop time.Time) (left bool) {
	for {
		_, err := c.reader.Peek(1)
		switch {
		case err == nil && fl.answered(): // the whole answer may be with the client already: this is its next request
			<-fl.done
			return false
		case err == nil && c.gateway.RejectPipelining: // no client that waits for its answer sends this
			if fl.respond(Response{Status: errPipelined.Status, Body: errPipelined.JSON(), reason: reasonPipelined}) {
				fl.keepAlive = false
				c.gateway.loop.post(message{event: routing.ClientDisconnected{Request: fl.id}})
				return false
			}
			c.pipelined = true
			return c.awaitAnswerUnread(fl, backstop)
		case err == nil: // the next request is here already: no hang-up can be seen from now on
			return c.awaitAnswerUnread(fl, backstop)
		case errors.Is(err, os.ErrDeadlineExceeded):
			select {
			case <-fl.done:
				return false
			default:
			}
			if again := c.readTimedOut(fl, backstop); again {
				continue
			}
			<-fl.done
			return false
		}
		return c.clientClosed(fl)
	}
}

func (c *clientConn) awaitAnswerUnread(fl *inflightRequest, backstop time.Time) bool {
	for {
		at := backstop
		if fl.state.Load() == answerStreaming {
			if at = fl.answerDeadline; at.IsZero() {
				<-fl.done
				return false
			}
		}
		timer := time.NewTimer(max(time.Until(at), time.Millisecond))
		select {
		case <-fl.done:
			timer.Stop()
			return false
		case <-timer.C:
			c.readTimedOut(fl, backstop)
		}
	}
}

// readTimedOut looks at a wait whose time is up. It tells whether the wait for a hang-up may go on.
func (c *clientConn) readTimedOut(fl *inflightRequest, backstop time.Time) bool {
	now := time.Now()
	switch {
	case fl.state.Load() == answerStreaming && !fl.answerDeadline.IsZero() && !now.Before(fl.answerDeadline):
		if fl.respondFrom(answerStreaming, failureResponse(fl, reasonAnswerTimeout)) { // a whole answer that is not whole in the client's time
			c.gateway.loop.post(message{event: routing.ClientDisconnected{Request: fl.id}})
			c.cancelAttempts(fl)
		}
	case fl.state.Load() == answerPending && !now.Before(backstop):
		if fl.respond(failureResponse(fl, reasonNoDecision)) {
			c.gateway.metrics.Backstops.Inc()
			c.gateway.log.Error("no decision came in the client's time", zap.String("id", fl.displayID()))
			c.gateway.loop.post(message{event: routing.ClientDisconnected{Request: fl.id}})
		}
	}
	return false
}

// clientClosed ends a flight whose client has left.
func (c *clientConn) clientClosed(fl *inflightRequest) bool {
	if fl.state.CompareAndSwap(answerPending, answerAbandoned) {
		c.gateway.loop.post(message{event: routing.ClientDisconnected{Request: fl.id}})
		return true
	}
	if fl.state.CompareAndSwap(answerStreaming, answerAbandoned) {
		c.gateway.loop.post(message{event: routing.ClientDisconnected{Request: fl.id}})
		c.cancelAttempts(fl)
		if fl.collector == nil {
			<-fl.done // the attempt writes to this connection until it ends
		}
		return true
	}
	<-fl.done
	return fl.response.Status != 0 || fl.result == "gone"
}

// peerClosed asks the system whether the client has closed its connection. The connection's goroutine finds out by itself, but may be
// scheduled late.
func (c *clientConn) peerClosed() bool { return socket.ReadState(c.conn) == socket.Closed }

// cancelAttempts ends the attempt that streams.
func (c *clientConn) cancelAttempts(fl *inflightRequest) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, a := range fl.attempts {
		a.handle.Cancel()
	}
}

var _ engine.Sink = (*attempt)(nil)
