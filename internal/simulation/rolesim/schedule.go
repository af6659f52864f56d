package rolesim

import (
	"math"
	"time"

	"brackenbend/roles"
)

// Schedule is the desired number of prefill engines in each second.
type Schedule []int

// CheapestSchedule finds the schedule with the lowest sum of stage costs and prices of changes (in engine seconds), by
// dynamic programming. demand returns the work of a second, in engines; price is that of the change of one engine.
func CheapestSchedule(engines, seconds int, price float64, demand func(second int) (prefill, decode float64)) Schedule {
	cost := make([]float64, engines-1) // of the cheapest schedule that ends with i+1 prefill engines, by i
	previous := make([][]int32, seconds)
	for second := range previous {
		previous[second] = make([]int32, len(cost))
		for i := range previous[second] {
			previous[second][i] = int32(i)
		}
		if second > 0 {
			relaxCosts(cost, previous[second], price)
		}
		prefill, decode := demand(second)
		for i := range cost {
			cost[i] += roles.Cost(prefill, decode, i+1, engines-i-1)
		}
	}
	best := 0
	for i, c := range cost {
		if c < cost[best] {
			best = i
		}
	}
	schedule := make(Schedule, seconds)
	for second := seconds - 1; second >= 0; second-- {
		schedule[second] = best + 1
		best = int(previous[second][best])
	}
	return schedule
}

// relaxCosts lowers the cost of each number of engines to that of any other number plus the price of the changes from
// there, where this is less, and sets the previous number accordingly.
func relaxCosts(cost []float64, previous []int32, price float64) {
	for i := 1; i < len(cost); i++ {
		if c := cost[i-1] + price; c < cost[i] {
			cost[i], previous[i] = c, previous[i-1]
		}
	}
	for i := len(cost) - 2; i >= 0; i-- {
		if c := cost[i+1] + price; c < cost[i] {
			cost[i], previous[i] = c, previous[i+1]
		}
	}
}

// Step returns the changes that reach the schedule's number of prefill engines at a time.
func (s Schedule) Step(at time.Duration, engines []roles.Engine) roles.Plan {
	changes := s[min(max(int(math.Ceil(at.Seconds())), 0), len(s)-1)]
	for _, e := range engines {
		if e.Target == roles.Prefill {
			changes--
		}
	}
	from, to := roles.Decode, roles.Prefill
	if changes < 0 {
		from, to, changes = roles.Prefill, roles.Decode, -changes
	}
	var plan roles.Plan
	selected := map[string]bool{}
	for range changes {
		e := leastBusy(engines, from, selected)
		if e == nil {
			break
		}
		selected[e.ID] = true
		plan.Changes = append(plan.Changes, roles.Change{ID: e.ID, Target: to})
	}
	return plan
}

// leastBusy returns the engine with the fewest outstanding requests among those that are ready in a role, have no
// change pending and are not in selected; nil if there is none.
func leastBusy(engines []roles.Engine, role roles.Role, selected map[string]bool) (best *roles.Engine) {
	for i := range engines {
		e := &engines[i]
		if e.Role != role || e.Target != role || !e.Ready || selected[e.ID] {
			continue
		}
		if best == nil || e.Outstanding < best.Outstanding {
			best = e
		}
	}
	return best
}
