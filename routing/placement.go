package routing

import (
	"math"
	"slices"
	"time"
)

const (
	// mixedCapacityFactor is what a mixed endpoint can prefill or decode, against one that does only that.
	mixedCapacityFactor = 0.6
	// maxMixedOwed bounds the requests owed to mixed endpoints, either way.
	maxMixedOwed, minMixedOwed = 2, -1
	// mixedSlownessWeight is the weight of the newest request in mixedBalance.slowness.
	mixedSlownessWeight = 0.2
	// parkedFraction is the part of the state TTL for which a read state may wait for a decode endpoint.
	parkedFraction = 0.5
	// minShortage keeps divisions by a locality's shortage or parts defined.
	minShortage = 1e-9
)

// mixedBalance spreads whole requests over mixed endpoints where others prefill and decode separately.
type mixedBalance struct {
	owed     float64 // whole requests that mixed endpoints have yet to take
	slowness float64 // their mean time to the first token, against that by separate endpoints
}

// observe takes the time to a first token, or the time without one, at a mixed endpoint, against the time
// that separate endpoints usually take.
func (m *mixedBalance) observe(a *attempt, usual float64, elapsed time.Duration) {
	if a.backend.role == RoleMixed && a.cost.queued > 0 {
		movingAverage(&m.slowness, elapsed.Seconds()/usual, mixedSlownessWeight)
	}
}

// placeQueued sends a queued request to a prefill endpoint, or whole to a mixed one, if there is capacity for
// it.
func (r *Router) placeQueued(req *request) bool {
	prefills, mixed := &r.backends.roles[RolePrefill], &r.backends.roles[RoleMixed]
	if mixed.listed > 0 && (prefills.listed == 0 || r.mixed.owed >= 1) {
		if b := r.preferredBackend(req, RoleMixed); b != nil {
			r.mixed.owed = max(r.mixed.owed-1, minMixedOwed)
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
		r.oweMixed()
	}
	r.send(req, b, false)
	return true
}

// oweMixed adds the mixed endpoints' part of a request, by what they can prefill and decode and how slow they
// are.
func (r *Router) oweMixed() {
	mixed, decodes := &r.backends.roles[RoleMixed], &r.backends.roles[RoleDecode]
	decodeCapacity := mixedCapacityFactor *
		min(mixed.healthy, mixed.memory/decodes.memory*max(decodes.healthy, 1e-9))
	part := min(
		decodeCapacity/(decodeCapacity+decodes.healthy),
		mixedCapacityFactor*mixed.healthy/max(r.backends.roles[RolePrefill].healthy, 1),
	)
	r.mixed.owed = min(r.mixed.owed+part/max(r.mixed.slowness, 1), maxMixedOwed)
}

// placeDecode sends a prefilled request to a decode endpoint; if none may be sent to, the request is parked
// for a part of the state TTL. That counts from the prefill, or from the last reply of a decode endpoint:
// while connections fail the state waits.
func (r *Router) placeDecode(req *request) {
	b := r.decodeBackend(req, false)
	parkedFor := r.now - req.state.since
	reason := r.giveUpReason(req)
	switch {
	case reason != ReasonNone:
	case r.now+finalAnswerMargin >= req.Deadline:
		reason = ReasonDeadline
	case r.stateExpired(req):
		reason = ReasonStateExpired
	case b == nil && parkedFor >= time.Duration(parkedFraction*float64(r.config.StateTTL)):
		reason = ReasonNoDecodeEndpoint
	}
	switch {
	case reason != ReasonNone:
		r.finish(req, r.finalAnswer(req, len(r.queue.waiting), reason))
	case b != nil:
		r.send(req, b, true)
	default:
		r.readStates.parked = append(r.readStates.parked, req)
	}
}

// decodeRank orders endpoints for a decode, smallest first.
type decodeRank [6]float64

// decodeBackend returns the endpoint with the fewest attempts of this replica, ties going to the prefill's
// cell, then its zone. If none has capacity it is, unless capacity is required, the least loaded that may be
// sent to at all, ejected ones last; nil if there is none.
func (r *Router) decodeBackend(req *request, requireCapacity bool) *backend {
	var best *backend
	var bestRank decodeRank
	decodesListed := r.backends.roles[RoleDecode].listed > 0
	keepCell, keepZone := r.keepLocality(req)
	for _, b := range r.backends.sorted {
		spared := b.role == RolePrefill || b.role == RoleMixed && req.state.backend != nil && decodesListed
		if spared || !b.listed || !r.repeatAllowed(req, b) {
			continue
		}
		capacity := r.hasCapacity(b, req)
		if !capacity && (requireCapacity || !r.slowStartAllows(b, req)) {
			continue
		}
		rank := decodeRank{
			boolToFloat(!capacity) + boolToFloat(!capacity && b.health.ejected),
			boolToFloat(req.triedOn(b)) + boolToFloat(b.avoidedFor(req)),
			float64(b.load.attempts),
			boolToFloat(!keepCell || b.Cell != req.state.backend.Cell),
			boolToFloat(!keepZone || b.Zone != req.state.backend.Zone),
			-math.Log(uniform(r.seed^uint64(b.ID), uint64(req.ID))) / r.backends.cells.at(b.Cell).shortage(),
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = b, rank
		}
	}
	return best
}

// keepLocality reports whether ties between decode endpoints go to the prefill's cell, and to its zone. They
// do, unless a replica has less than one attempt for each decode endpoint, so that nearly all are tied, and
// the cell has a larger part of the prefill capacity than of the decode capacity: then that part stays and
// the rest goes where decode endpoints are short of prefills.
func (r *Router) keepLocality(req *request) (cell, zone bool) {
	stats := &r.backends.roles[RoleDecode]
	prefilled := req.state.backend != nil
	if !prefilled || stats.inFlight >= stats.listed {
		return prefilled, prefilled
	}
	u := uniform(r.seed, uint64(req.ID))
	c, z := r.backends.cells.at(req.state.backend.Cell), r.backends.zones.at(req.state.backend.Zone)
	return u*c.prefill <= c.decode, u*z.prefill <= z.decode
}

// repeatAllowed reports that an endpoint may get a request of which an earlier attempt may have run: any
// endpoint if the class is idempotent, one in the same dedup scope and window if it is with a key.
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

// localityShare is a locality's part of all prefill capacity and of all decode capacity.
type localityShare struct{ prefill, decode float64 }

// shortage is how far the prefill part lacks behind the decode part.
func (s localityShare) shortage() float64 {
	return max(1-s.prefill/max(s.decode, minShortage), minShortage)
}

// localities are by cell or zone.
type localities map[int]*localityShare

func (l localities) at(place int) *localityShare {
	share := l[place]
	if share == nil {
		share = &localityShare{}
		l[place] = share
	}
	return share
}

// sumLocalities sums up each cell's and zone's parts anew.
func (r *Router) sumLocalities() {
	r.backends.cells, r.backends.zones = localities{}, localities{}
	for _, b := range r.backends.sorted {
		if !b.listed || b.health.ejected || b.role == RoleMixed {
			continue
		}
		cell, zone := r.backends.cells.at(b.Cell), r.backends.zones.at(b.Zone)
		part := r.presentCapacity(b) / r.backends.roles[b.role].healthy
		if b.role == RolePrefill {
			cell.prefill += part
			zone.prefill += part
		} else {
			cell.decode += part
			zone.decode += part
		}
	}
}
