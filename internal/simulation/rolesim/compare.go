package rolesim

import (
	"math"
	"time"

	"brackenbend/internal/simulation/replication"
	"brackenbend/roles"
)

// Row compares the policies on one scenario, over several seeds. Services are means over the seeds.
type Row struct {
	Scenario                         string
	BestPrefill                      int // engines of the best fixed split, by the first seed
	Best, Half, Planned, Clairvoyant float64
	StandardError                    float64 // of Planned-Best
	Changes                          float64 // by the planner, a run
	MinDwell                         time.Duration
	Requests                         int

	// Results of the first seed, for plots.
	BestResult, PlannedResult, ClairvoyantResult *Result
}

// minGap is the least gap between the best fixed split and the clairvoyant policy of which a part is meaningful.
const minGap = 0.002

// GapClosed returns the part of the gap between the best fixed split and the clairvoyant policy that the planner
// closes; NaN where there is none.
func (r *Row) GapClosed() float64 {
	if r.Clairvoyant-r.Best < minGap {
		return math.NaN()
	}
	return (r.Planned - r.Best) / (r.Clairvoyant - r.Best)
}

// Compare plays the scenarios with every policy on the same traffic, up to parallel scenarios at once.
func Compare(scenarios []Scenario, seeds, parallel int, c roles.Config) []Row {
	rows := make([]Row, len(scenarios))
	_ = replication.Run(len(scenarios), parallel, func(i int) error { // no scenario fails
		rows[i] = compare(scenarios[i], seeds, c)
		return nil
	})
	return rows
}

func compare(s Scenario, seeds int, c roles.Config) Row {
	row := Row{Scenario: s.Name}
	var gains []float64
	for seed := range seeds {
		s.Seed = uint64(seed + 1)
		var best *Result
		if seed == 0 {
			row.BestPrefill, best = BestFixed(s)
		} else {
			best = Run(s, Fixed(row.BestPrefill))
		}
		half := Run(s, Fixed(s.Engines/2))
		planned := Run(s, &Planned{Prefill: s.Engines / 2, Config: c})
		clairvoyant := bestClairvoyant(s, best)
		if seed == 0 {
			row.BestResult, row.PlannedResult, row.ClairvoyantResult = best, planned, clairvoyant
		}
		n := float64(seeds)
		row.Best += best.Service() / n
		row.Half += half.Service() / n
		row.Planned += planned.Service() / n
		row.Clairvoyant += clairvoyant.Service() / n
		row.Changes += float64(planned.Changes) / n
		if planned.MinDwell > 0 && (row.MinDwell == 0 || planned.MinDwell < row.MinDwell) {
			row.MinDwell = planned.MinDwell
		}
		row.Requests += planned.Requests
		gains = append(gains, planned.Service()-best.Service())
	}
	row.StandardError = standardError(gains)
	return row
}

// standardError returns that of the mean of values; 0 for a single one.
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

// clairvoyantPrices are the prices of a change, in engine seconds, among which the best is taken.
var clairvoyantPrices = []float64{2, 10, 40}

// bestClairvoyant returns the best of the clairvoyant policies, and of the best fixed split, which they know as well.
func bestClairvoyant(s Scenario, fixed *Result) *Result {
	best := fixed
	for _, price := range clairvoyantPrices {
		if r := Run(s, &Clairvoyant{Price: price}); r.Service() > best.Service() {
			best = r
		}
	}
	return best
}
