package roles

import (
	"fmt"
	"time"
)

// The life cycle of a change. The assignment table, stored by the API server, holds for every engine the role that it
// is listed in and the newest command to it. Any number of planners may write the table. A write names the version that
// it was made from and is refused if the table has been written since. So a planner that was paused, disconnected or
// started twice can't act on an old version, and a condition checked on the table holds across all planners. An engine
// follows the newest command that has reached it and keeps that command on disk.
//
//	planner                      assignment table              engine
//	Start, Write ──────────────▶ command: listed as draining
//	Command {number, role} ───────────────────────────────────▶ Accept: drains its old role
//	                                                            FinishDraining: switches, then serves
//	ApplyStatus ◀────────────────────────────────────────────── StatusReport {number, role, serving}
//	Write ─────────────────────▶ confirmed: listed in its new role
//
// Any message may be lost, late or repeated, and planners, API server and engines may crash at any point. A command is
// sent again until a status report confirms it. A command is reverted by a newer one that asks for the listed role. A
// command that only adds a stage (to Both) drains nothing: the engine stays listed in its old role until it does both.

// revertReason is the reason stored with a command that reverts a planner's change: the change has exceeded its
// timeout, or demand now requires the old role.
const revertReason = "it took too long, or the work turned"

// Command tells an engine which role to take.
type Command struct {
	ID     string `json:"id"`
	Number uint64 `json:"order"`
	Target Role   `json:"to"`
}

// StatusReport is an engine's report of its role and of the newest command that it has accepted.
type StatusReport struct {
	CommandNumber uint64 `json:"order"`
	Role          Role   `json:"role"`
	Serving       bool   `json:"serves"` // it accepts new work of its role; otherwise it is draining or switching
}

// Start commands an engine to take a role.
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
	e.Serving = false // the engine may have changed already
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

// command enters the next command to an engine, unless a stage would lose its last engine.
func (a Assignments) command(id string, e Assignment, to Role, reason string) (Assignments, error) {
	a.LastCommandNumber++
	e.CommandNumber, e.Target, e.Reason = a.LastCommandNumber, to, reason
	e.Serving = e.Serving && to.covers(e.Role)
	next := a.withEntry(id, e)
	if a.stagesCovered().loses(next.stagesCovered()) {
		return a, fmt.Errorf("%w: %s to %v", ErrLastOfStage, id, to)
	}
	return next, nil
}

// ApplyStatus applies an engine's status report at now, and reports whether the table has changed and must be written.
// A report with the newest command's number confirms that command. An engine that serves another role than it is listed
// in, because it has lost its disk, is commanded back and is not listed as serving meanwhile.
func (a Assignments) ApplyStatus(id string, status StatusReport, now time.Duration) (Assignments, bool) {
	e, ok := a.Entries[id]
	if !ok || !status.Serving {
		return a, false
	}
	switch {
	case status.CommandNumber == e.CommandNumber && status.Role == e.Target && e.pending():
		if !e.Serving { // the engine has switched, or a revert may have made it switch back
			e.ServingSince = now
		}
		e.Role, e.Serving, e.ChangedAt = e.Target, true, now
		return a.withEntry(id, e), true
	case e.Serving && status.CommandNumber <= e.CommandNumber && status.Role != e.Role:
		a.LastCommandNumber++
		e.CommandNumber, e.Target, e.Serving = a.LastCommandNumber, e.Role, false
		e.Reason = fmt.Sprintf("it serves as %v and is listed as %v", status.Role, e.Role)
		return a.withEntry(id, e), true
	}
	return a, false
}

// PendingCommands returns the commands that are not confirmed. They must be sent until a status report confirms them.
func (a Assignments) PendingCommands() []Command {
	var pending []Command
	for _, id := range a.Names() {
		if e := a.Entries[id]; e.pending() {
			pending = append(pending, Command{ID: id, Number: e.CommandNumber, Target: e.Target})
		}
	}
	return pending
}

// ApplyPlan applies the parts of a plan that the table allows. done holds the parts that were applied, refused the
// error of each change that was not.
func (a Assignments) ApplyPlan(plan Plan) (next Assignments, done Plan, refused map[string]error) {
	next = a
	for _, id := range plan.Reverts {
		// A refused revert is dropped: either no change is pending any more, or a stage needs the changed engine.
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

// EngineState is the state that an engine keeps on disk. The engine writes the results of Accept and FinishDraining
// before it acts on them or reports them.
type EngineState struct {
	CommandNumber uint64 `json:"order"`
	Role          Role   `json:"role"`
	Target        Role   `json:"to"`
}

// Serves reports whether the engine accepts new work of a role. An engine that only adds a stage goes on serving its
// old role.
func (s EngineState) Serves(role Role) bool { return s.Role.covers(role) && s.Target.covers(s.Role) }

// StatusReport returns the report that the engine sends in this state.
func (s EngineState) StatusReport() StatusReport {
	return StatusReport{CommandNumber: s.CommandNumber, Role: s.Role, Serving: s.Target == s.Role}
}

// Accept returns the state after a command; a command that is not newer than the last one is ignored. While Target
// lacks a stage of Role the engine drains, also after a crash: it accepts no new work of its old role and finishes the
// work that it has.
func (s EngineState) Accept(command Command) EngineState {
	if command.Number > s.CommandNumber {
		s.CommandNumber, s.Target = command.Number, command.Target
	}
	return s
}

// FinishDraining returns the state in which the engine serves its new role. It is called when a draining engine has no
// work and holds no read state any more, or when an engine that only adds a stage is ready for it.
func (s EngineState) FinishDraining() EngineState {
	s.Role = s.Target
	return s
}
