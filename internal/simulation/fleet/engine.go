package fleet

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/roles"
	"brackenbend/routing"
)

// engine is one engine: the stand-ins' model behind links in place of sockets, with the stand-in's faults.
type engine struct {
	base
	tap
	f     *fleet
	rnd   *rand.Rand
	index int
	name  string
	kind  *scenario.Kind // at the day's beginning
	cell  int
	par   enginemodel.Params

	m       *enginemodel.Engine
	up      bool
	deaf    bool // refuses connections
	faults  map[string]harm
	jobs    map[string]*job
	held    map[string]bool
	letGo   map[string]time.Duration
	planned time.Duration // when the next look is due; 0 = none is

	reads, writes int
	moved         float64
	coming        coming // by oracles

	byRole    map[roles.Role]enginemodel.Params // where it may change; nil = it stays
	seat      roles.EngineState
	switching bool
	turn      int // of its switches; those of an earlier one, or an earlier process, are passed over
	liar      bool
}

// job is one attempt at this engine.
type job struct {
	enginemodel.Job
	msg            sends
	begun, fetched bool
	token          bool // the first is out
	gone           bool // its connection ended
	breakAt        int  // token at which its stream is reset; 0 = never
}

// What fronts and engines say to each other.
type (
	// sends is an attempt; it is not changed once it is sent.
	sends struct {
		front   int32
		run     int
		request routing.RequestID
		attempt int
		id      string
		name    string // of the front, for the record
		write   bool
		state   stateAt
		work    work
	}
	// stateAt is where a read state waits; reader -1 = nowhere.
	stateAt struct {
		reader int
		id     string
	}
	// cancels ends an attempt's connection, lets lets go of a read state.
	cancels struct{ id string }
	lets    struct{ id string }
	// ended is how an attempt ended, firsts its first token.
	ended struct {
		run     int
		request routing.RequestID
		attempt int
		result  routing.Result
		noState bool
		kept    float64
	}
	firsts struct {
		run     int
		request routing.RequestID
		attempt int
	}
)

// What engines say to each other, and to themselves.
type (
	takes struct {
		state string
		back  int32
		job   string
	}
	took struct {
		job string
		ok  bool
	}
	look     struct{}
	switched struct {
		turn  int
		added bool
	}
)

func newEngine(f *fleet, k *scenario.Kind, n int) *engine {
	e := &engine{
		f: f, index: len(f.engines), name: fmt.Sprintf("%s-%d", k.Name, n+1), kind: k, cell: 1 + n%2, par: f.d.EngineParams(k),
		rnd: f.rnd(1000 + uint64(len(f.engines))), up: true, faults: map[string]harm{}, tap: tap{taped: f.o.Audit},
	}
	e.fresh(0, false)
	return e
}

func (e *engine) fresh(now time.Duration, cold bool) {
	e.m = enginemodel.New(e.par, now, cold)
	e.m.SetSlow(cmp.Or(e.faults["slow"].factor, 1))
	e.jobs, e.held, e.letGo = map[string]*job{}, map[string]bool{}, map[string]time.Duration{}
}

func (e *engine) take(m any) {
	switch m := m.(type) {
	case sends:
		e.arrive(m)
	case cancels:
		e.cancel(m.id)
	case lets:
		e.release(m.id)
	case takes:
		e.m.Advance(e.now())
		_, ok := e.m.Take(e.now(), m.state)
		ok = ok && e.up
		e.send(m.back, e.f.hop(e.rnd), took{m.job, ok})
	case took:
		e.took(m)
	case harm:
		e.harm(m)
	case arrived:
		e.hasArrived(m)
	case tellsRole:
		if _, can := e.byRole[m.tell.Target]; can && e.up {
			e.seat = e.seat.Accept(m.tell)
		}
	case asksStatus:
		e.tellStatus(m.from)
	case switched:
		e.switchedTo(m)
	case look:
		if e.planned = 0; e.up {
			e.m.Advance(e.now())
		}
	}
	e.settle()
}

// settle looks at what changed, and plans the next look.
func (e *engine) settle() {
	for id := range e.held {
		if !e.m.Holds(id) {
			delete(e.held, id)
			e.record(e.now(), audit.Event{Kind: audit.StateReleased, Engine: e.name, Request: id})
		}
	}
	if e.m.Down() && e.up {
		e.record(e.now(), audit.Event{Kind: audit.Overloaded, Engine: e.name})
		e.end()
		e.send(e.f.register.id, e.f.hop(e.rnd), wentDown{e.index})
	}
	e.emptied()
	if at, ok := e.m.Next(); ok && e.up && (e.planned == 0 || at < e.planned) {
		e.planned = max(at, e.now())
		e.later(e.planned-e.now(), look{})
	}
}

func (e *engine) reply(s *sends, result routing.Result, noState bool, kept float64) {
	e.send(s.front, e.f.hop(e.rnd), ended{s.run, s.request, s.attempt, result, noState, kept})
}

// through ends a job's connection with a result.
func (e *engine) through(j *job, result routing.Result, noState bool, kept float64) {
	if e.jobs[j.ID] != j {
		return
	}
	delete(e.jobs, j.ID)
	if !j.gone {
		e.record(e.now(), audit.Event{Kind: audit.Ended, Engine: e.name, Request: j.ID})
		e.reply(&j.msg, result, noState, kept)
	}
}

func (e *engine) strikes(what string, by float64) bool {
	h, ok := e.faults[what]
	return ok && e.rnd.Float64() < cmp.Or(h.part, by)
}

func (e *engine) arrive(s sends) {
	if !e.up || e.deaf {
		e.reply(&s, routing.ConnectFailed, false, 0)
		return
	}
	if e.leaving() {
		e.reply(&s, routing.Rejected, false, 0)
		return
	}
	e.record(e.now(), audit.Event{Kind: audit.Arrived, Engine: e.name, Replica: s.name, Request: s.id, Decode: s.write, Attempt: s.work.id})
	if s.write {
		e.writes++
	} else {
		e.reads++
	}
	j := &job{msg: s, Job: enginemodel.Job{
		ID: s.id, Prompt: s.work.prompt, Prefix: s.work.prefix, PrefixLen: s.work.prefixLen, Session: s.work.session,
		Out: s.work.out, ReadOnly: !s.write, Quiet: true,
	}}
	if s.write && s.state.reader >= 0 {
		j.FetchState = max(j.Prompt, 1)
	}
	j.fetched = j.FetchState == 0
	e.jobs[s.id] = j
	_, stalls := e.faults["stall"]
	h, fails := e.faults["fail-class"]
	switch {
	case stalls:
		return
	case fails && h.class == s.work.class, e.strikes("fail-fast", 1):
		e.through(j, routing.EngineError, false, 0)
		return
	case e.strikes("reset-after-request", 1):
		e.through(j, routing.ConnectionReset, false, 0)
		return
	case j.ReadOnly && !e.par.CanPrefill || !j.ReadOnly && !e.par.CanDecode || j.FetchState == 0 && !j.ReadOnly && !e.par.CanPrefill:
		e.through(j, routing.Rejected, j.FetchState == 0 && !j.ReadOnly && e.par.CanDecode, 0)
		return
	}
	if e.strikes("reset-mid-stream", 1) && s.write {
		j.breakAt, j.Quiet = 1+e.rnd.IntN(5), false
	}
	j.Begun = func() { e.begun(j) }
	j.Token = func(n int) { e.tokens(j, n) }
	j.Done = func(kept float64) { e.done(j, kept) }
	j.Lost = func() { e.through(j, routing.ConnectionReset, false, 0) }
	if !e.m.Submit(e.now(), &j.Job) {
		e.through(j, routing.Rejected, false, 0)
	}
}

// begun lets the writer ask the reader for the state.
func (e *engine) begun(j *job) {
	j.begun = true
	if !j.fetched {
		e.send(e.f.engines[j.msg.state.reader].id, 3*e.f.hop(e.rnd), takes{j.msg.state.id, e.id, j.ID})
	}
}

func (e *engine) took(m took) {
	j := e.jobs[m.job]
	switch {
	case j == nil || j.fetched:
	case !m.ok:
		e.m.Cancel(e.now(), &j.Job)
		e.through(j, routing.Rejected, true, 0)
	default:
		j.fetched = true
		e.moved += j.Prompt
		if j.token {
			e.first(j)
		}
	}
}

func (e *engine) tokens(j *job, n int) {
	if n == 1 {
		j.token = true
		if j.fetched {
			e.first(j)
		}
	}
	if j.breakAt == n && e.jobs[j.ID] == j && j.fetched {
		e.through(j, routing.ConnectionReset, false, 0)
		e.drop(j)
	}
}

// drop ends the model's work from within one of its calls.
func (e *engine) drop(j *job) { e.later(0, cancels{j.ID}); e.jobs[j.ID] = j; j.gone = true }

// first is the first token: the request takes effect.
func (e *engine) first(j *job) {
	w := &j.msg.work
	e.record(e.now(), audit.Event{Kind: audit.Executed, Engine: e.name, Request: j.ID, Attempt: w.id, Intent: w.intent, Class: w.effect})
	if j.gone {
		return
	}
	var u float64
	for _, fault := range []string{"reset-after-effect", "fail-after-effect", "stall-after-effect"} {
		if h, ok := e.faults[fault]; ok {
			if u == 0 {
				u = e.rnd.Float64()
			}
			if part := cmp.Or(h.part, 1); u >= part {
				u -= part
				continue
			}
			switch fault {
			case "reset-after-effect":
				e.through(j, routing.ConnectionReset, false, 0)
				e.drop(j)
			case "fail-after-effect":
				e.through(j, routing.EngineError, false, 0)
				e.drop(j)
			}
			return
		}
	}
	e.send(j.msg.front, e.f.hop(e.rnd), firsts{j.msg.run, j.msg.request, j.msg.attempt})
}

func (e *engine) done(j *job, kept float64) {
	if !j.ReadOnly {
		if !j.fetched { // it wrote faster than the state came: the state is what counts
			j.fetched = true
			e.first(j)
		}
		e.through(j, routing.Served, false, kept)
		return
	}
	e.held[j.ID] = true
	e.record(e.now(), audit.Event{Kind: audit.StateHeld, Engine: e.name, Request: j.ID})
	if _, unwanted := e.letGo[j.ID]; unwanted {
		e.m.Drop(j.ID)
	}
	e.through(j, routing.PrefillDone, false, kept)
}

// cancel is the end of an attempt's connection.
func (e *engine) cancel(id string) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.m.Advance(e.now())
	if e.jobs[id] != j {
		return
	}
	if !j.gone {
		e.record(e.now(), audit.Event{Kind: audit.Ended, Engine: e.name, Request: id})
	}
	j.gone = true
	if e.f.d.Service.CanCancel || !j.begun {
		delete(e.jobs, id)
		e.m.Cancel(e.now(), &j.Job)
	}
}

// release lets go of a read state, now or when its read ends.
func (e *engine) release(id string) {
	for k, at := range e.letGo {
		if e.now()-at > e.par.StateTTL {
			delete(e.letGo, k)
		}
	}
	e.letGo[id] = e.now()
	e.m.Take(e.now(), id)
}

// end is the end of the process.
func (e *engine) end() {
	e.up = false
	e.turn++
	e.lose()
}

// lose resets every connection and empties the engine.
func (e *engine) lose() {
	for _, id := range keys(e.jobs) {
		if j := e.jobs[id]; j != nil && !j.begun { // waits, or stalled: the model may not know of it
			e.through(j, routing.ConnectionReset, false, 0)
		}
	}
	e.m.Reset()
	for _, id := range keys(e.jobs) {
		e.through(e.jobs[id], routing.ConnectionReset, false, 0)
	}
}

func (e *engine) harm(h harm) {
	if e.up {
		e.m.Advance(e.now())
	}
	switch h.what {
	case "crash":
		switch {
		case h.on && e.up:
			e.record(e.now(), audit.Event{Kind: audit.EngineStopped, Engine: e.name})
			e.end()
		case !h.on && !e.up:
			e.up = true
			e.seat, e.switching = e.seat.FinishDraining(), false // the crash emptied it
			e.becomes(e.seat.Role)
			e.fresh(e.now(), true)
			e.record(e.now(), audit.Event{Kind: audit.EngineStarted, Engine: e.name})
			e.send(e.f.register.id, e.f.hop(e.rnd), cameUp{e.index, e.now()})
		}
	case "forget":
		if h.on {
			e.m.Forget()
		}
	case "silent-restart":
		if h.on {
			e.lose()
		}
	case "liar":
		e.liar = h.on
	case "refuse-connects":
		e.deaf = h.on
	default:
		if h.on {
			e.faults[h.what] = h
		} else {
			delete(e.faults, h.what)
		}
		if h.what == "slow" {
			e.m.SetSlow(cmp.Or(e.faults["slow"].factor, 1))
		}
	}
}
