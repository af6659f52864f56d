// Package roles decides which engines prefill, which decode and which do both, where engines can do either. It is free
// of I/O, clock and goroutines: Planner.Step takes a view of the fleet and returns the changes to make now.
//
//   - planner.go decides how many engines each stage wants, from the estimators in expert.go and cost.go
//   - fleet.go sums up a view of the fleet, demand.go decides which load reports are trusted
//   - changes.go and selection.go decide which engines change, cooldown.go which are left alone
//   - assignments.go and lifecycle.go are the life cycle of one change between planner, assignment table and engine
//   - memory.go exports and restores what a planner has learned
//
// docs/roles.md explains the decision rule, its bounds and the alternatives.
//
// Nothing here knows a deployment: work is counted in engines, as the time that engines were busy with a stage, so
// that a prefill engine that is busy half of the time is half an engine of prefill work, whatever its speed.
package roles

import "fmt"

// Role is what an engine does.
type Role uint8

// The roles. Their text forms ("reader", "writer", "both") are stored and must not change.
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
	return 0, fmt.Errorf("roles: unknown role %q: reader, writer or both", s)
}

// MarshalText returns the role's text form, which is also its form in JSON.
func (r Role) MarshalText() ([]byte, error) {
	if r > Both {
		return nil, fmt.Errorf("roles: no name for %v", r)
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
