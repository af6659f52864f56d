// Package protocol is the platform's HTTP protocol: client.go reads the requests of clients to a node, engine.go writes
// the requests to engines and reads their replies (docs/node.md prints the table). The package holds no state, starts
// no goroutines, opens no sockets and takes no routing decisions.
package protocol

import "time"

// Paths of the protocol beside the one of chat completions (api.PathChat).
const (
	pathHealth      = "/healthz"
	pathStatePrefix = "/state/" // followed by the id of the request that a read state belongs to
)

// Header fields of the protocol.
const (
	headerPrefix    = "Req-" // of all fields in which clients describe a request
	headerRequestID = "Req-Id"
	headerClass     = "Req-Kind"
	headerTenant    = "Req-Owner"
	headerSession   = "Req-Key"
	headerDeadline  = "Req-Deadline-Ms"
	headerHints     = "Req-Extra"
	headerRetry     = "Req-Retry"
	headerDeclined  = "Srv-Declined"

	// HeaderLoadReport is the header field in which engines report their load.
	HeaderLoadReport = "Srv-Load"
)

// Values of header fields.
const (
	retryNone    = "0"
	retryRequest = "1"     // the client repeats a request
	retryStream  = "again" // the client asks for the rest of a broken stream
	declinedTrue = "1"     // the engine never ran the request
)

// Bounds on what a request may claim, so that no sum of claims overflows.
const (
	maxRequestIDBytes = 128
	maxDeadline       = 24 * time.Hour
	maxTokens         = 1e9
)
