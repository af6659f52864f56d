package overload

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
)

func parse(t *testing.T, faults string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("day.xml", []byte(`<day length="30s" rate="90/s" fronts="8" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="4s"
    overload-factor="4" tip-after="2s" writers-read="true" cancel="true" client-retries="1"/>
  <engines kind="prefill" role="reader" count="4" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="8" slots="48" queue="24" memory="180000tokens" read-rate="7000/s"
    step="20ms" step-per-stream="200us" fetch-rate="250000/s"/>
  <class name="enquiry" effect="safe" share="0.7" aim="1s" deadline="5s" late-worth="0.3" prompt="300tokens"
    beginning="2000tokens" beginning-share="0.8" answer="60tokens"/>
  <class name="order" effect="unsafe" share="0.3" aim="2s" deadline="8s" worth="2" late-worth="0.3"
    prompt="1200tokens" answer="40tokens"/>
  `+faults+"</day>"))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func plan(sc *scenario.Scenario, loads ...float64) Plan {
	return Plan{
		Scenario: sc, Loads: loads, Before: 5 * time.Second, For: 8 * time.Second, After: 10 * time.Second,
		Runs: 2, Parallel: 2,
	}
}

// After every load, alone and with a restart of half the prefill endpoints, service recovers within a time at any
// number of replicas, and goodput does not collapse during the overload.
func TestServiceRecovers(t *testing.T) {
	for _, faults := range []string{"", `<happen at="7s" what="crash" kind="prefill" count="2" for="2s"/>`} {
		for _, replicas := range []int{2, 24} {
			t.Run(fmt.Sprintf("%d replicas, crash %v", replicas, faults != ""), func(t *testing.T) {
				sc := parse(t, faults)
				sc.Replicas = replicas
				points, err := Run(plan(sc, 1, 3, 12))
				if err != nil {
					t.Fatal(err)
				}
				for _, p := range points {
					t.Logf("%+v", p)
					if p.NotRecovered > 0 || p.RecoverySeconds > 8 {
						t.Errorf("%g times: recovered after %.1f s, %d never", p.Load, p.RecoverySeconds, p.NotRecovered)
					}
					if faults == "" && p.Goodput < 0.6*points[0].Goodput {
						t.Errorf("%g times: goodput %.0f of %.0f", p.Load, p.Goodput, points[0].Goodput)
					}
				}
			})
		}
	}
}

// Without the clients' retries there are fewer attempts and no less goodput.
func TestCutRetriesKeepGoodput(t *testing.T) {
	p := plan(parse(t, ""), 6)
	p.FeedbackLoops = FeedbackLoops[:2]
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	uncut, cut := points[0], points[1]
	if cut.Tries != 1 || uncut.Tries < 1.2 || cut.Goodput < 0.9*uncut.Goodput {
		t.Errorf("as it is %+v, without retries %+v", uncut, cut)
	}
	var b strings.Builder
	if err := Write(&b, points); err != nil || strings.Count(b.String(), "\n") != 3 {
		t.Errorf("%v %q", err, b.String())
	}
}

// Where the overload goes on, service does not recover and the point says so.
func TestMissingRecoveryIsReported(t *testing.T) {
	p := plan(parse(t, `<happen at="12s" what="crash" kind="prefill" count="4" for="11s"/>`), 2)
	p.Make = func(uint64) fleet.Options { return fleet.Options{} }
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	if points[0].NotRecovered != 2 || points[0].RecoverySeconds < 6 {
		t.Errorf("%+v", points[0])
	}
}

func TestRunRejectsIncompletePlans(t *testing.T) {
	p := plan(parse(t, ""))
	if _, err := Run(p); !errors.Is(err, ErrPlan) {
		t.Errorf("without a load: %v", err)
	}
	p = plan(parse(t, ""), 1)
	p.For = time.Second
	if _, err := Run(p); !errors.Is(err, ErrPlan) {
		t.Errorf("an overload of a second: %v", err)
	}
}
