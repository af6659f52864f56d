// Package client is the client of a scenario: it writes a request on a socket of its own, reads the answer with
// net/http's parser, and records what passed, also what a well-behaved gateway never sends.
//
// An Attempt belongs to the goroutine that sends it; the package keeps no state and starts no goroutines.
package client

import (
	"time"

	"brackenbend/internal/audit"
)

// Attempt is one request of a client.
type Attempt struct {
	ID, Intent      string
	Class           audit.Class
	ClassName       string
	Tenant          string
	Session         string
	Key             string // Idempotency-Key
	System          string // prefix that sessions share
	Turns           []string
	MaxTokens       int
	AnswerTokens    int // that a fake engine answers
	Stream          bool
	Timeout         time.Duration // within which the client wants its answer, or its stream to begin
	DisconnectAfter time.Duration // 0 = never
	ReadDelay       time.Duration // pause after each read of a stream
	MarksRetries    bool          // numbers its attempts as the published SDKs do
	Retries         int           // attempts before this one
	Model           string        // "" = defaultModel
	OnToken         func()        // called for each token of a stream as it comes; may be nil
}

// How an attempt ended. The values are those of the stored record and of the scenarios' reports.
const (
	Served       = "served"
	Rejected     = "refused"
	NotAccepted  = "turned" // rejected before it was accepted: the replica shuts down
	Failed       = "failed"
	Broken       = "broken" // a stream that ended with an error
	Invalid      = "invalid"
	Cut          = "cut"         // the connection ended before a final answer
	Disconnected = "hung up"     // by the client itself
	Unconnected  = "unconnected" // the request could not be sent
	NoAnswer     = "none"        // within the client's time
)

// Result is how an attempt ended.
type Result struct {
	Kind        string        // one of the constants above
	FirstToken  time.Duration // 0 = none
	Elapsed     time.Duration
	Tokens      int
	RetryAfter  time.Duration // promised with a rejection
	NoAutoRetry bool          // the answer asks not to retry automatically
}
