package engine

import (
	"brackenbend/routing"
	"encoding/json"
	"time"
)

// Call is one attempt's request.
type Call struct {
	Path           string
	ID             string // of this attempt, unique over fronts and restarts
	IdempotencyKey string // Idempotency-Key, empty = none
	Body           []byte
	SingleUseConn  bool          // may run only once: rides on a connection of its own
	NewConn        bool          // rides on a new connection
	ConnectTimeout time.Duration // for a new connection to come up; 0 = Client.DialTime
	Deadline       time.Time     // for the first token, or the whole of a read
	SendBy         time.Time     // for the last byte to be written; zero = no bound but Deadline
	// Abandoned tells, at the moment of writing, that nobody waits for the request any more; nil = somebody does.
	Abandoned func() bool
}

// over tells that the request must not be sent any more.
func (c *Call) over() bool { return c.Abandoned != nil && c.Abandoned() || c.late() }

// late tells that the time to send the request has passed.
func (c *Call) late() bool { return !c.SendBy.IsZero() && !time.Now().Before(c.SendBy) }

// expired tells that the call's time is up.
func (c *Call) expired() bool { return !c.Deadline.IsZero() && !time.Now().Before(c.Deadline) }

// sendBy is when the request has to be written.
func (c *Call) sendBy() time.Time {
	if c.SendBy.IsZero() || c.SendBy.After(c.Deadline) && !c.Deadline.IsZero() {
		return c.Deadline
	}
	return c.SendBy
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result           routing.Result
	StateMissing     bool
	CachedTokens     float64
	LoadReport       []float64
	KVTransferParams json.RawMessage // of a read: what the writer needs to fetch the state
	Events           int             // of a stream, that were tokens by their place; the last event is none
	Reply            *Reply          // an answer about the request itself, to be passed on
	Err              error           // for logs
}

// Reply is an engine's answer that blames the request.
type Reply struct {
	Status int
	Body   []byte
}

// Sink takes a stream. It is called from the attempt's goroutine only.
type Sink interface {
	// Begin claims the client's answer when the first token is here; false: another answer was given.
	Begin() bool
	// Events takes one or more whole events, valid during the call; last: the stream's end is among them. An error
	// ends the attempt.
	Events(p []byte, last bool) error
}
