package roles

import "math"

const (
	// engineCapacity is the work that one engine can be asked for, in engines.
	engineCapacity = 1.0
	// softMaximumScale is how far from full load random arrivals already cost work, in engines, as a factor of the
	// square root of the fleet's size: a larger fleet varies more in total and less for each engine.
	softMaximumScale = 0.09
	// linearFrom is where exp(z) is so large that the soft maximum equals its line to double precision.
	linearFrom = 30
)

// Cost is what a second costs with so many prefill and decode engines under the given work, all in engines. It is the
// quantity that the planner minimizes, exported for comparisons.
func Cost(reading, writing float64, readers, writers int) float64 {
	return splitCost(reading, writing, float64(readers), float64(writers), softness(float64(readers+writers)))
}

// splitCost is the cost of both stages.
func splitCost(prefillWork, decodeWork, readers, writers, soft float64) float64 {
	return stageCost(prefillWork, readers, soft) + stageCost(decodeWork, writers, soft)
}

// stageCost is the work, in engines, that a stage is expected to lose: what exceeds its engines, and near full load
// what a queue loses by chance. It is a soft maximum of two lines, so it is convex in engines.
func stageCost(work, engines, soft float64) float64 {
	z := (work - engineCapacity*engines) / soft
	if z > linearFrom {
		return work - engineCapacity*engines
	}
	return soft * math.Log1p(math.Exp(z))
}

// softness is the width of the soft maximum for a fleet of so many engines.
func softness(engines float64) float64 { return softMaximumScale * math.Sqrt(max(engines, 1)) }
