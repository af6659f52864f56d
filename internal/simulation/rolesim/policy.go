package rolesim

import (
	"math"
	"time"

	"brackenbend/roles"
)

// Fixed keeps so many readers for ever.
type Fixed int

// Start implements Policy.
func (f Fixed) Start(*Scenario) int { return int(f) }

// Step implements Policy.
func (Fixed) Step(time.Duration, []roles.Engine, []roles.Replica) roles.Plan { return roles.Plan{} }

// Planned runs the planner of package roles, from a given number of readers.
type Planned struct {
	Readers  int
	Settings roles.Config
	Restart  time.Duration // it is started anew so often; 0 = never
	Forgets  bool          // then, what it had learned, rather than to go on from it
	p        *roles.Planner
	Last     roles.Plan
}

// Start implements Policy.
func (p *Planned) Start(*Scenario) int {
	p.p = p.fresh()
	return p.Readers
}

func (p *Planned) fresh() *roles.Planner {
	n, err := roles.New(p.Settings)
	if err != nil {
		panic(err) // settings of a comparison are the program's own
	}
	return n
}

// restart is a planner that ends and another that begins at once.
func (p *Planned) restart(now time.Duration) {
	next := p.fresh()
	if m, ok := p.p.Memory(); ok && !p.Forgets {
		if err := next.Restore(m, 0, now); err != nil {
			panic(err) // a planner's own memory is taken by its like
		}
	}
	p.p = next
}

// Step implements Policy.
func (p *Planned) Step(now time.Duration, engines []roles.Engine, fronts []roles.Replica) roles.Plan {
	if p.Restart > 0 && now%p.Restart == 0 {
		p.restart(now)
	}
	p.Last = p.p.Step(now, engines, fronts)
	return p.Last
}

// Clairvoyant knows the work of every second beforehand. It follows the cheapest course of readers under the same prices as
// the planner, each change begun as long ahead as it takes, with no bound on how often or how many.
type Clairvoyant struct {
	LeadTime time.Duration // how long a change takes; 0 = 8 s
	Price    float64       // of a change; 0 = 10 engine seconds
	course   Schedule
}

// Start implements Policy.
func (p *Clairvoyant) Start(s *Scenario) int {
	if p.LeadTime == 0 {
		p.LeadTime = 8 * time.Second
	}
	if p.Price == 0 {
		p.Price = 10
	}
	n := float64(s.Engines)
	p.course = CheapestSchedule(s.Engines, int(s.Length.Seconds())+1, p.Price, func(t int) (float64, float64) {
		a, b := s.Asked(time.Duration(t) * time.Second)
		return a * n, b * n
	})
	return p.course[0]
}

// Step implements Policy.
func (p *Clairvoyant) Step(now time.Duration, engines []roles.Engine, _ []roles.Replica) roles.Plan {
	return p.course.Step(now+p.LeadTime, engines)
}

// Schedule is how many readers are wanted in each second.
type Schedule []int

// CheapestSchedule finds the course with the least sum of stage cost and price of changes (each in engine seconds), by dynamic
// programming, where asked tells the work of a second in engines.
func CheapestSchedule(engines, seconds int, price float64, asked func(t int) (reading, writing float64)) Schedule {
	n := engines - 1 // states are 1 to n readers
	cost := make([]float64, n)
	from := make([][]int32, seconds)
	for t := range from {
		from[t] = make([]int32, n)
		for i := range from[t] {
			from[t][i] = int32(i)
		}
		if t > 0 {
			for i := 1; i < n; i++ {
				if v := cost[i-1] + price; v < cost[i] {
					cost[i], from[t][i] = v, from[t][i-1]
				}
			}
			for i := n - 2; i >= 0; i-- {
				if v := cost[i+1] + price; v < cost[i] {
					cost[i], from[t][i] = v, from[t][i+1]
				}
			}
		}
		a, b := asked(t)
		for i := range cost {
			cost[i] += roles.Cost(a, b, i+1, engines-i-1)
		}
	}
	best := 0
	for i, v := range cost {
		if v < cost[best] {
			best = i
		}
	}
	course := make(Schedule, seconds)
	for t := seconds - 1; t >= 0; t-- {
		course[t] = best + 1
		best = int(from[t][best])
	}
	return course
}

// Step moves engines to what the course wants at a time.
func (c Schedule) Step(at time.Duration, engines []roles.Engine) roles.Plan {
	want := c[min(max(int(math.Ceil(at.Seconds())), 0), len(c)-1)]
	for _, e := range engines {
		if e.Target == roles.Prefill {
			want--
		}
	}
	from, to := roles.Decode, roles.Prefill
	if want < 0 {
		from, to, want = roles.Prefill, roles.Decode, -want
	}
	var plan roles.Plan
	taken := map[string]bool{}
	for range want {
		best := -1
		for i := range engines {
			e := &engines[i]
			if e.Role == from && e.Target == from && e.Ready && !taken[e.ID] && (best < 0 || e.Outstanding < engines[best].Outstanding) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		taken[engines[best].ID] = true
		plan.Changes = append(plan.Changes, roles.Change{ID: engines[best].ID, Target: to})
	}
	return plan
}
