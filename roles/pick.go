package roles

import (
	"fmt"
	"math"
	"slices"
)

// steer turns the wanted number of readers into changes of engines, within the stated rate.
func (p *Planner) steer(f *fleet, plan *Plan) {
	p.callOff(f, plan)
	if p.rescue(f, plan) {
		return
	}
	atOnce := p.atOnce(f)
	if f.moving < atOnce {
		p.refute(f, plan)
	}
	p.settle(f, plan)
	if len(plan.Changes) > 0 || !f.believed {
		return
	}
	from, to, want := Decode, Prefill, plan.Readers-f.readers
	if want < 0 {
		from, to, want = Prefill, Decode, -want
	}
	want -= p.turned(f, plan, to, want)
	for range max(min(want, atOnce-f.moving), 0) {
		e := p.pick(f, from, to, false)
		if e == nil {
			return
		}
		p.change(f, plan, e, to, p.why(f, "shift"))
	}
}

// atOnce is how many engines may be on their way.
func (p *Planner) atOnce(f *fleet) int {
	return max(1, int(p.set.MaxConcurrent*float64(f.readers+f.writers+f.both)))
}

// change begins a move.
func (p *Planner) change(f *fleet, plan *Plan, e *Engine, to Role, why string) {
	p.moves[e.ID] = &move{to: to, since: p.now}
	plan.Changes = append(plan.Changes, Change{e.ID, to, why})
	f.count(e.Target, -1)
	f.count(to, 1)
	e.Target = to
	f.moving++
}

func (f *fleet) count(r Role, n int) {
	switch r {
	case Prefill:
		f.readers += n
	case Decode:
		f.writers += n
	default:
		f.both += n
	}
}

// callOff gives up moves that take too long; the engine is left alone for a while.
func (p *Planner) callOff(f *fleet, plan *Plan) {
	for i := range f.engines {
		e := &f.engines[i]
		if m := p.moves[e.ID]; m != nil && e.moving() && !m.off && p.now-m.since > p.set.ChangeTimeout {
			p.off(f, plan, e, m)
			p.startCooldown(e.ID)
		}
	}
}

func (p *Planner) off(f *fleet, plan *Plan, e *Engine, m *move) {
	m.off = true
	plan.Reverts = append(plan.Reverts, e.ID)
	f.count(e.Target, -1)
	f.count(e.Role, 1)
	f.moving--
	e.Target = e.Role
}

// turned calls off moves away from the role that is wanted now, want at most, rather than move others; it tells how many.
func (p *Planner) turned(f *fleet, plan *Plan, to Role, want int) (n int) {
	for i := range f.engines {
		e := &f.engines[i]
		if m := p.moves[e.ID]; n < want && m != nil && !m.off && e.moving() && e.Role == to && e.Target != Both {
			p.off(f, plan, e, m)
			n++
		}
	}
	return n
}

// rescue keeps at least one reader and one writer: where a stage has no engine at all, the one that can do it changes
// now, whatever the figures say and however short it has stayed. The last engine of a stage does both.
func (p *Planner) rescue(f *fleet, plan *Plan) bool {
	if f.both > 0 || f.readers > 0 && f.writers > 0 {
		return false
	}
	from, to := Decode, Prefill
	if f.writers == 0 {
		from, to = Prefill, Decode
	}
	have := max(f.readers, f.writers)
	if have == 0 {
		return false
	}
	if have == 1 {
		to = Both
	}
	if e := p.pick(f, from, to, true); e != nil {
		p.change(f, plan, e, to, fmt.Sprintf("nothing is left to %s", map[Role]string{Prefill: "write", Decode: "read"}[from]))
		return true
	}
	return false
}

// settle gives engines that do both one role again once each stage has an engine of its own.
func (p *Planner) settle(f *fleet, plan *Plan) {
	if f.readers+f.writers < 1 || f.moving > 0 {
		return
	}
	e := p.pick(f, Both, Both, false)
	if e == nil {
		return
	}
	switch {
	case f.readers == 0:
		p.change(f, plan, e, Prefill, "the other stage has engines again")
	case f.writers == 0:
		p.change(f, plan, e, Decode, "the other stage has engines again")
	case f.believed && f.reading/float64(f.readers) > f.writing/float64(f.writers):
		p.change(f, plan, e, Prefill, p.why(f, "each stage has engines again"))
	default:
		p.change(f, plan, e, Decode, p.why(f, "each stage has engines again"))
	}
}

// refute finds an engine that says that it changed and does nothing of its new stage while its peers are at work, and
// gives it its old role back.
func (p *Planner) refute(f *fleet, plan *Plan) {
	if !f.believed {
		return
	}
	for i := range f.engines {
		e := &f.engines[i]
		m := p.meters[e.ID]
		age, proven := p.now-e.ChangedAt, max(proveWithin, p.set.MinDwell)
		if !e.free() || !e.Ready || e.moving() || e.Role == Both || !m.believed || e.ChangedAt == 0 || age < proven || age > 3*proven || p.inCooldown(e.ID) {
			continue
		}
		does, mean, back, peers := m.read, f.reading/float64(max(f.readers, 1)), Decode, f.readers
		if e.Role == Decode {
			does, mean, back, peers = m.write, f.writing/float64(max(f.writers, 1)), Prefill, f.writers
		}
		if peers > 1 && mean > provePeers && does < proveIdle*mean {
			p.startCooldown(e.ID)
			p.change(f, plan, e, back, fmt.Sprintf("does nothing as %v (%.3f of %.2f) while its peers do", e.Role, does, mean))
			return
		}
	}
}

// pick finds the engine that changes from one role to another with the least harm: where its role is crowded against the
// other, then with the least held, then the one that has stayed longest. In need the stated rate does not bind.
func (p *Planner) pick(f *fleet, from, to Role, need bool) *Engine {
	crowd := map[int]float64{}
	for i := range f.engines {
		switch e := &f.engines[i]; {
		case !e.Ready:
		case e.Target == from:
			crowd[e.Cell]++
		case e.Target == to:
			crowd[e.Cell]--
		}
	}
	var best *Engine
	var bestRank [3]float64
	for i := range f.engines {
		e := &f.engines[i]
		if e.Target != from || !e.free() || !e.Ready || e.moving() || p.moves[e.ID] != nil {
			continue
		}
		stayed := p.now - e.ChangedAt
		if !need && (p.inCooldown(e.ID) || e.ChangedAt > 0 && stayed < p.set.MinDwell) {
			continue
		}
		rank := [3]float64{-crowd[e.Cell], float64(e.Outstanding), -math.Min(stayed.Seconds(), 86400)}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = e, rank
		}
	}
	return best
}
