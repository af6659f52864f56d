package roles

import (
	"fmt"
	"time"
)

const (
	// changeTimeWeight is the weight of the newest change's time in the moving average.
	changeTimeWeight = 0.2

	// idleGracePeriod is how long after its change an engine may do nothing of its new stage, if MinDwell is not
	// longer: time for the new role to be listed and for requests to arrive.
	idleGracePeriod = 20 * time.Second
	// idleCheckPeriods is how long an engine is checked, in grace periods after its change. What is idle later has
	// other causes than a change that did not happen.
	idleCheckPeriods = 3
	// idleShare is the share of its peers' mean demand below which an engine counts as idle.
	idleShare = 0.05
	// minPeerDemand is the mean demand, in engines, from which peers are busy enough to compare with.
	minPeerDemand = 0.15
)

// pendingChange is a change under way, as the planner last saw it.
type pendingChange struct {
	target   Role
	since    time.Duration
	reverted bool // commanded back to the old role
}

// planChanges turns the wanted number of prefill engines into changes of engines, within the configured rate.
func (p *Planner) planChanges(f *fleet, plan *Plan) {
	p.revertOverdue(f, plan)
	if p.coverEmptyStage(f, plan) {
		return
	}
	maxConcurrent := p.maxConcurrent(f)
	if f.changing < maxConcurrent {
		p.returnIdle(f, plan)
	}
	p.specialize(f, plan)
	if len(plan.Changes) > 0 || !f.trusted {
		return
	}
	from, to, count := Decode, Prefill, plan.Readers-f.readers
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

func (p *Planner) startChange(f *fleet, plan *Plan, e *Engine, to Role, reason string) {
	p.pending[e.ID] = &pendingChange{target: to, since: p.now}
	plan.Changes = append(plan.Changes, Change{ID: e.ID, Target: to, Reason: reason})
	f.count(e.Target, -1)
	f.count(to, 1)
	e.Target = to
	f.changing++
}

func (p *Planner) revert(f *fleet, plan *Plan, e *Engine, change *pendingChange) {
	change.reverted = true
	plan.Reverts = append(plan.Reverts, e.ID)
	f.count(e.Target, -1)
	f.count(e.Role, 1)
	f.changing--
	e.Target = e.Role
}

// trackChange follows an engine's pending change until it has ended, and learns the time that it took.
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
			p.changeSeconds += changeTimeWeight * (took - p.changeSeconds)
			p.meters[e.ID].prefill, p.meters[e.ID].decode = 0, 0
		}
		delete(p.pending, e.ID)
	}
}

// revertOverdue reverts changes that take too long and starts the engines' cooldowns.
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

// revertOpposing reverts pending changes away from the role that is wanted now, limit at most, rather than changing
// other engines. It returns how many.
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

// coverEmptyStage keeps at least one engine in each stage: where a stage has none, one that can do it changes now,
// whatever the demand and the dwell time. The last engine of the other stage does both.
func (p *Planner) coverEmptyStage(f *fleet, plan *Plan) bool {
	if f.both > 0 || f.readers > 0 && f.writers > 0 {
		return false
	}
	from, to, reason := Decode, Prefill, "nothing is left to read"
	if f.writers == 0 {
		from, to, reason = Prefill, Decode, "nothing is left to write"
	}
	switch max(f.readers, f.writers) {
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

// specialize gives engines that do both a single role again once each stage has an engine of its own.
func (p *Planner) specialize(f *fleet, plan *Plan) {
	if f.readers+f.writers < 1 || f.changing > 0 {
		return
	}
	e := p.selectEngine(f, Both, Both, respectDwell)
	if e == nil {
		return
	}
	const stageEmpty, stagesCovered = "the other stage has engines again", "each stage has engines again"
	switch {
	case f.readers == 0:
		p.startChange(f, plan, e, Prefill, stageEmpty)
	case f.writers == 0:
		p.startChange(f, plan, e, Decode, stageEmpty)
	case f.trusted && f.prefillDemand/float64(f.readers) > f.decodeDemand/float64(f.writers):
		p.startChange(f, plan, e, Prefill, p.reason(f, stagesCovered))
	default:
		p.startChange(f, plan, e, Decode, p.reason(f, stagesCovered))
	}
}

// returnIdle finds an engine that reported its change and does nothing of its new stage while its peers are busy, and
// gives it its old role back.
func (p *Planner) returnIdle(f *fleet, plan *Plan) {
	if !f.trusted {
		return
	}
	for i := range f.engines {
		e := &f.engines[i]
		meter := p.meters[e.ID]
		if !meter.trusted || !p.recentlyChanged(e) || p.inCooldown(e.ID) {
			continue
		}
		demand, stageDemand, peers, oldRole := meter.prefill, f.prefillDemand, f.readers, Decode
		if e.Role == Decode {
			demand, stageDemand, peers, oldRole = meter.decode, f.decodeDemand, f.writers, Prefill
		}
		mean := stageDemand / float64(max(peers, 1))
		if peers > 1 && mean > minPeerDemand && demand < idleShare*mean {
			p.startCooldown(e.ID)
			p.startChange(f, plan, e, oldRole,
				fmt.Sprintf("does nothing as %v (%.3f of %.2f) while its peers do", e.Role, demand, mean))
			return
		}
	}
}

// recentlyChanged reports whether an engine changed to a single role long enough ago to be busy, and not much longer.
func (p *Planner) recentlyChanged(e *Engine) bool {
	if !e.flexible() || !e.Ready || e.changing() || e.Role == Both || e.ChangedAt == 0 {
		return false
	}
	age, grace := p.now-e.ChangedAt, max(idleGracePeriod, p.config.MinDwell)
	return age >= grace && age <= idleCheckPeriods*grace
}
