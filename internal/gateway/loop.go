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

// item is something that happened, on its way to the loop.
type item struct {
	ev    routing.Event
	fl    *flight // with a Request
	kv    []byte  // with the Outcome of a read
	list  *endpointslice.Update
	again *release      // that failed
	look  bool          // log what is held
	stop  bool          // end the loop once no flight is left
	done  chan struct{} // closed once the module has had its say
}

// loop is the one goroutine that owns the Router. Nothing in it waits: connections and attempts run in
// goroutines of their own and post items. The queue needs no bound of its own: a request open has a handful of
// items at most in it, and open requests are bounded.
type loop struct {
	f        *Gateway
	router   *routing.Router
	client   *engine.Client
	releases bool // engines are told to release state
	start    time.Time

	mu     sync.Mutex
	queue  []item
	closed bool
	wake   chan struct{}
	done   chan struct{}
	work   sync.WaitGroup // attempts and releases
	tasks  chan *attempt  // to workers that wait
	idle   atomic.Int64   // workers that wait
	listed atomic.Bool

	// owned by the loop's goroutine
	flights map[routing.RequestID]*flight
	servers map[string]*listed
	byID    map[routing.EndpointID]*listed
	places  map[string]int // numbers of the zones and cells of known servers; a number never comes again
	placed  int            // numbers given
	stepped time.Time      // when the module was last asked: the times in its actions count from then
	touched []*flight      // that this round may have ended
	sweep   bool           // a list came in this round
	ending  bool
	status  time.Time                               // of the last status line
	ends    [2][len(resultNames)]prometheus.Counter // attempts that ended: reads, writes
}

type listed struct {
	endpointslice.Endpoint
	srv *engine.Endpoint
}

// epoch is the loop's time at its start. It is not 0, so that engines may have started before the front did.
const epoch = 24 * time.Hour

func newLoop(f *Gateway, r *routing.Router, c *engine.Client) *loop {
	l := &loop{
		f: f, router: r, client: c, releases: c.ReleasesState(), start: time.Now(), wake: make(chan struct{}, 1), done: make(chan struct{}), tasks: make(chan *attempt),
		flights: map[routing.RequestID]*flight{}, servers: map[string]*listed{}, byID: map[routing.EndpointID]*listed{}, places: map[string]int{},
	}
	for i, stage := range []string{"read", "write"} {
		for r, name := range resultNames {
			l.ends[i][r] = f.m.Attempts.WithLabelValues(stage, name)
		}
	}
	go l.run()
	go l.sweepIdle()
	return l
}

// now is the loop's monotonic time.
func (l *loop) now() time.Duration { return epoch + time.Since(l.start) }

func (l *loop) post(it item) {
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

// tell brings a new flight.
//
//go:noinline
func (l *loop) tell(fl *flight) {
	ev := fl.ask
	ev.ID, ev.Deadline = fl.id, l.now()+time.Until(fl.due)
	if bend := l.f.seam.Request; bend != nil {
		bend(&ev)
	}
	l.post(item{fl: fl, ev: ev})
}

// giveUp has the module answer what has no answer yet.
func (l *loop) giveUp() {
	done := make(chan struct{})
	l.post(item{ev: routing.Shutdown{}, done: done})
	<-done
}

// close calls off what is still out, and ends the loop once no flight is left and every state is let go.
func (l *loop) close() {
	l.post(item{stop: true})
	<-l.done
	l.work.Wait()
	for _, s := range l.servers {
		s.srv.Close()
	}
}

func (l *loop) run() {
	defer close(l.done)
	var batch []item
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
			if ev := l.event(&batch[i]); ev != nil {
				events = append(events, ev)
			}
		}
		now := l.now()
		l.stepped = l.start.Add(now - epoch)
		for _, a := range l.router.Step(now, events) {
			if bend := l.f.seam.Action; bend != nil {
				for _, b := range bend(a) {
					l.act(b)
				}
				continue
			}
			l.act(a)
		}
		for _, fl := range l.touched {
			if fl.out > 0 || l.flights[fl.id] != fl {
				continue
			}
			if !fl.over() {
				l.releaseUnclear(fl)
				continue
			}
			fl.prompt = nil // its releases may be given for some time yet
			l.releaseAll(fl)
			delete(l.flights, fl.id)
		}
		if l.sweep {
			l.forget()
		}
		for i := range batch {
			if batch[i].done != nil {
				close(batch[i].done)
			}
		}
		l.f.m.DecisionSeconds.Observe(time.Since(began).Seconds())
		l.f.m.DecisionEvents.Observe(float64(len(batch)))
		clear(batch)
		clear(l.touched)
		if l.ending && len(l.flights) == 0 {
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
			return
		}
	}
}

// event books an item and gives the module's view of it.
func (l *loop) event(it *item) routing.Event {
	switch ev := it.ev.(type) {
	case routing.Request:
		l.flights[ev.ID] = it.fl
		l.touched = append(l.touched, it.fl)
	case routing.ClientDisconnected:
		l.flight(ev.Request)
	case routing.FirstToken:
		if fl := l.flights[ev.Request]; fl != nil {
			l.endsState(fl, stateFetched)
			fl.mayHold = false // what engines hold for it goes with the stream's beginning
		}
	case routing.Outcome:
		if fl := l.flight(ev.Request); fl != nil {
			l.ended(fl, &ev, it)
		}
	}
	switch {
	case it.list != nil:
		return l.list(it.list)
	case it.again != nil:
		l.releaseAgain(it.again)
		return nil
	case it.look:
		l.look()
		return nil
	case it.stop:
		l.ending = true
		for _, fl := range l.flights {
			for _, a := range fl.attempts {
				a.handle.Cancel()
			}
		}
		return nil
	}
	return it.ev
}

// flight finds an open flight that may end in this round.
func (l *loop) flight(id routing.RequestID) *flight {
	fl := l.flights[id]
	if fl != nil {
		l.touched = append(l.touched, fl)
	}
	return fl
}

// ended books the end of an attempt.
func (l *loop) ended(fl *flight, ev *routing.Outcome, it *item) {
	fl.out--
	fl.attempts[ev.Attempt].pending = false
	if ev.Result == routing.PrefillDone {
		fl.kv = it.kv
		l.holds(fl, fl.attempts[ev.Attempt].srv.Name)
	}
	if ev.StateMissing {
		l.endsState(fl, stateGone)
	}
	if fl.out == 0 && fl.after != nil {
		fl.finish(*fl.after)
	}
	stage := &l.ends[0]
	if fl.attempts[ev.Attempt].write {
		stage = &l.ends[1]
	}
	stage[ev.Result].Inc()
}

var resultNames = [...]string{
	routing.Served: "served", routing.EngineError: "errored", routing.Rejected: "turned", routing.TimedOut: "timed out",
	routing.ConnectFailed: "connect failed", routing.ConnectionReset: "reset", routing.Cancelled: "cancelled", routing.NotSent: "not sent",
	routing.PrefillDone: "read", routing.RequestIncomplete: "broke unsent",
}

var roleNames = [...]string{routing.RolePrefill: "reader", routing.RoleDecode: "writer", routing.RoleMixed: "mixed"}

func (l *loop) act(a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		l.send(a)
	case routing.Reject:
		if fl := l.flight(a.Request); fl != nil {
			fl.refuse(refusal(a))
		}
	case routing.Fail:
		if fl := l.flight(a.Request); fl != nil {
			if a.PossibleDuplicate {
				fl.finish(repeated())
			} else {
				fl.finish(failure(fl, a.Reason.String()))
			}
		}
	case routing.Cancel:
		if fl := l.flights[a.Request]; fl != nil && a.Attempt < len(fl.attempts) {
			fl.attempts[a.Attempt].handle.Cancel()
		}
	case routing.ReleaseState:
		if fl := l.flights[a.Request]; fl != nil {
			l.release(fl)
		}
	case routing.SetTimer:
		time.AfterFunc(a.After, func() { l.post(item{ev: routing.Timer{Tag: a.Tag}}) })
	case routing.Log:
		l.f.log.Info("module", zap.String("text", a.Text))
	}
}

// send starts an attempt in a goroutine of its own.
func (l *loop) send(a routing.Send) {
	fl, s := l.flights[a.Request], l.byID[a.Endpoint]
	if fl == nil || s == nil { // the module sends for requests it was told of, to servers it was told of
		l.f.log.Error("send for an unknown request or server", zap.Uint32("request", uint32(a.Request)), zap.Uint32("server", uint32(a.Endpoint)))
		l.post(item{ev: routing.Outcome{Request: a.Request, Endpoint: a.Endpoint, Result: routing.NotSent}})
		return
	}
	l.releaseUnclear(fl)
	n := len(fl.attempts)
	att := &attempt{fl: fl, n: n, srv: s.srv, write: s.srv.Role != routing.RolePrefill, id: fl.name, connect: a.ConnectTimeout, ended: make(chan struct{}), waitFor: fl.releasing}
	att.fresh = slices.ContainsFunc(fl.attempts, func(a *attempt) bool { return a.handle.Progress().LostOnReusedConn() })
	if att.id == "" {
		att.id = l.f.wideID(fl.id, n)
	}
	att.limit = fl.due
	if a.Timeout > 0 {
		att.limit = minTime(att.limit, l.stepped.Add(a.Timeout))
	}
	if a.SendWindow > 0 {
		att.sendBy = l.stepped.Add(a.SendWindow)
	}
	if att.write {
		att.kv = fl.kv
	} else {
		fl.kv = nil
	}
	att.pending = true
	fl.note(att)
	fl.out++
	l.work.Add(1)
	select {
	case l.tasks <- att: // to a worker that waits
	default:
		go l.worker(att)
	}
}

// idleWorkers is how many goroutines wait for the next attempt at most: their stacks have grown to what an attempt
// needs, which saves copying a new one's as it grows.
const idleWorkers = 256

// worker runs attempts until enough others wait for the next one, or the loop ends.
func (l *loop) worker(att *attempt) {
	for {
		att.run(l)
		l.work.Done()
		att = nil
		if l.idle.Add(1) > idleWorkers {
			l.idle.Add(-1)
			return
		}
		select {
		case att = <-l.tasks:
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

// sweepIdle closes connections to engines that have rested for long, and has the loop look at what is held.
func (l *loop) sweepIdle() {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.client.CloseExpiredIdle()
			l.post(item{look: true})
		case <-l.done:
			return
		}
	}
}

// list turns an update into the module's terms. Servers that drain or are gone are shut before the module hears
// of them, so that what it decided a moment ago is not sent either.
func (l *loop) list(u *endpointslice.Update) routing.Event {
	scopes := map[routing.ListScope]string{routing.ListChanges: "changes", routing.ListFull: "full", routing.ListCached: "cached", routing.ListFailed: "failed"}
	l.f.m.EndpointUpdates.WithLabelValues(scopes[u.Scope]).Inc()
	ev := routing.EndpointList{Scope: u.Scope}
	if u.Scope == routing.ListFailed {
		return ev
	}
	if bend := l.f.seam.List; bend != nil {
		bend(u)
	}
	named := map[string]bool{}
	for _, e := range u.Endpoints {
		kind := slices.Index(l.f.Kinds, e.Kind)
		if kind < 0 {
			l.f.log.Warn("engine of a kind that the settings don't name", zap.String("engine", e.Name), zap.String("kind", e.Kind))
			continue
		}
		named[e.Name] = true
		s := l.server(e, kind)
		ready := time.Duration(0)
		if !e.Started.IsZero() {
			ready = max(epoch+e.Started.Sub(l.start), 0)
		}
		ev.Endpoints = append(ev.Endpoints, routing.Endpoint{
			ID: s.srv.ID, Kind: kind, Zone: l.intern("zone " + e.Zone),
			Cell: l.intern("cell " + e.Cell), State: e.State, StartedAt: ready,
		})
	}
	if u.Scope != routing.ListChanges {
		for name, s := range l.servers {
			if !named[name] && s.State != routing.EndpointGone {
				s.State = routing.EndpointGone
				s.srv.Close()
			}
		}
	}
	l.sweep = true
	l.listed.Store(true)
	l.countEngines()
	return ev
}

// forget drops engines that are gone and to which no connection is left, and places with no engine: pods' names
// never come back. Flights hold the handles that they need. It waits for the end of the round, since the module may
// have sent to an engine by an event that came before the list.
func (l *loop) forget() {
	l.sweep = false
	used := map[string]bool{}
	for name, s := range l.servers {
		if s.State == routing.EndpointGone && s.srv.Conns() == 0 {
			delete(l.servers, name)
			delete(l.byID, s.srv.ID)
			continue
		}
		used["zone "+s.Zone], used["cell "+s.Cell] = true, true
	}
	maps.DeleteFunc(l.places, func(name string, _ int) bool { return !used[name] })
}

// server finds or makes the server of e and opens or shuts it. Another process under the same name gets a
// handle of its own: what was decided for the old one is not sent to the new.
func (l *loop) server(e endpointslice.Endpoint, kind int) *listed {
	s := l.servers[e.Name]
	role := l.f.kinds[kind].Role
	if s == nil || s.UID != e.UID || s.Address != e.Address || s.srv.Role != role {
		id := l.freeID(e.Name)
		if s != nil {
			id = s.srv.ID
			s.srv.Close()
		}
		s = &listed{srv: &engine.Endpoint{ID: id, Name: e.Name, Address: e.Address, Role: role}}
		l.servers[e.Name], l.byID[id] = s, s
	}
	if !e.Started.Equal(s.Started) {
		s.srv.DiscardIdleConns()
	}
	s.Endpoint = e
	if e.State == routing.EndpointReady {
		s.srv.Open()
	} else {
		s.srv.Close()
	}
	if bend := l.f.seam.Gate; bend != nil {
		bend(s.srv)
	}
	return s
}

func (l *loop) freeID(name string) routing.EndpointID {
	return endpointslice.EndpointID(name, func(id routing.EndpointID) bool { return l.byID[id] != nil })
}

func (l *loop) intern(s string) int {
	n, ok := l.places[s]
	if !ok {
		n = l.placed
		l.placed++
		l.places[s] = n
	}
	return n
}

func (l *loop) countEngines() {
	l.f.m.Engines.Reset()
	states := [...]string{routing.EndpointGone: "gone", routing.EndpointReady: "ready", routing.EndpointDraining: "draining"}
	for _, s := range l.servers {
		if s.State != routing.EndpointGone {
			l.f.m.Engines.WithLabelValues(roleNames[s.srv.Role], states[s.State]).Inc()
		}
	}
}
