package fleet

import (
	"errors"
	"testing"

	"brackenbend/internal/simulation/scenario"
)

// smallXML has 12 replicas and 11 engines. Its shared prefixes concentrate the load on some prefill endpoints.
const smallXML = `<day length="12s" rate="150/s" fronts="12" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="4s"
    overload-factor="4" tip-after="2s" writers-read="true" cancel="true" client-retries="1"/>
  <engines kind="prefill" role="reader" count="5" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="6" slots="48" queue="24" memory="180000tokens" read-rate="7000/s"
    step="20ms" step-per-stream="200us" fetch-rate="250000/s"/>
  <class name="enquiry" effect="safe" share="0.7" aim="400ms" deadline="5s" late-worth="0.3" prompt="300tokens"
    beginning="2000tokens" beginning-share="0.8" answer="60tokens"/>
  <class name="order" effect="unsafe" share="0.3" aim="800ms" deadline="8s" worth="2" late-worth="0.3"
    prompt="1200tokens" answer="40tokens"/>
  `

func smallScenario(t *testing.T, faults string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("small.xml", []byte(smallXML+faults+"</day>"))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

// Each oracle must raise the service in a scenario where its knowledge matters, and must not violate a rule.
func TestOraclesRaiseService(t *testing.T) {
	tests := []struct {
		name, faults string
		oracles      Oracles
		minGain      float64
	}{
		{"prefill load", "", Oracles{KnowPrefillLoad: true}, 0.02},
		{
			"decode load", `<happen at="2s" what="surge" factor="1.5" for="6s"/>`,
			Oracles{KnowPrefillLoad: true, KnowDecodeLoad: true},
			0.02,
		},
		{"health", `<happen at="2s" what="stall" kind="decode" count="2" for="8s"/>`, Oracles{KnowHealth: true}, 0.02},
		{
			"slow start", `<happen at="1s" what="crash" kind="prefill" count="3" for="2s"/>`,
			Oracles{KnowSlowStart: true},
			0.01,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			sc := smallScenario(t, tc.faults)
			serviceWithout, serviceWith := 0.0, 0.0 // means over three replications
			for seed := range 3 {
				sc.Seed++
				serviceWithout += runScenario(t, sc, Options{Seed: uint64(seed)}).Score.Service() / 3
				r := runScenario(t, sc, Options{Seed: uint64(seed), Audit: true, Oracles: tc.oracles})
				serviceWith += r.Score.Service() / 3
				for i, v := range r.Rules {
					if len(v.Violations) > 0 {
						t.Errorf("rule %d: %.300v", i+1, v.Violations)
					}
				}
			}
			t.Logf("service %.3f without the oracle, %.3f with it", serviceWithout, serviceWith)
			if serviceWith < serviceWithout+tc.minGain {
				t.Errorf("too small a gain: service %.3f without the oracle, %.3f with it", serviceWithout, serviceWith)
			}
		})
	}
}

// Oracles read the state of other actors, which would be a data race between shards.
func TestOraclesNeedOneShard(t *testing.T) {
	_, err := Run(smallScenario(t, ""), Options{Shards: 2, Oracles: Oracles{KnowPrefillLoad: true}})
	if !errors.Is(err, ErrOracleShards) {
		t.Fatalf("oracles with two shards: got error %v", err)
	}
}

// If a fault affects more than half of the engines of a kind, the health oracle must leave all of them listed as
// ready.
func TestHealthOracleNeedsEnoughHealthyEngines(t *testing.T) {
	sc := smallScenario(t, `<happen at="2s" what="slow" kind="decode" count="4" factor="3" for="6s"/>`)
	withOracle, withoutOracle := runScenario(t, sc, Options{Seed: 1, Oracles: Oracles{KnowHealth: true}}),
		runScenario(t, sc, Options{Seed: 1})
	if withOracle.Score.Service() != withoutOracle.Score.Service() || withOracle.Events != withoutOracle.Events {
		t.Errorf("the run changed: service %.4f with the oracle, %.4f without",
			withOracle.Score.Service(), withoutOracle.Score.Service())
	}
}
