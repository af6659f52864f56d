package faultsearch

import (
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// faultKind is a kind of fault that a search can draw, with the bounds of its numbers.
type faultKind struct {
	name           string
	affectsEngines bool       // it affects some engines of one kind
	fraction       [2]float64 // bounds of Fault.Fraction; 0, 0 = the fault has no fraction
	factor         [2]float64 // bounds of Fault.Factor; 0, 0 = the fault has no factor
}

var faultKinds = []faultKind{
	{name: "crash", affectsEngines: true},
	{name: "drain", affectsEngines: true},
	{name: "remove", affectsEngines: true},
	{name: "stall", affectsEngines: true},
	{name: "fail-fast", affectsEngines: true, fraction: [2]float64{0.3, 1}},
	{name: "slow", affectsEngines: true, factor: [2]float64{2, 8}},
	{name: "refuse-connects", affectsEngines: true},
	{name: "forget", affectsEngines: true},
	{name: "silent-restart", affectsEngines: true},
	{name: "reset-mid-stream", affectsEngines: true, fraction: [2]float64{0.2, 0.8}},
	{name: "reset-after-request", affectsEngines: true, fraction: [2]float64{0.2, 0.8}},
	{name: "reset-after-effect", affectsEngines: true, fraction: [2]float64{0.2, 0.8}},
	{name: "stall-after-effect", affectsEngines: true, fraction: [2]float64{0.2, 0.8}},
	{name: "fail-after-effect", affectsEngines: true, fraction: [2]float64{0.2, 0.8}},
	{name: "front-kill"},
	{name: "front-stop"},
	{name: "register-cut"},
	{name: "register-late"},
	{name: "surge", factor: [2]float64{1.5, 4}},
	{name: "overlong", fraction: [2]float64{0.01, 0.05}, factor: [2]float64{5, 20}},
	{name: "hot-prefix", fraction: [2]float64{0.2, 0.8}},
	{name: "hang-ups", fraction: [2]float64{0.1, 0.5}},
	{name: "mix", factor: [2]float64{0.1, 5}},
}

// Bounds of drawn faults.
const (
	minFaultDuration  = time.Second
	maxExtraFraction  = 0.25 // of the scenario's length, added to minFaultDuration at most
	maxEngines        = 3    // the most engines that a fault affects
	maxEnginesDivisor = 3    // a fault affects at most a third of the engines of a kind, but at least one
	minLateMillis     = 200  // least delay of the endpoint list
	lateSpreadMillis  = 2800 // range of delays above the least
	timeStep          = 100 * time.Millisecond
	stepsPerUnit      = 100 // fractions and factors are multiples of 1/stepsPerUnit
)

// drawFaults draws a list of 1 to MaxFaults faults.
func (s *Search) drawFaults(rnd *rand.Rand) []scenario.Fault {
	faults := make([]scenario.Fault, 1+rnd.IntN(s.MaxFaults))
	for i := range faults {
		faults[i] = s.drawFault(rnd)
	}
	return faults
}

func (s *Search) drawFault(rnd *rand.Rand) scenario.Fault {
	kind := faultKinds[rnd.IntN(len(faultKinds))]
	fault := scenario.Fault{
		Type: kind.name, Fraction: drawNumber(rnd, kind.fraction), Factor: drawNumber(rnd, kind.factor),
	}
	s.drawTime(rnd, &fault)
	switch {
	case kind.affectsEngines:
		engines := &s.Scenario.EngineKinds[rnd.IntN(len(s.Scenario.EngineKinds))]
		fault.EngineKind, fault.Count = engines.Name, 1+rnd.IntN(max(min(engines.Count/maxEnginesDivisor, maxEngines), 1))
	case kind.name == "front-kill" || kind.name == "front-stop":
		fault.Count = 1 + rnd.IntN(max(s.Scenario.Replicas/2, 1))
	case kind.name == "register-late":
		fault.EventDelay = time.Duration(minLateMillis+rnd.IntN(lateSpreadMillis)) * time.Millisecond
	case kind.name == "mix":
		fault.Class = s.Scenario.Classes[rnd.IntN(len(s.Scenario.Classes))].Name
	}
	return fault
}

// drawNumber draws a fraction or factor within bounds; 0 for the bounds 0, 0.
func drawNumber(rnd *rand.Rand, bounds [2]float64) float64 {
	if bounds[1] == 0 {
		return 0
	}
	return float64(int((bounds[0]+(bounds[1]-bounds[0])*rnd.Float64())*stepsPerUnit)) / stepsPerUnit
}

// latestEnd is the time by which all faults end, so that the fleet can recover before the end of the scenario.
func (s *Search) latestEnd() time.Duration { return s.Scenario.Length * 9 / 10 }

// drawTime draws the time at which a fault begins, and its duration.
func (s *Search) drawTime(rnd *rand.Rand, f *scenario.Fault) {
	f.Duration = (minFaultDuration +
		time.Duration(rnd.Float64()*maxExtraFraction*float64(s.Scenario.Length))).Round(timeStep)
	latest := max(s.latestEnd()-f.Duration, 0)
	f.At = time.Duration(rnd.Float64() * float64(latest)).Round(timeStep)
}

// mutate returns a copy of a list with one or two random changes.
func (s *Search) mutate(rnd *rand.Rand, faults []scenario.Fault) []scenario.Fault {
	mutated := slices.Clone(faults)
	for range 1 + rnd.IntN(2) {
		i := rnd.IntN(len(mutated))
		switch rnd.IntN(4) {
		case 0:
			s.drawTime(rnd, &mutated[i])
		case 1:
			mutated[i] = s.drawFault(rnd)
		case 2:
			if len(mutated) < s.MaxFaults {
				mutated = append(mutated, s.drawFault(rnd))
			}
		default: // move the fault to the time of another one, so that both coincide
			j := rnd.IntN(len(mutated))
			mutated[i].At = min(mutated[j].At, s.latestEnd()-mutated[i].Duration)
			mutated[i].At = max(mutated[i].At, 0)
		}
	}
	return mutated
}
