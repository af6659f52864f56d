package routing

import (
	"math"
	"time"
)

const (
	// maxPrefills bounds this replica's attempts at a prefill endpoint.
	maxPrefills = 6
	// maxBacklog bounds this replica's prompt tokens waiting at an endpoint, as time to prefill them there: a
	// request waits better in the queue, where it can still go elsewhere.
	maxBacklog = 300 * time.Millisecond
	// decodeMemoryFraction is the part of its share of a decode endpoint's memory that a replica fills; the
	// rest is for outputs longer than expected.
	decodeMemoryFraction = 0.95
	// expectedOutputFraction is the expected length of an output, as a part of its maximum.
	expectedOutputFraction = 0.4
	// memorySlack lets sums of tokens differ by rounding.
	memorySlack = 1
)

// capacityState says whether queued requests must be tried again, and sums up the capacity of all endpoints.
type capacityState struct {
	stale        bool          // capacity or the order of endpoints may have changed
	anySlowStart bool          // some endpoint is in slow start, so its capacity grows all the time
	growsAt      time.Duration // capacity may grow by time alone then; 0 = not
	orderVersion uint64        // changes with the order in which endpoints are tried
	bounds       capacityBounds
}

// capacityBounds are what capacity there is at most, whatever the request.
type capacityBounds struct {
	largestFree float64 // of decode endpoints: the most free memory of one
	totalFree   float64 // of decode endpoints: the free memory of all
	prefills    float64 // attempts at prefill endpoints
	mixed       bool    // some mixed endpoint may have capacity
}

// orderChanged notes that endpoints may be tried in another order from now on.
func (r *Router) orderChanged() {
	r.capacity.orderVersion++
	r.capacity.stale = true
}

// refreshCapacity reports that all queued requests must be tried again, and then sums up the capacity. It
// grows by outcomes and by updates of the list (stale), by the end of a pause, and all the time during slow
// start.
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

// addCapacity adds one endpoint to the summed capacity.
func (r *Router) addCapacity(b *backend) {
	c := &r.capacity
	c.anySlowStart = c.anySlowStart || r.inSlowStart(b)
	for _, at := range [2]time.Duration{b.load.fullUntil, b.health.trialAt} {
		if at > r.now && (c.growsAt == 0 || at < c.growsAt) {
			c.growsAt = at
		}
	}
	if b.role == RolePrefill {
		c.bounds.prefills += float64(b.load.attempts)
		trial := b.load.attempts == 0 && r.now >= b.health.trialAt
		if !b.health.ejected || trial || r.backends.roles[RolePrefill].healthy == 0 {
			r.affinity.usablePrefills++
		}
		return
	}
	if b.load.attempts == 0 {
		c.bounds.largestFree = math.Inf(1) // an idle endpoint takes any request
	}
	c.bounds.mixed = c.bounds.mixed || b.role == RoleMixed && b.mayHaveCapacity(r.now)
	free := r.memoryLimit(b) - b.load.memory
	c.bounds.largestFree = max(c.bounds.largestFree, free)
	c.bounds.totalFree += max(free, 0)
}

// hasCapacity reports that an endpoint takes a further attempt of this replica.
func (r *Router) hasCapacity(b *backend, req *request) bool {
	switch {
	case !r.usable(b, req) || r.now < b.load.fullUntil:
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

// mayHaveCapacity is what hasCapacity asks of the endpoint alone.
func (b *backend) mayHaveCapacity(now time.Duration) bool {
	if !b.listed || now < b.load.fullUntil {
		return false
	}
	if b.load.attempts == 0 {
		return true
	}
	return (b.role != RolePrefill || b.load.attempts < maxPrefills) &&
		b.load.uncached*b.pace.perToken <= maxBacklog.Seconds()
}

// usable reports that an endpoint may be sent to at all. An ejected one takes one trial at a time, unless all
// of its role are ejected: then the least bad serve.
func (r *Router) usable(b *backend, req *request) bool {
	if !b.listed || !r.slowStartAllows(b, req) {
		return false
	}
	trial := b.load.attempts == 0 && r.now >= b.health.trialAt &&
		(b.role == RolePrefill || req.class.Idempotency == Idempotent)
	return !b.health.ejected || trial || r.backends.roles[b.role].healthy == 0
}

// memoryLimit is the part of an endpoint's memory that this replica may fill, in tokens.
func (r *Router) memoryLimit(b *backend) float64 {
	memory := r.config.Kinds[b.Kind].Memory
	if memory == 0 {
		return math.MaxInt64
	}
	return memory * decodeMemoryFraction / float64(r.config.Replicas) * r.presentCapacity(b)
}

// memoryTokens is what the request takes of a decode endpoint's memory.
func (req *request) memoryTokens() float64 {
	return req.PromptTokens + expectedOutputFraction*req.MaxOutputTokens
}

// decodeHasCapacity reports that some endpoint that decodes has capacity beyond what is being prefilled for
// it now.
func (r *Router) decodeHasCapacity(req *request) bool {
	prefilling, free, found := 0.0, 0.0, false
	for _, b := range r.backends.sorted {
		if b.role == RolePrefill {
			prefilling += float64(b.load.attempts) * req.memoryTokens()
		} else if r.hasCapacity(b, req) {
			found = true
			free += r.memoryLimit(b) - b.load.memory
		}
	}
	return found && free > prefilling
}

// knownToBeFull reports that placeQueued can't succeed, without the cost of trying: no decode endpoint has
// that much free memory, or the prefill endpoints that would be tried are as full as when they were tried
// last. A request that was never counted at its preferred endpoint is tried.
func (r *Router) knownToBeFull(req *request) bool {
	need, bounds := req.memoryTokens(), &r.capacity.bounds
	mixed := r.backends.roles[RoleMixed].listed > 0
	prefillsFillMemory := !mixed && r.backends.roles[RolePrefill].listed > 0 &&
		need*bounds.prefills > bounds.totalFree+memorySlack
	if need > bounds.largestFree+memorySlack || prefillsFillMemory {
		return req.choices.counted || !mixed
	}
	unchanged := req.choices.fullVersion == r.capacity.orderVersion
	if !req.choices.counted || bounds.mixed || r.capacity.anySlowStart || !unchanged {
		return false
	}
	for _, b := range req.choices.full {
		if b.mayHaveCapacity(r.now) && r.hasCapacity(b, req) {
			return false
		}
	}
	return true
}
