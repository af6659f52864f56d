// Package http1 parses HTTP/1.1 messages (RFC 9112) from a bufio.Reader: request headers for a server, response
// headers for a client, and the bodies of both. It does not interpret messages and opens no sockets.
//
// It is stricter than the RFC asks wherever leniency lets two parsers disagree on where a message ends: bare
// LF, folded fields, space before a colon, more than one Content-Length, and Content-Length beside
// Transfer-Encoding are all errors.
//
// All state is in the caller's values, which one goroutine uses at a time; the package starts no goroutines.
package http1

import (
	"fmt"
	"net/http"
)

// Limits bound the memory that one message may take. All are required.
type Limits struct {
	MaxHeaderBytes  int // bytes of a start line with its header section, and of a trailer section
	MaxHeaderFields int
}

// Error is a message that breaks the protocol or a limit. Status is the answer that a server owes for it.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return "http1: " + e.Reason }

// badMessage returns the error of a message that breaks the protocol.
func badMessage(format string, args ...any) error {
	return &Error{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// bodyTooLarge returns the error of a body that is longer than its reader allows.
func bodyTooLarge(limit int64) error {
	return &Error{http.StatusRequestEntityTooLarge, fmt.Sprintf("body over %d bytes", limit)}
}
