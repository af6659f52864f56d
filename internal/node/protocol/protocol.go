// Package protocol implements the platform's HTTP protocol. client.go parses the requests that clients send to a node;
// engine.go writes the requests to engines and interprets their replies (table in docs/node.md). The package holds no
// state, starts no goroutines, opens no sockets and takes no routing decisions.
package protocol

import "time"

// Paths of the protocol other than the path of chat completions, which is api.PathChat.
const (
	pathHealth      = "/healthz"
	pathStatePrefix = "/state/" // followed by the id of the request that owns the read state
)

// Header fields of the protocol.
const (
	headerPrefix    = "Req-" // of all fields with which clients describe a request
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
	retryRequest = "1"     // the client retries a request
	retryStream  = "again" // the client requests the rest of a broken stream
	declinedTrue = "1"     // the engine did not run the request
)

// Limits on the values in a request, so that sums of them cannot overflow.
const (
	maxRequestIDBytes = 128
	maxDeadline       = 24 * time.Hour
	maxTokens         = 1e9
)
