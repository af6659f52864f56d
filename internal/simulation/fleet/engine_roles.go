package fleet

import (
	"cmp"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// Engines that change role: the planner, the assignments and the engine's state are those of package roles, the
// planner's view is that of package planner; here they communicate by messages.

// roleState is the part of an engine that changes role.
type roleState struct {
	params     map[roles.Role]enginemodel.Params // by role; nil = the engine keeps its role
	state      roles.EngineState
	switching  bool
	switches   int  // those of an earlier number, or of an earlier process, are ignored
	misreports bool // by a fault, it keeps its parameters when it claims to change
}

// Messages between planners, engines and the engine itself.
type (
	statusRequest struct{ from int32 }
	statusReply   struct {
		engine string
		status planner.Status
	}
	roleCommand  struct{ command roles.Command }
	roleSwitched struct {
		number int
		added  bool // only a stage was added
	}
)

// defaultSwitchTime is how long an empty engine takes to change role.
const defaultSwitchTime = time.Second

// allowRoleChanges lets the engines of the kinds that change role do so, and assigns them their first roles.
func (f *fleet) allowRoleChanges() {
	params, names := f.scenario.ChangingRoles()
	if names == nil {
		return
	}
	kinds := map[roles.Role]int{}
	for role, name := range names {
		kinds[role] = f.settings.KindIndex(name)
	}
	f.apiServer.kinds, f.apiServer.assignments.Entries = kinds, map[string]roles.Assignment{}
	for _, e := range f.engines {
		if !e.kind.ChangesRole {
			continue
		}
		role := e.kind.ServedRole()
		e.role.params, e.role.state = params, roles.EngineState{Role: role, Target: role}
		e.useRole(role)
		e.reset(0, false)
		f.apiServer.assignments.Entries[e.name] = roles.Assignment{
			Role: role, Target: role, Serving: true, CanPrefill: true, CanDecode: true,
		}
	}
}

// useRole takes the parameters of a role.
func (e *engine) useRole(role roles.Role) {
	if params, ok := e.role.params[role]; ok {
		e.params = params
	}
}

// addsStage reports whether the engine is only to serve one stage more, which it need not drain for.
func (e *engine) addsStage() bool {
	return e.role.state.Target == roles.Both && e.role.state.Role != roles.Both
}

// isDraining reports whether the engine takes no new work because it is changing role.
func (e *engine) isDraining() bool {
	if e.role.params == nil {
		return false
	}
	return !e.role.state.Serves(e.role.state.Role) || e.role.switching && !e.addsStage()
}

// switchIfDrained begins the switch once no work of the old role is left.
func (e *engine) switchIfDrained() {
	busy := e.model.InFlight() > 0 || e.model.ReadStateCount() > 0
	if e.role.params == nil || !e.up || e.role.switching || e.role.state.StatusReport().Serving {
		return
	}
	if busy && !e.addsStage() {
		return
	}
	e.role.switching = true
	e.role.switches++
	delay := cmp.Or(e.fleet.scenario.Planner.SwitchTime, defaultSwitchTime)
	e.schedule(delay, roleSwitched{e.role.switches, e.addsStage()})
}

func (e *engine) onRoleCommand(m roleCommand) {
	if _, can := e.role.params[m.command.Target]; can && e.up {
		e.role.state = e.role.state.Accept(m.command)
	}
}

func (e *engine) onRoleSwitched(m roleSwitched) {
	if m.number != e.role.switches || !e.up {
		return
	}
	e.model.Advance(e.now())
	e.role.switching = false
	if m.added != e.addsStage() { // another command came meanwhile
		return
	}
	before := e.params
	e.role.state = e.role.state.FinishDraining()
	e.useRole(e.role.state.Role)
	if m.added {
		e.model.SetParams(e.now(), e.params)
		return
	}
	if e.role.misreports {
		e.params = before
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
		Read: planner.Stage{
			Done: work.PrefillDone, Waiting: work.PrefillWaiting, Lost: work.PrefillLost, Count: work.Prefills,
		},
		Write: planner.Stage{Done: work.DecodeDone, Waiting: work.DecodeWaiting, Lost: work.DecodeLost, Count: work.Decodes},
	}
	status.Serving = status.Serving && !e.role.switching
	e.send(to, connectHops*e.fleet.hop(e.rnd), statusReply{e.name, status})
}
