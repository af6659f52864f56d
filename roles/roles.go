// Package roles decides which engines prefill, which decode and which do both, in fleets whose engines can change role.
// It does no I/O, reads no clock and starts no goroutines: Planner.Step takes the state of the fleet and returns the
// changes to make now.
//
//   - planner.go decides how many engines each stage needs, with the experts in expert.go and the cost in cost.go
//   - fleet.go aggregates the state of the fleet, demand.go turns load reports into demand
//   - changes.go and selection.go choose the engines that change role, cooldown.go excludes those that failed a change
//   - assignments.go and lifecycle.go are the protocol of a change between planner, assignment table and engine
//   - memory.go exports and restores what a planner has learned
//
// docs/roles.md explains the decision rule, its bounds and the alternatives.
//
// Work is measured in engines: the fraction of time for which an engine is busy with a stage. An engine that prefills
// half of the time is 0.5 engines of prefill work, so the package needs no figures about the speed of engines.
package roles

import "fmt"

// Role is the set of stages that an engine serves.
type Role uint8

// The roles. Their text forms ("reader", "writer", "both") are part of stored data and must not change.
const (
	Prefill Role = iota // prefills prompts
	Decode              // decodes answers
	Both                // prefills and decodes
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
	return 0, fmt.Errorf("roles: unknown role %q; want reader, writer or both", s)
}

// MarshalText returns the role's text form, which JSON uses too.
func (r Role) MarshalText() ([]byte, error) {
	if r > Both {
		return nil, fmt.Errorf("roles: no text form for %v", r)
	}
	return []byte(r.String()), nil
}

// UnmarshalText parses a role's text form.
func (r *Role) UnmarshalText(text []byte) error {
	parsed, err := ParseRole(string(text))
	*r = parsed
	return err
}

// Prefills reports whether the role includes prefill.
func (r Role) Prefills() bool { return r != Decode }

// Decodes reports whether the role includes decode.
func (r Role) Decodes() bool { return r != Prefill }

// covers reports whether r includes every stage of other.
func (r Role) covers(other Role) bool { return r == other || r == Both }
