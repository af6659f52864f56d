package routing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// outcomeWeight is the weight of the newest outcome in a failure rate.
	outcomeWeight = 0.25
	// connectFailureFactor multiplies the weight of a failed connection: the process has probably ended.
	connectFailureFactor = 2
	// otherClassFactor divides the weight of an outcome for classes other than that of its request: an
	// endpoint may fail one class only.
	otherClassFactor = 2
	// sparseOutcomeDecay is the time without an outcome after which the next one weighs at least 1-1/e. With
	// many replicas each of them may see only two outcomes of an endpoint in a minute.
	sparseOutcomeDecay = 20 * time.Second
	// failureDecay is the time constant of failure and rejection rates and of slowness.
	failureDecay = 30 * time.Second
	// maxFailureRate is how far an endpoint's failure rate may lie above the median of its role before the
	// endpoint is ejected, and the failure or rejection rate of one class above which the endpoint is avoided
	// for that class.
	maxFailureRate = 0.4
	// recoveredFailureRate caps the failure rate of an endpoint when it is reinstated.
	recoveredFailureRate = 0.3
	// evaluationInterval is the time between two runs of detectOutliers; a failure triggers one at once.
	evaluationInterval = 100 * time.Millisecond
	// baseEjectionTime is the time from the first ejection of an endpoint to its trial. It doubles with each
	// further ejection, up to maxEjectionTime, and halves with each recovery.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 8 * time.Second
	// minMeasuredRate is the rate of a role, in completed attempts per second and endpoint, above which the
	// ejection time is at least the mean interval between such attempts.
	minMeasuredRate = 0.01
	// slowDecodeFactor is the multiple of the mean time to first token above which an endpoint is avoided.
	slowDecodeFactor = 4.0
)

// health tracks how an endpoint's attempts end, and whether it is ejected.
type health struct {
	failureRate  float64       // of the class with the lowest rate
	failures     []float64     // fraction of recent outcomes that are failures, by class; decays
	rejections   []float64     // fraction of recent attempts that it rejected, by class; decays
	outcomeAt    time.Duration // last outcome
	ejected      bool
	trialAt      time.Duration // earliest time of the next trial
	ejectionTime time.Duration // length of the last ejection
}

func newHealth(classes int, now time.Duration) health {
	return health{
		failures:   make([]float64, classes),
		rejections: make([]float64, classes),
		outcomeAt:  now,
	}
}

// reset discards what was learned of the endpoint's previous process.
func (h *health) reset(now time.Duration) {
	h.ejected, h.failureRate, h.ejectionTime, h.outcomeAt = false, 0, 0, now
	clear(h.failures)
	clear(h.rejections)
}

// detectOutliers ejects endpoints that do far worse than others of their role: they fail more often or are
// silent. This covers crashed, failing, stalled and unreachable endpoints alike. If most endpoints of a role
// fail as often or are silent, none of them is ejected for it.
func (r *Router) detectOutliers() {
	r.backends.evaluateAt = r.now + evaluationInterval
	for _, b := range r.backends.sorted {
		r.decayStats(b)
	}
	r.sumRoles()
	for _, b := range r.backends.sorted {
		if b.health.ejected || !b.listed {
			continue
		}
		stats := &r.backends.roles[b.role]
		ejectedWithThis := int(stats.listed - stats.healthy + 1)
		switch {
		case b.health.failureRate > maxFailureRate+stats.medianFailureRate():
			r.eject(b, "failing")
		case r.silent(b) && 2*(stats.silent-1) < int(stats.listed)-ejectedWithThis:
			r.eject(b, "silent")
		}
	}
}

// eject takes an endpoint out of use until its next trial.
func (r *Router) eject(b *backend, cause string) {
	stats := &r.backends.roles[b.role]
	if !b.health.ejected {
		stats.healthy--
	}
	b.health.ejected = true
	r.orderChanged()
	sendInterval := time.Duration(0) // mean interval between this replica's sends to an endpoint of the role
	if stats.rate > minMeasuredRate {
		sendInterval = seconds(1 / stats.rate)
	}
	b.health.ejectionTime = min(max(2*b.health.ejectionTime, baseEjectionTime, sendInterval), maxEjectionTime)
	b.health.trialAt = r.now + b.health.ejectionTime
	r.emit(Log{fmt.Sprintf("%s endpoint %d ejected: %s (failure rate %.2f)",
		roleNames[b.role], b.ID, cause, b.health.failureRate)})
}

// reinstate puts an endpoint back into use after a successful trial.
func (r *Router) reinstate(b *backend) {
	b.health.ejected = false
	b.health.ejectionTime /= 2
	r.backends.evaluateAt = r.now
	r.orderChanged()
	b.health.failureRate = min(b.health.failureRate, recoveredFailureRate)
	r.emit(Log{fmt.Sprintf("%s endpoint %d recovered", roleNames[b.role], b.ID)})
}

var roleNames = [...]string{RolePrefill: "prefill", RoleDecode: "decode", RoleMixed: "mixed"}

// observeSuccess records a successful attempt, which ends an ejection if it was fast enough
// for a successful trial.
func (r *Router) observeSuccess(b *backend, req *request, fastEnough bool) {
	r.observeOutcome(b, req, false, outcomeWeight)
	if b.health.ejected && fastEnough {
		r.reinstate(b)
	}
}

// observeFailure records a failed attempt with a weight.
func (r *Router) observeFailure(b *backend, req *request, weight float64) {
	r.observeOutcome(b, req, true, weight)
	if b.health.ejected && r.now >= b.health.trialAt {
		r.eject(b, "trial failed")
	} else {
		r.backends.evaluateAt = r.now
	}
}

// observeOutcome updates the failure rates of an endpoint with one outcome. It has its full weight for the
// class of the request and, unless it is a failed connection, less for others (otherClassFactor). An outcome
// after a long time without one weighs more (sparseOutcomeDecay).
func (r *Router) observeOutcome(b *backend, req *request, failed bool, weight float64) {
	r.observeRejection(b, req, false)
	h := &b.health
	allClasses := weight > outcomeWeight
	weight = max(weight, 1-math.Exp(-(r.now-h.outcomeAt).Seconds()/sparseOutcomeDecay.Seconds()))
	h.outcomeAt = r.now
	for class := range h.failures {
		classWeight := weight
		if class != req.Class && !allClasses {
			classWeight /= otherClassFactor
		}
		r.observeRate(&h.failures[class], failed, classWeight)
	}
	h.failureRate = slices.Min(h.failures)
}

// observeRejection records whether an endpoint rejected an attempt. The rate by class guards against
// endpoints that reject one class only. The pause after a rejection is too short for that and affects all
// classes, so requests of that class would be rejected by one such endpoint after another until they have no
// attempts left. If all endpoints are full, all have high rates and their order does not change.
func (r *Router) observeRejection(b *backend, req *request, rejected bool) {
	r.observeRate(&b.health.rejections[req.Class], rejected, outcomeWeight)
}

// observeRate updates a rate with one attempt. The order of endpoints changes if it crosses maxFailureRate.
func (r *Router) observeRate(rate *float64, happened bool, weight float64) {
	above := *rate > maxFailureRate
	updateAverage(rate, boolToFloat(happened), weight)
	if above != (*rate > maxFailureRate) {
		r.orderChanged()
	}
}

// avoidedFor reports whether an endpoint is tried last for a request: because it fails, rejects or is silent
// to the request's class, or because its first tokens are slow. It is false for ejected endpoints.
func (b *backend) avoidedFor(req *request) bool {
	if b.health.ejected {
		return false
	}
	slow := b.role == RoleDecode && b.pace.slowness > slowDecodeFactor
	return b.health.failures[req.Class] > maxFailureRate || b.health.rejections[req.Class] > maxFailureRate ||
		slow || b.silence.toClass(req.Class)
}
