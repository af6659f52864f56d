package routing

import (
	"math"
	"time"
)

const (
	// congestionTarget is the part of a latency objective that prefills may take in the mean.
	congestionTarget = 0.5
	// rejectedPrefillTime is what a rejected prefill counts as, in latency objectives: the endpoint's queue
	// is full.
	rejectedPrefillTime = 4.0
	// congestionDecrease is the rate a second at which the admission level falls, for each latency objective
	// that prefills take beyond the target; congestionIncrease is how much it rises a second for each one
	// below it.
	congestionDecrease = 0.3
	congestionIncrease = 0.1
	// Congestion has ended when no prefill was beyond the target for calmTime: after calmBeforeFaster more,
	// each further one doubles the increase, at most maxIncreaseDoublings times.
	calmTime             = 1500 * time.Millisecond
	calmBeforeFaster     = 3
	maxIncreaseDoublings = 5
	// maxCongestionSpan bounds the time since the last prefill for which one counts: it may be alone.
	maxCongestionSpan = time.Second
	// quietAfter is how long no prefill may end before the level rises by itself, by quietIncrease a second:
	// where nearly all is shed and little comes, no prefill would show that congestion has ended.
	quietAfter    = 8 * time.Second
	quietIncrease = 0.05
	// minAdmissionLevel keeps prefills coming, so that they show when congestion ends.
	minAdmissionLevel = 0.1

	// congestionSeed separates these draws from others of the same request.
	congestionSeed = 3
)

// prefillCongestion decides how much a replica admits while other replicas fill the prefill endpoints. A
// replica of many never reaches its own bounds on a prefill endpoint, so it queues nothing; what others send
// shows only in how long its own prefills take and in rejections. Each replica moves its level of admission
// by what its own prefills took: up by a constant, down by a part of itself. All see the same queues, so
// those that admit more come down faster, and all end at about the same level; steps in proportion, both
// ways, would leave them apart.
type prefillCongestion struct {
	shed        float64 // 1 - level of admission, when last observed; 0 = all are admitted
	observedAt  time.Duration
	congestedAt time.Duration // when a prefill last took the target or more
	calm        int           // prefills since calmTime after that
	lengths     promptLengths // uncached, as far as prefixes tell
}

// observe takes how long a prefill took, in latency objectives of its request.
func (c *prefillCongestion) observe(now time.Duration, objectives float64) {
	shed := c.shedAt(now)
	span := min(now-c.observedAt, maxCongestionSpan).Seconds()
	c.observedAt = now
	level, excess := 1-shed, objectives-congestionTarget
	if excess >= 0 {
		c.calm, c.congestedAt = 0, now
		level *= math.Exp(-congestionDecrease * excess * span)
	} else {
		if now-c.congestedAt >= calmTime {
			c.calm++
		}
		doublings := min(max(c.calm-calmBeforeFaster, 0), maxIncreaseDoublings)
		level -= congestionIncrease * math.Exp2(float64(doublings)) * excess * span
	}
	c.shed = 1 - min(max(level, minAdmissionLevel), 1)
}

// shedAt is how much is shed at a time.
func (c *prefillCongestion) shedAt(now time.Duration) float64 {
	quiet := max(now-c.observedAt-quietAfter, 0).Seconds()
	return max(c.shed-quietIncrease*quiet, 0)
}

// budget is the prompt tokens up to which requests are admitted for certain, where some are shed.
func (c *prefillCongestion) budget(shed float64) float64 {
	return (c.lengths.mean() + promptOverhead) * (1 - shed) / shed
}

// observePrefillTime takes how a prefill attempt ended.
func (r *Router) observePrefillTime(req *request, event Outcome) {
	objective := req.objectiveAt() - req.arrivedAt
	if objective <= 0 {
		return
	}
	took := event.Elapsed.Seconds() / objective.Seconds()
	switch event.Result {
	case PrefillDone:
		req.congested = req.congested || took > congestionTarget
	case TimedOut:
		took = max(took, congestionTarget) // it would have taken longer
		req.congested = true
	case Rejected:
		took = rejectedPrefillTime
	default:
		return
	}
	r.admission.congestion.observe(r.now, took)
}

// congestionSheds draws whether a new request is rejected because the prefill endpoints are congested.
func (r *Router) congestionSheds(req *request) bool {
	c := &r.admission.congestion
	tokens := max(req.PromptTokens-req.PrefixTokens, 0)
	c.lengths.add(tokens)
	shed := c.shedAt(r.now)
	if shed == 0 {
		return false
	}
	return uniform(r.seed+congestionSeed, uint64(req.ID)) >= c.lengths.admission(tokens, c.budget(shed))
}
