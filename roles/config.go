package roles

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Config holds the settings of a Planner. The zero value of a field means its default.
type Config struct {
	// MinDwell is the minimum time between two changes of one engine, unless a stage has no engine; 0 = 60 s.
	MinDwell time.Duration
	// MaxConcurrent is the fraction of the fleet that may be changing at once, unless a stage has no engine. One engine
	// is always allowed; 0 = 0.1.
	MaxConcurrent float64
	// ChangeTime is the typical duration of a change, from the start of draining until the engine is half warm; 0 = 10 s.
	// The experts' lookbacks, the decay of their losses and the margin for a shorter lookback are multiples of it. The
	// cost of a change depends on the measured duration of changes instead, which starts at ChangeTime.
	ChangeTime time.Duration
	// WarmUp is the part of a change after the engine has reported that it has changed. It is added to each measured
	// duration; 0 = 3 s.
	WarmUp time.Duration
	// StaleAfter is the age above which a load report is ignored; 0 = 5 s.
	StaleAfter time.Duration
	// ChangeTimeout is the time after which a change that is not confirmed is reverted; 0 = 2 min.
	ChangeTimeout time.Duration
}

// Validate returns an error that names the first invalid field, by its name in settings.
func (c Config) Validate() error {
	for _, field := range []struct {
		name  string
		value time.Duration
	}{
		{"MinStay", c.MinDwell},
		{"ChangeTime", c.ChangeTime},
		{"Warm", c.WarmUp},
		{"StaleAfter", c.StaleAfter},
		{"TurnTime", c.ChangeTimeout},
	} {
		if field.value < 0 {
			return fmt.Errorf("roles: settings: %s: negative duration %v", field.name, field.value)
		}
	}
	if !(c.MaxConcurrent >= 0 && c.MaxConcurrent <= 1) { // the negation also refuses NaN
		return errors.New("roles: settings: AtOnce: must be between 0 and 1")
	}
	return nil
}

func (c Config) withDefaults() Config {
	c.MinDwell = cmp.Or(c.MinDwell, time.Minute)
	c.MaxConcurrent = cmp.Or(c.MaxConcurrent, 0.1)
	c.ChangeTime = cmp.Or(c.ChangeTime, 10*time.Second)
	c.WarmUp = cmp.Or(c.WarmUp, 3*time.Second)
	c.StaleAfter = cmp.Or(c.StaleAfter, 5*time.Second)
	c.ChangeTimeout = cmp.Or(c.ChangeTimeout, 2*time.Minute)
	return c
}
