package rolesim

import (
	"cmp"
	"time"

	"brackenbend/roles"
)

// Fixed keeps a number of prefill engines for ever.
type Fixed int

// Start implements Policy.
func (f Fixed) Start(*Scenario) int { return int(f) }

// Step implements Policy.
func (Fixed) Step(time.Duration, []roles.Engine, []roles.Replica) roles.Plan { return roles.Plan{} }

// BestFixed searches the split with the best service.
func BestFixed(s Scenario) (prefill int, best *Result) {
	// Service by the number of prefill engines has one peak by and large: a coarse search, then finer ones around the
	// best.
	step := max(s.Engines/8, 1)
	played := map[int]*Result{}
	try := func(n int) {
		if n >= 1 && n < s.Engines && played[n] == nil {
			played[n] = Run(s, Fixed(n))
			if best == nil || played[n].Service() > best.Service() {
				prefill, best = n, played[n]
			}
		}
	}
	for n := step; n < s.Engines; n += step {
		try(n)
	}
	for step > 1 {
		step = max(step/2, 1)
		center := prefill
		try(center - step)
		try(center + step)
	}
	return prefill, best
}

// Planned runs the planner of package roles, from a given number of prefill engines.
type Planned struct {
	Prefill      int
	Config       roles.Config
	RestartEvery time.Duration // the planner's process; 0 = never
	LosesMemory  bool          // a restart loses what the planner had learned

	planner *roles.Planner
}

// Start implements Policy.
func (p *Planned) Start(*Scenario) int {
	p.planner = p.newPlanner()
	return p.Prefill
}

func (p *Planned) newPlanner() *roles.Planner {
	planner, err := roles.New(p.Config)
	if err != nil {
		panic(err) // the configuration of a comparison was validated
	}
	return planner
}

// restart replaces the planner by a new one.
func (p *Planned) restart(now time.Duration) {
	next := p.newPlanner()
	if memory, ok := p.planner.Memory(); ok && !p.LosesMemory {
		if err := next.Restore(memory, 0, now); err != nil {
			panic(err) // the memory of a planner is valid for another
		}
	}
	p.planner = next
}

// Step implements Policy.
func (p *Planned) Step(now time.Duration, engines []roles.Engine, replicas []roles.Replica) roles.Plan {
	if p.RestartEvery > 0 && now%p.RestartEvery == 0 {
		p.restart(now)
	}
	return p.planner.Step(now, engines, replicas)
}

// Clairvoyant knows the demand of every second beforehand. It follows the cheapest schedule under the same costs as the
// planner, each change begun ahead by the time that it takes, without a bound on how often or how many.
type Clairvoyant struct {
	LeadTime time.Duration // that a change takes; 0 = 8 s
	Price    float64       // of a change; 0 = 10 engine seconds
	schedule Schedule
}

const (
	defaultLeadTime = 8 * time.Second
	defaultPrice    = 10 // engine seconds
)

// Start implements Policy.
func (c *Clairvoyant) Start(s *Scenario) int {
	c.LeadTime = cmp.Or(c.LeadTime, defaultLeadTime)
	c.Price = cmp.Or(c.Price, defaultPrice)
	engines := float64(s.Engines)
	demand := func(second int) (float64, float64) {
		prefill, decode := s.Demand(time.Duration(second) * time.Second)
		return prefill * engines, decode * engines
	}
	c.schedule = CheapestSchedule(s.Engines, int(s.Length.Seconds())+1, c.Price, demand)
	return c.schedule[0]
}

// Step implements Policy.
func (c *Clairvoyant) Step(now time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return c.schedule.Step(now+c.LeadTime, engines)
}
