package routing

import (
	"errors"
	"fmt"
	"time"
)

// ServerID names a server; it stays the same when the server's process restarts.
type ServerID uint32

// RequestID names a request; ids are never used twice.
type RequestID uint32

// Role is what a kind of server does.
type Role uint8

// The roles of a server.
const (
	Reader Role = iota // reads prompts (prefill)
	Writer             // writes answers (decode)
	Mixed              // reads and writes
)

// Effect says how a class may be repeated.
type Effect uint8

// The three effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped inside a group of servers, for a while
	Unsafe               // must never run twice
)

// Group is the set of servers that drops repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name       string        // for logs only
	Aim        time.Duration // first token wanted within this time
	AimPer1000 time.Duration // and so much more for each 1,000 prompt tokens
	TokenAim   time.Duration // wanted time between tokens; not used yet
	Deadline   time.Duration // how long a client waits in all; Request.Due is what counts
	Worth      float64       // worth of one request (or of one unit of work); not used yet
	LateWorth  float64       // part of the worth paid after the aim; the larger, the fewer are refused early
	Effect     Effect
	Group      Group         // for Keyed
	Window     time.Duration // for Keyed: how long repeats are dropped
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

// Settings is all that a Router is told at its start. A zero figure means the documented default.
type Settings struct {
	Fronts         int // equal fronts of this service; 0 = 1
	Zone           int // this front's zone
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant // may be empty
	OverShareWorth float64  // worth of a request beyond its tenant's share, as a part of the usual
	WorthByWork    bool     // worth is of each unit of work, else of a request
	MaxAttempts    int      // for one request; 0 = 2
	CanCancel      bool
	SecondCopies   bool          // two attempts of a request may be out at once; this module never does it
	MaxWait        time.Duration // the longest advised wait that clients follow; 0 = 1 s
	Ahead          bool          // places may be held ahead at writers; not used, the pick is late
	WritersRead    bool          // a writer reads by itself when there is no state
	Resume         bool          // broken streams come again; not used, they are requests like any other
	ReleaseWithin  time.Duration // held state must be taken or let go within; 0 = 300 ms
	AnswerSlack    time.Duration // past Due in which a final answer still counts; not used
	DrainGrace     time.Duration // sends to a draining server must stop within; not used, they stop at once
	ColdFrom       float64       // part of its capacity at which a server starts; 0 = 0.25
	ColdFor        time.Duration // warm after this; 0 = never cold
	OverloadFactor float64       // sent more than so many times its present capacity ...
	TipAfter       time.Duration // ... for so long, a cold server falls over
	AskForList     bool          // the list must be asked for (Watch)
	AskWithin      time.Duration // ask again at least this often where it must be asked for
	ReportFields   []string      // names of the figures in load reports; reports are not used
}

// Validate reports the first field the module can't serve.
func (s Settings) Validate() error {
	if len(s.Classes) == 0 {
		return errors.New("settings: Classes: none given")
	}
	if len(s.Kinds) == 0 {
		return errors.New("settings: Kinds: none given")
	}
	for i, c := range s.Classes {
		if c.Aim < 0 || c.AimPer1000 < 0 || c.TokenAim < 0 || c.Deadline < 0 || c.Window < 0 {
			return fmt.Errorf("settings: Classes[%d] (%s): negative time", i, c.Name)
		}
		if c.Effect > Unsafe {
			return fmt.Errorf("settings: Classes[%d].Effect: unknown effect %d", i, c.Effect)
		}
		if c.Group > GroupCell {
			return fmt.Errorf("settings: Classes[%d].Group: unknown group %d", i, c.Group)
		}
	}
	for i, k := range s.Kinds {
		if k.Role > Mixed {
			return fmt.Errorf("settings: Kinds[%d].Role: unknown role %d", i, k.Role)
		}
		if k.Memory < 0 {
			return fmt.Errorf("settings: Kinds[%d].Memory: negative", i)
		}
	}
	for name, d := range s.times() {
		if d < 0 {
			return fmt.Errorf("settings: %s: negative time", name)
		}
	}
	if s.Fronts < 0 || s.MaxAttempts < 0 {
		return errors.New("settings: Fronts, MaxAttempts: negative count")
	}
	return nil
}

func (s Settings) times() map[string]time.Duration {
	return map[string]time.Duration{"MaxWait": s.MaxWait, "ReleaseWithin": s.ReleaseWithin,
		"TipAfter": s.TipAfter, "ColdFor": s.ColdFor, "DrainGrace": s.DrainGrace,
		"AnswerSlack": s.AnswerSlack, "AskWithin": s.AskWithin}
}

// State is what the list says of a server.
type State uint8

// The states of a listed server.
const (
	Gone State = iota
	Ready
	Draining
)

// Server is one line of the list of servers.
type Server struct {
	ID      ServerID
	Kind    int
	Zone    int
	Cell    int
	State   State
	ReadyAt time.Duration // last start of its process; 0 = long ago
	Weight  float64       // size against others; not used yet
}

// Event is something that happened to this front; Step takes any of the types below.
type Event interface{ event() }

// ListScope says what a ServerList holds.
type ListScope uint8

// The scopes of a ServerList.
const (
	Changes ListScope = iota // only lines that changed
	Full                     // all lines; who is missing is gone
	Cached                   // all lines as last known to this front, perhaps old
	Failed                   // asking failed; the old list stays
)

type (
	// ServerList is news of the servers.
	ServerList struct {
		Scope   ListScope
		Servers []Server
	}
	// Request has reached this front, which owes it one final answer by Due.
	Request struct {
		ID        RequestID
		Class     int
		Tenant    int
		Session   uint64
		Prefix    uint64 // id of the shared beginning; 0 = none
		PromptLen float64
		PrefixLen float64
		MaxOut    float64
		Due       time.Duration
		Repeat    bool // a client's further try, where clients mark it; not used
		Resumed   bool // came again after its stream broke; not used
		// Doubtful marks a further try by a client of itself, of which it can't be told here how the earlier
		// ones ended: one may have run.
		Doubtful bool
	}
	// First tells that a stream has begun; its request has no deadline any more.
	First struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
	}
	// Outcome tells how an attempt ended; each Send gets exactly one.
	Outcome struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Elapsed time.Duration
		Over    bool // the request is over, no answer is owed
		Result  Result
		NoState bool      // there was no read state to fetch, or it went with an answer that came to nothing
		Kept    float64   // with ReadDone and Served: prompt tokens found kept
		Report  []float64 // not used
	}
	// ClientGone tells that the client left; no answer is owed.
	ClientGone struct{ Request RequestID }
	// Ending tells that this front ends now: what has no answer yet gets its final one.
	Ending struct{}
	// Timer is a wake-up that a Wake action asked for.
	Timer struct{ Tag uint64 }
	// Held answers an Ahead.
	Held struct {
		Request RequestID
		Server  ServerID
		OK      bool
	}
)

func (ServerList) event() {}
func (Request) event()    {}
func (First) event()      {}
func (Outcome) event()    {}
func (ClientGone) event() {}
func (Ending) event()     {}
func (Timer) event()      {}
func (Held) event()       {}

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served        Result = iota // answered
	Errored                     // the server failed it; it may have run
	Turned                      // turned away; it never ran
	TimedOut                    // no answer in time; it may have run
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // called off; it may have run
	NotSent                     // never sent; it never ran
	ReadDone                    // the prompt is read, its state waits at the reader
	Broken                      // the connection broke before the request was whole; it never ran
)

// NeverRan tells that the server did nothing for the attempt, for certain.
func (r Result) NeverRan() bool {
	return r == Turned || r == ConnectFailed || r == NotSent || r == Broken
}

// Action is a decision; Step returns the types below, in the order in which they are to be carried out.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (attempts count from 0).
	Send struct {
		Request RequestID
		Server  ServerID
		Timeout time.Duration // 0 = until Due
		// Connect is how long a connection may take to come up, since a state waits meanwhile; 0 = as long as
		// ever.
		Connect time.Duration
		// Window is how long the request's last byte may take to leave: an earlier attempt of a keyed request
		// may have run, and repeats of it are known as such only inside the class's window. 0 = no such
		// bound.
		Window time.Duration
	}
	// Refuse is a final answer: not now, trying again after Wait is harmless.
	Refuse struct {
		Request RequestID
		Wait    time.Duration
		HandUp  bool // the client should not try again by itself but tell its user, who may
		Reason  Reason
	}
	// Fail is a final answer that promises nothing about effects.
	Fail struct {
		Request RequestID
		Earlier bool // this try was not begun, since an earlier one of its client may have run
		Reason  Reason
	}
	// Cancel calls an attempt off.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// Release lets go of every state and place held for a request.
	Release struct{ Request RequestID }
	// Ahead asks a writer to hold a place during the read. This module keeps the late pick and never asks.
	Ahead struct {
		Request RequestID
		Server  ServerID
	}
	// Wake asks for a Timer event.
	Wake struct {
		After time.Duration
		Tag   uint64
	}
	// Watch asks for the list of servers and its changes.
	Watch struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Send) action()    {}
func (Refuse) action()  {}
func (Fail) action()    {}
func (Cancel) action()  {}
func (Release) action() {}
func (Ahead) action()   {}
func (Wake) action()    {}
func (Watch) action()   {}
func (Log) action()     {}
