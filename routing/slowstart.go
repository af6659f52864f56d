package routing

import (
	"math"
	"time"
)

const (
	// slowStartFraction is the part of its overload limit up to which an endpoint in slow start is sent, and
	// maxSlowStartShare the part of its even share of present capacity: requests come unevenly, and replicas
	// that don't talk to each other leave some to chance.
	slowStartFraction = 0.5
	maxSlowStartShare = 0.7
	// minSlowStartBudget is the budget below which the chance of a send is computed by its limit, as the
	// exact form divides by the budget.
	minSlowStartBudget = 0.01

	// slowStartSeed separates the draws of slow start from others of the same request.
	slowStartSeed = 1
)

func (r *Router) inSlowStart(b *backend) bool {
	return r.config.SlowStartFor > 0 && b.StartedAt > 0 && r.now-b.StartedAt < r.config.SlowStartFor
}

// presentCapacity is the part of its capacity that an endpoint is taken to have: it grows evenly in slow
// start.
func (r *Router) presentCapacity(b *backend) float64 {
	if !r.inSlowStart(b) {
		return 1
	}
	running := float64(max(r.now-b.StartedAt, 0))
	return r.config.SlowStartFrom + (1-r.config.SlowStartFrom)*running/float64(r.config.SlowStartFor)
}

// slowStartAllows keeps an endpoint in slow start within its budget though replicas don't talk to each other:
// it may get the part of a warm peer's work that it can do. Where this replica's part of that is a request or
// more in a window it counts them. Below one it sends one at most, for requests whose draw is under a chance
// that makes the mean right over all replicas. The draw is the request's, or a role that restarted as a whole
// would fill up too.
func (r *Router) slowStartAllows(b *backend, req *request) bool {
	if !r.inSlowStart(b) {
		return true
	}
	b.load.dropWarmUpSends(r.now, r.config.OverloadAfter)
	stats := &r.backends.roles[b.role]
	share := min(maxSlowStartShare, slowStartFraction*r.config.OverloadFactor) * r.presentCapacity(b)
	budget := share * stats.rate * r.config.OverloadAfter.Seconds()
	if budget >= 1 || len(b.load.warmUpSends) > 0 {
		return float64(len(b.load.warmUpSends)+1) <= budget
	}
	// The even shares of work that come here: retries, and work drawn by an idle endpoint.
	attraction := float64(1+len(req.attempts)) - boolToFloat(req.state.backend != nil)
	if b.role != RolePrefill && b.load.attempts == 0 {
		attraction *= stats.listed / max(stats.idle, 1)
	}
	chance := 1 - math.Exp(-share/attraction)
	if budget > minSlowStartBudget {
		chance = 1 - math.Pow(1-budget, share/attraction/budget)
	}
	return uniform(r.seed+slowStartSeed, uint64(req.ID)) < chance
}

// dropWarmUpSends forgets the sends that are older than a window.
func (l *load) dropWarmUpSends(now, window time.Duration) {
	for len(l.warmUpSends) > 0 && now-l.warmUpSends[0] > window {
		l.warmUpSends = l.warmUpSends[1:]
	}
}
