package routing

import (
	"slices"
	"time"
)

// stateTTLParts divides the state TTL: one part is left for a release to arrive, and is what a connection may
// take to come up while a state waits.
const stateTTLParts = 5

// A read state's time runs from the end of its prefill, or from the last answer of a decode endpoint that did
// not take it. An attempt in flight does not stop it: that its bytes were accepted here says nothing of
// whether they arrived, and connections may fall silent with no error. Only an answer of the decode endpoint
// says that. So near the end of its time a state is released though a decode is in flight. Where that decode
// did arrive the release does nothing: a state for which an attempt waits at a running decode endpoint stays.

// readStates are the read states that wait for a decode endpoint.
type readStates struct {
	parked   []*request    // no decode endpoint may be sent to yet
	expiries []stateExpiry // the earliest first
}

// heldState is the read state of one request.
type heldState struct {
	backend   *backend      // where it is held; nil = nowhere
	since     time.Duration // when its time began
	requested bool          // some prefill was sent: a state may be held
}

// stateExpiry is the end of a read state's time, unless it has been fetched or renewed by then.
type stateExpiry struct {
	req *request
	at  time.Duration
}

// unpark takes a request off those that wait for a decode endpoint.
func (s *readStates) unpark(req *request) {
	s.parked = slices.DeleteFunc(s.parked, func(other *request) bool { return other == req })
}

// stateTime is how long a read state may be held here; the rest of its TTL is for the release to arrive.
func (r *Router) stateTime() time.Duration {
	return r.config.StateTTL * (stateTTLParts - 1) / stateTTLParts
}

// stateExpired reports that the time of a request's read state is up.
func (r *Router) stateExpired(req *request) bool { return r.now-req.state.since > r.stateTime() }

// renewState starts the time of a request's read state anew.
func (r *Router) renewState(req *request) {
	req.state.since = r.now
	r.readStates.expiries = append(r.readStates.expiries, stateExpiry{req, r.now + r.stateTime()})
}

// valid reports that a state is still held for its request and that its time was not renewed.
func (r *Router) valid(expiry stateExpiry) bool {
	state := &expiry.req.state
	return !expiry.req.ended && state.backend != nil && state.since+r.stateTime() == expiry.at
}

// releaseExpiredStates releases the states whose time is up while a decode is in flight. A request with
// nothing in flight is parked, and placeDecode ends it.
func (r *Router) releaseExpiredStates() {
	expiries := r.readStates.expiries
	done := 0
	for ; done < len(expiries); done++ {
		expiry := expiries[done]
		valid := r.valid(expiry)
		if valid && expiry.at >= r.now {
			break
		}
		if valid && expiry.req.inFlight > 0 {
			r.emit(ReleaseState{expiry.req.ID})
		}
	}
	clear(expiries[:done]) // the array before the rest must not keep requests alive
	r.readStates.expiries = expiries[done:]
}
