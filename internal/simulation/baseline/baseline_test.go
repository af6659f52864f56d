package baseline_test

import (
	"testing"

	"brackenbend/internal/simulation/baseline"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// TestBaselinesKeepWhatAFrontAloneCan: on the bad day they answer once and in time, run nothing twice, keep drains and let
// go of states; of cold engines they know nothing.
func TestBaselinesKeepWhatAFrontAloneCan(t *testing.T) {
	d, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	for _, way := range baseline.Policies {
		r, err := fleet.Run(d, fleet.Options{Seed: 2, Audit: true, Decider: func(s routing.Config, seed uint64) (fleet.Decider, error) {
			return baseline.New(way, s, seed)
		}})
		if err != nil {
			t.Fatal(err)
		}
		for i, v := range r.Rules {
			if i != 3 && (v.Checks == 0 || len(v.Violations) > 0) {
				t.Errorf("%s: %s: %d checks, %.300v", way, v.Rule, v.Checks, v.Violations)
			}
		}
		if s := r.Score.Service(); s < 0.5 {
			t.Errorf("%s: service %.3f", way, s)
		}
	}
	if _, err := baseline.New("guess", routing.Config{}, 1); err == nil {
		t.Error("an unknown way was taken")
	}
}
