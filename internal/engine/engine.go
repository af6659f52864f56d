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
	"strconv"
	"sync"
	"time"

	"brackenbend/choice"
	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
)

// The extension that an engine may speak beside vLLM's convention; docs/front.md has it in full.
const (
	PathRelease   = "/v1/brackenbend/release" // POST {"request_id": ...}: let go of a read state
	FieldNeverRan = "X-Brackenbend-Never-Ran" // on 429 and 503: turned away before it ran
	FieldNoState  = "X-Brackenbend-No-State"  // beside it: there was no read state to fetch
	FieldLoad     = "endpoint-load-metrics"   // ORCA load report
	fieldLoadAsk  = "endpoint-load-metrics-format"
	FieldID       = "X-Request-Id"
	FieldKey      = "Idempotency-Key"
)

// Client holds what is common to all engines.
type Client struct {
	Extended    bool // engines speak the extension
	DialTime    time.Duration
	Connections int // at once, an engine
	Idle        int // kept, an engine
	IdleTime    time.Duration
	StreamIdle  time.Duration // longest silence within a stream
	Event       int           // bytes of one event
	Reply       int64         // bytes of an answer that is not a stream
	Limits      http1.Limits
	Agent       string   // User-Agent
	Report      []string // names of load figures, in the module's order
}

// Call is one attempt's request.
type Call struct {
	Path     string
	ID       string // of this attempt, unique over fronts and restarts
	Key      string // Idempotency-Key, empty = none
	Body     []byte
	Once     bool      // may run only once: rides on a connection of its own
	Deadline time.Time // for the first token, or the whole of a read
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
	sent  bool // a byte of the request was accepted
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

func (a *Attempt) cancelled() bool {
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
	case a.cancelled() && !a.sent:
		out.Result = choice.NotSent
	case a.cancelled():
		out.Result = choice.Cancelled
	case !a.sent:
		out.Result = choice.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		out.Result = choice.TimedOut
	case errors.As(err, &proto):
		out.Result = choice.Errored
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
		return nil, nil, &out
	}
	if a.cancelled() || !s.IsOpen() {
		return fail(nil, Outcome{Result: choice.NotSent, Err: errShut})
	}
	k, err := c.take(a, s, call.Once, call.Deadline)
	if errors.Is(err, errTooMany) {
		return fail(nil, Outcome{Result: choice.NotSent, Err: err})
	}
	if err != nil {
		return fail(nil, a.ended(err))
	}
	if !a.hold(k.Conn) || !s.IsOpen() { // called off, or told to drain while the dial was pending
		return fail(k, Outcome{Result: choice.NotSent, Err: errShut})
	}
	if err := k.SetDeadline(call.Deadline); err != nil {
		return fail(k, a.ended(err))
	}
	n, err := k.Write(c.message(s, call))
	a.sent = n > 0
	if err != nil {
		if a.sent { // an engine may answer and close before it has read everything
			_ = k.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			if resp, rerr := http1.ReadResponse(k.br, c.Limits); rerr == nil && resp.Status >= 300 {
				resp.Close = true
				return k, resp, nil
			}
		}
		return fail(k, a.ended(err))
	}
	resp, err := http1.ReadResponse(k.br, c.Limits)
	if err != nil {
		return fail(k, a.ended(err))
	}
	return k, resp, nil
}

var errShut = errors.New("engine: drains, is gone, or the attempt was called off before its first byte")

func (c *Client) message(s *Server, call *Call) []byte {
	b := make([]byte, 0, 384+len(call.Body))
	b = append(b, "POST "...)
	b = append(b, call.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = http1.AppendField(b, "Host", s.Address)
	b = http1.AppendField(b, "User-Agent", c.Agent)
	b = http1.AppendField(b, "Content-Type", "application/json")
	b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(call.Body)))
	b = http1.AppendField(b, FieldID, call.ID)
	if call.Key != "" {
		b = http1.AppendField(b, FieldKey, call.Key)
	}
	b = http1.AppendField(b, fieldLoadAsk, "TEXT")
	b = append(b, "\r\n"...)
	return append(b, call.Body...)
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

// refused reads an answer other than 200 and maps it.
func (c *Client) refused(a *Attempt, s *Server, k *conn, resp *http1.Response) Outcome {
	out := Outcome{Result: choice.Errored, Report: c.report(resp), Err: fmt.Errorf("engine: answered %d", resp.Status)}
	text, _, err := c.whole(a, s, k, resp)
	switch resp.Status {
	case 429, 503:
		if c.Extended && resp.Header.Get(FieldNeverRan) == "1" {
			out.Result, out.NoState = choice.Turned, resp.Header.Get(FieldNoState) == "1"
		}
	case 400, 413, 422:
		if err == nil {
			out.Result, out.Reply = choice.Served, &Reply{resp.Status, text}
		}
	}
	return out
}

// Read runs the reading stage at s.
func (c *Client) Read(a *Attempt, s *Server, call Call) Outcome {
	k, resp, failed := c.exchange(a, s, &call)
	if failed != nil {
		return *failed
	}
	if resp.Status != 200 {
		return c.refused(a, s, k, resp)
	}
	text, alive, err := c.whole(a, s, k, resp)
	if err != nil || !alive {
		return a.ended(err)
	}
	reply, err := api.ParseReadReply(text)
	switch {
	case err != nil:
		return Outcome{Result: choice.Errored, Err: err}
	case reply.KV == nil:
		return Outcome{Result: choice.Errored, Err: errors.New("engine: a reader answered without kv_transfer_params")}
	}
	return Outcome{Result: choice.ReadDone, KV: reply.KV, Kept: reply.Cached, Report: c.report(resp)}
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
		return c.refused(a, s, k, resp)
	}
	var body http1.Body
	body.Reset(k.br, &resp.Message, c.Limits)
	out := c.relay(a, k, &body, sink)
	out.Events = a.seen
	out.Report = c.report(resp)
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
	have := 0
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
		have += n
		for err == nil && have < len(buf) && body.Ready() { // what is here already goes out in one write
			n, err = body.Read(buf[have:])
			have += n
		}
		from, end, out := a.scan(buf[:have], sink)
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

var errorEvent = []byte(`{"error"`)

// scan finds what of buf is to be passed on: events from the first token on. out is set at the stream's end.
func (a *Attempt) scan(buf []byte, sink Sink) (from, end int, out *Outcome) {
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
		case bytes.HasPrefix(data, errorEvent):
			return from, end, &Outcome{Result: choice.Errored, Err: fmt.Errorf("engine: error within the stream: %.200s", data)}
		case !a.begun:
			if a.begun = sink.Begin(); !a.begun {
				return from, from, &Outcome{Result: choice.Cancelled, Err: errors.New("engine: another answer was given before")}
			}
		}
		end += n
		if string(data) == sse.Done {
			return from, end, &Outcome{Result: choice.Served}
		}
		if data != nil {
			a.seen++
		}
	}
}

// Release lets go of the state that the read with this id left at s. Without the extension it does nothing:
// the engine lets go by its own time-out.
func (c *Client) Release(s *Server, id string, deadline time.Time) error {
	if !c.Extended {
		return nil
	}
	body, err := json.Marshal(map[string]string{"request_id": id})
	if err != nil {
		return err
	}
	var last error
	for try := range 3 { // letting go twice is harmless
		if try > 0 && time.Until(deadline) <= 0 {
			break
		}
		if last = c.release(s, id, body, deadline); last == nil {
			return nil
		}
	}
	return last
}

func (c *Client) release(s *Server, id string, body []byte, deadline time.Time) error {
	k, err := c.take(nil, s, false, deadline)
	if err != nil {
		return err
	}
	clean := false
	defer func() { c.give(s, k, clean) }()
	if err := k.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := k.Write(c.message(s, &Call{Path: PathRelease, ID: id, Body: body})); err != nil {
		return err
	}
	resp, err := http1.ReadResponse(k.br, c.Limits)
	if err != nil {
		return err
	}
	var b http1.Body
	b.Reset(k.br, &resp.Message, c.Limits)
	_, err = http1.ReadAll(&b, c.Reply)
	clean = err == nil && b.Done() && !resp.Close
	if resp.Status != 200 && resp.Status != 404 { // 404: nothing is held
		return fmt.Errorf("engine: release answered %d", resp.Status)
	}
	return err
}
