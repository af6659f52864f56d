package rolesim

import (
	"math"
	"time"

	"brackenbend/roles"
)

const (
	// maxReportedPrefillWait is the most queued prefill work that an engine reports, in seconds. Work beyond it is
	// queued or rejected by the replicas, which share no state.
	maxReportedPrefillWait = 0.3
	// maxReportedDecodeWait is the same for decodes, as a fraction of the mean stream duration.
	maxReportedDecodeWait = 0.5
	// maxKeptReports is the number of reports of an engine above which the oldest maxKeptReports/2 are dropped. The rest
	// must cover ReportDelay, with one report a second.
	maxKeptReports = 64
)

// plan gets a plan from the policy and carries it out.
func (x *sim) plan(p Policy) {
	now := time.Duration(x.now * float64(time.Second))
	engines := x.reportEngines(now)
	plan := p.Step(now, engines, x.replicaReports(now))
	byID := make(map[string]*engine, len(x.engines))
	for _, e := range x.engines {
		byID[e.id] = e
	}
	for _, id := range plan.Reverts {
		x.revertChange(byID[id])
	}
	for _, change := range plan.Changes {
		x.beginChange(byID[change.ID], change.Target)
	}
	prefill := 0
	for _, e := range x.engines {
		if e.target == roles.Prefill {
			prefill++
		}
	}
	x.result.PrefillEngines = append(x.result.PrefillEngines, prefill)
}

// queuedWork returns the queued work that each engine of a stage reports, in seconds.
func (x *sim) queuedWork() (prefill, decode float64) {
	prefills, decodes := 0, 0
	for _, e := range x.engines {
		if e.isPrefill() {
			prefills++
		} else if e.state == stateUp {
			decodes++
		}
	}
	prefill = min(max(x.prefills.work, 0)/float64(max(prefills, 1)), maxReportedPrefillWait)
	perEngine := max(x.decodes.work, 0) / float64(x.scenario.Slots) / float64(max(decodes, 1))
	return prefill, min(perEngine, maxReportedDecodeWait*x.scenario.MeanStream.Seconds())
}

// reportEngines adds a report to each engine and returns the planner's view of the engines.
func (x *sim) reportEngines(now time.Duration) []roles.Engine {
	prefillWait, decodeWait := x.queuedWork()
	engines := make([]roles.Engine, 0, len(x.engines))
	for _, e := range x.engines {
		x.updateTotals(e)
		report := roles.Report{
			At: now, Prefill: roles.StageLoad{Done: e.prefillTotal}, Decode: roles.StageLoad{Done: e.decodeTotal},
		}
		if e.isPrefill() {
			report.Prefill.Waiting = prefillWait
		} else if e.state == stateUp {
			report.Decode.Waiting = decodeWait
		}
		e.reports = append(e.reports, report)
		engines = append(engines, x.plannerView(e))
	}
	return engines
}

// plannerView returns the planner's view of one engine. Its report is ReportDelay old.
func (x *sim) plannerView(e *engine) roles.Engine {
	view := roles.Engine{
		ID: e.id, Role: e.role, Target: e.target, Ready: e.state == stateUp, CanPrefill: true, CanDecode: true,
		Outstanding: e.requestCount,
	}
	if !math.IsInf(e.roleChangedAt, -1) {
		view.ChangedAt = time.Duration(e.roleChangedAt * float64(time.Second))
	}
	if i := len(e.reports) - 1 - int(x.scenario.ReportDelay.Seconds()); i >= 0 && e.state != stateDown {
		view.Report = &e.reports[i]
	}
	if len(e.reports) > maxKeptReports {
		e.reports = append([]roles.Report(nil), e.reports[maxKeptReports/2:]...)
	}
	return view
}

// replicaReports returns the reports of rejected work. All replicas are represented by one.
func (x *sim) replicaReports(now time.Duration) []roles.Replica {
	if x.scenario.NoReplicaReports {
		return nil
	}
	report := &roles.Report{
		At:      now,
		Prefill: roles.StageLoad{Lost: x.result.LostPrefillWork},
		Decode:  roles.StageLoad{Lost: x.result.LostDecodeWork},
	}
	return []roles.Replica{{ID: "f", Report: report}}
}

// revertChange cancels the change of role of an engine that is still draining.
func (x *sim) revertChange(e *engine) {
	if e.state == stateDraining {
		e.state, e.target, e.roleChangedAt = stateUp, e.role, x.now
		x.addToPools(e)
	}
}

// beginChange begins a change of role if the engine is up and has another role.
func (x *sim) beginChange(e *engine, target roles.Role) {
	if e.state != stateUp || e.target == target {
		return
	}
	x.result.RoleChanges++
	if !math.IsInf(e.roleChangedAt, -1) {
		dwell := time.Duration((x.now - e.roleChangedAt) * float64(time.Second))
		if x.result.MinDwell == 0 || dwell < x.result.MinDwell {
			x.result.MinDwell = dwell
		}
	}
	x.removeFromPools(e)
	e.target, e.state = target, stateDraining
	x.switchIfDrained(e)
}
