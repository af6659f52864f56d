package roles

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Assignment is the entry of one engine in the assignment table.
type Assignment struct {
	// Role is the role that the engine is listed in, and Target the one that its newest command asks for. They are
	// equal once the command is confirmed.
	Role Role `json:"role"`
	// Order is the number of the newest command; it only grows.
	Order  uint64 `json:"order,omitempty"`
	Target Role   `json:"to"`
	// Serving means that the engine is listed as ready. A command ends it until it is confirmed, unless it only adds a
	// stage.
	Serving bool `json:"open"`
	// ChangedAt is when a change was last confirmed or reverted, by the writer's wall clock.
	ChangedAt time.Duration `json:"changed,omitempty"`
	// ReopenedAt is when the engine last served again after it did not: its slow start begins then.
	ReopenedAt time.Duration `json:"began,omitempty"`
	// Pinned means that an operator keeps the engine in its role.
	Pinned     bool `json:"pinned,omitempty"`
	CanPrefill bool `json:"reads,omitempty"`
	CanDecode  bool `json:"writes,omitempty"`
	// Reason is the newest command's reason.
	Reason string `json:"why,omitempty"`
}

// pending reports whether the newest command is not confirmed yet.
func (e Assignment) pending() bool { return !e.Serving || e.Target != e.Role }

// allows reports whether the engine may be commanded to a role.
func (e Assignment) allows(role Role) bool {
	return !e.Pinned && (e.CanPrefill || !role.Prefills()) && (e.CanDecode || !role.Decodes())
}

// Assignments is the table of all engines' roles, stored by the API server. Treat it as a value: its methods return a
// changed copy.
type Assignments struct {
	Version uint64                `json:"version"`
	Orders  uint64                `json:"orders"` // commands so far; their numbers are never used twice
	Entries map[string]Assignment `json:"entries"`
}

// The reasons for which a change of the table is refused. The text of ErrConflict is transmitted by the API server
// and must not change.
var (
	ErrConflict       = errors.New("roles: the book has been written since it was read; read it again")
	ErrUnknownEngine  = errors.New("roles: no such engine in the assignments")
	ErrChangePending  = errors.New("roles: a command to this engine is not confirmed yet")
	ErrRoleNotAllowed = errors.New("roles: the engine can't take that role, or is pinned")
	ErrLastOfStage    = errors.New("roles: the stage would be left without an engine")
	ErrSameRole       = errors.New("roles: it has that role")
)

// Write is the API server's part: a is the stored table, and next a table made from the version that it names. It
// returns next with the following version, or ErrConflict if the stored version is another.
func (a Assignments) Write(next Assignments) (Assignments, error) {
	if next.Version != a.Version {
		return a, fmt.Errorf("%w (from version %d, now %d)", ErrConflict, next.Version, a.Version)
	}
	next.Version++
	return next, nil
}

// Names are the engines of the table, sorted.
func (a Assignments) Names() []string { return slices.Sorted(maps.Keys(a.Entries)) }

// CountServing counts the engines that serve, by role, and those that do not serve because they are changing.
func (a Assignments) CountServing() (serving [3]int, changing int) {
	for _, e := range a.Entries {
		if e.Serving {
			serving[e.Role]++
		} else {
			changing++
		}
	}
	return serving, changing
}

// Edit changes what operators set of an engine's entry: Pinned, CanPrefill and CanDecode. A pending command goes on;
// revert it or start another.
func (a Assignments) Edit(id string, edit func(*Assignment)) (Assignments, error) {
	e, ok := a.Entries[id]
	if !ok {
		return a, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	}
	edited := e
	edit(&edited)
	e.Pinned, e.CanPrefill, e.CanDecode = edited.Pinned, edited.CanPrefill, edited.CanDecode
	return a.with(id, e), nil
}

// with returns a copy in which one entry is replaced.
func (a Assignments) with(id string, e Assignment) Assignments {
	a.Entries = maps.Clone(a.Entries)
	a.Entries[id] = e
	return a
}

// stageCoverage says which stages have an engine whose target includes them.
type stageCoverage struct{ prefill, decode bool }

// loses reports whether a stage that c covers is not covered by next.
func (c stageCoverage) loses(next stageCoverage) bool {
	return c.prefill && !next.prefill || c.decode && !next.decode
}

func (a Assignments) stagesCovered() (covered stageCoverage) {
	for _, e := range a.Entries {
		covered.prefill = covered.prefill || e.Target.Prefills()
		covered.decode = covered.decode || e.Target.Decodes()
	}
	return covered
}
