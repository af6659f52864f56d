package routing

import (
	"cmp"
	"slices"
	"time"
)

// request is one request from its arrival until its last attempt has an outcome.
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
	streaming bool // its first token has come
	congested bool // a prefill of it took long behind other prompts
	shed      bool // rejected on arrival
	ended     bool // no answer is owed any more
}

// attempt is one send of a request.
type attempt struct {
	backend       *backend
	sentAt        time.Duration
	cost          attemptCost
	decode        bool // generates output, so it has an effect; else it only prefills
	inFlight      bool
	awaitingReply bool // nothing was heard of it yet
	canceled      bool
}

// attemptCost is what an attempt takes of its endpoint, in tokens.
type attemptCost struct {
	memory   float64 // reserved
	uncached float64 // of the prompt, while it waits to be prefilled
	queued   float64 // this replica's uncached tokens at the endpoint when it was sent, its own included
}

// possibleExecution is the first attempt of a request that may have run without an answer.
type possibleExecution struct {
	possible bool
	backend  *backend
	sentAt   time.Duration
}

// sendWindow is how long a request that is idempotent with a key, and of which an attempt may have run, may
// still be sent; 0 where nothing bounds that.
func (req *request) sendWindow(now time.Duration) time.Duration {
	if !req.execution.possible || req.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return req.execution.sentAt + req.class.DedupWindow - now
}

// objectiveAt is when the first token is wanted.
func (req *request) objectiveAt() time.Duration {
	perToken := time.Duration(req.PromptTokens / 1000 * float64(req.class.LatencyObjectivePer1000))
	return req.arrivedAt + req.class.LatencyObjective + perToken
}

// affinityKey decides which endpoints are preferred: the prefix that requests share, else the session.
func (req *request) affinityKey() uint64 { return cmp.Or(req.Prefix, req.Session) }

func (req *request) triedOn(b *backend) bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.backend == b })
}

// decodeInFlight reports that an attempt which generates output is in flight.
func (req *request) decodeInFlight() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.inFlight && a.decode })
}
