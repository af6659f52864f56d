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
	engines := x.report(now)
	plan := p.Step(now, engines, x.replicaReports(now))
	byID := make(map[string]*engine, len(x.engines))
	for _, e := range x.engines {
		byID[e.id] = e
	}
	for _, id := range plan.Reverts {
		x.revert(byID[id])
	}
	for _, change := range plan.Changes {
		x.change(byID[change.ID], change.Target)
	}
	prefill := 0
	for _, e := range x.engines {
		if e.target == roles.Prefill {
			prefill++
		}
	}
	x.result.Prefill = append(x.result.Prefill, prefill)
}

// waiting returns the queued work that each engine of a stage reports, in seconds.
func (x *sim) waiting() (prefill, decode float64) {
	prefills, decodes := 0, 0
	for _, e := range x.engines {
		if e.isPrefill() {
			prefills++
		} else if e.state == up {
			decodes++
		}
	}
	prefill = min(max(x.prefills.work, 0)/float64(max(prefills, 1)), maxReportedPrefillWait)
	perEngine := max(x.decodes.work, 0) / float64(x.scenario.Slots) / float64(max(decodes, 1))
	return prefill, min(perEngine, maxReportedDecodeWait*x.scenario.MeanStream.Seconds())
}

// report adds a report to each engine and returns the planner's view of the engines.
func (x *sim) report(now time.Duration) []roles.Engine {
	prefillWait, decodeWait := x.waiting()
	engines := make([]roles.Engine, 0, len(x.engines))
	for _, e := range x.engines {
		x.updateTotals(e)
		report := roles.Report{
			At: now, Prefill: roles.StageLoad{Done: e.prefillTotal}, Decode: roles.StageLoad{Done: e.decodeTotal},
		}
		if e.isPrefill() {
			report.Prefill.Waiting = prefillWait
		} else if e.state == up {
			report.Decode.Waiting = decodeWait
		}
		e.reports = append(e.reports, report)
		engines = append(engines, x.view(e))
	}
	return engines
}

// view returns the planner's view of one engine. Its report is ReportDelay old.
func (x *sim) view(e *engine) roles.Engine {
	view := roles.Engine{
		ID: e.id, Role: e.role, Target: e.target, Ready: e.state == up, CanPrefill: true, CanDecode: true,
		Outstanding: e.requests,
	}
	if !math.IsInf(e.changed, -1) {
		view.ChangedAt = time.Duration(e.changed * float64(time.Second))
	}
	if i := len(e.reports) - 1 - int(x.scenario.ReportDelay.Seconds()); i >= 0 && e.state != down {
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
		At: now, Prefill: roles.StageLoad{Lost: x.result.LostPrefill}, Decode: roles.StageLoad{Lost: x.result.LostDecode},
	}
	return []roles.Replica{{ID: "f", Report: report}}
}

// revert cancels the change of role of an engine that is still draining.
func (x *sim) revert(e *engine) {
	if e.state == draining {
		e.state, e.target, e.changed = up, e.role, x.now
		x.addToPools(e)
	}
}

// change begins a change of role if the engine is up and has another role.
func (x *sim) change(e *engine, target roles.Role) {
	if e.state != up || e.target == target {
		return
	}
	x.result.Changes++
	if !math.IsInf(e.changed, -1) {
		dwell := time.Duration((x.now - e.changed) * float64(time.Second))
		if x.result.MinDwell == 0 || dwell < x.result.MinDwell {
			x.result.MinDwell = dwell
		}
	}
	x.removeFromPools(e)
	e.target, e.state = target, draining
	x.switchIfDrained(e)
}
