package fleet

import (
	"fmt"
	"slices"
	"time"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// seedsEach separates the replicas' seeds of neighboring scenario seeds, as the settings that scenarios write do.
const seedsEach = 1000

func replicaName(index int) string { return fmt.Sprint("front-", index+1) }

// requestTable holds the requests of a replica's process.
type requestTable struct {
	lastID    routing.RequestID
	byID      map[routing.RequestID]*inflightRequest
	byAttempt map[uint64]*inflightRequest // by the client's attempt
	answered  []*inflightRequest          // in the present step
}

func newRequestTable() requestTable {
	return requestTable{byID: map[routing.RequestID]*inflightRequest{}, byAttempt: map[uint64]*inflightRequest{}}
}

// inflightRequest is a request until its last attempt has ended.
type inflightRequest struct {
	id        routing.RequestID
	message   incomingRequest
	due       time.Duration // when it must be answered, in simulated time
	answer    answerState
	streaming int // the attempt that streams
	attempts  []*attempt
	open      int           // attempts
	state     stateLocation // of the latest prefill
	prefilled bool          // at least once
}

// answerState is how far the answer of a request is.
type answerState uint8

const (
	answerOpen answerState = iota
	answerStreaming
	answerGiven
)

// sendAnswer sends a client the final answer.
func (r *replica) sendAnswer(attempt uint64, kind string, wait time.Duration, noAutoRetry bool) {
	r.send(r.fleet.clients.id, r.fleet.hop(r.rnd), answer{attempt, kind, wait, noAutoRetry})
}

// mayHaveEffect reports whether running the request twice could do harm.
func (r *replica) mayHaveEffect(request *inflightRequest) bool {
	return r.fleet.config.Classes[request.message.traits.Class].Idempotency != routing.Idempotent
}

// finish gives a request its final answer, unless it has one.
func (r *replica) finish(request *inflightRequest, kind string, wait time.Duration, noAutoRetry bool) {
	if request.answer == answerGiven {
		return
	}
	if request.answer == answerOpen && (kind == kindRejected || kind == kindFailed) {
		r.lost[request.stage()]++
	}
	request.answer = answerGiven
	r.sendAnswer(request.message.attempt, kind, wait, noAutoRetry)
}

// stage returns the index in replica.lost of the stage that a request without a first token has not passed.
func (request *inflightRequest) stage() int {
	if request.prefilled {
		return 1
	}
	return 0
}

func (r *replica) onRequest(m incomingRequest) {
	if r.process.draining {
		if r.now()-r.process.drainStart > acceptWhileDraining {
			r.sendAnswer(m.attempt, kindUnconnected, 0, false)
		} else {
			r.sendAnswer(m.attempt, kindDraining, time.Second, false)
		}
		return
	}
	r.requests.lastID++
	request := &inflightRequest{id: r.requests.lastID, message: m, state: noState}
	margin := r.fleet.settings.Replica.AnswerMargin
	wait := api.ShorterTimeout(r.fleet.config.Classes[m.traits.Class].Deadline, m.wait)
	request.due = r.now() + api.SubtractMargin(wait, margin)
	r.requests.byID[request.id], r.requests.byAttempt[m.attempt] = request, request
	r.schedule(request.due+margin/2-r.now(), answerDue{r.process.run, request.id, false})
	if !m.stream {
		r.schedule(api.SubtractMargin(m.wait, margin), answerDue{r.process.run, request.id, true})
	}
	r.step(m.traits.RoutingRequest(request.id, request.due+epoch))
	r.forgetIfDone(request)
}

func (r *replica) onAnswerDue(m answerDue) {
	request := r.requests.byID[m.request]
	if m.run != r.process.run || request == nil {
		return
	}
	if request.answer == answerOpen || request.answer == answerStreaming && m.whole {
		r.finish(request, kindFailed, 0, r.mayHaveEffect(request))
		r.onClientLeft(request)
	}
}

// onClientLeft closes a request whose client disconnected, or whose time was up.
func (r *replica) onClientLeft(request *inflightRequest) {
	if request.answer == answerStreaming {
		r.cancelAll(request)
	}
	request.answer = answerGiven
	r.step(routing.ClientDisconnected{Request: request.id})
	r.forgetIfDone(request)
}

// forgetIfDone forgets a request that has its answer and no open attempt.
func (r *replica) forgetIfDone(request *inflightRequest) {
	if request.answer == answerGiven && request.open == 0 && r.requests.byID != nil {
		delete(r.requests.byID, request.id)
		delete(r.requests.byAttempt, request.message.attempt)
	}
}

// hasOpenDecode reports whether a decode is open that was not canceled: it may still wait for the state, which its
// prefill endpoint can't see, so no release is sent.
func (request *inflightRequest) hasOpenDecode() bool {
	return slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.decode && !a.ended && !a.canceled })
}
