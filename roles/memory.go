package roles

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// maxStoredCooldowns bounds the cooldowns in a Memory, and so the size of its stored form.
const maxStoredCooldowns = 10000

// maxPlausible bounds the figures of a Memory that is restored: far above anything measured, and far below where sums
// lose precision.
const maxPlausible = 1e15

// Memory is what a planner has learned, to be stored where its successor finds it: the experts' history and losses,
// the leading expert, what a change takes, and which engines are in cooldown. It is plain data; times in it are ages
// at the moment when it was taken.
type Memory struct {
	Experts    []ExpertMemory   `json:"experts"`
	Leader     int              `json:"lead"`
	ChangeCost float64          `json:"cost"`  // seconds of an engine that a change takes
	LastSplit  [2]int           `json:"stood"` // prefill and decode engines after the planner's last step
	Cooldowns  []CooldownMemory `json:"bars,omitempty"`
}

// ExpertMemory is one expert's part of a Memory.
type ExpertMemory struct {
	Lookback time.Duration `json:"memory"` // its lookback; another version's experts may differ
	Loss     float64       `json:"loss"`
	Readers  int           `json:"readers"`
	Writers  int           `json:"writers"`
	History  []WorkMemory  `json:"past"` // oldest first
}

// WorkMemory is the work of some time, in engine seconds.
type WorkMemory struct {
	Age     time.Duration `json:"age"`
	Reading float64       `json:"reading"`
	Writing float64       `json:"writing"`
	Seconds float64       `json:"seconds"`
}

// CooldownMemory is an engine in cooldown.
type CooldownMemory struct {
	ID        string        `json:"id"`
	Remaining time.Duration `json:"left"`
	Pause     time.Duration `json:"pause"`
}

// Memory returns what the planner has learned. ok is false before the planner has made a plan from trusted reports.
func (p *Planner) Memory() (m Memory, ok bool) {
	m = Memory{
		Leader: p.leader, ChangeCost: p.changeSeconds, LastSplit: [2]int{p.lastSplit.readers, p.lastSplit.writers},
	}
	for _, x := range p.experts {
		if !x.started {
			return Memory{}, false
		}
		m.Experts = append(m.Experts, x.export(p.now))
	}
	for id, c := range p.cooldowns {
		if c.until > p.now && len(m.Cooldowns) < maxStoredCooldowns {
			m.Cooldowns = append(m.Cooldowns, CooldownMemory{ID: id, Remaining: c.until - p.now, Pause: c.pause})
		}
	}
	slices.SortFunc(m.Cooldowns, func(a, b CooldownMemory) int { return cmp.Compare(a.ID, b.ID) })
	return m, true
}

// export is the expert's memory at now. Pending simulated changes count as done.
func (x *expert) export(now time.Duration) ExpertMemory {
	wanted := x.wantedReaders()
	e := ExpertMemory{
		Lookback: x.lookback, Loss: x.loss, Readers: wanted, Writers: x.readers + x.writers + len(x.pending) - wanted,
	}
	for _, s := range x.history {
		e.History = append(e.History, WorkMemory{
			Age: now - s.start, Reading: s.prefill, Writing: s.decode, Seconds: s.seconds,
		})
	}
	return e
}

// Restore gives a planner that has not planned yet what another had learned, age ago. An implausible memory is refused
// as a whole, and the planner starts as a new one does. now must not be later than the time of the next Step.
func (p *Planner) Restore(m Memory, age, now time.Duration) error {
	if p.started {
		return errors.New("roles: memory: the planner has begun already")
	}
	if age < 0 {
		return errors.New("roles: memory: it comes from the future")
	}
	if err := p.checkMemory(m); err != nil {
		return err
	}
	for i, e := range m.Experts {
		p.experts[i].restore(e, age, now)
	}
	for _, c := range m.Cooldowns {
		if c.Remaining > age {
			p.cooldowns[c.ID] = cooldown{until: now + c.Remaining - age, pause: c.Pause}
		}
	}
	p.leader, p.changeSeconds = m.Leader, m.ChangeCost
	p.lastSplit = split{readers: m.LastSplit[0], writers: m.LastSplit[1]}
	return nil
}

func (x *expert) restore(e ExpertMemory, age, now time.Duration) {
	x.readers, x.writers, x.started = e.Readers, e.Writers, true
	x.loss = e.Loss * math.Exp(-age.Seconds()/x.lossWindow.Seconds())
	for _, past := range e.History {
		x.history = append(x.history, workSample{
			start: now - age - past.Age, prefill: past.Reading, decode: past.Writing, seconds: past.Seconds,
		})
	}
}

// checkMemory returns an error if m is implausible for this planner.
func (p *Planner) checkMemory(m Memory) error {
	switch {
	case len(m.Experts) != len(p.experts) || m.Leader < 0 || m.Leader >= len(p.experts):
		return fmt.Errorf("roles: memory: %d experts, lead %d; this planner has %d",
			len(m.Experts), m.Leader, len(p.experts))
	case !plausible(m.ChangeCost) || m.ChangeCost > p.config.ChangeTimeout.Seconds():
		return fmt.Errorf("roles: memory: a change of %v s", m.ChangeCost)
	case m.LastSplit[0] < 0 || m.LastSplit[1] < 0 || len(m.Cooldowns) > maxStoredCooldowns:
		return errors.New("roles: memory: engines that can't be")
	}
	for i, e := range m.Experts {
		if err := e.check(p.experts[i].lookback); err != nil {
			return err
		}
	}
	for _, c := range m.Cooldowns {
		if c.Remaining < 0 || c.Pause < 0 || c.Remaining > maxCooldown || c.Pause > maxCooldown {
			return fmt.Errorf("roles: memory: engine %s is left alone for %v of %v", c.ID, c.Remaining, c.Pause)
		}
	}
	return nil
}

// check returns an error if e is implausible for an expert with the given lookback.
func (e *ExpertMemory) check(lookback time.Duration) error {
	// One history is historyBuckets samples; the limit leaves room for irregular steps and refuses anything larger.
	const maxSamples = 4 * historyBuckets
	switch {
	case e.Lookback != lookback:
		return fmt.Errorf("roles: memory: an expert that looks back %v where %v is meant", e.Lookback, lookback)
	case !plausible(e.Loss) || e.Readers < 0 || e.Writers < 0 || len(e.History) == 0 || len(e.History) > maxSamples:
		return fmt.Errorf("roles: memory: the expert that looks back %v: figures that can't be", e.Lookback)
	}
	previous := time.Duration(math.MaxInt64)
	for _, past := range e.History {
		if !past.plausible() || past.Age > previous {
			return fmt.Errorf("roles: memory: the expert that looks back %v: a past that can't be", e.Lookback)
		}
		previous = past.Age
	}
	return nil
}

func (w WorkMemory) plausible() bool {
	return w.Age >= 0 && plausible(w.Reading) && plausible(w.Writing) && plausible(w.Seconds) && w.Seconds != 0
}

// plausible is false for negative and infinite values, and for NaN.
func plausible(v float64) bool { return v >= 0 && v < maxPlausible }
