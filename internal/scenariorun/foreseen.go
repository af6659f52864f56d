package scenariorun

import (
	"cmp"
	"math"
	"time"

	"brackenbend/internal/simulation/rolesim"
	"brackenbend/roles"
)

// defaultChangeTime is how long a change of role takes from its command, where the scenario states no time.
const defaultChangeTime = 10 * time.Second

// foreseenPolicy changes the roles of engines by a schedule that is computed from the demand of an earlier run. It
// implements planner.Policy.
type foreseenPolicy struct {
	run      *run
	lead     time.Duration // time from the beginning of a change until it is needed
	schedule rolesim.Schedule
	start    time.Duration // of the schedule, as a time of the record
}

func newForeseenPolicy(r *run, samples []RoleSample) *foreseenPolicy {
	p := &foreseenPolicy{
		run:   r,
		lead:  cmp.Or(r.scenario.Planner.ChangeTime, defaultChangeTime),
		start: r.record.Now(),
	}
	demand := newDemandBySecond(samples)
	p.schedule = rolesim.CheapestSchedule(samples[0].engines(), len(demand), p.lead.Seconds(), demand.mean)
	r.logf("prefill engines by the foreseen schedule: %d at the start, %d at the end",
		p.schedule[0], p.schedule[len(demand)-1])
	return p
}

// Step implements planner.Policy.
func (p *foreseenPolicy) Step(_ time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return p.schedule.Step(p.run.record.Now()-p.start+p.lead, engines)
}

// demandSecond holds the sums of the demand samples in one second of an earlier run, and the number of samples.
type demandSecond struct{ prefill, decode, samples float64 }

type demandBySecond []demandSecond

func newDemandBySecond(samples []RoleSample) demandBySecond {
	first := samples[0].At
	seconds := int(samples[len(samples)-1].At-first) + 1
	demand := make(demandBySecond, seconds)
	for _, sample := range samples {
		second := &demand[min(max(int(sample.At-first), 0), seconds-1)]
		second.prefill += sample.PrefillDemand
		second.decode += sample.DecodeDemand
		second.samples++
	}
	for t := 1; t < seconds; t++ { // no samples were taken while the planner was stopped
		if demand[t].samples == 0 {
			demand[t] = demand[t-1]
		}
	}
	return demand
}

// mean returns the mean demand in the t-th second.
func (d demandBySecond) mean(t int) (prefill, decode float64) {
	samples := math.Max(d[t].samples, 1)
	return d[t].prefill / samples, d[t].decode / samples
}
