package routing

import (
	"slices"
	"time"
)

const (
	// An endpoint is silent if attempts wait there and it has not responded for longer than minSilence plus
	// silenceFactor times the usual response time.
	minSilence    = 1000 * time.Millisecond
	silenceFactor = 6.0
)

// silence tracks the attempts at an endpoint that have no response yet.
type silence struct {
	unanswered  int           // number of attempts without any response
	silentSince time.Duration // last response, or the first unanswered send if that was later
	attempts    []attemptRef  // attempts that may be unanswered, the oldest first
	byClass     []bool        // classes with an attempt unanswered for longer than maxSilence
	scratch     []bool        // reused for the next computation of byClass
}

// attemptRef identifies an attempt. A pointer to it would become stale when its request's slice grows.
type attemptRef struct {
	req   *request
	index int
}

func (ref attemptRef) attempt() *attempt { return &ref.req.attempts[ref.index] }

// toClass reports whether the endpoint is silent to a class.
func (s *silence) toClass(class int) bool { return class < len(s.byClass) && s.byClass[class] }

// addAttempt records that the next attempt of a request is sent to the endpoint.
func (s *silence) addAttempt(req *request, now time.Duration) {
	if s.unanswered++; s.unanswered == 1 {
		s.silentSince = now
	}
	s.attempts = append(s.attempts, attemptRef{req, len(req.attempts)})
}

// maxSilence is the time without a response after which an endpoint, or an attempt there, counts as silent:
// much longer than the usual response time. Except during overload, decodes of a class that is not idempotent
// have no time-out, so without this check a stall would only be noticed at their deadlines.
func (r *Router) maxSilence(b *backend) time.Duration {
	usual := float64(b.load.uncached * r.latency.prefillPace)
	if b.role != RolePrefill {
		usual += r.latency.firstToken
	}
	return minSilence + seconds(silenceFactor*usual)
}

// silent reports whether an endpoint has unanswered attempts and has sent nothing for more than maxSilence.
func (r *Router) silent(b *backend) bool {
	return b.silence.unanswered > 0 && r.now-b.silence.silentSince > r.maxSilence(b)
}

// refreshClassSilence recomputes for each endpoint the classes that it does not answer. It may answer others.
func (r *Router) refreshClassSilence() {
	for _, b := range r.backends.sorted {
		s := &b.silence
		s.attempts = slices.DeleteFunc(s.attempts, func(ref attemptRef) bool {
			return !ref.attempt().inFlight || !ref.attempt().awaitingResponse
		})
		if len(s.attempts) == 0 && s.byClass == nil {
			continue
		}
		if s.byClass == nil {
			s.byClass, s.scratch = make([]bool, len(r.config.Classes)), make([]bool, len(r.config.Classes))
		}
		clear(s.scratch)
		allowed := r.maxSilence(b)
		for _, ref := range s.attempts {
			overdue := !ref.req.ended && r.now-ref.attempt().sentAt > allowed
			s.scratch[ref.req.Class] = s.scratch[ref.req.Class] || overdue
		}
		if !slices.Equal(s.scratch, s.byClass) {
			s.scratch, s.byClass = s.byClass, s.scratch
			r.orderChanged()
		}
	}
}

// markAnswered removes an attempt from the unanswered ones and its prompt from those that wait to be
// prefilled. endsSilence says that it restarts the time for which the endpoint has been silent.
func (r *Router) markAnswered(a *attempt, endsSilence bool) {
	b := a.backend
	if a.awaitingResponse {
		b.silence.unanswered--
	}
	b.load.uncached = max(b.load.uncached-a.cost.uncached, 0)
	a.awaitingResponse, a.cost.uncached = false, 0
	if endsSilence {
		b.silence.silentSince = r.now
	}
}
