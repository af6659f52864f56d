package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"brackenbend/internal/api"
	"brackenbend/internal/audit"
	reg "brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

// epoch is the router's time at the day's beginning, so that engines may have started before.
const epoch = 24 * time.Hour

// lastTaken is how long a front that ends still takes connections, to tell their clients (lastLook in internal/front).
const lastTaken = 50 * time.Millisecond

// startUp is how long a front's process takes from its start until it listens.
const startUp = 100 * time.Millisecond

// front is one front: a decider, and what the daemon does around it.
type front struct {
	base
	tap
	f     *fleet
	rnd   *rand.Rand
	index int
	name  string

	run      int // of its process; what belongs to an earlier one is passed over
	up       bool
	draining bool
	stopped  time.Duration // when it was told to end
	d        Decider
	next     routing.RequestID
	flights  map[routing.RequestID]*flight
	byTry    map[uint64]*flight
	touched  []*flight            // answered in this step
	ids      []routing.EndpointID // by engine
	engines  map[routing.EndpointID]int
	known    []listed // by engine: as last told
	ends     map[endOf]int
	lost     [2]float64 // requests that reading, and writing, were short of; since the process began
}

// flight is a request until its last attempt has ended.
type flight struct {
	id       routing.RequestID
	msg      asks
	due      time.Duration // by the simulation's clock
	state    answerState
	owner    int // attempt that streams
	attempts []*attempt
	out      int
	at       stateAt
	read     bool // once
}

// endOf is how an attempt ended.
type endOf struct {
	write  bool
	result routing.Result
}

var resultNames = map[routing.Result]string{
	routing.Served: "served", routing.EngineError: "failed", routing.Rejected: "turned away", routing.TimedOut: "timed out",
	routing.ConnectFailed: "not connected", routing.ConnectionReset: "reset", routing.Canceled: "called off", routing.NotSent: "not sent", routing.PrefillDone: "done", routing.RequestIncomplete: "broken before it was whole",
}

func (e endOf) String() string {
	if e.write {
		return "write " + resultNames[e.result]
	}
	return "read " + resultNames[e.result]
}

type answerState uint8

const (
	open answerState = iota
	streaming
	answered
)

type attempt struct {
	engine   int
	picked   int // by the module; another one but by an oracle
	write    bool
	id       string
	began    time.Duration
	over     bool
	off      bool // called off
	unsent   bool
	released bool
}

// What a front says to itself; run tells for which of its processes.
type (
	timer struct {
		run int
		tag uint64
	}
	limit struct {
		run     int
		request routing.RequestID
		attempt int
	}
	lastLook struct {
		run     int
		request routing.RequestID
		whole   bool // an answer that streams to the front is due whole; else any first token is
	}
	listens struct{ run int }
	deed    struct {
		run int
		do  func()
	}
)

// start begins a process.
func (x *front) start() error {
	if x.rnd == nil {
		x.rnd, x.taped = x.f.rnd(1<<20+uint64(x.index)), x.f.o.Audit
		x.engines, x.ends = map[routing.EndpointID]int{}, map[endOf]int{}
		for i, e := range x.f.engines {
			id := reg.EndpointID(e.name, func(id routing.EndpointID) bool { _, taken := x.engines[id]; return taken })
			x.ids, x.engines[id] = append(x.ids, id), i
		}
	}
	seed := uint64(x.f.d.Seed)*1000 + uint64(x.index) + 1
	var err error
	if x.d, err = x.f.o.Decider(x.f.cs, seed); err != nil {
		return err
	}
	x.run++
	x.up, x.draining, x.next, x.lost = true, false, 0, [2]float64{}
	x.flights, x.byTry = map[routing.RequestID]*flight{}, map[uint64]*flight{}
	x.record(x.now(), audit.Event{Kind: audit.ReplicaStarted, Replica: x.name})
	if x.known != nil { // the list on disk
		x.list(news{routing.ListCached, slices.Clone(x.known)})
	}
	return nil
}

func (x *front) take(m any) {
	if !x.up {
		switch m := m.(type) {
		case asks:
			x.answer(m.try, "unconnected", 0, false)
		case signal:
			if m.what == "start" {
				x.later(startUp, listens{})
			}
		case listens:
			if err := x.start(); err != nil { // the same settings were taken before
				panic(err)
			}
			x.send(x.f.register.id, 4*x.f.hop(x.rnd), wants{x.index})
		}
		return
	}
	switch m := m.(type) {
	case asks:
		x.asked(m)
	case leaves:
		if fl := x.byTry[m.try]; fl != nil {
			x.gone(fl)
		}
	case news:
		x.list(m)
	case ended:
		if m.run == x.run {
			x.ended(m)
		}
	case firsts:
		if m.run == x.run {
			x.first(m)
		}
	case timer:
		if m.run == x.run {
			x.step(routing.Timer{Tag: m.tag})
		}
	case limit:
		x.limit(m)
	case lastLook:
		if fl := x.flights[m.request]; m.run == x.run && fl != nil && (fl.state == open || fl.state == streaming && m.whole) {
			x.finish(fl, "failed", 0, x.unsafe(fl))
			x.gone(fl)
		}
	case deed:
		if m.run == x.run {
			m.do()
		}
	case signal:
		x.signal(m.what)
	case asksLost:
		x.send(m.from, x.f.hop(x.rnd), lostCounts{x.name, x.lost})
	}
	if x.draining && len(x.flights) == 0 {
		x.down()
	}
}

func (x *front) signal(what string) {
	switch what {
	case "front-kill":
		x.record(x.now(), audit.Event{Kind: audit.ReplicaKilled, Replica: x.name})
		for _, id := range slices.Sorted(maps.Keys(x.flights)) {
			fl := x.flights[id]
			if fl.state != answered {
				x.answer(fl.msg.try, "cut", 0, false)
			}
			x.cancelAll(fl)
		}
		x.down()
	case "front-stop":
		x.draining, x.stopped = true, x.now()
		run := x.run
		x.later(10*time.Second, deed{run, func() {
			for _, id := range slices.Sorted(maps.Keys(x.flights)) {
				fl := x.flights[id]
				if fl.state != answered {
					x.finish(fl, "failed", 0, x.unsafe(fl))
				}
				x.cancelAll(fl)
			}
			x.down()
		}})
	case "start": // it still drains: it begins anew once it is down
		if x.draining {
			run := x.run
			x.later(100*time.Millisecond, deed{run, func() { x.signal("start") }})
			return
		}
	}
}

func (x *front) down() {
	x.up, x.draining = false, false
	x.flights, x.byTry = nil, nil
}

// answer tells a client the end.
func (x *front) answer(try uint64, kind string, wait time.Duration, handUp bool) {
	x.send(x.f.clients.id, x.f.hop(x.rnd), answers{try, kind, wait, handUp})
}

func (x *front) unsafe(fl *flight) bool {
	return x.f.cs.Classes[fl.msg.traits.Class].Idempotency != routing.Idempotent
}

// finish is a flight's final answer.
func (x *front) finish(fl *flight, kind string, wait time.Duration, handUp bool) {
	if fl.state == answered {
		return
	}
	if fl.state == open && (kind == "refused" || kind == "failed") {
		x.lost[fl.stage()]++
	}
	fl.state = answered
	x.answer(fl.msg.try, kind, wait, handUp)
}

// stage is the one that a request without a first token had not passed: 0 = reading.
func (fl *flight) stage() int {
	if fl.read {
		return 1
	}
	return 0
}

func (x *front) asked(m asks) {
	if x.draining && x.now()-x.stopped > lastTaken {
		x.answer(m.try, "unconnected", 0, false)
		return
	}
	if x.draining {
		x.answer(m.try, "turned", time.Second, false)
		return
	}
	x.next++
	fl := &flight{id: x.next, msg: m, at: stateAt{reader: -1}}
	margin := x.f.set.Replica.AnswerMargin
	wait := api.EffectiveTimeout(x.f.cs.Classes[m.traits.Class].Deadline, m.wait)
	fl.due = x.now() + api.WithMargin(wait, margin)
	x.flights[fl.id], x.byTry[m.try] = fl, fl
	x.later(fl.due+margin/2-x.now(), lastLook{x.run, fl.id, false})
	if !m.stream {
		x.later(api.WithMargin(m.wait, margin), lastLook{x.run, fl.id, true})
	}
	x.step(m.traits.RoutingRequest(fl.id, fl.due+epoch))
	x.tidy(fl)
}

// gone is a client that left, or whose time was up.
func (x *front) gone(fl *flight) {
	if fl.state == streaming {
		x.cancelAll(fl)
	}
	fl.state = answered
	x.step(routing.ClientDisconnected{Request: fl.id})
	x.tidy(fl)
}

// tidy forgets a flight that has its answer and no attempt out.
func (x *front) tidy(fl *flight) {
	if fl.state == answered && fl.out == 0 && x.flights != nil {
		delete(x.flights, fl.id)
		delete(x.byTry, fl.msg.try)
	}
}

func (x *front) step(ev routing.Event) {
	for _, a := range x.d.Step(x.now()+epoch, []routing.Event{ev}) {
		x.act(a)
	}
	for _, fl := range x.touched { // not before all actions are carried out: a release may follow the answer
		x.tidy(fl)
	}
	x.touched = x.touched[:0]
}

func (x *front) act(a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		x.launch(a)
	case routing.Reject:
		if fl := x.flights[a.Request]; fl != nil {
			x.finish(fl, "refused", a.RetryAfter, a.NoAutoRetry)
			x.touched = append(x.touched, fl)
		}
	case routing.Fail:
		if fl := x.flights[a.Request]; fl != nil {
			x.finish(fl, "failed", 0, a.PossibleDuplicate || x.unsafe(fl))
			x.touched = append(x.touched, fl)
		}
	case routing.Cancel:
		if fl := x.flights[a.Request]; fl != nil && a.Attempt < len(fl.attempts) {
			x.callOff(fl, a.Attempt)
		}
	case routing.ReleaseState:
		if fl := x.flights[a.Request]; fl != nil && !fl.writeWaits() {
			for _, at := range fl.attempts {
				x.letGo(at)
			}
		}
	case routing.SetTimer:
		x.later(a.After, timer{x.run, a.Tag})
	}
}

// launch starts an attempt.
func (x *front) launch(a routing.Send) {
	fl, picked := x.flights[a.Request], x.engines[a.Endpoint]
	engine := x.better(fl, picked)
	e := x.f.engines[engine]
	n := len(fl.attempts)
	at := &attempt{
		engine: engine, picked: picked, write: x.f.cs.Kinds[x.known[engine].kind].Role != routing.RolePrefill, began: x.now(),
		id: "f" + strconv.Itoa(x.index+1) + "r" + strconv.Itoa(x.run) + "-" + strconv.FormatUint(uint64(fl.id), 16) + "-" + strconv.Itoa(n),
	}
	fl.attempts = append(fl.attempts, at)
	fl.out++
	if x.known[engine].state != routing.EndpointReady { // told to drain between the decision and the first byte
		at.unsent = true
		x.later(0, deed{x.run, func() { x.over(fl, n, routing.NotSent, false, 0) }})
		return
	}
	s := sends{front: x.id, run: x.run, request: fl.id, attempt: n, id: at.id, name: x.name, write: at.write, state: stateAt{reader: -1}, work: fl.msg.work}
	if at.write {
		s.state = fl.at
	} else {
		fl.at = stateAt{reader: -1}
	}
	after := x.f.hop(x.rnd)
	if at.write && x.f.cs.Classes[fl.msg.traits.Class].Idempotency == routing.NotIdempotent { // a connection of its own
		after += 2 * x.f.o.Link
	}
	x.send(e.id, after, s)
	end := fl.due
	if a.Timeout > 0 && !(x.f.o.Oracles.NoTimeouts && e.sound()) {
		end = min(end, x.now()+a.Timeout)
	}
	x.later(end-x.now(), limit{x.run, fl.id, n})
}

// limit is the end of an attempt's time for its first token, or its whole read.
func (x *front) limit(m limit) {
	fl := x.flights[m.request]
	if m.run != x.run || fl == nil || fl.attempts[m.attempt].over || fl.state == streaming && fl.owner == m.attempt {
		return
	}
	x.cut(fl, m.attempt)
	x.over(fl, m.attempt, routing.TimedOut, false, 0)
}

// cut ends an attempt's connection.
func (x *front) cut(fl *flight, n int) {
	at := fl.attempts[n]
	x.send(x.f.engines[at.engine].id, x.f.hop(x.rnd), cancels{at.id})
}

func (x *front) callOff(fl *flight, n int) {
	if !fl.attempts[n].over && !fl.attempts[n].unsent {
		fl.attempts[n].off = true
		x.cut(fl, n)
		x.later(0, deed{x.run, func() { x.over(fl, n, routing.Canceled, false, 0) }})
	}
}

func (x *front) cancelAll(fl *flight) {
	for n := range fl.attempts {
		x.callOff(fl, n)
	}
}

// writeWaits tells that a write is out which was not called off: a reader can't see that it waits for the state, so no release is sent.
func (fl *flight) writeWaits() bool {
	return slices.ContainsFunc(fl.attempts, func(at *attempt) bool { return at.write && !at.over && !at.off })
}

// letGo tells the reader to let go of what a read left, once the attempt has ended.
func (x *front) letGo(at *attempt) {
	if at.write || at.released {
		return
	}
	at.released = true
	if at.over {
		x.release(at)
	}
}

func (x *front) release(at *attempt) {
	if !at.unsent {
		x.send(x.f.engines[at.engine].id, x.f.hop(x.rnd), lets{at.id})
	}
}

func (x *front) first(m firsts) {
	fl := x.flights[m.request]
	if fl == nil || fl.attempts[m.attempt].over {
		return
	}
	if fl.state != open { // another answer was given
		x.cut(fl, m.attempt)
		x.over(fl, m.attempt, routing.Canceled, false, 0)
		return
	}
	fl.state, fl.owner = streaming, m.attempt
	at := fl.attempts[m.attempt]
	if fl.msg.stream {
		x.send(x.f.clients.id, x.f.hop(x.rnd), begins{fl.msg.try})
	}
	x.step(routing.FirstToken{Request: fl.id, Attempt: m.attempt, Endpoint: x.ids[at.picked], Elapsed: x.now() - at.began})
}

func (x *front) ended(m ended) {
	if fl := x.flights[m.request]; fl != nil && !fl.attempts[m.attempt].over {
		x.over(fl, m.attempt, m.result, m.noState, m.kept)
	}
}

// over is the end of an attempt.
func (x *front) over(fl *flight, n int, result routing.Result, noState bool, kept float64) {
	at := fl.attempts[n]
	if at.over {
		return
	}
	at.over = true
	x.ends[endOf{at.write, result}]++
	at.unsent = at.unsent || result.NeverExecuted()
	fl.out--
	over := fl.state == streaming && fl.owner == n
	if over {
		switch {
		case result == routing.Served:
			x.finish(fl, "served", 0, false)
		case fl.msg.stream:
			x.finish(fl, "broken", 0, false)
		default:
			x.finish(fl, "failed", 0, x.unsafe(fl))
		}
	}
	if result == routing.PrefillDone {
		fl.at, fl.read = stateAt{at.engine, at.id}, true
	}
	if !at.write && (at.released || result != routing.PrefillDone) { // a state that it may have left is known to nobody
		at.released = true
		x.release(at)
	}
	x.step(routing.Outcome{
		Request: fl.id, Attempt: n, Endpoint: x.ids[at.picked], Elapsed: x.now() - at.began, RequestDone: over, Result: result,
		StateMissing: noState, CachedTokens: kept,
	})
	x.tidy(fl)
}

// list takes news of the engines; those that drain or are gone are shut before the module hears of them.
func (x *front) list(n news) {
	if x.known == nil {
		x.known = make([]listed, len(x.f.engines))
	}
	ev := routing.EndpointList{Scope: n.scope}
	for _, l := range n.engines {
		x.known[l.engine] = l
		e := x.f.engines[l.engine]
		s := routing.Endpoint{ID: x.ids[l.engine], Kind: l.kind, Cell: e.cell, State: l.state}
		if l.started > 0 {
			s.StartedAt = epoch + l.started
		}
		ev.Endpoints = append(ev.Endpoints, s)
	}
	x.step(ev)
}

func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
