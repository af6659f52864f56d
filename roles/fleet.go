package roles

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minTrustedShare is the share of a stage's engines whose reports must be trusted for any plan: with fewer, scaling
// their demand up to the whole stage would be a guess.
const minTrustedShare = 0.5

// Engine is one engine as the planner sees it.
type Engine struct {
	ID          string
	Role        Role // in force, as listed
	Target      Role // what it is changing to; = Role when it is not changing
	ChangedAt   time.Duration
	Ready       bool // listed, up, and not taken out by an operator
	CanPrefill  bool
	CanDecode   bool
	Pinned      bool // an operator keeps it in its role
	Cell        int  // each role is spread over the cells
	Outstanding int  // requests and read states that a change would have to wait for
	Report      *Report
}

// changing reports whether a change of role is under way.
func (e *Engine) changing() bool { return e.Target != e.Role }

// flexible reports whether the planner may give the engine either role.
func (e *Engine) flexible() bool { return e.CanPrefill && e.CanDecode && !e.Pinned }

// Report is an engine's load report. The totals only grow while its process lives.
type Report struct {
	At    time.Duration // by the planner's clock
	Read  Stage
	Write Stage
}

// Stage is one stage's work at an engine or a replica, in seconds of a whole engine.
type Stage struct {
	Done    float64 // total work done; for decode, the used part of its capacity (slots or memory) over time
	Waiting float64 // work queued here now
	Lost    float64 // total work that was rejected or given up as too late
}

// Replica is the load report of one replica: the work that it had to reject, which no engine ever saw. Replicas
// without a trusted report are left out; the plan is then made of what engines report, and sees less of an overload.
type Replica struct {
	ID     string
	Report *Report
}

// fleet is a summary of what one step sees.
type fleet struct {
	engines                     []Engine // sorted by ID
	readers, writers            int      // ready, by the role that they have or are changing to
	both                        int      // ready, that do both
	changing                    int
	minReaders, maxReaders      int // bounds of the prefill engines that may be wanted
	prefillDemand, decodeDemand float64
	trusted                     bool // the reports suffice for a plan
	untrustedReports            int
}

// size is the number of engines that are ready, in any role.
func (f *fleet) size() int { return f.readers + f.writers + f.both }

// count adds n to the number of engines of a role.
func (f *fleet) count(role Role, n int) {
	switch role {
	case Prefill:
		f.readers += n
	case Decode:
		f.writers += n
	default:
		f.both += n
	}
}

// split is a number of prefill and decode engines.
type split struct{ readers, writers int }

// stageTotals sums up the engines of one stage.
type stageTotals struct {
	demand  float64 // of the engines with a trusted report
	trusted float64 // engines with a trusted report
	engines float64
}

func (t *stageTotals) add(demand float64, trusted bool) {
	t.engines++
	if trusted {
		t.trusted++
		t.demand += demand
	}
}

// scaled is the demand of the whole stage, if enough reports are trusted to infer it from theirs.
func (t *stageTotals) scaled() (demand float64, ok bool) {
	if t.engines > 0 && t.trusted < minTrustedShare*t.engines || t.trusted == 0 {
		return t.demand, false
	}
	return t.demand * (t.engines / t.trusted), true
}

// observe sums up the fleet, brings the demand meters up to date and learns from changes that have ended. State of
// engines and replicas that are not named is dropped.
func (p *Planner) observe(engines []Engine, replicas []Replica) *fleet {
	f := &fleet{engines: slices.Clone(engines)}
	slices.SortFunc(f.engines, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	named := map[string]bool{}
	var prefill, decode stageTotals
	var fixed split // engines that the planner may not change
	for i := range f.engines {
		e := &f.engines[i]
		named[e.ID] = true
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
	lostPrefill, lostDecode := p.observeReplicas(replicas, named)
	p.forget(named)
	prefillDemand, prefillTrusted := prefill.scaled()
	decodeDemand, decodeTrusted := decode.scaled()
	f.trusted = prefillTrusted && decodeTrusted
	f.prefillDemand, f.decodeDemand = prefillDemand+lostPrefill, decodeDemand+lostDecode
	f.setBounds(fixed)
	return f
}

// countEngine counts an engine that is ready or changing.
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
		fixed.readers++
	case Decode:
		fixed.writers++
	case Both:
	}
}

// setBounds sets how many prefill engines may be wanted: at least one for each stage, unless engines that do both keep
// the stages alive.
func (f *fleet) setBounds(fixed split) {
	total := f.readers + f.writers
	if f.both > 0 {
		f.minReaders, f.maxReaders = fixed.readers, total-fixed.writers
		return
	}
	f.minReaders, f.maxReaders = max(fixed.readers, 1), total-max(fixed.writers, 1)
}

// observeReplicas is the demand that replicas had to reject.
func (p *Planner) observeReplicas(replicas []Replica, named map[string]bool) (prefill, decode float64) {
	for _, replica := range replicas {
		id := "front " + replica.ID // a key that no engine has
		named[id] = true
		if meter := p.updateMeter(id, replica.Report); meter.trusted {
			prefill, decode = prefill+meter.prefill, decode+meter.decode
		}
	}
	return prefill, decode
}

// updateMeter gives the meter of an engine or a replica its newest report.
func (p *Planner) updateMeter(id string, report *Report) *demandMeter {
	meter := p.meters[id]
	if meter == nil {
		meter = &demandMeter{}
		p.meters[id] = meter
	}
	meter.update(report, p.now, p.config.StaleAfter)
	return meter
}

// forget drops the state of engines and replicas that are not named. A cooldown is kept until it ends: the engine may
// come back.
func (p *Planner) forget(named map[string]bool) {
	maps.DeleteFunc(p.meters, func(id string, _ *demandMeter) bool { return !named[id] })
	maps.DeleteFunc(p.pending, func(id string, _ *pendingChange) bool { return !named[id] })
	maps.DeleteFunc(p.cooldowns, func(id string, c cooldown) bool { return !named[id] && p.now >= c.until })
}
