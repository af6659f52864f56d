// Package engine speaks to the engines: vLLM's published convention for disaggregated prefill over HTTP/1.1,
// pooled connections, and the table that turns every network outcome into one choice.Result (docs/front.md
// prints it). It owns no choice among engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/choice"
	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
)

// Dialect is what engines are told and how their answers are read. VLLM is this product's own.
type Dialect interface {
	// Head appends the head of a call's request, without its empty line.
	Head(b []byte, s *Server, call *Call) []byte
	// Whole reads an answer that is no stream; err tells that its body broke.
	Whole(read bool, resp *http1.Response, text []byte, err error) Outcome
	// Release is the call that lets go of what id holds, as a whole message; nil: engines let go by themselves.
	Release(s *Server, id string) []byte
	// Released tells that an engine's answer to it is a success.
	Released(status int) bool
}

// Client holds what is common to all engines. Its fields are set before its first use.
type Client struct {
	Dialect     Dialect
	Load        string // field of load reports, and how a stream's comment that holds one begins
	ByRequest   bool   // state goes by the request's id, at whatever engine; else by each attempt's, at its engine
	ToLastChunk bool   // a stream is whole with the last chunk behind its last event; else with that event
	WholeSent   bool   // an engine begins with a request's last byte; else its first byte may have an effect
	// Settle is how long the last byte of what may run only once is held back: a connection that breaks in that time,
	// as new ones may, did not run it for certain. 0 = not at all; it needs WholeSent.
	Settle      time.Duration
	Pause       func(time.Duration) // time.Sleep, where tests don't say otherwise
	DialTime    time.Duration
	HeadTime    time.Duration // for an answer's head, from its first byte; 0 = until the call's deadline
	Stream      int64         // bytes of a whole stream; 0 = no bound
	Connections int           // at once, an engine
	Total       int           // at once, all engines; 0 = no bound
	Idle        int           // kept, an engine
	IdleTime    time.Duration
	// Rest is how long a connection is not used again after an answer: a second one, which nobody asked for, may come a little
	// late, and would be taken for that of the next request. 0 = not at all.
	Rest       time.Duration
	StreamIdle time.Duration // longest silence within a stream
	Event      int           // bytes of one event
	Reply      int64         // bytes of an answer that is not a stream
	Limits     http1.Limits
	Report     []string // names of load figures, in the module's order

	all     atomic.Int64         // connections open or being opened
	mu      sync.Mutex           // taken before a server's
	resting map[*Server]struct{} // servers that may have idle connections
	broke   atomic.Int64         // when a kept connection broke under its next request, as Unix time in nanoseconds; 0 = never
}

// Call is one attempt's request.
type Call struct {
	Path     string
	ID       string // of this attempt, unique over fronts and restarts
	Key      string // Idempotency-Key, empty = none
	Body     []byte
	Once     bool          // may run only once: rides on a connection of its own
	Fresh    bool          // rides on a new connection
	Connect  time.Duration // for a new connection to come up; 0 = Client.DialTime
	Deadline time.Time     // for the first token, or the whole of a read
	SendBy   time.Time     // for the last byte to be written; zero = no bound but Deadline
	// Over tells, at the moment of writing, that nobody waits for the request any more; nil = somebody does.
	Over func() bool
}

// over tells that the request must not be sent any more.
func (c *Call) over() bool { return c.Over != nil && c.Over() || c.late() }

// late tells that the time to send the request has passed.
func (c *Call) late() bool { return !c.SendBy.IsZero() && !time.Now().Before(c.SendBy) }

// expired tells that the call's time is up.
func (c *Call) expired() bool { return !c.Deadline.IsZero() && !time.Now().Before(c.Deadline) }

// sendBy is when the request has to be written.
func (c *Call) sendBy() time.Time {
	if c.SendBy.IsZero() || c.SendBy.After(c.Deadline) && !c.Deadline.IsZero() {
		return c.Deadline
	}
	return c.SendBy
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result  choice.Result
	NoState bool
	Kept    float64
	Report  []float64
	KV      json.RawMessage // of a read: what the writer needs to fetch the state
	Events  int             // of a stream, that were tokens by their place; the last event is none
	Reply   *Reply          // an answer about the request itself, to be passed on
	Err     error           // for logs
}

// Reply is an engine's answer that blames the request.
type Reply struct {
	Status int
	Body   []byte
}

// Sink takes a stream. It is called from the attempt's goroutine only.
type Sink interface {
	// Begin claims the client's answer when the first token is here; false: another answer was given.
	Begin() bool
	// Events takes one or more whole events, valid during the call; last: the stream's end is among them. An error
	// ends the attempt.
	Events(p []byte, last bool) error
}

// Attempt is the handle by which an attempt is called off. The zero value is ready.
type Attempt struct {
	mu    sync.Mutex
	off   bool
	stop  context.CancelFunc
	conn  net.Conn
	begun bool // the stream has begun
	seen  int  // its events
	done  bool // its last event came
	kept  float64
	load  []float64
	up    bool // a connection was there to send it on
	sent  bool // the engine may act on what was accepted of the request

	began    time.Time // under mu, as progress
	progress Progress
}

// Cancel ends the attempt; its outcome is still reported.
func (a *Attempt) Cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.off = true
	if a.stop != nil {
		a.stop()
	}
	if a.conn != nil {
		a.conn.Close()
	}
}

// Cancelled tells that the attempt was called off.
func (a *Attempt) Cancelled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.off
}

// stops makes stop what Cancel calls; false if the attempt is already off.
func (a *Attempt) stops(stop context.CancelFunc) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stop = stop
	return !a.off
}

// hold makes conn the one that Cancel closes; false if the attempt is already off.
func (a *Attempt) hold(c net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = c
	return !a.off
}

// drop takes conn out of Cancel's reach before it goes back to the pool; false if it was closed.
func (a *Attempt) drop() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.off
}

// ended is the outcome of an attempt that broke with err, by what is known to have been sent.
func (a *Attempt) ended(err error) Outcome {
	out := Outcome{Err: err, Result: choice.Reset}
	var proto *http1.Error
	switch {
	case a.Cancelled() && !a.sent:
		out.Result = choice.NotSent
	case a.Cancelled():
		out.Result = choice.Cancelled
	case !a.sent && a.up:
		out.Result = choice.Broken
	case !a.sent:
		out.Result = choice.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Result = choice.TimedOut
	case errors.As(err, &proto): // it did answer: a writer has fetched its state, which is gone with the answer
		out.Result, out.NoState = choice.Errored, true
	}
	return out
}

// exchange dials or reuses, checks that the server is still open, sends, and reads the response's head. On
// failure it returns the outcome and no connection.
func (c *Client) exchange(a *Attempt, s *Server, call *Call) (*conn, *http1.Response, *Outcome) {
	fail := func(k *conn, out Outcome) (*conn, *http1.Response, *Outcome) {
		if k != nil {
			a.drop()
			c.give(s, k, false)
		}
		if out.Result.NeverRan() && call.late() { // the server is not to blame
			out.Result = choice.NotSent
		}
		return nil, nil, &out
	}
	if a.Cancelled() || !s.IsOpen() || call.over() || call.expired() {
		return fail(nil, Outcome{Result: choice.NotSent, Err: errShut})
	}
	a.start()
	up := call.sendBy()
	if call.Connect > 0 {
		up = soon(call.Connect, up)
	}
	k, err := c.take(a, s, call.Once || call.Fresh, up)
	if errors.Is(err, errTooMany) {
		return fail(nil, Outcome{Result: choice.NotSent, Err: err})
	}
	if err != nil {
		return fail(nil, a.ended(err))
	}
	if !a.hold(k.Conn) || !s.IsOpen() || call.over() { // called off, or told to drain while the dial was pending
		return fail(k, Outcome{Result: choice.NotSent, Err: errShut})
	}
	if err := k.SetReadDeadline(call.Deadline); err != nil {
		return fail(k, a.ended(err))
	}
	if err := k.SetWriteDeadline(call.sendBy()); err != nil {
		return fail(k, a.ended(err))
	}
	a.up = true
	a.advance(func(p *Progress, since time.Duration) { p.Kept, p.Connected = k.reused, since })
	n, err := c.transmit(a, s, k, call)
	a.sent = n > 0 && (!c.WholeSent || err == nil)
	if err == nil {
		a.advance(func(p *Progress, since time.Duration) { p.Written = since })
	}
	if errors.Is(err, errShut) {
		return fail(k, Outcome{Result: choice.NotSent, Err: err})
	}
	if err != nil {
		if n > 0 { // an engine may answer and close before it has read everything
			_ = k.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if resp, rerr := http1.ReadResponse(k.br, c.Limits); rerr == nil && resp.Status >= 300 {
				resp.Close = true
				return k, resp, nil
			}
		}
		return fail(k, a.ended(err))
	}
	resp, err := c.head(k, call.Deadline)
	if k.reused && err != nil && k.br.Buffered() == 0 && !a.Cancelled() {
		c.lostOnKept(s, err)
	}
	if err != nil {
		return fail(k, a.ended(err))
	}
	a.advance(func(p *Progress, since time.Duration) { p.Answered = since })
	s.lastAnswer.Store(time.Now().UnixNano())
	return k, resp, nil
}

// broken tells that a connection ended, and was neither too slow nor understood wrongly.
func broken(err error) bool {
	var proto *http1.Error
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &proto) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// soon is the end of a wait that may not go past deadline.
func soon(wait time.Duration, deadline time.Time) time.Time {
	if at := time.Now().Add(wait); deadline.IsZero() || at.Before(deadline) {
		return at
	}
	return deadline
}

// head reads the head of the answer, passing over interim ones. Each may be waited for until deadline, but must be
// whole soon after its first byte.
func (c *Client) head(k *conn, deadline time.Time) (*http1.Response, error) {
	if c.HeadTime == 0 {
		return http1.ReadResponse(k.br, c.Limits)
	}
	for i := range http1.MostInterim {
		if _, err := k.br.Peek(1); err != nil {
			return nil, err
		}
		if !http1.HeadBuffered(k.br) {
			if err := k.SetReadDeadline(soon(c.HeadTime, deadline)); err != nil {
				return nil, err
			}
		}
		resp, err := http1.ReadHead(k.br, c.Limits)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = &http1.Error{Status: 502, Reason: "the head of the answer does not end"}
		}
		if err != nil || resp.Status >= 200 {
			if err == nil && i > 0 {
				resp.Close = true // nobody asked for the ones before it: what else comes on the connection is not known
			}
			return resp, err
		}
		if err := k.SetReadDeadline(deadline); err != nil {
			return nil, err
		}
	}
	return nil, &http1.Error{Status: 502, Reason: "too many interim responses"}
}

var errShut = errors.New("engine: drains, is gone, or the attempt was called off before its first byte")

// errEarly: the engine spoke before the request was whole.
var errEarly = errors.New("engine: answered before the request's last byte")

// transmit sends a call's request. The last byte of what may run only once waits until the connection has stood for
// Settle with all the rest.
func (c *Client) transmit(a *Attempt, s *Server, k *conn, call *Call) (int64, error) {
	m, last := c.message(s, call), len(call.Body)-1
	if !call.Once || c.Settle <= 0 || !c.WholeSent || last < 0 {
		return m.WriteTo(k.Conn)
	}
	(*m)[1] = call.Body[:last]
	n, err := m.WriteTo(k.Conn)
	if err != nil {
		return n, err
	}
	if err := k.SetReadDeadline(soon(c.Settle, call.Deadline)); err != nil {
		return n, err
	}
	switch _, err := k.br.Peek(1); {
	case err == nil:
		return n, errEarly
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return n, err
	case a.Cancelled() || !s.IsOpen() || call.over():
		return n, errShut
	}
	if err := k.SetReadDeadline(call.Deadline); err != nil {
		return n, err
	}
	w, err := k.Write(call.Body[last:])
	return n + int64(w), err
}

// message is a call's request; the body is not copied.
func (c *Client) message(s *Server, call *Call) *net.Buffers {
	b := make([]byte, 0, 512)
	b = append(c.Dialect.Head(b, s, call), "\r\n"...)
	return &net.Buffers{b, call.Body}
}

// whole reads the rest of an answer and gives the connection back; alive is false when the attempt was called off.
func (c *Client) whole(a *Attempt, s *Server, k *conn, resp *http1.Response) (text []byte, alive bool, err error) {
	var body http1.Body
	body.Reset(k.br, &resp.Message, c.Limits)
	text, err = http1.ReadAll(&body, c.Reply)
	alive = a.drop()
	c.give(s, k, alive && err == nil && body.Done() && !resp.Close)
	return text, alive, err
}

// answered reads an answer that is no stream.
func (c *Client) answered(a *Attempt, s *Server, k *conn, resp *http1.Response, read bool) Outcome {
	text, alive, err := c.whole(a, s, k, resp)
	if resp.Status < 300 && (err != nil || !alive) {
		return a.ended(err)
	}
	out := c.Dialect.Whole(read, resp, text, err)
	if out.Result == choice.Errored && !a.sent { // it has not begun, whatever it says
		out.Result = choice.Broken
	}
	out.Report = c.report(resp.Header.Get(c.Load))
	return out
}

// Part waits for Settle after an attempt that was given up: its connection is closed, and the engine has to know before
// another engine or the client is told anything that follows from it. What the engine ended itself needs no wait.
func (c *Client) Part(out *Outcome) {
	switch out.Result {
	case choice.TimedOut, choice.Cancelled, choice.Errored, choice.Broken:
		if c.Pause != nil {
			c.Pause(c.Settle)
			return
		}
		time.Sleep(c.Settle)
	}
}

// Read runs the reading stage at s.
func (c *Client) Read(a *Attempt, s *Server, call Call) Outcome {
	k, resp, failed := c.exchange(a, s, &call)
	if failed != nil {
		return *failed
	}
	return c.answered(a, s, k, resp, true)
}

// relayBuf bounds what a stream holds between its two sockets in the usual case; only an event that is larger
// makes it grow, up to Client.Event. While a stream waits it holds no buffer.
const relayBuf = 8192

var buffers = sync.Pool{New: func() any { b := make([]byte, relayBuf); return &b }}

// Write runs the writing stage, or the whole request, at s and passes its events to sink.
func (c *Client) Write(a *Attempt, s *Server, call Call, sink Sink) Outcome {
	k, resp, failed := c.exchange(a, s, &call)
	if failed != nil {
		return *failed
	}
	if resp.Status != 200 {
		return c.answered(a, s, k, resp, false)
	}
	if c.HeadTime > 0 { // the first event comes with the head, in time or not at all
		_ = k.SetReadDeadline(soon(c.StreamIdle, call.Deadline))
	}
	var body http1.Body
	body.Reset(k.br, &resp.Message, c.Limits)
	out := c.relay(a, k, &body, sink)
	out.Events, out.Kept = a.seen, a.kept
	if out.Report = a.load; out.Report == nil {
		out.Report = c.report(resp.Header.Get(c.Load))
	}
	clean := out.Result == choice.Served && !resp.Close
	if clean && !body.Done() { // the last chunk comes right behind the last event
		_ = k.SetReadDeadline(time.Now().Add(time.Second))
		var b [1]byte
		n, err := body.Read(b[:])
		clean = n == 0 && err == io.EOF
	}
	c.give(s, k, a.drop() && clean)
	return out
}

// relay passes events on until the stream's end. It allocates nothing for an event that fits its buffer.
func (c *Client) relay(a *Attempt, k *conn, body *http1.Body, sink Sink) Outcome {
	var pooled *[]byte
	var buf []byte
	have, all := 0, int64(0)
	free := func() {
		if pooled != nil {
			buffers.Put(pooled)
			pooled, buf = nil, nil
		}
	}
	defer free()
	var quietFrom time.Time
	for {
		if now := time.Now(); a.begun && now.Sub(quietFrom) > c.StreamIdle/8 {
			quietFrom = now
			if err := k.SetReadDeadline(now.Add(c.StreamIdle)); err != nil {
				return a.ended(err)
			}
		}
		if have == 0 {
			free()
			body.Wait()
			pooled = buffers.Get().(*[]byte)
			buf = *pooled
		}
		if have == len(buf) {
			if len(buf) >= c.Event {
				return Outcome{Result: choice.Errored, Err: fmt.Errorf("engine: an event of over %d bytes", c.Event)}
			}
			buf = append(buf, make([]byte, len(buf))...) // leaves the pooled one as it was
		}
		n, err := body.Read(buf[have:])
		have, all = have+n, all+int64(n)
		for err == nil && have < len(buf) && body.Ready() { // what is here already goes out in one write
			n, err = body.Read(buf[have:])
			have, all = have+n, all+int64(n)
		}
		if c.Stream > 0 && all > c.Stream {
			return Outcome{Result: choice.Errored, Err: fmt.Errorf("engine: a stream of over %d bytes", c.Stream)}
		}
		from, end, out := a.scan(c, buf[:have], sink)
		if out == nil && c.ToLastChunk && err == io.EOF && a.done {
			end, out = have, &Outcome{Result: choice.Served} // with what may follow the last event
		}
		if end > from {
			if err := sink.Events(buf[from:end], out != nil && out.Result == choice.Served); err != nil {
				return Outcome{Result: choice.Cancelled, Err: err}
			}
		}
		if out != nil {
			return *out
		}
		have = copy(buf, buf[end:have])
		if err == io.EOF {
			return Outcome{Result: choice.Reset, Err: errors.New("engine: the stream ended without its last event")}
		}
		if err != nil {
			return a.ended(err)
		}
	}
}

var errorEvent, usageEvent = []byte(`{"error"`), []byte(`{"choices":[],`)

// comment takes the load report that a stream's comment may hold.
func (a *Attempt) comment(c *Client, text []byte) {
	if rest, ok := bytes.CutPrefix(text, []byte(": "+c.Load+": ")); ok && c.ToLastChunk {
		a.load = c.report(string(bytes.TrimSpace(rest)))
	}
}

// scan finds what of buf is to be passed on: events from the first token on. out is set at the stream's end.
func (a *Attempt) scan(c *Client, buf []byte, sink Sink) (from, end int, out *Outcome) {
	for {
		n := sse.Split(buf[end:])
		if n == 0 {
			return from, end, nil
		}
		data := sse.Data(buf[end : end+n])
		switch {
		case data == nil && !a.begun: // a comment ahead of the answer
			from = end + n
		case data == nil:
			a.comment(c, buf[end:end+n])
		case bytes.HasPrefix(data, errorEvent) && !c.ToLastChunk:
			return from, end, &Outcome{Result: choice.Errored, Err: fmt.Errorf("engine: error within the stream: %.200s", data)}
		case !a.begun:
			if a.begun = sink.Begin(); !a.begun {
				return from, from, &Outcome{Result: choice.Cancelled, Err: errors.New("engine: another answer was given before")}
			}
		}
		end += n
		if string(data) == sse.Done {
			if a.done = true; !c.ToLastChunk {
				return from, end, &Outcome{Result: choice.Served}
			}
			continue
		}
		if data != nil {
			a.seen++
			if bytes.HasPrefix(data, usageEvent) {
				a.kept = api.Cached(data)
			}
		}
	}
}

// Releases tells that engines are told to let go of state.
func (c *Client) Releases() bool { return c.Dialect.Release(&Server{}, "") != nil }

// Release lets go of what id holds at s, trying while there is time and a was not cancelled; fresh asks for a new connection. Without
// such a call in the dialect it does nothing: engines let go by their own time-out.
func (c *Client) Release(a *Attempt, s *Server, id string, fresh bool, deadline time.Time) error {
	message := c.Dialect.Release(s, id)
	if message == nil {
		return nil
	}
	var last error
	for try := range 3 { // letting go twice is harmless
		if try > 0 && (time.Until(deadline) <= 0 || a.Cancelled()) {
			break
		}
		if last = c.release(a, s, message, fresh, deadline); last == nil {
			return nil
		}
	}
	return last
}

func (c *Client) release(a *Attempt, s *Server, message []byte, fresh bool, deadline time.Time) error {
	k, err := c.take(a, s, fresh, deadline)
	if err != nil {
		return err
	}
	clean := false
	defer func() { c.give(s, k, a.drop() && clean) }()
	if !a.hold(k.Conn) {
		return errShut
	}
	if err := k.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := k.Write(message); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(k.br, c.Limits)
	if err != nil {
		return err
	}
	s.lastAnswer.Store(time.Now().UnixNano())
	var b http1.Body
	b.Reset(k.br, &resp.Message, c.Limits)
	_, err = http1.ReadAll(&b, c.Reply)
	clean = err == nil && b.Done() && !resp.Close
	if !c.Dialect.Released(resp.Status) {
		return fmt.Errorf("engine: release answered %d", resp.Status)
	}
	return err
}
