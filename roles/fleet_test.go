package roles

import (
	"fmt"
	"testing"
	"time"
)

// simulatedFleet is a fleet that carries out plans. Its load reports grow by the work that advance is given.
type simulatedFleet struct {
	now     time.Duration
	engines []Engine
	endsAt  map[string]time.Duration // end of each engine's change
	totals  map[string]*Report
}

func newSimulatedFleet(prefillEngines, decodeEngines int) *simulatedFleet {
	f := &simulatedFleet{now: time.Hour, endsAt: map[string]time.Duration{}, totals: map[string]*Report{}}
	for i := range prefillEngines + decodeEngines {
		e := Engine{ID: fmt.Sprintf("e%03d", i), Ready: true, CanPrefill: true, CanDecode: true, Cell: i % 3}
		if i >= prefillEngines {
			e.Role, e.Target = Decode, Decode
		}
		f.engines = append(f.engines, e)
		f.totals[e.ID] = &Report{}
	}
	return f
}

// count returns the number of engines that are ready in a role and not changing.
func (f *simulatedFleet) count(role Role) (n int) {
	for _, e := range f.engines {
		if e.Ready && e.Role == role && e.Target == role {
			n++
		}
	}
	return n
}

// advance advances the fleet by one second under the given work, in engines.
func (f *simulatedFleet) advance(prefillWork, decodeWork float64) {
	f.now += time.Second
	addWork := func(totals *StageLoad, work float64, engines int) {
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
			addWork(&totals.Prefill, prefillWork, f.count(Prefill)+f.count(Both))
		}
		if e.Role.Decodes() {
			addWork(&totals.Decode, decodeWork, f.count(Decode)+f.count(Both))
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

// apply carries out a plan. Its changes end after changeTime.
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

// planAndApply plans for the present state of the fleet, applies the plan and returns it.
func (f *simulatedFleet) planAndApply(p *Planner, changeTime time.Duration) Plan {
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
