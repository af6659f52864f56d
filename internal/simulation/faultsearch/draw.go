package faultsearch

import (
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// faultKind is a kind of fault that can be drawn.
type faultKind struct {
	what    string
	engines bool       // it strikes engines of one kind
	part    [2]float64 // bounds; 0, 0 = the fault has none
	factor  [2]float64
}

var faultKinds = []faultKind{
	{what: "crash", engines: true},
	{what: "drain", engines: true},
	{what: "remove", engines: true},
	{what: "stall", engines: true},
	{what: "fail-fast", engines: true, part: [2]float64{0.3, 1}},
	{what: "slow", engines: true, factor: [2]float64{2, 8}},
	{what: "refuse-connects", engines: true},
	{what: "forget", engines: true},
	{what: "silent-restart", engines: true},
	{what: "reset-mid-stream", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "reset-after-request", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "reset-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "stall-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "fail-after-effect", engines: true, part: [2]float64{0.2, 0.8}},
	{what: "front-kill"},
	{what: "front-stop"},
	{what: "register-cut"},
	{what: "register-late"},
	{what: "surge", factor: [2]float64{1.5, 4}},
	{what: "overlong", part: [2]float64{0.01, 0.05}, factor: [2]float64{5, 20}},
	{what: "hot-prefix", part: [2]float64{0.2, 0.8}},
	{what: "hang-ups", part: [2]float64{0.1, 0.5}},
	{what: "mix", factor: [2]float64{0.1, 5}},
}

// Bounds of drawn faults.
const (
	minFaultTime   = time.Second
	maxFaultPart   = 0.25 // of the scenario's length, beside minFaultTime
	maxEngines     = 3    // of a kind, struck at once
	maxEnginesPart = 3    // one in so many of the kind
	minLate        = 200  // ms, of the endpoint list
	lateSpread     = 2800 // ms
	timeStep       = 100 * time.Millisecond
	figureSteps    = 100 // of parts and factors, to the unit
)

// drawList draws a list of faults.
func (s *Search) drawList(rnd *rand.Rand) []scenario.Fault {
	list := make([]scenario.Fault, 1+rnd.IntN(s.MaxFaults))
	for i := range list {
		list[i] = s.drawFault(rnd)
	}
	return list
}

func (s *Search) drawFault(rnd *rand.Rand) scenario.Fault {
	kind := faultKinds[rnd.IntN(len(faultKinds))]
	fault := scenario.Fault{What: kind.what, Fraction: drawFigure(rnd, kind.part), Factor: drawFigure(rnd, kind.factor)}
	s.drawTime(rnd, &fault)
	switch {
	case kind.engines:
		engines := &s.Scenario.Kinds[rnd.IntN(len(s.Scenario.Kinds))]
		fault.Kind, fault.Count = engines.Name, 1+rnd.IntN(max(min(engines.Count/maxEnginesPart, maxEngines), 1))
	case kind.what == "front-kill" || kind.what == "front-stop":
		fault.Count = 1 + rnd.IntN(max(s.Scenario.Replicas/2, 1))
	case kind.what == "register-late":
		fault.Late = time.Duration(minLate+rnd.IntN(lateSpread)) * time.Millisecond
	case kind.what == "mix":
		fault.Class = s.Scenario.Classes[rnd.IntN(len(s.Scenario.Classes))].Name
	}
	return fault
}

// drawFigure draws a figure within bounds.
func drawFigure(rnd *rand.Rand, bounds [2]float64) float64 {
	if bounds[1] == 0 {
		return 0
	}
	return float64(int((bounds[0]+(bounds[1]-bounds[0])*rnd.Float64())*figureSteps)) / figureSteps
}

// lastEnd is when all faults must have ended, so that the fleet can recover before the end of the scenario.
func (s *Search) lastEnd() time.Duration { return s.Scenario.Length * 9 / 10 }

// drawTime draws when a fault begins and for how long it lasts.
func (s *Search) drawTime(rnd *rand.Rand, f *scenario.Fault) {
	f.For = (minFaultTime + time.Duration(rnd.Float64()*maxFaultPart*float64(s.Scenario.Length))).Round(timeStep)
	latest := max(s.lastEnd()-f.For, 0)
	f.At = time.Duration(rnd.Float64() * float64(latest)).Round(timeStep)
}

// mutate returns a neighbor of a list, by one or two changes.
func (s *Search) mutate(rnd *rand.Rand, from []scenario.Fault) []scenario.Fault {
	list := slices.Clone(from)
	for range 1 + rnd.IntN(2) {
		i := rnd.IntN(len(list))
		switch rnd.IntN(4) {
		case 0:
			s.drawTime(rnd, &list[i])
		case 1:
			list[i] = s.drawFault(rnd)
		case 2:
			if len(list) < s.MaxFaults {
				list = append(list, s.drawFault(rnd))
			}
		default: // moved to the time of another, so that faults coincide
			j := rnd.IntN(len(list))
			list[i].At = min(list[j].At, s.lastEnd()-list[i].For)
			list[i].At = max(list[i].At, 0)
		}
	}
	return list
}
