package scenario

import (
	"cmp"
	"slices"
	"time"
)

// Conditions are the parameters of the clients' behavior that faults change.
type Conditions struct {
	RateFactor         float64            // multiplies the scenario's rate
	ShareFactors       map[string]float64 // multiply the shares of classes, by name
	LongPromptFraction float64            // fraction of prompts that are LongPromptFactor times as long
	LongPromptFactor   float64
	LongPromptClass    string  // the class that has long prompts; "" = all
	HotPrefixFraction  float64 // fraction of sessions whose prompts begin with one common prefix
	DisconnectFraction float64 // fraction of requests whose client disconnects early
	SlowReadFraction   float64 // fraction of requests whose client reads slowly
}

// NormalConditions returns the conditions without faults.
func NormalConditions() Conditions { return Conditions{RateFactor: 1} }

// SlowReadDelay is how long a slow client pauses after each token of a stream.
const SlowReadDelay = 50 * time.Millisecond

// FlapInterval is the time after which a flapping engine is removed from the endpoint list, or added to it again.
const FlapInterval = 300 * time.Millisecond

// Apply applies a fault to the conditions. undo resets the parameters that the fault changed to their normal values; it
// is nil for a fault that does not concern clients.
func (c *Conditions) Apply(f *Fault) (undo func(*Conditions)) {
	switch f.Type {
	case "surge":
		c.RateFactor = cmp.Or(f.Factor, 2)
		return func(c *Conditions) { c.RateFactor = 1 }
	case "mix":
		class := f.Class
		c.setShareFactor(class, cmp.Or(f.Factor, 1))
		return func(c *Conditions) { c.setShareFactor(class, 1) }
	case "overlong":
		c.LongPromptFraction, c.LongPromptFactor, c.LongPromptClass =
			cmp.Or(f.Fraction, 0.02), cmp.Or(f.Factor, 10), f.Class
		return func(c *Conditions) { c.LongPromptFraction = 0 }
	case "hot-prefix":
		c.HotPrefixFraction = cmp.Or(f.Fraction, 0.2)
		return func(c *Conditions) { c.HotPrefixFraction = 0 }
	case "hang-ups":
		c.DisconnectFraction = cmp.Or(f.Fraction, 0.1)
		return func(c *Conditions) { c.DisconnectFraction = 0 }
	case "slow-readers":
		c.SlowReadFraction = cmp.Or(f.Fraction, 0.1)
		return func(c *Conditions) { c.SlowReadFraction = 0 }
	}
	return nil
}

// setShareFactor replaces the map instead of changing it, since copies of the conditions, which share the map, may
// still be read.
func (c *Conditions) setShareFactor(class string, factor float64) {
	factors := map[string]float64{class: factor}
	for name, other := range c.ShareFactors {
		if name != class {
			factors[name] = other
		}
	}
	c.ShareFactors = factors
}

// ConditionChange is a change of the clients' conditions at a time of the scenario.
type ConditionChange struct {
	At    time.Duration
	Apply func(*Conditions)
}

// ConditionChanges returns the changes that the scenario's faults make, sorted by time.
func (s *Scenario) ConditionChanges() (changes []ConditionChange) {
	for i := range s.Faults {
		fault := &s.Faults[i]
		scratch := NormalConditions()
		if scratch.Apply(fault) == nil {
			continue
		}
		var undo func(*Conditions)
		changes = append(changes,
			ConditionChange{fault.At, func(c *Conditions) { undo = c.Apply(fault) }},
			ConditionChange{fault.At + fault.Duration, func(c *Conditions) { undo(c) }})
	}
	slices.SortStableFunc(changes, func(a, b ConditionChange) int { return cmp.Compare(a.At, b.At) })
	return changes
}
