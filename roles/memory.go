package roles

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxStoredCooldowns bounds the number of cooldowns in a Memory, and so the size of its stored form.
const maxStoredCooldowns = 10000

// maxPlausible bounds the values in a Memory that is restored. It is far above any measured value and far below the
// values at which sums lose precision.
const maxPlausible = 1e15

// Memory is what a planner has learned, in a form that can be stored for the next planner: the experts' histories and
// losses, the leading expert, the duration of a change, and the engines in cooldown. Times are relative to the moment
// at which the Memory was taken.
type Memory struct {
	Experts       []ExpertMemory   `json:"experts"`
	Leader        int              `json:"lead"`
	ChangeSeconds float64          `json:"cost"`  // average duration of a change
	LastSplit     [2]int           `json:"stood"` // prefill and decode engines after the planner's last step
	Cooldowns     []CooldownMemory `json:"bars,omitempty"`
}

// ExpertMemory is one expert's part of a Memory.
type ExpertMemory struct {
	Lookback       time.Duration `json:"memory"` // checked, since experts of another version may differ
	Loss           float64       `json:"loss"`
	PrefillEngines int           `json:"readers"`
	DecodeEngines  int           `json:"writers"`
	History        []WorkMemory  `json:"past"` // oldest first
}

// WorkMemory is a sample of an expert's history: the work demanded during an interval, in engine seconds.
type WorkMemory struct {
	Age     time.Duration `json:"age"` // of the interval's start
	Prefill float64       `json:"reading"`
	Decode  float64       `json:"writing"`
	Seconds float64       `json:"seconds"` // length of the interval
}

// CooldownMemory is an engine in cooldown.
type CooldownMemory struct {
	ID        string        `json:"id"`
	Remaining time.Duration `json:"left"`
	Duration  time.Duration `json:"pause"` // full length
}

// Memory returns what the planner has learned. ok is false until the planner has planned from trusted reports.
func (p *Planner) Memory() (m Memory, ok bool) {
	m = Memory{
		Leader: p.leader, ChangeSeconds: p.changeSeconds, LastSplit: [2]int{p.lastSplit.prefill, p.lastSplit.decode},
	}
	for _, x := range p.experts {
		if !x.started {
			return Memory{}, false
		}
		m.Experts = append(m.Experts, x.export(p.now))
	}
	for id, c := range p.cooldowns {
		if c.until > p.now && len(m.Cooldowns) < maxStoredCooldowns {
			m.Cooldowns = append(m.Cooldowns, CooldownMemory{ID: id, Remaining: c.until - p.now, Duration: c.duration})
		}
	}
	slices.SortFunc(m.Cooldowns, func(a, b CooldownMemory) int { return cmp.Compare(a.ID, b.ID) })
	return m, true
}

// export returns the expert's state at now. Pending simulated changes count as completed.
func (x *expert) export(now time.Duration) ExpertMemory {
	wanted := x.wantedPrefillEngines()
	e := ExpertMemory{
		Lookback: x.lookback, Loss: x.loss, PrefillEngines: wanted,
		DecodeEngines: x.prefillEngines + x.decodeEngines + len(x.pending) - wanted,
	}
	for _, s := range x.history {
		e.History = append(e.History, WorkMemory{
			Age: now - s.start, Prefill: s.prefill, Decode: s.decode, Seconds: s.seconds,
		})
	}
	return e
}

// Restore sets the state of a planner that has not planned yet from a Memory that was taken age ago. An implausible
// Memory is refused as a whole and leaves the planner as it was. now must not be later than the time of the next Step.
func (p *Planner) Restore(m Memory, age, now time.Duration) error {
	if p.started {
		return errors.New("roles: restore memory: the planner has already planned")
	}
	if age < 0 {
		return errors.New("roles: restore memory: it was saved in the future")
	}
	if err := p.checkMemory(m); err != nil {
		return err
	}
	for i, e := range m.Experts {
		p.experts[i].restore(e, age, now)
	}
	for _, c := range m.Cooldowns {
		if c.Remaining > age {
			p.cooldowns[c.ID] = cooldown{until: now + c.Remaining - age, duration: c.Duration}
		}
	}
	p.leader, p.changeSeconds = m.Leader, m.ChangeSeconds
	p.lastSplit = split{prefill: m.LastSplit[0], decode: m.LastSplit[1]}
	return nil
}

func (x *expert) restore(e ExpertMemory, age, now time.Duration) {
	x.prefillEngines, x.decodeEngines, x.started = e.PrefillEngines, e.DecodeEngines, true
	x.loss = e.Loss * math.Exp(-age.Seconds()/x.lossWindow.Seconds())
	for _, sample := range e.History {
		x.history = append(x.history, workSample{
			start: now - age - sample.Age, prefill: sample.Prefill, decode: sample.Decode, seconds: sample.Seconds,
		})
	}
}

// checkMemory returns an error if m does not fit this planner or holds implausible values.
func (p *Planner) checkMemory(m Memory) error {
	switch {
	case len(m.Experts) != len(p.experts) || m.Leader < 0 || m.Leader >= len(p.experts):
		return fmt.Errorf("roles: restore memory: got %d experts, leader %d; this planner has %d experts",
			len(m.Experts), m.Leader, len(p.experts))
	case !plausible(m.ChangeSeconds) || m.ChangeSeconds > p.config.ChangeTimeout.Seconds():
		return fmt.Errorf("roles: restore memory: implausible change duration of %v s", m.ChangeSeconds)
	case m.LastSplit[0] < 0 || m.LastSplit[1] < 0 || len(m.Cooldowns) > maxStoredCooldowns:
		return errors.New("roles: restore memory: negative engine counts or too many cooldowns")
	}
	for i, e := range m.Experts {
		if err := e.check(p.experts[i].lookback); err != nil {
			return err
		}
	}
	for _, c := range m.Cooldowns {
		if c.Remaining < 0 || c.Duration < 0 || c.Remaining > maxCooldown || c.Duration > maxCooldown {
			return fmt.Errorf("roles: restore memory: engine %s: implausible cooldown, %v left of %v",
				c.ID, c.Remaining, c.Duration)
		}
	}
	return nil
}

// check returns an error if e does not fit an expert with the given lookback or holds implausible values.
func (e *ExpertMemory) check(lookback time.Duration) error {
	// A history has about historyBuckets samples; the limit leaves room for irregular steps.
	const maxSamples = 4 * historyBuckets
	switch {
	case e.Lookback != lookback:
		return fmt.Errorf("roles: restore memory: got an expert with lookback %v, want %v", e.Lookback, lookback)
	case !plausible(e.Loss) || e.PrefillEngines < 0 || e.DecodeEngines < 0 ||
		len(e.History) == 0 || len(e.History) > maxSamples:
		return fmt.Errorf("roles: restore memory: expert with lookback %v: implausible loss, engine counts or history length",
			e.Lookback)
	}
	previous := time.Duration(math.MaxInt64)
	for _, sample := range e.History {
		if !sample.plausible() || sample.Age > previous {
			return fmt.Errorf("roles: restore memory: expert with lookback %v: implausible or unordered history", e.Lookback)
		}
		previous = sample.Age
	}
	return nil
}

func (w WorkMemory) plausible() bool {
	return w.Age >= 0 && plausible(w.Prefill) && plausible(w.Decode) && plausible(w.Seconds) && w.Seconds != 0
}

// plausible reports whether v is in the range of measured values. Infinity and NaN are not.
func plausible(v float64) bool { return v >= 0 && v < maxPlausible }
