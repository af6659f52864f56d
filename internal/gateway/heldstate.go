package gateway

import "time"

// This file tracks held read states, for logs and metrics only; the router decides when a state is released.

// readState is the KV cache state that a prefill endpoint holds for a request.
type readState struct {
	endpoint string
	since    time.Time // when the event loop received the prefill's outcome; zero = no state is held
}

// Reasons why a read state is no longer held, as metric label values.
const (
	stateFetched       = "fetched"        // a decode's stream began
	stateMissing       = "gone"           // a decode's engine reported that it has none, or a later prefill replaced it
	stateReleased      = "released"       // an engine accepted the release
	stateAbandoned     = "left"           // the request ended without a release of the state
	stateReleaseFailed = "release failed" // no engine accepted the release that was to drop it
)

// stateHeld records that a successful prefill left a state at the endpoint.
func (l *eventLoop) stateHeld(request *inflightRequest, endpoint string) {
	l.endState(request, stateMissing) // the state of an earlier prefill, which this one has replaced
	request.release.heldState = readState{endpoint, time.Now()}
	l.gateway.metrics.HeldReadStates.Inc()
}

// endState records that the state held for the request, if any, is no longer held, and why.
func (l *eventLoop) endState(request *inflightRequest, reason string) {
	l.observeStateEnd(request.release.heldState, reason)
	request.release.heldState = readState{}
}

// observeStateEnd updates the metrics of held states. It is safe for concurrent use.
func (l *eventLoop) observeStateEnd(heldState readState, reason string) {
	if heldState.since.IsZero() {
		return
	}
	l.gateway.metrics.HeldReadStates.Dec()
	l.gateway.metrics.ReadStateHeldSeconds.WithLabelValues(reason).Observe(time.Since(heldState.since).Seconds())
}
