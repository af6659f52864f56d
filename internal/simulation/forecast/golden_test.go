package forecast

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"brackenbend/internal/golden"
	"brackenbend/internal/simulation/scenario"
)

// checkStored checks that a value is encoded as in the golden file, and that decoding the file loses nothing.
func checkStored[T any](t *testing.T, name string, v T) {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, name, string(text))
	if text, err = os.ReadFile(filepath.Join("testdata", name)); err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(decoded, "", " ")
	if err != nil || string(again) != string(text) {
		t.Errorf("%s: decoded and encoded again (%v):\n%s", name, err, again)
	}
}

func TestStoredJSONIsUnchanged(t *testing.T) {
	checkStored(t, "summary.json", Summary{
		Service: 0.5, WorstService: 0.25, Requests: 3, Rejected: 4, Attempts: 5, TransferredTokens: 6.5, Violations: 7,
		Timeline: []scenario.SecondTotals{{ServedWeight: 1.5, RequestedWeight: 2.5}, {}},
	})
	checkStored(t, "forecast.json", Forecast{
		Scenario: "bad.xml", Services: []float64{0.5, 0.75}, MeanService: 0.625, SD: 0.125, Low: 0.5, High: 0.875,
		Level: 0.95, WorstService: 0.375, Violations: 3,
	})
	checkStored(t, "model.json", Model{Floor: 0.5, LossFraction: 0.25})
	checkStored(t, "comparison.json", Comparison{
		Names: [2]string{"a", "b"}, MeanServices: [2]float64{1, 2}, WorstServices: [2]float64{3, 4},
		RejectedFractions: [2]float64{5, 6}, AttemptsPerRequest: [2]float64{7, 8},
		TransferredTokensPerRequest: [2]float64{9, 10},
		Violations:                  [2]int{11, 12}, Differences: []float64{13, 14},
		MeanDifference: 15, Low: 16, High: 17, Level: 18,
		InterimAnalyses: 19,
		Bimodal:         true, Verdict: SecondBetter, Timelines: [2][]scenario.SecondTotals{{{ServedWeight: 1}}, nil},
	})
	checkStored(t, "verdicts.json", []Verdict{FirstBetter, SecondBetter, NoDifference, Undecided})
}
