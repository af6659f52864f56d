package routing

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Placing: the reader by the hash of the prefix, the writer after the read.

// launch sends a held request to a reader, or whole to a mixed server, if there is room for it.
func (r *Router) launch(q *request) bool {
	readers, mixed := r.roles[RolePrefill].listed > 0, r.roles[RoleMixed].well
	if r.roles[RoleMixed].listed > 0 && (!readers || r.mixedDebt >= 1) {
		if s := r.home(q, RoleMixed); s != nil {
			r.mixedDebt = max(r.mixedDebt-1, -1)
			r.send(q, s, true)
			return true
		}
	}
	if !readers && r.set.DecodeCanPrefill {
		if s := r.writer(q, true); s != nil {
			r.send(q, s, true)
			return true
		}
	}
	if !readers || !r.writerRoom(q) {
		return false
	}
	s := r.home(q, RolePrefill)
	if s == nil {
		return false
	}
	if w := &r.roles[RoleDecode]; mixed > 0 { // by what they can write and read, and how late they are
		m := mixedWeight * min(mixed, r.roles[RoleMixed].memory/w.memory*max(w.well, 1e-9))
		part := min(m/(m+w.well), mixedWeight*mixed/max(r.roles[RolePrefill].well, 1))
		r.mixedDebt = min(r.mixedDebt+part/max(r.mixedSlow, 1), 2)
	}
	r.send(q, s, false)
	return true
}

// home walks the servers of a role in the hash order of the prefix and returns the first with room. All known
// servers are in the order, so one put aside does not move the homes of others. Only the first spillMost that
// may be sent to are asked: a prompt read far down the order pushes out what others keep there.
func (r *Router) home(q *request, role Role) *server {
	r.order = r.order[:0]
	for _, s := range r.servers {
		if s.role == role && r.usable(s, q) {
			h := mix(q.key()^mix(uint64(s.ID))) >> 1
			if !q.triedOn(s) && !s.shunned(q) {
				h |= 1 << 63
			}
			r.order = append(r.order, ranked{s, h})
		}
	}
	slices.SortFunc(r.order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	// a key of which much is seen has several homes, and each session keeps to one of them
	readers := float64(len(r.order))
	homes := r.order[:min(r.homes(q.key(), readers), len(r.order))]
	slices.SortFunc(homes, func(a, b ranked) int {
		return cmp.Compare(draw(uint64(b.s.ID), q.Session), draw(uint64(a.s.ID), q.Session))
	})
	if !q.homed && len(r.order) > 0 {
		q.homed = true
		r.order[0].s.homed++
	}
	var home *server
	total, warm := 0.0, 0
	for _, e := range r.order {
		total += e.s.homed
	}
	q.asked, q.askedAt = q.asked[:0], 0
	for _, e := range r.order {
		q.asked = append(q.asked, e.s)
		if r.room(e.s, q) {
			parts := (e.s.homed + homedPrior) / (total/float64(len(r.order)) + homedPrior)
			parts *= max(e.s.slow/slowFrom, 1)
			if draw(uint64(e.s.ID), cmp.Or(q.Session, uint64(q.ID)))*parts <= evenParts {
				return e.s
			}
			if home == nil {
				home = e.s
			}
		}
		if warm += int(b2f(!r.cold(e.s))); warm >= spillMost && home == nil {
			break
		}
	}
	if home == nil && role == RolePrefill && !r.anyCold {
		q.askedAt = r.shape
	}
	return home
}

// homes is how many readers a key is home at, by the part of this front's requests that share it; all fronts
// see about the same.
func (r *Router) homes(key uint64, readers float64) int {
	popular := max(r.keys[key]-1, 0) / (r.keysAll + 5)
	return 1 + int(min(popular*homesPart, 1)*readers)
}

// seeKey counts the key of a new request; counts are halved now and then, so that old ones fade.
func (r *Router) seeKey(q *request) {
	if r.now > r.fadeAt {
		r.fadeAt, r.keysAll = r.now+keysFade, r.keysAll/2
		for k := range r.keys {
			r.keys[k] /= 2
		}
		maps.DeleteFunc(r.keys, func(_ uint64, n float64) bool { return n < 0.25 })
		r.reshape()
	}
	r.keys[q.key()]++
	r.keysAll++
	r.homeCount[q.key()] = max(r.homeCount[q.key()], 1)
	for k, was := range r.homeCount {
		n := r.homes(k, r.readersNow)
		if r.homeCount[k] = n; n != was { // other readers may be asked now
			for _, h := range r.held {
				if h.key() == k {
					h.askedAt = 0
					r.fresh = append(r.fresh, h)
				}
			}
		}
		if n == 1 {
			delete(r.homeCount, k)
		}
	}
}

// writer picks the writer with the fewest own streams, ties to the reader's cell, then its zone. If none
// has room it is, unless room is asked for, the least loaded that may be sent to at all; servers put aside
// come last.
func (r *Router) writer(q *request, needRoom bool) *server {
	var best *server
	var bestRank [6]float64
	writers := r.roles[RoleDecode].listed > 0
	keepCell, keepZone := r.keeps(q)
	for _, s := range r.servers {
		spared := s.role == RolePrefill || s.role == RoleMixed && q.reader != nil && writers
		if spared || !s.listed || !r.allowed(q, s) {
			continue
		}
		room := r.room(s, q)
		if needRoom && !room || !room && !r.coldRoom(s, q) {
			continue
		}
		rank := [6]float64{
			b2f(!room) + b2f(!room && s.bad), b2f(q.triedOn(s)) + b2f(s.shunned(q)),
			float64(s.n),
			b2f(!keepCell || s.Cell != q.reader.Cell), b2f(!keepZone || s.Zone != q.reader.Zone),
			-math.Log(draw(r.salt^uint64(s.ID), uint64(q.ID))) / r.cells.at(s.Cell).short(),
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = s, rank
		}
	}
	return best
}

// keeps tells whether ties between writers go to the reader's cell, and to its zone. They do, unless a front
// has less than a stream a writer, so that nearly all is tied, and the cell has a larger part of the readers
// than of the writers: then that part stays and the rest goes where writers are short of readers.
func (r *Router) keeps(q *request) (cell, zone bool) {
	f := &r.roles[RoleDecode]
	if q.reader == nil || f.own >= f.listed {
		return q.reader != nil, q.reader != nil
	}
	u := draw(r.salt, uint64(q.ID))
	c, z := r.cells.at(q.reader.Cell), r.zones.at(q.reader.Zone)
	return u*c.reads <= c.writes, u*z.reads <= z.writes
}

// allowed keeps the effect rules: where an earlier attempt may have run, only a safe class goes anywhere,
// a keyed one inside its group and window.
func (r *Router) allowed(q *request, s *server) bool {
	if !q.ran || q.class.Idempotency == Idempotent {
		return true
	}
	if q.class.Idempotency == NotIdempotent || q.window(r.now) <= 0 {
		return false
	}
	switch q.class.DedupScope {
	case DedupZone:
		return s.Zone == q.ranOn.Zone
	case DedupCell:
		return s.Cell == q.ranOn.Cell
	}
	return true
}

// place sends a read request to a writer; if none may be sent to, it waits for part of the release time. That
// counts from the read, or from the last word of a writer: while connections fail to come up the state waits.
func (r *Router) place(q *request) {
	s, waited := r.writer(q, false), r.now-q.stateAt
	reason := r.exhausted(q)
	switch {
	case reason != ReasonNone:
	case r.now+margin >= q.Deadline:
		reason = ReasonDeadline
	case r.stateSpent(q):
		reason = ReasonStateExpired
	case s == nil && waited >= time.Duration(parkPart*float64(r.set.StateTTL)):
		reason = ReasonNoDecodeEndpoint
	}
	switch {
	case reason != ReasonNone:
		r.finish(q, r.no(q, len(r.held), reason))
	case s != nil:
		r.send(q, s, true)
	default:
		r.parked = append(r.parked, q)
	}
}
