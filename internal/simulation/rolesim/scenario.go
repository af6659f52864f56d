// Package rolesim simulates a fleet in simulated time to compare policies that assign engines to prefill and decode:
// single requests, a queue for each stage, engines that drain, switch and warm up when they change role. Routing within
// a stage is assumed to be optimal, so that two runs differ only by the assignment. Traffic is seeded: every policy
// gets the same requests. A run uses one goroutine.
package rolesim

import (
	"cmp"
	"math"
	"time"

	"brackenbend/roles"
)

// Scenario is a fleet and its traffic.
type Scenario struct {
	Name    string
	Engines int
	Length  time.Duration
	Seed    uint64
	// Demand is the work requested at a time, as fractions of the capacity of the whole fleet.
	Demand  func(at time.Duration) (prefill, decode float64)
	Outages []Outage

	Slots            int           // concurrent streams of a decode engine; 0 = 32
	MeanStream       time.Duration // mean duration of an answer; 0 = 3 s
	LatencyObjective time.Duration // of the first token, from arrival; 0 = 1 s
	SwitchTime       time.Duration // of an engine without requests; 0 = 1 s
	SlowStartFrom    float64       // fraction of its capacity that an engine starts with; 0 = 0.25
	SlowStartFor     time.Duration // 0 = 6 s
	ReportDelay      time.Duration // of engine reports to the planner
	NoReplicaReports bool          // replicas do not report rejected work to the planner
}

// Outage takes a fraction of the engines of a role down for a while. They come back in slow start.
type Outage struct {
	At, Duration time.Duration
	Role         roles.Role
	Fraction     float64
}

const (
	defaultSlots         = 32
	defaultSlowStartFrom = 0.25
	defaultSlowStartFor  = 6 * time.Second
	defaultMeanStream    = 3 * time.Second
	defaultObjective     = time.Second
	defaultSwitchTime    = time.Second
)

func (s *Scenario) setDefaults() {
	s.Slots = cmp.Or(s.Slots, defaultSlots)
	s.SlowStartFrom = cmp.Or(s.SlowStartFrom, defaultSlowStartFrom)
	s.SlowStartFor = cmp.Or(s.SlowStartFor, defaultSlowStartFor)
	s.MeanStream = cmp.Or(s.MeanStream, defaultMeanStream)
	s.LatencyObjective = cmp.Or(s.LatencyObjective, defaultObjective)
	s.SwitchTime = cmp.Or(s.SwitchTime, defaultSwitchTime)
}

// DefaultLoad is the work requested in most scenarios, as a fraction of the capacity of the whole fleet.
const DefaultLoad = 0.72

// splitLoad divides a load into prefill and decode; prefillFraction of it is prefill.
func splitLoad(load, prefillFraction float64) (prefill, decode float64) {
	return load * prefillFraction, load * (1 - prefillFraction)
}

// Steady has constant demand.
func Steady(engines int) Scenario {
	return Scenario{
		Name: "steady", Engines: engines, Length: 10 * time.Minute,
		Demand: func(time.Duration) (float64, float64) { return splitLoad(DefaultLoad, 0.5) },
	}
}

// Shift changes the mix from long to short prompts, during the middle third of the run.
func Shift(engines int) Scenario {
	s := Scenario{Name: "morning to evening", Engines: engines, Length: 15 * time.Minute}
	s.Demand = func(at time.Duration) (float64, float64) {
		progress := min(max(at.Seconds()/s.Length.Seconds()*3-1, 0), 1)
		return splitLoad(DefaultLoad, 0.7-0.4*progress)
	}
	return s
}

// Swing alternates between two mixes with a period.
func Swing(engines int, period time.Duration) Scenario {
	return Scenario{
		Name: "swing of " + period.String(), Engines: engines, Length: max(10*time.Minute, 4*period),
		Demand: func(at time.Duration) (float64, float64) {
			return splitLoad(DefaultLoad, 0.5+0.15*math.Copysign(1, math.Sin(2*math.Pi*at.Seconds()/period.Seconds())))
		},
	}
}

// Surge adds long prompts for two minutes.
func Surge(engines int) Scenario {
	return Scenario{
		Name: "surge of long prompts", Engines: engines, Length: 10 * time.Minute,
		Demand: func(at time.Duration) (float64, float64) {
			if at > 4*time.Minute && at < 6*time.Minute {
				return 0.52, 0.36
			}
			return splitLoad(DefaultLoad, 0.5)
		},
	}
}

// MassRestart takes half of the prefill engines down at the time at which the mix shifts to long prompts.
func MassRestart(engines int) Scenario {
	const load = 0.6
	shift := 5 * time.Minute
	return Scenario{
		Name: "half of the readers lost as the mix shifts", Engines: engines, Length: 10 * time.Minute,
		Outages: []Outage{{At: shift, Duration: 90 * time.Second, Role: roles.Prefill, Fraction: 0.5}},
		Demand: func(at time.Duration) (float64, float64) {
			if at > shift {
				return splitLoad(load, 0.6)
			}
			return splitLoad(load, 0.5)
		},
	}
}

// Scenarios returns all scenarios for a comparison.
func Scenarios(engines int) []Scenario {
	all := []Scenario{Steady(engines), Shift(engines)}
	for _, period := range []time.Duration{
		time.Second, 4 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute,
	} {
		all = append(all, Swing(engines, period))
	}
	return append(all, Surge(engines), MassRestart(engines))
}
