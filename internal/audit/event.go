package audit

import (
	"slices"
	"sync"
	"time"
)

// Kind says what an event is. Its values are part of the stored record and keep their form.
type Kind string

// The events. In brackets the fields that count beside At.
const (
	// Sent: the client wrote a whole request [Attempt, Intent, Class, Replica, Deadline].
	Sent Kind = "sent"
	// Unsent: the client could not write it whole, so it was not accepted [Attempt].
	Unsent Kind = "unsent"
	// Answer: the client has its whole final answer [Attempt, Result].
	Answer Kind = "answer"
	// ConnectionCut: the connection ended before a final answer [Attempt].
	ConnectionCut Kind = "cut"
	// ExtraBytes: bytes came after the final answer [Attempt].
	ExtraBytes Kind = "extra"
	// ClientLeft: the client disconnected of its own accord [Attempt].
	ClientLeft Kind = "hung up"

	// ReplicaStarted: a replica's process was started [Replica].
	ReplicaStarted Kind = "front up"
	// ReplicaKilled: a replica's process was killed [Replica].
	ReplicaKilled Kind = "front killed"
	// NotifiedGone: the API server wrote to a replica that an engine drains or is gone [Replica, Engine].
	NotifiedGone Kind = "told"
	// NotifiedReady: the API server wrote to a replica that an engine is ready [Replica, Engine].
	NotifiedReady Kind = "told ready"

	// Arrived: a new prefill or decode reached an engine [Engine, Replica, Request, Decode].
	Arrived Kind = "arrive"
	// Ended: the engine has finished with it [Engine, Request].
	Ended Kind = "end"
	// Executed: it took effect [Engine, Request, Attempt, Intent, Class].
	Executed Kind = "run"
	// Deduplicated: a repeat was dropped by the dedup group of the engines [as Executed].
	Deduplicated Kind = "repeat"
	// StateHeld: a read state waits at a prefill engine [Engine, Request].
	StateHeld Kind = "held"
	// StateReleased: it is gone from there: fetched, released, expired, or the engine died [Engine, Request].
	StateReleased Kind = "let go"
	// Overloaded: an engine in slow start was overloaded and crashed [Engine].
	Overloaded Kind = "fell over"
	// EngineStarted: an engine's process was started [Engine].
	EngineStarted Kind = "engine up"
	// EngineStopped: an engine's process has ended [Engine].
	EngineStopped Kind = "engine off"
)

// Class says how requests of a class may be repeated.
type Class string

// The three kinds of classes.
const (
	Idempotent        Class = "safe"
	IdempotentWithKey Class = "keyed"
	NotIdempotent     Class = "unsafe"
)

// The results of an attempt that the rules distinguish (Event.Result); others are "turned" (never accepted), "failed"
// and "invalid".
const (
	resultServed   = "served"
	resultRejected = "refused"
	resultBroken   = "broken"
)

// Event is one line of the record.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     Kind          `json:"kind"`
	Replica  string        `json:"front,omitempty"`
	Engine   string        `json:"engine,omitempty"`
	Request  string        `json:"request,omitempty"` // the id on the engines' sockets: replica's run, number, attempt
	Decode   bool          `json:"write,omitempty"`
	Attempt  string        `json:"try,omitempty"`    // one request of a client
	Intent   string        `json:"effect,omitempty"` // what the attempts of one client's request have in common
	Class    Class         `json:"class,omitempty"`
	Result   string        `json:"result,omitempty"` // served, refused, turned, failed, broken, invalid
	Deadline time.Duration `json:"until,omitempty"`  // the client's deadline
}

// Record collects events from many goroutines. A nil record keeps nothing.
type Record struct {
	start time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecord begins a record now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// Now is the time since the record began; 0 for a nil record.
func (r *Record) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.start)
}

// Add stamps an event with the present time and keeps it.
func (r *Record) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.start)
	r.events = append(r.events, e)
}

// Events returns a copy of all events so far, by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
