package scenario

import (
	"cmp"
	"slices"
	"time"
)

// Conditions are what faults change of the clients' behavior.
type Conditions struct {
	Surge     float64            // times the rate
	Mix       map[string]float64 // times the shares of classes
	LongPart  float64            // of prompts, LongBy times as long
	LongBy    float64
	LongClass string
	Hot       float64 // part of sessions that begin with one prefix
	HangUps   float64 // part of clients that disconnect early
	Slow      float64 // part of clients that read slowly
}

// NormalConditions returns the conditions without any fault.
func NormalConditions() Conditions { return Conditions{Surge: 1} }

// SlowReadDelay is how long a slow client pauses after each token of a stream.
const SlowReadDelay = 50 * time.Millisecond

// FlapInterval is how often a flapping engine comes onto the endpoint list or goes off it.
const FlapInterval = 300 * time.Millisecond

// Change applies a fault to the conditions; undo reverts it. It returns nil for a fault that does not concern clients.
func (c *Conditions) Change(f *Fault) (undo func(*Conditions)) {
	switch f.What {
	case "surge":
		c.Surge = cmp.Or(f.Factor, 2)
		return func(c *Conditions) { c.Surge = 1 }
	case "mix":
		class := f.Class
		c.setMix(class, cmp.Or(f.Factor, 1))
		return func(c *Conditions) { c.setMix(class, 1) }
	case "overlong":
		c.LongPart, c.LongBy, c.LongClass = cmp.Or(f.Part, 0.02), cmp.Or(f.Factor, 10), f.Class
		return func(c *Conditions) { c.LongPart = 0 }
	case "hot-prefix":
		c.Hot = cmp.Or(f.Part, 0.2)
		return func(c *Conditions) { c.Hot = 0 }
	case "hang-ups":
		c.HangUps = cmp.Or(f.Part, 0.1)
		return func(c *Conditions) { c.HangUps = 0 }
	case "slow-readers":
		c.Slow = cmp.Or(f.Part, 0.1)
		return func(c *Conditions) { c.Slow = 0 }
	}
	return nil
}

// setMix replaces the map rather than changing it: a copy of the conditions may still be read.
func (c *Conditions) setMix(class string, factor float64) {
	mix := map[string]float64{class: factor}
	for name, other := range c.Mix {
		if name != class {
			mix[name] = other
		}
	}
	c.Mix = mix
}

// ConditionChange is a change of the clients' conditions at a time of the scenario.
type ConditionChange struct {
	At time.Duration
	Do func(*Conditions)
}

// ConditionChanges returns the changes that the scenario's faults make, by time.
func (s *Scenario) ConditionChanges() (all []ConditionChange) {
	for i := range s.Faults {
		fault := &s.Faults[i]
		trial := NormalConditions()
		if trial.Change(fault) == nil {
			continue
		}
		var undo func(*Conditions)
		all = append(all,
			ConditionChange{fault.At, func(c *Conditions) { undo = c.Change(fault) }},
			ConditionChange{fault.At + fault.For, func(c *Conditions) { undo(c) }})
	}
	slices.SortStableFunc(all, func(a, b ConditionChange) int { return cmp.Compare(a.At, b.At) })
	return all
}
