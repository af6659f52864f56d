package engine

import (
	"errors"
	"io"
	"os"

	"brackenbend/internal/http1"
)

// Errors of attempts that end on this side, or by what an engine says within its response.
var (
	errNotSent   = errors.New("engine: endpoint drains or is gone, or the attempt was canceled, before its first byte")
	errConnLimit = errors.New("engine: connection limit reached")

	errEarlyResponse    = errors.New("engine: response before the last byte of the request")
	errResponseClaimed  = errors.New("engine: the client already got another response")
	errErrorEvent       = errors.New("engine: error event in the stream")
	errEventTooLarge    = errors.New("engine: event too large")
	errStreamTooLarge   = errors.New("engine: stream too large")
	errNoTransferParams = errors.New("engine: prefill reply without kv_transfer_params")
	errStreamTruncated  = errors.New("engine: stream ended without its last event")
)

// sinkError is an error of the sink that takes a stream: its client is gone or reads nothing.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// connectionBroke reports whether err ended a connection, rather than time running out or a malformed or truncated
// message.
func connectionBroke(err error) bool {
	var protocolError *http1.Error
	return !errors.Is(err, os.ErrDeadlineExceeded) && !errors.As(err, &protocolError) &&
		!errors.Is(err, io.ErrUnexpectedEOF)
}
