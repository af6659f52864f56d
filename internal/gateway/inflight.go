package gateway

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// answerState is the state of a request's answer. The goroutine whose compare-and-swap changes it from answerPending
// owns the answer, so that it has exactly one owner: the event loop, the connection's goroutine or a worker with a
// response, a worker at the first token of its attempt, or the connection's goroutine when the client has disconnected.
type answerState int32

const (
	answerPending   answerState = iota
	answerStreaming             // an attempt owns the answer, and streams or collects it
	answerDone                  // the response is set, or the stream has ended
	answerAbandoned             // the client has disconnected
)

// atomicAnswerState is an answerState for concurrent use.
type atomicAnswerState struct{ value atomic.Int32 }

func (s *atomicAnswerState) Load() answerState { return answerState(s.value.Load()) }

func (s *atomicAnswerState) CompareAndSwap(from, to answerState) bool {
	return s.value.CompareAndSwap(int32(from), int32(to))
}

// inflightRequest is a request from when it is accepted until it is answered and its last attempt has ended.
type inflightRequest struct {
	// Set by the connection's goroutine before the event loop knows the request.
	id             routing.RequestID
	clientID       string          // chosen by the client; "" = none
	routing        routing.Request // the router's event; ID and Deadline are set in startRequest
	bodies         RequestBodies   // nil once no further attempt can need them
	path           string          // request target at engines
	idempotencyKey string          // value of the Idempotency-Key header
	class          *routing.Class
	conn           *clientConn
	collector      *api.Collector // collects the answer for a client that doesn't stream; nil for one that does
	chunked        bool           // the client supports chunked bodies
	acceptedAt     time.Time
	deadline       time.Time // for the first token or a final response
	answerDeadline time.Time // for the whole answer; zero = unknown

	state atomicAnswerState
	done  chan struct{} // closed once the response is set or the stream has ended

	// Set by the owner of the answer before done is closed; keepAlive also by the connection's goroutine at the start.
	keepAlive bool // the connection stays open after the answer
	response  Response
	result    string // one of the result constants
	reason    string // why the request was not served; "" if it was

	eventCount     atomic.Int64 // events in the stream
	sinceLastEvent atomic.Int64 // nanoseconds from the stream's last event to its end
	firstToken     atomic.Int64 // nanoseconds from acceptedAt to the first token
	bodyBytes      atomic.Int64 // this request's share of Gateway.bodyBytes

	mu       sync.Mutex
	attempts []*attempt // only the event loop appends, under mu; other goroutines read under mu

	// Owned by the event loop.
	pendingAttempts int
	kvParams        json.RawMessage // KV transfer parameters of the last prefill
	delayedResponse *Response       // sent once pendingAttempts is 0; see reject
	release         releaseProgress
}

// releaseProgress is what the gateway knows about the read state that engines may hold for a request, and its release.
type releaseProgress struct {
	heldState   readState       // the state confirmed by the last prefill, if it is still held
	requested   bool            // the router asked to release any state that may be held
	lastRelease *release        // the release started last
	done        <-chan struct{} // the next attempt starts once this is closed; nil = at once
}

// Results of requests, as metric label values and in log lines.
const (
	resultServed     = "served"
	resultRejected   = "refused"
	resultFailed     = "failed"
	resultBroken     = "broken"
	resultClientGone = "gone"
)

// displayID returns the id of the request in answers and logs: the client's own, or else one made by the gateway.
func (r *inflightRequest) displayID() string {
	if r.clientID != "" {
		return r.clientID
	}
	return r.conn.gateway.attemptID(r.id, 0)
}

// releaseBodyBytes subtracts the request's share from Gateway.bodyBytes.
func (r *inflightRequest) releaseBodyBytes() { r.conn.gateway.bodyBytes.Add(-r.bodyBytes.Swap(0)) }

// answered reports whether the answer is complete or no longer needed.
func (r *inflightRequest) answered() bool { return r.state.Load() >= answerDone }

// abandoned reports whether the request needs no further attempt, because it is answered or the client has
// disconnected. It is called just before an attempt is sent.
func (r *inflightRequest) abandoned() bool { return r.answered() || r.conn.peerClosed() }

// mustNotRunAgain reports whether the request, which has ended, may have run and is not idempotent without a key. Only
// the event loop may call it.
func (r *inflightRequest) mustNotRunAgain() bool {
	mayHaveRun := func(a *attempt) bool { return !a.neverExecuted }
	return r.class.Idempotency != routing.Idempotent && slices.ContainsFunc(r.attempts, mayHaveRun)
}

func (r *inflightRequest) addAttempt(a *attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
}

// cancelAttempts cancels all attempts. It is called when the client of a stream disconnects or its answer deadline
// passes.
func (r *inflightRequest) cancelAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.handle.Cancel()
	}
}

// cancelUnarrived cancels the attempts whose request has not arrived at the engine. It is called when the client has
// left or has an answer: nothing more may be sent for the request then, though the router lets attempts go on where
// engines can't abort them.
func (r *inflightRequest) cancelUnarrived() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.handle.CancelUnarrived()
	}
}

// respond sets the final response, unless the request has an answer already. It returns whether it set the response.
func (r *inflightRequest) respond(response Response) bool {
	return r.respondFrom(answerPending, response)
}

// reject answers the request with a rejection. If the request is not idempotent and an attempt, which the router
// cancels, is still pending, the response is delayed until the attempt has ended: the client may retry once it has the
// rejection, and the engine must notice the cancellation before that (engine.Client.AwaitSettled). Only the event loop
// may call it.
func (r *inflightRequest) reject(response Response) {
	notIdempotent := r.class.Idempotency == routing.NotIdempotent
	if r.pendingAttempts > 0 && notIdempotent && r.conn.gateway.Routing.CanCancel {
		r.delayedResponse = &response
		return
	}
	r.respond(response)
}

// respondFrom sets the final response if the answer is in the given state. It returns whether it set the response.
func (r *inflightRequest) respondFrom(from answerState, response Response) bool {
	if !r.state.CompareAndSwap(from, answerDone) {
		return false
	}
	r.response, r.reason = response, response.reason
	switch {
	case response.Status == http.StatusTooManyRequests:
		r.result = resultRejected
	case response.Status >= http.StatusInternalServerError:
		r.result = resultFailed
	default:
		r.result = resultServed
	}
	r.conn.interruptRead()
	close(r.done)
	return true
}
