package gateway

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/sse"
	"brackenbend/routing"
)

// This file contains the relay of an attempt's stream to the client. All of it runs in the attempt's worker.

// frameBuffers pools the buffers in which events are framed for a client. A stream holds a buffer only while it writes,
// so that open streams that wait for a token need none.
var frameBuffers = sync.Pool{New: func() any { b := make([]byte, 0, frameBufferSize); return &b }}

const (
	frameBufferSize    = 8192 + 64 // for one read of an engine's stream, and the framing
	maxPooledFrameSize = 64 << 10  // larger buffers are not returned to the pool
)

var errPartialEvent = errors.New("gateway: engine's stream contains a partial event")

func (a *attempt) getFrameBuffer() {
	if a.frameBuffer == nil {
		a.frameBuffer = frameBuffers.Get().(*[]byte)
		a.frame = (*a.frameBuffer)[:0]
	}
}

func (a *attempt) putFrameBuffer() {
	if a.frameBuffer == nil {
		return
	}
	if *a.frameBuffer = a.frame[:0]; cap(a.frame) <= maxPooledFrameSize {
		frameBuffers.Put(a.frameBuffer)
	}
	a.frameBuffer, a.frame = nil, nil
}

// Begin implements engine.Sink. It is called at the first token and makes the attempt the owner of the answer. It
// returns false if the answer has another owner or the client has disconnected.
func (a *attempt) Begin() bool {
	r := a.request
	if !r.state.CompareAndSwap(answerPending, answerStreaming) {
		return false
	}
	a.ownsAnswer = true
	r.bodies = nil // no further attempt needs them, and a stream may last long
	r.releaseBodyBytes()
	r.firstToken.Store(int64(time.Since(r.acceptedAt)))
	r.conn.extendReadDeadline(r.answerDeadline)
	if r.conn.gateway.rejectsWhileDraining() {
		r.keepAlive = false
	}
	a.post(routing.FirstToken{
		Request: r.id, Attempt: a.index, Endpoint: a.endpoint.ID, Elapsed: time.Since(a.startedAt),
	}, nil)
	if r.collector == nil {
		a.getFrameBuffer()
		a.frame = r.appendStreamHead(a.frame)
	}
	return true
}

// appendStreamHead appends the head of a streamed response.
func (r *inflightRequest) appendStreamHead(b []byte) []byte {
	b = http1.AppendStatusLine(b, http.StatusOK)
	b = http1.AppendField(b, "Content-Type", "text/event-stream; charset=utf-8")
	b = http1.AppendField(b, "Cache-Control", "no-cache")
	b = http1.AppendField(b, engine.HeaderRequestID, r.displayID())
	if r.chunked {
		b = http1.AppendField(b, "Transfer-Encoding", "chunked")
	}
	if !r.keepAlive {
		b = http1.AppendField(b, "Connection", "close")
	}
	return append(b, "\r\n"...)
}

// Events implements engine.Sink. The first events are written together with the response's head, which is in a.frame.
func (a *attempt) Events(p []byte, last bool) error {
	if a.request.collector != nil {
		return a.collect(p)
	}
	a.getFrameBuffer()
	a.frame = a.appendFrame(a.frame, p)
	if last { // endStream writes the events with the end of the body
		return nil
	}
	a.writeErr = a.request.conn.write(a.frame)
	a.putFrameBuffer()
	return a.writeErr
}

func (a *attempt) appendFrame(b, p []byte) []byte {
	if a.request.chunked {
		return http1.AppendChunk(b, p)
	}
	return append(b, p...)
}

// collect adds events to the answer for a client that does not stream.
func (a *attempt) collect(p []byte) error {
	for len(p) > 0 {
		n := sse.Split(p)
		if n == 0 {
			return errPartialEvent
		}
		if data := sse.Data(p[:n]); data != nil && string(data) != sse.Done {
			if err := a.request.collector.Add(data); err != nil {
				return err
			}
		}
		p = p[n:]
	}
	return nil
}

// finishAnswer ends the client's answer if this attempt owns it, or passes on an engine's error response about the
// request itself. It returns whether that ended the request.
func (a *attempt) finishAnswer(outcome *engine.Outcome) (requestDone bool) {
	r := a.request
	if outcome.Reply != nil { // the request itself is at fault; the engine's reply is the answer
		return r.respond(Response{Status: outcome.Reply.Status, Body: outcome.Reply.Body})
	}
	if !a.ownsAnswer {
		return false
	}
	r.eventCount.Store(int64(outcome.Stream.Events))
	r.sinceLastEvent.Store(int64(outcome.Stream.SinceLastEvent))
	if r.collector == nil {
		a.endStream(outcome)
		return true
	}
	body, err := r.collector.JSON()
	if outcome.Result != routing.Served || err != nil {
		r.respondFrom(answerStreaming, failureResponse(r, reasonStreamBroke))
		return true
	}
	r.respondFrom(answerStreaming, Response{Status: http.StatusOK, Body: body})
	return true
}

// endStream writes the end of a stream and hands the connection back to its goroutine. The request is marked as
// answered before the last chunk is written, since a client that has received that chunk may send its next request at
// once.
func (a *attempt) endStream(outcome *engine.Outcome) {
	r := a.request
	r.state.CompareAndSwap(answerStreaming, answerDone)
	r.result = resultServed
	a.getFrameBuffer() // still holds the head if there was no event
	broke := outcome.Result != routing.Served
	policy := r.conn.gateway.BrokenStreams
	if broke {
		r.result, r.reason = resultBroken, reasonStreamBroke
		if policy == SendErrorEvent {
			a.frame = a.appendFrame(a.frame, brokenStreamEvent())
		}
	}
	if a.writeErr == nil && (!broke || policy == SendErrorEvent) {
		if r.chunked {
			a.frame = append(a.frame, http1.LastChunk...)
		}
		if len(a.frame) > 0 {
			a.writeErr = r.conn.write(a.frame)
		}
	}
	if a.writeErr != nil && !broke {
		r.result = resultClientGone
	}
	a.putFrameBuffer()
	r.conn.interruptRead()
	close(r.done)
}
