package roles

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// The life cycle of a change. The book, kept by the register, says of every engine what it is listed as and what was
// ordered of it. Planners write it, any number of them: a write names the version that it was made from and is refused
// if the book has moved on, so a planner that was paused, cut off or doubled can't act on old news, and what is checked
// against the book holds over all of them. An engine obeys the newest order that it has heard of and keeps it on disk.
//
//	planner                      book                          engine
//	Begin, Write ──────────────▶ ordered: listed as draining
//	Tell {order, role} ───────────────────────────────────────▶ Take: drains its old role
//	                                                            Empty: switches, then serves
//	Heard (its word) ◀───────────────────────────────────────── Word {order, role, serves}
//	Write ─────────────────────▶ settled: listed in its new role
//
// Every word may be lost, late or repeated, and every party may crash at any point: Tell is repeated until the word of
// its order is heard. An order is called off by a newer one back to the role in force.
// An order that only adds a stage (to Both) drains nothing: the engine stays listed in its old role until it does both.

// Assignment is what the book says of one engine.
type Assignment struct {
	Role       Role          `json:"role"`              // as listed
	Order      uint64        `json:"order,omitempty"`   // newest order; only grows
	Target     Role          `json:"to"`                // what the order asks for; = Role once it is settled
	Serving    bool          `json:"open"`              // listed ready; an order closes it until it is settled, unless it only adds a stage
	ChangedAt  time.Duration `json:"changed,omitempty"` // when it was last settled or called off, by the writer's clock
	ReopenedAt time.Duration `json:"began,omitempty"`   // when it last came back from being closed: cold since then
	Pinned     bool          `json:"pinned,omitempty"`  // an operator holds it
	CanPrefill bool          `json:"reads,omitempty"`   // it may be ordered to read ...
	CanDecode  bool          `json:"writes,omitempty"`  // ... and to write
	Reason     string        `json:"why,omitempty"`     // the newest order's reason
}

// Assignments is what the register keeps of a fleet. Treat it as a value: the methods below change a copy.
type Assignments struct {
	Version uint64                `json:"version"`
	Orders  uint64                `json:"orders"` // given so far; numbers of orders are never used twice
	Entries map[string]Assignment `json:"entries"`
}

// The reasons for which the book refuses.
var (
	ErrConflict       = errors.New("roles: the book has been written since it was read; read it again")
	ErrUnknownEngine  = errors.New("roles: the book has no such engine")
	ErrChangePending  = errors.New("roles: an order to this engine is not settled yet")
	ErrRoleNotAllowed = errors.New("roles: the engine can't take that role, or is pinned")
	ErrLastOfStage    = errors.New("roles: the stage would be left without an engine")
	ErrSameRole       = errors.New("roles: it has that role")
)

// Write is the register's part: it takes a book made from the version that it holds, and gives it the next version.
func (held Assignments) Write(b Assignments) (Assignments, error) {
	if b.Version != held.Version {
		return held, fmt.Errorf("%w (from version %d, now %d)", ErrConflict, b.Version, held.Version)
	}
	b.Version++
	return b, nil
}

func (b Assignments) with(id string, e Assignment) Assignments {
	b.Entries = maps.Clone(b.Entries)
	b.Entries[id] = e
	return b
}

// Start orders an engine to a role.
func (b Assignments) Start(id string, to Role, why string) (Assignments, error) {
	e, ok := b.Entries[id]
	switch {
	case !ok:
		return b, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	case !e.Serving || e.Target != e.Role:
		return b, fmt.Errorf("%w: %s", ErrChangePending, id)
	case to == e.Role:
		return b, fmt.Errorf("%w: %s is %v", ErrSameRole, id, to)
	case e.Pinned || to.Prefills() && !e.CanPrefill || to.Decodes() && !e.CanDecode:
		return b, fmt.Errorf("%w: %s to %v", ErrRoleNotAllowed, id, to)
	}
	return b.order(id, e, to, why)
}

// order gives the next order, unless it left a stage with no engine that is meant for it.
func (b Assignments) order(id string, e Assignment, to Role, why string) (Assignments, error) {
	b.Orders++
	e.Order, e.Target, e.Reason = b.Orders, to, why
	e.Serving = e.Serving && to.covers(e.Role)
	n := b.with(id, e)
	had, has := b.stagesCovered(), n.stagesCovered()
	if had[0] && !has[0] || had[1] && !has[1] {
		return b, fmt.Errorf("%w: %s to %v", ErrLastOfStage, id, to)
	}
	return n, nil
}

// stagesCovered tells whether some engine is meant to read, and some to write.
func (b Assignments) stagesCovered() (stages [2]bool) {
	for _, e := range b.Entries {
		stages[0] = stages[0] || e.Target.Prefills()
		stages[1] = stages[1] || e.Target.Decodes()
	}
	return stages
}

// Revert orders an engine back to the role that it is listed as.
func (b Assignments) Revert(id, why string) (Assignments, error) {
	e, ok := b.Entries[id]
	switch {
	case !ok:
		return b, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	case e.Target == e.Role:
		return b, fmt.Errorf("%w: %s", ErrSameRole, id)
	}
	e.Serving = false // it may have changed already
	return b.order(id, e, e.Role, why)
}

// ApplyStatus takes an engine's word at now, and tells whether the book is changed by it and has to be written. The word of the
// order that the book holds settles it. An engine that serves in another role than it is listed as, having lost its
// memory, is ordered back, and is not open meanwhile.
func (b Assignments) ApplyStatus(id string, w StatusReport, now time.Duration) (Assignments, bool) {
	e, ok := b.Entries[id]
	if !ok {
		return b, false
	}
	switch settled := w.Serving && w.Order == e.Order; {
	case settled && w.Role == e.Target && (!e.Serving || e.Target != e.Role):
		if !e.Serving { // it may have switched, also there and back
			e.ReopenedAt = now
		}
		e.Role, e.Serving, e.ChangedAt = e.Target, true, now
		return b.with(id, e), true
	case e.Serving && w.Serving && w.Order <= e.Order && w.Role != e.Role:
		b.Orders++
		e.Order, e.Target, e.Serving, e.Reason = b.Orders, e.Role, false, fmt.Sprintf("it serves as %v and is listed as %v", w.Role, e.Role)
		return b.with(id, e), true
	}
	return b, false
}

// PendingCommands are the orders that have to be told, again and again, until their words are heard.
func (b Assignments) PendingCommands() []Command {
	var out []Command
	for _, id := range b.Names() {
		if e := b.Entries[id]; !e.Serving || e.Target != e.Role {
			out = append(out, Command{id, e.Order, e.Target})
		}
	}
	return out
}

// Command is what an engine is told.
type Command struct {
	ID     string `json:"id"`
	Order  uint64 `json:"order"`
	Target Role   `json:"to"`
}

// StatusReport is what an engine says of itself.
type StatusReport struct {
	Order   uint64 `json:"order"`
	Role    Role   `json:"role"`
	Serving bool   `json:"serves"` // takes new work of its role; else it drains or switches
}

// EngineState is an engine's own part. Order, Role and To are kept on disk: what Take and Empty return is written before it is
// acted upon or told.
type EngineState struct {
	Order  uint64 `json:"order"`
	Role   Role   `json:"role"`
	Target Role   `json:"to"`
}

// Serves tells whether the engine takes new work of a role. One that only adds a stage goes on with what it did.
func (s EngineState) Serves(r Role) bool { return s.Role.covers(r) && s.Target.covers(s.Role) }

// StatusReport is what the engine says while it is in this seat.
func (s EngineState) StatusReport() StatusReport {
	return StatusReport{s.Order, s.Role, s.Target == s.Role}
}

// Accept obeys an order if it is newer than any before. With To unlike Role the engine takes no new work of its old role,
// and lets what it has end; it does so after a crash too.
func (s EngineState) Accept(t Command) EngineState {
	if t.Order > s.Order {
		s.Order, s.Target = t.Order, t.Target
	}
	return s
}

// FinishDraining is called when a draining engine has no work and holds no state any more, or when one that only adds a stage is
// ready for it. The engine then serves in its new role.
func (s EngineState) FinishDraining() EngineState {
	s.Role = s.Target
	return s
}

// Edit changes what an operator holds of an engine's entry: Pinned, Reads and Writes. An order that is on its way goes on;
// call it off, or force another.
func (b Assignments) Edit(id string, f func(*Assignment)) (Assignments, error) {
	e, ok := b.Entries[id]
	if !ok {
		return b, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	}
	held := e
	f(&held)
	e.Pinned, e.CanPrefill, e.CanDecode = held.Pinned, held.CanPrefill, held.CanDecode
	return b.with(id, e), nil
}

// Names are the engines of the book, in order.
func (b Assignments) Names() []string { return slices.Sorted(maps.Keys(b.Entries)) }

// ApplyPlan writes a plan into the book, as far as the book lets it: done is what it took, refused why it did not take a change.
func (b Assignments) ApplyPlan(p Plan) (next Assignments, done Plan, refused map[string]error) {
	for _, id := range p.Reverts {
		if n, err := b.Revert(id, "it took too long, or the work turned"); err == nil {
			b, done.Reverts = n, append(done.Reverts, id)
		}
	}
	refused = map[string]error{}
	for _, c := range p.Changes {
		n, err := b.Start(c.ID, c.Target, c.Reason)
		if err != nil {
			refused[c.ID] = err
			continue
		}
		b, done.Changes = n, append(done.Changes, c)
	}
	return b, done, refused
}

// SwitchStage orders an engine that reads to write, and any other to read.
func (b Assignments) SwitchStage(id, why string) (Assignments, error) {
	to := Prefill
	if b.Entries[id].Role == Prefill {
		to = Decode
	}
	return b.Start(id, to, why)
}

// CountServing is how many engines are open in each role, and how many are not.
func (b Assignments) CountServing() (open [3]int, changing int) {
	for _, e := range b.Entries {
		if e.Serving {
			open[e.Role]++
		} else {
			changing++
		}
	}
	return open, changing
}
