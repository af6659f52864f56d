package routing

import "time"

// EndpointID names an endpoint; it stays the same when the endpoint's process restarts.
type EndpointID uint32

// RequestID names a request; ids are never used twice.
type RequestID uint32

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState uint8

// The states of a listed endpoint.
const (
	EndpointGone EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Kind      int // index in Config.Kinds
	Zone      int
	Cell      int
	State     EndpointState
	StartedAt time.Duration // last start of its process; 0 = long ago
	Weight    float64       // Carried for callers; the router does not use it.
}

// ListScope says what an EndpointList holds.
type ListScope uint8

// The scopes of an EndpointList.
const (
	ListChanges ListScope = iota // only lines that changed
	ListFull                     // all lines; what is missing is gone
	ListCached                   // all lines as last known to this replica, perhaps old
	ListFailed                   // fetching failed; the previous list stays
)

// Event is an input of Router.Step, one of the types below.
type Event interface{ event() }

type (
	// EndpointList is an update of the endpoint list.
	EndpointList struct {
		Scope     ListScope
		Endpoints []Endpoint
	}
	// Request has arrived at this replica, which owes it one final answer by its Deadline.
	Request struct {
		ID              RequestID
		Class           int // index in Config.Classes
		Tenant          int // index in Config.Tenants
		Session         uint64
		Prefix          uint64 // id of the prompt prefix that it shares with others; 0 = none
		PromptTokens    float64
		PrefixTokens    float64
		MaxOutputTokens float64
		Deadline        time.Duration
		// PossibleDuplicate marks a retry by the client itself of which an earlier attempt, at any replica,
		// may have run.
		PossibleDuplicate bool

		// Carried for callers; the router does not use them.

		Retry         bool // a retry of the client, where clients mark them
		ResumedStream bool // came again after its stream broke
	}
	// FirstToken reports that a stream has begun; its request has no deadline from then on.
	FirstToken struct {
		Request  RequestID
		Attempt  int
		Endpoint EndpointID
		Elapsed  time.Duration
	}
	// Outcome reports how an attempt ended; each Send gets exactly one.
	Outcome struct {
		Request      RequestID
		Attempt      int
		Endpoint     EndpointID
		Elapsed      time.Duration
		RequestDone  bool // the request is complete, no answer is owed
		Result       Result
		StateMissing bool      // there was no read state to fetch, or it was lost with an answer that failed
		CachedTokens float64   // with PrefillDone and Served: prompt tokens found in the endpoint's cache
		LoadReport   []float64 // Carried for callers; the router does not use it.
	}
	// ClientDisconnected reports that the client is gone; no answer is owed.
	ClientDisconnected struct{ Request RequestID }
	// Shutdown reports that this replica ends now: each request without an answer gets its final one.
	Shutdown struct{}
	// Timer is a wake-up that a SetTimer action asked for.
	Timer struct{ Tag uint64 }
	// Reserved answers a Reserve.
	Reserved struct {
		Request  RequestID
		Endpoint EndpointID
		OK       bool
	}
)

func (EndpointList) event()       {}
func (Request) event()            {}
func (FirstToken) event()         {}
func (Outcome) event()            {}
func (ClientDisconnected) event() {}
func (Shutdown) event()           {}
func (Timer) event()              {}
func (Reserved) event()           {}
