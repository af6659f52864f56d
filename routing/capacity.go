package routing

import (
	"math"
	"time"
)

const (
	// maxPrefills bounds this replica's attempts in flight at a prefill endpoint.
	maxPrefills = 6
	// maxBacklog bounds this replica's prompt tokens that wait at an endpoint, as the time to prefill them
	// there. Further requests wait in the queue instead, from where they can still go to any endpoint.
	maxBacklog = 300 * time.Millisecond
	// decodeMemoryFraction is the fraction of its share of a decode endpoint's memory that a replica fills;
	// the rest is a reserve for outputs that are longer than expected.
	decodeMemoryFraction = 0.95
	// expectedOutputFraction is the expected length of an output, as a fraction of its maximum.
	expectedOutputFraction = 0.4
	// memorySlack is a tolerance, in tokens, for rounding errors in sums of memory.
	memorySlack = 1
)

// capacityState tracks whether queued requests must be tried again, and bounds the capacity of all endpoints.
type capacityState struct {
	stale        bool          // capacity or the order of endpoints may have changed
	anySlowStart bool          // some endpoint is in slow start, so its capacity grows all the time
	growsAt      time.Duration // next time at which a pause ends or a trial is due; 0 = none
	orderVersion uint64        // incremented when endpoints may be tried in another order
	bounds       capacityBounds
}

// capacityBounds are bounds of the capacity that hold for any request; knownToBeFull uses them.
type capacityBounds struct {
	largestFree     float64 // largest free memory of a decode or mixed endpoint; +Inf if one is idle
	totalFree       float64 // free memory of all decode and mixed endpoints
	prefillAttempts float64 // attempts in flight at prefill endpoints
	mixedMayFit     bool    // some mixed endpoint may have capacity
}

// orderChanged records that endpoints may be tried in another order from now on.
func (r *Router) orderChanged() {
	r.capacity.orderVersion++
	r.capacity.stale = true
}

// refreshCapacity reports whether all queued requests must be tried again, and if so recomputes the capacity
// bounds. Capacity grows with outcomes and updates of the endpoint list (stale), when a pause ends or a trial
// is due (growsAt), and continuously during slow start.
func (r *Router) refreshCapacity() bool {
	c := &r.capacity
	grown := c.growsAt > 0 && r.now >= c.growsAt
	if !c.stale && !c.anySlowStart && !grown {
		return false
	}
	if grown {
		c.orderVersion++
	}
	*c = capacityState{orderVersion: c.orderVersion}
	r.affinity.usablePrefills = 0
	for _, b := range r.backends.sorted {
		if b.listed {
			r.addCapacity(b)
		}
	}
	r.affinity.refreshSpread(c.orderVersion)
	return true
}

// addCapacity adds one listed endpoint to the capacity bounds.
func (r *Router) addCapacity(b *backend) {
	c := &r.capacity
	c.anySlowStart = c.anySlowStart || r.inSlowStart(b)
	for _, at := range [2]time.Duration{b.load.pausedUntil, b.health.trialAt} {
		if at > r.now && (c.growsAt == 0 || at < c.growsAt) {
			c.growsAt = at
		}
	}
	if b.role == RolePrefill {
		c.bounds.prefillAttempts += float64(b.load.attempts)
		trial := b.load.attempts == 0 && r.now >= b.health.trialAt
		if !b.health.ejected || trial || r.backends.roles[RolePrefill].healthy == 0 {
			r.affinity.usablePrefills++
		}
		return
	}
	if b.load.attempts == 0 {
		c.bounds.largestFree = math.Inf(1) // an idle endpoint accepts a request of any size
	}
	c.bounds.mixedMayFit = c.bounds.mixedMayFit || b.role == RoleMixed && b.mayHaveCapacity(r.now)
	free := r.memoryLimit(b) - b.load.memory
	c.bounds.largestFree = max(c.bounds.largestFree, free)
	c.bounds.totalFree += max(free, 0)
}

// hasCapacity reports whether an endpoint can be sent a further attempt of this replica.
func (r *Router) hasCapacity(b *backend, req *request) bool {
	switch {
	case !r.usable(b, req) || r.now < b.load.pausedUntil:
		return false
	case b.load.attempts == 0:
		return true
	case b.role == RolePrefill && b.load.attempts >= maxPrefills:
		return false
	}
	backlog := b.load.uncached
	if !req.queued.promoted && (b.role == RolePrefill || b.role == RoleMixed && req.state.backend == nil) {
		backlog += b.uncachedTokens(req)
	}
	fits := b.role == RolePrefill || b.load.memory+req.memoryTokens() <= r.memoryLimit(b)
	return fits && backlog*b.pace.perToken <= maxBacklog.Seconds()
}

// mayHaveCapacity is the part of hasCapacity that does not depend on the request.
func (b *backend) mayHaveCapacity(now time.Duration) bool {
	if !b.listed || now < b.load.pausedUntil {
		return false
	}
	if b.load.attempts == 0 {
		return true
	}
	return (b.role != RolePrefill || b.load.attempts < maxPrefills) &&
		b.load.uncached*b.pace.perToken <= maxBacklog.Seconds()
}

// usable reports whether an endpoint may be sent a request at all. An ejected endpoint gets one trial at a
// time, unless all endpoints of its role are ejected: then all of them are used. A trial that decodes is only
// given to a request of an idempotent class.
func (r *Router) usable(b *backend, req *request) bool {
	if !b.listed || !r.slowStartAllows(b, req) {
		return false
	}
	trial := b.load.attempts == 0 && r.now >= b.health.trialAt &&
		(b.role == RolePrefill || req.class.Idempotency == Idempotent)
	return !b.health.ejected || trial || r.backends.roles[b.role].healthy == 0
}

// memoryLimit is how much of an endpoint's memory this replica may fill, in tokens.
func (r *Router) memoryLimit(b *backend) float64 {
	memory := r.config.Kinds[b.Kind].Memory
	if memory == 0 {
		return math.MaxInt64
	}
	return memory * decodeMemoryFraction / float64(r.config.Replicas) * r.capacityFraction(b)
}

// memoryTokens is the memory that the request is expected to take while it is decoded, in tokens.
func (req *request) memoryTokens() float64 {
	return req.PromptTokens + float64(expectedOutputFraction*req.MaxOutputTokens)
}

// decodeHasCapacity reports whether the endpoints that decode have capacity for the request beyond what the
// prefills in flight will take, each counted as large as this request.
func (r *Router) decodeHasCapacity(req *request) bool {
	prefilling, free, found := 0.0, 0.0, false
	for _, b := range r.backends.sorted {
		if b.role == RolePrefill {
			prefilling += float64(float64(b.load.attempts) * req.memoryTokens())
		} else if r.hasCapacity(b, req) {
			found = true
			free += r.memoryLimit(b) - b.load.memory
		}
	}
	return found && free > prefilling
}

// knownToBeFull reports whether placeQueued is certain to fail, without the cost of trying it: because the
// endpoints that decode lack free memory, or because the prefill endpoints that would be tried are still as
// full as at the last try. A request that is not yet counted at the endpoint that it prefers is tried
// nevertheless if the try may count it.
func (r *Router) knownToBeFull(req *request) bool {
	need, bounds := req.memoryTokens(), &r.capacity.bounds
	mixed := r.backends.roles[RoleMixed].listed > 0
	prefillsFillMemory := !mixed && r.backends.roles[RolePrefill].listed > 0 &&
		need*bounds.prefillAttempts > bounds.totalFree+memorySlack
	if need > bounds.largestFree+memorySlack || prefillsFillMemory {
		return req.choices.counted || !mixed
	}
	unchanged := req.choices.fullVersion == r.capacity.orderVersion
	if !req.choices.counted || bounds.mixedMayFit || r.capacity.anySlowStart || !unchanged {
		return false
	}
	for _, b := range req.choices.full {
		if b.mayHaveCapacity(r.now) && r.hasCapacity(b, req) {
			return false
		}
	}
	return true
}
