package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Admission: the order in which the held leave, and what is refused early.

func (r *Router) arrive(ev Request) {
	if r.reqs[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(r.set.Classes) {
		return
	}
	if ev.PossibleDuplicate && r.set.Classes[ev.Class].Idempotency == NotIdempotent { // an earlier try may have run, at any front
		r.emit(Fail{ev.ID, true, ReasonPossibleDuplicate})
		return
	}
	q := &request{Request: ev, class: &r.set.Classes[ev.Class], at: r.now}
	if ev.Tenant >= 0 && ev.Tenant < len(r.tenants) && r.tenants[ev.Tenant].rate > 0 {
		t := &r.tenants[ev.Tenant]
		if q.over = t.level < 1; !q.over {
			t.level--
		}
	}
	q.limit = min(q.Deadline, q.aimAt())
	r.seeKey(q)
	r.reqs[ev.ID] = q
	r.hold(q)
	q.shed = r.ending || draw(r.salt+2, uint64(q.ID)) < r.shed*r.lack(q)
}

// lack is how many times more readily than others q is refused: by how far its worth for the work that it
// asks for lies below that of the requests seen. Bounded both ways, so that no class or length is shut out.
func (r *Router) lack(q *request) float64 {
	v := cmp.Or(q.class.PriorityWeight, 1)
	if !r.set.WeightByWork {
		v /= max(q.PromptTokens-q.PrefixTokens, 0) + 200
	}
	if q.over {
		v *= r.set.OverQuotaWeight
	}
	r.worthSeen = cmp.Or(r.worthSeen, v)
	r.worthSeen += worthGain * (v - r.worthSeen)
	return min(max(r.worthSeen/max(v, 1e-9), 1/lackMost), lackMost)
}

// dispatch releases held requests: shortest prompt first, and every promoteEvery-th time one that starved.
// A bounded promotion keeps a backlog that starved all at once from putting its long prompts before the
// short ones. While requests are held those beyond their tenant's share come last. Where nothing has changed
// that could have made room, only those are looked at that are new, starved or hopeless.
func (r *Router) dispatch() {
	first := r.promote()
	r.todo = r.todo[:0]
	again := r.lookAtRoom()
	if again {
		r.todo = append(r.todo, r.held...)
	} else {
		r.todo = append(r.todo, r.fresh...)
		for c := range r.limits {
			for q := r.limits[c].top(); q != nil && r.hopeless(q); q = r.limits[c].top() {
				r.limits[c].pop()
				r.todo = append(r.todo, q)
			}
		}
		slices.SortFunc(r.todo, before)
		r.todo = slices.Compact(r.todo)
	}
	r.fresh = r.fresh[:0]
	if i := slices.Index(r.todo, first); first != nil && i > 0 {
		r.todo = slices.Insert(slices.Delete(r.todo, i, i+1), 0, first)
	}
	for i := 0; i < len(r.todo); i++ {
		switch q := r.todo[i]; {
		case !q.waits: // it came twice
		case r.hopeless(q):
			r.finish(q, r.no(q, r.ahead(q, first), r.heldReason(q)))
		case r.futile(q):
		case r.launch(q):
			r.unhold(q)
			if r.released++; q.starved {
				r.released = 0
			}
			if r.stale = r.stale || r.roles[RoleMixed].listed > 0; r.stale && !again { // then those behind it
				again = true
				r.todo, i = append(r.todo[:0], r.behind(q, first)...), -1
			}
		}
	}
	clear(r.todo)
}

// promote picks the request that has waited longest, if one may be promoted and is not first anyway.
func (r *Router) promote() *request {
	q := r.ages.top()
	if r.released < promoteEvery-1 || q == nil || q.at >= r.now-starveAfter || q == r.held[0] {
		return nil
	}
	if !q.starved {
		q.starved = true
		r.fresh = append(r.fresh, q)
	}
	return q
}

// mayHaveRoom is what room asks of s alone.
func (s *server) mayHaveRoom(now time.Duration) bool {
	return s.listed && now >= s.full && (s.n == 0 || (s.role != RolePrefill || s.n < readCap) &&
		s.unread*s.pace1 <= readBound.Seconds())
}

// futile tells that launch can't succeed, without the cost of trying: no writer has room for so much, or the
// readers that would be asked are as full as when they were asked last. What was never homed is tried.
func (r *Router) futile(q *request) bool {
	need, mixed := q.memoryNeed(), r.roles[RoleMixed].listed > 0
	if need > r.most.free+1 || !mixed && r.roles[RolePrefill].listed > 0 && need*r.most.reading > r.most.all+1 {
		return q.homed || !mixed
	}
	if !q.homed || r.most.mixed || r.anyCold || q.askedAt != r.shape {
		return false
	}
	for _, s := range q.asked {
		if s.mayHaveRoom(r.now) && r.room(s, q) {
			return false
		}
	}
	return true
}

// feel moves the part of new requests that is refused on arrival by whether an answer came in its aim. Where
// they come late by and large, more is asked than can be done in time, whatever the cause: a surge, servers
// gone, cold or slow. A queue then makes all late, so as much is refused as keeps the rest in time. It moves
// by time passed, to be alike in a front of few requests and of many. It hurts where less work mends nothing.
func (r *Router) feel(q *request, late bool) {
	dt, step := min(r.now-r.feltAt, feltMost).Seconds(), -shedBack
	switch {
	case late: // one after a long silence may be alone
		dt, step = min(dt, 1), 1-q.class.LateWeight
	case r.now-r.turnedAt < turnedFor: // what is in time came before those that fill the queues
		step = 0
	}
	r.feltAt = r.now
	r.shed = min(max(1-(1-r.shed)*math.Exp(-shedGain*dt*step), 0), shedMost)
}

// aimAt is when the first token is wanted.
func (q *request) aimAt() time.Duration {
	return q.at + q.class.LatencyObjective + time.Duration(q.PromptTokens/1000*float64(q.class.LatencyObjectivePer1000))
}

// jammed tells that q has missed its aim while answers come late by and large: the place it would take is
// worth more to one that can be in time.
func (r *Router) jammed(q *request) bool { return r.shed > jamFrom && r.now >= q.aimAt() }

// hopeless tells that a held request can't be answered in time any more; it is refused early, while trying
// again later may still help its client.
func (r *Router) hopeless(q *request) bool {
	need := seconds(r.newTokens[q.Class]*r.readPace/4 + r.firstTime/4)
	return r.now+max(margin, need) >= q.limit || len(q.att) >= r.set.MaxAttempts || q.shed
}

// heldReason tells why a held request that is hopeless is given up.
func (r *Router) heldReason(q *request) Reason {
	switch {
	case r.ending:
		return ReasonShutdown
	case q.shed:
		return ReasonOverload
	case len(q.att) >= r.set.MaxAttempts:
		return ReasonAttemptsExhausted
	case q.limit >= q.Deadline:
		return ReasonDeadline
	}
	return ReasonObjectiveMissed
}
