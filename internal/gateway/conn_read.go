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

// Why a client's connection was closed, as a metric label.
const (
	closeAnswered  = "after an answer"
	closeClient    = "by the client"
	closeEvicted   = "to make room"
	closeIdle      = "idle"
	closeShutdown  = "front ending"
	closeMalformed = "malformed request"
	closeSlow      = "request not whole in time"
)

// Why no request was read; all other errors are those of http1 and of the connection.
var (
	errEvicted     = errors.New("gateway: the connection was closed in favor of a new one")
	errIdleTimeout = errors.New("gateway: no request came in time")
	errShutdown    = errors.New("gateway: no request came before the shutdown")
)

// closeReasonOf is the label for a connection on which reading a request failed with err.
func closeReasonOf(err error) string {
	var malformed *http1.Error
	switch {
	case errors.Is(err, errEvicted):
		return closeEvicted
	case errors.Is(err, errIdleTimeout):
		return closeIdle
	case errors.Is(err, errShutdown):
		return closeShutdown
	case errors.As(err, &malformed):
		return closeMalformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closeSlow
	}
	return closeClient
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

// awaitRequest waits for a request's first byte.
func (c *clientConn) awaitRequest() error {
	if err := c.setReadDeadline(c.readDeadline(c.gateway.Limits.IdleTimeout)); err != nil {
		return err
	}
	c.markIdle()
	var err error
	if !c.gateway.drain.started.Load() { // otherwise Shutdown may have passed this connection before idleSince was set
		_, err = c.reader.Peek(1)
	}
	if !c.leaveIdle() {
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

// readDeadline is the end of a wait for a part of a request. The first request on a connection has FirstRequestTimeout.
func (c *clientConn) readDeadline(wait time.Duration) time.Time {
	deadline := time.Now().Add(wait)
	if c.gateway.FirstRequestTimeout > 0 && !c.hadRequest {
		if first := c.acceptedAt.Add(c.gateway.FirstRequestTimeout); first.Before(deadline) {
			return first
		}
	}
	return deadline
}

// writeReadError answers what could not be read as a request. There is no answer for a client that has left.
func (c *clientConn) writeReadError(err error) {
	var malformed *http1.Error
	switch {
	case errors.As(err, &malformed):
	case errors.Is(err, os.ErrDeadlineExceeded):
		malformed = &http1.Error{Status: http.StatusRequestTimeout, Reason: "the request did not come in time"}
	default:
		return
	}
	c.gateway.metrics.EarlyRejections.WithLabelValues("malformed").Inc()
	response := errorResponse(&api.Error{
		Status: malformed.Status, Type: api.TypeInvalidRequest, Code: codeMalformed, Message: malformed.Reason,
	})
	_ = c.writeResponse(response, false) // the connection ends either way
}
