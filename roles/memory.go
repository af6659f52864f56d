package roles

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"
)

// Memory is what a planner has learned, to be kept where another can find it: experts' pasts and losses, which of them
// leads, what a change takes, and which engines are left alone. It is plain data; times in it are ages at the moment
// when it was taken.
type Memory struct {
	Experts    []ExpertMemory   `json:"experts"`
	Lead       int              `json:"lead"`
	ChangeCost float64          `json:"cost"`  // seconds of an engine that a change takes
	LastSplit  [2]int           `json:"stood"` // readers and writers as the planner left them
	Cooldowns  []CooldownMemory `json:"bars,omitempty"`
}

// ExpertMemory is one expert's part.
type ExpertMemory struct {
	Memory  time.Duration `json:"memory"` // how long it looks back; another program's experts may differ
	Loss    float64       `json:"loss"`
	Readers int           `json:"readers"`
	Writers int           `json:"writers"`
	Past    []PastMemory  `json:"past"` // oldest first
}

// PastMemory is the work of some time, in engines times seconds.
type PastMemory struct {
	Age     time.Duration `json:"age"`
	Reading float64       `json:"reading"`
	Writing float64       `json:"writing"`
	Seconds float64       `json:"seconds"`
}

// CooldownMemory is an engine that is left alone.
type CooldownMemory struct {
	ID        string        `json:"id"`
	Remaining time.Duration `json:"left"`
	Pause     time.Duration `json:"pause"`
}

// maxBars bounds the engines that a memory names.
const maxBars = 10000

// Memory gives what the planner knows. ok is false before it has seen a fleet that it believes.
func (p *Planner) Memory() (m Memory, ok bool) {
	m = Memory{Lead: p.lead, ChangeCost: p.cost, LastSplit: p.stood}
	for _, x := range p.experts {
		if !x.started {
			return Memory{}, false
		}
		e := ExpertMemory{Memory: x.memory, Loss: x.loss, Readers: x.readers, Writers: x.writers}
		for _, c := range x.coming { // they will have come
			if c.to == Prefill {
				e.Readers++
			} else {
				e.Writers++
			}
		}
		for _, w := range x.past {
			e.Past = append(e.Past, PastMemory{p.now - w.at, w.reading, w.writing, w.seconds})
		}
		m.Experts = append(m.Experts, e)
	}
	for id, b := range p.cooldowns {
		if b.until > p.now && len(m.Cooldowns) < maxBars {
			m.Cooldowns = append(m.Cooldowns, CooldownMemory{id, b.until - p.now, b.pause})
		}
	}
	slices.SortFunc(m.Cooldowns, func(a, b CooldownMemory) int { return cmp.Compare(a.ID, b.ID) })
	return m, true
}

// Recall gives a planner that has seen nothing yet what another had learned at an age ago. A memory that can't be right
// is refused whole, and the planner begins as a new one does. now is what the next Step will be given, or less.
func (p *Planner) Recall(m Memory, age, now time.Duration) error {
	switch {
	case p.began:
		return errors.New("roles: memory: the planner has begun already")
	case age < 0:
		return errors.New("roles: memory: it comes from the future")
	case len(m.Experts) != len(p.experts) || m.Lead < 0 || m.Lead >= len(p.experts):
		return fmt.Errorf("roles: memory: %d experts, lead %d; this planner has %d", len(m.Experts), m.Lead, len(p.experts))
	case !plain(m.ChangeCost) || m.ChangeCost > p.set.ChangeTimeout.Seconds():
		return fmt.Errorf("roles: memory: a change of %v s", m.ChangeCost)
	case m.LastSplit[0] < 0 || m.LastSplit[1] < 0 || len(m.Cooldowns) > maxBars:
		return errors.New("roles: memory: engines that can't be")
	}
	for i, e := range m.Experts {
		if err := e.check(p.experts[i].memory); err != nil {
			return err
		}
	}
	for _, b := range m.Cooldowns {
		if b.Remaining < 0 || b.Pause < 0 || b.Remaining > barMost || b.Pause > barMost {
			return fmt.Errorf("roles: memory: engine %s is left alone for %v of %v", b.ID, b.Remaining, b.Pause)
		}
	}
	for i, e := range m.Experts {
		x := p.experts[i]
		x.readers, x.writers, x.loss, x.started = e.Readers, e.Writers, e.Loss*math.Exp(-age.Seconds()/x.losses.Seconds()), true
		for _, w := range e.Past {
			x.past = append(x.past, work{at: now - age - w.Age, reading: w.Reading, writing: w.Writing, seconds: w.Seconds})
		}
	}
	for _, b := range m.Cooldowns {
		if b.Remaining > age {
			p.cooldowns[b.ID] = cooldown{now + b.Remaining - age, b.Pause}
		}
	}
	p.lead, p.cost, p.stood = m.Lead, m.ChangeCost, m.LastSplit
	return nil
}

func (e *ExpertMemory) check(memory time.Duration) error {
	switch {
	case e.Memory != memory:
		return fmt.Errorf("roles: memory: an expert that looks back %v where %v is meant", e.Memory, memory)
	case !plain(e.Loss) || e.Readers < 0 || e.Writers < 0 || len(e.Past) == 0 || len(e.Past) > 4*buckets:
		return fmt.Errorf("roles: memory: the expert that looks back %v: figures that can't be", e.Memory)
	}
	last := time.Duration(math.MaxInt64)
	for _, w := range e.Past {
		if w.Age < 0 || w.Age > last || !plain(w.Reading) || !plain(w.Writing) || !plain(w.Seconds) || w.Seconds == 0 {
			return fmt.Errorf("roles: memory: the expert that looks back %v: a past that can't be", e.Memory)
		}
		last = w.Age
	}
	return nil
}

func plain(v float64) bool { return v >= 0 && v < 1e15 } // false for what is no number
