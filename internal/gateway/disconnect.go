package gateway

import (
	"errors"
	"os"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/socket"
	"brackenbend/routing"
)

// This file is the connection goroutine's wait for the end of its in-flight request. A read at the same time shows
// whether the client closes its connection.

// awaitAnswer returns when the response is set or the stream has ended, or, with true, when the client has left before.
func (c *clientConn) awaitAnswer(request *inflightRequest, backstop time.Time) (clientLeft bool) {
	_, err := c.reader.Peek(1)
	switch {
	case err == nil && request.answered(): // the client may have the whole answer already: this is its next request
		<-request.done
		return false
	case err == nil:
		return c.awaitAnswerUnread(request, backstop)
	case errors.Is(err, os.ErrDeadlineExceeded):
		select {
		case <-request.done:
		default:
			c.readTimedOut(request, backstop)
			<-request.done
		}
		return false
	}
	return c.clientClosed(request)
}

// awaitAnswerUnread waits while the client's next bytes are here already: closing can't be seen behind them.
func (c *clientConn) awaitAnswerUnread(request *inflightRequest, backstop time.Time) (clientLeft bool) {
	if c.gateway.Pipelining == RejectPipelining { // a client that waits for its answer would not send this
		response := errorResponse(errPipelined)
		response.reason = reasonPipelined
		if request.respond(response) {
			request.keepAlive = false
			c.postDisconnected(request)
			return false
		}
		c.pipelined = true
	}
	for {
		deadline := backstop
		if request.state.Load() == answerStreaming {
			if deadline = request.answerDeadline; deadline.IsZero() {
				<-request.done
				return false
			}
		}
		timer := time.NewTimer(max(time.Until(deadline), time.Millisecond))
		select {
		case <-request.done:
			timer.Stop()
			return false
		case <-timer.C:
			c.readTimedOut(request, backstop)
		}
	}
}

// readTimedOut answers the request if its time is up.
func (c *clientConn) readTimedOut(request *inflightRequest, backstop time.Time) {
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
			c.gateway.metrics.Backstops.Inc()
			c.gateway.log.Error("no decision came in the client's time", zap.String("id", request.displayID()))
			c.postDisconnected(request)
		}
	}
}

// clientClosed ends a request whose client has closed its connection. It returns false if the stream was whole before.
func (c *clientConn) clientClosed(request *inflightRequest) (clientLeft bool) {
	if request.state.CompareAndSwap(answerPending, answerAbandoned) {
		c.postDisconnected(request)
		return true
	}
	if request.state.CompareAndSwap(answerStreaming, answerAbandoned) {
		c.postDisconnected(request)
		request.cancelAttempts()
		if request.collector == nil {
			<-request.done // the attempt writes to this connection until it ends
		}
		return true
	}
	<-request.done
	return request.response.Status != 0 || request.result == resultClientGone
}

// postDisconnected reports to the router that nobody waits for the request any more.
func (c *clientConn) postDisconnected(request *inflightRequest) {
	c.gateway.loop.post(routing.ClientDisconnected{Request: request.id}, nil)
}

// peerClosed asks the system whether the client has closed its connection. The connection's goroutine finds out by
// itself, but may be scheduled late.
func (c *clientConn) peerClosed() bool { return socket.ReadState(c.conn) == socket.Closed }
