package scenariorun

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"brackenbend/internal/fake/engine"
	"brackenbend/internal/simulation/scenario"
)

// faultScript plays the faults of a scenario. Only its own goroutine draws from random.
type faultScript struct {
	*run
	random *rand.Rand // clients have their own
}

func newFaultScript(r *run) *faultScript {
	return &faultScript{run: r, random: rand.New(rand.NewPCG(uint64(r.scenario.Seed), 1))}
}

// play begins each fault in its time, undoes it after its duration, and waits for the end of all.
func (s *faultScript) play(ctx context.Context, began time.Time) {
	var pending sync.WaitGroup
	defer pending.Wait()
	faults := slices.Clone(s.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	for _, fault := range faults {
		if !sleepUntil(ctx, began.Add(fault.At)) {
			return
		}
		undo := s.begin(&fault)
		if undo == nil {
			continue
		}
		pending.Go(func() {
			sleepUntil(ctx, began.Add(fault.At+fault.For))
			undo()
			s.logf("fault over: %s", fault.What)
		})
	}
}

// sleepUntil sleeps until a time; false: ctx was canceled before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// begin begins a fault and returns what undoes it, nil when nothing needs to.
func (s *faultScript) begin(fault *scenario.Fault) (undo func()) {
	switch fault.What {
	case "front-kill":
		return s.stopReplicas(fault, syscall.SIGKILL)
	case "front-stop":
		return s.stopReplicas(fault, syscall.SIGTERM)
	case "register-cut":
		s.logf("API server unreachable for %v", fault.For)
		s.api.SetUnreachable(true)
		return func() { s.api.SetUnreachable(false) }
	case "register-late":
		s.logf("API server late by %v for %v", fault.Late, fault.For)
		s.api.SetDelay(fault.Late)
		return func() { s.api.SetDelay(0) }
	case "register-compact":
		s.logf("API server compacts its history")
		s.api.Compact()
		return nil
	case "planner-stop":
		return s.stopPlanners(fault)
	case "role-force":
		for _, server := range s.pick(fault) {
			s.forceRole(server.Info().Name)
		}
		return nil
	}
	if undo := s.changeConditions(fault); undo != nil {
		return undo
	}
	return s.beginOnEngines(fault)
}

func (s *faultScript) stopPlanners(fault *scenario.Fault) (undo func()) {
	if s.planners == nil {
		return nil
	}
	s.logf("planners stopped for %v", fault.For)
	s.planners.stop()
	return s.planners.start
}

// stopReplicas signals replicas and starts them again when it is undone.
func (s *faultScript) stopReplicas(fault *scenario.Fault, signal syscall.Signal) (undo func()) {
	var stopped []*replica
	for _, i := range s.random.Perm(len(s.replicas.members)) {
		p := s.replicas.members[i]
		if p.isUp() && len(stopped) < max(fault.Count, 1) {
			stopped = append(stopped, p)
		}
	}
	var stopping sync.WaitGroup
	for _, p := range stopped {
		s.logf("%s %s", fault.What, p.name)
		stopping.Go(func() { s.replicas.stop(p, signal) })
	}
	return func() {
		stopping.Wait()
		for _, p := range stopped {
			if err := s.replicas.start(p); err != nil {
				s.logf("%s not restarted: %v", p.name, err)
			}
		}
	}
}

// clientConditions are the conditions under which clients act now.
type clientConditions struct {
	mu      sync.Mutex
	current scenario.Conditions
}

// snapshot returns a copy of the conditions.
func (c *clientConditions) snapshot() *scenario.Conditions {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.current
	return &current
}

// changeConditions changes what clients do; nil where the fault is another's.
func (s *faultScript) changeConditions(fault *scenario.Fault) func() {
	c := &s.conditions
	c.mu.Lock()
	defer c.mu.Unlock()
	undo := c.current.Apply(fault)
	if undo == nil {
		return nil
	}
	s.logf("%s for %v", fault.What, fault.For)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		undo(&c.current)
	}
}

// pick draws engines for a fault; those on which a fault is in force are left out, so that the fleet doesn't lose more
// than the script says.
func (s *faultScript) pick(fault *scenario.Fault) []*engine.Server {
	return scenario.DrawTargets(fault, s.random, s.engines.sound(fault.Kind))
}
