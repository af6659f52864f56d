package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// shedAdjustRate is how fast the shed fraction changes: the change per second of the logarithm of the
	// admitted fraction, for an adjustment of 1.
	shedAdjustRate = 0.45
	// recoveryFactor is how many times more an answer in time raises the admitted fraction than a late answer
	// of no value lowers it.
	recoveryFactor = 1.5
	// maxShedFraction keeps some requests admitted, since only their answers show the end of the overload.
	maxShedFraction = 0.9
	// maxTimelyInterval and maxLateInterval bound the time since the last answer for which an answer in time,
	// or a late one, adjusts the shed fraction. After a long time without answers a late one may be an
	// exception.
	maxTimelyInterval = 3 * time.Second
	maxLateInterval   = 1 * time.Second
	// rejectionHold is how long the shed fraction does not fall after an endpoint rejected an attempt:
	// answers in time then belong to requests sent before the endpoints' queues filled up.
	rejectionHold = 2 * time.Second
	// maxShedBias bounds the factor by which a request is more, or less, likely to be shed than the average,
	// so that no class and no prompt length is rejected altogether.
	maxShedBias = 6.0
	// meanValueWeight is the weight of the newest request in the moving average of values.
	meanValueWeight = 0.02
	// valueOverheadTokens is added to the uncached prompt tokens when a request's value is divided by its
	// work, since even the shortest request takes some work.
	valueOverheadTokens = 200
	// overloadShedFraction is the shed fraction above which requests that have missed their latency objective
	// are given up.
	overloadShedFraction = 0.1

	// shedSeed makes the random draws of load shedding independent of other draws for the request.
	shedSeed = 2
)

// loadShedder sets the fraction of new requests that is rejected on arrival because of overload. If most
// answers come late, the load exceeds what the endpoints can answer in time, whether because of a surge or
// because endpoints are gone, slow or starting. Queueing the excess would make all answers late, so the
// fraction rises until the admitted requests are answered in time. Where a lower load does not make the
// remaining answers faster, shedding loses answers without any gain.
type loadShedder struct {
	shedFraction float64
	updatedAt    time.Duration // time of the last observed answer
	rejectedAt   time.Duration // when an endpoint last rejected an attempt
	meanValue    float64       // moving average of the values of requests
}

// observe adjusts the shed fraction by whether an answer met its latency objective. The adjustment is
// proportional to the time since the last answer, so that replicas with few and with many requests adjust
// equally fast.
func (s *loadShedder) observe(now time.Duration, class *Class, late bool) {
	elapsed, adjustment := min(now-s.updatedAt, maxTimelyInterval).Seconds(), -recoveryFactor
	switch {
	case late:
		elapsed, adjustment = min(elapsed, maxLateInterval.Seconds()), 1-class.LateWeight
	case now-s.rejectedAt < rejectionHold:
		adjustment = 0
	}
	s.updatedAt = now
	admitted := float64((1 - s.shedFraction) * math.Exp(-shedAdjustRate*elapsed*adjustment))
	s.shedFraction = min(max(1-admitted, 0), maxShedFraction)
}

// shedBias returns how many times more likely than the average a request of the given value is shed: the mean
// value divided by its own, within maxShedBias.
func (s *loadShedder) shedBias(value float64) float64 {
	s.meanValue = cmp.Or(s.meanValue, value)
	s.meanValue += float64(meanValueWeight * (value - s.meanValue))
	return min(max(s.meanValue/max(value, 1e-9), 1/maxShedBias), maxShedBias)
}

// shedForOverload draws whether a new request is rejected because of overload. The draw depends on the
// request's id only, so that shedding does not single out sessions, prefixes or tenants.
func (r *Router) shedForOverload(req *request) bool {
	probability := r.admission.shedder.shedFraction * r.admission.shedder.shedBias(r.requestValue(req))
	return uniform(r.seed+shedSeed, uint64(req.ID)) < probability
}

// requestValue returns the priority weight of a request per unit of work, or the configured weight itself
// where that already is per unit of work. Requests beyond their tenant's quota are worth a fraction of it.
func (r *Router) requestValue(req *request) float64 {
	value := cmp.Or(req.class.PriorityWeight, 1)
	if !r.config.WeightByWork {
		value /= max(req.PromptTokens-req.PrefixTokens, 0) + valueOverheadTokens
	}
	if req.queued.overQuota {
		value *= r.config.OverQuotaWeight
	}
	return value
}

// objectiveMissedInOverload reports whether a request has missed its latency objective during overload. It is
// then given up, so that its capacity goes to requests that can still be answered in time.
func (r *Router) objectiveMissedInOverload(req *request) bool {
	return r.admission.shedder.shedFraction > overloadShedFraction && r.now >= req.objectiveAt()
}
