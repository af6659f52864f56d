package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// throughputDecay is the time constant of pace.completed, and divides it to give a rate.
	throughputDecay = 5 * time.Second

	// Initial values of moving averages.
	initialPrefillPace = 1e-4 // seconds per token
	initialFirstToken  = 0.3  // seconds

	// Weights of the newest sample in moving averages: small for averages over a whole replica, large for the
	// slowness of one endpoint, which gets few samples.
	prefillPaceWeight       = 0.05
	prefillTimeWeight       = 0.3
	prefillTimeoutWeight    = 0.1 // a time-out says only that it takes at least so long
	uncachedTokensWeight    = 0.05
	firstTokenWeight        = 0.05
	firstTokenTimeoutWeight = 0.02 // a time-out says only that it takes at least so long
	backendPaceWeight       = 0.1
	slownessWeight          = 0.6

	// minPacedTokens is the least number of tokens by which the time of a prefill is divided.
	minPacedTokens = 200
	// minServiceDivisor divides the mean service time: no first token is expected in less time than that.
	minServiceDivisor = 4
	// minRoleMemory keeps the summed memory of a role above 0, since it is used as a divisor.
	minRoleMemory = 1e-9
)

// updateAverage updates an exponential moving average with a sample of the given weight.
func updateAverage(average *float64, sample, weight float64) {
	*average += float64(weight * (sample - *average))
}

// decay reduces a value exponentially with the elapsed time, in seconds. It skips the computation for 0, the
// most frequent value where a replica sends many endpoints only a few requests.
func decay(value *float64, elapsed float64, timeConstant time.Duration) {
	if *value != 0 {
		*value *= math.Exp(-elapsed / timeConstant.Seconds())
	}
}

// latencyStats are moving averages over all requests of this replica.
type latencyStats struct {
	uncachedTokens []float64 // uncached tokens per prompt, by class
	prefillPace    float64   // seconds per prompt token, including this replica's backlog
	prefillTime    float64   // seconds from the send of a prefill to its end, including all backlog there
	firstToken     float64   // seconds from the send of a decode to the first token
}

func newLatencyStats(classes int) latencyStats {
	return latencyStats{
		uncachedTokens: make([]float64, classes),
		prefillPace:    initialPrefillPace,
		firstToken:     initialFirstToken,
	}
}

// minServiceTime is a lower bound of the time until a queued request of a class gets its first token.
func (l *latencyStats) minServiceTime(class int) time.Duration {
	prefill := float64(l.uncachedTokens[class] * l.prefillPace / minServiceDivisor)
	return seconds(prefill + float64(l.firstToken/minServiceDivisor))
}

// usualFirstToken is the usual time to the first token, in seconds, if the given number of tokens has to be
// prefilled before.
func (l *latencyStats) usualFirstToken(queued float64) float64 {
	return float64(queued*l.prefillPace) + l.firstToken
}

// pace is how fast an endpoint works, as observed by this replica.
type pace struct {
	perToken  float64       // seconds per waiting prompt token, including this replica's backlog
	slowness  float64       // mean time of this replica's attempts there, relative to all endpoints; decays
	completed float64       // number of completed prefills and answers; decays
	decayedAt time.Duration // when the decaying values were last updated
}

// observePrefill records the time that an attempt took until its prompt was prefilled.
func (r *Router) observePrefill(a *attempt, elapsed time.Duration) {
	b := a.backend
	perToken := elapsed.Seconds() / max(a.cost.queued, minPacedTokens)
	updateAverage(&b.pace.perToken, perToken, backendPaceWeight)
	updateAverage(&b.pace.slowness, perToken/r.latency.prefillPace, slownessWeight)
	if b.role == RolePrefill {
		updateAverage(&r.latency.prefillPace, perToken, prefillPaceWeight)
	}
}

// decayStats updates the decaying values of an endpoint to the current time.
func (r *Router) decayStats(b *backend) {
	elapsed := (r.now - b.pace.decayedAt).Seconds()
	b.pace.decayedAt = r.now
	decay(&b.pace.completed, elapsed, throughputDecay)
	decay(&b.pace.slowness, elapsed, failureDecay)
	for _, rates := range [2][]float64{b.health.failures, b.health.rejections} {
		for i, before := range rates {
			decay(&rates[i], elapsed, failureDecay)
			if before > maxFailureRate && rates[i] <= maxFailureRate {
				r.orderChanged()
			}
		}
	}
	decay(&b.cache.preferredRequests, elapsed, preferredDecay)
}

// roleStats holds sums over the endpoints of a role. They are computed once for each outlier detection or
// update of the endpoint list, not once for each endpoint.
type roleStats struct {
	listed, healthy float64   // listed endpoints, and those of them that are not ejected
	warm, idle      float64   // listed endpoints past slow start, and those without attempts of this replica
	inFlight        float64   // attempts of this replica in flight at listed endpoints
	completed       float64   // pace.completed of the warm endpoints
	rate            float64   // completed per second by a warm endpoint for this replica, as last computed
	failureRates    []float64 // of the listed endpoints, sorted
	silent          int       // listed endpoints that are silent and not ejected
	memory          float64   // memory of the listed endpoints that are not ejected, in tokens
}

// reset clears the sums. The rate stays, since it can't be computed while no endpoint is warm.
func (s *roleStats) reset() {
	*s = roleStats{rate: s.rate, failureRates: s.failureRates[:0], memory: minRoleMemory}
}

// medianFailureRate is the lower median of the failure rates.
func (s *roleStats) medianFailureRate() float64 { return s.failureRates[(len(s.failureRates)-1)/2] }

// sumRoles recomputes the sums of all roles and localities.
func (r *Router) sumRoles() {
	r.refreshClassSilence()
	roles := &r.backends.roles
	for i := range roles {
		roles[i].reset()
	}
	for _, b := range r.backends.sorted {
		if b.listed {
			r.addToRole(&roles[b.role], b)
		}
	}
	r.sumLocalities()
	for i := range roles {
		stats := &roles[i]
		if stats.warm > 0 {
			stats.rate = stats.completed / stats.warm / throughputDecay.Seconds()
		}
		slices.Sort(stats.failureRates)
	}
}

// addToRole adds one listed endpoint to the sums of its role.
func (r *Router) addToRole(stats *roleStats, b *backend) {
	stats.listed++
	stats.failureRates = append(stats.failureRates, b.health.failureRate)
	stats.inFlight += float64(b.load.attempts)
	if b.load.attempts == 0 {
		stats.idle++
	}
	if !r.inSlowStart(b) {
		stats.warm++
		stats.completed += b.pace.completed
	}
	if b.health.ejected {
		return
	}
	stats.healthy++
	stats.memory += cmp.Or(r.config.Kinds[b.Kind].Memory, 1)
	if r.silent(b) {
		stats.silent++
	}
}
