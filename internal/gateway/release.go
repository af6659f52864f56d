package gateway

import (
	"cmp"
	"slices"
	"time"

	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// Releasing what prefills left at engines. Where states are identified by attempt, each prefill endpoint is asked to
// release its own. Where they are identified by request, any running engine passes the release on. It is sent at once
// where only decodes are pending: one that has arrived keeps the state that it waits for, and one that has not arrived
// must not keep the state from being released. Otherwise it is sent when no attempt is pending, since it would not
// cover what a pending prefill leaves.

const (
	maxReleaseEndpoints = 8  // engines that are asked to release one state
	releaseSteps        = 10 // the next engine is asked after this part of the state TTL without a reply
	maxReleaseRetries   = 10 // of a release that failed
	releaseRetryPart    = 4  // the retry comes after this part of the state TTL
)

// stateTTL is how long the router lets a read state be held.
func (l *eventLoop) stateTTL() time.Duration {
	if ttl := l.gateway.Routing.StateTTL; ttl > 0 {
		return ttl
	}
	return routing.DefaultStateTTL
}

// release is a read state to be released. Fields are set by the event loop; while calls are under way they are read by
// the goroutine that makes them.
type release struct {
	id        string             // of the request, or of the attempt
	endpoints []*engine.Endpoint // in the order in which they are asked
	held      readState          // what is known of the state
	request   *inflightRequest   // whose state it is; nil where states are identified by attempt
	rounds    int                // that have ended
	repeat    bool               // it is sent a second time, since it may overtake the end of an aborted decode
}

// releaseCall is one engine to be asked.
type releaseCall struct {
	endpoint *engine.Endpoint
	newConn  bool
}

// calls are the engines in the order in which they are asked. Reused connections may be dead without a sign, so only
// the first call is made on one; its engine, most likely the holder, is asked once more on a new connection.
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

// releaseRequested releases what prefills of the request left at engines, as the router asks for. Each engine is asked
// after its attempt has ended, so that the release can't overtake the prefill; releasing twice is harmless.
func (l *eventLoop) releaseRequested(request *inflightRequest) {
	if !l.releasesState {
		return
	}
	request.release.wanted = true
	if l.engines.StateByRequestID {
		if !request.releasedLater() {
			l.releaseNow(request, 0)
		}
		return
	}
	if request.decodeWaits() { // an engine that is asked by an attempt's id can't see that a decode waits for the state
		return
	}
	for _, a := range request.attempts {
		if !a.decode && !a.releaseStarted {
			l.releaseAttempt(request, a)
		}
	}
}

// releaseAttempt releases the state of one prefill.
func (l *eventLoop) releaseAttempt(request *inflightRequest, a *attempt) {
	a.releaseStarted = true
	held := readState{}
	if a.endpoint.Name == request.release.held.endpoint {
		held, request.release.held = request.release.held, held
	}
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		<-a.ended
		a.releaseState(l, held)
	}()
}

// releasedLater reports that what the request may hold is released at the end of this step, or by the end of a pending
// attempt: a prefill, or a canceled decode.
func (r *inflightRequest) releasedLater() bool {
	if r.pendingAttempts == 0 {
		return r.answered()
	}
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.pending && (!a.decode || a.handle.Canceled())
	})
}

// decodeWaits reports that a decode is pending and was not canceled.
func (r *inflightRequest) decodeWaits() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return a.pending && a.decode && !a.handle.Canceled()
	})
}

// releaseNow releases what the request may hold. Its next attempt waits for the end of the release, which would take
// the state of a prefill that follows, too.
func (l *eventLoop) releaseNow(request *inflightRequest, rounds int) {
	done := make(chan struct{})
	request.release.done = done
	l.startRelease(l.newRelease(request, rounds), func() { close(done) })
}

// newRelease makes a release of what the request may hold, which is not counted as held any more.
func (l *eventLoop) newRelease(request *inflightRequest, rounds int) *release {
	r := &release{
		id: request.clientID, endpoints: l.releaseOrder(request), held: request.release.held, request: request,
		rounds: rounds,
	}
	request.release.held = readState{}
	return r
}

// releaseUnclear releases what a request that goes on may hold, if its last attempt was a prefill of which it is not
// known how it ended. The request may wait for long before its next prefill, or that may be sent and never arrive, and
// what is held must not wait for either. The next attempt waits for the end of the release.
func (l *eventLoop) releaseUnclear(request *inflightRequest) {
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

// releaseAll releases what a request that ends may have left anywhere: the router asked for it, or a prefill of which
// it is not known how it ended came before the one that was decoded from.
func (l *eventLoop) releaseAll(request *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState {
		l.endState(request, stateAbandoned)
		return
	}
	prefillRan := false
	for _, a := range request.attempts {
		prefillRan = prefillRan || !a.decode && !a.neverRan
		request.release.wanted = request.release.wanted || a.mayHoldState && !a.releaseStarted
	}
	if request.release.wanted && prefillRan {
		l.startRelease(l.newRelease(request, 0), func() {})
		return
	}
	l.endState(request, stateFetched) // by a stream whose first token was not heard of before its end
}

// stateHolders are the endpoints that may hold state for the request, the latest first: those that confirmed a prefill,
// and those of which it is not known how the prefill ended. The latter may be out of reach.
func (r *inflightRequest) stateHolders() (confirmed, unclear []*engine.Endpoint) {
	for _, a := range slices.Backward(r.attempts) {
		switch {
		case a.decode || a.neverRan || slices.Contains(confirmed, a.endpoint) || slices.Contains(unclear, a.endpoint):
		case a.mayHoldState:
			unclear = append(unclear, a.endpoint)
		default:
			confirmed = append(confirmed, a.endpoint)
		}
	}
	return confirmed, unclear
}

// releaseOrder is the order in which engines are asked to release: those that hold the state, then the open ones by
// their last response, the latest first. So do those of which it is not known: any running engine passes a release on.
func (l *eventLoop) releaseOrder(request *inflightRequest) []*engine.Endpoint {
	order, others := request.stateHolders()
	for _, entry := range l.table.byID {
		e := entry.engine
		if e.IsOpen() && !slices.Contains(order, e) && !slices.Contains(others, e) {
			others = append(others, e)
		}
	}
	slices.SortStableFunc(others, func(a, b *engine.Endpoint) int {
		return cmp.Compare(b.LastResponse(), a.LastResponse())
	})
	order = append(order, others...)
	return order[:min(len(order), maxReleaseEndpoints)]
}
