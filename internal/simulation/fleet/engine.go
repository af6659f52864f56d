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

// engine is the actor of one engine. It runs the same model as the fake engines (enginemodel.Engine) and supports the
// same faults, except those of load reports, but receives its requests as messages instead of over sockets.
type engine struct {
	actorBase
	recorder
	fleet  *fleet
	rnd    *rand.Rand
	index  int
	name   string
	kind   *scenario.EngineKind // as configured; the engine's role may change later
	cell   int
	params enginemodel.Params

	model              *enginemodel.Engine
	up                 bool
	refusesConnections bool
	faults             map[string]engineFault
	jobs               map[string]*job
	heldStates         map[string]bool          // attempts whose read state the model holds; used to record its release
	releasedAt         map[string]time.Duration // when the release of an attempt's state arrived
	nextWakeup         time.Duration            // time of the scheduled modelWakeup; 0 = none

	prefillCount, decodeCount int // attempts that arrived
	fetchedTokens             float64
	pendingOracleWork         pendingWork // recently sent by oracles; may not have arrived

	role roleState
}

// job is an attempt that this engine is processing.
type job struct {
	enginemodel.Job
	request             engineRequest
	started, stateReady bool // it has left the queue; its read state was fetched, or it needs none
	hasFirstToken       bool // the model has generated the first token
	disconnected        bool // its connection to the replica is closed
	resetAtToken        int  // number of the token at which the connection is reset; 0 = never
}

// Messages between replicas and engines.
type (
	// attemptRef identifies an attempt to its replica; generation is that of the replica's process.
	attemptRef struct {
		generation int
		request    routing.RequestID
		attempt    int
	}
	// engineRequest sends an attempt to an engine. It is immutable after it is sent.
	engineRequest struct {
		attemptRef
		replica     int32
		id          string
		replicaName string // for audit events
		decode      bool
		readState   stateLocation
		work        requestWork
	}
	// stateLocation identifies a read state by the engine that holds it and the prefill attempt that created it.
	stateLocation struct {
		engine  int // -1 = there is no state
		attempt string
	}
	connectionClosed struct{ attempt string }
	stateRelease     struct{ attempt string }
	// attemptResult is the result of an attempt; stateMissing: the decode's read state was not available.
	attemptResult struct {
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

// noState is the location of a request that has no read state.
var noState = stateLocation{engine: -1}

// Messages between engines, and those that an engine schedules for itself.
type (
	stateFetch struct {
		prefillAttempt string
		requester      int32 // actor ID of the engine that fetches the state
		job            string
	}
	stateFetched struct {
		job   string
		found bool
	}
	modelWakeup struct{}
)

// cellCount is the number of cells over which the engines of each kind are distributed.
const cellCount = 2

func newEngine(f *fleet, k *scenario.EngineKind, indexInKind int) *engine {
	e := &engine{
		recorder: recorder{enabled: f.options.Audit}, fleet: f, rnd: f.newRand(firstEngineStream + uint64(len(f.engines))),
		index: len(f.engines), name: fmt.Sprintf("%s-%d", k.Name, indexInKind+1), kind: k, cell: 1 + indexInKind%cellCount,
		params: f.scenario.EngineParams(k), up: true, faults: map[string]engineFault{},
	}
	e.resetModel(0, false)
	return e
}

// resetModel replaces the model by an empty one, as after the start of a process.
func (e *engine) resetModel(now time.Duration, slowStart bool) {
	e.model = enginemodel.New(e.params, now, slowStart)
	e.model.SetSlowdown(e.slowFactor())
	e.jobs, e.heldStates, e.releasedAt = map[string]*job{}, map[string]bool{}, map[string]time.Duration{}
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
		_, ok := e.model.TakeReadState(e.now(), m.prefillAttempt)
		e.send(m.requester, e.fleet.linkDelay(e.rnd), stateFetched{m.job, ok && e.up})
	case stateFetched:
		e.onStateFetched(m)
	case engineFault:
		e.onFault(m)
	case sendArrived:
		e.pendingOracleWork.remove(m)
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
	e.syncWithModel()
}

// syncWithModel handles the changes that a message caused in the model: read states that are gone, an overload, and a
// completed drain. It also schedules the model's next wakeup.
func (e *engine) syncWithModel() {
	for id := range e.heldStates {
		if !e.model.HasReadState(id) {
			delete(e.heldStates, id)
			e.record(e.now(), audit.Event{Kind: audit.StateReleased, Engine: e.name, Request: id})
		}
	}
	if e.model.Overloaded() && e.up {
		e.record(e.now(), audit.Event{Kind: audit.EngineOverloaded, Engine: e.name})
		e.stop()
		e.send(e.fleet.apiServer.id, e.fleet.linkDelay(e.rnd), engineStopped{e.index})
	}
	e.switchIfDrained()
	if at, ok := e.model.Next(); ok && e.up && (e.nextWakeup == 0 || at < e.nextWakeup) {
		e.nextWakeup = max(at, e.now())
		e.schedule(e.nextWakeup-e.now(), modelWakeup{})
	}
}

func (e *engine) reply(m *engineRequest, result attemptResult) {
	e.send(m.replica, e.fleet.linkDelay(e.rnd), attemptEnded{m.attemptRef, result})
}

// endJob removes a job. It also records the end and sends the result to the replica, unless the connection is closed.
func (e *engine) endJob(j *job, result attemptResult) {
	if e.jobs[j.ID] != j {
		return
	}
	delete(e.jobs, j.ID)
	if !j.disconnected {
		e.record(e.now(), audit.Event{Kind: audit.RequestEnded, Engine: e.name, Request: j.ID})
		e.reply(&j.request, result)
	}
}

func (e *engine) endJobWithResult(j *job, result routing.Result) {
	e.endJob(j, attemptResult{result: result})
}

func (e *engine) onRequest(m engineRequest) {
	if !e.up || e.refusesConnections {
		e.reply(&m, attemptResult{result: routing.ConnectFailed})
		return
	}
	if e.isDraining() {
		e.reply(&m, attemptResult{result: routing.Rejected})
		return
	}
	e.record(e.now(), audit.Event{
		Kind: audit.RequestArrived, Engine: e.name, Replica: m.replicaName, Request: m.id, Decode: m.decode,
		Attempt: m.work.attempt,
	})
	if m.decode {
		e.decodeCount++
	} else {
		e.prefillCount++
	}
	j := newJob(m)
	e.jobs[m.id] = j
	if e.failsOnArrival(j) {
		return
	}
	if e.faultApplies("reset-mid-stream") && m.decode {
		j.resetAtToken, j.FirstTokenOnly = 1+e.rnd.IntN(maxResetToken), false
	}
	j.OnStart = func() { e.onStarted(j) }
	j.OnToken = func(n int) { e.onToken(j, n) }
	j.OnDone = func(cached float64) { e.onDone(j, cached) }
	j.OnLost = func() { e.endJobWithResult(j, routing.ConnectionReset) }
	if !e.model.Submit(e.now(), &j.Job) {
		e.endJobWithResult(j, routing.Rejected)
	}
}

func newJob(m engineRequest) *job {
	j := &job{request: m, Job: enginemodel.Job{
		ID: m.id, PromptTokens: m.work.promptTokens, Prefix: m.work.prefix, PrefixTokens: m.work.prefixTokens,
		Session: m.work.session, OutputTokens: m.work.outputTokens, PrefillOnly: !m.decode, FirstTokenOnly: true,
	}}
	if m.decode && m.readState.engine >= 0 {
		j.FetchTokens = max(j.PromptTokens, 1)
	}
	j.stateReady = j.FetchTokens == 0
	return j
}

// onStarted is called when the model starts a job. A decode that has a read state at another engine then fetches it.
func (e *engine) onStarted(j *job) {
	j.started = true
	if !j.stateReady {
		source := e.fleet.engines[j.request.readState.engine]
		e.send(source.id, connectHops*e.fleet.linkDelay(e.rnd), stateFetch{j.request.readState.attempt, e.id, j.ID})
	}
}

func (e *engine) onStateFetched(m stateFetched) {
	j := e.jobs[m.job]
	switch {
	case j == nil || j.stateReady:
	case !m.found:
		e.model.Cancel(e.now(), &j.Job)
		e.endJob(j, attemptResult{result: routing.Rejected, stateMissing: true})
	default:
		j.stateReady = true
		e.fetchedTokens += j.PromptTokens
		if j.hasFirstToken {
			e.emitFirstToken(j)
		}
	}
}

func (e *engine) onToken(j *job, n int) {
	if n == 1 {
		j.hasFirstToken = true
		if j.stateReady {
			e.emitFirstToken(j)
		}
	}
	if j.resetAtToken == n && e.jobs[j.ID] == j && j.stateReady {
		e.endJobWithResult(j, routing.ConnectionReset)
		e.cancelLater(j)
	}
}

// cancelLater schedules a connectionClosed for a job that has ended, because the model must not be changed during one
// of its callbacks. The message cancels the job if the engine can cancel a running job. Until then the job stays
// registered, without a connection.
func (e *engine) cancelLater(j *job) {
	e.schedule(0, connectionClosed{j.ID})
	e.jobs[j.ID] = j
	j.disconnected = true
}

// emitFirstToken records that the request took effect, and sends its first token to the replica unless the connection
// is closed or a fault prevents it.
func (e *engine) emitFirstToken(j *job) {
	work := &j.request.work
	e.record(e.now(), audit.Event{
		Kind: audit.Executed, Engine: e.name, Request: j.ID, Attempt: work.attempt, Intent: work.intent,
		Class: work.idempotency,
	})
	if j.disconnected || e.failsAfterEffect(j) {
		return
	}
	e.send(j.request.replica, e.fleet.linkDelay(e.rnd), firstToken{j.request.attemptRef})
}

func (e *engine) onDone(j *job, cached float64) {
	if !j.PrefillOnly {
		if !j.stateReady { // the model finished before the fetched state arrived: count the effect now
			j.stateReady = true
			e.emitFirstToken(j)
		}
		e.endJob(j, attemptResult{result: routing.Served, cachedTokens: cached})
		return
	}
	e.heldStates[j.ID] = true
	e.record(e.now(), audit.Event{Kind: audit.StateHeld, Engine: e.name, Request: j.ID})
	if _, released := e.releasedAt[j.ID]; released {
		e.model.DropReadState(j.ID)
	}
	e.endJob(j, attemptResult{result: routing.PrefillDone, cachedTokens: cached})
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
		e.record(e.now(), audit.Event{Kind: audit.RequestEnded, Engine: e.name, Request: id})
	}
	j.disconnected = true
	if e.fleet.scenario.Service.CanCancel || !j.started {
		delete(e.jobs, id)
		e.model.Cancel(e.now(), &j.Job)
	}
}

// onRelease drops a read state. The ID is kept for the state TTL, so that a state is also dropped if its prefill ends
// after the release arrived.
func (e *engine) onRelease(id string) {
	for releasedID, at := range e.releasedAt {
		if e.now()-at > e.params.StateTTL {
			delete(e.releasedAt, releasedID)
		}
	}
	e.releasedAt[id] = e.now()
	e.model.TakeReadState(e.now(), id)
}

// stop ends the engine's process.
func (e *engine) stop() {
	e.up = false
	e.role.lastSwitchNumber++
	e.dropAllWork()
}

// dropAllWork resets all connections and drops the model's work, read states and prefix cache.
func (e *engine) dropAllWork() {
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		if j := e.jobs[id]; j != nil && !j.started { // a stalled job is unknown to the model, so Reset doesn't end it
			e.endJobWithResult(j, routing.ConnectionReset)
		}
	}
	e.model.Reset()
	for _, id := range slices.Sorted(maps.Keys(e.jobs)) {
		e.endJobWithResult(e.jobs[id], routing.ConnectionReset)
	}
}
