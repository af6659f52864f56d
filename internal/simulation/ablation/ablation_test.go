package ablation

import (
	"errors"
	"strings"
	"testing"

	"brackenbend/internal/simulation/scenario"
)

// In a scenario without faults, near the fleet's capacity and with shared prefixes, replicas lose service mostly
// because they don't know one another's load on prefill endpoints.
func TestRunAttributesLossToPrefillLoad(t *testing.T) {
	sc, err := scenario.Parse("normal.xml", []byte(`<day length="8s" rate="150/s" fronts="2" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="4s"
    overload-factor="4" tip-after="2s" writers-read="true" cancel="true" client-retries="1"/>
  <engines kind="prefill" role="reader" count="5" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="12" slots="48" queue="24" memory="180000tokens" read-rate="7000/s"
    step="20ms" step-per-stream="200us" fetch-rate="250000/s"/>
  <class name="enquiry" effect="safe" share="1" aim="250ms" deadline="5s" late-worth="0.3" prompt="300tokens"
    beginning="2000tokens" beginning-share="0.8" answer="60tokens"/></day>`))
	if err != nil {
		t.Fatal(err)
	}
	results, err := Run(Plan{Scenario: sc, Replicas: []int{2, 24}, Runs: 3, Parallel: 2, Level: 0.9})
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	if err := Write(&b, results); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + b.String())
	many := results[1]
	prefillGain := many.Alone["crowded readers"].Mean
	for name, g := range many.Alone {
		if name != "crowded readers" && g.Mean > prefillGain/2 {
			t.Errorf("%s gains %v, crowded readers gain %.3f", name, g, prefillGain)
		}
	}
	if prefillGain < 0.004 || many.Alone["cold budgets"].Mean != 0 || many.Alone["sparse evidence of harm"].Mean != 0 {
		t.Errorf("%+v", many)
	}
	if many.AllOracles < many.NoOracles || results[0].Replicas != 2 ||
		!strings.Contains(b.String(), "only crowded readers") {
		t.Errorf("%+v", results)
	}
}

func TestRunRejectsIncompletePlans(t *testing.T) {
	sc, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	plans := []Plan{
		{Scenario: sc, Runs: 2, Replicas: []int{3}, Level: 0.9},
		{Scenario: sc, Runs: 3, Level: 0.9},
		{Scenario: sc, Runs: 3, Replicas: []int{3}},
	}
	for _, p := range plans {
		if _, err := Run(p); !errors.Is(err, ErrPlan) {
			t.Errorf("%+v: %v", p, err)
		}
	}
}
