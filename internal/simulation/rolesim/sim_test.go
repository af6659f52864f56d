package rolesim

import (
	"reflect"
	"testing"
	"time"

	"brackenbend/roles"
)

// The planner follows a shift of the mix: it closes at least a third of the gap between the best fixed split and a
// clairvoyant policy. In the other scenarios its service is lower than that of the best fixed split by lag at most. In
// all of them an engine that has changed its role keeps it for at least a minute.
func TestPlannerFollowsShift(t *testing.T) {
	for _, c := range []struct {
		scenario  Scenario
		gapClosed float64 // at least
		lag       float64 // accepted difference of service below the best fixed split
	}{
		{Shift(16), 1. / 3, 0},
		{Steady(16), 0, 0.001},
		{Swing(16, 4*time.Second), 0, 0.005},
		{Swing(16, 30*time.Second), 0, 0.005},
		{MassRestart(16), 0, 0},
	} {
		t.Run(c.scenario.Name, func(t *testing.T) {
			c.scenario.Seed = 3
			_, fixed := BestFixedSplit(c.scenario)
			planned := Run(c.scenario, &PlannerPolicy{PrefillEngines: c.scenario.Engines / 2})
			minService := fixed.Service() - c.lag
			if c.gapClosed > 0 {
				clairvoyant := Run(c.scenario, &ClairvoyantPolicy{})
				minService += c.gapClosed * (clairvoyant.Service() - fixed.Service())
			}
			if planned.Service() < minService {
				t.Errorf("service of the planner is %.4f, want at least %.4f", planned.Service(), minService)
			}
			if planned.MinDwell > 0 && planned.MinDwell < time.Minute {
				t.Errorf("an engine changed again after %v", planned.MinDwell)
			}
		})
	}
}

// Two runs with the same seed have the same result.
func TestRunIsDeterministic(t *testing.T) {
	s := MassRestart(8)
	s.Length = 2 * time.Minute
	s.Outages[0].At = time.Minute
	a, b := Run(s, &PlannerPolicy{PrefillEngines: 4}), Run(s, &PlannerPolicy{PrefillEngines: 4})
	if !reflect.DeepEqual(a, b) || a.Requests == 0 || a.Served == 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// Without decode engines no request is served, and with a demand above the capacity requests are lost.
func TestInsufficientCapacityLosesRequests(t *testing.T) {
	s := Steady(8)
	s.Length = 30 * time.Second
	s.Outages = []Outage{{At: 0, Duration: time.Hour, Role: roles.Decode, Fraction: 1}}
	if r := Run(s, FixedPolicy(4)); r.Served != 0 || r.Requests == 0 {
		t.Errorf("%d of %d were served without a decode engine", r.Served, r.Requests)
	}
	s.Outages = nil
	s.Demand = func(time.Duration) (float64, float64) { return 1.5, 0.2 }
	if r := Run(s, FixedPolicy(4)); r.Service() > 0.6 || r.LostPrefillWork == 0 {
		t.Errorf("service %.2f with three times what four prefill engines can do", r.Service())
	}
}
