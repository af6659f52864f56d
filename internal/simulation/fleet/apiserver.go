package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/roles"
	"brackenbend/routing"
)

// apiServer sends the endpoint list to the replicas, and is the only actor that applies the scenario's faults to
// engines and replicas.
type apiServer struct {
	actorBase
	recorder
	fleet    *fleet
	faultRnd *rand.Rand // draws of the scenario's faults, as on sockets
	linkRnd  *rand.Rand
	engines  []listedEngine
	watches  []watch // by replica
	late     time.Duration
	cut      bool // from everybody

	assignments   roles.Assignments
	kinds         map[roles.Role]int // where engines change role
	plannerMemory plannerMemory
}

// listedEngine is what the API server knows of an engine.
type listedEngine struct {
	up, unlisted, draining bool
	started                time.Duration // 0 = long ago
	faults                 int           // that strike it
	harmful                bool          // the health oracle notifies replicas of it
	flaps                  int           // counts starts and ends of flapping; the engine flaps while it is odd
}

// watch is the stream of updates to one replica: an update that is late delays those after it.
type watch struct {
	down      bool          // the replica was stopped by a fault
	lastSent  time.Duration // when the latest update was written
	lastHeard time.Duration // when it arrives
}

// Messages of the API server to others.
type (
	// listUpdate is a list: of one engine (routing.ListChanges), or of all.
	listUpdate struct {
		scope     routing.ListScope
		endpoints []endpoint
	}
	endpoint struct {
		engine  int
		kind    int
		state   routing.EndpointState
		started time.Duration
	}
	// processSignal stops a process, or starts it again.
	processSignal struct{ what string }
)

// The signals. Those that stop a replica are named as their faults.
const (
	signalKill        = "front-kill"
	signalShutdown    = "front-stop"
	signalStart       = "start"
	signalStopPlanner = "stop"
)

// Messages to the API server.
type (
	// engineStopped and engineStarted are of an engine's process that stopped by itself or started.
	engineStopped struct{ engine int }
	engineStarted struct {
		engine int
		at     time.Duration
	}
	// listRequest is a replica that asks for the whole list.
	listRequest struct{ replica int }
	// scheduledTask is a task of the API server's own.
	scheduledTask struct{ do func() }
)

// faultStream is the stream of the draws of faults; their seed is the scenario's, as on sockets.
const faultStream = 1

func newAPIServer(f *fleet) *apiServer {
	return &apiServer{
		recorder: recorder{enabled: f.options.Audit}, fleet: f,
		faultRnd: rand.New(rand.NewPCG(uint64(f.scenario.Seed), faultStream)), linkRnd: f.newRand(apiServerStream),
	}
}

// begin sends the first lists and schedules the faults.
func (s *apiServer) begin() {
	s.engines, s.watches = make([]listedEngine, len(s.fleet.engines)), make([]watch, len(s.fleet.replicas))
	for i, e := range s.fleet.engines {
		s.engines[i].up = true
		s.record(0, audit.Event{Kind: audit.EngineStarted, Engine: e.name})
	}
	for i := range s.fleet.replicas {
		s.sendFullList(i)
	}
	faults := slices.Clone(s.fleet.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	for i := range faults {
		fault := &faults[i]
		trial := scenario.NormalConditions()
		if trial.Apply(fault) != nil { // applied by the clients
			continue
		}
		s.runTask(fault.At, func() {
			if undo := s.apply(fault); undo != nil {
				s.runTask(fault.For, undo)
			}
		})
	}
}

func (s *apiServer) runTask(after time.Duration, do func()) { s.schedule(after, scheduledTask{do}) }

func (s *apiServer) receive(message any) {
	switch m := message.(type) {
	case scheduledTask:
		m.do()
	case engineStopped:
		s.engines[m.engine].up = false
		s.sendChange(m.engine)
	case engineStarted:
		s.engines[m.engine].up, s.engines[m.engine].started = true, m.at
		s.sendChange(m.engine)
	case listRequest:
		s.sendFullList(m.replica)
	case viewRequest:
		s.onViewRequest(m)
	case assignmentsWrite:
		s.onAssignmentsWrite(m)
	case plannerMemory:
		s.plannerMemory = m
	}
}

// endpoint returns an engine as the list has it: its state here, adapted by its assignment.
func (s *apiServer) endpoint(i int) endpoint {
	e := s.fleet.engines[i]
	listed := endpoint{i, s.fleet.settings.KindIndex(e.kind.Name), s.state(i), s.engines[i].started}
	if assigned, ok := s.assignments.Entries[e.name]; ok {
		listed.kind = s.kinds[assigned.Role]
		if listed.state == routing.EndpointReady && !assigned.Serving {
			listed.state = routing.EndpointDraining
		}
		if assigned.ReopenedAt > 0 {
			listed.started = max(listed.started, assigned.ReopenedAt-epoch)
		}
	}
	return listed
}

func (s *apiServer) state(i int) routing.EndpointState {
	switch e := &s.engines[i]; {
	case e.unlisted || !e.up:
		return routing.EndpointGone
	case e.draining || e.harmful:
		return routing.EndpointDraining
	}
	return routing.EndpointReady
}

// sendChange notifies every replica of one engine.
func (s *apiServer) sendChange(engine int) {
	if s.cut {
		return
	}
	update := listUpdate{routing.ListChanges, []endpoint{s.endpoint(engine)}}
	for i := range s.watches {
		if !s.watches[i].down {
			s.sendUpdate(i, update)
		}
	}
}

// sendFullList sends a replica the whole list.
func (s *apiServer) sendFullList(replica int) {
	if s.cut || s.watches[replica].down {
		return
	}
	update := listUpdate{scope: routing.ListFull}
	for i := range s.engines {
		update.endpoints = append(update.endpoints, s.endpoint(i))
	}
	s.sendUpdate(replica, update)
}

func (s *apiServer) sendUpdate(replica int, update listUpdate) {
	r, w := s.fleet.replicas[replica], &s.watches[replica]
	w.lastSent = max(w.lastSent, s.now()+s.late)
	w.lastHeard = max(w.lastSent+s.fleet.hop(s.linkRnd), w.lastHeard)
	for _, listed := range update.endpoints { // drains count from when they are heard, readiness from when it is sent
		name := s.fleet.engines[listed.engine].name
		if listed.state == routing.EndpointReady {
			s.record(w.lastSent, audit.Event{Kind: audit.NotifiedReady, Replica: r.name, Engine: name})
		} else {
			s.record(w.lastHeard, audit.Event{Kind: audit.NotifiedGone, Replica: r.name, Engine: name})
		}
	}
	s.send(r.id, w.lastHeard-s.now(), update)
}
