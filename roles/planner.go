package roles

import (
	"fmt"
	"time"
)

const (
	// maxStepSeconds bounds the time that one step accounts for: while the planner was paused, it observed no demand.
	maxStepSeconds = 5
	// lossWindowChangeTimes is the time constant with which an expert's losses decay, in multiples of Config.ChangeTime:
	// several periods of the slowest oscillation that is worth following.
	lossWindowChangeTimes = 120.0
	// longerLookbackMargin is how much less than the leader an expert with a longer lookback must have lost to become
	// the leader, in costs of one change.
	longerLookbackMargin = 1.0
	// shorterLookbackMargin is the same for a shorter lookback, as a fraction of what the whole fleet can do during
	// Config.ChangeTime. It is larger because an expert with a short lookback gains by chance in the first period of an
	// oscillating mix.
	shorterLookbackMargin = 0.3
)

// lookbacks are the experts' lookbacks, in multiples of Config.ChangeTime: how far it is useful to look back depends on
// how long a change takes. The expert with the longest lookback leads until another has lost less by the margin.
var lookbacks = [...]float64{120, 30, 8, 2, 0.5}

// Planner decides the changes of role of one fleet. It is not safe for concurrent use.
type Planner struct {
	config    Config
	now       time.Duration
	started   bool
	meters    map[string]*demandMeter // by engine or replica
	pending   map[string]*pendingChange
	cooldowns map[string]cooldown

	experts       []*expert
	leader        int // index of the expert whose split is used
	lastSplit     split
	changeSeconds float64 // moving average of the duration of a change
}

// Change is the decision to give an engine another role.
type Change struct {
	ID     string
	Target Role
	Reason string // for operators, stored with the assignment; includes the demand where it caused the change
}

// Plan is the result of Step: the decisions and the figures that they are based on.
type Plan struct {
	Changes []Change
	Reverts []string // engines whose pending change is overdue or no longer wanted: to be commanded back

	Trusted              bool          // enough reports are trusted; otherwise demand causes no changes
	PrefillDemand        float64       // demand for prefill, in engines
	DecodeDemand         float64       // demand for decode, in engines
	WantedPrefillEngines int           // the leading expert's choice; without one, the present number
	Lookback             time.Duration // of the leading expert; 0 if the step did not plan by demand
	Engines              int           // prefill and decode engines, without those that do both
	UntrustedReports     int           // engines without a trusted report
	ChangeTime           time.Duration // measured duration of a change
}

// New returns a planner without any history.
func New(config Config) (*Planner, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	config = config.withDefaults()
	p := &Planner{
		config:        config,
		meters:        map[string]*demandMeter{},
		pending:       map[string]*pendingChange{},
		cooldowns:     map[string]cooldown{},
		changeSeconds: config.ChangeTime.Seconds(),
	}
	for _, changeTimes := range lookbacks {
		p.experts = append(p.experts, &expert{
			lookback:   time.Duration(changeTimes * float64(config.ChangeTime)),
			lossWindow: time.Duration(lossWindowChangeTimes * float64(config.ChangeTime)),
		})
	}
	return p, nil
}

// Step plans for the state of the fleet at now. It is meant to be called about once a second; the interval has little
// influence on the plans. The state of engines and replicas that are not passed is dropped, except
// for cooldowns.
func (p *Planner) Step(now time.Duration, engines []Engine, replicas []Replica) Plan {
	dt := min(max((now-p.now).Seconds(), 0), maxStepSeconds)
	if !p.started {
		dt, p.started = 0, true
	}
	p.now = now
	f := p.observe(engines, replicas)
	plan := Plan{
		Trusted:              f.trusted,
		PrefillDemand:        f.prefillDemand,
		DecodeDemand:         f.decodeDemand,
		WantedPrefillEngines: f.prefillEngines,
		Engines:              f.prefillEngines + f.decodeEngines,
		UntrustedReports:     f.untrustedReports,
		ChangeTime:           time.Duration(p.changeSeconds * float64(time.Second)),
	}
	for _, x := range p.experts {
		x.applyExternalChanges(f.prefillEngines-p.lastSplit.prefill, f.decodeEngines-p.lastSplit.decode)
	}
	if f.minPrefillEngines <= f.maxPrefillEngines && f.trusted {
		for _, x := range p.experts {
			x.step(f, now, dt, p.changeSeconds, p.maxConcurrent(f))
		}
		p.selectLeader(float64(f.size()))
		leader := p.experts[p.leader]
		plan.Lookback = leader.lookback
		plan.WantedPrefillEngines = min(max(leader.wantedPrefillEngines(), f.minPrefillEngines), f.maxPrefillEngines)
	}
	p.planChanges(f, &plan)
	p.lastSplit = split{prefill: f.prefillEngines, decode: f.decodeEngines}
	return plan
}

// selectLeader makes the expert with the largest gain over the leader the new leader, if the gain exceeds its margin.
func (p *Planner) selectLeader(engines float64) {
	leader, largestGain := p.leader, 0.0
	for i, x := range p.experts {
		margin := longerLookbackMargin * changeCost * p.changeSeconds
		if i > p.leader { // experts are sorted by lookback, the longest first
			margin = shorterLookbackMargin * engines * p.config.ChangeTime.Seconds()
		}
		if gain := p.experts[p.leader].loss - x.loss - margin; gain > largestGain {
			leader, largestGain = i, gain
		}
	}
	p.leader = leader
}

// maxConcurrent returns how many engines may be changing at once.
func (p *Planner) maxConcurrent(f *fleet) int {
	return max(1, int(p.config.MaxConcurrent*float64(f.size())))
}

// reason returns the reason of a change with the demand that caused it. It is stored with the assignment, and so names
// stages and engines after the text forms of the roles.
func (p *Planner) reason(f *fleet, cause string) string {
	return fmt.Sprintf("%s: reading asks for %.2f engines, writing for %.2f, of %d readers and %d writers",
		cause, f.prefillDemand, f.decodeDemand, f.prefillEngines, f.decodeEngines)
}
