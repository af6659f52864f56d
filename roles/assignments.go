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
	// Role is the role that the engine is listed in, and Target the role that its newest command asks for. They are
	// equal once the command is confirmed.
	Role Role `json:"role"`
	// CommandNumber is the number of the newest command to the engine. It only grows.
	CommandNumber uint64 `json:"order,omitempty"`
	Target        Role   `json:"to"`
	// Serving means that the engine is listed as ready. A command clears it until the command is confirmed, unless the
	// command only adds a stage.
	Serving bool `json:"open"`
	// ChangedAt is when a command, also one that reverts a change, was last confirmed, by the writing planner's wall
	// clock.
	ChangedAt time.Duration `json:"changed,omitempty"`
	// ServingSince is when the engine last became ready after a command. Its slow start begins then.
	ServingSince time.Duration `json:"began,omitempty"`
	// Pinned means that an operator has fixed the engine's role.
	Pinned     bool `json:"pinned,omitempty"`
	CanPrefill bool `json:"reads,omitempty"`
	CanDecode  bool `json:"writes,omitempty"`
	// Reason says, for operators, why the newest command was given.
	Reason string `json:"why,omitempty"`
}

// pending reports whether the newest command still waits for its confirmation.
func (e Assignment) pending() bool { return !e.Serving || e.Target != e.Role }

// allows reports whether the engine may be given a role.
func (e Assignment) allows(role Role) bool {
	return !e.Pinned && (e.CanPrefill || !role.Prefills()) && (e.CanDecode || !role.Decodes())
}

// Assignments is the assignment table: the roles of all engines, stored by the API server. Its methods return a changed
// copy and leave the receiver as it is.
type Assignments struct {
	Version           uint64                `json:"version"`
	LastCommandNumber uint64                `json:"orders"` // of any command; numbers are never used twice
	Entries           map[string]Assignment `json:"entries"`
}

// Errors of changes to the table. The API server transmits the text of ErrConflict, which must not change.
var (
	ErrConflict       = errors.New("roles: the book has been written since it was read; read it again")
	ErrUnknownEngine  = errors.New("roles: engine is not in the assignment table")
	ErrChangePending  = errors.New("roles: an earlier command to the engine is not confirmed yet")
	ErrRoleNotAllowed = errors.New("roles: engine is pinned or may not take the role")
	ErrLastOfStage    = errors.New("roles: change would leave a stage without an engine")
	ErrSameRole       = errors.New("roles: engine has the role already")
)

// Write returns the table that the API server stores in place of a: next with its version incremented. The version in
// next is the one that it was made from; if a has another version, Write returns a and ErrConflict.
func (a Assignments) Write(next Assignments) (Assignments, error) {
	if next.Version != a.Version {
		return a, fmt.Errorf("%w (from version %d, now %d)", ErrConflict, next.Version, a.Version)
	}
	next.Version++
	return next, nil
}

// Names returns the names of the engines in the table, sorted.
func (a Assignments) Names() []string { return slices.Sorted(maps.Keys(a.Entries)) }

// CountServing counts the engines that are serving, by role, and those that are not because they are changing.
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

// Edit changes the fields of an engine's entry that operators set: Pinned, CanPrefill and CanDecode. A pending command
// stays in force until it is confirmed or reverted.
func (a Assignments) Edit(id string, edit func(*Assignment)) (Assignments, error) {
	e, ok := a.Entries[id]
	if !ok {
		return a, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	}
	edited := e
	edit(&edited)
	e.Pinned, e.CanPrefill, e.CanDecode = edited.Pinned, edited.CanPrefill, edited.CanDecode
	return a.withEntry(id, e), nil
}

// withEntry returns a copy of the table in which one entry is replaced.
func (a Assignments) withEntry(id string, e Assignment) Assignments {
	a.Entries = maps.Clone(a.Entries)
	a.Entries[id] = e
	return a
}

// stageCoverage holds which stages have at least one engine whose target role includes them.
type stageCoverage struct{ prefill, decode bool }

// loses reports whether next leaves a stage uncovered that c covers.
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
