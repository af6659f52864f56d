package roles

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Config is what operators configure. A zero value means the documented default.
type Config struct {
	// MinDwell is the least time between two changes of one engine; 0 = 60 s.
	MinDwell time.Duration
	// MaxConcurrent is the share of the fleet that may be changing at once, one engine at least; 0 = 0.1.
	MaxConcurrent float64
	// ChangeTime is what a change typically takes, from draining until half warm; 0 = 10 s. It is the planner's unit of
	// time: how long it looks back, and how sure it must be. The measured time of changes is learned separately.
	ChangeTime time.Duration
	// WarmUp is the part of ChangeTime that follows the engine's report that it has changed; 0 = 3 s.
	WarmUp time.Duration
	// StaleAfter is the age from which a load report is ignored; 0 = 5 s.
	StaleAfter time.Duration
	// ChangeTimeout is the time after which a change that is not confirmed is reverted; 0 = 2 min.
	ChangeTimeout time.Duration
}

// Validate returns an error that names the first invalid field, as it is called in settings.
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
			return fmt.Errorf("roles: settings: %s: negative time %v", field.name, field.value)
		}
	}
	if !(c.MaxConcurrent >= 0 && c.MaxConcurrent <= 1) { // written so that NaN is refused
		return errors.New("roles: settings: AtOnce: a part from 0 to 1 is needed")
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
