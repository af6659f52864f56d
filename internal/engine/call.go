package engine

import (
	"time"
)

// Call is one attempt's request.
type Call struct {
	Path           string
	ID             string // of this attempt, unique over replicas and restarts
	IdempotencyKey string // Idempotency-Key, empty = none
	Body           []byte
	SingleUseConn  bool          // must run only once: is sent on a connection of its own
	NewConn        bool          // is sent on a new connection
	ConnectTimeout time.Duration // for a new connection; 0 = Client.DialTimeout
	Deadline       time.Time     // for the first token, or the complete reply of a prefill
	SendBy         time.Time     // for the last byte to be written; zero = no limit but Deadline
	// Abandoned reports, at the moment of writing, whether nobody waits for the request any more; nil = somebody does.
	Abandoned func() bool
}

// mustNotSend reports whether nobody waits for the request any more or the time to send it has passed.
func (c *Call) mustNotSend() bool { return c.Abandoned != nil && c.Abandoned() || c.sendTimePassed() }

// sendTimePassed reports whether the time to send the request has passed.
func (c *Call) sendTimePassed() bool { return !c.SendBy.IsZero() && !time.Now().Before(c.SendBy) }

// deadlinePassed reports whether the call's time is up.
func (c *Call) deadlinePassed() bool { return !c.Deadline.IsZero() && !time.Now().Before(c.Deadline) }

// writeDeadline is when the request has to be written.
func (c *Call) writeDeadline() time.Time {
	if c.SendBy.IsZero() || c.SendBy.After(c.Deadline) && !c.Deadline.IsZero() {
		return c.Deadline
	}
	return c.SendBy
}

// connectDeadline is when a connection has to be there.
func (c *Call) connectDeadline() time.Time {
	if c.ConnectTimeout > 0 {
		return earlierDeadline(c.ConnectTimeout, c.writeDeadline())
	}
	return c.writeDeadline()
}

// earlierDeadline is the end of a wait that starts now and may not go past deadline (zero = none).
func earlierDeadline(wait time.Duration, deadline time.Time) time.Time {
	if at := time.Now().Add(wait); deadline.IsZero() || at.Before(deadline) {
		return at
	}
	return deadline
}
