package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"brackenbend/internal/config"
)

// Limits of a scenario in simulated time. On sockets they are narrower, see CheckRunnable.
const (
	minLength   = time.Second
	maxLength   = time.Hour
	maxRate     = 5000 // requests a second
	maxReplicas = 10000
	maxEngines  = 5000
	maxPlanners = 8
)

// shareTolerance is the rounding error that is accepted in the sum of the classes' shares.
const shareTolerance = 1e-6

func (s *Scenario) check(report config.Reporter) {
	s.checkSize(report)
	s.checkEngineKinds(report)
	s.checkPlanner(report)
	s.checkStages(report)
	s.checkClasses(report)
	s.checkFaults(report)
}

func (s *Scenario) checkSize(report config.Reporter) {
	if s.Length < minLength || s.Length > maxLength {
		report(s.Pos, "set a length from 1s to 1h", "<day> has a length of %v", s.Length)
	}
	if s.Rate <= 0 || s.Rate > maxRate {
		report(s.Pos, "set a rate above 0/s and up to 5000/s", "<day> has a rate of %v/s", s.Rate)
	}
	if s.Replicas < 1 || s.Replicas > maxReplicas {
		report(s.Pos, fmt.Sprintf("set fronts from 1 to %d", maxReplicas), "<day> has %d fronts", s.Replicas)
	}
}

func (s *Scenario) checkEngineKinds(report config.Reporter) {
	for _, k := range s.EngineKinds {
		if k.Role != roleDecode && k.ReadRate == 0 {
			report(k.Pos, `add read-rate="20000/s"`, "<engines kind=%q>: engines that prefill need a read-rate", k.Name)
		}
		if k.Role != rolePrefill && (k.Step == 0 || k.FetchRate == 0) {
			report(k.Pos, `add step="20ms" and fetch-rate="200000/s"`,
				"<engines kind=%q>: engines that decode need a step and a fetch-rate", k.Name)
		}
	}
}

// checkPlanner requires that the kinds that change role, if any, are one prefill and one decode kind, and that a
// planner has such kinds to assign.
func (s *Scenario) checkPlanner(report config.Reporter) {
	changingKinds := map[string]int{} // kinds that change role, by initial role
	for _, k := range s.EngineKinds {
		if k.ChangesRole {
			changingKinds[k.Role]++
		}
	}
	onePair := len(changingKinds) == 2 && changingKinds[rolePrefill] == 1 && changingKinds[roleDecode] == 1
	if len(changingKinds) > 0 && !onePair {
		report(s.Pos, `set shifts="true" on one kind with role="reader" and one with role="writer"`,
			"kinds with shifts=\"true\", by role: %v", changingKinds)
	}
	if s.Planner == nil {
		return
	}
	if len(changingKinds) == 0 {
		report(s.Planner.Pos, `set shifts="true" on the kinds whose engines may change role`,
			"<planner>: no kind of <engines> may change role")
	}
	if err := s.Planner.Settings().Validate(); err != nil {
		report(s.Planner.Pos, "correct the value", "%v", err)
	}
	if s.Planner.Count < 0 || s.Planner.Count > maxPlanners {
		report(s.Planner.Pos, "set a count from 1 to 8", "<planner> has a count of %d", s.Planner.Count)
	}
}

func (s *Scenario) checkStages(report config.Reporter) {
	if n := s.Engines(); n > maxEngines {
		report(s.Pos, "reduce the counts of <engines>", "%d engines, at most %d are allowed", n, maxEngines)
	}
	canPrefill := slices.ContainsFunc(s.EngineKinds, func(k EngineKind) bool { return k.Role != roleDecode })
	canDecode := slices.ContainsFunc(s.EngineKinds, func(k EngineKind) bool { return k.Role != rolePrefill })
	if !canPrefill || !canDecode {
		report(s.Pos, "add engines of the missing role", "no <engines> can prefill, or none can decode")
	}
}

func (s *Scenario) checkClasses(report config.Reporter) {
	shareSum := 0.0
	for _, c := range s.Classes {
		shareSum += c.Share
		if (c.Idempotency == idempotentWithKey) != (c.DedupWindow > 0) {
			report(c.Pos, `set window with effect="keyed", and only then`,
				"<class name=%q> has effect %s and a window of %v", c.Name, c.Idempotency, c.DedupWindow)
		}
	}
	if len(s.Classes) > 0 && math.Abs(shareSum-1) > shareTolerance {
		report(s.Pos, "change the shares to add up to 1", "the shares of the classes add up to %v", shareSum)
	}
}

func (s *Scenario) checkFaults(report config.Reporter) {
	for _, f := range s.Faults {
		if f.At+f.Duration > s.Length {
			report(f.Pos, "set an earlier at, a shorter for or a longer <day>", "<happen what=%q> ends after the <day>", f.Type)
		}
		if f.EngineKind != "" &&
			!slices.ContainsFunc(s.EngineKinds, func(k EngineKind) bool { return k.Name == f.EngineKind }) {
			report(f.Pos, "use the kind of an <engines> element", "<happen kind=%q>: no engines are of this kind", f.EngineKind)
		}
		if f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }) {
			report(f.Pos, "use the name of a <class>", "<happen class=%q>: no class has this name", f.Class)
		}
	}
}

// ErrLength is returned for a length outside the limits of scenarios.
var ErrLength = errors.New("scenario: length out of range")

// Limits of a scenario that runs on the sockets of one machine.
const (
	maxSocketReplicas = 32
	maxSocketEngines  = 200
	maxSocketRate     = 1000 // requests a second
)

// SizeError is the error for a scenario that is too large to run on the sockets of one machine.
type SizeError struct {
	Quantity string // replicas, engines or requests a second
	Value    float64
	Max      int
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("scenario: %v %s; a run on sockets may have at most %d", e.Value, e.Quantity, e.Max)
}

// CheckRunnable returns a *SizeError if the scenario is too large to run on the sockets of one machine.
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
