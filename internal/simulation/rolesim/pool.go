package rolesim

import (
	"math"

	"brackenbend/roles"
)

// pool finds the engine of a stage with the most room without looking at the whole fleet: engines that are up, by how
// many requests they have at work.
type pool struct {
	by [][]*engine
}

func (p *pool) add(e *engine, stage int) {
	for len(p.by) <= e.n {
		p.by = append(p.by, nil)
	}
	e.pos[stage] = len(p.by[e.n])
	p.by[e.n] = append(p.by[e.n], e)
}

func (p *pool) remove(e *engine, stage int) {
	row := p.by[e.n]
	last := row[len(row)-1]
	row[e.pos[stage]] = last
	last.pos[stage] = e.pos[stage]
	p.by[e.n] = row[:len(row)-1]
}

// in and out put an engine into the pools that it belongs to, and take it out; whatever changes its state, role or
// number of requests stands between the two.
func (x *sim) in(e *engine) {
	if e.state != up {
		return
	}
	for stage, does := range [2]bool{e.role.Prefills(), e.role.Decodes()} {
		if does {
			x.pools[stage].add(e, stage)
		}
	}
}

func (x *sim) out(e *engine) {
	if e.state != up {
		return
	}
	for stage, does := range [2]bool{e.role.Prefills(), e.role.Decodes()} {
		if does {
			x.pools[stage].remove(e, stage)
		}
	}
}

// take gives e one more request.
func (x *sim) take(e *engine, n int) {
	x.count(e)
	x.out(e)
	e.n += n
	x.in(e)
}

// free is the engine of a role with the fewest requests among those with room, nil where none has any. A cold engine
// has less room than its slots.
func (x *sim) free(role roles.Role) *engine {
	stage, room := 0, 1
	if role == roles.Decode {
		stage, room = 1, x.s.Slots
	}
	for n, row := range x.pools[stage].by {
		if n >= room {
			return nil
		}
		for _, e := range row {
			if role == roles.Prefill || float64(n) < math.Floor(float64(x.s.Slots)*x.present(e)) {
				return e
			}
		}
	}
	return nil
}
