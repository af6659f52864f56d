package scenariorun

import (
	"cmp"
	"time"

	"brackenbend/internal/fake/engine"
	"brackenbend/internal/simulation/scenario"
)

// defaultSlowFactor is how many times slower the fault "slow" makes engines where it states no factor.
const defaultSlowFactor = 4

// engineFaultSettings holds the faults that are settings of a fake engine, by their names in scenarios.
var engineFaultSettings = map[string]func(*scenario.Fault) engine.Faults{
	"fail-fast":  func(f *scenario.Fault) engine.Faults { return engine.Faults{FailFast: fraction(f)} },
	"fail-class": func(f *scenario.Fault) engine.Faults { return engine.Faults{FailClass: f.Class} },
	"stall":      func(*scenario.Fault) engine.Faults { return engine.Faults{Stall: true} },
	"slow": func(f *scenario.Fault) engine.Faults {
		return engine.Faults{SlowFactor: cmp.Or(f.Factor, defaultSlowFactor)}
	},
	"reset-mid-stream":    func(f *scenario.Fault) engine.Faults { return engine.Faults{ResetMidStream: fraction(f)} },
	"reset-after-request": func(f *scenario.Fault) engine.Faults { return engine.Faults{ResetAfterRequest: fraction(f)} },
	"reset-after-effect":  func(f *scenario.Fault) engine.Faults { return engine.Faults{ResetAfterEffect: fraction(f)} },
	"fail-after-effect":   func(f *scenario.Fault) engine.Faults { return engine.Faults{FailAfterEffect: fraction(f)} },
	"stall-after-effect":  func(f *scenario.Fault) engine.Faults { return engine.Faults{StallAfterEffect: fraction(f)} },
	"reports-frozen":      func(*scenario.Fault) engine.Faults { return engine.Faults{FrozenReports: true} },
	"reports-none":        func(*scenario.Fault) engine.Faults { return engine.Faults{NoReports: true} },
}

// fraction returns the fraction of requests that a fault affects: all where it states none.
func fraction(fault *scenario.Fault) float64 { return cmp.Or(fault.Fraction, 1) }

// injectOnEngines draws the engines that a fault affects, injects the fault into them and returns the function that
// undoes it.
func (s *faultInjector) injectOnEngines(fault *scenario.Fault) (undo func()) {
	targets := s.drawEngines(fault)
	var names []string
	for _, server := range targets {
		names = append(names, server.Info().Name)
		s.engines.addActiveFaults(server, 1)
	}
	s.logf("fault %s for %v on engines %v", fault.Type, fault.Duration, names)
	var undoFuncs []func()
	for _, server := range targets {
		if undo := s.injectOnEngine(fault, server); undo != nil {
			undoFuncs = append(undoFuncs, undo)
		}
	}
	return func() {
		for _, undo := range undoFuncs {
			undo()
		}
		for _, server := range targets {
			s.engines.addActiveFaults(server, -1)
		}
	}
}

// injectOnEngine injects a fault into one engine and returns the function that undoes it, nil for a fault that needs
// none.
func (s *faultInjector) injectOnEngine(fault *scenario.Fault, server *engine.Server) (undo func()) {
	if settings, ok := engineFaultSettings[fault.Type]; ok {
		server.SetFaults(settings(fault))
		return func() { server.SetFaults(engine.Faults{}) }
	}
	switch fault.Type {
	case "crash":
		server.Crash()
		return func() {
			if err := server.Restart(); err != nil {
				s.logf("engine %s not restarted: %v", server.Info().Name, err)
			}
		}
	case "liar":
		server.MisreportRole(true)
		return func() { server.MisreportRole(false) }
	case "forget":
		server.ClearPrefixCache()
	case "silent-restart":
		server.SilentRestart()
	case "refuse-connects":
		server.RefuseConnections(fault.Duration)
	case "drain":
		s.engines.setDraining(server, true)
		return func() { s.engines.setDraining(server, false) }
	case "remove":
		s.engines.setUnlisted(server, true)
		return func() { s.engines.setUnlisted(server, false) }
	case "register-stale":
		s.engines.setUnlisted(server, true)
		s.api.SendStaleEvent(server.Info().Name)
		return func() { s.engines.setUnlisted(server, false) }
	case "register-flap":
		return s.engines.flap(server)
	}
	return nil
}

// flap removes an engine from the endpoint list and adds it again, every scenario.FlapInterval in turn, until undone.
func (f *engineFleet) flap(server *engine.Server) (undo func()) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for unlisted := true; ; unlisted = !unlisted {
			f.setUnlisted(server, unlisted)
			select {
			case <-stop:
				f.setUnlisted(server, false)
				return
			case <-time.After(scenario.FlapInterval):
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}
