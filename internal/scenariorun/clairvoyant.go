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

// clairvoyantPolicy changes the roles of engines by a schedule that is computed from the demand of an earlier run. It
// implements planner.Policy.
type clairvoyantPolicy struct {
	run           *run
	leadTime      time.Duration // time from the beginning of a change until it is needed
	schedule      rolesim.Schedule
	scheduleStart time.Duration // of the schedule, as a time of the record
}

func newClairvoyantPolicy(r *run, samples []RoleSample) *clairvoyantPolicy {
	p := &clairvoyantPolicy{
		run:           r,
		leadTime:      cmp.Or(r.scenario.Planner.ChangeTime, defaultChangeTime),
		scheduleStart: r.record.Now(),
	}
	demand := newDemandBySecond(samples)
	p.schedule = rolesim.CheapestSchedule(samples[0].engines(), len(demand), p.leadTime.Seconds(), demand.mean)
	r.logf("prefill engines by the foreseen schedule: %d at the start, %d at the end",
		p.schedule[0], p.schedule[len(demand)-1])
	return p
}

// Step implements planner.Policy.
func (p *clairvoyantPolicy) Step(_ time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return p.schedule.Step(p.run.record.Now()-p.scheduleStart+p.leadTime, engines)
}

// demandSums holds the sums of the demand samples in one second of an earlier run, and the number of samples.
type demandSums struct{ prefill, decode, sampleCount float64 }

type demandBySecond []demandSums

func newDemandBySecond(samples []RoleSample) demandBySecond {
	first := samples[0].At
	seconds := int(samples[len(samples)-1].At-first) + 1
	demand := make(demandBySecond, seconds)
	for _, sample := range samples {
		sums := &demand[min(max(int(sample.At-first), 0), seconds-1)]
		sums.prefill += sample.PrefillDemand
		sums.decode += sample.DecodeDemand
		sums.sampleCount++
	}
	for t := 1; t < seconds; t++ { // no samples were taken while the planner was stopped
		if demand[t].sampleCount == 0 {
			demand[t] = demand[t-1]
		}
	}
	return demand
}

// mean returns the mean demand in the t-th second.
func (d demandBySecond) mean(t int) (prefill, decode float64) {
	samples := math.Max(d[t].sampleCount, 1)
	return d[t].prefill / samples, d[t].decode / samples
}
