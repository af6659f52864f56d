package routing

import (
	"cmp"
	"slices"
	"time"
)

// request is the state of a request from its arrival until its last attempt has an outcome.
type request struct {
	Request
	class     *Class
	arrivedAt time.Duration
	attempts  []attempt
	inFlight  int // attempts in flight
	queued    queueEntry
	choices   affinityChoices
	state     heldState
	execution possibleExecution
	streaming bool // its first token has arrived
	congested bool // a prefill of it exceeded targetPrefillRatio or timed out
	shed      bool // to be rejected by load shedding or shutdown
	ended     bool // no answer is owed: it has one, or its client is gone
}

// attempt is one send of a request to an endpoint.
type attempt struct {
	backend          *backend
	sentAt           time.Duration
	cost             attemptCost
	decode           bool // generates output and so may have an effect; otherwise it only prefills
	inFlight         bool
	awaitingResponse bool // the endpoint has not responded yet
	canceled         bool
}

// attemptCost is the load that an attempt adds to its endpoint, in tokens.
type attemptCost struct {
	memory   float64 // reserved memory
	uncached float64 // uncached prompt tokens that wait to be prefilled; 0 after that
	queued   float64 // this replica's uncached tokens at the endpoint at the send, including its own
}

// possibleExecution is the first attempt of a request that may have run although no answer arrived.
type possibleExecution struct {
	possible bool
	backend  *backend
	sentAt   time.Duration
}

// sendWindow returns how long a request may still be sent: until the dedup window of an attempt that may have
// run ends, if the request is idempotent with a key. It is 0 for requests that have no such bound.
func (req *request) sendWindow(now time.Duration) time.Duration {
	if !req.execution.possible || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.execution.sentAt + req.class.DedupWindow - now
}

// objectiveAt returns the end of the latency objective, the time by which the first token is wanted.
func (req *request) objectiveAt() time.Duration {
	forPromptLength := time.Duration(req.PromptTokens / 1000 * float64(req.class.LatencyObjectivePer1000))
	return req.arrivedAt + req.class.LatencyObjective + forPromptLength
}

// affinityKey returns the key by which endpoints are preferred: the shared prefix, or the session if there is
// none.
func (req *request) affinityKey() uint64 { return cmp.Or(req.Prefix, req.Session) }

// sentTo reports whether an attempt of the request was sent to an endpoint.
func (req *request) sentTo(b *backend) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.backend == b })
}

// decodeInFlight reports whether a decode is in flight.
func (req *request) decodeInFlight() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.inFlight && a.decode })
}
