package engine

import (
	"time"
)

// Call is the request of one attempt and the limits on sending it.
type Call struct {
	Path           string
	ID             string // unique for each attempt, across replicas and restarts
	IdempotencyKey string // value of the Idempotency-Key header; empty = none
	Body           []byte
	NotIdempotent  bool          // must not run twice: sent on a new connection, last byte withheld for SettleDelay
	NewConn        bool          // never sent on an idle connection
	ConnectTimeout time.Duration // for a new connection, in addition to Client.DialTimeout; 0 = none
	MaxTokens      int           // most tokens that the answer may have, for Client.StrictEvents; 0 = unknown
	Deadline       time.Time     // for the first token of a decode or the complete reply of a prefill; zero = none
	SendBy         time.Time     // for the arrival of the request's last byte at the engine; zero = Deadline only
	// Abandoned reports whether the client has left, so that the request need not be sent. It is called before
	// the dial, the first byte and a withheld last byte; nil = the client is never considered gone.
	Abandoned func() bool
}

// mustNotSend reports whether the client has left or the time to send the request has passed.
func (c *Call) mustNotSend() bool { return c.Abandoned != nil && c.Abandoned() || c.sendTimePassed() }

// sendTimePassed reports whether SendBy has passed.
func (c *Call) sendTimePassed() bool { return !c.SendBy.IsZero() && !time.Now().Before(c.SendBy) }

// deadlinePassed reports whether Deadline has passed.
func (c *Call) deadlinePassed() bool { return !c.Deadline.IsZero() && !time.Now().Before(c.Deadline) }

// maxEvents is the highest number of events with data, without the last one, that the answer may have; 0 = no limit.
// Each token may come with an event of its own and another without one, and some events mark the start and the end.
func (c *Call) maxEvents() int {
	const eventsPerToken, eventsWithoutToken = 2, 16
	if c.MaxTokens == 0 {
		return 0
	}
	return eventsPerToken*c.MaxTokens + eventsWithoutToken
}

// writeDeadline is the time by which the request must be written: the earlier of SendBy and Deadline; zero = no limit.
func (c *Call) writeDeadline() time.Time {
	if c.SendBy.IsZero() || c.SendBy.After(c.Deadline) && !c.Deadline.IsZero() {
		return c.Deadline
	}
	return c.SendBy
}

// connectDeadline is the time by which a new connection must be established; zero = no limit.
func (c *Call) connectDeadline() time.Time {
	if c.ConnectTimeout > 0 {
		return earlierDeadline(c.ConnectTimeout, c.writeDeadline())
	}
	return c.writeDeadline()
}

// earlierDeadline is the time at which a wait that starts now ends, but no later than deadline (zero = none).
func earlierDeadline(wait time.Duration, deadline time.Time) time.Time {
	if end := time.Now().Add(wait); deadline.IsZero() || end.Before(deadline) {
		return end
	}
	return deadline
}
