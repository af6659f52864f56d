package scenariorun

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"brackenbend/internal/fake/engine"
	"brackenbend/internal/simulation/scenario"
)

// script carries out what happens, each in its time, and waits for all of it to be over.
func (r *run) script(ctx context.Context, began time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	hs := slices.Clone(r.d.Faults)
	slices.SortStableFunc(hs, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	for _, h := range hs {
		if !sleepUntil(ctx, began.Add(h.At)) {
			return
		}
		undo := r.begin(&h)
		if undo == nil {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			sleepUntil(ctx, began.Add(h.At+h.For))
			undo()
			r.logf("over: %s", h.What)
		}()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// pick draws engines for a happening; those that a draw of an earlier one still holds are left out, so that
// the fleet does not lose more than the script says.
func (r *run) pick(h *scenario.Fault) []*engine.Server {
	var all []*engine.Server
	for _, s := range r.engines {
		r.mu.Lock()
		free := r.faulty[s] == 0 && !r.draining[s.Info().Name]
		r.mu.Unlock()
		if (h.Kind == "" || r.kindOf[s] == h.Kind) && s.Info().Up && free {
			all = append(all, s)
		}
	}
	return scenario.Draw(h, r.rnd, all)
}

// begin starts a happening and returns what ends it, nil when it needs no end.
func (r *run) begin(h *scenario.Fault) (undo func()) {
	switch h.What {
	case "front-kill":
		return r.frontsDown(h, syscall.SIGKILL)
	case "front-stop":
		return r.frontsDown(h, syscall.SIGTERM)
	case "register-cut":
		r.logf("register cut off for %v", h.For)
		r.reg.SetUnreachable(true)
		return func() { r.reg.SetUnreachable(false) }
	case "register-late":
		r.logf("register late by %v for %v", h.Late, h.For)
		r.reg.SetDelay(h.Late)
		return func() { r.reg.SetDelay(0) }
	case "register-compact":
		r.logf("register forgets its history")
		r.reg.Compact()
		return nil
	case "planner-stop":
		if r.planners == nil {
			return nil
		}
		r.logf("planners stop for %v", h.For)
		r.planners.stop()
		return r.planners.start
	case "role-force":
		for _, s := range r.pick(h) {
			r.force(s.Info().Name)
		}
		return nil
	}
	if undo := r.change(h); undo != nil {
		return undo
	}
	picked := r.pick(h)
	var names []string
	for _, s := range picked {
		names = append(names, s.Info().Name)
		r.mark(s, 1)
	}
	r.logf("%s for %v: %v", h.What, h.For, names)
	var undos []func()
	for _, s := range picked {
		if u := r.engineFault(h, s); u != nil {
			undos = append(undos, u)
		}
	}
	return func() {
		for _, u := range undos {
			u()
		}
		for _, s := range picked {
			r.mark(s, -1)
		}
	}
}

func (r *run) mark(s *engine.Server, n int) {
	r.mu.Lock()
	r.faulty[s] += n
	r.mu.Unlock()
}

func (r *run) engineFault(h *scenario.Fault, s *engine.Server) func() {
	name := s.Info().Name
	set := func(f engine.Faults) func() {
		s.SetFaults(f)
		return func() { s.SetFaults(engine.Faults{}) }
	}
	switch h.What {
	case "crash":
		s.Crash()
		return func() {
			if err := s.Restart(); err != nil {
				r.logf("%s does not come back: %v", name, err)
			}
		}
	case "fail-fast":
		return set(engine.Faults{FailFast: cmp.Or(h.Part, 1)})
	case "fail-class":
		return set(engine.Faults{FailClass: h.Class})
	case "stall":
		return set(engine.Faults{Stall: true})
	case "slow":
		return set(engine.Faults{Slow: cmp.Or(h.Factor, 4)})
	case "reset-mid-stream":
		return set(engine.Faults{ResetMidStream: cmp.Or(h.Part, 1)})
	case "reset-after-request":
		return set(engine.Faults{ResetAfterRequest: cmp.Or(h.Part, 1)})
	case "reset-after-effect":
		return set(engine.Faults{ResetAfterEffect: cmp.Or(h.Part, 1)})
	case "fail-after-effect":
		return set(engine.Faults{FailAfterEffect: cmp.Or(h.Part, 1)})
	case "stall-after-effect":
		return set(engine.Faults{StallAfterEffect: cmp.Or(h.Part, 1)})
	case "reports-frozen":
		return set(engine.Faults{FrozenReports: true})
	case "reports-none":
		return set(engine.Faults{NoReports: true})
	case "liar":
		s.MisreportRole(true)
		return func() { s.MisreportRole(false) }
	case "forget":
		s.DropPrefixCache()
	case "silent-restart":
		s.SilentRestart()
	case "refuse-connects":
		s.RefuseConnects(h.For)
	case "drain":
		return r.listing(s, func() { r.draining[name] = true }, func() { delete(r.draining, name) })
	case "remove":
		return r.listing(s, func() { r.listed[name] = false }, func() { r.listed[name] = true })
	case "register-stale":
		undo := r.listing(s, func() { r.listed[name] = false }, func() { r.listed[name] = true })
		r.reg.SendStaleEvent(name)
		return undo
	case "register-flap":
		return r.flap(h, s)
	}
	return nil
}

// listing changes what the register says of an engine, and back.
func (r *run) listing(s *engine.Server, do, undo func()) func() {
	change := func(f func()) {
		r.mu.Lock()
		f()
		r.mu.Unlock()
		r.listEngine(s)
	}
	change(do)
	return func() { change(undo) }
}

// flap lets the register take an engine off and on again every scenario.FlapEvery.
func (r *run) flap(h *scenario.Fault, s *engine.Server) func() {
	stop, done := make(chan struct{}), make(chan struct{})
	name := s.Info().Name
	go func() {
		defer close(done)
		for on := false; ; on = !on {
			r.listing(s, func() { r.listed[name] = on }, func() {})
			select {
			case <-stop:
				r.listing(s, func() { r.listed[name] = true }, func() {})
				return
			case <-time.After(scenario.FlapInterval):
			}
		}
	}()
	return func() { close(stop); <-done }
}

func (r *run) frontsDown(h *scenario.Fault, sig syscall.Signal) func() {
	var down []*process
	for _, i := range r.rnd.Perm(len(r.fronts)) {
		p := r.fronts[i]
		p.mu.Lock()
		up := p.cmd != nil
		p.mu.Unlock()
		if up && len(down) < max(h.Count, 1) {
			down = append(down, p)
		}
	}
	var wg sync.WaitGroup
	for _, p := range down {
		r.logf("%s %s", h.What, p.name)
		wg.Add(1)
		go func() { defer wg.Done(); r.end(p, sig) }()
	}
	return func() {
		wg.Wait()
		for _, p := range down {
			if err := r.launch(p); err != nil {
				r.logf("%s does not start: %v", p.name, err)
			}
		}
	}
}

// change changes what clients do; nil where the happening is another's.
func (r *run) change(h *scenario.Fault) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	undo := r.mood.Change(h)
	if undo == nil {
		return nil
	}
	r.logf("%s for %v", h.What, h.For)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		undo(&r.mood)
	}
}
