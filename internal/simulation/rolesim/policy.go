package rolesim

import (
	"cmp"
	"time"

	"brackenbend/roles"
)

// FixedPolicy is a policy that never changes roles. Its value is the number of prefill engines.
type FixedPolicy int

// Start implements Policy.
func (f FixedPolicy) Start(*Scenario) int { return int(f) }

// Step implements Policy.
func (FixedPolicy) Step(time.Duration, []roles.Engine, []roles.Replica) roles.Plan {
	return roles.Plan{}
}

// BestFixedSplit searches for the fixed split with the best service.
func BestFixedSplit(s Scenario) (prefill int, best *Result) {
	// As a function of the number of prefill engines, service has roughly a single maximum. A coarse search is therefore
	// refined around the best split so far.
	step := max(s.Engines/8, 1)
	results := map[int]*Result{}
	run := func(n int) {
		if n >= 1 && n < s.Engines && results[n] == nil {
			results[n] = Run(s, FixedPolicy(n))
			if best == nil || results[n].Service() > best.Service() {
				prefill, best = n, results[n]
			}
		}
	}
	for n := step; n < s.Engines; n += step {
		run(n)
	}
	for step > 1 {
		step = max(step/2, 1)
		center := prefill
		run(center - step)
		run(center + step)
	}
	return prefill, best
}

// PlannerPolicy is a policy that runs the planner of package roles, from a given initial number of prefill engines.
type PlannerPolicy struct {
	PrefillEngines  int
	Config          roles.Config
	RestartInterval time.Duration // of the planner; 0 = no restarts
	DiscardMemory   bool          // a restarted planner does not restore the memory of the previous one

	planner *roles.Planner
}

// Start implements Policy.
func (p *PlannerPolicy) Start(*Scenario) int {
	p.planner = p.newPlanner()
	return p.PrefillEngines
}

func (p *PlannerPolicy) newPlanner() *roles.Planner {
	planner, err := roles.New(p.Config)
	if err != nil {
		panic(err) // callers validate the configuration beforehand
	}
	return planner
}

// restartPlanner replaces the planner with a new one.
func (p *PlannerPolicy) restartPlanner(now time.Duration) {
	next := p.newPlanner()
	if memory, ok := p.planner.Memory(); ok && !p.DiscardMemory {
		if err := next.Restore(memory, 0, now); err != nil {
			panic(err) // a planner's memory is valid for any other planner
		}
	}
	p.planner = next
}

// Step implements Policy.
func (p *PlannerPolicy) Step(now time.Duration, engines []roles.Engine, replicas []roles.Replica) roles.Plan {
	if p.RestartInterval > 0 && now%p.RestartInterval == 0 {
		p.restartPlanner(now)
	}
	return p.planner.Step(now, engines, replicas)
}

// ClairvoyantPolicy is a policy that knows the demand of every second in advance. It follows the cheapest schedule by
// the planner's cost function and begins each change LeadTime early. The number and the frequency of changes are not
// limited.
type ClairvoyantPolicy struct {
	LeadTime    time.Duration // duration of a change; 0 = 8 s
	ChangePrice float64       // of a change; 0 = 10 engine seconds
	schedule    Schedule
}

const (
	defaultLeadTime    = 8 * time.Second
	defaultChangePrice = 10 // engine seconds
)

// Start implements Policy.
func (c *ClairvoyantPolicy) Start(s *Scenario) int {
	c.LeadTime = cmp.Or(c.LeadTime, defaultLeadTime)
	c.ChangePrice = cmp.Or(c.ChangePrice, defaultChangePrice)
	engines := float64(s.Engines)
	demand := func(second int) (float64, float64) {
		prefill, decode := s.Demand(time.Duration(second) * time.Second)
		return prefill * engines, decode * engines
	}
	c.schedule = CheapestSchedule(s.Engines, int(s.Length.Seconds())+1, c.ChangePrice, demand)
	return c.schedule[0]
}

// Step implements Policy.
func (c *ClairvoyantPolicy) Step(now time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return c.schedule.Step(now+c.LeadTime, engines)
}
