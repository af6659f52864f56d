package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// mixedCapacityFactor is the prefill or decode throughput of a mixed endpoint, relative to an endpoint
	// that does only that stage.
	mixedCapacityFactor = 0.6
	// maxMixedCredit and minMixedCredit bound mixedScheduler.credit, in requests.
	maxMixedCredit, minMixedCredit = 2, -1
	// mixedSlownessWeight is the weight of the newest sample in mixedScheduler.slowness.
	mixedSlownessWeight = 0.2
	// maxDecodeWaitFraction is the fraction of the state TTL for which a read state may wait until its
	// request may be sent to some decode endpoint.
	maxDecodeWaitFraction = 0.5
	// minShortage avoids division by zero in localityShare.shortage and by its result.
	minShortage = 1e-9
)

// mixedScheduler decides how many requests go to mixed endpoints, which do both stages, in a fleet that also
// has separate prefill and decode endpoints.
type mixedScheduler struct {
	credit   float64 // requests that mixed endpoints must still be sent to get their share
	slowness float64 // mean time to the first token there, divided by the usual time elsewhere
}

// observe updates slowness with an attempt at a mixed endpoint: elapsed is its time to the first token, or
// until its time-out, and usual is the time, in seconds, that separate endpoints usually take.
func (m *mixedScheduler) observe(a *attempt, usual float64, elapsed time.Duration) {
	if a.backend.role == RoleMixed && a.cost.queued > 0 {
		updateAverage(&m.slowness, elapsed.Seconds()/usual, mixedSlownessWeight)
	}
}

// placeQueued sends a queued request to a prefill endpoint, or to an endpoint that does both stages, and
// reports whether one had capacity for it.
func (r *Router) placeQueued(req *request) bool {
	prefills, mixed := &r.backends.roles[RolePrefill], &r.backends.roles[RoleMixed]
	if mixed.listed > 0 && (prefills.listed == 0 || r.mixed.credit >= 1) {
		if b := r.preferredBackend(req, RoleMixed); b != nil {
			r.mixed.credit = max(r.mixed.credit-1, minMixedCredit)
			r.send(req, b, true)
			return true
		}
	}
	if prefills.listed == 0 && r.config.DecodeCanPrefill {
		if b := r.decodeBackend(req, true); b != nil {
			r.send(req, b, true)
			return true
		}
	}
	if prefills.listed == 0 || !r.decodeHasCapacity(req) {
		return false
	}
	b := r.preferredBackend(req, RolePrefill)
	if b == nil {
		return false
	}
	if mixed.healthy > 0 {
		r.addMixedCredit()
	}
	r.send(req, b, false)
	return true
}

// addMixedCredit adds the mixed endpoints' share of one request to their credit: the smaller of their share
// of the decode capacity and their prefill capacity relative to that of the prefill endpoints, divided by
// their slowness.
func (r *Router) addMixedCredit() {
	mixed, decodes := &r.backends.roles[RoleMixed], &r.backends.roles[RoleDecode]
	decodeCapacity := float64(mixedCapacityFactor *
		min(mixed.healthy, mixed.memory/decodes.memory*max(decodes.healthy, 1e-9)))
	share := min(
		decodeCapacity/(decodeCapacity+decodes.healthy),
		mixedCapacityFactor*mixed.healthy/max(r.backends.roles[RolePrefill].healthy, 1),
	)
	r.mixed.credit = min(r.mixed.credit+share/max(r.mixed.slowness, 1), maxMixedCredit)
}

// placeDecode sends a prefilled request to a decode endpoint. If it may be sent to none, it waits for at most
// maxDecodeWaitFraction of the state TTL, counted from the end of the prefill or from the last response of a
// decode endpoint. Failed connections don't restart that time, since the prefill endpoint holds the state
// throughout.
func (r *Router) placeDecode(req *request) {
	b := r.decodeBackend(req, false)
	waited := r.now - req.state.renewedAt
	reason := r.giveUpReason(req)
	switch {
	case reason != ReasonNone:
	case r.now+finalAnswerMargin >= req.Deadline:
		reason = ReasonDeadline
	case r.stateExpired(req):
		reason = ReasonStateExpired
	case b == nil && waited >= time.Duration(maxDecodeWaitFraction*float64(r.config.StateTTL)):
		reason = ReasonNoDecodeEndpoint
	}
	switch {
	case reason != ReasonNone:
		r.finish(req, r.finalAnswer(req, len(r.queue.waiting), reason))
	case b != nil:
		r.send(req, b, true)
	default:
		r.readStates.awaitingDecode = append(r.readStates.awaitingDecode, req)
	}
}

// decodeRank is the sort key of a candidate for a decode; the smallest, compared in order, is the best.
type decodeRank [6]float64

// decodeBackend returns the endpoint that decodes a request. Of those with capacity, it prefers endpoints
// that the request was not yet sent to and that are not avoided for it, and of these the one with the fewest
// attempts of this replica. Ties go to the cell of the request's prefill endpoint, then to its zone; what
// then still ties is decided at random. If none has capacity and requireCapacity is false, it returns the
// best without capacity, ejected ones last. It returns nil if there is none.
func (r *Router) decodeBackend(req *request, requireCapacity bool) *backend {
	var best *backend
	var bestRank decodeRank
	decodesListed := r.backends.roles[RoleDecode].listed > 0
	preferCell, preferZone := r.preferPrefillLocality(req)
	for _, b := range r.backends.sorted {
		skip := b.role == RolePrefill || b.role == RoleMixed && req.state.backend != nil && decodesListed
		if skip || !b.listed || !r.repeatAllowed(req, b) {
			continue
		}
		capacity := r.hasCapacity(b, req)
		if !capacity && (requireCapacity || !r.slowStartAllows(b, req)) {
			continue
		}
		rank := decodeRank{
			boolToFloat(!capacity) + boolToFloat(!capacity && b.health.ejected),
			boolToFloat(req.sentTo(b)) + boolToFloat(b.avoidedFor(req)),
			float64(b.load.attempts),
			boolToFloat(!preferCell || b.Cell != req.state.backend.Cell),
			boolToFloat(!preferZone || b.Zone != req.state.backend.Zone),
			// A random choice, weighted by the shortage of prefill capacity in the cell.
			-math.Log(uniform(r.seed^uint64(b.ID), uint64(req.ID))) / r.backends.cells.at(b.Cell).shortage(),
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = b, rank
		}
	}
	return best
}

// preferPrefillLocality reports whether ties between decode endpoints go to the cell, and to the zone, of the
// request's prefill endpoint. Usually they do. But where a replica has less than one attempt in flight per
// decode endpoint, nearly all decode endpoints tie, and if the cell has a larger share of the prefill
// capacity than of the decode capacity, its decode endpoints would get too many requests. Then only the
// fraction that they have the capacity for stays in the cell, and the rest goes to cells that have more
// decode than prefill capacity. The same holds for zones.
func (r *Router) preferPrefillLocality(req *request) (cell, zone bool) {
	stats := &r.backends.roles[RoleDecode]
	prefilled := req.state.backend != nil
	if !prefilled || stats.inFlight >= stats.listed {
		return prefilled, prefilled
	}
	u := uniform(r.seed, uint64(req.ID))
	c, z := r.backends.cells.at(req.state.backend.Cell), r.backends.zones.at(req.state.backend.Zone)
	return u*c.prefill <= c.decode, u*z.prefill <= z.decode
}

// repeatAllowed reports whether the request may be sent to an endpoint, given that an earlier attempt may
// have run: to any endpoint if the class is idempotent, and to one in the same dedup scope, inside the dedup
// window, if it is idempotent with a key.
func (r *Router) repeatAllowed(req *request, b *backend) bool {
	if !req.execution.possible || req.class.Idempotency == Idempotent {
		return true
	}
	if req.class.Idempotency == NotIdempotent || req.sendWindow(r.now) <= 0 {
		return false
	}
	switch req.class.DedupScope {
	case DedupZone:
		return b.Zone == req.execution.backend.Zone
	case DedupCell:
		return b.Cell == req.execution.backend.Cell
	default: // DedupAll
		return true
	}
}

// localityShare is the share that a cell or zone has of all prefill capacity and of all decode capacity.
type localityShare struct{ prefill, decode float64 }

// shortage is how far the prefill share falls short of the decode share, as a fraction of the latter.
func (s localityShare) shortage() float64 {
	return max(1-s.prefill/max(s.decode, minShortage), minShortage)
}

// localities holds the shares of all cells or of all zones, by number.
type localities map[int]*localityShare

func (l localities) at(locality int) *localityShare {
	share := l[locality]
	if share == nil {
		share = &localityShare{}
		l[locality] = share
	}
	return share
}

// sumLocalities recomputes the capacity shares of all cells and zones.
func (r *Router) sumLocalities() {
	r.backends.cells, r.backends.zones = localities{}, localities{}
	for _, b := range r.backends.sorted {
		if !b.listed || b.health.ejected || b.role == RoleMixed {
			continue
		}
		cell, zone := r.backends.cells.at(b.Cell), r.backends.zones.at(b.Zone)
		share := r.capacityFraction(b) / r.backends.roles[b.role].healthy
		if b.role == RolePrefill {
			cell.prefill += share
			zone.prefill += share
		} else {
			cell.decode += share
			zone.decode += share
		}
	}
}
