package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// eventLoop is the single goroutine that owns the router. It never blocks: connections and attempts run in goroutines
// of their own and post messages to it. The queue needs no bound of its own: an open request has only a few messages in
// it at a time, and the number of open requests is bounded.
type eventLoop struct {
	gateway       *Gateway
	router        *routing.Router
	engines       *engine.Client
	releasesState bool // engines are asked to release read states
	start         time.Time

	hasEndpoints atomic.Bool

	mu     sync.Mutex // guards queue and closed
	queue  []message
	closed bool
	wake   chan struct{} // capacity 1; holds an element while the queue may have messages
	done   chan struct{} // closed when the loop has ended

	tasks       sync.WaitGroup // counts running attempts, releases and waits for hung engines
	handoff     chan *attempt  // passes attempts to idle workers
	idleWorkers atomic.Int64   // number of idle workers

	// Owned by the loop's goroutine.
	requests             map[routing.RequestID]*inflightRequest
	table                endpointTable
	steppedAt            time.Time          // when the router last ran; the timeouts in its actions start then
	completionCandidates []*inflightRequest // requests that may have ended in this step
	stepWaiters          []chan struct{}    // closed at the end of this step
	hungEngines          map[*engine.Endpoint]*hungEngine
	stopping             bool
	statusLoggedAt       time.Time
	attemptResults       struct {
		prefill, decode [len(attemptResultNames)]prometheus.Counter
	}
}

// message is one entry of the loop's queue. It holds a router event, a local event, or both; the local one is handled
// first.
type message struct {
	event routing.Event
	local localEvent
}

// localEvent is an event that the loop handles itself. Each implementation holds at most one pointer, so that posting
// it doesn't allocate.
type localEvent interface {
	// handle processes the event and returns a resulting event for the router, or nil.
	handle(l *eventLoop) routing.Event
}

type (
	// requestStarted adds a request to the loop. It is posted together with the request's routing.Request.
	requestStarted struct{ request *inflightRequest }
	// endpointsUpdated is an update of the endpoint list.
	endpointsUpdated struct{ update *endpointslice.Update }
	// releaseDue is posted when the retry interval of a release has passed.
	releaseDue struct{ release *release }
	// hungEngineDone is posted when a hung engine has responded, or the wait for it has ended otherwise.
	hungEngineDone struct{ engine *hungEngine }
	// statusDue is posted once a second.
	statusDue struct{}
	// stepAwaited asks for done to be closed once the router has run and its actions were started.
	stepAwaited struct{ done chan struct{} }
	// stopRequested cancels all attempts and the waits for hung engines; the loop ends once no request is left.
	stopRequested struct{}
)

// epoch is the value of the loop's clock when the loop starts. It is greater than 0, so that the start times of engines
// that started before the gateway can be represented.
const epoch = 24 * time.Hour

func newEventLoop(g *Gateway, router *routing.Router, engines *engine.Client) *eventLoop {
	l := &eventLoop{
		gateway: g, router: router, engines: engines, releasesState: engines.ReleasesState(), start: time.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}), handoff: make(chan *attempt),
		requests: map[routing.RequestID]*inflightRequest{}, table: newEndpointTable(),
		hungEngines: map[*engine.Endpoint]*hungEngine{},
	}
	for result, name := range attemptResultNames {
		l.attemptResults.prefill[result] = g.metrics.Attempts.WithLabelValues(stagePrefill, name)
		l.attemptResults.decode[result] = g.metrics.Attempts.WithLabelValues(stageDecode, name)
	}
	go l.run()
	go l.tick()
	return l
}

// now returns the current time of the loop's monotonic clock.
func (l *eventLoop) now() time.Duration { return epoch + time.Since(l.start) }

// post adds a message to the queue. It may be called from any goroutine and never blocks.
func (l *eventLoop) post(event routing.Event, local localEvent) {
	l.mu.Lock()
	if !l.closed {
		l.queue = append(l.queue, message{event, local})
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// startRequest posts a new request to the router. It is not inlined, to keep its variables out of the stack frame of
// the connection's goroutine, which lives as long as the request.
//
//go:noinline
func (l *eventLoop) startRequest(request *inflightRequest) {
	event := request.routing
	event.ID, event.Deadline = request.id, l.now()+time.Until(request.deadline)
	if hook := l.gateway.hooks.Request; hook != nil {
		hook(&event)
	}
	l.post(event, requestStarted{request})
}

// shutdownRouter has the router answer all requests that have no answer yet, and waits until it has done so.
func (l *eventLoop) shutdownRouter() {
	done := make(chan struct{})
	l.post(routing.Shutdown{}, stepAwaited{done})
	<-done
}

// close cancels pending attempts, waits until no request is left and all releases have ended, and closes the endpoints.
func (l *eventLoop) close() {
	l.post(nil, stopRequested{})
	<-l.done
	l.tasks.Wait()
	for _, entry := range l.table.byName {
		entry.engine.Close()
	}
}

// run handles messages in batches until a stop was requested and no request is left.
func (l *eventLoop) run() {
	defer close(l.done)
	var batch []message
	var events []routing.Event
	for range l.wake {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		l.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		events = l.step(batch, events[:0])
		clear(batch)
		if l.stopping && len(l.requests) == 0 {
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
			return
		}
	}
}

// step handles a batch of messages with one step of the router. It returns the events slice, so that its capacity is
// reused.
func (l *eventLoop) step(batch []message, events []routing.Event) []routing.Event {
	startedAt := time.Now()
	l.completionCandidates = l.completionCandidates[:0]
	for i := range batch {
		if event := l.handleMessage(&batch[i]); event != nil {
			events = append(events, event)
		}
	}
	now := l.now()
	l.steppedAt = l.start.Add(now - epoch)
	for _, action := range l.router.Step(now, events) {
		l.perform(action)
	}
	l.finishCompleted()
	// Endpoints are removed only after the actions: the router may have sent to an endpoint because of an event that came
	// before the update in the same batch.
	l.table.removeGone()
	for _, done := range l.stepWaiters {
		close(done)
	}
	l.stepWaiters = nil
	l.gateway.metrics.DecisionSeconds.Observe(time.Since(startedAt).Seconds())
	l.gateway.metrics.DecisionEvents.Observe(float64(len(batch)))
	clear(l.completionCandidates)
	return events
}

// handleMessage updates the loop's own state and returns the event for the router, or nil.
func (l *eventLoop) handleMessage(m *message) routing.Event {
	if m.local != nil {
		if event := m.local.handle(l); event != nil {
			return event
		}
	}
	switch event := m.event.(type) {
	case routing.ClientDisconnected:
		l.completionCandidate(event.Request)
	case routing.FirstToken:
		if request := l.requests[event.Request]; request != nil {
			l.endState(request, stateFetched)
			request.release.requested = false // engines drop the state when the stream begins
			request.cancelUnarrived()
		}
	case routing.Outcome:
		if request := l.completionCandidate(event.Request); request != nil {
			l.attemptEnded(request, &event)
		}
	}
	return m.event
}

func (e requestStarted) handle(l *eventLoop) routing.Event {
	l.requests[e.request.id] = e.request
	l.completionCandidates = append(l.completionCandidates, e.request)
	return nil
}

func (e endpointsUpdated) handle(l *eventLoop) routing.Event { return l.applyUpdate(e.update) }

func (e releaseDue) handle(l *eventLoop) routing.Event {
	l.retryRelease(e.release)
	return nil
}

func (e hungEngineDone) handle(l *eventLoop) routing.Event {
	l.hungEngineWaitEnded(e.engine)
	return nil
}

func (statusDue) handle(l *eventLoop) routing.Event {
	l.reportStatus()
	return nil
}

func (e stepAwaited) handle(l *eventLoop) routing.Event {
	l.stepWaiters = append(l.stepWaiters, e.done)
	return nil
}

func (stopRequested) handle(l *eventLoop) routing.Event {
	l.stopping = true
	l.cancelHungEngineWaits()
	for _, request := range l.requests {
		for _, a := range request.attempts {
			a.handle.Cancel()
		}
	}
	return nil
}

// completionCandidate returns the open request with the id, or nil, and marks it as one that may end in this step.
func (l *eventLoop) completionCandidate(id routing.RequestID) *inflightRequest {
	request := l.requests[id]
	if request != nil {
		l.completionCandidates = append(l.completionCandidates, request)
	}
	return request
}

// finishCompleted removes the requests that are answered and have no pending attempt, and releases their read states.
// For a request without a pending attempt that is not answered yet, it releases a state that no reply confirmed. For
// one that is answered it cancels the pending attempts that have not arrived.
func (l *eventLoop) finishCompleted() {
	for _, request := range l.completionCandidates {
		switch {
		case l.requests[request.id] != request:
			continue
		case request.pendingAttempts > 0:
			if request.answered() {
				request.cancelUnarrived()
			}
			continue
		case !request.answered():
			l.releaseUnconfirmed(request)
			continue
		}
		request.bodies = nil // free the memory: releases may keep the request for some time
		l.releaseAll(request)
		l.releaseAfterHungEngines(request)
		delete(l.requests, request.id)
		l.gateway.clientIDs.release(request.clientID, request.mustNotRunAgain())
	}
}
