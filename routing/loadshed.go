package routing

import (
	"cmp"
	"math"
	"time"
)

const (
	// shedRate is how fast the shed fraction follows: the change of the logarithm of what is admitted,
	// in a second.
	shedRate = 0.45
	// recoveryStep is how much an answer in time raises what is admitted, against what a late one
	// lowers it.
	recoveryStep = 1.5
	// maxShedFraction bounds the shed fraction, so that answers still show when the overload has ended.
	maxShedFraction = 0.9
	// maxSpanInTime and maxSpanLate are for how much time since the last answer one in time, and a late
	// one, counts: a late one after a long silence may be alone.
	maxSpanInTime = 3 * time.Second
	maxSpanLate   = 1 * time.Second
	// rejectionHold is how long after an endpoint rejected an attempt no more is admitted: answers in
	// time then come from requests sent before those that fill the endpoints' queues.
	rejectionHold = 2 * time.Second
	// maxShedBias bounds how many times more, or less, readily than others a request is shed, so that
	// no class or length is shut out.
	maxShedBias = 6.0
	// valueWeight is the weight of the newest request in the mean value.
	valueWeight = 0.02
	// valueOverhead is added to the uncached prompt tokens when a request's value is divided by its
	// work: each request takes some work however short it is.
	valueOverhead = 200
	// overloadShedFraction is the shed fraction from which requests that have missed their objective
	// are given up.
	overloadShedFraction = 0.1

	// shedSeed separates the draws of load shedding from others of the same request.
	shedSeed = 2
)

// loadShedder keeps the fraction of new requests that is rejected on arrival. Where most answers come
// late, more is asked than can be done in time, whatever the cause: a surge, or endpoints gone, slow or
// starting. A queue then makes all answers late, so as many requests are shed as keeps the rest in
// time. It costs answers where less work makes nothing faster.
type loadShedder struct {
	fraction   float64
	updatedAt  time.Duration
	rejectedAt time.Duration // when an endpoint last rejected an attempt
	meanValue  float64       // for each unit of work, over requests
}

// observe moves the fraction by whether an answer met its latency objective. It moves by time passed,
// to be alike in a replica of few requests and of many.
func (s *loadShedder) observe(now time.Duration, class *Class, late bool) {
	elapsed, step := min(now-s.updatedAt, maxSpanInTime).Seconds(), -recoveryStep
	switch {
	case late:
		elapsed, step = min(elapsed, maxSpanLate.Seconds()), 1-class.LateWeight
	case now-s.rejectedAt < rejectionHold:
		step = 0
	}
	s.updatedAt = now
	s.fraction = min(max(1-(1-s.fraction)*math.Exp(-shedRate*elapsed*step), 0), maxShedFraction)
}

// bias is how many times more readily than others a request of a value is shed: by how far its value
// lies below the mean.
func (s *loadShedder) bias(value float64) float64 {
	s.meanValue = cmp.Or(s.meanValue, value)
	s.meanValue += valueWeight * (value - s.meanValue)
	return min(max(s.meanValue/max(value, 1e-9), 1/maxShedBias), maxShedBias)
}

// shouldShed draws whether a new request is rejected. The draw is the request's own, so that no
// session, prefix or tenant is shed more than others.
func (r *Router) shouldShed(req *request) bool {
	chance := r.admission.shedder.fraction * r.admission.shedder.bias(r.value(req))
	return uniform(r.seed+shedSeed, uint64(req.ID)) < chance
}

// value is the priority weight of a request for each unit of the work that it asks for.
func (r *Router) value(req *request) float64 {
	value := cmp.Or(req.class.PriorityWeight, 1)
	if !r.config.WeightByWork {
		value /= max(req.PromptTokens-req.PrefixTokens, 0) + valueOverhead
	}
	if req.queued.overQuota {
		value *= r.config.OverQuotaWeight
	}
	return value
}

// objectiveLost reports that a request has missed its objective while most answers come late: the
// capacity that it would take serves better a request that can be in time.
func (r *Router) objectiveLost(req *request) bool {
	return r.admission.shedder.fraction > overloadShedFraction && r.now >= req.objectiveAt()
}
