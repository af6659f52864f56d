package routing

import (
	"slices"
	"time"
)

const (
	// minSilence and silenceFactor say when an endpoint is silent: nothing was heard of it for so long, and
	// so many times the usual.
	minSilence    = 1000 * time.Millisecond
	silenceFactor = 6.0
)

// silence tracks what was heard of an endpoint.
type silence struct {
	unanswered int           // attempts of which nothing was heard yet
	heardAt    time.Duration // when something was last heard, or the first of these was sent
	attempts   []attemptRef  // that may be unanswered, the oldest first
	byClass    []bool        // classes of which an attempt has been unanswered for longer than silence allows
	next       []bool        // the slice that byClass is computed in next
}

// attemptRef names an attempt; pointers to attempts don't last, as their slice grows.
type attemptRef struct {
	req   *request
	index int
}

func (ref attemptRef) attempt() *attempt { return &ref.req.attempts[ref.index] }

// toClass reports that an attempt of a class has been unanswered for long.
func (s *silence) toClass(class int) bool { return class < len(s.byClass) && s.byClass[class] }

// sent notes that the next attempt of a request is sent.
func (s *silence) sent(req *request, now time.Duration) {
	if s.unanswered++; s.unanswered == 1 {
		s.heardAt = now
	}
	s.attempts = append(s.attempts, attemptRef{req, len(req.attempts)})
}

// maxSilence is how long nothing may be heard of an endpoint, or of an attempt there: much longer than the
// usual time. Attempts of a class that is not idempotent have no time-out, so without it a stall would show
// at their deadlines only.
func (r *Router) maxSilence(b *backend) time.Duration {
	usual := b.load.uncached * r.latency.prefillPace
	if b.role != RolePrefill {
		usual += r.latency.firstToken
	}
	return minSilence + seconds(silenceFactor*usual)
}

// silent reports that an endpoint has attempts and nothing was heard of it for longer than silence allows.
func (r *Router) silent(b *backend) bool {
	return b.silence.unanswered > 0 && r.now-b.silence.heardAt > r.maxSilence(b)
}

// refreshClassSilence finds the classes to which each endpoint is silent, though it may answer others.
func (r *Router) refreshClassSilence() {
	for _, b := range r.backends.sorted {
		s := &b.silence
		s.attempts = slices.DeleteFunc(s.attempts, func(ref attemptRef) bool {
			return !ref.attempt().inFlight || !ref.attempt().awaitingReply
		})
		if len(s.attempts) == 0 && s.byClass == nil {
			continue
		}
		if s.byClass == nil {
			s.byClass, s.next = make([]bool, len(r.config.Classes)), make([]bool, len(r.config.Classes))
		}
		clear(s.next)
		allowed := r.maxSilence(b)
		for _, ref := range s.attempts {
			overdue := !ref.req.ended && r.now-ref.attempt().sentAt > allowed
			s.next[ref.req.Class] = s.next[ref.req.Class] || overdue
		}
		if !slices.Equal(s.next, s.byClass) {
			s.next, s.byClass = s.byClass, s.next
			r.orderChanged()
		}
	}
}

// answered books an attempt out of those that are unanswered and wait to be prefilled; byEndpoint says that
// the endpoint itself was heard.
func (r *Router) answered(a *attempt, byEndpoint bool) {
	b := a.backend
	if a.awaitingReply {
		b.silence.unanswered--
	}
	b.load.uncached = max(b.load.uncached-a.cost.uncached, 0)
	a.awaitingReply, a.cost.uncached = false, 0
	if byEndpoint {
		b.silence.heardAt = r.now
	}
}
