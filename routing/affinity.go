package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxWarmCandidates is how many warm endpoints of the hash order may prefill a prompt: one prefilled far
	// down the order pushes out what others keep there.
	maxWarmCandidates = 2
	// maxPreferredShare is the share of requests, against an even one, from which an endpoint that is
	// preferred more passes some on.
	maxPreferredShare = 1.3
	// slowPrefillFactor is how many times slower than the mean an endpoint passes some on.
	slowPrefillFactor = 1.5
	// preferredPrior is how many requests each endpoint is taken to be preferred by before any is seen.
	preferredPrior = 1.0
	// preferredDecay is the time constant of those counts.
	preferredDecay = 30 * time.Second
	// affinitySpread is how many times its even share of the endpoints a key is spread over: several replicas
	// and uneven prompts need more than one.
	affinitySpread = 3.0
	// keyCountInterval is how often the counts of keys are halved; those below minKeyCount are dropped.
	keyCountInterval = 20 * time.Second
	minKeyCount      = 0.25
	// keyCountPrior keeps the first few requests of a replica from spreading their keys.
	keyCountPrior = 5

	// triedFirstBit is set in the rank of candidates to be tried first.
	triedFirstBit = 1 << 63
)

// prefixAffinity decides how many endpoints a key is spread over: a popular prefix would crowd a single one.
type prefixAffinity struct {
	seen           map[uint64]float64 // requests by key; halved at intervals
	seenTotal      float64
	halveAt        time.Duration
	spread         map[uint64]int // preferred endpoints of each key that has more than one
	spreadVersion  uint64         // order version for which spread holds
	usablePrefills float64        // prefill endpoints that may be sent to
	candidates     []candidate    // of the current choice; the slice is reused
}

// affinityChoices are what affinity remembers of a request.
type affinityChoices struct {
	counted     bool       // at the endpoint that it prefers
	full        []*backend // candidates that had no capacity for it when all were asked ...
	fullVersion uint64     // ... in this version of the order; 0 = never
}

// candidate is an endpoint in the hash order of a key.
type candidate struct {
	backend *backend
	rank    uint64
}

func newPrefixAffinity() prefixAffinity {
	return prefixAffinity{seen: map[uint64]float64{}, spread: map[uint64]int{}}
}

// preferredCount is how many of a number of endpoints a key prefers, by its part of this replica's requests;
// all replicas see about the same.
func (a *prefixAffinity) preferredCount(key uint64, endpoints float64) int {
	popularity := max(a.seen[key]-1, 0) / (a.seenTotal + keyCountPrior)
	return 1 + int(min(popularity*affinitySpread, 1)*endpoints)
}

// halveCounts lets old requests count less.
func (a *prefixAffinity) halveCounts(now time.Duration) {
	a.halveAt, a.seenTotal = now+keyCountInterval, a.seenTotal/2
	for key := range a.seen {
		a.seen[key] /= 2
	}
	maps.DeleteFunc(a.seen, func(_ uint64, count float64) bool { return count < minKeyCount })
}

// refreshSpread counts the preferred endpoints of all keys anew for a version of the order.
func (a *prefixAffinity) refreshSpread(orderVersion uint64) {
	if a.spreadVersion == orderVersion {
		return
	}
	a.spreadVersion = orderVersion
	clear(a.spread)
	for key := range a.seen {
		if n := a.preferredCount(key, a.usablePrefills); n > 1 {
			a.spread[key] = n
		}
	}
}

// countAffinityKey counts the key of a new request. Where a key gets more or fewer preferred endpoints, its
// queued requests are tried again.
func (r *Router) countAffinityKey(req *request) {
	a := &r.affinity
	if r.now > a.halveAt {
		a.halveCounts(r.now)
		r.orderChanged()
	}
	newKey := req.affinityKey()
	a.seen[newKey]++
	a.seenTotal++
	a.spread[newKey] = max(a.spread[newKey], 1)
	for key, before := range a.spread {
		n := a.preferredCount(key, a.usablePrefills)
		if a.spread[key] = n; n != before {
			r.queue.recheckKey(key)
		}
		if n == 1 {
			delete(a.spread, key)
		}
	}
}

// preferredBackend returns the first endpoint of a role with capacity, in the hash order of the request's
// key; nil if none has any.
func (r *Router) preferredBackend(req *request, role Role) *backend {
	candidates := r.rankCandidates(req, role)
	if !req.choices.counted && len(candidates) > 0 {
		req.choices.counted = true
		candidates[0].backend.cache.preferred++
	}
	totalPreferred := 0.0
	for _, c := range candidates {
		totalPreferred += c.backend.cache.preferred
	}
	evenShare := totalPreferred/float64(len(candidates)) + preferredPrior
	var overloaded *backend // the first with capacity, though it should pass requests on
	warm := 0
	req.choices.full, req.choices.fullVersion = req.choices.full[:0], 0
	for _, c := range candidates {
		req.choices.full = append(req.choices.full, c.backend)
		if r.hasCapacity(c.backend, req) {
			if !c.backend.passesOn(req, evenShare) {
				return c.backend
			}
			if overloaded == nil {
				overloaded = c.backend
			}
		}
		if !r.inSlowStart(c.backend) {
			warm++
		}
		if warm >= maxWarmCandidates && overloaded == nil {
			break
		}
	}
	if overloaded == nil && role == RolePrefill && !r.capacity.anySlowStart {
		req.choices.fullVersion = r.capacity.orderVersion
	}
	return overloaded
}

// rankCandidates lists the usable endpoints of a role by rendezvous hashing, those that failed the request's
// class or were tried for it last. All known endpoints have their place in the order, so an ejected one does
// not move the preferences of other keys.
func (r *Router) rankCandidates(req *request, role Role) []candidate {
	candidates := r.affinity.candidates[:0]
	key := req.affinityKey()
	for _, b := range r.backends.sorted {
		if b.role != role || !r.usable(b, req) {
			continue
		}
		rank := hash64(key^hash64(uint64(b.ID))) >> 1
		if !req.triedOn(b) && !b.avoidedFor(req) {
			rank |= triedFirstBit
		}
		candidates = append(candidates, candidate{b, rank})
	}
	r.affinity.candidates = candidates
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
	// A popular key has several preferred endpoints, and each session keeps to one of them.
	preferred := min(r.affinity.preferredCount(key, float64(len(candidates))), len(candidates))
	slices.SortFunc(candidates[:preferred], func(a, b candidate) int {
		return cmp.Compare(b.backend.sessionRank(req), a.backend.sessionRank(req))
	})
	return candidates
}

// sessionRank orders the preferred endpoints of a popular key for the sessions that share it.
func (b *backend) sessionRank(req *request) float64 { return uniform(uint64(b.ID), req.Session) }

// passesOn reports that a request goes to the next candidate, since this one is preferred more than evenly or
// is slow. All requests of a session are treated alike.
func (b *backend) passesOn(req *request, evenShare float64) bool {
	share := (b.cache.preferred + preferredPrior) / evenShare
	share *= max(b.pace.slowness/slowPrefillFactor, 1)
	return uniform(uint64(b.ID), cmp.Or(req.Session, uint64(req.ID)))*share > maxPreferredShare
}
