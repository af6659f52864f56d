package fleet

import (
	"time"

	"brackenbend/internal/simulation/scenario"
)

// pickEngines draws the engines that a fault affects, in the same way as a scenario on sockets.
func (s *apiServer) pickEngines(f *scenario.Fault) []int {
	var candidates []int
	for i, e := range s.fleet.engines {
		entry := &s.engines[i]
		if (f.EngineKind == "" || e.kind.Name == f.EngineKind) && entry.up && entry.activeFaults == 0 && !entry.draining {
			candidates = append(candidates, i)
		}
	}
	return scenario.DrawTargets(f, s.faultRnd, candidates)
}

// applyFault starts a fault. undo ends it; nil means that the fault has no end.
func (s *apiServer) applyFault(f *scenario.Fault) (undo func()) {
	switch f.Type {
	case "front-kill", "front-stop":
		return s.stopReplicas(f)
	case "register-cut":
		s.partitioned = true
		return func() { s.reconnect(f.Duration) }
	case "register-late":
		s.updateDelay = f.EventDelay
		return func() { s.updateDelay = 0 }
	case "register-compact": // the watches end, and each replica fetches the full list again
		for i := range s.fleet.replicas {
			s.sendFullList(i)
		}
		return nil
	case "planner-stop":
		s.signalPlanners(signalStopPlanner)
		return func() { s.signalPlanners(signalStart) }
	case "role-force":
		for _, i := range s.pickEngines(f) {
			s.forceRole(s.fleet.engines[i].name)
		}
		return nil
	}
	return s.applyToEngines(f)
}

// applyToEngines starts a fault on the engines that it draws.
func (s *apiServer) applyToEngines(f *scenario.Fault) (undo func()) {
	targets := s.pickEngines(f)
	unhealthy := s.marksUnhealthy(f, len(targets))
	for _, i := range targets {
		s.engines[i].activeFaults++
		if unhealthy {
			s.engines[i].unhealthy = true
			s.sendChange(i)
		}
		s.applyToEngine(i, f, true)
	}
	return func() {
		for _, i := range targets {
			s.applyToEngine(i, f, false)
			s.engines[i].activeFaults--
			if unhealthy {
				s.engines[i].unhealthy = false
				s.sendChange(i)
			}
		}
	}
}

// maxWatchBackoff is the longest backoff of a replica before it lists the endpoints again.
const maxWatchBackoff = 5 * time.Second

// reconnect ends a partition. Each replica receives the full list after a random backoff, which is at most as long as
// the outage and maxWatchBackoff.
func (s *apiServer) reconnect(outage time.Duration) {
	s.partitioned = false
	for i := range s.fleet.replicas {
		backoff := min(outage, maxWatchBackoff)
		s.runTask(time.Duration(s.linkRnd.Float64()*float64(backoff)), func() { s.sendFullList(i) })
	}
}

// applyToEngine starts or ends a fault on one engine.
func (s *apiServer) applyToEngine(i int, f *scenario.Fault, active bool) {
	entry := &s.engines[i]
	switch f.Type {
	case "drain":
		entry.draining = active
		s.sendChange(i)
		return
	case "remove", "register-stale": // replicas ignore the outdated event that follows a removal
		entry.unlisted = active
		s.sendChange(i)
		return
	case "register-flap":
		entry.flapGeneration++
		s.flap(i, entry.flapGeneration)
		return
	case "reports-frozen", "reports-none": // no replica uses load reports for its decisions
		return
	case "crash":
		if active { // the API server detects the end of a process without delay
			entry.up = false
			s.sendChange(i)
		}
	}
	fault := engineFault{f.Type, active, f.Fraction, f.Factor, f.Class}
	s.send(s.fleet.engines[i].id, s.fleet.linkDelay(s.linkRnd), fault)
}

// flap toggles whether an engine is listed, and repeats this every scenario.FlapInterval until the engine's flap
// generation changes. An even generation lists the engine again and stops.
func (s *apiServer) flap(i, generation int) {
	entry := &s.engines[i]
	switch {
	case entry.flapGeneration != generation:
		return
	case generation%2 == 0:
		entry.unlisted = false
	default:
		entry.unlisted = !entry.unlisted
		s.runTask(scenario.FlapInterval, func() { s.flap(i, generation) })
	}
	s.sendChange(i)
}

// stopReplicas kills as many replicas as the fault says, or shuts them down; undo starts them again.
func (s *apiServer) stopReplicas(f *scenario.Fault) (undo func()) {
	var targets []int
	for _, i := range s.faultRnd.Perm(len(s.fleet.replicas)) {
		if !s.watches[i].replicaDown && len(targets) < max(f.Count, 1) {
			targets = append(targets, i)
			s.watches[i].replicaDown = true
			s.send(s.fleet.replicas[i].id, s.fleet.linkDelay(s.linkRnd), processSignal{f.Type})
		}
	}
	return func() {
		for _, i := range targets {
			s.send(s.fleet.replicas[i].id, s.fleet.linkDelay(s.linkRnd), processSignal{signalStart})
			s.watches[i].replicaDown = false
		}
	}
}
