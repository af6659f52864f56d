package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// engine is one engine: the model of the fake engines behind links in place of sockets, with the same faults.
type engine struct {
	actorBase
	recorder
	fleet  *fleet
	rnd    *rand.Rand
	index  int
	name   string
	kind   *scenario.Kind // at the start of the scenario
	cell   int
	params enginemodel.Params

	model      *enginemodel.Engine
	up         bool
	refuses    bool // connections
	faults     map[string]engineFault
	jobs       map[string]*job
	held       map[string]bool          // states, by attempt
	released   map[string]time.Duration // by attempt, when its release arrived
	nextWakeup time.Duration            // that is scheduled; 0 = none is

	prefills, decodes int // that arrived
	fetchedTokens     float64
	pending           pendingWork // by oracles

	role roleState
}

// job is one attempt at this engine.
type job struct {
	enginemodel.Job
	request        engineRequest
	begun, fetched bool
	hasToken       bool // the first is out
	disconnected   bool
	resetAt        int // token at which its stream is reset; 0 = never
}

// Messages between replicas and engines.
type (
	// attemptRef identifies an attempt at its replica.
	attemptRef struct {
		run     int
		request routing.RequestID
		attempt int
	}
	// engineRequest is an attempt; it is not changed once it is sent.
	engineRequest struct {
		attemptRef
		replica     int32
		id          string
		replicaName string // for the record
		decode      bool
		state       stateLocation
		work        requestWork
	}
	// stateLocation is where a read state is kept.
	stateLocation struct {
		engine  int // -1 = nowhere
		attempt string
	}
	connectionClosed struct{ attempt string }
	stateRelease     struct{ attempt string }
	attemptResult    struct {
		result       routing.Result
		stateMissing bool
		cachedTokens float64
	}
	attemptEnded struct {
		attemptRef
		attemptResult
	}
	firstToken struct{ attemptRef }
)

// noState is the location of a state that is nowhere.
var noState = stateLocation{engine: -1}

// Messages of engines to each other, and to themselves.
type (
	stateFetch struct {
		state  string
		engine int32 // that asks for it
		job    string
	}
	stateFetched struct {
		job string
		ok  bool
	}
	modelWakeup struct{}
)

// cells is the number of cells that a kind's engines are spread over.
const cells = 2

func newEngine(f *fleet, k *scenario.Kind, n int) *engine {
	e := &engine{
		recorder: recorder{enabled: f.options.Audit}, fleet: f, rnd: f.newRand(firstEngineStream + uint64(len(f.engines))),
		index: len(f.engines), name: fmt.Sprintf("%s-%d", k.Name, n+1), kind: k, cell: 1 + n%cells,
		params: f.scenario.EngineParams(k), up: true, faults: map[string]engineFault{},
	}
	e.reset(0, false)
	return e
}

// reset gives the engine an empty model, as a new process has.
func (e *engine) reset(now time.Duration, slowStart bool) {
	e.model = enginemodel.New(e.params, now, slowStart)
	e.model.SetSlowdown(e.slowFactor())
	e.jobs, e.held, e.released = map[string]*job{}, map[string]bool{}, map[string]time.Duration{}
}

func (e *engine) slowFactor() float64 { return cmp.Or(e.faults["slow"].factor, 1) }

func (e *engine) receive(message any) {
	switch m := message.(type) {
	case engineRequest:
		e.onRequest(m)
	case connectionClosed:
		e.onConnectionClosed(m.attempt)
	case stateRelease:
		e.onRelease(m.attempt)
	case stateFetch:
		e.model.Advance(e.now())
		_, ok := e.model.TakeReadState(e.now(), m.state)
		e.send(m.engine, e.fleet.hop(e.rnd), stateFetched{m.job, ok && e.up})
	case stateFetched:
		e.onStateFetched(m)
	case engineFault:
		e.onFault(m)
	case sendArrived:
		e.pending.remove(m)
	case roleCommand:
		e.onRoleCommand(m)
	case statusRequest:
		e.sendStatus(m.from)
	case roleSwitched:
		e.onRoleSwitched(m)
	case modelWakeup:
		if e.nextWakeup = 0; e.up {
			e.model.Advance(e.now())
		}
	}
	e.settle()
}

// settle follows what the message changed in the model, and schedules the next wakeup.
func (e *engine) settle() {
	for id := range e.held {
		if !e.model.HasReadState(id) {
			delete(e.held, id)
			e.record(e.now(), audit.Event{Kind: audit.StateReleased, Engine: e.name, Request: id})
		}
	}
	if e.model.Overloaded() && e.up {
		e.record(e.now(), audit.Event{Kind: audit.Overloaded, Engine: e.name})
		e.stop()
		e.send(e.fleet.apiServer.id, e.fleet.hop(e.rnd), engineStopped{e.index})
	}
	e.switchIfDrained()
	if at, ok := e.model.Next(); ok && e.up && (e.nextWakeup == 0 || at < e.nextWakeup) {
		e.nextWakeup = max(at, e.now())
		e.schedule(e.nextWakeup-e.now(), modelWakeup{})
	}
}

func (e *engine) reply(m *engineRequest, result attemptResult) {
	e.send(m.replica, e.fleet.hop(e.rnd), attemptEnded{m.attemptRef, result})
}

// end closes a job's connection with a result.
func (e *engine) end(j *job, result attemptResult) {
	if e.jobs[j.ID] != j {
		return
	}
	delete(e.jobs, j.ID)
	if !j.disconnected {
		e.record(e.now(), audit.Event{Kind: audit.Ended, Engine: e.name, Request: j.ID})
		e.reply(&j.request, result)
	}
}

func (e *engine) endWith(j *job, result routing.Result) { e.end(j, attemptResult{result: result}) }

func (e *engine) onRequest(m engineRequest) {
	if !e.up || e.refuses {
		e.reply(&m, attemptResult{result: routing.ConnectFailed})
		return
	}
	if e.isDraining() {
		e.reply(&m, attemptResult{result: routing.Rejected})
		return
	}
	e.record(e.now(), audit.Event{
		Kind: audit.Arrived, Engine: e.name, Replica: m.replicaName, Request: m.id, Decode: m.decode, Attempt: m.work.attempt,
	})
	if m.decode {
		e.decodes++
	} else {
		e.prefills++
	}
	j := newJob(m)
	e.jobs[m.id] = j
	if e.failsOnArrival(j) {
		return
	}
	if e.strikes("reset-mid-stream") && m.decode {
		j.resetAt, j.FirstTokenOnly = 1+e.rnd.IntN(maxResetToken), false
	}
	j.OnStart = func() { e.onBegun(j) }
	j.OnToken = func(n int) { e.onToken(j, n) }
	j.OnDone = func(cached float64) { e.onDone(j, cached) }
	j.OnLost = func() { e.endWith(j, routing.ConnectionReset) }
	if !e.model.Submit(e.now(), &j.Job) {
		e.endWith(j, routing.Rejected)
	}
}

func newJob(m engineRequest) *job {
	j := &job{request: m, Job: enginemodel.Job{
		ID: m.id, PromptTokens: m.work.prompt, Prefix: m.work.prefix, PrefixTokens: m.work.prefixLen, Session: m.work.session,
		OutputTokens: m.work.out, PrefillOnly: !m.decode, FirstTokenOnly: true,
	}}
	if m.decode && m.state.engine >= 0 {
		j.FetchTokens = max(j.PromptTokens, 1)
	}
	j.fetched = j.FetchTokens == 0
	return j
}

// onBegun lets a decode fetch its state.
func (e *engine) onBegun(j *job) {
	j.begun = true
	if !j.fetched {
		source := e.fleet.engines[j.request.state.engine]
		e.send(source.id, connectHops*e.fleet.hop(e.rnd), stateFetch{j.request.state.attempt, e.id, j.ID})
	}
}

func (e *engine) onStateFetched(m stateFetched) {
	j := e.jobs[m.job]
	switch {
	case j == nil || j.fetched:
	case !m.ok:
		e.model.Cancel(e.now(), &j.Job)
		e.end(j, attemptResult{result: routing.Rejected, stateMissing: true})
	default:
		j.fetched = true
		e.fetchedTokens += j.PromptTokens
		if j.hasToken {
			e.execute(j)
		}
	}
}

func (e *engine) onToken(j *job, n int) {
	if n == 1 {
		j.hasToken = true
		if j.fetched {
			e.execute(j)
		}
	}
	if j.resetAt == n && e.jobs[j.ID] == j && j.fetched {
		e.endWith(j, routing.ConnectionReset)
		e.cancelLater(j)
	}
}

// cancelLater cancels a job from within one of the model's calls.
func (e *engine) cancelLater(j *job) {
	e.schedule(0, connectionClosed{j.ID})
	e.jobs[j.ID] = j
	j.disconnected = true
}

// execute is the first token: the request takes effect.
func (e *engine) execute(j *job) {
	work := &j.request.work
	e.record(e.now(), audit.Event{
		Kind: audit.Executed, Engine: e.name, Request: j.ID, Attempt: work.attempt, Intent: work.intent,
		Class: work.idempotency,
	})
	if j.disconnected || e.failsAfterEffect(j) {
		return
	}
	e.send(j.request.replica, e.fleet.hop(e.rnd), firstToken{j.request.attemptRef})
}

func (e *engine) onDone(j *job, cached float64) {
	if !j.PrefillOnly {
		if !j.fetched { // the model decoded faster than the state arrived: the state decides
			j.fetched = true
			e.execute(j)
		}
		e.end(j, attemptResult{result: routing.Served, cachedTokens: cached})
		return
	}
	e.held[j.ID] = true
	e.record(e.now(), audit.Event{Kind: audit.StateHeld, Engine: e.name, Request: j.ID})
	if _, unwanted := e.released[j.ID]; unwanted {
		e.model.DropReadState(j.ID)
	}
	e.end(j, attemptResult{result: routing.PrefillDone, cachedTokens: cached})
}

func (e *engine) onConnectionClosed(id string) {
	j := e.jobs[id]
	if j == nil {
		return
	}
	e.model.Advance(e.now())
	if e.jobs[id] != j {
		return
	}
	if !j.disconnected {
		e.record(e.now(), audit.Event{Kind: audit.Ended, Engine: e.name, Request: id})
	}
	j.disconnected = true
	if e.fleet.scenario.Service.CanCancel || !j.begun {
		delete(e.jobs, id)
		e.model.Cancel(e.now(), &j.Job)
	}
}

// onRelease drops a read state, now or when its prefill ends.
func (e *engine) onRelease(id string) {
	for other, at := range e.released {
		if e.now()-at > e.params.StateTTL {
			delete(e.released, other)
		}
	}
	e.released[id] = e.now()
	e.model.TakeReadState(e.now(), id)
}

// stop ends the process.
func (e *engine) stop() {
	e.up = false
	e.role.switches++
	e.lose()
}

// lose resets every connection and empties the engine.
func (e *engine) lose() {
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		if j := e.jobs[id]; j != nil && !j.begun { // queued or stalled: the model may not know of it
			e.endWith(j, routing.ConnectionReset)
		}
	}
	e.model.Reset()
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		e.endWith(e.jobs[id], routing.ConnectionReset)
	}
}
