package roles

import (
	"fmt"
	"testing"
	"time"
)

// simulatedFleet is a small fleet that carries out plans, with totals that grow by the work asked for.
type simulatedFleet struct {
	now     time.Duration
	engines []Engine
	endsAt  map[string]time.Duration // of each engine's change
	totals  map[string]*Report
}

func newSimulatedFleet(readers, writers int) *simulatedFleet {
	f := &simulatedFleet{now: time.Hour, endsAt: map[string]time.Duration{}, totals: map[string]*Report{}}
	for i := range readers + writers {
		e := Engine{ID: fmt.Sprintf("e%03d", i), Ready: true, CanPrefill: true, CanDecode: true, Cell: i % 3}
		if i >= readers {
			e.Role, e.Target = Decode, Decode
		}
		f.engines = append(f.engines, e)
		f.totals[e.ID] = &Report{}
	}
	return f
}

// count is the number of engines that are ready in a role and not changing.
func (f *simulatedFleet) count(role Role) (n int) {
	for _, e := range f.engines {
		if e.Ready && e.Role == role && e.Target == role {
			n++
		}
	}
	return n
}

// run lets a second pass under the given work, in engines.
func (f *simulatedFleet) run(prefillWork, decodeWork float64) {
	f.now += time.Second
	addWork := func(totals *Stage, work float64, engines int) {
		utilization := work / float64(max(engines, 1))
		totals.Done += min(utilization, 1)
		totals.Lost += max(utilization-1, 0)
	}
	for i := range f.engines {
		e := &f.engines[i]
		totals := f.totals[e.ID]
		totals.At = f.now
		if !e.Ready || e.Target != e.Role {
			continue
		}
		if e.Role.Prefills() {
			addWork(&totals.Read, prefillWork, f.count(Prefill)+f.count(Both))
		}
		if e.Role.Decodes() {
			addWork(&totals.Write, decodeWork, f.count(Decode)+f.count(Both))
		}
	}
	for i := range f.engines {
		e := &f.engines[i]
		if e.Target != e.Role && f.now >= f.endsAt[e.ID] {
			e.Role, e.ChangedAt = e.Target, f.now
		}
		report := *f.totals[e.ID]
		e.Report = &report
	}
}

func (f *simulatedFleet) engine(id string) *Engine {
	for i := range f.engines {
		if f.engines[i].ID == id {
			return &f.engines[i]
		}
	}
	return nil
}

// apply carries out a plan; its changes end after changeTime.
func (f *simulatedFleet) apply(plan Plan, changeTime time.Duration) {
	for _, id := range plan.Reverts {
		e := f.engine(id)
		e.Target, e.ChangedAt = e.Role, f.now
	}
	for _, change := range plan.Changes {
		f.engine(change.ID).Target = change.Target
		f.endsAt[change.ID] = f.now + changeTime
	}
}

// step plans for the fleet as it is, applies the plan and returns it.
func (f *simulatedFleet) step(p *Planner, changeTime time.Duration) Plan {
	plan := p.Step(f.now, f.engines, nil)
	f.apply(plan, changeTime)
	return plan
}

func newPlanner(t interface {
	Helper()
	Fatal(...any)
}, config Config,
) *Planner {
	t.Helper()
	p, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestStageTotalsNeedEnoughTrustedReports(t *testing.T) {
	for name, c := range map[string]struct {
		trusted, untrusted int
		demand             float64
		ok                 bool
	}{
		"no engines":      {0, 0, 0, false},
		"none trusted":    {0, 3, 0, false},
		"a third trusted": {1, 2, 1, false},
		"half trusted":    {2, 2, 4, true},
		"all trusted":     {3, 0, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			var totals stageTotals
			for range c.trusted {
				totals.add(1, true)
			}
			for range c.untrusted {
				totals.add(1, false)
			}
			if demand, ok := totals.scaled(); demand != c.demand || ok != c.ok {
				t.Errorf("demand %v, ok %v; want %v, %v", demand, ok, c.demand, c.ok)
			}
		})
	}
}
