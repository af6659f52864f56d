package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxWarmCandidates is how many endpoints past slow start are tried in hash order before a prompt stays
	// queued for lack of capacity: a prompt prefilled farther down the order would evict the cached prefixes
	// that other keys keep there.
	maxWarmCandidates = 2
	// An endpoint that is preferred by more than maxPreferredShare times an even share of the requests
	// diverts some of them to the next candidate.
	maxPreferredShare = 1.3
	// slowPrefillFactor is the multiple of the mean prefill time per token above which an endpoint diverts
	// more requests.
	slowPrefillFactor = 1.5
	// preferredPrior is added to the count of requests that prefer an endpoint, so that the first few
	// requests of a replica are not diverted.
	preferredPrior = 1.0
	// preferredDecay is the time constant of prefixCache.preferredRequests.
	preferredDecay = 30 * time.Second
	// A key is spread over affinitySpread times its proportional share of the endpoints. That share alone
	// is too few, since replicas don't know each other's counts and prompts differ in length.
	affinitySpread = 3.0
	// keyCountInterval is how often the request counts of keys are halved. Counts below minKeyCount are then
	// removed.
	keyCountInterval = 20 * time.Second
	minKeyCount      = 0.25
	// keyCountPrior is added to the total count, so that the first few requests of a replica don't make their
	// keys look popular.
	keyCountPrior = 5

	// triedFirstBit is set in the rank of candidates that the request was not yet sent to and that are not
	// avoided for it.
	triedFirstBit = 1 << 63
)

// prefixAffinity sends requests of the same affinity key to the same prefill endpoints, so that these find
// the prompt prefix in their cache. A popular key is spread over several endpoints, since one would be
// overloaded.
type prefixAffinity struct {
	requestCounts  map[uint64]float64 // by key; halved every keyCountInterval
	requestTotal   float64
	halveAt        time.Duration  // when the counts are halved next
	spread         map[uint64]int // number of preferred endpoints of each key that has several
	spreadVersion  uint64         // order version for which spread was computed
	usablePrefills float64        // number of prefill endpoints that may be sent requests
	candidates     []candidate    // result of rankCandidates; the slice is reused
}

// affinityChoices is the state that affinity keeps for a request.
type affinityChoices struct {
	counted     bool       // it is counted in preferredRequests of the endpoint that it prefers
	full        []*backend // candidates that were tried without success when none had capacity ...
	fullVersion uint64     // ... in this order version; 0 = unknown
}

// candidate is an endpoint with its rank in the hash order of a key; the highest rank comes first.
type candidate struct {
	backend *backend
	rank    uint64
}

func newPrefixAffinity() prefixAffinity {
	return prefixAffinity{requestCounts: map[uint64]float64{}, spread: map[uint64]int{}}
}

// preferredCount returns how many of the given number of endpoints a key prefers, by its share of this
// replica's requests. The shares are about the same at all replicas.
func (a *prefixAffinity) preferredCount(key uint64, endpoints float64) int {
	popularity := max(a.requestCounts[key]-1, 0) / (a.requestTotal + keyCountPrior)
	return 1 + int(min(popularity*affinitySpread, 1)*endpoints)
}

// halveCounts halves all request counts, so that old requests count less.
func (a *prefixAffinity) halveCounts(now time.Duration) {
	a.halveAt, a.requestTotal = now+keyCountInterval, a.requestTotal/2
	for key := range a.requestCounts {
		a.requestCounts[key] /= 2
	}
	maps.DeleteFunc(a.requestCounts, func(_ uint64, count float64) bool { return count < minKeyCount })
}

// refreshSpread recomputes the number of preferred endpoints of all keys if the order version has changed.
func (a *prefixAffinity) refreshSpread(orderVersion uint64) {
	if a.spreadVersion == orderVersion {
		return
	}
	a.spreadVersion = orderVersion
	clear(a.spread)
	for key := range a.requestCounts {
		if n := a.preferredCount(key, a.usablePrefills); n > 1 {
			a.spread[key] = n
		}
	}
}

// countAffinityKey counts the key of a new request. If the number of preferred endpoints of a key changes,
// its queued requests are tried again.
func (r *Router) countAffinityKey(req *request) {
	a := &r.affinity
	if r.now > a.halveAt {
		a.halveCounts(r.now)
		r.orderChanged()
	}
	newKey := req.affinityKey()
	a.requestCounts[newKey]++
	a.requestTotal++
	a.spread[newKey] = max(a.spread[newKey], 1)
	for key, oldSpread := range a.spread {
		n := a.preferredCount(key, a.usablePrefills)
		if a.spread[key] = n; n != oldSpread {
			r.queue.recheckKey(key)
		}
		if n == 1 {
			delete(a.spread, key)
		}
	}
}

// preferredBackend returns the endpoint of a role to which the request is sent: the first with capacity in
// the hash order of its key that does not divert it, else the first with capacity, else nil.
func (r *Router) preferredBackend(req *request, role Role) *backend {
	candidates := r.rankCandidates(req, role)
	if !req.choices.counted && len(candidates) > 0 {
		req.choices.counted = true
		candidates[0].backend.cache.preferredRequests++
	}
	totalPreferred := 0.0
	for _, c := range candidates {
		totalPreferred += c.backend.cache.preferredRequests
	}
	evenShare := totalPreferred/float64(len(candidates)) + preferredPrior
	var fallback *backend // the first with capacity that diverts the request
	warm := 0
	req.choices.full, req.choices.fullVersion = req.choices.full[:0], 0
	for _, c := range candidates {
		req.choices.full = append(req.choices.full, c.backend)
		if r.hasCapacity(c.backend, req) {
			if !c.backend.divertsRequest(req, evenShare) {
				return c.backend
			}
			if fallback == nil {
				fallback = c.backend
			}
		}
		if !r.inSlowStart(c.backend) {
			warm++
		}
		if warm >= maxWarmCandidates && fallback == nil {
			break
		}
	}
	if fallback == nil && role == RolePrefill && !r.capacity.anySlowStart {
		req.choices.fullVersion = r.capacity.orderVersion
	}
	return fallback
}

// rankCandidates returns the usable endpoints of a role in rendezvous hash order. Endpoints that the request
// was sent to before or that are avoided for it come last. The rank of an endpoint depends on no other
// endpoint, so an ejection does not change which endpoints other keys prefer.
func (r *Router) rankCandidates(req *request, role Role) []candidate {
	candidates := r.affinity.candidates[:0]
	key := req.affinityKey()
	for _, b := range r.backends.sorted {
		if b.role != role || !r.usable(b, req) {
			continue
		}
		rank := hash64(key^hash64(uint64(b.ID))) >> 1
		if !req.sentTo(b) && !b.avoidedFor(req) {
			rank |= triedFirstBit
		}
		candidates = append(candidates, candidate{b, rank})
	}
	r.affinity.candidates = candidates
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	// A popular key has several preferred endpoints; each session prefers the same one of them every time.
	preferred := min(r.affinity.preferredCount(key, float64(len(candidates))), len(candidates))
	slices.SortFunc(candidates[:preferred], func(a, b candidate) int {
		return cmp.Compare(b.backend.sessionRank(req), a.backend.sessionRank(req))
	})
	return candidates
}

// sessionRank orders the preferred endpoints of a popular key for a session, the highest first.
func (b *backend) sessionRank(req *request) float64 { return uniform(uint64(b.ID), req.Session) }

// divertsRequest reports whether a request should go to the next candidate, because this endpoint is
// preferred by more than an even share of the requests or is slow. All requests of a session have the same
// draw.
func (b *backend) divertsRequest(req *request, evenShare float64) bool {
	share := (b.cache.preferredRequests + preferredPrior) / evenShare
	share *= max(b.pace.slowness/slowPrefillFactor, 1)
	return uniform(uint64(b.ID), cmp.Or(req.Session, uint64(req.ID)))*share > maxPreferredShare
}
