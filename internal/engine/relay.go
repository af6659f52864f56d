package engine

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
	"brackenbend/routing"
)

// relayBufferSize bounds the bytes that a stream usually holds between its two sockets; only a larger event makes the
// buffer grow, up to Client.MaxEventBytes. While a stream waits it holds no buffer.
const relayBufferSize = 8192

// deadlineUpdates is how often the read deadline is moved within StreamIdleTimeout. Moving it for each event would cost
// a timer update each.
const deadlineUpdates = 8

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBufferSize); return &b }}

// Starts of the data of events that are looked into; engines write them in this form.
var (
	errorEventPrefix = []byte(`{"error"`)
	usageEventPrefix = []byte(`{"choices":[],`)
)

// streamRelay is the state of one stream between its two sockets. It stays on its goroutine's stack.
type streamRelay struct {
	client  *Client
	attempt *Attempt
	conn    *persistConn
	body    http1.Body // a value: a pointer to it would put it on the heap
	sink    Sink

	pooled        *[]byte // the buffer taken from relayBuffers; nil = none
	buf           []byte  // the pooled buffer, or a larger one
	filled        int     // bytes of buf that were read and not passed on
	total         int64   // bytes read
	deadlineSetAt time.Time
}

// newStreamRelay returns the relay of the stream that follows the header resp on pc.
func newStreamRelay(c *Client, a *Attempt, pc *persistConn, resp *http1.Response, sink Sink) streamRelay {
	r := streamRelay{client: c, attempt: a, conn: pc, sink: sink}
	r.body.Reset(pc.br, &resp.Message, c.Limits)
	return r
}

// relay passes events on until the stream's end. It allocates nothing for an event that fits its buffer.
func (r *streamRelay) relay() Outcome {
	if err := r.run(); err != nil {
		return r.attempt.failureOutcome(err)
	}
	return Outcome{Result: routing.Served}
}

// run passes events on until the stream's last one.
func (r *streamRelay) run() error {
	defer r.releaseBuffer()
	for {
		if err := r.extendDeadline(); err != nil {
			return err
		}
		if r.filled == 0 {
			r.releaseBuffer()
			r.body.WaitReadable()
			r.acquireBuffer()
		}
		if r.filled == len(r.buf) {
			if err := r.growBuffer(); err != nil {
				return err
			}
		}
		readErr := r.read()
		if limit := r.client.MaxStreamBytes; limit > 0 && r.total > limit {
			return fmt.Errorf("%w: over %d bytes", errStreamTooLarge, limit)
		}
		done, err := r.forward(readErr)
		if done || err != nil {
			return err
		}
		if readErr != nil {
			if errors.Is(readErr, io.EOF) {
				return errStreamTruncated
			}
			return readErr
		}
	}
}

// extendDeadline lets a stream that has begun be silent for StreamIdleTimeout from now.
func (r *streamRelay) extendDeadline() error {
	if !r.attempt.stream.begun {
		return nil
	}
	now := time.Now()
	if now.Sub(r.deadlineSetAt) <= r.client.StreamIdleTimeout/deadlineUpdates {
		return nil
	}
	r.deadlineSetAt = now
	return r.conn.SetReadDeadline(now.Add(r.client.StreamIdleTimeout))
}

func (r *streamRelay) acquireBuffer() {
	r.pooled = relayBuffers.Get().(*[]byte)
	r.buf = *r.pooled
}

func (r *streamRelay) releaseBuffer() {
	if r.pooled != nil {
		relayBuffers.Put(r.pooled)
		r.pooled, r.buf = nil, nil
	}
}

// growBuffer makes room in a buffer that is full with a part of one event.
func (r *streamRelay) growBuffer() error {
	if limit := r.client.MaxEventBytes; len(r.buf) >= limit {
		return fmt.Errorf("%w: over %d bytes", errEventTooLarge, limit)
	}
	r.buf = append(r.buf, make([]byte, len(r.buf))...) // leaves the pooled one as it was
	return nil
}

// read reads what has arrived, so that it is passed on in one write.
func (r *streamRelay) read() error {
	n, err := r.body.Read(r.buf[r.filled:])
	r.filled, r.total = r.filled+n, r.total+int64(n)
	for err == nil && r.filled < len(r.buf) && r.body.Buffered() {
		n, err = r.body.Read(r.buf[r.filled:])
		r.filled, r.total = r.filled+n, r.total+int64(n)
	}
	return err
}

// forward passes the complete events of the buffer on. It reports done at the stream's end.
func (r *streamRelay) forward(readErr error) (done bool, err error) {
	start, end, done, err := r.scan()
	if !done && err == nil && r.bodyComplete(readErr) {
		end, done = r.filled, true // with what may follow the last event
	}
	if end > start {
		if sinkErr := r.sink.Events(r.buf[start:end], done); sinkErr != nil {
			return false, &sinkError{sinkErr}
		}
	}
	if done || err != nil {
		return done, err
	}
	r.filled = copy(r.buf, r.buf[end:r.filled])
	return false, nil
}

// bodyComplete reports whether the body ended after the last event.
func (r *streamRelay) bodyComplete(readErr error) bool {
	return r.client.RequireLastChunk && r.attempt.stream.lastEventSeen && errors.Is(readErr, io.EOF)
}

// scan finds what of the buffer is to be passed on: events from the first token on. It reports done at the last event,
// unless the last chunk has to follow.
func (r *streamRelay) scan() (start, end int, done bool, err error) {
	stream, read := &r.attempt.stream, r.buf[:r.filled]
	for {
		n := sse.Split(read[end:])
		if n == 0 {
			return start, end, false, nil
		}
		event := read[end : end+n]
		data := sse.Data(event)
		switch {
		case data != nil:
			if err := r.acceptData(data); err != nil {
				return start, end, false, err
			}
		case stream.begun:
			r.acceptComment(event)
		default: // a comment before the first token is not passed on
			start = end + n
		}
		end += n
		if stream.lastEventSeen && !r.client.RequireLastChunk {
			return start, end, true, nil
		}
	}
}

// acceptData takes what is counted of an event with data; an error keeps the event from being passed on.
func (r *streamRelay) acceptData(data []byte) error {
	stream := &r.attempt.stream
	if bytes.HasPrefix(data, errorEventPrefix) && !r.client.RequireLastChunk {
		return fmt.Errorf("%w: %.200s", errErrorEvent, data)
	}
	if !stream.begun {
		if !r.sink.Begin() {
			return errResponseClaimed
		}
		stream.begun = true
	}
	if string(data) == sse.Done {
		stream.lastEventSeen = true
		return nil
	}
	stream.events++
	if bytes.HasPrefix(data, usageEventPrefix) {
		stream.cachedTokens = api.CachedTokens(data)
	}
	return nil
}

// acceptComment takes the load report that a comment within the stream may hold.
func (r *streamRelay) acceptComment(event []byte) {
	if !r.client.RequireLastChunk {
		return
	}
	if report, ok := bytes.CutPrefix(event, []byte(": "+r.client.LoadReportHeader+": ")); ok {
		r.attempt.stream.loadReport = r.client.loadFigures(string(bytes.TrimSpace(report)))
	}
}
