package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// throughputDecay is the time constant of completed work.
	throughputDecay = 5 * time.Second

	// Initial values of moving averages, until the first samples come.
	initialPrefillPace = 1e-4 // seconds a token
	initialFirstToken  = 0.3  // seconds

	// Weights of the newest sample in moving averages: small for those of a whole replica, large for the
	// slowness of one endpoint, which sees few.
	prefillPaceWeight       = 0.05
	prefillTimeWeight       = 0.3
	prefillTimeoutWeight    = 0.1 // a time-out says only that it takes at least so long
	uncachedTokensWeight    = 0.05
	firstTokenWeight        = 0.05
	firstTokenTimeoutWeight = 0.02 // a time-out says only that it takes at least so long
	backendPaceWeight       = 0.1
	slownessWeight          = 0.6

	// minPacedTokens is the least queued tokens by which a prefill's time is divided.
	minPacedTokens = 200
	// minServiceFraction is the part of the mean service time within which no first token comes.
	minServiceFraction = 4
	// minRoleMemory keeps divisions by a role's memory defined.
	minRoleMemory = 1e-9
)

// movingAverage moves an exponential moving average to a sample of a weight.
func movingAverage(average *float64, sample, weight float64) {
	*average += weight * (sample - *average)
}

// decay lets a figure fall exponentially with time. Most are 0 where a replica sees few requests of many
// endpoints.
func decay(value *float64, elapsed float64, timeConstant time.Duration) {
	if *value != 0 {
		*value *= math.Exp(-elapsed / timeConstant.Seconds())
	}
}

// latencyStats are moving averages over all requests of this replica.
type latencyStats struct {
	uncachedTokens []float64 // of a prompt, by class
	prefillPace    float64   // seconds a token, this replica's backlog included
	prefillTime    float64   // seconds from the send of a prefill to its end, others' backlog included
	firstToken     float64   // seconds from the send of a decode to the first token
}

func newLatencyStats(classes int) latencyStats {
	return latencyStats{
		uncachedTokens: make([]float64, classes),
		prefillPace:    initialPrefillPace,
		firstToken:     initialFirstToken,
	}
}

// minServiceTime is the least time in which a queued request of a class may get its first token.
func (l *latencyStats) minServiceTime(class int) time.Duration {
	return seconds(l.uncachedTokens[class]*l.prefillPace/minServiceFraction + l.firstToken/minServiceFraction)
}

// usualFirstToken is the usual time to a first token, in seconds, behind a number of queued tokens.
func (l *latencyStats) usualFirstToken(queued float64) float64 {
	return queued*l.prefillPace + l.firstToken
}

// pace is how fast an endpoint works, as this replica sees it.
type pace struct {
	perToken  float64 // seconds that a waiting prompt token takes, this replica's backlog included
	slowness  float64 // times of this replica's attempts there, against the mean; decays
	completed float64 // prefills and answers; decays
	decayedAt time.Duration
}

// observePrefill takes the time that an attempt took until its prompt was prefilled.
func (r *Router) observePrefill(a *attempt, elapsed time.Duration) {
	b := a.backend
	perToken := elapsed.Seconds() / max(a.cost.queued, minPacedTokens)
	movingAverage(&b.pace.perToken, perToken, backendPaceWeight)
	movingAverage(&b.pace.slowness, perToken/r.latency.prefillPace, slownessWeight)
	if b.role == RolePrefill {
		movingAverage(&r.latency.prefillPace, perToken, prefillPaceWeight)
	}
}

// decayStats brings the decaying figures of an endpoint to the present.
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
	decay(&b.cache.preferred, elapsed, preferredDecay)
}

// roleStats sum up the endpoints of a role, once for every change rather than once for every endpoint.
type roleStats struct {
	listed, healthy float64   // listed endpoints, and those of them that are not ejected
	warm, idle      float64   // listed endpoints past slow start, and those without attempts of this replica
	inFlight        float64   // attempts of this replica
	completed       float64   // by warm endpoints, of late
	rate            float64   // completed a second by a warm endpoint for this replica, as last seen
	failureRates    []float64 // of the listed ones, sorted
	silent          int       // silent ones that are not ejected
	memory          float64   // tokens, of those that are not ejected
}

// reset begins a new sum. The rate stays, for the case that no endpoint is warm.
func (s *roleStats) reset() {
	*s = roleStats{rate: s.rate, failureRates: s.failureRates[:0], memory: minRoleMemory}
}

// medianFailureRate is the lower median.
func (s *roleStats) medianFailureRate() float64 { return s.failureRates[(len(s.failureRates)-1)/2] }

// sumRoles sums up each role anew.
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
