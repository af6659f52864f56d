package gateway

import (
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
	"brackenbend/internal/monotonic"
)

// This file repeats releases that a hung engine has made ineffective. A release doesn't drop a read state that a decode
// waits for. If an engine hangs after it accepted a decode, the decode still counts as waiting after the gateway has
// aborted it, since the engine notices the abort only when it runs again; the release has to be repeated then. Any
// response shows that the engine runs again. In case the engine has no other request to respond to, a release is sent
// to it, which stays in the engine's socket buffer until the engine runs.

const (
	hungEngineCallTimeout    = 8 * time.Second // timeout of one release call to a hung engine
	hungEngineRetryDelay     = time.Second     // delay after a call that failed
	maxHungEngineWait        = time.Minute     // after this time the releases are repeated in any case
	maxRequestsPerHungEngine = 1000            // requests whose releases are repeated after one engine responds
)

// hungEngine is an engine that has not responded since a decode there was aborted.
type hungEngine struct {
	endpoint *engine.Endpoint
	since    monotonic.Time // when the wait for it began
	stop     chan struct{}  // closed when the event loop stops
	call     engine.Attempt // safe for concurrent use

	// Owned by the event loop.
	requests []*inflightRequest // whose read states are to be released once it responds
}

// releaseAfterHungEngines is called when a request has ended. For each engine that has not responded since a decode of
// the request was aborted there, it arranges for the request's read states to be released again once the engine
// responds.
func (l *eventLoop) releaseAfterHungEngines(request *inflightRequest) {
	if !l.engines.StateByRequestID || !l.releasesState || l.stopping {
		return
	}
	for _, a := range request.attempts {
		if a.decodeAborted && a.endpoint.LastResponse() < a.endedAt {
			l.awaitHungEngine(a.endpoint, request)
		}
	}
}

// awaitHungEngine adds the request to those that wait for the hung engine, and starts to probe the engine if no other
// request waits for it.
func (l *eventLoop) awaitHungEngine(endpoint *engine.Endpoint, request *inflightRequest) {
	hung := l.hungEngines[endpoint]
	if hung == nil {
		hung = &hungEngine{endpoint: endpoint, since: monotonic.Now(), stop: make(chan struct{})}
		l.hungEngines[endpoint] = hung
		l.tasks.Add(1)
		go func() {
			defer l.tasks.Done()
			l.probeHungEngine(hung, request.clientID)
			l.post(nil, hungEngineDone{hung})
		}()
	}
	if len(hung.requests) < maxRequestsPerHungEngine {
		hung.requests = append(hung.requests, request)
	}
}

// probeHungEngine sends releases of the read state of id to the engine. It returns when the engine has responded or is
// closed, maxHungEngineWait has passed, or the event loop stops. Before the first call it waits, since a busy engine
// usually responds to another request meanwhile.
func (l *eventLoop) probeHungEngine(hung *hungEngine, id string) {
	delay, newConn := l.stateTTL()/releaseRetryDivisor, false
	for end := hung.since.Add(maxHungEngineWait); monotonic.Now() < end; {
		select {
		case <-hung.stop:
			return
		case <-time.After(delay):
		}
		if !hung.endpoint.IsOpen() || hung.endpoint.LastResponse() >= hung.since {
			return
		}
		deadline := time.Now().Add(hungEngineCallTimeout)
		if l.engines.ReleaseState(&hung.call, hung.endpoint, id, newConn, deadline) == nil {
			return
		}
		delay, newConn = hungEngineRetryDelay, true
	}
}

// hungEngineWaitEnded repeats the releases that waited for a hung engine.
func (l *eventLoop) hungEngineWaitEnded(hung *hungEngine) {
	delete(l.hungEngines, hung.endpoint)
	if l.stopping {
		return
	}
	message := "engine responds after an aborted decode"
	if hung.endpoint.IsOpen() && hung.endpoint.LastResponse() < hung.since {
		message = "engine did not respond after an aborted decode; no longer waiting"
	}
	l.gateway.log.Info(message, zap.String("engine", hung.endpoint.Name),
		zap.Duration("after", monotonic.Now().Sub(hung.since)), zap.Int("requests", len(hung.requests)))
	for _, request := range hung.requests {
		l.startRelease(l.newRelease(request, 0), func() {})
	}
}

// cancelHungEngineWaits ends the waits for hung engines and cancels the calls to them.
func (l *eventLoop) cancelHungEngineWaits() {
	for _, hung := range l.hungEngines {
		close(hung.stop)
		hung.call.Cancel()
	}
}
