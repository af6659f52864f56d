package fleet

import (
	"cmp"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// Engines that change role use the planner, assignments and engine state machine of package roles, and the planner's
// view of package planner. In the simulation they communicate by messages.

// roleState is the state of an engine whose role can change.
type roleState struct {
	params    map[roles.Role]enginemodel.Params // by role; nil = the role is fixed
	state     roles.EngineState
	switching bool
	// lastSwitchNumber numbers the switches. A stop of the process increments it too, so that a pending
	// roleSwitched is ignored.
	lastSwitchNumber int
	misreportsRole   bool // fault liar: the engine reports a new role but keeps its parameters
}

// Messages between planners and engines. An engine schedules roleSwitched for itself.
type (
	statusRequest struct{ from int32 }
	statusReply   struct {
		engine string
		status planner.Status
	}
	roleCommand  struct{ command roles.Command }
	roleSwitched struct {
		switchNumber int
		stageAdded   bool // the engine keeps its stage and serves a second one
	}
)

// defaultSwitchTime is how long a drained engine takes to change its role, where the scenario states no time.
const defaultSwitchTime = time.Second

// allowRoleChanges sets up the engines of the kinds that can change role, and assigns their initial roles.
func (f *fleet) allowRoleChanges() {
	params, names := f.scenario.RoleChangeParams()
	if names == nil {
		return
	}
	kinds := map[roles.Role]int{}
	for role, name := range names {
		kinds[role] = f.settings.KindIndex(name)
	}
	f.apiServer.kindByRole, f.apiServer.assignments.Entries = kinds, map[string]roles.Assignment{}
	for _, e := range f.engines {
		if !e.kind.ChangesRole {
			continue
		}
		role := e.kind.InitialRole()
		e.role.params, e.role.state = params, roles.EngineState{Role: role, Target: role}
		e.setRoleParams(role)
		e.resetModel(0, false)
		f.apiServer.assignments.Entries[e.name] = roles.Assignment{
			Role: role, Target: role, Serving: true, CanPrefill: true, CanDecode: true,
		}
	}
}

// setRoleParams sets the engine's parameters to those of a role, if the engine can serve it.
func (e *engine) setRoleParams(role roles.Role) {
	if params, ok := e.role.params[role]; ok {
		e.params = params
	}
}

// addsStage reports whether the engine is commanded to serve a second stage in addition to its own, which needs no
// drain.
func (e *engine) addsStage() bool {
	return e.role.state.Target == roles.Both && e.role.state.Role != roles.Both
}

// isDraining reports whether the engine rejects new work because it is changing its role.
func (e *engine) isDraining() bool {
	if e.role.params == nil {
		return false
	}
	return !e.role.state.Serves(e.role.state.Role) || e.role.switching && !e.addsStage()
}

// switchIfDrained starts the switch to the commanded role once no work of the old role is left, or immediately if the
// engine only adds a stage.
func (e *engine) switchIfDrained() {
	busy := e.model.InFlight() > 0 || e.model.ReadStateCount() > 0
	if e.role.params == nil || !e.up || e.role.switching || e.role.state.StatusReport().Serving {
		return
	}
	if busy && !e.addsStage() {
		return
	}
	e.role.switching = true
	e.role.lastSwitchNumber++
	delay := cmp.Or(e.fleet.scenario.Planner.SwitchTime, defaultSwitchTime)
	e.schedule(delay, roleSwitched{e.role.lastSwitchNumber, e.addsStage()})
}

func (e *engine) onRoleCommand(m roleCommand) {
	if _, supported := e.role.params[m.command.Target]; supported && e.up {
		e.role.state = e.role.state.Accept(m.command)
	}
}

func (e *engine) onRoleSwitched(m roleSwitched) {
	if m.switchNumber != e.role.lastSwitchNumber || !e.up {
		return
	}
	e.model.Advance(e.now())
	e.role.switching = false
	if m.stageAdded != e.addsStage() { // another command arrived during the switch
		return
	}
	previousParams := e.params
	e.role.state = e.role.state.FinishDraining()
	e.setRoleParams(e.role.state.Role)
	if m.stageAdded {
		e.model.SetParams(e.now(), e.params)
		return
	}
	if e.role.misreportsRole {
		e.params = previousParams
	}
	work := e.model.Work()
	e.model = enginemodel.New(e.params, e.now(), true)
	e.model.RestoreWork(work)
}

func (e *engine) sendStatus(to int32) {
	if !e.up || e.role.params == nil {
		return
	}
	e.model.Advance(e.now())
	work := e.model.Work()
	status := planner.Status{
		StatusReport: e.role.state.StatusReport(), Outstanding: e.model.InFlight() + e.model.ReadStateCount(),
		Prefill: planner.StageLoad{
			Done: work.PrefillDone, Waiting: work.PrefillWaiting, Lost: work.PrefillLost, Count: work.Prefills,
		},
		Decode: planner.StageLoad{
			Done: work.DecodeDone, Waiting: work.DecodeWaiting, Lost: work.DecodeLost, Count: work.Decodes,
		},
	}
	status.Serving = status.Serving && !e.role.switching
	e.send(to, connectHops*e.fleet.linkDelay(e.rnd), statusReply{e.name, status})
}
