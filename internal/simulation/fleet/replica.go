package fleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/endpointslice"
	"brackenbend/routing"
)

// epoch is the router's time at the start of the scenario. It is positive so that an engine's start can lie before it.
const epoch = 24 * time.Hour

const (
	// acceptWhileDraining is how long a draining replica still accepts connections in order to reject their requests. It
	// equals the default drain grace of package gateway.
	acceptWhileDraining = 50 * time.Millisecond
	drainTimeout        = 10 * time.Second       // as in the settings that package scenario generates
	startupTime         = 100 * time.Millisecond // from the start of a replica's process until it listens
	restartPollInterval = 100 * time.Millisecond // between checks whether a replica has drained and can start again
	// listRequestHops is the number of link delays until a list request on a new connection to the API server is answered.
	listRequestHops = 4
)

// replica is the actor of one gateway replica. It consists of a Decider and a model of the gateway around it.
type replica struct {
	actorBase
	recorder
	fleet *fleet
	rnd   *rand.Rand
	index int
	name  string

	process     processState
	decider     Decider
	endpoints   endpointTable
	requests    requestTable
	outcomes    map[attemptOutcome]int
	lostByStage [2]float64 // requests rejected or failed before their first token since the start: prefill, decode
}

// processState is the lifecycle of a process that can be restarted. Each start begins a new generation; scheduled
// messages and attempt results of an earlier generation are ignored.
type processState struct {
	generation int
	up         bool
	draining   bool
	drainStart time.Duration
}

// endpointTable holds a replica's latest list entry for each engine.
type endpointTable struct {
	ids      []routing.EndpointID // indexed by engine
	engineOf map[routing.EndpointID]int
	entries  []endpoint // indexed by engine; nil = no list was received yet
}

func newEndpointTable(engines []*engine) endpointTable {
	t := endpointTable{engineOf: map[routing.EndpointID]int{}}
	for i, e := range engines {
		id := endpointslice.EndpointID(e.name, func(id routing.EndpointID) bool { _, taken := t.engineOf[id]; return taken })
		t.ids, t.engineOf[id] = append(t.ids, id), i
	}
	return t
}

// Messages that a replica schedules for itself; generation is that of the process that scheduled them.
type (
	routerTimer struct {
		generation int
		tag        uint64
	}
	attemptTimeout struct {
		generation int
		request    routing.RequestID
		attempt    int
	}
	// answerDue fails a request that has no answer by its deadline.
	answerDue struct {
		generation     int
		request        routing.RequestID
		completeAnswer bool // the complete answer is due, not only the first token
	}
	processStarted struct{}
	// processTask is a function that a process has scheduled.
	processTask struct {
		generation int
		run        func()
	}
)

func newReplica(f *fleet, index int) *replica {
	return &replica{
		recorder: recorder{enabled: f.options.Audit}, fleet: f, rnd: f.newRand(firstReplicaStream + uint64(index)),
		index: index, name: replicaName(index), endpoints: newEndpointTable(f.engines), outcomes: map[attemptOutcome]int{},
	}
}

// start starts a new generation of the replica's process.
func (r *replica) start() error {
	seed := uint64(r.fleet.scenario.Seed)*seedStride + uint64(r.index) + 1
	var err error
	if r.decider, err = r.fleet.options.Decider(r.fleet.config, seed); err != nil {
		return err
	}
	r.process.generation++
	r.process.up, r.process.draining = true, false
	r.requests, r.lostByStage = newRequestTable(), [2]float64{}
	r.record(r.now(), audit.Event{Kind: audit.ReplicaStarted, Replica: r.name})
	if r.endpoints.entries != nil { // simulates the list cached on disk, which survives a restart
		r.onList(listUpdate{routing.ListCached, slices.Clone(r.endpoints.entries)})
	}
	return nil
}

func (r *replica) receive(message any) {
	if !r.process.up {
		r.receiveWhileDown(message)
		return
	}
	switch m := message.(type) {
	case incomingRequest:
		r.onRequest(m)
	case clientDisconnected:
		if request := r.requests.byAttempt[m.attempt]; request != nil {
			r.onClientDisconnected(request)
		}
	case listUpdate:
		r.onList(m)
	case attemptEnded:
		if m.generation == r.process.generation {
			r.onAttemptEnded(m)
		}
	case firstToken:
		if m.generation == r.process.generation {
			r.onFirstToken(m)
		}
	case routerTimer:
		if m.generation == r.process.generation {
			r.step(routing.Timer{Tag: m.tag})
		}
	case attemptTimeout:
		r.onAttemptTimeout(m)
	case answerDue:
		r.onAnswerDue(m)
	case processTask:
		if m.generation == r.process.generation {
			m.run()
		}
	case processSignal:
		r.onSignal(m.signal)
	case lostWorkRequest:
		r.send(m.from, r.fleet.linkDelay(r.rnd), lostWorkReply{r.name, r.lostByStage})
	}
	if r.process.draining && len(r.requests.byID) == 0 {
		r.stop()
	}
}

func (r *replica) receiveWhileDown(message any) {
	switch m := message.(type) {
	case incomingRequest:
		r.sendAnswer(m.attempt, resultNotConnected, 0, false)
	case processSignal:
		if m.signal == signalStart {
			r.schedule(startupTime, processStarted{})
		}
	case processStarted:
		if err := r.start(); err != nil { // can't happen: the same settings were accepted at the first start
			panic(err)
		}
		r.send(r.fleet.apiServer.id, listRequestHops*r.fleet.linkDelay(r.rnd), listRequest{r.index})
	}
}

// runTask schedules a function, which is dropped if the process has ended by then.
func (r *replica) runTask(delay time.Duration, run func()) {
	r.schedule(delay, processTask{r.process.generation, run})
}

func (r *replica) onSignal(signal string) {
	switch signal {
	case signalKill:
		r.record(r.now(), audit.Event{Kind: audit.ReplicaKilled, Replica: r.name})
		for _, id := range slices.Sorted(maps.Keys(r.requests.byID)) {
			request := r.requests.byID[id]
			if request.answer != answerSent {
				r.sendAnswer(request.message.attempt, resultConnectionLost, 0, false)
			}
			r.cancelAll(request)
		}
		r.stop()
	case signalShutdown:
		r.process.draining, r.process.drainStart = true, r.now()
		r.runTask(drainTimeout, r.endDrain)
	case signalStart: // the process is up: if it is draining, check again later whether it can be started
		if r.process.draining {
			r.runTask(restartPollInterval, func() { r.onSignal(signalStart) })
		}
	}
}

// endDrain fails the requests that are still open when the drain times out, and stops the process.
func (r *replica) endDrain() {
	for _, id := range slices.Sorted(maps.Keys(r.requests.byID)) {
		request := r.requests.byID[id]
		if request.answer != answerSent {
			r.finish(request, resultFailed, 0, r.mayHaveEffect(request))
		}
		r.cancelAll(request)
	}
	r.stop()
}

func (r *replica) stop() {
	r.process.up, r.process.draining = false, false
	r.requests.byID, r.requests.byAttempt = nil, nil
}

// onList applies an update of the endpoint list. It updates the table before the router handles the update, so that no
// attempt is sent to an endpoint that is listed as draining or gone.
func (r *replica) onList(update listUpdate) {
	if r.endpoints.entries == nil {
		r.endpoints.entries = make([]endpoint, len(r.fleet.engines))
	}
	ev := routing.EndpointList{Scope: update.scope}
	for _, entry := range update.endpoints {
		r.endpoints.entries[entry.engine] = entry
		e := r.fleet.engines[entry.engine]
		endpoint := routing.Endpoint{
			ID: r.endpoints.ids[entry.engine], Kind: entry.kind, Cell: e.cell, State: entry.state,
		}
		if entry.started > 0 {
			endpoint.StartedAt = epoch + entry.started
		}
		ev.Endpoints = append(ev.Endpoints, endpoint)
	}
	r.step(ev)
}

// step passes an event to the router and performs the resulting actions.
func (r *replica) step(ev routing.Event) {
	for _, action := range r.decider.Step(r.now()+epoch, []routing.Event{ev}) {
		r.perform(action)
	}
	// Answered requests are removed after all actions, because a release may follow the answer.
	for _, request := range r.requests.answeredInStep {
		r.removeIfDone(request)
	}
	r.requests.answeredInStep = r.requests.answeredInStep[:0]
}

func (r *replica) perform(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		r.sendAttempt(a)
	case routing.Reject:
		if request := r.requests.byID[a.Request]; request != nil {
			r.finish(request, resultRejected, a.RetryAfter, a.NoAutoRetry)
			r.requests.answeredInStep = append(r.requests.answeredInStep, request)
		}
	case routing.Fail:
		if request := r.requests.byID[a.Request]; request != nil {
			r.finish(request, resultFailed, 0, a.PossibleDuplicate || r.mayHaveEffect(request))
			r.requests.answeredInStep = append(r.requests.answeredInStep, request)
		}
	case routing.Cancel:
		if request := r.requests.byID[a.Request]; request != nil && a.Attempt < len(request.attempts) {
			r.cancel(request, a.Attempt)
		}
	case routing.ReleaseState:
		if request := r.requests.byID[a.Request]; request != nil && !request.hasOpenDecode() {
			for _, attempt := range request.attempts {
				r.releaseWhenEnded(attempt)
			}
		}
	case routing.SetTimer:
		r.schedule(a.After, routerTimer{r.process.generation, a.Tag})
	}
}
