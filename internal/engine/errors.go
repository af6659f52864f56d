package engine

import (
	"errors"
	"fmt"
	"io"
	"os"

	"brackenbend/internal/http1"
)

// Errors of attempts that this process ends, or that the content of an engine's response ends.
var (
	errNotSent   = errors.New("engine: not sent: endpoint draining or removed, attempt canceled, client gone, or too late")
	errConnLimit = errors.New("engine: connection limit reached")

	errEarlyResponse    = errors.New("engine: response arrived before the request was complete")
	errResponseClaimed  = errors.New("engine: the client has already received another response")
	errErrorEvent       = errors.New("engine: error event in the stream")
	errMalformedEvent   = errors.New("engine: malformed event in the stream")
	errTooManyEvents    = errors.New("engine: more events than the answer may have")
	errEventTooLarge    = errors.New("engine: event too large")
	errStreamTooLarge   = errors.New("engine: stream too large")
	errNoTransferParams = errors.New("engine: prefill reply without kv_transfer_params")
	errStreamTruncated  = errors.New("engine: stream ended without its last event")

	errNotArrived = fmt.Errorf("engine: the request has not arrived in the time to send it: %w", os.ErrDeadlineExceeded)
)

// sinkError wraps an error that Sink.Events returned: the client has disconnected or does not read the stream.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// connectionBroke reports whether err means a reset or closed connection, rather than a time-out or a malformed or
// truncated message.
func connectionBroke(err error) bool {
	var protocolError *http1.Error
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &protocolError) &&
		!errors.Is(err, io.ErrUnexpectedEOF)
}
