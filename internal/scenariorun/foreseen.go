package scenariorun

import (
	"cmp"
	"math"
	"time"

	"brackenbend/internal/simulation/rolesim"
	"brackenbend/roles"
)

// defaultChangeTime is how long a change of role takes from its command on where the scenario doesn't say it.
const defaultChangeTime = 10 * time.Second

// foreseenPolicy moves engines by a schedule that was computed beforehand. It implements planner.Policy.
type foreseenPolicy struct {
	run      *run
	lead     time.Duration // by which changes are begun before they are needed
	schedule rolesim.Schedule
	start    time.Duration // of the schedule, by the record's clock
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

// demandSecond is the demand seen in one second of an earlier run.
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
	for t := 1; t < seconds; t++ { // while the planner was stopped nothing was sampled
		if demand[t].samples == 0 {
			demand[t] = demand[t-1]
		}
	}
	return demand
}

// mean is the mean demand of the t-th second.
func (d demandBySecond) mean(t int) (prefill, decode float64) {
	samples := math.Max(d[t].samples, 1)
	return d[t].prefill / samples, d[t].decode / samples
}
