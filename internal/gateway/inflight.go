package gateway

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// answerState is the state of a request's answer. Whoever moves it on from answerPending owns the answer, so that there
// is exactly one: the event loop or the connection's goroutine with a response, an attempt's worker with a stream, or
// the connection's goroutine when the client has left.
type answerState int32

const (
	answerPending   answerState = iota
	answerStreaming             // an attempt owns the client's stream
	answerDone                  // the response is set, or the stream has ended
	answerAbandoned             // the client has left
)

type atomicAnswerState struct{ value atomic.Int32 }

func (s *atomicAnswerState) Load() answerState { return answerState(s.value.Load()) }

func (s *atomicAnswerState) CompareAndSwap(from, to answerState) bool {
	return s.value.CompareAndSwap(int32(from), int32(to))
}

// inflightRequest is a request from its acceptance until its last attempt has ended.
type inflightRequest struct {
	// Set by the connection's goroutine before the event loop knows the request.
	id             routing.RequestID
	clientID       string          // chosen by the client; "" = none
	traits         routing.Request // for the router, all but ID and Deadline
	bodies         RequestBodies   // nil once no further attempt needs it
	path           string          // request target at engines
	idempotencyKey string          // Idempotency-Key
	class          *routing.Class
	conn           *clientConn
	collector      *api.Collector // collects the answer for a client that does not stream; else nil
	chunked        bool           // the client understands chunked bodies
	keepAlive      bool           // the connection stays open after the answer
	acceptedAt     time.Time
	deadline       time.Time // for the first token or a final response
	answerDeadline time.Time // for a whole answer; zero = unknown

	state atomicAnswerState
	done  chan struct{} // closed once the response is set or the stream has ended

	// Set before done is closed, by the owner of the answer.
	response Response
	result   string // one of the result constants
	reason   string // why it was not served; "" if it was

	eventCount atomic.Int64 // events of the stream
	firstToken atomic.Int64 // nanoseconds from acceptedAt to the first token
	bodyBytes  atomic.Int64 // its part of Gateway.bodyBytes

	mu       sync.Mutex
	attempts []*attempt // appended to by the event loop alone, under mu; others read it under mu

	// Owned by the event loop.
	pendingAttempts int
	kvParams        json.RawMessage // KV transfer parameters of the last prefill
	delayedResponse *Response       // sent when pendingAttempts is 0: see reject
	release         releaseProgress
}

// releaseProgress is what is known of the read state that engines may hold for a request, and of its release.
type releaseProgress struct {
	held   readState       // at an endpoint, as far as known
	wanted bool            // the router wants released what may be held
	last   *release        // the one started last
	done   <-chan struct{} // the next attempt waits until it is closed; nil = it need not wait
}

// Results of requests, as metric label values and in log lines.
const (
	resultServed     = "served"
	resultRejected   = "refused"
	resultFailed     = "failed"
	resultBroken     = "broken"
	resultClientGone = "gone"
)

// displayID is the id of the request in answers and logs.
func (r *inflightRequest) displayID() string {
	if r.clientID != "" {
		return r.clientID
	}
	return r.conn.gateway.attemptID(r.id, 0)
}

// releaseBodyBytes returns the request's part of the bound on body bytes.
func (r *inflightRequest) releaseBodyBytes() { r.conn.gateway.bodyBytes.Add(-r.bodyBytes.Swap(0)) }

func (r *inflightRequest) answered() bool { return r.state.Load() >= answerDone }

// abandoned reports, just before an attempt is written, that nobody waits for it any more.
func (r *inflightRequest) abandoned() bool { return r.answered() || r.conn.peerClosed() }

func (r *inflightRequest) addAttempt(a *attempt) {
	r.mu.Lock()
	r.attempts = append(r.attempts, a)
	r.mu.Unlock()
}

// cancelAttempts cancels what streams to a client that gets or takes no more of it.
func (r *inflightRequest) cancelAttempts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.handle.Cancel()
	}
}

// respond sets the final response if there is no answer yet.
func (r *inflightRequest) respond(response Response) bool {
	return r.respondFrom(answerPending, response)
}

// reject sets a rejection. While an attempt of a request that is not idempotent is pending, which the router cancels,
// the response is delayed until it has ended: its engine learns first that nobody waits for it
// (engine.Client.AwaitSettled). Called by the event loop.
func (r *inflightRequest) reject(response Response) {
	notIdempotent := r.class.Idempotency == routing.NotIdempotent
	if r.pendingAttempts > 0 && notIdempotent && r.conn.gateway.Routing.CanCancel {
		r.delayedResponse = &response
		return
	}
	r.respond(response)
}

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
