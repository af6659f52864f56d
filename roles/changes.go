package roles

import (
	"fmt"
	"time"
)

const (
	// changeTimeWeight is the weight of the newest change in the moving average of the duration of changes.
	changeTimeWeight = 0.2

	// idleGracePeriod is how long after its change an engine may be idle in its new stage, unless MinDwell is longer. The
	// new role has to be listed and requests have to arrive.
	idleGracePeriod = 20 * time.Second
	// idleCheckPeriods is how long an engine is checked after its change, in grace periods. If an engine becomes idle
	// later, its change is not the cause.
	idleCheckPeriods = 3
	// idleFraction is the fraction of its peers' mean demand below which an engine counts as idle.
	idleFraction = 0.05
	// minPeerDemand is the mean demand, in engines, above which an engine's peers are busy enough to compare it with.
	minPeerDemand = 0.15
)

// pendingChange is a change that the engine has not confirmed, as the planner last saw it.
type pendingChange struct {
	target   Role
	since    time.Duration // when the planner started it or first saw it
	reverted bool          // the engine has been commanded back to its old role
}

// planChanges plans changes towards the wanted number of prefill engines, within the limit of concurrent changes.
// Overdue changes, empty stages, ineffective changes and engines that do both come first.
func (p *Planner) planChanges(f *fleet, plan *Plan) {
	p.revertOverdue(f, plan)
	if p.coverEmptyStage(f, plan) {
		return
	}
	maxConcurrent := p.maxConcurrent(f)
	if f.changing < maxConcurrent {
		p.undoIneffectiveChange(f, plan)
	}
	p.specialize(f, plan)
	if len(plan.Changes) > 0 || !f.trusted {
		return
	}
	from, to, count := Decode, Prefill, plan.WantedPrefillEngines-f.prefillEngines
	if count < 0 {
		from, to, count = Prefill, Decode, -count
	}
	count -= p.revertOpposing(f, plan, to, count)
	for range max(min(count, maxConcurrent-f.changing), 0) {
		e := p.selectEngine(f, from, to, respectDwell)
		if e == nil {
			return
		}
		p.startChange(f, plan, e, to, p.reason(f, "shift"))
	}
}

// startChange adds a change to the plan and counts the engine in its new role.
func (p *Planner) startChange(f *fleet, plan *Plan, e *Engine, to Role, reason string) {
	p.pending[e.ID] = &pendingChange{target: to, since: p.now}
	plan.Changes = append(plan.Changes, Change{ID: e.ID, Target: to, Reason: reason})
	f.count(e.Target, -1)
	f.count(to, 1)
	e.Target = to
	f.changing++
}

// revert adds a revert of a pending change to the plan and counts the engine in its old role.
func (p *Planner) revert(f *fleet, plan *Plan, e *Engine, change *pendingChange) {
	change.reverted = true
	plan.Reverts = append(plan.Reverts, e.ID)
	f.count(e.Target, -1)
	f.count(e.Role, 1)
	f.changing--
	e.Target = e.Role
}

// trackChange updates the record of an engine's pending change. When a change that was not reverted has ended, its
// duration enters the moving average, and the averages of the engine's demand restart at zero.
func (p *Planner) trackChange(e *Engine) {
	change := p.pending[e.ID]
	switch {
	case e.changing() && change == nil: // started by another planner, or by this one before a restart
		p.pending[e.ID] = &pendingChange{target: e.Target, since: p.now}
	case e.changing():
		change.target = e.Target
	case change != nil:
		if !change.reverted && e.Role == change.target {
			took := min((p.now - change.since + p.config.WarmUp).Seconds(), p.config.ChangeTimeout.Seconds())
			p.changeSeconds += float64(changeTimeWeight * (took - p.changeSeconds))
			p.meters[e.ID].prefill, p.meters[e.ID].decode = 0, 0
		}
		delete(p.pending, e.ID)
	}
}

// revertOverdue reverts the changes that exceed ChangeTimeout and starts the engines' cooldowns.
func (p *Planner) revertOverdue(f *fleet, plan *Plan) {
	for i := range f.engines {
		e := &f.engines[i]
		change := p.pending[e.ID]
		if change == nil || change.reverted || !e.changing() || p.now-change.since <= p.config.ChangeTimeout {
			continue
		}
		p.revert(f, plan, e, change)
		p.startCooldown(e.ID)
	}
}

// revertOpposing reverts pending changes away from the role that is wanted now, limit at most, so that fewer other
// engines have to change. It returns how many it reverted.
func (p *Planner) revertOpposing(f *fleet, plan *Plan, wanted Role, limit int) (reverted int) {
	for i := range f.engines {
		e := &f.engines[i]
		change := p.pending[e.ID]
		opposing := change != nil && !change.reverted && e.changing() && e.Role == wanted && e.Target != Both
		if reverted < limit && opposing {
			p.revert(f, plan, e, change)
			reverted++
		}
	}
	return reverted
}

// coverEmptyStage starts a change at once if a stage has no engine, whatever the demand, the dwell times, the cooldowns
// and the limit of concurrent changes. If the other stage has only one engine, that engine serves both stages. It
// reports whether it started a change.
func (p *Planner) coverEmptyStage(f *fleet, plan *Plan) bool {
	if f.both > 0 || f.prefillEngines > 0 && f.decodeEngines > 0 {
		return false
	}
	// The texts are stored. They mean that no engine is left that prefills, or none that decodes.
	from, to, reason := Decode, Prefill, "nothing is left to read"
	if f.decodeEngines == 0 {
		from, to, reason = Prefill, Decode, "nothing is left to write"
	}
	switch max(f.prefillEngines, f.decodeEngines) {
	case 0:
		return false
	case 1:
		to = Both
	}
	e := p.selectEngine(f, from, to, ignoreDwell)
	if e == nil {
		return false
	}
	p.startChange(f, plan, e, to, reason)
	return true
}

// specialize gives an engine that does both a single role again once another engine has a single role and no engine is
// changing.
func (p *Planner) specialize(f *fleet, plan *Plan) {
	if f.prefillEngines+f.decodeEngines < 1 || f.changing > 0 {
		return
	}
	e := p.selectEngine(f, Both, Both, respectDwell)
	if e == nil {
		return
	}
	const stageEmpty, stagesCovered = "the other stage has engines again", "each stage has engines again"
	switch {
	case f.prefillEngines == 0:
		p.startChange(f, plan, e, Prefill, stageEmpty)
	case f.decodeEngines == 0:
		p.startChange(f, plan, e, Decode, stageEmpty)
	case f.trusted && f.prefillDemand/float64(f.prefillEngines) > f.decodeDemand/float64(f.decodeEngines):
		p.startChange(f, plan, e, Prefill, p.reason(f, stagesCovered))
	default:
		p.startChange(f, plan, e, Decode, p.reason(f, stagesCovered))
	}
}

// undoIneffectiveChange gives an engine its old role back if it confirmed its change but is idle in its new stage while
// its peers are busy. It starts one such change at most.
func (p *Planner) undoIneffectiveChange(f *fleet, plan *Plan) {
	if !f.trusted {
		return
	}
	for i := range f.engines {
		e := &f.engines[i]
		meter := p.meters[e.ID]
		if !meter.trusted || !p.inIdleCheckWindow(e) || p.inCooldown(e.ID) {
			continue
		}
		demand, stageDemand, peers, oldRole := meter.prefill, f.prefillDemand, f.prefillEngines, Decode
		if e.Role == Decode {
			demand, stageDemand, peers, oldRole = meter.decode, f.decodeDemand, f.decodeEngines, Prefill
		}
		mean := stageDemand / float64(max(peers, 1))
		if peers > 1 && mean > minPeerDemand && demand < idleFraction*mean {
			p.startCooldown(e.ID)
			p.startChange(f, plan, e, oldRole,
				fmt.Sprintf("does nothing as %v (%.3f of %.2f) while its peers do", e.Role, demand, mean))
			return
		}
	}
}

// inIdleCheckWindow reports whether an engine changed to a single role at least one and at most idleCheckPeriods grace
// periods ago.
func (p *Planner) inIdleCheckWindow(e *Engine) bool {
	if !e.flexible() || !e.Ready || e.changing() || e.Role == Both || e.ChangedAt == 0 {
		return false
	}
	age, grace := p.now-e.ChangedAt, max(idleGracePeriod, p.config.MinDwell)
	return age >= grace && age <= idleCheckPeriods*grace
}
