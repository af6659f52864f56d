package overload

import (
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
)

func day(t *testing.T, happens string) *scenario.Scenario {
	t.Helper()
	d, err := scenario.Parse("day.xml", []byte(`<day length="30s" rate="90/s" fronts="8" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="4s"
    overload-factor="4" tip-after="2s" writers-read="true" cancel="true" client-retries="1"/>
  <engines kind="prefill" role="reader" count="4" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="8" slots="48" queue="24" memory="180000tokens" read-rate="7000/s"
    step="20ms" step-per-stream="200us" fetch-rate="250000/s"/>
  <class name="enquiry" effect="safe" share="0.7" aim="1s" deadline="5s" late-worth="0.3" prompt="300tokens"
    beginning="2000tokens" beginning-share="0.8" answer="60tokens"/>
  <class name="order" effect="unsafe" share="0.3" aim="2s" deadline="8s" worth="2" late-worth="0.3"
    prompt="1200tokens" answer="40tokens"/>
  `+happens+"</day>"))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func plan(d *scenario.Scenario, loads ...float64) Plan {
	return Plan{Scenario: d, Loads: loads, Before: 5 * time.Second, For: 8 * time.Second, After: 10 * time.Second, Runs: 2, Parallel: 2}
}

// TestServiceComesBack: after every load, alone and with a restart of half the readers, service is back within a time, at
// any of the numbers of fronts, and goodput under overload does not fall away.
func TestServiceComesBack(t *testing.T) {
	for _, happens := range []string{"", `<happen at="7s" what="crash" kind="prefill" count="2" for="2s"/>`} {
		for _, fronts := range []int{2, 24} {
			d := day(t, happens)
			d.Replicas = fronts
			points, err := Run(plan(d, 1, 3, 12))
			if err != nil {
				t.Fatal(err)
			}
			for _, p := range points {
				t.Logf("%d fronts %+v", fronts, p)
				if p.NotRecovered > 0 || p.RecoverySeconds > 8 {
					t.Errorf("%d fronts, %g times: back after %.1f s, %d never", fronts, p.Load, p.RecoverySeconds, p.NotRecovered)
				}
				if happens == "" && p.Goodput < 0.6*points[0].Goodput {
					t.Errorf("%d fronts, %g times: goodput %.0f of %.0f", fronts, p.Load, p.Goodput, points[0].Goodput)
				}
			}
		}
	}
}

// TestRetriesFeedIt: cutting the clients' retries leaves fewer tries and no less goodput.
func TestRetriesFeedIt(t *testing.T) {
	p := plan(day(t, ""), 6)
	p.FeedbackLoops = FeedbackLoops[:2]
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	is, cut := points[0], points[1]
	if cut.Tries != 1 || is.Tries < 1.2 || cut.Goodput < 0.9*is.Goodput {
		t.Errorf("as it is %+v, without retries %+v", is, cut)
	}
	var b strings.Builder
	if err := Write(&b, points); err != nil || strings.Count(b.String(), "\n") != 3 {
		t.Errorf("%v %q", err, b.String())
	}
}

// TestNeverBackIsTold: where the day goes on overloaded, service does not come back and the point says so.
func TestNeverBackIsTold(t *testing.T) {
	p := plan(day(t, `<happen at="12s" what="crash" kind="prefill" count="4" for="11s"/>`), 2)
	p.Make = func(uint64) fleet.Options { return fleet.Options{} }
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	if points[0].NotRecovered != 2 || points[0].RecoverySeconds < 6 {
		t.Errorf("%+v", points[0])
	}
}

func TestPlanIsChecked(t *testing.T) {
	p := plan(day(t, ""))
	if _, err := Run(p); err == nil {
		t.Error("played without a load")
	}
	p = plan(day(t, ""), 1)
	p.For = time.Second
	if _, err := Run(p); err == nil {
		t.Error("played with an overload of a second")
	}
}
