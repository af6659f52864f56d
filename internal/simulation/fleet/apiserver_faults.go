package fleet

import (
	"time"

	"brackenbend/internal/simulation/scenario"
)

// pick draws the engines that a fault strikes, as a scenario on sockets does.
func (s *apiServer) pick(f *scenario.Fault) []int {
	var candidates []int
	for i, e := range s.fleet.engines {
		listed := &s.engines[i]
		if (f.Kind == "" || e.kind.Name == f.Kind) && listed.up && listed.faults == 0 && !listed.draining {
			candidates = append(candidates, i)
		}
	}
	return scenario.DrawTargets(f, s.faultRnd, candidates)
}

// apply begins a fault and returns what ends it.
func (s *apiServer) apply(f *scenario.Fault) (undo func()) {
	switch f.What {
	case "front-kill", "front-stop":
		return s.stopReplicas(f)
	case "register-cut":
		s.cut = true
		return func() { s.reconnect(f.For) }
	case "register-late":
		s.late = f.Late
		return func() { s.late = 0 }
	case "register-compact": // watches end, and replicas ask for the whole list
		for i := range s.fleet.replicas {
			s.sendFullList(i)
		}
		return nil
	case "planner-stop":
		s.signalPlanners(signalStopPlanner)
		return func() { s.signalPlanners(signalStart) }
	case "role-force":
		for _, i := range s.pick(f) {
			s.forceRole(s.fleet.engines[i].name)
		}
		return nil
	}
	return s.applyToEngines(f)
}

func (s *apiServer) applyToEngines(f *scenario.Fault) (undo func()) {
	picked := s.pick(f)
	notifies := s.notifiesHarm(f, len(picked))
	for _, i := range picked {
		s.engines[i].faults++
		if notifies {
			s.engines[i].harmful = true
			s.sendChange(i)
		}
		s.applyToEngine(i, f, true)
	}
	return func() {
		for _, i := range picked {
			s.applyToEngine(i, f, false)
			s.engines[i].faults--
			if notifies {
				s.engines[i].harmful = false
				s.sendChange(i)
			}
		}
	}
}

// maxWatchBackoff is the longest time that a replica waits before it asks for the list again.
const maxWatchBackoff = 5 * time.Second

// reconnect ends a cut of some length: each replica asks for the list when its backoff is over.
func (s *apiServer) reconnect(length time.Duration) {
	s.cut = false
	for i := range s.fleet.replicas {
		backoff := min(length, maxWatchBackoff)
		s.runTask(time.Duration(s.linkRnd.Float64()*float64(backoff)), func() { s.sendFullList(i) })
	}
}

// applyToEngine begins or ends a fault of one engine.
func (s *apiServer) applyToEngine(i int, f *scenario.Fault, on bool) {
	listed := &s.engines[i]
	switch f.What {
	case "drain":
		listed.draining = on
		s.sendChange(i)
		return
	case "remove", "register-stale": // the outdated event after a removal is ignored by replicas
		listed.unlisted = on
		s.sendChange(i)
		return
	case "register-flap":
		listed.flaps++
		s.flap(i, listed.flaps)
		return
	case "reports-frozen", "reports-none": // no replica decides by load reports
		return
	case "crash":
		if on { // the API server learns of a process's end as soon as others do
			listed.up = false
			s.sendChange(i)
		}
	}
	fault := engineFault{f.What, on, f.Fraction, f.Factor, f.Class}
	s.send(s.fleet.engines[i].id, s.fleet.hop(s.linkRnd), fault)
}

// flap takes an engine off the list or puts it back, and again while the count of its flaps is the given one.
func (s *apiServer) flap(i, flaps int) {
	listed := &s.engines[i]
	switch {
	case listed.flaps != flaps:
		return
	case flaps%2 == 0:
		listed.unlisted = false
	default:
		listed.unlisted = !listed.unlisted
		s.runTask(scenario.FlapInterval, func() { s.flap(i, flaps) })
	}
	s.sendChange(i)
}

// stopReplicas kills some replicas, or shuts them down.
func (s *apiServer) stopReplicas(f *scenario.Fault) (undo func()) {
	var picked []int
	for _, i := range s.faultRnd.Perm(len(s.fleet.replicas)) {
		if !s.watches[i].down && len(picked) < max(f.Count, 1) {
			picked = append(picked, i)
			s.watches[i].down = true
			s.send(s.fleet.replicas[i].id, s.fleet.hop(s.linkRnd), processSignal{f.What})
		}
	}
	return func() {
		for _, i := range picked {
			s.send(s.fleet.replicas[i].id, s.fleet.hop(s.linkRnd), processSignal{signalStart})
			s.watches[i].down = false
		}
	}
}
