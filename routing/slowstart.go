package routing

import (
	"math"
	"time"
)

const (
	// An endpoint in slow start is sent up to slowStartFraction of its overload limit, but no more than
	// maxSlowStartShare of its even share by current capacity. The margins are for requests that arrive
	// unevenly, and for replicas that don't coordinate, so that the sum of their sends varies randomly.
	slowStartFraction = 0.5
	maxSlowStartShare = 0.7
	// minSlowStartBudget is the budget below which the probability of a send is computed by its limit for a
	// budget of 0, since the exact formula divides by the budget.
	minSlowStartBudget = 0.01

	// slowStartSeed makes the random draws of slow start independent of others for the same request.
	slowStartSeed = 1
)

func (r *Router) inSlowStart(b *backend) bool {
	return r.config.SlowStartFor > 0 && b.StartedAt > 0 && r.now-b.StartedAt < r.config.SlowStartFor
}

// capacityFraction is the fraction of its full capacity that an endpoint is assumed to have: it grows
// linearly from SlowStartFrom to 1 during slow start.
func (r *Router) capacityFraction(b *backend) float64 {
	if !r.inSlowStart(b) {
		return 1
	}
	running := float64(max(r.now-b.StartedAt, 0))
	return r.config.SlowStartFrom + (1-r.config.SlowStartFrom)*running/float64(r.config.SlowStartFor)
}

// slowStartAllows reports whether an endpoint in slow start may be sent the request. Replicas don't
// coordinate, so each has its own budget of sends to the endpoint per window of OverloadAfter: a fraction of
// what it sends a warm endpoint in that time. With a budget of one or more, the replica counts its sends.
// With a smaller one, it sends at most one request, with a probability that makes the mean over all replicas
// right. The draw is the same at all endpoints for a request: with a draw for each endpoint, some endpoint
// would nearly always accept the request when a whole role has restarted, and all of them would be
// overloaded.
func (r *Router) slowStartAllows(b *backend, req *request) bool {
	if !r.inSlowStart(b) {
		return true
	}
	b.load.dropOldSlowStartSends(r.now, r.config.OverloadAfter)
	stats := &r.backends.roles[b.role]
	share := min(maxSlowStartShare, slowStartFraction*r.config.OverloadFactor) * r.capacityFraction(b)
	budget := float64(share * stats.rate * r.config.OverloadAfter.Seconds())
	if budget >= 1 || len(b.load.slowStartSends) > 0 {
		return float64(len(b.load.slowStartSends)+1) <= budget
	}
	// offeredShares is how many even shares of the requests this endpoint is offered: retries add to them,
	// and an idle endpoint, which ranks first, is offered those of endpoints that are not idle.
	offeredShares := float64(1+len(req.attempts)) - boolToFloat(req.state.backend != nil)
	if b.role != RolePrefill && b.load.attempts == 0 {
		offeredShares *= stats.listed / max(stats.idle, 1)
	}
	probability := 1 - math.Exp(-share/offeredShares)
	if budget > minSlowStartBudget {
		probability = 1 - math.Pow(1-budget, share/offeredShares/budget)
	}
	return uniform(r.seed+slowStartSeed, uint64(req.ID)) < probability
}

// dropOldSlowStartSends drops the sends that are older than a window.
func (l *load) dropOldSlowStartSends(now, window time.Duration) {
	for len(l.slowStartSends) > 0 && now-l.slowStartSends[0] > window {
		l.slowStartSends = l.slowStartSends[1:]
	}
}
