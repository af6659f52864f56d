package gateway

import (
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/routing"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// message is something that happened, on its way to the loop.
type message struct {
	event    routing.Event
	fl    *inflightRequest // with a Request
	kv    []byte  // with the Outcome of a read
	list  *endpointslice.Update
	again *release      // that failed
	look  bool          // log what is held
	stop  bool          // end the loop once no flight is left
	done  chan struct{} // closed once the module has had its say
}

// eventLoop is the one goroutine that owns the Router. Nothing in it waits: connections and attempts run in
// goroutines of their own and post items. The queue needs no bound of its own: a request open has a handful of
// items at most in it, and open requests are bounded.
type eventLoop struct {
	gateway        *Gateway
	router   *routing.Router
	engines   *engine.Client
	releasesState bool // engines are told to release state
	start    time.Time

	mu     sync.Mutex
	queue  []message
	closed bool
	wake   chan struct{}
	done   chan struct{}
	work   sync.WaitGroup // attempts and releases
	handoff  chan *attempt  // to workers that wait
	idle   atomic.Int64   // workers that wait
	hasEndpoints atomic.Bool

	// owned by the loop's goroutine
	requests map[routing.RequestID]*inflightRequest
	endpoints map[string]*endpointEntry
	endpointsByID    map[routing.EndpointID]*endpointEntry
	localities  map[string]int // numbers of the zones and cells of known servers; a number never comes again
	nextLocality  int            // numbers given
	steppedAt time.Time      // when the module was last asked: the times in its actions count from then
	touched []*inflightRequest      // that this round may have ended
	endpointsChanged   bool           // a list came in this round
	stopping  bool
	statusLoggedAt  time.Time                               // of the last status line
	attemptResults    [2][len(resultNames)]prometheus.Counter // attempts that ended: reads, writes
}

type endpointEntry struct {
	endpointslice.Endpoint
	engine *engine.Endpoint
}

// epoch is the loop's time at its start. It is not 0, so that engines may have started before the front did.
const epoch = 24 * time.Hour

func newEventLoop(f *Gateway, r *routing.Router, c *engine.Client) *eventLoop {
	l := &eventLoop{
		gateway: f, router: r, engines: c, releasesState: c.ReleasesState(), start: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}), handoff: make(chan *attempt),
		requests: map[routing.RequestID]*inflightRequest{}, endpoints: map[string]*endpointEntry{}, endpointsByID: map[routing.EndpointID]*endpointEntry{}, localities: map[string]int{},
	}
	for i, stage := range []string{"read", "write"} {
		for r, name := range resultNames {
			l.attemptResults[i][r] = f.metrics.Attempts.WithLabelValues(stage, name)
		}
	}
	go l.run()
	go l.tick()
	return l
}

// now is the loop's monotonic time.
func (l *eventLoop) now() time.Duration { return epoch + time.Since(l.start) }

func (l *eventLoop) post(it message) {
	l.mu.Lock()
	if !l.closed {
		l.queue = append(l.queue, it)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// startRequest brings a new flight.
//
//go:noinline
func (l *eventLoop) startRequest(fl *inflightRequest) {
	ev := fl.traits
	ev.ID, ev.Deadline = fl.id, l.now()+time.Until(fl.deadline)
	if bend := l.gateway.hooks.Request; bend != nil {
		bend(&ev)
	}
	l.post(message{fl: fl, event: ev})
}

// shutdownRouter has the module answer what has no answer yet.
func (l *eventLoop) shutdownRouter() {
	done := make(chan struct{})
	l.post(message{event: routing.Shutdown{}, done: done})
	<-done
}

// close calls off what is still out, and ends the loop once no flight is left and every state is let go.
func (l *eventLoop) close() {
	l.post(message{stop: true})
	<-l.done
	l.work.Wait()
	for _, s := range l.endpoints {
		s.engine.Close()
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
		began := time.Now()
		events, l.touched = events[:0], l.touched[:0]
		for i := range batch {
			if ev := l.handleMessage(&batch[i]); ev != nil {
				events = append(events, ev)
			}
		}
		now := l.now()
		l.steppedAt = l.start.Add(now - epoch)
		for _, a := range l.router.Step(now, events) {
			if bend := l.gateway.hooks.Action; bend != nil {
				for _, b := range bend(a) {
					l.perform(b)
				}
				continue
			}
			l.perform(a)
		}
		for _, fl := range l.touched {
			if fl.pendingAttempts > 0 || l.requests[fl.id] != fl {
				continue
			}
			if !fl.answered() {
				l.releaseUnclear(fl)
				continue
			}
			fl.bodies = nil // its releases may be given for some time yet
			l.releaseAll(fl)
			delete(l.requests, fl.id)
		}
		if l.endpointsChanged {
			l.removeGoneEndpoints()
		}
		for i := range batch {
			if batch[i].done != nil {
				close(batch[i].done)
			}
		}
		l.gateway.metrics.DecisionSeconds.Observe(time.Since(began).Seconds())
		l.gateway.metrics.DecisionEvents.Observe(float64(len(batch)))
		clear(batch)
		clear(l.touched)
		if l.stopping && len(l.requests) == 0 {
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
			return
		}
	}
}

// handleMessage books an item and gives the module's view of it.
func (l *eventLoop) handleMessage(it *message) routing.Event {
	switch ev := it.event.(type) {
	case routing.Request:
		l.requests[ev.ID] = it.fl
		l.touched = append(l.touched, it.fl)
	case routing.ClientDisconnected:
		l.touch(ev.Request)
	case routing.FirstToken:
		if fl := l.requests[ev.Request]; fl != nil {
			l.endState(fl, stateFetched)
			fl.releaseWanted = false // what engines hold for it goes with the stream's beginning
		}
	case routing.Outcome:
		if fl := l.touch(ev.Request); fl != nil {
			l.attemptEnded(fl, &ev, it)
		}
	}
	switch {
	case it.list != nil:
		return l.applyUpdate(it.list)
	case it.again != nil:
		l.retryRelease(it.again)
		return nil
	case it.look:
		l.checkStates()
		return nil
	case it.stop:
		l.stopping = true
		for _, fl := range l.requests {
			for _, a := range fl.attempts {
				a.handle.Cancel()
			}
		}
		return nil
	}
	return it.event
}

// touch finds an open flight that may end in this round.
func (l *eventLoop) touch(id routing.RequestID) *inflightRequest {
	fl := l.requests[id]
	if fl != nil {
		l.touched = append(l.touched, fl)
	}
	return fl
}

// attemptEnded books the end of an attempt.
func (l *eventLoop) attemptEnded(fl *inflightRequest, ev *routing.Outcome, it *message) {
	fl.pendingAttempts--
	fl.attempts[ev.Attempt].pending = false
	if ev.Result == routing.PrefillDone {
		fl.kvParams = it.kv
		l.stateHeld(fl, fl.attempts[ev.Attempt].endpoint.Name)
	}
	if ev.StateMissing {
		l.endState(fl, stateMissing)
	}
	if fl.pendingAttempts == 0 && fl.delayedResponse != nil {
		fl.respond(*fl.delayedResponse)
	}
	stage := &l.attemptResults[0]
	if fl.attempts[ev.Attempt].decode {
		stage = &l.attemptResults[1]
	}
	stage[ev.Result].Inc()
}

var resultNames = [...]string{
	routing.Served: "served", routing.EngineError: "errored", routing.Rejected: "turned", routing.TimedOut: "timed out",
	routing.ConnectFailed: "connect failed", routing.ConnectionReset: "reset", routing.Cancelled: "cancelled", routing.NotSent: "not sent",
	routing.PrefillDone: "read", routing.RequestIncomplete: "broke unsent",
}

var roleNames = [...]string{routing.RolePrefill: "reader", routing.RoleDecode: "writer", routing.RoleMixed: "mixed"}

func (l *eventLoop) perform(a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		l.startAttempt(a)
	case routing.Reject:
		if fl := l.touch(a.Request); fl != nil {
			fl.reject(rejectionResponse(a))
		}
	case routing.Fail:
		if fl := l.touch(a.Request); fl != nil {
			if a.PossibleDuplicate {
				fl.respond(possibleDuplicateResponse())
			} else {
				fl.respond(failureResponse(fl, a.Reason.String()))
			}
		}
	case routing.Cancel:
		if fl := l.requests[a.Request]; fl != nil && a.Attempt < len(fl.attempts) {
			fl.attempts[a.Attempt].handle.Cancel()
		}
	case routing.ReleaseState:
		if fl := l.requests[a.Request]; fl != nil {
			l.releaseRequested(fl)
		}
	case routing.SetTimer:
		time.AfterFunc(a.After, func() { l.post(message{event: routing.Timer{Tag: a.Tag}}) })
	case routing.Log:
		l.gateway.log.Info("module", zap.String("text", a.Text))
	}
}

// startAttempt starts an attempt in a goroutine of its own.
func (l *eventLoop) startAttempt(a routing.Send) {
	fl, s := l.requests[a.Request], l.endpointsByID[a.Endpoint]
	if fl == nil || s == nil { // the module sends for requests it was told of, to servers it was told of
		l.gateway.log.Error("send for an unknown request or server", zap.Uint32("request", uint32(a.Request)), zap.Uint32("server", uint32(a.Endpoint)))
		l.post(message{event: routing.Outcome{Request: a.Request, Endpoint: a.Endpoint, Result: routing.NotSent}})
		return
	}
	l.releaseUnclear(fl)
	n := len(fl.attempts)
	att := &attempt{request: fl, index: n, endpoint: s.engine, decode: s.engine.Role != routing.RolePrefill, id: fl.clientID, connectTimeout: a.ConnectTimeout, ended: make(chan struct{}), startAfter: fl.releaseDone}
	att.newConn = slices.ContainsFunc(fl.attempts, func(a *attempt) bool { return a.handle.Progress().LostOnReusedConn() })
	if att.id == "" {
		att.id = l.gateway.attemptID(fl.id, n)
	}
	att.deadline = fl.deadline
	if a.Timeout > 0 {
		att.deadline = minTime(att.deadline, l.steppedAt.Add(a.Timeout))
	}
	if a.SendWindow > 0 {
		att.sendBy = l.steppedAt.Add(a.SendWindow)
	}
	if att.decode {
		att.kvParams = fl.kvParams
	} else {
		fl.kvParams = nil
	}
	att.pending = true
	fl.addAttempt(att)
	fl.pendingAttempts++
	l.work.Add(1)
	select {
	case l.handoff <- att: // to a worker that waits
	default:
		go l.worker(att)
	}
}

// idleWorkers is how many goroutines wait for the next attempt at most: their stacks have grown to what an attempt
// needs, which saves copying a new one's as it grows.
const idleWorkers = 256

// worker runs attempts until enough others wait for the next one, or the loop ends.
func (l *eventLoop) worker(att *attempt) {
	for {
		att.run(l)
		l.work.Done()
		att = nil
		if l.idle.Add(1) > idleWorkers {
			l.idle.Add(-1)
			return
		}
		select {
		case att = <-l.handoff:
			l.idle.Add(-1)
		case <-l.done:
			return
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// tick closes connections to engines that have rested for long, and has the loop look at what is held.
func (l *eventLoop) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.engines.CloseExpiredIdle()
			l.post(message{look: true})
		case <-l.done:
			return
		}
	}
}

// applyUpdate turns an update into the module's terms. Servers that drain or are gone are shut before the module hears
// of them, so that what it decided a moment ago is not sent either.
func (l *eventLoop) applyUpdate(u *endpointslice.Update) routing.Event {
	scopes := map[routing.ListScope]string{routing.ListChanges: "changes", routing.ListFull: "full", routing.ListCached: "cached", routing.ListFailed: "failed"}
	l.gateway.metrics.EndpointUpdates.WithLabelValues(scopes[u.Scope]).Inc()
	ev := routing.EndpointList{Scope: u.Scope}
	if u.Scope == routing.ListFailed {
		return ev
	}
	if bend := l.gateway.hooks.List; bend != nil {
		bend(u)
	}
	named := map[string]bool{}
	for _, e := range u.Endpoints {
		kind := slices.Index(l.gateway.Kinds, e.Kind)
		if kind < 0 {
			l.gateway.log.Warn("engine of a kind that the settings don't name", zap.String("engine", e.Name), zap.String("kind", e.Kind))
			continue
		}
		named[e.Name] = true
		s := l.upsertEndpoint(e, kind)
		ready := time.Duration(0)
		if !e.Started.IsZero() {
			ready = max(epoch+e.Started.Sub(l.start), 0)
		}
		ev.Endpoints = append(ev.Endpoints, routing.Endpoint{
			ID: s.engine.ID, Kind: kind, Zone: l.localityNumber("zone " + e.Zone),
			Cell: l.localityNumber("cell " + e.Cell), State: e.State, StartedAt: ready,
		})
	}
	if u.Scope != routing.ListChanges {
		for name, s := range l.endpoints {
			if !named[name] && s.State != routing.EndpointGone {
				s.State = routing.EndpointGone
				s.engine.Close()
			}
		}
	}
	l.endpointsChanged = true
	l.hasEndpoints.Store(true)
	l.countEngines()
	return ev
}

// removeGoneEndpoints drops engines that are gone and to which no connection is left, and places with no engine: pods' names
// never come back. Flights hold the handles that they need. It waits for the end of the round, since the module may
// have sent to an engine by an event that came before the list.
func (l *eventLoop) removeGoneEndpoints() {
	l.endpointsChanged = false
	used := map[string]bool{}
	for name, s := range l.endpoints {
		if s.State == routing.EndpointGone && s.engine.Conns() == 0 {
			delete(l.endpoints, name)
			delete(l.endpointsByID, s.engine.ID)
			continue
		}
		used["zone "+s.Zone], used["cell "+s.Cell] = true, true
	}
	maps.DeleteFunc(l.localities, func(name string, _ int) bool { return !used[name] })
}

// upsertEndpoint finds or makes the server of e and opens or shuts it. Another process under the same name gets a
// handle of its own: what was decided for the old one is not sent to the new.
func (l *eventLoop) upsertEndpoint(e endpointslice.Endpoint, kind int) *endpointEntry {
	s := l.endpoints[e.Name]
	role := l.gateway.kinds[kind].Role
	if s == nil || s.UID != e.UID || s.Address != e.Address || s.engine.Role != role {
		id := l.unusedID(e.Name)
		if s != nil {
			id = s.engine.ID
			s.engine.Close()
		}
		s = &endpointEntry{engine: &engine.Endpoint{ID: id, Name: e.Name, Address: e.Address, Role: role}}
		l.endpoints[e.Name], l.endpointsByID[id] = s, s
	}
	if !e.Started.Equal(s.Started) {
		s.engine.DiscardIdleConns()
	}
	s.Endpoint = e
	if e.State == routing.EndpointReady {
		s.engine.Open()
	} else {
		s.engine.Close()
	}
	if bend := l.gateway.hooks.Gate; bend != nil {
		bend(s.engine)
	}
	return s
}

func (l *eventLoop) unusedID(name string) routing.EndpointID {
	return endpointslice.EndpointID(name, func(id routing.EndpointID) bool { return l.endpointsByID[id] != nil })
}

func (l *eventLoop) localityNumber(s string) int {
	n, ok := l.localities[s]
	if !ok {
		n = l.nextLocality
		l.nextLocality++
		l.localities[s] = n
	}
	return n
}

func (l *eventLoop) countEngines() {
	l.gateway.metrics.Engines.Reset()
	states := [...]string{routing.EndpointGone: "gone", routing.EndpointReady: "ready", routing.EndpointDraining: "draining"}
	for _, s := range l.endpoints {
		if s.State != routing.EndpointGone {
			l.gateway.metrics.Engines.WithLabelValues(roleNames[s.engine.Role], states[s.State]).Inc()
		}
	}
}
