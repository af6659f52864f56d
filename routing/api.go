package routing

import (
	"errors"
	"fmt"
	"time"
)

// EndpointID names a server; it stays the same when the server's process restarts.
type EndpointID uint32

// RequestID names a request; ids are never used twice.
type RequestID uint32

// Role is what a kind of server does.
type Role uint8

// The roles of a server.
const (
	RolePrefill Role = iota // reads prompts (prefill)
	RoleDecode              // writes answers (decode)
	RoleMixed               // reads and writes
)

// Idempotency says how a class may be repeated.
type Idempotency uint8

// The three effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // repeats are dropped inside a group of servers, for a while
	NotIdempotent                        // must never run twice
)

// DedupScope is the set of servers that drops repeats of a keyed request.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name                    string        // for logs only
	LatencyObjective        time.Duration // first token wanted within this time
	LatencyObjectivePer1000 time.Duration // and so much more for each 1,000 prompt tokens
	TokenLatencyObjective   time.Duration // wanted time between tokens; not used yet
	Deadline                time.Duration // how long a client waits in all; Request.Due is what counts
	PriorityWeight          float64       // worth of one request (or of one unit of work); not used yet
	LateWeight              float64       // part of the worth paid after the aim; the larger, the fewer are refused early
	Idempotency             Idempotency
	DedupScope              DedupScope    // for Keyed
	DedupWindow             time.Duration // for Keyed: how long repeats are dropped
}

// Kind describes one kind of server.
type Kind struct {
	Role   Role
	Memory float64 // tokens; 0 = unknown
}

// Tenant is one customer and its share.
type Tenant struct {
	QuotaPerS float64 // requests a second over all fronts inside its share; 0 = no limit
	Share     float64 // not used: QuotaPerS decides
}

// Config is all that a Router is told at its start. A zero figure means the documented default.
type Config struct {
	Replicas         int // equal fronts of this service; 0 = 1
	Zone             int // this front's zone
	Classes          []Class
	Kinds            []Kind
	Tenants          []Tenant // may be empty
	OverQuotaWeight  float64  // worth of a request beyond its tenant's share, as a part of the usual
	WeightByWork     bool     // worth is of each unit of work, else of a request
	MaxAttempts      int      // for one request; 0 = 2
	CanCancel        bool
	Hedging          bool          // two attempts of a request may be out at once; this module never does it
	MaxRetryAfter    time.Duration // the longest advised wait that clients follow; 0 = 1 s
	ReserveAhead     bool          // places may be held ahead at writers; not used, the pick is late
	DecodeCanPrefill bool          // a writer reads by itself when there is no state
	ResumeStreams    bool          // broken streams come again; not used, they are requests like any other
	StateTTL         time.Duration // held state must be taken or let go within; 0 = 300 ms
	AnswerSlack      time.Duration // past Due in which a final answer still counts; not used
	DrainGrace       time.Duration // sends to a draining server must stop within; not used, they stop at once
	SlowStartFrom    float64       // part of its capacity at which a server starts; 0 = 0.25
	SlowStartFor     time.Duration // warm after this; 0 = never cold
	OverloadFactor   float64       // sent more than so many times its present capacity ...
	OverloadAfter    time.Duration // ... for so long, a cold server falls over
	PollEndpoints    bool          // the list must be asked for (Watch)
	PollInterval     time.Duration // ask again at least this often where it must be asked for
	LoadReportFields []string      // names of the figures in load reports; reports are not used
}

// Validate reports the first field the module can't serve.
func (s Config) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes: none given")
	}
	if len(s.Kinds) == 0 {
		return errors.New("settings: Kinds: none given")
	}
	for i, c := range s.Classes {
		if c.LatencyObjective < 0 || c.LatencyObjectivePer1000 < 0 || c.TokenLatencyObjective < 0 || c.Deadline < 0 || c.DedupWindow < 0 {
			return fmt.Errorf("settings: Classes[%d] (%s): negative time", i, c.Name)
		}
		if c.Idempotency > NotIdempotent {
			return fmt.Errorf("settings: Classes[%d].Effect: unknown effect %d", i, c.Idempotency)
		}
		if c.DedupScope > DedupCell {
			return fmt.Errorf("settings: Classes[%d].Group: unknown group %d", i, c.DedupScope)
		}
	}
	for i, k := range s.Kinds {
		if k.Role > RoleMixed {
			return fmt.Errorf("settings: Kinds[%d].Role: unknown role %d", i, k.Role)
		}
		if k.Memory < 0 {
			return fmt.Errorf("settings: Kinds[%d].Memory: negative", i)
		}
	}
	for name, d := range s.durations() {
		if d < 0 {
			return fmt.Errorf("settings: %s: negative time", name)
		}
	}
	if s.Replicas < 0 || s.MaxAttempts < 0 {
		return errors.New("settings: Fronts, MaxAttempts: negative count")
	}
	return nil
}

func (s Config) durations() map[string]time.Duration {
	return map[string]time.Duration{
		"MaxWait": s.MaxRetryAfter, "ReleaseWithin": s.StateTTL,
		"TipAfter": s.OverloadAfter, "ColdFor": s.SlowStartFor, "DrainGrace": s.DrainGrace,
		"AnswerSlack": s.AnswerSlack, "AskWithin": s.PollInterval,
	}
}

// EndpointState is what the list says of a server.
type EndpointState uint8

// The states of a listed server.
const (
	EndpointGone EndpointState = iota
	EndpointReady
	EndpointDraining
)

// Endpoint is one line of the list of servers.
type Endpoint struct {
	ID        EndpointID
	Kind      int
	Zone      int
	Cell      int
	State     EndpointState
	StartedAt time.Duration // last start of its process; 0 = long ago
	Weight    float64       // size against others; not used yet
}

// Event is something that happened to this front; Step takes any of the types below.
type Event interface{ event() }

// ListScope says what a ServerList holds.
type ListScope uint8

// The scopes of a ServerList.
const (
	ListChanges ListScope = iota // only lines that changed
	ListFull                     // all lines; who is missing is gone
	ListCached                   // all lines as last known to this front, perhaps old
	ListFailed                   // asking failed; the old list stays
)

type (
	// EndpointList is news of the servers.
	EndpointList struct {
		Scope     ListScope
		Endpoints []Endpoint
	}
	// Request has reached this front, which owes it one final answer by Due.
	Request struct {
		ID              RequestID
		Class           int
		Tenant          int
		Session         uint64
		Prefix          uint64 // id of the shared beginning; 0 = none
		PromptTokens    float64
		PrefixTokens    float64
		MaxOutputTokens float64
		Deadline        time.Duration
		Retry           bool // a client's further try, where clients mark it; not used
		ResumedStream   bool // came again after its stream broke; not used
		// PossibleDuplicate marks a further try by a client of itself, of which it can't be told here how the earlier
		// ones ended: one may have run.
		PossibleDuplicate bool
	}
	// FirstToken tells that a stream has begun; its request has no deadline any more.
	FirstToken struct {
		Request  RequestID
		Attempt  int
		Endpoint EndpointID
		Elapsed  time.Duration
	}
	// Outcome tells how an attempt ended; each Send gets exactly one.
	Outcome struct {
		Request      RequestID
		Attempt      int
		Endpoint     EndpointID
		Elapsed      time.Duration
		RequestDone  bool // the request is over, no answer is owed
		Result       Result
		StateMissing bool      // there was no read state to fetch, or it went with an answer that came to nothing
		CachedTokens float64   // with ReadDone and Served: prompt tokens found kept
		LoadReport   []float64 // not used
	}
	// ClientDisconnected tells that the client left; no answer is owed.
	ClientDisconnected struct{ Request RequestID }
	// Shutdown tells that this front ends now: what has no answer yet gets its final one.
	Shutdown struct{}
	// Timer is a wake-up that a Wake action asked for.
	Timer struct{ Tag uint64 }
	// Reserved answers an Ahead.
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

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served            Result = iota // answered
	EngineError                     // the server failed it; it may have run
	Rejected                        // turned away; it never ran
	TimedOut                        // no answer in time; it may have run
	ConnectFailed                   // no connection; it never ran
	ConnectionReset                 // the connection broke; it may have run
	Cancelled                       // called off; it may have run
	NotSent                         // never sent; it never ran
	PrefillDone                     // the prompt is read, its state waits at the reader
	RequestIncomplete               // the connection broke before the request was whole; it never ran
)

// NeverExecuted tells that the server did nothing for the attempt, for certain.
func (r Result) NeverExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == RequestIncomplete
}

// Action is a decision; Step returns the types below, in the order in which they are to be carried out.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (attempts count from 0).
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration // 0 = until Due
		// ConnectTimeout is how long a connection may take to come up, since a state waits meanwhile; 0 = as long as
		// ever.
		ConnectTimeout time.Duration
		// SendWindow is how long the request's last byte may take to leave: an earlier attempt of a keyed request
		// may have run, and repeats of it are known as such only inside the class's window. 0 = no such
		// bound.
		SendWindow time.Duration
	}
	// Reject is a final answer: not now, trying again after Wait is harmless.
	Reject struct {
		Request     RequestID
		RetryAfter  time.Duration
		NoAutoRetry bool // the client should not try again by itself but tell its user, who may
		Reason      Reason
	}
	// Fail is a final answer that promises nothing about effects.
	Fail struct {
		Request           RequestID
		PossibleDuplicate bool // this try was not begun, since an earlier one of its client may have run
		Reason            Reason
	}
	// Cancel calls an attempt off.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// ReleaseState lets go of every state and place held for a request.
	ReleaseState struct{ Request RequestID }
	// Reserve asks a writer to hold a place during the read. This module keeps the late pick and never asks.
	Reserve struct {
		Request  RequestID
		Endpoint EndpointID
	}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		After time.Duration
		Tag   uint64
	}
	// FetchEndpoints asks for the list of servers and its changes.
	FetchEndpoints struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (ReleaseState) action()   {}
func (Reserve) action()        {}
func (SetTimer) action()       {}
func (FetchEndpoints) action() {}
func (Log) action()            {}
