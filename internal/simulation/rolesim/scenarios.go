package rolesim

import (
	"math"
	"time"

	"brackenbend/roles"
)

// Load is the work asked for in most scenarios, as a part of the whole fleet.
const Load = 0.72

// mix splits load into reading and writing.
func mix(load, reading float64) (float64, float64) { return load * reading, load * (1 - reading) }

// Steady asks for the same all the time.
func Steady(engines int) Scenario {
	return Scenario{Name: "steady", Engines: engines, Length: 10 * time.Minute, Asked: func(time.Duration) (float64, float64) { return mix(Load, 0.5) }}
}

// Shift goes from a morning of long prompts to an evening of short ones, in the middle third.
func Shift(engines int) Scenario {
	s := Scenario{Name: "morning to evening", Engines: engines, Length: 15 * time.Minute}
	s.Asked = func(at time.Duration) (float64, float64) {
		part := min(max(at.Seconds()/s.Length.Seconds()*3-1, 0), 1)
		return mix(Load, 0.7-0.4*part)
	}
	return s
}

// Swing lets the mix go back and forth with a period.
func Swing(engines int, period time.Duration) Scenario {
	return Scenario{
		Name: "swing of " + period.String(), Engines: engines, Length: max(10*time.Minute, 4*period),
		Asked: func(at time.Duration) (float64, float64) {
			return mix(Load, 0.5+0.15*math.Copysign(1, math.Sin(2*math.Pi*at.Seconds()/period.Seconds())))
		},
	}
}

// Surge brings long prompts on top for two minutes.
func Surge(engines int) Scenario {
	return Scenario{Name: "surge of long prompts", Engines: engines, Length: 10 * time.Minute, Asked: func(at time.Duration) (float64, float64) {
		if at > 4*time.Minute && at < 6*time.Minute {
			return 0.52, 0.36
		}
		return mix(Load, 0.5)
	}}
}

// MassRestart loses half of the readers as the mix shifts to long prompts.
func MassRestart(engines int) Scenario {
	s := Scenario{
		Name: "half of the readers lost as the mix shifts", Engines: engines, Length: 10 * time.Minute,
		Outages: []Outage{{At: 5 * time.Minute, For: 90 * time.Second, Role: roles.Prefill, Part: 0.5}},
	}
	s.Asked = func(at time.Duration) (float64, float64) {
		if at > 5*time.Minute {
			return mix(0.6, 0.6)
		}
		return mix(0.6, 0.5)
	}
	return s
}

// BestFixed searches the split with the best service.
func BestFixed(s Scenario) (readers int, best *Result) {
	// service over readers has one peak by and large: a coarse look, then closer ones around the best
	step := max(s.Engines/8, 1)
	tried := map[int]*Result{}
	try := func(x int) {
		if x >= 1 && x < s.Engines && tried[x] == nil {
			tried[x] = Run(s, Fixed(x))
			if best == nil || tried[x].Service() > best.Service() {
				readers, best = x, tried[x]
			}
		}
	}
	for x := step; x < s.Engines; x += step {
		try(x)
	}
	for step > 1 {
		step = max(step/2, 1)
		at := readers
		try(at - step)
		try(at + step)
	}
	return readers, best
}
