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

// apiServer simulates the Kubernetes API server: it sends the endpoint list to the replicas and stores the planner's
// assignments. It is also the only actor that injects the scenario's faults into engines, replicas and planners.
type apiServer struct {
	actorBase
	recorder
	fleet       *fleet
	faultRnd    *rand.Rand // draws what a fault affects, as in a scenario on sockets
	linkRnd     *rand.Rand // draws link delays and the backoffs of replicas
	engines     []listedEngine
	watches     []watch       // indexed by replica
	updateDelay time.Duration // added to every update by the fault register-late
	partitioned bool          // no replica or planner can reach the API server

	assignments   roles.Assignments
	kindByRole    map[roles.Role]int // index of the engine kind that serves a role; nil = no engine changes role
	plannerMemory plannerMemory
}

// listedEngine is the API server's entry for an engine.
type listedEngine struct {
	up, unlisted, draining bool
	started                time.Duration // latest start of the process; 0 = before the scenario
	activeFaults           int           // number of faults in force on this engine
	unhealthy              bool          // the health oracle lists the engine as draining
	flapGeneration         int           // incremented when flapping starts or ends; odd while it lasts
}

// watch is the ordered stream of updates to one replica: a delayed update also delays the updates after it.
type watch struct {
	replicaDown   bool          // the replica is stopped by a fault
	lastSentAt    time.Duration // time at which the latest update is sent
	lastArrivalAt time.Duration // time at which the latest update arrives
}

// Messages sent by the API server.
type (
	// listUpdate holds one changed endpoint (routing.ListChanges) or all endpoints (routing.ListFull). A replica that
	// restarts applies a listUpdate of its own with the cached list (routing.ListCached).
	listUpdate struct {
		scope     routing.ListScope
		endpoints []endpoint
	}
	// endpoint is an engine's entry in the endpoint list.
	endpoint struct {
		engine  int
		kind    int
		state   routing.EndpointState
		started time.Duration
	}
	// processSignal stops the process of a replica or planner, or starts it again.
	processSignal struct{ signal string }
)

// Values of processSignal. The signals that stop a replica have the names of their faults in scenarios.
const (
	signalKill        = "front-kill"
	signalShutdown    = "front-stop"
	signalStart       = "start"
	signalStopPlanner = "stop"
)

// Messages to the API server.
type (
	// engineStopped reports that an engine's process ended by itself, engineStarted that it was started.
	engineStopped struct{ engine int }
	engineStarted struct {
		engine int
		at     time.Duration
	}
	// listRequest is a replica's request for the full endpoint list.
	listRequest struct{ replica int }
	// scheduledTask is a function that the API server has scheduled for itself.
	scheduledTask struct{ run func() }
)

// faultStream is the random stream for faults. It is seeded by the scenario, so that a fault affects the same engines
// as in the same scenario on sockets.
const faultStream = 1

func newAPIServer(f *fleet) *apiServer {
	return &apiServer{
		recorder: recorder{enabled: f.options.Audit}, fleet: f,
		faultRnd: rand.New(rand.NewPCG(uint64(f.scenario.Seed), faultStream)), linkRnd: f.newRand(apiServerStream),
	}
}

// start sends the initial endpoint lists and schedules the faults.
func (s *apiServer) start() {
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
		conditions := scenario.NormalConditions()
		if conditions.Apply(fault) != nil { // the fault changes client behavior and is applied by the clients actor
			continue
		}
		s.runTask(fault.At, func() {
			if undo := s.applyFault(fault); undo != nil {
				s.runTask(fault.Duration, undo)
			}
		})
	}
}

func (s *apiServer) runTask(delay time.Duration, run func()) { s.schedule(delay, scheduledTask{run}) }

func (s *apiServer) receive(message any) {
	switch m := message.(type) {
	case scheduledTask:
		m.run()
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

// endpoint returns an engine's entry in the endpoint list: the state of its process and faults, combined with its role
// assignment.
func (s *apiServer) endpoint(i int) endpoint {
	e := s.fleet.engines[i]
	entry := endpoint{i, s.fleet.settings.KindIndex(e.kind.Name), s.endpointState(i), s.engines[i].started}
	if assigned, ok := s.assignments.Entries[e.name]; ok {
		entry.kind = s.kindByRole[assigned.Role]
		if entry.state == routing.EndpointReady && !assigned.Serving {
			entry.state = routing.EndpointDraining
		}
		if assigned.ServingSince > 0 {
			entry.started = max(entry.started, assigned.ServingSince-epoch)
		}
	}
	return entry
}

func (s *apiServer) endpointState(i int) routing.EndpointState {
	switch e := &s.engines[i]; {
	case e.unlisted || !e.up:
		return routing.EndpointGone
	case e.draining || e.unhealthy:
		return routing.EndpointDraining
	}
	return routing.EndpointReady
}

// sendChange sends every replica the current entry of one engine.
func (s *apiServer) sendChange(engine int) {
	if s.partitioned {
		return
	}
	update := listUpdate{routing.ListChanges, []endpoint{s.endpoint(engine)}}
	for i := range s.watches {
		if !s.watches[i].replicaDown {
			s.sendUpdate(i, update)
		}
	}
}

// sendFullList sends a replica the full endpoint list.
func (s *apiServer) sendFullList(replica int) {
	if s.partitioned || s.watches[replica].replicaDown {
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
	w.lastSentAt = max(w.lastSentAt, s.now()+s.updateDelay)
	w.lastArrivalAt = max(w.lastSentAt+s.fleet.linkDelay(s.linkRnd), w.lastArrivalAt)
	for _, entry := range update.endpoints {
		// The audit counts a drain from the arrival of the update, and readiness from when the update is sent.
		name := s.fleet.engines[entry.engine].name
		if entry.state == routing.EndpointReady {
			s.record(w.lastSentAt, audit.Event{Kind: audit.NotifiedReady, Replica: r.name, Engine: name})
		} else {
			s.record(w.lastArrivalAt, audit.Event{Kind: audit.NotifiedGone, Replica: r.name, Engine: name})
		}
	}
	s.send(r.id, w.lastArrivalAt-s.now(), update)
}
