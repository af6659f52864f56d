package faultsearch

import (
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

func day(t *testing.T) *scenario.Scenario {
	t.Helper()
	d, err := scenario.Parse("house.xml", []byte(`<day length="12s" rate="30/s" fronts="2" seed="3">
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
	return d
}

// forgetful decides as the module does, and lets go of nothing for a request of which an engine turned an attempt away,
// failed it or broke off.
type forgetful struct {
	fleet.Decider
	met map[routing.RequestID]bool
}

func (f *forgetful) Step(now time.Duration, events []routing.Event) (out []routing.Action) {
	for _, ev := range events {
		if o, ok := ev.(routing.Outcome); ok && o.Result != routing.Served && o.Result != routing.PrefillDone && o.Result != routing.Canceled {
			f.met[o.Request] = true
		}
	}
	for _, a := range f.Decider.Step(now, events) {
		if r, lets := a.(routing.ReleaseState); !lets || !f.met[r.Request] {
			out = append(out, a)
		}
	}
	return out
}

func newForgetful(r fleet.Decider) fleet.Decider {
	return &forgetful{r, map[routing.RequestID]bool{}}
}

func subject(wrap func(fleet.Decider) fleet.Decider) func(uint64) fleet.Options {
	return func(seed uint64) fleet.Options {
		return fleet.Options{Seed: seed, Decider: func(s routing.Config, seed uint64) (fleet.Decider, error) {
			r, err := routing.New(s, seed)
			return wrap(r), err
		}}
	}
}

// TestAFaultThatNeedsATroubleIsFoundAndCutDown: a front that is wrong only where an engine failed it.
func TestAFaultThatNeedsATroubleIsFoundAndCutDown(t *testing.T) {
	d := day(t)
	f, err := Run(Search{Scenario: d, Subject: subject(newForgetful), MaxFaults: 4, Rounds: 6, Draws: 12, Seed: 1, Parallel: 4})
	if err != nil {
		t.Fatal(err)
	}
	if f.Violations == 0 || len(f.Faults) > 2 {
		t.Errorf("%d breaches by %+v", f.Violations, f.Faults)
	}
	found, text, err := d.WithFaults(f.Faults, "found by a hunt -- after all")
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if strings.Contains(string(text), `count="3" for="9s"`) || strings.Contains(string(text), "<expect") || len(found.Faults) != len(f.Faults) {
		t.Errorf("the day's own happenings are still there:\n%s", text)
	}
	again, err := fleet.Run(found, fleet.Options{Seed: 1, Audit: true, Decider: subject(newForgetful)(1).Decider})
	if err != nil || len(again.Rules[4].Violations) == 0 {
		t.Errorf("the day that was written breaks nothing: %v", err)
	}
}

// TestWhatIsLostGrowsByHunting, and the module breaks no rule on the way.
func TestWhatIsLostGrowsByHunting(t *testing.T) {
	var first, last float64
	f, err := Run(Search{
		Scenario: day(t), Subject: subject(func(r fleet.Decider) fleet.Decider { return r }), MaxFaults: 3, Rounds: 5, Draws: 8, Seed: 2, Parallel: 4,
		OnRound: func(round int, best Result) {
			if last = best.Lost(); round == 0 {
				first = last
			}
		},
	})
	if err != nil || f.Violations > 0 {
		t.Fatalf("%v %+v", err, f)
	}
	if last < first || last < 0.05 || f.Lost() < stillBad*last {
		t.Errorf("lost %.3f in the first round, %.3f in the last, %.3f after cutting down", first, last, f.Lost())
	}
	if _, err := Run(Search{Scenario: day(t)}); err == nil {
		t.Error("a hunt of no rounds was run")
	}
}
