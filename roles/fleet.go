package roles

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minTrustedFraction is the fraction of a stage's engines whose reports must be trusted for a plan. With fewer, scaling
// their demand up to the whole stage would be unreliable.
const minTrustedFraction = 0.5

// Engine is the state of one engine, as the caller of Planner.Step knows it.
type Engine struct {
	ID          string
	Role        Role          // the role that it is listed in
	Target      Role          // the role that it is changing to; equals Role if it is not changing
	ChangedAt   time.Duration // when its last command was confirmed, by the planner's clock; 0 = never
	Ready       bool          // up and listed as serving
	CanPrefill  bool
	CanDecode   bool
	Pinned      bool // its role is fixed by an operator
	Cell        int  // number of its cell; each role is spread over the cells
	Outstanding int  // requests and read states that must end before a change does
	Report      *Report
}

// changing reports whether a change of role is under way.
func (e *Engine) changing() bool { return e.Target != e.Role }

// flexible reports whether the planner may give the engine either role.
func (e *Engine) flexible() bool { return e.CanPrefill && e.CanDecode && !e.Pinned }

// Report is the load report of an engine or a replica. Its totals only grow until the process restarts.
type Report struct {
	At      time.Duration // when it was made, by the planner's clock
	Prefill StageLoad
	Decode  StageLoad
}

// StageLoad is the load of one stage at an engine or a replica, in engine seconds.
type StageLoad struct {
	Done    float64 // total work done; for decode, the integral of the used fraction of its slots or memory
	Waiting float64 // work that is queued now
	Lost    float64 // total work that was rejected, or dropped because it was too late
}

// Replica is a gateway replica with its load report: the work that it lost, which no engine reports. A replica without
// a trusted report is ignored, and the planner then underestimates an overload.
type Replica struct {
	ID     string
	Report *Report
}

// fleet is the aggregated state of the fleet in one step.
type fleet struct {
	engines                              []Engine // sorted by ID
	prefillEngines, decodeEngines        int      // ready or changing, by target role
	both                                 int      // ready or changing, with Both as target role
	changing                             int
	minPrefillEngines, maxPrefillEngines int // bounds of the number of prefill engines
	prefillDemand, decodeDemand          float64
	trusted                              bool // enough reports are trusted to plan by demand
	untrustedReports                     int
}

// size returns the number of engines that are ready or changing, in any role.
func (f *fleet) size() int { return f.prefillEngines + f.decodeEngines + f.both }

// count adds n to the number of engines with a target role.
func (f *fleet) count(role Role, n int) {
	switch role {
	case Prefill:
		f.prefillEngines += n
	case Decode:
		f.decodeEngines += n
	default:
		f.both += n
	}
}

// split is how many engines prefill and how many decode.
type split struct{ prefill, decode int }

// stageTotals aggregates the engines of one stage.
type stageTotals struct {
	demand  float64 // sum over the engines with a trusted report
	trusted float64 // number of engines with a trusted report
	engines float64
}

func (t *stageTotals) add(demand float64, trusted bool) {
	t.engines++
	if trusted {
		t.trusted++
		t.demand += demand
	}
}

// scaled returns the demand of the whole stage, extrapolated from the trusted reports. ok is false if these are too
// few.
func (t *stageTotals) scaled() (demand float64, ok bool) {
	if t.engines > 0 && t.trusted < minTrustedFraction*t.engines || t.trusted == 0 {
		return t.demand, false
	}
	return t.demand * (t.engines / t.trusted), true
}

// observe updates the demand meters and the pending changes and returns the aggregated state of the fleet. It drops the
// state of engines and replicas that are absent from its arguments.
func (p *Planner) observe(engines []Engine, replicas []Replica) *fleet {
	f := &fleet{engines: slices.Clone(engines)}
	slices.SortFunc(f.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	present := map[string]bool{}
	var prefill, decode stageTotals
	var fixed split // engines whose role the planner must not change
	for i := range f.engines {
		e := &f.engines[i]
		present[e.ID] = true
		meter := p.updateMeter(e.ID, e.Report)
		p.trackChange(e)
		if !e.Ready && !e.changing() {
			continue
		}
		f.countEngine(e, meter, &fixed)
		if e.Role.Prefills() && !e.changing() {
			prefill.add(meter.prefill, meter.trusted)
		}
		if e.Role.Decodes() && !e.changing() {
			decode.add(meter.decode, meter.trusted)
		}
	}
	lostPrefill, lostDecode := p.observeReplicas(replicas, present)
	p.dropAbsent(present)
	prefillDemand, prefillTrusted := prefill.scaled()
	decodeDemand, decodeTrusted := decode.scaled()
	f.trusted = prefillTrusted && decodeTrusted
	f.prefillDemand, f.decodeDemand = prefillDemand+lostPrefill, decodeDemand+lostDecode
	f.setBounds(fixed)
	return f
}

// countEngine adds an engine that is ready or changing to the counts of f and, if its role is fixed, to fixed.
func (f *fleet) countEngine(e *Engine, meter *demandMeter, fixed *split) {
	if !meter.trusted {
		f.untrustedReports++
	}
	if e.changing() {
		f.changing++
	}
	f.count(e.Target, 1)
	if e.flexible() {
		return
	}
	switch e.Target {
	case Prefill:
		fixed.prefill++
	case Decode:
		fixed.decode++
	case Both:
	}
}

// setBounds sets the bounds of the number of prefill engines. Each stage keeps at least one engine of its own, unless
// there are engines that do both.
func (f *fleet) setBounds(fixed split) {
	total := f.prefillEngines + f.decodeEngines
	if f.both > 0 {
		f.minPrefillEngines, f.maxPrefillEngines = fixed.prefill, total-fixed.decode
		return
	}
	f.minPrefillEngines, f.maxPrefillEngines = max(fixed.prefill, 1), total-max(fixed.decode, 1)
}

// observeReplicas updates the meters of the replicas and returns the demand for the work that the replicas lost.
func (p *Planner) observeReplicas(replicas []Replica, present map[string]bool) (prefill, decode float64) {
	for _, replica := range replicas {
		id := "replica " + replica.ID // differs from the keys of all engines
		present[id] = true
		if meter := p.updateMeter(id, replica.Report); meter.trusted {
			prefill, decode = prefill+meter.prefill, decode+meter.decode
		}
	}
	return prefill, decode
}

// updateMeter passes the latest report of an engine or a replica to its meter, which it creates if needed.
func (p *Planner) updateMeter(id string, report *Report) *demandMeter {
	meter := p.meters[id]
	if meter == nil {
		meter = &demandMeter{}
		p.meters[id] = meter
	}
	meter.update(report, p.now, p.config.StaleAfter)
	return meter
}

// dropAbsent drops the state of engines and replicas that are not present. A cooldown is kept until it ends, because
// the engine may come back.
func (p *Planner) dropAbsent(present map[string]bool) {
	maps.DeleteFunc(p.meters, func(id string, _ *demandMeter) bool { return !present[id] })
	maps.DeleteFunc(p.pending, func(id string, _ *pendingChange) bool { return !present[id] })
	maps.DeleteFunc(p.cooldowns, func(id string, c cooldown) bool { return !present[id] && p.now >= c.until })
}
