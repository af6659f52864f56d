package baseline_test

import (
	"errors"
	"testing"

	"brackenbend/internal/simulation/baseline"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// slowStartRule is the index of the only rule that baselines may violate, since they ignore slow start.
const slowStartRule = 3

// In the default scenario baselines violate no rule but that of slow start, and their service is at least 0.5.
func TestBaselinesKeepRules(t *testing.T) {
	sc, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	for _, policy := range baseline.Policies {
		t.Run(string(policy), func(t *testing.T) {
			newDecider := func(c routing.Config, seed uint64) (fleet.Decider, error) { return baseline.New(policy, c, seed) }
			r, err := fleet.Run(sc, fleet.Options{Seed: 2, Audit: true, Decider: newDecider})
			if err != nil {
				t.Fatal(err)
			}
			for i, v := range r.Rules {
				if i != slowStartRule && (v.Checks == 0 || len(v.Violations) > 0) {
					t.Errorf("%s: %d checks, %.300v", v.Rule, v.Checks, v.Violations)
				}
			}
			if s := r.Score.Service(); s < 0.5 {
				t.Errorf("service %.3f", s)
			}
		})
	}
}

func TestNewRejectsUnknownPolicy(t *testing.T) {
	_, err := baseline.New("guess", routing.Config{}, 1)
	var unknown *baseline.PolicyError
	if !errors.As(err, &unknown) || unknown.Policy != "guess" {
		t.Errorf("policy guess: %v", err)
	}
}
