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

// client is one client's connection. Its goroutine reads requests and writes all answers that are not streams;
// while a request is open it waits in a read, which ends when the client hangs up, or when kick moves the read
// deadline into the past.
type client struct {
	f         *Gateway
	nc        net.Conn
	br        *bufio.Reader
	idleSince atomic.Int64 // between requests since, as Unix time in nanoseconds; 0 = it is not; or evicted
	used      bool         // a request came; under f.mu
	made      time.Time
	flooded   bool   // sent more while a request was open; by its goroutine
	answered  bool   // something was written on it; by whoever writes
	closing   string // why it is closed, for metrics; by its goroutine
	deadline  sync.Mutex
	cut       bool // reads end at once, for good; under deadline
	fl        atomic.Pointer[flight]
	sent      time.Time // when the write deadline was last set; by whoever writes
}

var past = time.Unix(1, 0)

// evicted marks a connection that was ended between requests to make room.
const evicted = -1

// resume ends the time between requests. It is false for a connection that was evicted meanwhile: what came on it just then
// is not begun, since its client sends it again elsewhere.
func (c *client) resume() bool { return c.idleSince.Swap(0) != evicted }

// evict ends a connection that has been between requests since then; false if it no longer is.
func (c *client) evict(since int64) bool {
	if !c.idleSince.CompareAndSwap(since, evicted) {
		return false
	}
	c.nc.Close()
	return true
}

func newClient(f *Gateway, nc net.Conn) *client {
	return &client{f: f, nc: nc, made: time.Now(), br: bufio.NewReaderSize(nc, 2048)}
}

// kick ends the goroutine's wait in a read. Callers close the flight's done right after.
func (c *client) kick() { _ = c.nc.SetReadDeadline(past) }

// streams lets the wait go on for as long as the stream does; a whole answer has until last.
func (c *client) streams(last time.Time) { _ = c.setReadDeadline(last) }

func (c *client) kickIfIdle() {
	if c.idleSince.Load() > 0 {
		c.kick()
	}
}

// cutShort ends what the connection does: the front ends, and the module has been told so. A stream is broken off. All else
// is left to the connection's goroutine, whose reads end at once: a request that is whole is refused by the module, half
// of one is answered with an error, and an idle connection is closed.
func (c *client) cutShort() {
	c.deadline.Lock()
	c.cut = true
	_ = c.nc.SetReadDeadline(past)
	c.deadline.Unlock()
	if fl := c.fl.Load(); fl != nil && fl.state.Load() == streaming {
		c.nc.Close()
	}
}

// setReadDeadline bounds the reads that follow. Those of a connection that was cut short end at once.
func (c *client) setReadDeadline(at time.Time) error {
	c.deadline.Lock()
	defer c.deadline.Unlock()
	if c.cut {
		at = past
	}
	return c.nc.SetReadDeadline(at)
}

// write writes within the time that a client may take nothing, or an eighth less: the deadline is not set anew
// for every token.
func (c *client) write(b []byte) error {
	c.answered = true
	stall := c.f.Limits.WriteTimeout
	if now := time.Now(); now.Sub(c.sent) > stall/8 {
		if err := c.nc.SetWriteDeadline(now.Add(stall)); err != nil {
			return err
		}
		c.sent = now
	}
	_, err := c.nc.Write(b)
	return err
}

// serve answers requests one after another and then ends the connection; no other place does, but evict and cutShort.
func (c *client) serve() {
	defer c.end()
	for {
		req, err := c.next()
		if err != nil {
			c.closing = closeReason(err)
			c.complain(err)
			return
		}
		c.closing = closeAnswered // unless it ends for another reason
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
	closeEnding    = "front ending"
	closeMalformed = "malformed request"
	closeSlow      = "request not whole in time"
)

var (
	errEvicted = errors.New("front: the connection was closed to make room")
	errIdle    = errors.New("front: no request came in time")
	errEnding  = errors.New("front: no request came before the front ended")
)

// closeReason is the label for a connection on which next failed with err.
func closeReason(err error) string {
	var malformed *http1.Error
	switch {
	case errors.Is(err, errEvicted):
		return closeEvicted
	case errors.Is(err, errIdle):
		return closeIdle
	case errors.Is(err, errEnding):
		return closeEnding
	case errors.As(err, &malformed):
		return closeMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closeSlow
	}
	return closeClient
}

// end closes the connection. Closing over unread bytes resets a connection, and a reset takes with it what the system still
// holds of an answer. So once something was answered, or the front ends, the sending side is closed first, and what the
// client still sends is read and dropped, up to a bound in bytes and time.
func (c *client) end() {
	half, ok := c.nc.(interface{ CloseWrite() error })
	if ok && (c.answered || c.f.draining.Load()) && half.CloseWrite() == nil {
		_ = c.nc.SetReadDeadline(time.Now().Add(drainTime))
		_, _ = io.CopyN(io.Discard, c.nc, drainBytes)
	}
	c.nc.Close()
}

// The bounds on what is read from a client after the sending side was closed.
const (
	drainTime  = 500 * time.Millisecond
	drainBytes = 1 << 20
)

// next waits for a request and reads its head.
func (c *client) next() (*http1.Request, error) {
	l := c.f.Limits
	if err := c.setReadDeadline(c.within(l.IdleTimeout)); err != nil {
		return nil, err
	}
	c.idleSince.Store(time.Now().UnixNano())
	var err error
	if !c.f.draining.Load() { // else Shutdown may have looked before that was set
		_, err = c.br.Peek(1)
	}
	if !c.resume() {
		return nil, errEvicted
	}
	draining := c.f.draining.Load()
	if draining && c.setReadDeadline(c.f.look()) == nil {
		_, err = c.br.Peek(1)
	}
	switch {
	case err == nil:
	case draining:
		return nil, errEnding
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, errIdle
	default:
		return nil, io.EOF
	}
	if !http1.HeaderBuffered(c.br) {
		if err := c.setReadDeadline(c.within(l.HeaderTimeout)); err != nil {
			return nil, err
		}
	}
	return http1.ReadRequest(c.br, c.f.limits)
}

// within is the end of a wait for a part of a request: that of a connection's first must be here soon.
func (c *client) within(wait time.Duration) time.Time {
	at := time.Now().Add(wait)
	if first := c.made.Add(c.f.FirstRequestTimeout); c.f.FirstRequestTimeout > 0 && !c.used && first.Before(at) {
		return first
	}
	return at
}

// complain answers what can't be read as a request, and lets the answer arrive before the connection ends.
func (c *client) complain(err error) {
	var e *http1.Error
	switch {
	case errors.As(err, &e):
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = &http1.Error{Status: 408, Reason: "the request did not come in time"}
	default: // the client left
		return
	}
	c.f.m.RejectedConnections.WithLabelValues("malformed").Inc()
	a := &api.Error{Status: e.Status, Type: "invalid_request_error", Code: "malformed", Message: e.Reason}
	_ = c.send(Response{Status: e.Status, Body: a.JSON()}, false)
}

// send writes an answer that is not a stream.
func (c *client) send(a Response, keep bool) error {
	b := make([]byte, 0, 256+len(a.Body))
	b = http1.AppendStatusLine(b, a.Status)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(a.Body)))
	if a.wait > 0 && c.f.SendRetryAfter {
		seconds := strconv.Itoa(int(math.Ceil(a.wait.Seconds())))
		if c.f.FractionalRetryAfter {
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
	if bend := c.f.seam.Answer; bend != nil {
		b = bend(b)
	}
	return c.write(b)
}

// handle answers one request and tells whether the connection stays.
func (c *client) handle(req *http1.Request) bool {
	var body http1.Body
	body.Reset(c.br, &req.Message, c.f.limits)
	if a := c.f.Protocol.RespondDirectly(req); a != nil {
		return c.simple(req, &body, *a)
	}
	return c.completion(req, &body)
}

func (c *client) reject(req *http1.Request, body *http1.Body, e *api.Error) bool {
	return c.simple(req, body, Response{Status: e.Status, Body: e.JSON()})
}

// simple answers without a flight. A body that was not read ends the connection.
func (c *client) simple(req *http1.Request, body *http1.Body, a Response) bool {
	keep := !req.Close && body.AtEOF() && !c.f.parting()
	return c.send(a, keep) == nil && keep
}

// turn refuses a request before it is taken.
func (c *client) turn(req *http1.Request, body *http1.Body, reason, message string) bool {
	c.f.m.RejectedConnections.WithLabelValues(reason).Inc()
	e := &api.Error{Status: 503, Type: "server_error", Code: "overloaded", Message: message}
	return c.simple(req, body, Response{Status: 503, Body: e.JSON(), wait: time.Second})
}

func (c *client) completion(req *http1.Request, body *http1.Body) bool {
	f := c.f
	if f.parting() && f.AcceptWhileDraining == 0 {
		return c.turn(req, body, "draining", "this front is going down; nothing was done")
	}
	if f.open.Add(1) > int64(f.Limits.MaxOpenRequests) {
		f.open.Add(-1)
		return c.turn(req, body, "open requests", "too many requests are open at this front; nothing was done")
	}
	f.m.OpenRequests.Inc()
	defer func() { f.open.Add(-1); f.m.OpenRequests.Dec() }()
	size := req.ContentLength
	if size < 0 {
		size = int64(f.Limits.MaxBodyBytes)
	}
	fits := size <= int64(f.Limits.MaxBodyBytes)
	if fits && f.bodies.Add(size) > int64(f.Limits.MaxBufferedBodyBytes) {
		f.bodies.Add(-size)
		return c.turn(req, body, "body memory", "too many bytes of requests are held at this front; nothing was done")
	}
	if !fits {
		size = 0 // refused below
	}
	booked := size
	defer func() { f.bodies.Add(-booked) }()
	if req.ExpectContinue && fits {
		if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	if req.Chunked || req.ContentLength > int64(c.br.Buffered()) {
		if c.setReadDeadline(c.within(f.Limits.BodyTimeout)) != nil {
			return false
		}
	}
	text, err := http1.ReadAll(body, int64(f.Limits.MaxBodyBytes))
	if err != nil {
		c.closing = closeReason(err)
		c.complain(err)
		return false
	}
	fl, e := c.flight(req, text)
	if e != nil {
		f.m.RejectedConnections.WithLabelValues("invalid").Inc()
		return c.reject(req, body, e)
	}
	if f.RejectPipelining && c.br.Buffered() > 0 { // the client may have given up on the one before it
		f.m.RejectedConnections.WithLabelValues("pipelined").Inc()
		return c.reject(&http1.Request{Message: http1.Message{Close: true}}, body, oneByOne)
	}
	if !f.claim(fl.name) {
		f.m.RejectedConnections.WithLabelValues("open already").Inc()
		return c.reject(req, body, &api.Error{Status: 409, Type: "invalid_request_error", Code: "open_already", Message: "a request of this id is open"})
	}
	defer f.unclaim(fl.name)
	f.mu.Lock()
	c.used = true
	f.mu.Unlock()
	fl.bytes.Store(int64(len(text)))
	f.bodies.Add(int64(len(text)) - booked)
	booked = 0
	defer fl.freeBody()
	return c.fly(fl)
}

// flight reads a request's traits and makes its flight.
func (c *client) flight(req *http1.Request, body []byte) (*flight, *api.Error) {
	f := c.f
	t, e := f.Protocol.ParseRequest(req, body)
	if e != nil {
		return nil, e
	}
	n := f.ids.Add(1)
	if n > math.MaxUint32 {
		f.draining.Store(true)
		f.log.Error("all 2^32 request ids of this run are used; restart the front")
		return nil, &api.Error{Status: 503, Type: "server_error", Message: "this front must be restarted; nothing was done"}
	}
	now := time.Now()
	fl := &flight{
		id: routing.RequestID(n), name: t.ClientID, ask: t.Routing, prompt: t.Prompt, path: t.Path, key: t.IdempotencyKey, class: &f.classes[t.Routing.Class],
		to: c, chunks: req.Minor == 1, taken: now, keep: !req.Close && req.Minor == 1 && !f.parting(), done: make(chan struct{}), whole: t.Collector,
	}
	wait := t.FirstTokenTimeout
	if bend := f.seam.Wait; bend != nil {
		wait = bend(wait)
	}
	fl.due = now.Add(api.WithMargin(wait, f.AnswerMargin))
	if t.AnswerTimeout > 0 {
		fl.last = now.Add(api.WithMargin(t.AnswerTimeout, f.AnswerMargin))
	}
	return fl, nil
}

var oneByOne = &api.Error{Status: 400, Type: "invalid_request_error", Code: "pipelined", Message: "one request at a time on a connection"}

// claim takes the client's own id of a request for it; false: an open one has it.
func (f *Gateway) claim(name string) bool {
	if name == "" {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, open := f.names[name]; open {
		return false
	}
	f.names[name] = struct{}{}
	return true
}

func (f *Gateway) unclaim(name string) {
	if name != "" {
		f.mu.Lock()
		delete(f.names, name)
		f.mu.Unlock()
	}
}

// fly hands a flight to the loop and sees it to its end.
func (c *client) fly(fl *flight) bool {
	f := c.f
	backstop := fl.due.Add(f.AnswerMargin / 2)
	if c.setReadDeadline(backstop) != nil {
		return false
	}
	c.fl.Store(fl)
	defer c.fl.Store(nil)
	f.loop.tell(fl)
	left := c.await(fl, backstop)
	if left {
		fl.result, fl.reason = "gone", reasonLeft
	}
	fl.report(f)
	if left {
		c.closing = closeClient
		return false
	}
	if fl.answer.Status == 0 { // it was a stream
		return fl.keep && !c.flooded && fl.result != "gone" && (fl.result != "broken" || !f.CutBrokenStreams)
	}
	keep := fl.keep && !c.flooded && !f.parting()
	fl.answer.id = fl.title()
	return c.send(fl.answer, keep) == nil && keep
}

// await returns when the answer is set or the stream has ended; true: the client left before.
func (c *client) await(fl *flight, backstop time.Time) (left bool) {
	for {
		_, err := c.br.Peek(1)
		switch {
		case err == nil && fl.over(): // the whole answer may be with the client already: this is its next request
			<-fl.done
			return false
		case err == nil && c.f.RejectPipelining: // no client that waits for its answer sends this
			if fl.finish(Response{Status: oneByOne.Status, Body: oneByOne.JSON(), reason: reasonPipelined}) {
				fl.keep = false
				c.f.loop.post(item{ev: routing.ClientDisconnected{Request: fl.id}})
				return false
			}
			c.flooded = true
			return c.awaitDone(fl, backstop)
		case err == nil: // the next request is here already: no hang-up can be seen from now on
			return c.awaitDone(fl, backstop)
		case errors.Is(err, os.ErrDeadlineExceeded):
			select {
			case <-fl.done:
				return false
			default:
			}
			if again := c.expired(fl, backstop); again {
				continue
			}
			<-fl.done
			return false
		}
		return c.hangUp(fl)
	}
}

func (c *client) awaitDone(fl *flight, backstop time.Time) bool {
	for {
		at := backstop
		if fl.state.Load() == streaming {
			if at = fl.last; at.IsZero() {
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
			c.expired(fl, backstop)
		}
	}
}

// expired looks at a wait whose time is up. It tells whether the wait for a hang-up may go on.
func (c *client) expired(fl *flight, backstop time.Time) bool {
	now := time.Now()
	switch {
	case fl.state.Load() == streaming && !fl.last.IsZero() && !now.Before(fl.last):
		if fl.settle(streaming, failure(fl, reasonLateWhole)) { // a whole answer that is not whole in the client's time
			c.f.loop.post(item{ev: routing.ClientDisconnected{Request: fl.id}})
			c.callOff(fl)
		}
	case fl.state.Load() == open && !now.Before(backstop):
		if fl.finish(failure(fl, reasonBackstop)) {
			c.f.m.Backstops.Inc()
			c.f.log.Error("no decision came in the client's time", zap.String("id", fl.title()))
			c.f.loop.post(item{ev: routing.ClientDisconnected{Request: fl.id}})
		}
	}
	return false
}

// hangUp ends a flight whose client has left.
func (c *client) hangUp(fl *flight) bool {
	if fl.state.CompareAndSwap(open, gone) {
		c.f.loop.post(item{ev: routing.ClientDisconnected{Request: fl.id}})
		return true
	}
	if fl.state.CompareAndSwap(streaming, gone) {
		c.f.loop.post(item{ev: routing.ClientDisconnected{Request: fl.id}})
		c.callOff(fl)
		if fl.whole == nil {
			<-fl.done // the attempt writes to this connection until it ends
		}
		return true
	}
	<-fl.done
	return fl.answer.Status != 0 || fl.result == "gone"
}

// hungUp asks the system whether the client has closed its connection. The connection's goroutine finds out by itself, but may be
// scheduled late.
func (c *client) hungUp() bool { return socket.ReadState(c.nc) == socket.Closed }

// callOff ends the attempt that streams.
func (c *client) callOff(fl *flight) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, a := range fl.attempts {
		a.handle.Cancel()
	}
}

var _ engine.Sink = (*attempt)(nil)
