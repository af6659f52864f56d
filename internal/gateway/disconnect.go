package gateway

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/socket"
	"brackenbend/routing"
)

// This file contains the connection goroutine's wait for the answer to its in-flight request. The goroutine waits in a
// read, which also shows whether the client closes the connection.

// awaitAnswer waits until the response is set or the stream has ended. It returns true if the client disconnected
// before that. If there is no answer yet at backstop, which is after the request's deadline, awaitAnswer sets an error
// response itself.
func (c *clientConn) awaitAnswer(request *inflightRequest, backstop time.Time) (disconnected bool) {
	_, err := c.reader.Peek(1)
	switch {
	case err == nil && request.answered(): // the client may have the whole answer, and this is its next request
		<-request.done
		return false
	case err == nil:
		return c.awaitAnswerWithBufferedInput(request, backstop)
	case errors.Is(err, os.ErrDeadlineExceeded):
		select {
		case <-request.done:
		default:
			c.handleReadTimeout(request, backstop)
			<-request.done
		}
		return false
	}
	return c.handleClientClose(request)
}

// closeCheckInterval is how often a connection with unread input is asked for a close behind that input. An attempt
// must not begin over 0.1 s after the close.
const closeCheckInterval = 50 * time.Millisecond

// awaitAnswerWithBufferedInput waits for the answer when the client has already sent more bytes. A read would not show
// a close behind these bytes, so the operating system is asked for it from time to time.
func (c *clientConn) awaitAnswerWithBufferedInput(request *inflightRequest, backstop time.Time) (disconnected bool) {
	if c.gateway.Pipelining == RejectPipelining { // the client has sent more, so it may have given up on this request
		response := errorResponse(errPipelined)
		response.reason = reasonPipelined
		if request.respond(response) {
			request.keepAlive = false
			c.postDisconnected(request)
			return false
		}
		c.pipelined = true
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-request.done:
			return false
		case <-timer.C:
		}
		if c.peerClosed() {
			return c.handleClientClose(request)
		}
		c.handleReadTimeout(request, backstop)
		deadline := backstop
		if request.state.Load() == answerStreaming {
			deadline = request.answerDeadline
		}
		wait := time.Until(deadline)
		if wait <= 0 || wait > closeCheckInterval {
			wait = closeCheckInterval
		}
		timer.Reset(wait)
	}
}

// handleReadTimeout responds with an error if the deadline of the whole answer or the backstop has passed.
func (c *clientConn) handleReadTimeout(request *inflightRequest, backstop time.Time) {
	now := time.Now()
	state, answerDeadline := request.state.Load(), request.answerDeadline
	switch {
	case state == answerStreaming && !answerDeadline.IsZero() && !now.Before(answerDeadline):
		if request.respondFrom(answerStreaming, failureResponse(request, reasonAnswerTimeout)) {
			c.postDisconnected(request)
			request.cancelAttempts()
		}
	case state == answerPending && !now.Before(backstop):
		if request.respond(failureResponse(request, reasonNoDecision)) {
			c.gateway.metrics.DecisionTimeouts.Inc()
			c.gateway.log.Error("no routing decision within the client's timeout; responding with an error",
				zap.String("id", request.displayID()))
			c.postDisconnected(request)
		}
	}
}

// handleClientClose ends a request whose client has closed its connection. It returns false if the answer was a stream
// that had ended before the client closed the connection.
func (c *clientConn) handleClientClose(request *inflightRequest) (disconnected bool) {
	if request.state.CompareAndSwap(answerPending, answerAbandoned) {
		c.postDisconnected(request)
		return true
	}
	if request.state.CompareAndSwap(answerStreaming, answerAbandoned) {
		c.postDisconnected(request)
		request.cancelAttempts()
		if request.collector == nil {
			<-request.done // until then the attempt writes to this connection
		}
		return true
	}
	<-request.done
	return request.response.Status != 0 || request.result == resultClientGone
}

// postDisconnected reports to the router that the client does not wait for the request any more.
func (c *clientConn) postDisconnected(request *inflightRequest) {
	c.gateway.loop.post(routing.ClientDisconnected{Request: request.id}, nil)
}

// peerClosed asks the operating system whether the client has closed its connection. The connection's goroutine notices
// it too, but may be scheduled late.
func (c *clientConn) peerClosed() bool { return socket.PeerClosed(c.conn) }
