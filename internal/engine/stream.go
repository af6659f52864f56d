package engine

import (
	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
	"brackenbend/routing"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// relayBuf bounds what a stream holds between its two sockets in the usual case; only an event that is larger
// makes it grow, up to Client.Event. While a stream waits it holds no buffer.
const relayBuf = 8192

var buffers = sync.Pool{New: func() any { b := make([]byte, relayBuf); return &b }}

// Decode runs the writing stage, or the whole request, at s and passes its events to sink.
func (c *Client) Decode(a *Attempt, s *Endpoint, call Call, sink Sink) Outcome {
	k, resp, failed := c.exchange(a, s, &call)
	if failed != nil {
		return *failed
	}
	if resp.Status != 200 {
		return c.answered(a, s, k, resp, false)
	}
	if c.HeaderTimeout > 0 { // the first event comes with the head, in time or not at all
		_ = k.SetReadDeadline(soon(c.StreamIdleTimeout, call.Deadline))
	}
	var body http1.Body
	body.Reset(k.br, &resp.Message, c.Limits)
	out := c.relay(a, k, &body, sink)
	out.Events, out.CachedTokens = a.seen, a.kept
	if out.LoadReport = a.load; out.LoadReport == nil {
		out.LoadReport = c.report(resp.Header.Get(c.LoadReportHeader))
	}
	clean := out.Result == routing.Served && !resp.Close
	if clean && !body.AtEOF() { // the last chunk comes right behind the last event
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
		if now := time.Now(); a.begun && now.Sub(quietFrom) > c.StreamIdleTimeout/8 {
			quietFrom = now
			if err := k.SetReadDeadline(now.Add(c.StreamIdleTimeout)); err != nil {
				return a.ended(err)
			}
		}
		if have == 0 {
			free()
			body.WaitReadable()
			pooled = buffers.Get().(*[]byte)
			buf = *pooled
		}
		if have == len(buf) {
			if len(buf) >= c.MaxEventBytes {
				return Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine: an event of over %d bytes", c.MaxEventBytes)}
			}
			buf = append(buf, make([]byte, len(buf))...) // leaves the pooled one as it was
		}
		n, err := body.Read(buf[have:])
		have, all = have+n, all+int64(n)
		for err == nil && have < len(buf) && body.Buffered() { // what is here already goes out in one write
			n, err = body.Read(buf[have:])
			have, all = have+n, all+int64(n)
		}
		if c.MaxStreamBytes > 0 && all > c.MaxStreamBytes {
			return Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine: a stream of over %d bytes", c.MaxStreamBytes)}
		}
		from, end, out := a.scan(c, buf[:have], sink)
		if out == nil && c.RequireLastChunk && err == io.EOF && a.done {
			end, out = have, &Outcome{Result: routing.Served} // with what may follow the last event
		}
		if end > from {
			if err := sink.Events(buf[from:end], out != nil && out.Result == routing.Served); err != nil {
				return Outcome{Result: routing.Cancelled, Err: err}
			}
		}
		if out != nil {
			return *out
		}
		have = copy(buf, buf[end:have])
		if err == io.EOF {
			return Outcome{Result: routing.ConnectionReset, Err: errors.New("engine: the stream ended without its last event")}
		}
		if err != nil {
			return a.ended(err)
		}
	}
}

var errorEvent, usageEvent = []byte(`{"error"`), []byte(`{"choices":[],`)

// comment takes the load report that a stream's comment may hold.
func (a *Attempt) comment(c *Client, text []byte) {
	if rest, ok := bytes.CutPrefix(text, []byte(": "+c.LoadReportHeader+": ")); ok && c.RequireLastChunk {
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
		case bytes.HasPrefix(data, errorEvent) && !c.RequireLastChunk:
			return from, end, &Outcome{Result: routing.EngineError, Err: fmt.Errorf("engine: error within the stream: %.200s", data)}
		case !a.begun:
			if a.begun = sink.Begin(); !a.begun {
				return from, from, &Outcome{Result: routing.Cancelled, Err: errors.New("engine: another answer was given before")}
			}
		}
		end += n
		if string(data) == sse.Done {
			if a.done = true; !c.RequireLastChunk {
				return from, end, &Outcome{Result: routing.Served}
			}
			continue
		}
		if data != nil {
			a.seen++
			if bytes.HasPrefix(data, usageEvent) {
				a.kept = api.CachedTokens(data)
			}
		}
	}
}
