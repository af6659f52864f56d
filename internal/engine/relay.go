package engine

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// relayBufferSize is the initial size of a stream's buffer in bytes. The buffer grows only for a larger event, up to
// Client.MaxEventBytes. A stream that waits for its next event holds no buffer.
const relayBufferSize = 8192

var relayBuffers = sync.Pool{New: func() any { b := make([]byte, relayBufferSize); return &b }}

// streamRelay passes one stream from an engine's connection to a sink. It stays on its goroutine's stack.
type streamRelay struct {
	client  *Client
	attempt *Attempt
	conn    *persistConn
	body    http1.Body // not a pointer, which would move it to the heap
	sink    Sink

	maxEvents int // highest number of events with data that the answer may have, with StrictEvents; 0 = no limit

	pooledBuffer *[]byte // the buffer taken from relayBuffers; nil = none
	buf          []byte  // *pooledBuffer, or a larger buffer after growBuffer
	filled       int     // bytes in buf that were read and not yet passed on
	advanced     bool    // an event has brought the answer on since extendDeadline was called last
	strayed      bool    // a comment, or an event that doesn't bring the answer on, has come after the last one that does
	largestEvent int     // size of the largest event with data, in bytes
}

// newStreamRelay returns a relay for the stream whose response header resp was read from pc.
func newStreamRelay(c *Client, a *Attempt, pc *persistConn, resp *http1.Response, sink Sink) streamRelay {
	r := streamRelay{client: c, attempt: a, conn: pc, sink: sink}
	r.body.Reset(pc.br, &resp.Message, c.Limits)
	if c.MaxStreamBytes > 0 {
		r.body.SetLimit(c.MaxStreamBytes)
	}
	return r
}

// relay passes events to the sink until the stream ends. It allocates nothing for an event that fits its buffer.
func (r *streamRelay) relay() Outcome {
	if err := r.run(); err != nil {
		return r.attempt.failureOutcome(err)
	}
	return Outcome{Result: routing.Served}
}

// run reads the stream and passes its events to the sink until the end of the stream or an error.
func (r *streamRelay) run() error {
	defer r.releaseBuffer()
	defer func() { r.conn.extra = extraTime{} }()
	for {
		if err := r.extendDeadline(); err != nil {
			return err
		}
		r.grantExtraTime()
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
		if limit := r.client.MaxStreamBytes; limit > 0 && r.attempt.stream.bytes > limit {
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

// extendDeadline sets the read deadline to StreamIdleTimeout from now if an event has brought the answer on. Nothing
// else extends it: the client waits for the answer.
func (r *streamRelay) extendDeadline() error {
	if !r.advanced {
		return nil
	}
	r.advanced = false
	return r.conn.SetReadDeadline(time.Now().Add(r.client.StreamIdleTimeout))
}

func (r *streamRelay) acquireBuffer() {
	r.pooledBuffer = relayBuffers.Get().(*[]byte)
	r.buf = *r.pooledBuffer
}

func (r *streamRelay) releaseBuffer() {
	if r.pooledBuffer != nil {
		relayBuffers.Put(r.pooledBuffer)
		r.pooledBuffer, r.buf = nil, nil
	}
}

// growBuffer doubles a buffer that is filled by one incomplete event.
func (r *streamRelay) growBuffer() error {
	if limit := r.client.MaxEventBytes; len(r.buf) >= limit {
		return fmt.Errorf("%w: over %d bytes", errEventTooLarge, limit)
	}
	r.buf = append(r.buf, make([]byte, len(r.buf))...) // allocates a new array; the pooled buffer is unchanged
	return nil
}

// read reads all data that has arrived and fits the buffer, so that its events are passed on in one write.
func (r *streamRelay) read() error {
	err := r.readOnce()
	for err == nil && r.filled < len(r.buf) && r.body.Buffered() {
		err = r.readOnce()
	}
	return err
}

func (r *streamRelay) readOnce() error {
	n, err := r.body.Read(r.buf[r.filled:])
	r.filled += n
	r.attempt.stream.bytes += int64(n)
	return err
}

// forward passes the complete events in the buffer to the sink. It returns done at the end of the stream.
func (r *streamRelay) forward(readErr error) (done bool, err error) {
	start, end, done, err := r.scan()
	if !done && err == nil && r.bodyComplete(readErr) {
		end, done = r.filled, true // includes any data after the last event
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

// bodyComplete reports whether the body has ended after the last event. Without RequireLastChunk it is always false.
func (r *streamRelay) bodyComplete(readErr error) bool {
	return r.client.RequireLastChunk && r.attempt.stream.lastEventReceived && errors.Is(readErr, io.EOF)
}
