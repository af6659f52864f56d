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

func testScenario(t *testing.T, faults string) *scenario.Scenario {
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

func testPlan(sc *scenario.Scenario, loads ...float64) Plan {
	return Plan{
		Scenario: sc, Loads: loads, Before: 5 * time.Second, Duration: 8 * time.Second, After: 10 * time.Second,
		Runs: 2, Parallel: 2,
	}
}

// With few and with many replicas, service recovers within 8 s after any overload, also when half of the prefill
// endpoints restart during it. Without a restart, goodput does not collapse during the overload.
func TestServiceRecoversAfterOverload(t *testing.T) {
	for _, faults := range []string{"", `<happen at="7s" what="crash" kind="prefill" count="2" for="2s"/>`} {
		for _, replicas := range []int{2, 24} {
			t.Run(fmt.Sprintf("%d replicas, crash %v", replicas, faults != ""), func(t *testing.T) {
				sc := testScenario(t, faults)
				sc.Replicas = replicas
				points, err := Run(testPlan(sc, 1, 3, 12))
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

// Without retries by clients there is one attempt per request, and goodput falls by a tenth at most.
func TestDisabledClientRetriesKeepGoodput(t *testing.T) {
	p := testPlan(testScenario(t, ""), 6)
	p.FeedbackLoops = FeedbackLoops[:2]
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	withRetries, withoutRetries := points[0], points[1]
	if withoutRetries.ClientAttempts != 1 || withRetries.ClientAttempts < 1.2 ||
		withoutRetries.Goodput < 0.9*withRetries.Goodput {
		t.Errorf("with client retries %+v, without %+v", withRetries, withoutRetries)
	}
	var b strings.Builder
	if err := Write(&b, points); err != nil || strings.Count(b.String(), "\n") != 3 {
		t.Errorf("%v %q", err, b.String())
	}
}

// While all prefill endpoints are down after the overload, service does not recover, and the point reports this.
func TestMissingRecoveryIsReported(t *testing.T) {
	p := testPlan(testScenario(t, `<happen at="12s" what="crash" kind="prefill" count="4" for="11s"/>`), 2)
	p.Options = func(uint64) fleet.Options { return fleet.Options{} }
	points, err := Run(p)
	if err != nil {
		t.Fatal(err)
	}
	if points[0].NotRecovered != 2 || points[0].RecoverySeconds < 6 {
		t.Errorf("%+v", points[0])
	}
}

func TestRunRejectsIncompletePlans(t *testing.T) {
	p := testPlan(testScenario(t, ""))
	if _, err := Run(p); !errors.Is(err, ErrPlan) {
		t.Errorf("plan without a load: %v", err)
	}
	p = testPlan(testScenario(t, ""), 1)
	p.Duration = time.Second
	if _, err := Run(p); !errors.Is(err, ErrPlan) {
		t.Errorf("plan with an overload of one second: %v", err)
	}
}
