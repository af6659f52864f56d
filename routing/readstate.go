package routing

import "time"

// Read states: what a read leaves at its reader until a writer fetches it.
//
// A state's time runs from the read's end, or from the last answer of a writer that did not take it. An
// attempt that is out does not stop it: that its bytes were accepted here says nothing of whether they
// arrived, and connections may fall silent with no error. Only a writer's answer tells that it did arrive. So
// near the end of its time a state is released though a write is out. Where that write did arrive the release
// does nothing: a state for which an attempt waits at a running writer stays.

// expiry is the end of a read state's time, unless it has been fetched or renewed by then.
type expiry struct {
	q  *request
	at time.Duration
}

// stateTime is how long a read state may be held; the rest of the release time is for the release to arrive.
func (r *Router) stateTime() time.Duration { return r.set.StateTTL * (connects - 1) / connects }

// stateSpent tells that the time of q's read state is up.
func (r *Router) stateSpent(q *request) bool { return r.now-q.stateAt > r.stateTime() }

// holdState starts the time of q's read state anew.
func (r *Router) holdState(q *request) {
	q.stateAt = r.now
	r.expiries = append(r.expiries, expiry{q, r.now + r.stateTime()})
}

// valid tells that the state is still held for its request and that its time was not started anew.
func (e expiry) valid(r *Router) bool {
	return !e.q.ended && e.q.reader != nil && e.q.stateAt+r.stateTime() == e.at
}

// expireStates releases the states whose time is up while a write is out. What has no attempt out is parked,
// and place ends that.
func (r *Router) expireStates() {
	n := 0
	for ; n < len(r.expiries) && (r.expiries[n].at < r.now || !r.expiries[n].valid(r)); n++ {
		if e := r.expiries[n]; e.valid(r) && e.q.out > 0 {
			r.emit(ReleaseState{e.q.ID})
		}
	}
	clear(r.expiries[:n]) // what lies before the rest keeps no request alive
	r.expiries = r.expiries[n:]
}
