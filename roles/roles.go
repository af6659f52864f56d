// Package roles decides which engines read prompts, which write answers and which do both, where engines can do
// either. It is free of I/O, clock and goroutines: Step takes what the fleet shows and returns the changes to be made
// now. plan.go decides how many, pick.go which, meter.go what of the figures is believed; life.go is the life cycle of
// one change between planner, register and engine. docs/roles.md has the law, its bounds and what was weighed.
//
// Nothing here knows a deployment: work is counted in engines, as the time that engines were at work on a stage, so that
// a reader that is busy half of the time is half an engine of reading, whatever its speed.
package roles

import (
	"errors"
	"fmt"
	"time"
)

// Role is what an engine does.
type Role uint8

// The roles.
const (
	Prefill Role = iota // reads prompts
	Decode              // writes answers
	Both                // reads and writes
)

func (r Role) String() string {
	if r > Both {
		return fmt.Sprintf("role %d", uint8(r))
	}
	return [...]string{"reader", "writer", "both"}[r]
}

// ParseRole is the inverse of String.
func ParseRole(s string) (Role, error) {
	for r := Prefill; r <= Both; r++ {
		if r.String() == s {
			return r, nil
		}
	}
	return 0, fmt.Errorf("roles: unknown role %q: reader, writer or both", s)
}

// MarshalText writes the role's name, as in JSON.
func (r Role) MarshalText() ([]byte, error) {
	if r > Both {
		return nil, fmt.Errorf("roles: no name for %v", r)
	}
	return []byte(r.String()), nil
}

// UnmarshalText reads a role's name.
func (r *Role) UnmarshalText(text []byte) error {
	got, err := ParseRole(string(text))
	*r = got
	return err
}

// Prefills tells whether the role takes prompts to read.
func (r Role) Prefills() bool { return r != Decode }

// covers tells whether r does all that o does.
func (r Role) covers(o Role) bool { return r == o || r == Both }

// Decodes tells whether the role takes answers to write.
func (r Role) Decodes() bool { return r != Prefill }

// Config are what operators state. A zero figure means its documented default.
type Config struct {
	MinDwell      time.Duration // the stated rate: no engine changes sooner after its last change; 0 = 60 s
	MaxConcurrent float64       // part of the fleet that may be on the way at once, one engine at least; 0 = 0.1
	// ChangeTime is what a change takes, by and large: drained, switched, half warm; 0 = 10 s. The law counts time in it:
	// how long it looks back, and how sure it must be. What changes really take is learned beside it.
	ChangeTime    time.Duration
	WarmUp        time.Duration // of it, what comes after the engine says that it changed; 0 = 3 s
	StaleAfter    time.Duration // an older report counts as none; 0 = 5 s
	ChangeTimeout time.Duration // a change that was begun and is not confirmed by then is called off; 0 = 2 min
}

// Validate names the first field that can't be served.
func (s Config) Validate() error {
	for _, f := range []struct {
		name string
		d    time.Duration
	}{{"MinStay", s.MinDwell}, {"ChangeTime", s.ChangeTime}, {"Warm", s.WarmUp}, {"StaleAfter", s.StaleAfter}, {"TurnTime", s.ChangeTimeout}} {
		if f.d < 0 {
			return fmt.Errorf("roles: settings: %s: negative time %v", f.name, f.d)
		}
	}
	if !(s.MaxConcurrent >= 0 && s.MaxConcurrent <= 1) {
		return errors.New("roles: settings: AtOnce: a part from 0 to 1 is needed")
	}
	return nil
}

// Engine is one engine as the planner sees it.
type Engine struct {
	ID          string
	Role        Role // in force, as listed
	Target      Role // what it is on its way to; = Role when it stays
	ChangedAt   time.Duration
	Ready       bool // listed, up, and not taken out by an operator
	CanPrefill  bool
	CanDecode   bool
	Pinned      bool // an operator holds it where it is
	Cell        int  // its cell; roles are spread over places
	Outstanding int  // requests and states that a change would have to wait for
	Report      *Report
}

// moving tells that a change is under way.
func (e *Engine) moving() bool { return e.Target != e.Role }

// free tells that the planner may give the engine either role.
func (e *Engine) free() bool { return e.CanPrefill && e.CanDecode && !e.Pinned }

// Report is what an engine tells of its work. The totals only grow while its process lives.
type Report struct {
	At    time.Duration // by the planner's clock
	Read  Stage
	Write Stage
}

// Stage is one stage's work at an engine or a front, in seconds of a whole engine.
type Stage struct {
	Done    float64 // total of the work done; for writing, the used part of its room (slots or memory) over time
	Waiting float64 // of what is queued here now
	Lost    float64 // total of the work that was turned away, refused, or given up as too late
}

// Replica is what one front tells: the work that it had to refuse, which no engine ever saw. Fronts that say nothing, or
// nothing believable, are left out; the plan is then made of what engines show, and sees less of an overload.
type Replica struct {
	ID     string
	Report *Report
}

// Change is one engine to be given another role.
type Change struct {
	ID     string
	Target Role
	Reason string // for logs: the figures that made it
}

// Plan is what Step decides, with what it saw.
type Plan struct {
	Changes []Change
	Reverts []string // changes under way that no longer help: to be told back to the role in force

	Trusted          bool    // the figures were enough to plan by; else nothing changes but for a stage without any engine
	Reading          float64 // work that is asked for, in engines
	Writing          float64
	Readers          int           // wanted
	Lookback         time.Duration // how long the expert that leads looks back
	Engines          int           // that are shared out
	UntrustedReports int           // reports that were missing, stale, frozen or not finite
	ChangeTime       time.Duration // what a change takes, as seen
}
