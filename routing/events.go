package routing

import "time"

// EndpointID identifies an endpoint; it stays the same when the endpoint's process restarts.
type EndpointID uint32

// RequestID identifies a request; an id is never reused.
type RequestID uint32

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState uint8

// The states of a listed endpoint.
const (
	EndpointGone EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        EndpointID
	Kind      int // index in Config.Kinds
	Zone      int
	Cell      int
	State     EndpointState
	StartedAt time.Duration // last start of its process; 0 = long ago, not in slow start
	Weight    float64       // Carried for callers; the router does not use it.
}

// ListScope says which endpoints an EndpointList holds.
type ListScope uint8

// The values of ListScope.
const (
	ListChanges ListScope = iota // only those that changed
	ListFull                     // all; one that is missing is gone
	ListCached                   // all as last known to this replica, possibly out of date
	ListFailed                   // none: the fetch failed, and the previous list stays valid
)

// Event is an input of Router.Step: one of the types below.
type Event interface{ event() }

type (
	// EndpointList is an update of the endpoint list.
	EndpointList struct {
		Scope     ListScope
		Endpoints []Endpoint
	}
	// Request reports a request that arrived at this replica, which must give it one final answer by its
	// Deadline.
	Request struct {
		ID              RequestID
		Class           int // index in Config.Classes
		Tenant          int // index in Config.Tenants
		Session         uint64
		Prefix          uint64 // id of a prompt prefix that other requests have too; 0 = none
		PromptTokens    float64
		PrefixTokens    float64
		MaxOutputTokens float64
		Deadline        time.Duration
		// PossibleDuplicate marks a retry by the client, where an earlier request of it, at any replica, may
		// have run.
		PossibleDuplicate bool

		// Carried for callers; the router does not use them.

		Retry         bool // a retry by the client, if clients mark their retries
		ResumedStream bool // sent again by the client after its stream broke
	}
	// FirstToken reports that the stream of an attempt has begun; from then on its request has no deadline.
	FirstToken struct {
		Request  RequestID
		Attempt  int
		Endpoint EndpointID
		Elapsed  time.Duration // since the send
	}
	// Outcome reports how an attempt ended. Each Send gets exactly one.
	Outcome struct {
		Request      RequestID
		Attempt      int
		Endpoint     EndpointID
		Elapsed      time.Duration // since the send
		RequestDone  bool          // the request is complete and needs no further answer
		Result       Result
		StateMissing bool      // there was no read state to fetch, or it was lost when the decode failed
		CachedTokens float64   // for PrefillDone and Served: prompt tokens found in the endpoint's cache
		LoadReport   []float64 // Carried for callers; the router does not use it.
	}
	// ClientDisconnected reports that the client has disconnected; its request needs no answer.
	ClientDisconnected struct{ Request RequestID }
	// Shutdown reports that this replica shuts down now; each request without an answer gets one.
	Shutdown struct{}
	// Timer reports that a timer set by a SetTimer action has fired.
	Timer struct{ Tag uint64 }
	// Reserved reports the result of a Reserve.
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
