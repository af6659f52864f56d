package forecast

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"brackenbend/internal/simulation/baseline"
	"brackenbend/internal/simulation/fleet"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// smallScenario returns a short scenario in which an engine crashes.
func smallScenario(t *testing.T, rate string) *scenario.Scenario {
	t.Helper()
	sc, err := scenario.Parse("x.xml", []byte(strings.Replace(`<day length="6s" rate="RATE" fronts="2" seed="3">
  <service max-attempts="3" release-within="500ms" drain-grace="500ms" cold-from="0.25" cold-for="1s"
    overload-factor="4" tip-after="2s" cancel="true"/>
  <engines kind="r" role="reader" count="2" slots="4" queue="8" memory="100000tokens" read-rate="20000/s"/>
  <engines kind="w" role="writer" count="3" slots="8" queue="8" memory="100000tokens" read-rate="5000/s" step="10ms"
    fetch-rate="250000/s"/>
  <class name="c" effect="unsafe" share="1" aim="500ms" deadline="3s" prompt="400tokens" answer="30tokens"/>
  <happen at="2s" what="crash" kind="w" for="1s"/></day>`, "RATE", rate, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return sc
}

func newSubject(name string, sc *scenario.Scenario, policy baseline.Policy) Subject {
	return Subject{Name: name, Scenario: sc, Options: func(seed uint64) fleet.Options {
		o := fleet.Options{Seed: seed}
		if policy != "" {
			o.Decider = func(s routing.Config, seed uint64) (fleet.Decider, error) { return baseline.New(policy, s, seed) }
		}
		return o
	}}
}

// Between a fleet and itself with other seeds, Compare finds a difference no more often than its level allows.
func TestCompareFleetWithItselfRarelyFindsDifference(t *testing.T) {
	sc := smallScenario(t, "60/s")
	foundDifferences, undecided := 0, 0
	const trials = 40
	for trial := range trials {
		a, b := newSubject("a", sc, ""), newSubject("a again", sc, "")
		shift := uint64(1000 * (trial + 1))
		a.Options = func(seed uint64) fleet.Options { return fleet.Options{Seed: seed + shift} }
		b.Options = func(seed uint64) fleet.Options { return fleet.Options{Seed: seed + shift + 500} }
		rule := StoppingRule{Level: 0.95, MinDifference: 0, BatchSize: 6, MaxReplications: 12, Parallel: 4}
		c, err := Compare(a, b, rule)
		if err != nil {
			t.Fatal(err)
		}
		switch c.Verdict {
		case FirstBetter, SecondBetter:
			foundDifferences++
		case NoDifference:
		case Undecided:
			undecided++
		}
	}
	if foundDifferences > 6 { // of 40 at 5%: more than 6 has a chance of 0.4%
		t.Errorf("a difference between a fleet and itself in %d of %d trials", foundDifferences, trials)
	}
	if foundDifferences+undecided == 0 {
		t.Error("no difference in every trial, with MinDifference 0: the interval is too narrow")
	}
	rule := StoppingRule{Level: 0.95, MinDifference: 0.001, BatchSize: 4, MaxReplications: 12, Parallel: 4}
	same, err := Compare(newSubject("a", sc, ""), newSubject("a", sc, ""), rule)
	if err != nil || same.Verdict != NoDifference || same.MeanDifference != 0 || same.InterimAnalyses != 1 {
		t.Errorf("with the same seeds: %+v %v", same, err)
	}
}

// When engines are near their capacity, the router is so much better than random choice that few replications suffice.
func TestCompareFindsClearDifferenceEarly(t *testing.T) {
	random := newSubject("random", smallScenario(t, "110/s"), baseline.Random)
	router := newSubject("routing", smallScenario(t, "110/s"), "")
	rule := StoppingRule{Level: 0.95, MinDifference: 0.005, BatchSize: 6, MaxReplications: 36, Parallel: 4}
	c, err := Compare(random, router, rule)
	if err != nil || c.Verdict != SecondBetter || c.Low <= 0.005 || len(c.Differences) >= 36 {
		t.Errorf("%+v %v", c, err)
	}
}

func TestCompareRejectsDifferentLengths(t *testing.T) {
	other := smallScenario(t, "60/s")
	other.Length *= 2
	a, b := newSubject("a", smallScenario(t, "60/s"), ""), newSubject("b", other, "")
	_, err := Compare(a, b, StoppingRule{Level: 0.95, BatchSize: 4, MaxReplications: 4})
	if !errors.Is(err, ErrScenariosDiffer) {
		t.Errorf("scenarios of different lengths: %v", err)
	}
}

// With few values from a skewed distribution, an interval at 95% covers the mean about as often.
func TestBootstrapIntervalCoversMeanAtItsLevel(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 5))
	covered := 0
	const trials = 600
	for range trials {
		v := make([]float64, 12)
		for i := range v {
			v[i] = rnd.ExpFloat64()
		}
		if low, high := Bootstrap(v, 0.95, 600); low <= 1 && high >= 1 {
			covered++
		}
	}
	if coverage := float64(covered) / trials; coverage < 0.91 || coverage > 0.985 {
		t.Errorf("interval at 95%% covered the mean in %.3f of trials", coverage)
	}
	if low, high := Bootstrap([]float64{0, 0, 0, 0}, 0.95, 100); low != 0 || high != 0 {
		t.Errorf("no spread: %v %v", low, high)
	}
	if low, high := Bootstrap([]float64{1, 2}, 0.95, 100); !math.IsInf(low, -1) || !math.IsInf(high, 1) {
		t.Errorf("two values: %v %v", low, high)
	}
}

// The prediction interval from replications that form two clusters spans both.
func TestIntervalSpansBothClusters(t *testing.T) {
	f := &Forecast{Level: 0.95}
	for i := range 20 {
		f.Services = append(f.Services, 0.95-0.4*float64(i%2)+0.001*float64(i))
	}
	for _, v := range f.Services {
		f.MeanService += v / 20
	}
	f.setInterval(Model{Floor: minFloor})
	if !f.Contains(0.95) || !f.Contains(0.55) || f.High > 1 || f.Low < 0 {
		t.Errorf("%+v", f)
	}
	if !isBimodal(f.Services) {
		t.Error("two clusters were not reported as bimodal")
	}
	if isBimodal([]float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
		t.Error("evenly spaced values were reported as bimodal")
	}
}

// Where real runs differ from forecasts by a tenth of the loss, the fitted model has a LossFraction of 0.1; where all
// forecasts are exact, it has 0.
func TestFitEstimatesLossFraction(t *testing.T) {
	var inexactPairs, exactPairs []Pair
	for i, mean := range []float64{0.8, 0.9, 0.95, 0.7} {
		f := &Forecast{MeanService: mean, SD: 0.001}
		inexactPairs = append(inexactPairs, Pair{f, mean + float64(1-2*(i%2))*0.1*(1-mean)})
		exactPairs = append(exactPairs, Pair{f, mean})
	}
	if m := Fit(inexactPairs); math.Abs(m.LossFraction-0.1) > 0.01 {
		t.Errorf("%+v", m)
	}
	if m := Fit(exactPairs); m.LossFraction != 0 || m.Floor != minFloor {
		t.Errorf("%+v", m)
	}
	f, err := Predict("x", smallScenario(t, "60/s"), 8, 4, 0.95, Fit(inexactPairs))
	if err != nil || f.Low >= f.MeanService || f.High <= f.MeanService || f.Violations > 0 {
		t.Errorf("%+v %v", f, err)
	}
	if _, err := Predict("x", smallScenario(t, "60/s"), 2, 1, 0.95, Model{}); !errors.Is(err, ErrTooFewReplications) {
		t.Errorf("two runs: %v", err)
	}
}
