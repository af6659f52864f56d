package gateway

import (
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
	"brackenbend/internal/monotonic"
)

// Read states behind decodes at engines that hang. An engine that has taken a decode counts as waiting for its read
// state, so a release spares the state, also after the decode was aborted: the engine sees that only when it runs
// again. A release has to follow then. That the engine runs shows when it responds to anything; where there is nothing
// else to respond to it is asked for the release itself, which waits in its socket meanwhile.

const (
	hungCallTimeout = 8 * time.Second // of a call to an engine that may hang
	hungCallPause   = time.Second     // after a call that failed
	maxHungTime     = time.Minute     // an engine is waited for so long
	maxHungRequests = 1000            // that wait for one engine
)

// hungEngine is an engine that has not responded since a decode there was aborted.
type hungEngine struct {
	endpoint *engine.Endpoint
	since    monotonic.Time
	stop     chan struct{}  // closed when the event loop stops
	call     engine.Attempt // safe for concurrent use

	// Owned by the event loop.
	requests []*inflightRequest // whose read states may wait for it
}

// releaseOnceHungRuns has the read states of a request that has ended released again when the engines run at which its
// decodes were aborted.
func (l *eventLoop) releaseOnceHungRuns(request *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState || l.stopping {
		return
	}
	for _, a := range request.attempts {
		if a.decodeAborted && a.endpoint.LastResponse() < a.endedAt {
			l.awaitHung(a.endpoint, request)
		}
	}
}

func (l *eventLoop) awaitHung(endpoint *engine.Endpoint, request *inflightRequest) {
	hung := l.hungEngines[endpoint]
	if hung == nil {
		hung = &hungEngine{endpoint: endpoint, since: monotonic.Now(), stop: make(chan struct{})}
		l.hungEngines[endpoint] = hung
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			l.callHung(hung, request.clientID)
			l.post(nil, hungEngineDone{hung})
		}()
	}
	if len(hung.requests) < maxHungRequests {
		hung.requests = append(hung.requests, request)
	}
}

// callHung returns when the engine has responded, is closed or was waited for long enough. A busy engine has mostly
// responded to something else before the first call.
func (l *eventLoop) callHung(hung *hungEngine, id string) {
	pause, newConn := l.stateTTL()/releaseRetryPart, false
	for end := hung.since.Add(maxHungTime); monotonic.Now() < end; {
		select {
		case <-hung.stop:
			return
		case <-time.After(pause):
		}
		if !hung.endpoint.IsOpen() || hung.endpoint.LastResponse() >= hung.since {
			return
		}
		deadline := time.Now().Add(hungCallTimeout)
		if l.engines.ReleaseState(&hung.call, hung.endpoint, id, newConn, deadline) == nil {
			return
		}
		pause, newConn = hungCallPause, true
	}
}

// hungEngineHeard releases what waited for a hung engine.
func (l *eventLoop) hungEngineHeard(hung *hungEngine) {
	delete(l.hungEngines, hung.endpoint)
	if l.stopping {
		return
	}
	message := "engine responds after an aborted decode"
	if hung.endpoint.IsOpen() && hung.endpoint.LastResponse() < hung.since {
		message = "engine silent for long after an aborted decode"
	}
	l.gateway.log.Info(message, zap.String("engine", hung.endpoint.Name),
		zap.Duration("after", monotonic.Now().Sub(hung.since)), zap.Int("requests", len(hung.requests)))
	for _, request := range hung.requests {
		l.startRelease(l.newRelease(request, 0), func() {})
	}
}

// stopAwaitingHung ends the calls to hung engines.
func (l *eventLoop) stopAwaitingHung() {
	for _, hung := range l.hungEngines {
		close(hung.stop)
		hung.call.Cancel()
	}
}
