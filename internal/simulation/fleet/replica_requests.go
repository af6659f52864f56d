package fleet

import (
	"fmt"
	"slices"
	"time"

	"brackenbend/internal/api"
	"brackenbend/routing"
)

// seedStride is the distance between the routers' seeds for consecutive scenario seeds, as in the settings that package
// scenario generates.
const seedStride = 1000

func replicaName(index int) string { return fmt.Sprint("front-", index+1) }

// requestTable holds the requests in flight in a replica's process.
type requestTable struct {
	lastID         routing.RequestID
	byID           map[routing.RequestID]*inflightRequest
	byAttempt      map[uint64]*inflightRequest // by the number of the client's attempt
	answeredInStep []*inflightRequest          // in the current step; checked for removal at its end
}

func newRequestTable() requestTable {
	return requestTable{byID: map[routing.RequestID]*inflightRequest{}, byAttempt: map[uint64]*inflightRequest{}}
}

// inflightRequest is a request that has no final answer or still has an open attempt.
type inflightRequest struct {
	id               routing.RequestID
	message          incomingRequest
	deadline         time.Duration // by which it must be answered, in simulated time
	answer           answerState
	streamingAttempt int // index of the attempt that streams the answer
	attempts         []*attempt
	openAttempts     int           // number of attempts that have not ended
	readState        stateLocation // read state of the latest prefill
	prefilled        bool          // at least one prefill completed
}

// answerState is the progress of a request's answer.
type answerState uint8

const (
	answerPending answerState = iota
	answerStreaming
	answerSent
)

// sendAnswer sends the result of an attempt to the client.
func (r *replica) sendAnswer(attempt uint64, result string, retryAfter time.Duration, noAutoRetry bool) {
	r.send(r.fleet.clients.id, r.fleet.linkDelay(r.rnd), answer{attempt, result, retryAfter, noAutoRetry})
}

// mayHaveEffect reports whether a second execution of the request could have an effect, because its class is idempotent
// only with a key or not at all.
func (r *replica) mayHaveEffect(request *inflightRequest) bool {
	return r.fleet.config.Classes[request.message.classification.Class].Idempotency != routing.Idempotent
}

// finish sends the final answer of a request, unless it was sent before.
func (r *replica) finish(request *inflightRequest, result string, retryAfter time.Duration, noAutoRetry bool) {
	if request.answer == answerSent {
		return
	}
	if request.answer == answerPending && (result == resultRejected || result == resultFailed) {
		r.lostByStage[request.stage()]++
	}
	request.answer = answerSent
	r.sendAnswer(request.message.attempt, result, retryAfter, noAutoRetry)
}

// stage returns the index in replica.lostByStage of the stage that a request without a first token is in.
func (request *inflightRequest) stage() int {
	if request.prefilled {
		return 1
	}
	return 0
}

func (r *replica) onRequest(m incomingRequest) {
	if r.process.draining {
		if r.now()-r.process.drainStart > acceptWhileDraining {
			r.sendAnswer(m.attempt, resultNotConnected, 0, false)
		} else {
			r.sendAnswer(m.attempt, resultDraining, time.Second, false)
		}
		return
	}
	r.requests.lastID++
	request := &inflightRequest{id: r.requests.lastID, message: m, readState: noState}
	margin := r.fleet.settings.Replica.AnswerMargin
	timeout := api.ShorterTimeout(r.fleet.config.Classes[m.classification.Class].Deadline, m.timeout)
	request.deadline = r.now() + api.SubtractMargin(timeout, margin)
	r.requests.byID[request.id], r.requests.byAttempt[m.attempt] = request, request
	r.schedule(request.deadline+margin/2-r.now(), answerDue{r.process.generation, request.id, false})
	if !m.stream {
		r.schedule(api.SubtractMargin(m.timeout, margin), answerDue{r.process.generation, request.id, true})
	}
	r.step(m.classification.RoutingRequest(request.id, request.deadline+epoch))
	r.removeIfDone(request)
}

func (r *replica) onAnswerDue(m answerDue) {
	request := r.requests.byID[m.request]
	if m.generation != r.process.generation || request == nil {
		return
	}
	if request.answer == answerPending || request.answer == answerStreaming && m.completeAnswer {
		r.finish(request, resultFailed, 0, r.mayHaveEffect(request))
		r.onClientDisconnected(request)
	}
}

// onClientDisconnected closes a request whose client disconnected or whose deadline passed.
func (r *replica) onClientDisconnected(request *inflightRequest) {
	if request.answer == answerStreaming {
		r.cancelAll(request)
	}
	request.answer = answerSent
	r.step(routing.ClientDisconnected{Request: request.id})
	r.removeIfDone(request)
}

// removeIfDone removes a request that has its final answer and no open attempt.
func (r *replica) removeIfDone(request *inflightRequest) {
	if request.answer == answerSent && request.openAttempts == 0 && r.requests.byID != nil {
		delete(r.requests.byID, request.id)
		delete(r.requests.byAttempt, request.message.attempt)
	}
}

// hasOpenDecode reports whether a decode is in flight and not canceled. Such a decode may still have to fetch the read
// state, which the prefill endpoint can't see, so the state must not be released.
func (request *inflightRequest) hasOpenDecode() bool {
	return slices.ContainsFunc(request.attempts, func(a *attempt) bool { return a.decode && !a.ended && !a.canceled })
}
