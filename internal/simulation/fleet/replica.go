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

// epoch is the router's time at the start of the scenario, so that engines may have started before.
const epoch = 24 * time.Hour

const (
	// acceptWhileDraining is how long a replica that shuts down still accepts connections, to reject their requests; as
	// in package gateway.
	acceptWhileDraining = 50 * time.Millisecond
	drainTimeout        = 10 * time.Second       // as in the settings that scenarios write
	startupTime         = 100 * time.Millisecond // from the start of a replica's process until it listens
	restartPoll         = 100 * time.Millisecond // while a replica that is to start again still drains
	// listHops is how many links a new connection to the API server with its first list takes.
	listHops = 4
)

// replica is one replica: a decider, and what the gateway does around it.
type replica struct {
	actorBase
	recorder
	fleet *fleet
	rnd   *rand.Rand
	index int
	name  string

	process   processState
	decider   Decider
	endpoints endpointTable
	requests  requestTable
	outcomes  map[attemptOutcome]int
	lost      [2]float64 // requests that the stage had no capacity for, since the process began
}

// processState is the life cycle of a process that may be started again. Messages of an earlier run are ignored.
type processState struct {
	run        int
	up         bool
	draining   bool
	drainStart time.Duration
}

// endpointTable is what a replica knows of the engines.
type endpointTable struct {
	ids    []routing.EndpointID // by engine
	engine map[routing.EndpointID]int
	known  []endpoint // by engine: as last notified; nil = nothing was yet
}

func newEndpointTable(engines []*engine) endpointTable {
	t := endpointTable{engine: map[routing.EndpointID]int{}}
	for i, e := range engines {
		id := endpointslice.EndpointID(e.name, func(id routing.EndpointID) bool { _, taken := t.engine[id]; return taken })
		t.ids, t.engine[id] = append(t.ids, id), i
	}
	return t
}

// Messages of a replica to itself; run is that of the process which sent it.
type (
	routerTimer struct {
		run int
		tag uint64
	}
	attemptTimeout struct {
		run     int
		request routing.RequestID
		attempt int
	}
	// answerDue ends the time in which a request must be answered.
	answerDue struct {
		run     int
		request routing.RequestID
		whole   bool // an answer that is not streamed to the client is due; else a first token is enough
	}
	processStarted struct{}
	// processTask is work that a process scheduled.
	processTask struct {
		run int
		do  func()
	}
)

func newReplica(f *fleet, index int) *replica {
	return &replica{
		recorder: recorder{enabled: f.options.Audit}, fleet: f, rnd: f.newRand(firstReplicaStream + uint64(index)),
		index: index, name: replicaName(index), endpoints: newEndpointTable(f.engines), outcomes: map[attemptOutcome]int{},
	}
}

// start begins a process.
func (r *replica) start() error {
	seed := uint64(r.fleet.scenario.Seed)*seedsEach + uint64(r.index) + 1
	var err error
	if r.decider, err = r.fleet.options.Decider(r.fleet.config, seed); err != nil {
		return err
	}
	r.process.run++
	r.process.up, r.process.draining = true, false
	r.requests, r.lost = newRequestTable(), [2]float64{}
	r.record(r.now(), audit.Event{Kind: audit.ReplicaStarted, Replica: r.name})
	if r.endpoints.known != nil { // the list that is cached on disk
		r.onList(listUpdate{routing.ListCached, slices.Clone(r.endpoints.known)})
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
	case clientLeft:
		if request := r.requests.byAttempt[m.attempt]; request != nil {
			r.onClientLeft(request)
		}
	case listUpdate:
		r.onList(m)
	case attemptEnded:
		if m.run == r.process.run {
			r.onAttemptEnded(m)
		}
	case firstToken:
		if m.run == r.process.run {
			r.onFirstToken(m)
		}
	case routerTimer:
		if m.run == r.process.run {
			r.step(routing.Timer{Tag: m.tag})
		}
	case attemptTimeout:
		r.onAttemptTimeout(m)
	case answerDue:
		r.onAnswerDue(m)
	case processTask:
		if m.run == r.process.run {
			m.do()
		}
	case processSignal:
		r.onSignal(m.what)
	case lostWorkRequest:
		r.send(m.from, r.fleet.hop(r.rnd), lostWorkReply{r.name, r.lost})
	}
	if r.process.draining && len(r.requests.byID) == 0 {
		r.stop()
	}
}

func (r *replica) receiveWhileDown(message any) {
	switch m := message.(type) {
	case incomingRequest:
		r.sendAnswer(m.attempt, kindUnconnected, 0, false)
	case processSignal:
		if m.what == signalStart {
			r.schedule(startupTime, processStarted{})
		}
	case processStarted:
		if err := r.start(); err != nil { // the same settings were accepted before
			panic(err)
		}
		r.send(r.fleet.apiServer.id, listHops*r.fleet.hop(r.rnd), listRequest{r.index})
	}
}

// runTask schedules work of the present process.
func (r *replica) runTask(after time.Duration, do func()) {
	r.schedule(after, processTask{r.process.run, do})
}

func (r *replica) onSignal(what string) {
	switch what {
	case signalKill:
		r.record(r.now(), audit.Event{Kind: audit.ReplicaKilled, Replica: r.name})
		for _, id := range slices.Sorted(maps.Keys(r.requests.byID)) {
			request := r.requests.byID[id]
			if request.answer != answerGiven {
				r.sendAnswer(request.message.attempt, kindCut, 0, false)
			}
			r.cancelAll(request)
		}
		r.stop()
	case signalShutdown:
		r.process.draining, r.process.drainStart = true, r.now()
		r.runTask(drainTimeout, r.endDrain)
	case signalStart: // it still drains: it starts once it is down
		if r.process.draining {
			r.runTask(restartPoll, func() { r.onSignal(signalStart) })
		}
	}
}

// endDrain fails what is still open.
func (r *replica) endDrain() {
	for _, id := range slices.Sorted(maps.Keys(r.requests.byID)) {
		request := r.requests.byID[id]
		if request.answer != answerGiven {
			r.finish(request, kindFailed, 0, r.mayHaveEffect(request))
		}
		r.cancelAll(request)
	}
	r.stop()
}

func (r *replica) stop() {
	r.process.up, r.process.draining = false, false
	r.requests.byID, r.requests.byAttempt = nil, nil
}

// onList applies an update of the endpoint list. Endpoints that drain or are gone are closed before the router learns
// of them.
func (r *replica) onList(update listUpdate) {
	if r.endpoints.known == nil {
		r.endpoints.known = make([]endpoint, len(r.fleet.engines))
	}
	ev := routing.EndpointList{Scope: update.scope}
	for _, listed := range update.endpoints {
		r.endpoints.known[listed.engine] = listed
		e := r.fleet.engines[listed.engine]
		endpoint := routing.Endpoint{
			ID: r.endpoints.ids[listed.engine], Kind: listed.kind, Cell: e.cell, State: listed.state,
		}
		if listed.started > 0 {
			endpoint.StartedAt = epoch + listed.started
		}
		ev.Endpoints = append(ev.Endpoints, endpoint)
	}
	r.step(ev)
}

// step gives the router an event and carries out its actions.
func (r *replica) step(ev routing.Event) {
	for _, action := range r.decider.Step(r.now()+epoch, []routing.Event{ev}) {
		r.act(action)
	}
	// Not before all actions are carried out: a release may follow the answer.
	for _, request := range r.requests.answered {
		r.forgetIfDone(request)
	}
	r.requests.answered = r.requests.answered[:0]
}

func (r *replica) act(action routing.Action) {
	switch a := action.(type) {
	case routing.Send:
		r.sendAttempt(a)
	case routing.Reject:
		if request := r.requests.byID[a.Request]; request != nil {
			r.finish(request, kindRejected, a.RetryAfter, a.NoAutoRetry)
			r.requests.answered = append(r.requests.answered, request)
		}
	case routing.Fail:
		if request := r.requests.byID[a.Request]; request != nil {
			r.finish(request, kindFailed, 0, a.PossibleDuplicate || r.mayHaveEffect(request))
			r.requests.answered = append(r.requests.answered, request)
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
		r.schedule(a.After, routerTimer{r.process.run, a.Tag})
	}
}
