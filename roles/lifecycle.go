package roles

import (
	"fmt"
	"time"
)

// The life cycle of a change. The assignment table, stored by the API server, holds for every engine the role that it
// is listed in and the newest command to it. Any number of planners write it: a write names the version that it was
// made from and is refused if the table has been written since, so a planner that was paused, cut off or started
// twice can't act on an old version, and what is checked against the table holds over all planners. An engine follows
// the newest command that has reached it and keeps it on disk.
//
//	planner                      assignment table              engine
//	Start, Write ──────────────▶ command: listed as draining
//	Command {order, role} ────────────────────────────────────▶ Accept: drains its old role
//	                                                            FinishDraining: switches, then serves
//	ApplyStatus ◀────────────────────────────────────────────── StatusReport {order, role, serving}
//	Write ─────────────────────▶ confirmed: listed in its new role
//
// Every message may be lost, late or repeated, and every party may crash at any point: a command is repeated until a
// status report confirms it. A command is reverted by a newer one back to the role in force. A command that only adds
// a stage (to Both) drains nothing: the engine stays listed in its old role until it does both.

// revertReason is the stored reason of the commands that revert a planner's change.
const revertReason = "it took too long, or the work turned"

// Command is what an engine is told to become.
type Command struct {
	ID     string `json:"id"`
	Order  uint64 `json:"order"`
	Target Role   `json:"to"`
}

// StatusReport is what an engine reports of its role.
type StatusReport struct {
	Order   uint64 `json:"order"`
	Role    Role   `json:"role"`
	Serving bool   `json:"serves"` // accepts new work of its role; else it drains or switches
}

// Start commands an engine to a role.
func (a Assignments) Start(id string, to Role, reason string) (Assignments, error) {
	e, ok := a.Entries[id]
	switch {
	case !ok:
		return a, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	case e.pending():
		return a, fmt.Errorf("%w: %s", ErrChangePending, id)
	case to == e.Role:
		return a, fmt.Errorf("%w: %s is %v", ErrSameRole, id, to)
	case !e.allows(to):
		return a, fmt.Errorf("%w: %s to %v", ErrRoleNotAllowed, id, to)
	}
	return a.command(id, e, to, reason)
}

// Revert commands an engine back to the role that it is listed in.
func (a Assignments) Revert(id, reason string) (Assignments, error) {
	e, ok := a.Entries[id]
	switch {
	case !ok:
		return a, fmt.Errorf("%w: %s", ErrUnknownEngine, id)
	case e.Target == e.Role:
		return a, fmt.Errorf("%w: %s", ErrSameRole, id)
	}
	e.Serving = false // it may have changed already
	return a.command(id, e, e.Role, reason)
}

// SwitchStage commands an engine that prefills to decode, and any other to prefill.
func (a Assignments) SwitchStage(id, reason string) (Assignments, error) {
	to := Prefill
	if a.Entries[id].Role == Prefill {
		to = Decode
	}
	return a.Start(id, to, reason)
}

// command issues the next command, unless a stage would be left without an engine whose target includes it.
func (a Assignments) command(id string, e Assignment, to Role, reason string) (Assignments, error) {
	a.Orders++
	e.Order, e.Target, e.Reason = a.Orders, to, reason
	e.Serving = e.Serving && to.covers(e.Role)
	next := a.with(id, e)
	if a.stagesCovered().loses(next.stagesCovered()) {
		return a, fmt.Errorf("%w: %s to %v", ErrLastOfStage, id, to)
	}
	return next, nil
}

// ApplyStatus applies an engine's status report at now, and reports whether the table has changed and must be
// written. A report that carries the newest command's number confirms it. An engine that serves in another role than
// it is listed in, because it has lost its disk, is commanded back and does not serve meanwhile.
func (a Assignments) ApplyStatus(id string, status StatusReport, now time.Duration) (Assignments, bool) {
	e, ok := a.Entries[id]
	if !ok || !status.Serving {
		return a, false
	}
	switch {
	case status.Order == e.Order && status.Role == e.Target && e.pending():
		if !e.Serving { // it may have switched, also there and back
			e.ReopenedAt = now
		}
		e.Role, e.Serving, e.ChangedAt = e.Target, true, now
		return a.with(id, e), true
	case e.Serving && status.Order <= e.Order && status.Role != e.Role:
		a.Orders++
		e.Order, e.Target, e.Serving = a.Orders, e.Role, false
		e.Reason = fmt.Sprintf("it serves as %v and is listed as %v", status.Role, e.Role)
		return a.with(id, e), true
	}
	return a, false
}

// PendingCommands are the commands to be sent, again and again, until a status report confirms them.
func (a Assignments) PendingCommands() []Command {
	var pending []Command
	for _, id := range a.Names() {
		if e := a.Entries[id]; e.pending() {
			pending = append(pending, Command{ID: id, Order: e.Order, Target: e.Target})
		}
	}
	return pending
}

// ApplyPlan applies the parts of a plan that the table allows: done is what was applied, refused the error of each
// change that was not.
func (a Assignments) ApplyPlan(plan Plan) (next Assignments, done Plan, refused map[string]error) {
	next = a
	for _, id := range plan.Reverts {
		// A refused revert is dropped: nothing is pending any more, or a stage depends on the change.
		if reverted, err := next.Revert(id, revertReason); err == nil {
			next, done.Reverts = reverted, append(done.Reverts, id)
		}
	}
	refused = map[string]error{}
	for _, change := range plan.Changes {
		started, err := next.Start(change.ID, change.Target, change.Reason)
		if err != nil {
			refused[change.ID] = err
			continue
		}
		next, done.Changes = started, append(done.Changes, change)
	}
	return next, done, refused
}

// EngineState is an engine's own part of the life cycle. It is kept on disk: what Accept and FinishDraining return is
// written before the engine acts upon it or reports it.
type EngineState struct {
	Order  uint64 `json:"order"`
	Role   Role   `json:"role"`
	Target Role   `json:"to"`
}

// Serves reports whether the engine accepts new work of a role. One that only adds a stage goes on with what it did.
func (s EngineState) Serves(role Role) bool { return s.Role.covers(role) && s.Target.covers(s.Role) }

// StatusReport is what the engine reports in this state.
func (s EngineState) StatusReport() StatusReport {
	return StatusReport{Order: s.Order, Role: s.Role, Serving: s.Target == s.Role}
}

// Accept follows a command if it is newer than any before. While Target differs from Role the engine drains: it
// accepts no new work of its old role and finishes what it has, also after a crash.
func (s EngineState) Accept(command Command) EngineState {
	if command.Order > s.Order {
		s.Order, s.Target = command.Order, command.Target
	}
	return s
}

// FinishDraining is called when a draining engine has no work and holds no read state any more, or when one that only
// adds a stage is ready for it. The engine then serves in its new role.
func (s EngineState) FinishDraining() EngineState {
	s.Role = s.Target
	return s
}
