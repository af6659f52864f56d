package rolesim

import (
	"math"
	"time"

	"brackenbend/internal/simulation/replication"
	"brackenbend/roles"
)

// ComparisonRow compares the policies on one scenario, over several seeds. Services are means over the seeds.
type ComparisonRow struct {
	Scenario         string
	BestFixedPrefill int // prefill engines of the best fixed split, found with the first seed
	BestFixedService, EvenSplitService,
	PlannedService, ClairvoyantService float64
	StandardError float64       // of PlannedService-BestFixedService
	RoleChanges   float64       // of roles by the planner, mean over the seeds
	MinDwell      time.Duration // shortest in the planner's runs; see Result.MinDwell
	Requests      int           // of all seeds

	// Results of the first seed, for plots.
	BestFixedResult, PlannedResult, ClairvoyantResult *Result
}

// minMeaningfulGap is the smallest gap between the best fixed split and the clairvoyant policy for which GapClosed is
// defined.
const minMeaningfulGap = 0.002

// GapClosed returns the fraction of the gap between the best fixed split and the clairvoyant policy that the planner
// closes; NaN if the gap is too small.
func (r *ComparisonRow) GapClosed() float64 {
	if r.ClairvoyantService-r.BestFixedService < minMeaningfulGap {
		return math.NaN()
	}
	return (r.PlannedService - r.BestFixedService) / (r.ClairvoyantService - r.BestFixedService)
}

// Compare runs each scenario with every policy on the same traffic, up to parallel scenarios at the same time.
func Compare(scenarios []Scenario, seeds, parallel int, c roles.Config) []ComparisonRow {
	rows := make([]ComparisonRow, len(scenarios))
	_ = replication.Run(len(scenarios), parallel, func(i int) error { // compare returns no error
		rows[i] = compare(scenarios[i], seeds, c)
		return nil
	})
	return rows
}

func compare(s Scenario, seeds int, c roles.Config) ComparisonRow {
	row := ComparisonRow{Scenario: s.Name}
	var gains []float64
	for seed := range seeds {
		s.Seed = uint64(seed + 1)
		var best *Result
		if seed == 0 {
			row.BestFixedPrefill, best = BestFixedSplit(s)
		} else {
			best = Run(s, FixedPolicy(row.BestFixedPrefill))
		}
		evenSplit := Run(s, FixedPolicy(s.Engines/2))
		planned := Run(s, &PlannerPolicy{PrefillEngines: s.Engines / 2, Config: c})
		clairvoyant := bestClairvoyant(s, best)
		if seed == 0 {
			row.BestFixedResult, row.PlannedResult, row.ClairvoyantResult = best, planned, clairvoyant
		}
		n := float64(seeds)
		row.BestFixedService += best.Service() / n
		row.EvenSplitService += evenSplit.Service() / n
		row.PlannedService += planned.Service() / n
		row.ClairvoyantService += clairvoyant.Service() / n
		row.RoleChanges += float64(planned.RoleChanges) / n
		if planned.MinDwell > 0 && (row.MinDwell == 0 || planned.MinDwell < row.MinDwell) {
			row.MinDwell = planned.MinDwell
		}
		row.Requests += planned.Requests
		gains = append(gains, planned.Service()-best.Service())
	}
	row.StandardError = standardError(gains)
	return row
}

// standardError returns the standard error of the mean of values; 0 for a single value.
func standardError(values []float64) float64 {
	n := float64(len(values))
	if n <= 1 {
		return 0
	}
	mean, sum := 0.0, 0.0
	for _, v := range values {
		mean += v / n
	}
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return math.Sqrt(sum / (n - 1) / n)
}

// clairvoyantPrices are the prices of a change, in engine seconds, that bestClairvoyant tries.
var clairvoyantPrices = []float64{2, 10, 40}

// bestClairvoyant returns the best result among the clairvoyant policies and the best fixed split, which a clairvoyant
// policy could choose as well.
func bestClairvoyant(s Scenario, fixed *Result) *Result {
	best := fixed
	for _, price := range clairvoyantPrices {
		if r := Run(s, &ClairvoyantPolicy{ChangePrice: price}); r.Service() > best.Service() {
			best = r
		}
	}
	return best
}
