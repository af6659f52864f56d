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

// faultInjector injects the faults of a scenario. Only the goroutine of injectAll uses rnd.
type faultInjector struct {
	*run
	rnd *rand.Rand // the clients' draws use other generators
}

func newFaultInjector(r *run) *faultInjector {
	return &faultInjector{run: r, rnd: rand.New(rand.NewPCG(uint64(r.scenario.Seed), 1))}
}

// injectAll injects each fault at its time, undoes it after its duration, and waits until all have ended.
func (s *faultInjector) injectAll(ctx context.Context, start time.Time) {
	var activeFaults sync.WaitGroup
	defer activeFaults.Wait()
	faults := slices.Clone(s.scenario.Faults)
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	for _, fault := range faults {
		if !sleepUntil(ctx, start.Add(fault.At)) {
			return
		}
		undo := s.inject(&fault)
		if undo == nil {
			continue
		}
		activeFaults.Go(func() {
			sleepUntil(ctx, start.Add(fault.At+fault.Duration))
			undo()
			s.logf("fault %s ended", fault.Type)
		})
	}
}

// sleepUntil sleeps until a time or until ctx is canceled, and reports whether it slept until the time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// inject injects a fault and returns the function that undoes it, nil for a fault that needs none.
func (s *faultInjector) inject(fault *scenario.Fault) (undo func()) {
	switch fault.Type {
	case "front-kill":
		return s.stopReplicas(fault, syscall.SIGKILL)
	case "front-stop":
		return s.stopReplicas(fault, syscall.SIGTERM)
	case "register-cut":
		s.logf("API server unreachable for %v", fault.Duration)
		s.api.SetUnreachable(true)
		return func() { s.api.SetUnreachable(false) }
	case "register-late":
		s.logf("events of the API server delayed by %v for %v", fault.EventDelay, fault.Duration)
		s.api.SetDelay(fault.EventDelay)
		return func() { s.api.SetDelay(0) }
	case "register-compact":
		s.logf("API server compacts its history")
		s.api.Compact()
		return nil
	case "planner-stop":
		return s.stopPlanners(fault)
	case "role-force":
		for _, server := range s.drawEngines(fault) {
			s.forceRole(server.Info().Name)
		}
		return nil
	}
	if undo := s.changeConditions(fault); undo != nil {
		return undo
	}
	return s.injectOnEngines(fault)
}

func (s *faultInjector) stopPlanners(fault *scenario.Fault) (undo func()) {
	if s.planners == nil {
		return nil
	}
	s.logf("planners stopped for %v", fault.Duration)
	s.planners.stop()
	return s.planners.start
}

// stopReplicas sends a signal to replicas that it draws from those that run; undo starts them again.
func (s *faultInjector) stopReplicas(fault *scenario.Fault, signal syscall.Signal) (undo func()) {
	var targets []*replica
	for _, i := range s.rnd.Perm(len(s.replicas.members)) {
		member := s.replicas.members[i]
		if member.isRunning() && len(targets) < max(fault.Count, 1) {
			targets = append(targets, member)
		}
	}
	var wg sync.WaitGroup
	for _, member := range targets {
		s.logf("fault %s on replica %s", fault.Type, member.name)
		wg.Go(func() { s.replicas.stop(member, signal) })
	}
	return func() {
		wg.Wait()
		for _, member := range targets {
			if err := s.replicas.start(member); err != nil {
				s.logf("replica %s not restarted: %v", member.name, err)
			}
		}
	}
}

// clientConditions guards the present conditions of the clients, which faults change.
type clientConditions struct {
	mu      sync.Mutex
	current scenario.Conditions
}

// snapshot returns a copy of the present conditions.
func (c *clientConditions) snapshot() *scenario.Conditions {
	c.mu.Lock()
	defer c.mu.Unlock()
	conditions := c.current
	return &conditions
}

// changeConditions applies a fault to the clients' conditions and returns the function that undoes it, nil for a fault
// that does not concern clients.
func (s *faultInjector) changeConditions(fault *scenario.Fault) func() {
	c := &s.conditions
	c.mu.Lock()
	defer c.mu.Unlock()
	undo := c.current.Apply(fault)
	if undo == nil {
		return nil
	}
	s.logf("fault %s on clients for %v", fault.Type, fault.Duration)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		undo(&c.current)
	}
}

// drawEngines draws the engines that a fault affects. It leaves out engines that have a fault in force, so that the
// fleet doesn't lose more capacity than the scenario says.
func (s *faultInjector) drawEngines(fault *scenario.Fault) []*engine.Server {
	return scenario.DrawTargets(fault, s.rnd, s.engines.healthy(fault.EngineKind))
}
