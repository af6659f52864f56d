package gateway

import (
	"cmp"
	"slices"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// This file releases the read states that prefills left at engines. If states are identified by attempt, each prefill
// endpoint is asked to release its own. If they are identified by request, any running engine forwards the release.
// Such a release is sent at once if only decodes that were not canceled are pending: a decode that has reached its
// engine keeps the state that it waits for, and one that has not reached it must not prevent the release. Otherwise it
// is sent when no attempt is pending: it would not cover the state that a pending prefill leaves, and a canceled decode
// ends soon.

const (
	maxReleaseEndpoints = 8  // engines that are asked to release one state, at most
	releaseHedgeDivisor = 10 // the next engine is asked after TTL / releaseHedgeDivisor without a reply
	maxReleaseRetries   = 10 // retries of a release that failed
	releaseRetryDivisor = 4  // a release is retried after TTL / releaseRetryDivisor
)

// stateTTL returns how long the router lets a read state be held.
func (l *eventLoop) stateTTL() time.Duration {
	if ttl := l.gateway.Routing.StateTTL; ttl > 0 {
		return ttl
	}
	return routing.DefaultStateTTL
}

// release is a read state to be released. While its calls are in progress its fields belong to the goroutine that makes
// them, and between the rounds of calls to the event loop.
type release struct {
	id        string             // of the request, or of the attempt
	endpoints []*engine.Endpoint // in the order in which they are asked
	heldState readState          // the state, if a prefill confirmed it
	request   *inflightRequest   // whose state it is; nil where states are identified by attempt
	rounds    int                // completed rounds of calls; each failed, or is to be repeated
	sendTwice bool               // sent again later: it may arrive before an engine notices the abort of a decode
}

// releaseCall is one engine to be asked.
type releaseCall struct {
	endpoint *engine.Endpoint
	newConn  bool
}

// calls returns the engines in the order in which they are asked. A reused connection may be broken without any sign of
// it, so only the first call may use one. The first engine most likely holds the state, so it is asked again, after the
// second engine, on a new connection.
func (r *release) calls() []releaseCall {
	var calls []releaseCall
	for i, endpoint := range r.endpoints {
		calls = append(calls, releaseCall{endpoint, i > 0})
		if i == min(1, len(r.endpoints)-1) {
			calls = append(calls, releaseCall{r.endpoints[0], true})
		}
	}
	return calls
}

// releaseRequested handles the router's action to release the states that the request's prefills left at engines. If
// states are identified by attempt, each engine is asked after its attempt has ended, so that the release can't
// overtake the prefill. Releasing a state twice is harmless.
func (l *eventLoop) releaseRequested(request *inflightRequest) {
	if !l.releasesState {
		return
	}
	request.release.requested = true
	if l.engines.StateByRequestID {
		if !request.willReleaseLater() {
			l.releaseNow(request, 0)
		}
		return
	}
	if request.decodeAwaitsState() { // from the attempt's id an engine can't tell that a decode waits for the state
		return
	}
	for _, a := range request.attempts {
		if !a.decode && !a.releaseStarted {
			l.releaseAttempt(request, a)
		}
	}
}

// releaseAttempt releases the state of one prefill, once the attempt has ended.
func (l *eventLoop) releaseAttempt(request *inflightRequest, a *attempt) {
	a.releaseStarted = true
	heldState := readState{}
	if a.endpoint.Name == request.release.heldState.endpoint {
		heldState, request.release.heldState = request.release.heldState, heldState
	}
	l.tasks.Add(1)
	go func() {
		defer l.tasks.Done()
		<-a.done
		a.releaseState(l, heldState)
	}()
}

// willReleaseLater reports whether the read states of the request will be released anyway: at the end of this step, or
// when a pending attempt ends, which is a prefill or a canceled decode.
func (r *inflightRequest) willReleaseLater() bool {
	if r.pendingAttempts == 0 {
		return r.answered()
	}
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.pending && (!a.decode || a.handle.Canceled())
	})
}

// decodeAwaitsState reports whether a decode is pending that was not canceled.
func (r *inflightRequest) decodeAwaitsState() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.pending && a.decode && !a.handle.Canceled()
	})
}

// releaseNow releases any read state that engines may hold for the request. The request's next attempt waits for the
// end of the release, since a release that is still in progress would also drop the state of a following prefill.
func (l *eventLoop) releaseNow(request *inflightRequest, rounds int) {
	done := make(chan struct{})
	request.release.done = done
	l.startRelease(l.newRelease(request, rounds), func() { close(done) })
}

// newRelease returns a release of any read state that engines may hold for the request. From then on the release, not
// the request, accounts for the held state.
func (l *eventLoop) newRelease(request *inflightRequest, rounds int) *release {
	r := &release{
		id: request.clientID, endpoints: l.releaseOrder(request), heldState: request.release.heldState, request: request,
		rounds: rounds,
	}
	request.release.heldState = readState{}
	return r
}

// releaseUnconfirmed releases the read state of a request that is still in flight, if its last attempt was a prefill
// that may have left one without confirming it. The request may wait for a long time before its next prefill, or that
// prefill may never arrive, and the state must not be held meanwhile. The next attempt waits for the end of the
// release.
func (l *eventLoop) releaseUnconfirmed(request *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState || len(request.attempts) == 0 {
		return
	}
	last := request.attempts[len(request.attempts)-1]
	if !last.mayHoldState || last.releaseStarted {
		return
	}
	last.releaseStarted = true
	l.releaseNow(request, 0)
}

// releaseAll is called when a request has ended. Where states are identified by request, it releases all those that
// engines may still hold for the request, if the router has asked for that or a prefill may have left a state that no
// reply confirmed. Otherwise a decode has fetched the state, or there was none.
func (l *eventLoop) releaseAll(request *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState {
		l.endState(request, stateAbandoned)
		return
	}
	prefillExecuted := false
	for _, a := range request.attempts {
		prefillExecuted = prefillExecuted || !a.decode && !a.neverExecuted
		request.release.requested = request.release.requested || a.mayHoldState && !a.releaseStarted
	}
	if request.release.requested && prefillExecuted {
		l.startRelease(l.newRelease(request, 0), func() {})
		return
	}
	l.endState(request, stateFetched) // fetched by a stream whose first token was not reported before its end
}

// stateHolders returns the endpoints that may hold state for the request, the latest first: those that confirmed a
// prefill, and those where the result of the prefill is unknown, which may be unreachable.
func (r *inflightRequest) stateHolders() (confirmed, unconfirmed []*engine.Endpoint) {
	for _, a := range slices.Backward(r.attempts) {
		switch {
		case a.decode || a.neverExecuted ||
			slices.Contains(confirmed, a.endpoint) || slices.Contains(unconfirmed, a.endpoint):
		case a.mayHoldState:
			unconfirmed = append(unconfirmed, a.endpoint)
		default:
			confirmed = append(confirmed, a.endpoint)
		}
	}
	return confirmed, unconfirmed
}

// releaseOrder returns the engines that are asked to release, in order: first those that confirmed a prefill, then all
// others, the one with the latest response first. The others are those that may hold an unconfirmed state, and all open
// engines, since any running engine forwards a release.
func (l *eventLoop) releaseOrder(request *inflightRequest) []*engine.Endpoint {
	engines, others := request.stateHolders()
	for _, entry := range l.table.byID {
		e := entry.engine
		if e.IsOpen() && !slices.Contains(engines, e) && !slices.Contains(others, e) {
			others = append(others, e)
		}
	}
	slices.SortStableFunc(others, func(a, b *engine.Endpoint) int {
		return cmp.Compare(b.LastResponse(), a.LastResponse())
	})
	engines = append(engines, others...)
	return engines[:min(len(engines), maxReleaseEndpoints)]
}
