package roles

import "math"

const (
	// engineCapacity is the work that one engine can do, in engines.
	engineCapacity = 1.0
	// softMaximumScale sets how far below full load random arrivals already cause losses: that distance, in engines, is
	// this factor times the square root of the fleet's size. The work of a larger fleet varies more in total and less
	// per engine.
	softMaximumScale = 0.09
	// linearAbove is the value of z above which ln(1+exp(z)) differs from z by less than 1e-13.
	linearAbove = 30
)

// Cost returns the work, in engines, that a fleet with the given numbers of engines is expected to lose under the given
// work, also in engines. The planner minimizes it; it is exported for comparisons.
func Cost(prefillWork, decodeWork float64, prefillEngines, decodeEngines int) float64 {
	return splitCost(prefillWork, decodeWork, float64(prefillEngines), float64(decodeEngines),
		softMaximumWidth(float64(prefillEngines+decodeEngines)))
}

// splitCost returns the cost of both stages together.
func splitCost(prefillWork, decodeWork, prefillEngines, decodeEngines, width float64) float64 {
	return stageCost(prefillWork, prefillEngines, width) + stageCost(decodeWork, decodeEngines, width)
}

// stageCost returns the work, in engines, that a stage is expected to lose: the work that exceeds its engines and, near
// full load, the work lost because arrivals are random. It is a soft maximum of 0 and the excess, so it is convex in
// engines.
func stageCost(work, engines, width float64) float64 {
	z := (work - engineCapacity*engines) / width
	if z > linearAbove {
		return work - engineCapacity*engines
	}
	return width * math.Log1p(math.Exp(z))
}

// softMaximumWidth returns the width of the soft maximum for a fleet with the given number of engines.
func softMaximumWidth(engines float64) float64 { return softMaximumScale * math.Sqrt(max(engines, 1)) }
