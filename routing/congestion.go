package routing

import (
	"math"
	"time"
)

// A prefill ratio is the time that a prefill took, divided by the latency objective of its request.
const (
	// targetPrefillRatio is the prefill ratio that the controller aims at.
	targetPrefillRatio = 0.5
	// rejectedPrefillRatio is the prefill ratio that a rejected prefill counts as: a rejection means that the
	// endpoint's queue is full.
	rejectedPrefillRatio = 4.0
	// admissionDecreaseRate is the relative decrease of the admission level per second, for each unit by
	// which the prefill ratio exceeds the target.
	admissionDecreaseRate = 0.3
	// admissionIncreaseRate is the absolute increase of the admission level per second, for each unit by
	// which the prefill ratio is below the target.
	admissionIncreaseRate = 0.1
	// Recovery speeds up once no prefill has reached the target for fastRecoveryDelay. The first
	// fastRecoveryPrefills prefills after that leave the increase as it is; each further one doubles it, at
	// most maxIncreaseDoublings times.
	fastRecoveryDelay    = 1500 * time.Millisecond
	fastRecoveryPrefills = 3
	maxIncreaseDoublings = 5
	// maxPrefillInterval bounds the time for which one prefill moves the admission level: a prefill that ends
	// after a long time without one may not be typical of that time.
	maxPrefillInterval = time.Second
	// If no prefill ends for idleRecoveryDelay, the admission level rises by idleRecoveryRate per second.
	// Otherwise a replica with little traffic that sheds most of it would have no prefills that show the end
	// of the congestion.
	idleRecoveryDelay = 8 * time.Second
	idleRecoveryRate  = 0.05
	// minAdmissionLevel keeps some prefills running, since only their times show when congestion ends.
	minAdmissionLevel = 0.1

	// congestionSeed makes the random draws of congestion control independent of other draws for the request.
	congestionSeed = 3
)

// congestionController sets the fraction of new requests that is rejected on arrival because prefill
// endpoints are congested, by additive increase and multiplicative decrease (AIMD) of the admission level.
//
// Where many replicas share the prefill endpoints, a replica stays below its own limits at each endpoint and
// queues nothing. It notices the load of the other replicas only by its own prefill times and by rejections.
// All replicas see the same endpoint queues, and a multiplicative decrease lowers the higher admission levels
// by more, so the levels of all replicas converge. With a multiplicative increase they would stay apart.
type congestionController struct {
	shedFraction    float64       // 1 - admission level at observedAt; 0 = all requests are admitted
	observedAt      time.Duration // end of the last prefill that was observed
	congestedAt     time.Duration // when a prefill last reached the target ratio
	belowTarget     int           // prefills since fastRecoveryDelay after congestedAt
	uncachedLengths promptLengths // uncached tokens of recent prompts, estimated by their prefixes
}

// observe adjusts the admission level by the prefill ratio of a prefill that has ended.
func (c *congestionController) observe(now time.Duration, ratio float64) {
	shedFraction := c.shedFractionAt(now)
	interval := min(now-c.observedAt, maxPrefillInterval).Seconds()
	c.observedAt = now
	level, excess := 1-shedFraction, ratio-targetPrefillRatio
	if excess >= 0 {
		c.belowTarget, c.congestedAt = 0, now
		level *= math.Exp(-admissionDecreaseRate * excess * interval)
	} else {
		if now-c.congestedAt >= fastRecoveryDelay {
			c.belowTarget++
		}
		doublings := min(max(c.belowTarget-fastRecoveryPrefills, 0), maxIncreaseDoublings)
		level -= float64(admissionIncreaseRate * math.Exp2(float64(doublings)) * excess * interval)
	}
	c.shedFraction = 1 - min(max(level, minAdmissionLevel), 1)
}

// shedFractionAt returns the fraction to be shed at a time, with the recovery while no prefill ends.
func (c *congestionController) shedFractionAt(now time.Duration) float64 {
	idle := max(now-c.observedAt-idleRecoveryDelay, 0).Seconds()
	return max(c.shedFraction-float64(idleRecoveryRate*idle), 0)
}

// tokenBudget returns the length in tokens, including promptOverhead, up to which all prompts are admitted
// while a fraction above 0 is shed.
func (c *congestionController) tokenBudget(shedFraction float64) float64 {
	return (c.uncachedLengths.mean() + promptOverhead) * (1 - shedFraction) / shedFraction
}

// observePrefillTime passes the prefill ratio of an attempt that has ended to the congestion controller.
func (r *Router) observePrefillTime(req *request, event Outcome) {
	objective := req.objectiveAt() - req.arrivedAt
	if objective <= 0 {
		return
	}
	ratio := event.Elapsed.Seconds() / objective.Seconds()
	switch event.Result {
	case PrefillDone:
		req.congested = req.congested || ratio > targetPrefillRatio
	case TimedOut:
		ratio = max(ratio, targetPrefillRatio) // the prefill would have taken longer than the time-out
		req.congested = true
	case Rejected:
		ratio = rejectedPrefillRatio
	default:
		return
	}
	r.admission.congestion.observe(r.now, ratio)
}

// shedForCongestion draws whether a new request is rejected because the prefill endpoints are congested. It
// also records the uncached length of the prompt; requests shed for other reasons are not recorded.
func (r *Router) shedForCongestion(req *request) bool {
	c := &r.admission.congestion
	uncached := max(req.PromptTokens-req.PrefixTokens, 0)
	c.uncachedLengths.add(uncached)
	shedFraction := c.shedFractionAt(r.now)
	if shedFraction == 0 {
		return false
	}
	return uniform(r.seed+congestionSeed, uint64(req.ID)) >=
		c.uncachedLengths.admissionProbability(uncached, c.tokenBudget(shedFraction))
}
