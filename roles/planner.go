package roles

import (
	"fmt"
	"time"
)

const (
	// maxStepSeconds bounds the time charged to one step: a planner that was paused has observed nothing meanwhile.
	maxStepSeconds = 5
	// lossWindowChanges is how long an expert's losses count, in change times: several periods of the slowest
	// oscillation that is worth following.
	lossWindowChanges = 120.0
	// longerLookbackMargin is how much less an expert with a longer lookback than the leader's must have lost to
	// lead, in costs of one change.
	longerLookbackMargin = 1.0
	// shorterLookbackMargin is the same for a shorter lookback, as a share of the whole fleet's work during a change.
	// It is larger, since a short lookback gains by luck on the first period of a mix that oscillates.
	shorterLookbackMargin = 0.3
)

// lookbacks are how long each expert looks back, in change times: what is long for a fleet depends on what a change
// takes there. The one that looks back longest leads until another has done better.
var lookbacks = [...]float64{120, 30, 8, 2, 0.5}

// Planner plans for one fleet. It is not safe for concurrent use.
type Planner struct {
	config    Config
	now       time.Duration
	started   bool
	meters    map[string]*demandMeter // by engine or replica
	pending   map[string]*pendingChange
	cooldowns map[string]cooldown

	experts       []*expert
	leader        int // index of the expert that decides
	lastSplit     split
	changeSeconds float64 // moving average of what a change takes, in seconds of an engine
}

// Change is one engine to be given another role.
type Change struct {
	ID     string
	Target Role
	Reason string // for logs, with the demand that caused it
}

// Plan is what Step decides, with what it saw.
type Plan struct {
	Changes []Change
	Reverts []string // engines whose pending change no longer helps: to be commanded back to the role in force

	Trusted          bool          // the reports sufficed for a plan; else only a stage without any engine causes changes
	Reading          float64       // demand for prefill, in engines
	Writing          float64       // demand for decode, in engines
	Readers          int           // wanted prefill engines
	Lookback         time.Duration // of the leading expert
	Engines          int           // prefill and decode engines in all
	UntrustedReports int           // reports that were missing, stale, frozen or not finite
	ChangeTime       time.Duration // what a change takes, as measured
}

// New returns a planner that has learned nothing yet.
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
	for _, changes := range lookbacks {
		p.experts = append(p.experts, &expert{
			lookback:   time.Duration(changes * float64(config.ChangeTime)),
			lossWindow: time.Duration(lossWindowChanges * float64(config.ChangeTime)),
		})
	}
	return p, nil
}

// Step takes the fleet as it is at now and plans. It is meant to be called about once a second; the interval has
// little influence on the plans. Engines that are not named are forgotten.
func (p *Planner) Step(now time.Duration, engines []Engine, replicas []Replica) Plan {
	dt := min(max((now-p.now).Seconds(), 0), maxStepSeconds)
	if !p.started {
		dt, p.started = 0, true
	}
	p.now = now
	f := p.observe(engines, replicas)
	plan := Plan{
		Trusted:          f.trusted,
		Reading:          f.prefillDemand,
		Writing:          f.decodeDemand,
		Readers:          f.readers,
		Engines:          f.readers + f.writers,
		UntrustedReports: f.untrustedReports,
		ChangeTime:       time.Duration(p.changeSeconds * float64(time.Second)),
	}
	for _, x := range p.experts {
		x.rebase(f.readers-p.lastSplit.readers, f.writers-p.lastSplit.writers)
	}
	if f.minReaders <= f.maxReaders && f.trusted {
		for _, x := range p.experts {
			x.step(f, now, dt, p.changeSeconds, p.maxConcurrent(f))
		}
		p.selectLeader(float64(f.size()))
		leader := p.experts[p.leader]
		plan.Lookback = leader.lookback
		plan.Readers = min(max(leader.wantedReaders(), f.minReaders), f.maxReaders)
	}
	p.planChanges(f, &plan)
	p.lastSplit = split{readers: f.readers, writers: f.writers}
	return plan
}

// selectLeader makes the expert that has lost least the leader, once it is better by the margin.
func (p *Planner) selectLeader(engines float64) {
	leader, largestGain := p.leader, 0.0
	for i, x := range p.experts {
		margin := longerLookbackMargin * changeCost * p.changeSeconds
		if i > p.leader { // experts are sorted by lookback, longest first
			margin = shorterLookbackMargin * engines * p.config.ChangeTime.Seconds()
		}
		if gain := p.experts[p.leader].loss - x.loss - margin; gain > largestGain {
			leader, largestGain = i, gain
		}
	}
	p.leader = leader
}

// maxConcurrent is how many engines may be changing at once.
func (p *Planner) maxConcurrent(f *fleet) int {
	return max(1, int(p.config.MaxConcurrent*float64(f.size())))
}

// reason is the text of a change with the demand that caused it. It is stored with the assignment.
func (p *Planner) reason(f *fleet, cause string) string {
	return fmt.Sprintf("%s: reading asks for %.2f engines, writing for %.2f, of %d readers and %d writers",
		cause, f.prefillDemand, f.decodeDemand, f.readers, f.writers)
}
