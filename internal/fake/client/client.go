// Package client is the client of a scenario. It sends each request on a new connection, reads the response with the
// parser of net/http, and records the outcome, including what a correct gateway never sends, such as bytes after the
// response.
//
// Send must not be called concurrently for one Attempt. The package keeps no state and starts no goroutines.
package client

import (
	"time"

	"brackenbend/internal/audit"
)

// Attempt is one attempt of a client at a request.
type Attempt struct {
	ID, Intent      string
	Class           audit.Class
	ClassName       string
	Tenant          string
	Session         string
	IdempotencyKey  string // "" = none
	SystemPrompt    string // system message, a prefix that sessions share; "" = none
	Turns           []string
	MaxTokens       int
	AnswerTokens    int // that the fake engine generates, at most MaxTokens
	Stream          bool
	Timeout         time.Duration // for the whole response, or for a stream to begin
	DisconnectAfter time.Duration // the client closes the connection this long after sending; 0 = never
	ReadDelay       time.Duration // pause after each event of a stream
	MarksRetries    bool          // sends the number of earlier attempts, as the published SDKs do
	Retries         int           // number of earlier attempts
	Model           string        // "" = defaultModel
	OnToken         func()        // called when a token of a stream has been read; may be nil
}

// Kinds of results. Stored records and the reports of scenarios contain these values.
const (
	Served         = "served"
	Rejected       = "refused"     // status 429
	Unavailable    = "turned"      // status 503 with Retry-After: the replica is shutting down
	Failed         = "failed"      // another status from 500 on
	StreamError    = "broken"      // the stream ended with an error event
	Invalid        = "invalid"     // any other status, or a body that is not JSON
	ConnectionLost = "cut"         // the connection closed before the response was complete
	Disconnected   = "hung up"     // the client closed the connection itself
	NotSent        = "unconnected" // the client could not connect or write the request
	TimedOut       = "none"        // the client's timeout or streamIdleTimeout passed
)

// Result is the outcome of an attempt.
type Result struct {
	Outcome     string        // one of the constants above
	FirstToken  time.Duration // 0 = none
	Elapsed     time.Duration
	Tokens      int           // of a stream: the events counted by readEvent
	RetryAfter  time.Duration // delay before a retry, with Rejected or Unavailable
	NoAutoRetry bool          // the response asks the client not to retry automatically
}
