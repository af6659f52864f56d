package forecast

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// resamples of the bootstrap.
const resamples = 4000

// Bootstrap returns a confidence interval of the mean of values: the studentized bootstrap (Efron and Tibshirani, An
// Introduction to the Bootstrap, 12.5), which holds its level with few values where plain percentiles fall short. Its
// draws are always the same.
func Bootstrap(values []float64, level float64, times int) (low, high float64) {
	mean, sd := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	switch {
	case len(values) < minRuns:
		return math.Inf(-1), math.Inf(1)
	case sd == 0:
		return mean, mean
	}
	rnd := rand.New(rand.NewPCG(1, uint64(len(values))))
	draw, ts := make([]float64, len(values)), make([]float64, 0, times)
	for range times {
		for i := range draw {
			draw[i] = values[rnd.IntN(len(values))]
		}
		m, s := stat.MeanStdDev(draw, nil)
		if s > 0 { // draws of a single value say nothing of the spread
			ts = append(ts, (m-mean)/(s/math.Sqrt(n)))
		}
	}
	if len(ts) == 0 {
		return math.Inf(-1), math.Inf(1)
	}
	slices.Sort(ts)
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.LinInterp, ts, nil) }
	standardError := sd / math.Sqrt(n)
	return mean - quantile(0.5+level/2)*standardError, mean - quantile(0.5-level/2)*standardError
}

const (
	minBimodal     = 8    // values, below which nothing is said
	minCluster     = 3    // values: fewer are outliers
	minVariation   = 1e-8 // sum of squares, below which values are equal
	withinClusters = 0.1  // part of the variation that two clusters leave at most
)

// isBimodal reports whether values form two clusters: a cut between two neighbors explains nearly all of their
// variation, and neither side is an outlier or two.
func isBimodal(values []float64) bool {
	if len(values) < minBimodal {
		return false
	}
	sorted := slices.Sorted(slices.Values(values))
	total := sumOfSquares(sorted)
	if total < minVariation {
		return false
	}
	for i := minCluster; i <= len(sorted)-minCluster; i++ {
		if sumOfSquares(sorted[:i])+sumOfSquares(sorted[i:]) < withinClusters*total {
			return true
		}
	}
	return false
}

// sumOfSquares returns that of the deviations from the mean.
func sumOfSquares(values []float64) float64 {
	return stat.Variance(values, nil) * float64(len(values)-1)
}
