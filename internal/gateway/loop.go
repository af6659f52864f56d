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

// eventLoop is the one goroutine that owns the router. It never blocks: connections and attempts run in goroutines of
// their own and post messages to it. The queue needs no bound of its own: an open request has a handful of messages in
// it at most, and open requests are bounded.
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
	wake   chan struct{} // has one element while there may be messages
	done   chan struct{} // closed when the loop has ended

	work    sync.WaitGroup // attempts and releases
	handoff chan *attempt  // to workers that are idle
	idle    atomic.Int64   // workers that are idle

	// Owned by the loop's goroutine.
	requests       map[routing.RequestID]*inflightRequest
	table          endpointTable
	steppedAt      time.Time          // when the router last ran: the timeouts of its actions count from then
	touched        []*inflightRequest // that may have ended in this step
	stepWaiters    []chan struct{}    // closed at the end of this step
	hungEngines    map[*engine.Endpoint]*hungEngine
	stopping       bool
	statusLoggedAt time.Time
	attemptResults struct {
		prefill, decode [len(attemptResultNames)]prometheus.Counter
	}
}

// message is one entry of the loop's queue. It has a router event, a local event, or both: then the local one comes
// first.
type message struct {
	event routing.Event
	local localEvent
}

// localEvent is something that concerns the loop itself. Its implementations hold one pointer, so that posting one
// allocates nothing.
type localEvent interface {
	// handle returns the router event made from the local one, or nil.
	handle(l *eventLoop) routing.Event
}

type (
	// requestStarted comes with the request's routing.Request.
	requestStarted struct{ request *inflightRequest }
	// endpointsUpdated is an update of the endpoint list.
	endpointsUpdated struct{ update *endpointslice.Update }
	// releaseDue is a release to be repeated, after its retry interval.
	releaseDue struct{ release *release }
	// hungEngineDone comes when an engine that may hang has responded, or is not waited for any more.
	hungEngineDone struct{ hung *hungEngine }
	// statusDue is posted once a second.
	statusDue struct{}
	// stepAwaited has done closed once the router has run and its actions are under way.
	stepAwaited struct{ done chan struct{} }
	// stopRequested cancels all attempts; the loop ends with the last request.
	stopRequested struct{}
)

// epoch is the loop's time at its start. It is not 0, since engines may have started before the gateway.
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

// now is the loop's monotonic time.
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

// startRequest passes a new request to the router. It is kept out of the frame of the connection's goroutine, which
// lasts as long as the request.
//
//go:noinline
func (l *eventLoop) startRequest(request *inflightRequest) {
	event := request.traits
	event.ID, event.Deadline = request.id, l.now()+time.Until(request.deadline)
	if hook := l.gateway.hooks.Request; hook != nil {
		hook(&event)
	}
	l.post(event, requestStarted{request})
}

// shutdownRouter has the router answer whatever has no answer yet.
func (l *eventLoop) shutdownRouter() {
	done := make(chan struct{})
	l.post(routing.Shutdown{}, stepAwaited{done})
	<-done
}

// close cancels pending attempts, and ends the loop once no request is left and every state is released.
func (l *eventLoop) close() {
	l.post(nil, stopRequested{})
	<-l.done
	l.work.Wait()
	for _, entry := range l.table.byName {
		entry.engine.Close()
	}
}

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

// step handles a batch of messages with one step of the router. It returns events for its capacity.
func (l *eventLoop) step(batch []message, events []routing.Event) []routing.Event {
	began := time.Now()
	l.touched = l.touched[:0]
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
	l.finishTouched()
	// Only now may endpoints be removed: the router may have sent to one by an event that came before the list.
	l.table.removeGone()
	for _, done := range l.stepWaiters {
		close(done)
	}
	l.stepWaiters = nil
	l.gateway.metrics.DecisionSeconds.Observe(time.Since(began).Seconds())
	l.gateway.metrics.DecisionEvents.Observe(float64(len(batch)))
	clear(l.touched)
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
		l.touch(event.Request)
	case routing.FirstToken:
		if request := l.requests[event.Request]; request != nil {
			l.endState(request, stateFetched)
			request.release.wanted = false // what engines hold for it is dropped when the stream begins
		}
	case routing.Outcome:
		if request := l.touch(event.Request); request != nil {
			l.attemptEnded(request, &event)
		}
	}
	return m.event
}

func (e requestStarted) handle(l *eventLoop) routing.Event {
	l.requests[e.request.id] = e.request
	l.touched = append(l.touched, e.request)
	return nil
}

func (e endpointsUpdated) handle(l *eventLoop) routing.Event { return l.applyUpdate(e.update) }

func (e releaseDue) handle(l *eventLoop) routing.Event {
	l.retryRelease(e.release)
	return nil
}

func (e hungEngineDone) handle(l *eventLoop) routing.Event {
	l.hungEngineHeard(e.hung)
	return nil
}

func (statusDue) handle(l *eventLoop) routing.Event {
	l.checkStates()
	return nil
}

func (e stepAwaited) handle(l *eventLoop) routing.Event {
	l.stepWaiters = append(l.stepWaiters, e.done)
	return nil
}

func (stopRequested) handle(l *eventLoop) routing.Event {
	l.stopping = true
	l.stopAwaitingHung()
	for _, request := range l.requests {
		for _, a := range request.attempts {
			a.handle.Cancel()
		}
	}
	return nil
}

// touch finds an open request that may end in this step.
func (l *eventLoop) touch(id routing.RequestID) *inflightRequest {
	request := l.requests[id]
	if request != nil {
		l.touched = append(l.touched, request)
	}
	return request
}

// finishTouched ends the touched requests that are answered and have no pending attempt.
func (l *eventLoop) finishTouched() {
	for _, request := range l.touched {
		if request.pendingAttempts > 0 || l.requests[request.id] != request {
			continue
		}
		if !request.answered() {
			l.releaseUnclear(request)
			continue
		}
		request.bodies = nil // its releases may keep the request for some time
		l.releaseAll(request)
		l.releaseOnceHungRuns(request)
		delete(l.requests, request.id)
	}
}
