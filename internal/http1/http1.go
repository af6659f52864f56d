// Package http1 parses HTTP/1.1 messages (RFC 9112) from a bufio.Reader: request headers for a server, response
// headers for a client, and the bodies of both. It also encodes the parts of messages that this program sends. It does
// not interpret messages and opens no sockets.
//
// It is stricter than the RFC wherever leniency would let two parsers disagree on where a message ends. Bare LF, folded
// fields, space before a colon, more than one Content-Length, and Content-Length together with Transfer-Encoding are
// errors.
//
// The package keeps no state and starts no goroutines. Its values are not safe for concurrent use.
package http1

import (
	"fmt"
	"net/http"
)

// Limits bound the memory used for one message. All fields are required.
type Limits struct {
	MaxHeaderBytes  int // for a start line with its header section, and for a trailer section
	MaxHeaderFields int
}

// Error is the error for a message that violates the protocol or exceeds a limit. Status is the status with which a
// server responds to such a request.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

// badMessage returns the error for a message that violates the protocol.
func badMessage(format string, args ...any) error {
	return &Error{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// bodyTooLarge returns the error for a body of more than limit bytes.
func bodyTooLarge(limit int64) error {
	return &Error{http.StatusRequestEntityTooLarge, fmt.Sprintf("body over %d bytes", limit)}
}
