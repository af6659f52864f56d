package forecast

import (
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// bootstrapResamples is the number of resamples for a confidence interval of a comparison.
const bootstrapResamples = 4000

// Bootstrap returns a confidence interval of the mean of values by the studentized bootstrap (Efron and Tibshirani, An
// Introduction to the Bootstrap, 12.5). With few values its coverage stays near the level, where that of the percentile
// bootstrap falls below it. The resamples come from a fixed seed, so equal values give equal intervals.
func Bootstrap(values []float64, level float64, resamples int) (low, high float64) {
	mean, standardDeviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	switch {
	case len(values) < minReplications:
		return math.Inf(-1), math.Inf(1)
	case standardDeviation == 0:
		return mean, mean
	}
	rnd := rand.New(rand.NewPCG(1, uint64(len(values))))
	resample, tStatistics := make([]float64, len(values)), make([]float64, 0, resamples)
	for range resamples {
		for i := range resample {
			resample[i] = values[rnd.IntN(len(values))]
		}
		m, s := stat.MeanStdDev(resample, nil)
		if s > 0 { // resamples of a single value have no standard error
			tStatistics = append(tStatistics, (m-mean)/(s/math.Sqrt(n)))
		}
	}
	if len(tStatistics) == 0 {
		return math.Inf(-1), math.Inf(1)
	}
	slices.Sort(tStatistics)
	quantile := func(p float64) float64 { return stat.Quantile(p, stat.LinInterp, tStatistics, nil) }
	standardError := standardDeviation / math.Sqrt(n)
	return mean - quantile(0.5+level/2)*standardError, mean - quantile(0.5-level/2)*standardError
}

const (
	minBimodalValues  = 8    // fewer values are never reported as bimodal
	minClusterValues  = 3    // fewer values are outliers, not a cluster
	minVariation      = 1e-8 // sum of squares below which all values are taken as equal
	maxWithinClusters = 0.1  // greatest fraction of the variation that may remain within the two clusters
)

// isBimodal reports whether values form two clusters: the sorted values can be split so that hardly any of their
// variation remains within the two parts, and neither part consists of a few outliers.
func isBimodal(values []float64) bool {
	if len(values) < minBimodalValues {
		return false
	}
	sorted := slices.Sorted(slices.Values(values))
	total := sumOfSquares(sorted)
	if total < minVariation {
		return false
	}
	for i := minClusterValues; i <= len(sorted)-minClusterValues; i++ {
		if sumOfSquares(sorted[:i])+sumOfSquares(sorted[i:]) < maxWithinClusters*total {
			return true
		}
	}
	return false
}

// sumOfSquares returns the sum of the squared deviations from the mean.
func sumOfSquares(values []float64) float64 {
	return stat.Variance(values, nil) * float64(len(values)-1)
}
