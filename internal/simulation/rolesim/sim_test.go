package rolesim

import (
	"reflect"
	"testing"
	"time"

	"brackenbend/roles"
)

// TestShiftIsFollowed: on a mix that shifts the planner comes at least a third of the way from the best fixed split to
// one that sees the future; on a steady one it does as the fixed split does; on one that swings it is hardly worse.
func TestShiftIsFollowed(t *testing.T) {
	for _, c := range []struct {
		s    Scenario
		part float64 // of the distance from the best fixed split to the one that sees
		lag  float64 // service below the best fixed split that is borne
	}{
		{Shift(16), 1. / 3, 0},
		{Steady(16), 0, 0.001},
		{Swing(16, 4*time.Second), 0, 0.005},
		{Swing(16, 30*time.Second), 0, 0.005},
		{MassRestart(16), 0, 0},
	} {
		c.s.Seed = 3
		_, fixed := BestFixed(c.s)
		planned := Run(c.s, &Planned{Readers: c.s.Engines / 2})
		floor := fixed.Service() - c.lag
		if c.part > 0 {
			seeing := Run(c.s, &Clairvoyant{})
			floor += c.part * (seeing.Service() - fixed.Service())
		}
		if planned.Service() < floor {
			t.Errorf("%s: planned %.4f, at least %.4f is wanted", c.s.Name, planned.Service(), floor)
		}
		if planned.Shortest > 0 && planned.Shortest < time.Minute {
			t.Errorf("%s: an engine changed again after %v", c.s.Name, planned.Shortest)
		}
	}
}

// TestRunsAreTheSameEveryTime: one seed, one result.
func TestRunsAreTheSameEveryTime(t *testing.T) {
	s := MassRestart(8)
	s.Length = 2 * time.Minute
	s.Outages[0].At = time.Minute
	a, b := Run(s, &Planned{Readers: 4}), Run(s, &Planned{Readers: 4})
	if !reflect.DeepEqual(a, b) || a.Asked == 0 || a.Served == 0 {
		t.Errorf("%+v\n%+v", a, b)
	}
}

// TestDeadFleetServesNothing: the model itself can fail.
func TestDeadFleetServesNothing(t *testing.T) {
	s := Steady(8)
	s.Length = 30 * time.Second
	s.Outages = []Outage{{At: 0, For: time.Hour, Role: roles.Decode, Part: 1}}
	if r := Run(s, Fixed(4)); r.Served != 0 || r.Asked == 0 {
		t.Errorf("%d of %d were served without a writer", r.Served, r.Asked)
	}
	s.Outages = nil
	s.Asked = func(time.Duration) (float64, float64) { return 1.5, 0.2 }
	if r := Run(s, Fixed(4)); r.Service() > 0.6 || r.LostRead == 0 {
		t.Errorf("service %.2f with three times what four readers can do", r.Service())
	}
}
