package audit

import (
	"slices"
	"sync"
	"time"
)

// EventKind is the kind of an event. Its values are part of stored records and must not change.
type EventKind string

// The kinds of events. Brackets list the relevant fields besides At.
const (
	// AttemptSent: the client wrote a whole request [Attempt, Intent, Class, Replica, Deadline].
	AttemptSent EventKind = "sent"
	// AttemptUnsent: the client could not write the whole request, which therefore was not accepted [Attempt].
	AttemptUnsent EventKind = "unsent"
	// Answer: the client received its whole final answer [Attempt, Result].
	Answer EventKind = "answer"
	// ConnectionCut: the connection ended before a final answer [Attempt].
	ConnectionCut EventKind = "cut"
	// ExtraBytes: bytes came after the final answer [Attempt].
	ExtraBytes EventKind = "extra"
	// ClientDisconnected: the client disconnected of its own accord [Attempt].
	ClientDisconnected EventKind = "hung up"

	// ReplicaStarted: a replica's process was started [Replica].
	ReplicaStarted EventKind = "front up"
	// ReplicaKilled: a replica's process was killed [Replica].
	ReplicaKilled EventKind = "front killed"
	// NotifiedGone: the API server notified a replica that an engine drains or is gone [Replica, Engine].
	NotifiedGone EventKind = "told"
	// NotifiedReady: the API server notified a replica that an engine is ready [Replica, Engine].
	NotifiedReady EventKind = "told ready"

	// RequestArrived: a prefill or decode request reached an engine [Engine, Replica, Request, Decode].
	RequestArrived EventKind = "arrive"
	// RequestEnded: the engine ended a request that had arrived, with or without an answer [Engine, Request].
	RequestEnded EventKind = "end"
	// Executed: a request took effect at an engine [Engine, Request, Attempt, Intent, Class].
	Executed EventKind = "run"
	// Deduplicated: the dedup scope of the engines dropped a repeated request [the fields of Executed].
	Deduplicated EventKind = "repeat"
	// StateHeld: a read state waits at a prefill engine [Engine, Request].
	StateHeld EventKind = "held"
	// StateReleased: a read state was fetched, released, expired or lost with its engine [Engine, Request].
	StateReleased EventKind = "let go"
	// EngineOverloaded: an engine in slow start was overloaded and crashed [Engine].
	EngineOverloaded EventKind = "fell over"
	// EngineStarted: an engine's process was started [Engine].
	EngineStarted EventKind = "engine up"
	// EngineStopped: an engine's process has ended [Engine].
	EngineStopped EventKind = "engine off"
)

// Class is the idempotency of the requests of a class.
type Class string

// The values of Class.
const (
	Idempotent        Class = "safe"
	IdempotentWithKey Class = "keyed"
	NotIdempotent     Class = "unsafe"
)

// The values of Event.Result that the rules distinguish. The others are "turned" (rejected before it was accepted),
// "failed" and "invalid".
const (
	resultServed   = "served"
	resultRejected = "refused"
	resultBroken   = "broken"
)

// Event is one event of the record. The names of its JSON fields are those of stored records.
type Event struct {
	At       time.Duration `json:"at"`
	Kind     EventKind     `json:"kind"`
	Replica  string        `json:"front,omitempty"`
	Engine   string        `json:"engine,omitempty"`
	Request  string        `json:"request,omitempty"` // ID sent to engines: replica's process, number, attempt
	Decode   bool          `json:"write,omitempty"`
	Attempt  string        `json:"try,omitempty"`    // one attempt of a client's request
	Intent   string        `json:"effect,omitempty"` // ID of the client's request, shared by its attempts
	Class    Class         `json:"class,omitempty"`
	Result   string        `json:"result,omitempty"` // served, refused, turned, failed, broken or invalid
	Deadline time.Duration `json:"until,omitempty"`  // the client's deadline, as a time of the record
}

// Record collects events from many goroutines. A nil Record discards them.
type Record struct {
	startTime time.Time

	mu     sync.Mutex
	events []Event
}

// NewRecord returns an empty record whose clock starts now.
func NewRecord() *Record { return &Record{startTime: time.Now()} }

// Now is the time since the record began; 0 for a nil record.
func (r *Record) Now() time.Duration {
	if r == nil {
		return 0
	}
	return time.Since(r.startTime)
}

// Add sets the time of an event to the present and records it.
func (r *Record) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.At = time.Since(r.startTime)
	r.events = append(r.events, e)
}

// Events returns a copy of all events so far, ordered by time.
func (r *Record) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}
