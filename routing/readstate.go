package routing

import (
	"slices"
	"time"
)

// stateTTLParts is the number of equal parts of the state TTL. One part is reserved for a release to reach
// the endpoint, and one part is the connect timeout of attempts for which a state waits.
const stateTTLParts = 5

// The TTL of a read state runs from the end of its prefill, or from the last response of a decode endpoint
// that did not fetch it. An attempt in flight does not stop it: that the local socket accepted the bytes does
// not mean that they arrived, and a connection may stop delivering without an error. Only a response of the
// decode endpoint shows that they did. So a state is released shortly before its TTL ends even while a decode
// is in flight. If that decode did arrive, the release has no effect, since a state that an attempt at a
// running decode endpoint waits for is kept.

// readStates tracks read states from the end of their prefill until they are fetched or released.
type readStates struct {
	awaitingDecode []*request    // prefilled requests for which no decode endpoint is usable yet
	expiries       []stateExpiry // the earliest first
}

// heldState is the read state of one request.
type heldState struct {
	backend     *backend      // the endpoint that holds it; nil = none
	renewedAt   time.Duration // when its TTL started
	prefillSent bool          // a prefill was sent, so some endpoint may hold a state
}

// stateExpiry is the time at which a read state is released, unless it was fetched or renewed before.
type stateExpiry struct {
	req *request
	at  time.Duration
}

// removeAwaitingDecode removes a request from those that wait for a decode endpoint, if it is one of them.
func (s *readStates) removeAwaitingDecode(req *request) {
	s.awaitingDecode = slices.DeleteFunc(s.awaitingDecode, func(other *request) bool { return other == req })
}

// maxStateAge is the age at which a read state is released; the rest of its TTL is for the release to arrive.
func (r *Router) maxStateAge() time.Duration {
	return r.config.StateTTL * (stateTTLParts - 1) / stateTTLParts
}

// stateExpired reports whether a request's read state is older than maxStateAge.
func (r *Router) stateExpired(req *request) bool { return r.now-req.state.renewedAt > r.maxStateAge() }

// renewState restarts the TTL of a request's read state.
func (r *Router) renewState(req *request) {
	req.state.renewedAt = r.now
	r.readStates.expiries = append(r.readStates.expiries, stateExpiry{req, r.now + r.maxStateAge()})
}

// expiryPending reports whether a state is still held for its request and was not renewed since.
func (r *Router) expiryPending(expiry stateExpiry) bool {
	state := &expiry.req.state
	return !expiry.req.ended && state.backend != nil && state.renewedAt+r.maxStateAge() == expiry.at
}

// releaseExpiredStates releases expired states while a decode is in flight. A request with nothing in flight
// waits in awaitingDecode, and placeDecode ends it.
func (r *Router) releaseExpiredStates() {
	expiries := r.readStates.expiries
	expired := 0
	for ; expired < len(expiries); expired++ {
		expiry := expiries[expired]
		pending := r.expiryPending(expiry)
		if pending && expiry.at >= r.now {
			break
		}
		if pending && expiry.req.inFlight > 0 {
			r.emit(ReleaseState{expiry.req.ID})
		}
	}
	clear(expiries[:expired]) // or the shared array would keep the requests alive
	r.readStates.expiries = expiries[expired:]
}
