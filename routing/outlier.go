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
	// connectFailureFactor is how much more a failed connection weighs: the process is likely gone.
	connectFailureFactor = 2
	// otherClassFactor is how much less an outcome weighs for other classes: an endpoint may
	// fail one class only.
	otherClassFactor = 2
	// sparseOutcomeDecay makes an outcome weigh nearly two thirds after so long without one: a replica of
	// many sees an endpoint twice a minute.
	sparseOutcomeDecay = 20 * time.Second
	// failureDecay is the time constant of failure and rejection rates and of slowness.
	failureDecay = 30 * time.Second
	// maxFailureRate is how far an endpoint's failure rate may lie above its peers' median before it is
	// ejected, and the rate of a class from which the endpoint is avoided for it.
	maxFailureRate = 0.4
	// recoveredFailureRate bounds the failure rate with which an endpoint comes back from ejection.
	recoveredFailureRate = 0.3
	// evaluationInterval is the time between two looks at all endpoints; after a failure one follows at once.
	evaluationInterval = 100 * time.Millisecond
	// baseEjectionTime is the first time between ejection and trial. It doubles with each ejection, up to
	// maxEjectionTime, and halves with each recovery.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 8 * time.Second
	// minMeasuredRate is the least rate of a role, in attempts a second, by which the ejection time is
	// stretched.
	minMeasuredRate = 0.01
	// slowDecodeFactor is how many times the mean its first tokens take before a decode endpoint is avoided.
	slowDecodeFactor = 4.0
)

// health is how an endpoint's attempts end, and whether it is ejected.
type health struct {
	failureRate  float64   // of the class that failed least
	failures     []float64 // rate of late outcomes that failed, by class; decays
	rejections   []float64 // rate of late attempts that it rejected, by class; decays
	outcomeAt    time.Duration
	ejected      bool
	trialAt      time.Duration // next trial
	ejectionTime time.Duration // as last used
}

func newHealth(classes int, now time.Duration) health {
	return health{
		failures:   make([]float64, classes),
		rejections: make([]float64, classes),
		outcomeAt:  now,
	}
}

// reset forgets what a former process did.
func (h *health) reset(now time.Duration) {
	h.ejected, h.failureRate, h.ejectionTime, h.outcomeAt = false, 0, 0, now
	clear(h.failures)
	clear(h.rejections)
}

// detectOutliers ejects endpoints that do far worse than the peers of their role: they fail more or are
// silent. That covers crashed, failing, stalled and unreachable endpoints alike. When most are as bad none is
// ejected.
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
	sendInterval := time.Duration(0) // between this replica's sends to an endpoint of the role
	if stats.rate > minMeasuredRate {
		sendInterval = seconds(1 / stats.rate)
	}
	b.health.ejectionTime = min(max(2*b.health.ejectionTime, baseEjectionTime, sendInterval), maxEjectionTime)
	b.health.trialAt = r.now + b.health.ejectionTime
	r.emit(Log{fmt.Sprintf("%s endpoint %d ejected: %s (failure rate %.2f)",
		roleNames[b.role], b.ID, cause, b.health.failureRate)})
}

// reinstate takes an endpoint into use again after a trial that went well.
func (r *Router) reinstate(b *backend) {
	b.health.ejected = false
	b.health.ejectionTime /= 2
	r.backends.evaluateAt = r.now
	r.orderChanged()
	b.health.failureRate = min(b.health.failureRate, recoveredFailureRate)
	r.emit(Log{fmt.Sprintf("%s endpoint %d recovered", roleNames[b.role], b.ID)})
}

var roleNames = [...]string{RolePrefill: "prefill", RoleDecode: "decode", RoleMixed: "mixed"}

// observeSuccess takes an attempt that went well; inUsualTime is whether it ends an ejection.
func (r *Router) observeSuccess(b *backend, req *request, inUsualTime bool) {
	r.observeOutcome(b, req, false, outcomeWeight)
	if b.health.ejected && inUsualTime {
		r.reinstate(b)
	}
}

// observeFailure takes an attempt that failed, with a weight.
func (r *Router) observeFailure(b *backend, req *request, weight float64) {
	r.observeOutcome(b, req, true, weight)
	if b.health.ejected && r.now >= b.health.trialAt {
		r.eject(b, "trial failed")
	} else {
		r.backends.evaluateAt = r.now
	}
}

// observeOutcome takes one outcome into the failure rates of an endpoint: in full for the class of its
// request, by half for others. A failed connection counts in full for all. An outcome after a long time
// without one weighs more.
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

// observeRejection takes whether an endpoint rejected an attempt. It guards against endpoints that reject one
// class: a pause for all is too short and too wide there, and each request of that class would be rejected by
// one after another until no attempt is left. Where all are full, all are alike and none is tried last.
func (r *Router) observeRejection(b *backend, req *request, rejected bool) {
	r.observeRate(&b.health.rejections[req.Class], rejected, outcomeWeight)
}

// observeRate moves a rate by one attempt. Where it passes maxFailureRate the order of endpoints changes.
func (r *Router) observeRate(rate *float64, happened bool, weight float64) {
	above := *rate > maxFailureRate
	movingAverage(rate, boolToFloat(happened), weight)
	if above != (*rate > maxFailureRate) {
		r.orderChanged()
	}
}

// avoidedFor reports that an endpoint has failed, rejected or been silent to the request's class, or that its
// first tokens are slow: it is tried last.
func (b *backend) avoidedFor(req *request) bool {
	if b.health.ejected {
		return false
	}
	slow := b.role == RoleDecode && b.pace.slowness > slowDecodeFactor
	return b.health.failures[req.Class] > maxFailureRate || b.health.rejections[req.Class] > maxFailureRate ||
		slow || b.silence.toClass(req.Class)
}
