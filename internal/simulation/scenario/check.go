package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"brackenbend/internal/config"
)

// Bounds of a scenario in simulated time. On sockets they are narrower, see CheckRunnable.
const (
	minLength   = time.Second
	maxLength   = time.Hour
	maxRate     = 5000 // requests a second
	maxReplicas = 10000
	maxEngines  = 5000
	maxPlanners = 8
)

// shareTolerance is what the shares of classes may differ from 1 by rounding.
const shareTolerance = 1e-6

func (s *Scenario) check(report config.Reporter) {
	s.checkSize(report)
	s.checkKinds(report)
	s.checkPlanner(report)
	s.checkStages(report)
	s.checkClasses(report)
	s.checkFaults(report)
}

func (s *Scenario) checkSize(report config.Reporter) {
	if s.Length < minLength || s.Length > maxLength {
		report(s.Pos, "write 1s to 1h", "a day of %v", s.Length)
	}
	if s.Rate <= 0 || s.Rate > maxRate {
		report(s.Pos, "write a rate up to 5000/s", "a rate of %v/s", s.Rate)
	}
	if s.Replicas < 1 || s.Replicas > maxReplicas {
		report(s.Pos, fmt.Sprintf("write 1 to %d", maxReplicas), "%d fronts", s.Replicas)
	}
}

func (s *Scenario) checkKinds(report config.Reporter) {
	for _, k := range s.Kinds {
		if k.Role != roleDecode && k.ReadRate == 0 {
			report(k.Pos, `add read-rate="20000/s"`, "<engines kind=%q> read at no rate", k.Name)
		}
		if k.Role != rolePrefill && (k.Step == 0 || k.FetchRate == 0) {
			report(k.Pos, `add step="20ms" and fetch-rate="200000/s"`,
				"<engines kind=%q> write without step or fetch-rate", k.Name)
		}
	}
}

// checkPlanner demands one kind of each role among those that change role, and a planner only where there are such.
func (s *Scenario) checkPlanner(report config.Reporter) {
	changing := map[string]int{} // kinds that change role, by the role they begin in
	for _, k := range s.Kinds {
		if k.ChangesRole {
			changing[k.Role]++
		}
	}
	onePair := len(changing) == 2 && changing[rolePrefill] == 1 && changing[roleDecode] == 1
	if len(changing) > 0 && !onePair {
		report(s.Pos, `give shifts="true" to one kind with role="reader" and one with role="writer"`,
			"kinds that shift: %v", changing)
	}
	if s.Planner == nil {
		return
	}
	if len(changing) == 0 {
		report(s.Planner.Pos, `add shifts="true" to the kinds whose engines may change role`,
			"a <planner> and no kind that shifts")
	}
	if err := s.Planner.Settings().Validate(); err != nil {
		report(s.Planner.Pos, "correct the figure", "%v", err)
	}
	if s.Planner.Count < 0 || s.Planner.Count > maxPlanners {
		report(s.Planner.Pos, "write 1 to 8", "%d planners", s.Planner.Count)
	}
}

func (s *Scenario) checkStages(report config.Reporter) {
	if n := s.Engines(); n > maxEngines {
		report(s.Pos, "lower the counts", "%d engines, %d at most", n, maxEngines)
	}
	prefills := slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Role != roleDecode })
	decodes := slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Role != rolePrefill })
	if !prefills || !decodes {
		report(s.Pos, "add engines of the missing role", "nothing reads, or nothing writes")
	}
}

func (s *Scenario) checkClasses(report config.Reporter) {
	share := 0.0
	for _, c := range s.Classes {
		share += c.Share
		if (c.Idempotency == idempotentWithKey) != (c.DedupWindow > 0) {
			report(c.Pos, `give window with effect="keyed", and only there`,
				"<class name=%q>: effect %s with a window of %v", c.Name, c.Idempotency, c.DedupWindow)
		}
	}
	if len(s.Classes) > 0 && math.Abs(share-1) > shareTolerance {
		report(s.Pos, "let the classes' shares add up to 1", "they add up to %v", share)
	}
}

func (s *Scenario) checkFaults(report config.Reporter) {
	for _, f := range s.Faults {
		if f.At+f.For > s.Length {
			report(f.Pos, "begin earlier, or make the day longer", "<happen what=%q> ends after the day", f.What)
		}
		if f.Kind != "" && !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == f.Kind }) {
			report(f.Pos, "name a kind of <engines>", "<happen kind=%q>: no such kind", f.Kind)
		}
		if f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }) {
			report(f.Pos, "name a <class>", "<happen class=%q>: no such class", f.Class)
		}
	}
}

// ErrLength is returned for a length outside the bounds of scenarios.
var ErrLength = errors.New("scenario: length out of bounds")

// Bounds of a scenario that one machine can play on sockets.
const (
	maxSocketReplicas = 32
	maxSocketEngines  = 200
	maxSocketRate     = 1000 // requests a second
)

// A SizeError is returned where a scenario is too large to be played on the sockets of one machine.
type SizeError struct {
	What string // replicas, engines or requests a second
	Got  float64
	Max  int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("scenario: %v %s, %d at most on sockets", e.Got, e.What, e.Max)
}

// CheckRunnable returns a *SizeError where the scenario can't be played on the sockets of one machine.
func (s *Scenario) CheckRunnable() error {
	switch {
	case s.Replicas > maxSocketReplicas:
		return &SizeError{"replicas", float64(s.Replicas), maxSocketReplicas}
	case s.Engines() > maxSocketEngines:
		return &SizeError{"engines", float64(s.Engines()), maxSocketEngines}
	case s.Rate > maxSocketRate:
		return &SizeError{"requests a second", float64(s.Rate), maxSocketRate}
	}
	return nil
}
