package faultsearch

import (
	"errors"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

func testScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("test.xml", []byte(`<day length="12s" rate="30/s" fronts="2" seed="3">
  <service max-attempts="3" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="1s"
    overload-factor="4" tip-after="2s" cancel="true"/>
  <engines kind="r" role="reader" count="3" slots="4" queue="8" memory="100000tokens" read-rate="20000/s"/>
  <engines kind="w" role="writer" count="3" slots="16" queue="8" memory="100000tokens" read-rate="5000/s"
    step="10ms" fetch-rate="250000/s"/>
  <class name="c" effect="safe" share="1" aim="500ms" deadline="3s" prompt="200tokens" answer="20tokens"/>
  <happen at="1s" what="crash" kind="r" count="3" for="9s"/>
  <expect service="0.9"/></day>`))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// leakingDecider decides as the router does, except that it never releases the read state of a request after one of its
// attempts has failed.
type leakingDecider struct {
	fleet.Decider
	failed map[routing.RequestID]bool
}

func isFailure(r routing.Result) bool {
	return r != routing.Served && r != routing.PrefillDone && r != routing.Canceled
}

func (l *leakingDecider) Step(now time.Duration, events []routing.Event) (actions []routing.Action) {
	for _, ev := range events {
		if outcome, ok := ev.(routing.Outcome); ok && isFailure(outcome.Result) {
			l.failed[outcome.Request] = true
		}
	}
	for _, action := range l.Decider.Step(now, events) {
		if release, ok := action.(routing.ReleaseState); !ok || !l.failed[release.Request] {
			actions = append(actions, action)
		}
	}
	return actions
}

func newLeakingDecider(d fleet.Decider) fleet.Decider {
	return &leakingDecider{d, map[routing.RequestID]bool{}}
}

func newOptions(wrap func(fleet.Decider) fleet.Decider) func(uint64) fleet.Options {
	return func(seed uint64) fleet.Options {
		return fleet.Options{Seed: seed, Decider: func(s routing.Config, seed uint64) (fleet.Decider, error) {
			r, err := routing.New(s, seed)
			return wrap(r), err
		}}
	}
}

// A search finds a decider's violation of a rule that only occurs after failed attempts, and reduces the list of faults
// to at most two.
func TestRunFindsAndReducesViolation(t *testing.T) {
	sc := testScenario(t)
	result, err := Run(Search{
		Scenario: sc, SubjectOptions: newOptions(newLeakingDecider),
		MaxFaults: 4, Rounds: 6, ListsPerRound: 12, Seed: 1, Parallel: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	if result.Violations == 0 || len(result.Faults) > 2 {
		t.Errorf("%d violations by %+v", result.Violations, result.Faults)
	}
	found, text, err := sc.WithFaults(result.Faults, "found by a search -- after all")
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if strings.Contains(string(text), `count="3" for="9s"`) || strings.Contains(string(text), "<expect") ||
		len(found.Faults) != len(result.Faults) {
		t.Errorf("the scenario's own faults are still there:\n%s", text)
	}
	again, err := fleet.Run(found, fleet.Options{Seed: 1, Audit: true, Decider: newOptions(newLeakingDecider)(1).Decider})
	if err != nil || len(again.Rules[4].Violations) == 0 {
		t.Errorf("no violation in a run of the written scenario: %v", err)
	}
}

// The loss does not shrink over the rounds and is mostly kept by the reduction. The router violates no rule.
func TestRunFindsLossAndKeepsItInReduction(t *testing.T) {
	var firstLoss, lastLoss float64
	result, err := Run(Search{
		Scenario: testScenario(t), SubjectOptions: newOptions(func(r fleet.Decider) fleet.Decider { return r }),
		MaxFaults: 3, Rounds: 5, ListsPerRound: 8, Seed: 2, Parallel: 4,
		OnRound: func(round int, best Result) {
			if lastLoss = best.Loss(); round == 0 {
				firstLoss = lastLoss
			}
		},
	})
	if err != nil || result.Violations > 0 {
		t.Fatalf("%v %+v", err, result)
	}
	if lastLoss < firstLoss || lastLoss < 0.05 || result.Loss() < minKeptLoss*lastLoss {
		t.Errorf("lost %.3f in the first round, %.3f in the last, %.3f after reduction", firstLoss, lastLoss, result.Loss())
	}
}

func TestRunRejectsEmptySearch(t *testing.T) {
	if _, err := Run(Search{Scenario: testScenario(t)}); !errors.Is(err, ErrNothingToSearch) {
		t.Errorf("search without faults, rounds and draws: %v", err)
	}
}
