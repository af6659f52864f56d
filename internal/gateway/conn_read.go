package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/http1"
)

// Reasons for closing a client's connection, as metric label values.
const (
	closeReasonAnswered  = "after an answer"
	closeReasonClient    = "by the client"
	closeReasonEvicted   = "to make room"
	closeReasonIdle      = "idle"
	closeReasonShutdown  = "front ending"
	closeReasonMalformed = "malformed request"
	closeReasonSlow      = "request not whole in time"
)

// Errors of a wait that ended without a request. All other read errors come from http1 and from the connection.
var (
	errEvicted     = errors.New("gateway: idle connection evicted to make room for a new one")
	errIdleTimeout = errors.New("gateway: no request received before the idle deadline")
	errShutdown    = errors.New("gateway: no request received before the shutdown")
)

// closeReasonOf returns the close reason of a connection on which reading a request failed with err.
func closeReasonOf(err error) string {
	var malformed *http1.Error
	switch {
	case errors.Is(err, errEvicted):
		return closeReasonEvicted
	case errors.Is(err, errIdleTimeout):
		return closeReasonIdle
	case errors.Is(err, errShutdown):
		return closeReasonShutdown
	case errors.As(err, &malformed):
		return closeReasonMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closeReasonSlow
	}
	return closeReasonClient
}

// readRequest waits for a request and reads its head.
func (c *clientConn) readRequest() (*http1.Request, error) {
	if err := c.awaitRequest(); err != nil {
		return nil, err
	}
	if !http1.HeaderBuffered(c.reader) {
		if err := c.setReadDeadline(c.readDeadline(c.gateway.Limits.HeaderTimeout)); err != nil {
			return nil, err
		}
	}
	return http1.ReadRequest(c.reader, c.gateway.limits)
}

// awaitRequest waits for a request's first byte, until the idle timeout or, if the gateway drains, until graceEnd.
func (c *clientConn) awaitRequest() error {
	if err := c.setReadDeadline(c.readDeadline(c.gateway.Limits.IdleTimeout)); err != nil {
		return err
	}
	c.markIdle()
	var err error
	if !c.gateway.drain.started.Load() { // else Shutdown may have run before markIdle, and won't interrupt this read
		_, err = c.reader.Peek(1)
	}
	if !c.clearIdle() {
		return errEvicted
	}
	draining := c.gateway.drain.started.Load()
	if draining && c.setReadDeadline(c.gateway.drain.graceEnd()) == nil {
		_, err = c.reader.Peek(1)
	}
	switch {
	case err == nil:
		return nil
	case draining:
		return errShutdown
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errIdleTimeout
	default:
		return io.EOF
	}
}

// readDeadline returns the deadline for reading a part of a request: timeout from now, but until the connection has had
// a completion request, at most FirstRequestTimeout after the connection was accepted.
func (c *clientConn) readDeadline(timeout time.Duration) time.Time {
	deadline := time.Now().Add(timeout)
	if c.gateway.FirstRequestTimeout > 0 && !c.hadRequest {
		if firstRequestDeadline := c.acceptedAt.Add(c.gateway.FirstRequestTimeout); firstRequestDeadline.Before(deadline) {
			return firstRequestDeadline
		}
	}
	return deadline
}

// writeReadError responds to a request that was malformed or not received in time. After any other error the client is
// gone or has not sent a request, and nothing is written.
func (c *clientConn) writeReadError(err error) {
	var malformed *http1.Error
	switch {
	case errors.As(err, &malformed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		malformed = &http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"}
	default:
		return
	}
	c.recordEarlyRejection("malformed", malformed.Reason)
	response := errorResponse(&api.Error{
		Status: malformed.Status, Type: api.TypeInvalidRequest, Code: codeMalformed, Message: malformed.Reason,
	})
	_ = c.writeResponse(response, false) // the connection ends either way
}
