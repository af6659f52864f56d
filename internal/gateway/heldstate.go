package gateway

import "time"

// Read states are tracked here for logs and metrics only; the router decides when one is released.

// readState is the KV cache state that a prefill endpoint holds for a request.
type readState struct {
	endpoint string
	since    time.Time // when the prefill's end was heard of; zero = none is held
}

// How a read state's time ended, as a metric label.
const (
	stateFetched       = "fetched"        // the stream of a decode began
	stateMissing       = "gone"           // a decode found none, or it was dropped with an answer
	stateReleased      = "released"       // an engine accepted the release
	stateAbandoned     = "left"           // the request ended, and engines are not notified, or in another way
	stateReleaseFailed = "release failed" // no engine accepted it
)

// stateHeld records a successful prefill at the endpoint.
func (l *eventLoop) stateHeld(request *inflightRequest, endpoint string) {
	l.endState(request, stateMissing) // that of an earlier prefill, which this one has replaced
	request.release.held = readState{endpoint, time.Now()}
	l.gateway.metrics.HeldStates.Inc()
}

// endState records how the time of the state that request holds ended, if it holds one.
func (l *eventLoop) endState(request *inflightRequest, end string) {
	l.observeStateEnd(request.release.held, end)
	request.release.held = readState{}
}

// observeStateEnd is safe for concurrent use.
func (l *eventLoop) observeStateEnd(held readState, end string) {
	if held.since.IsZero() {
		return
	}
	l.gateway.metrics.HeldStates.Dec()
	l.gateway.metrics.StateHeldSeconds.WithLabelValues(end).Observe(time.Since(held.since).Seconds())
}
