package fleet

import (
	"errors"
	"slices"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// Oracles give fronts what no front can know, each of them one thing, so that what is lost for want of it can be counted.
// They stand between the module's decision and its carrying out: the module itself is as ever, and does not learn that
// another engine was taken. They look into other parties, so a day with one is played on one shard.
type Oracles struct {
	KnowPrefillLoad bool // a read goes to the sound warm reader where it would end first, whatever other fronts have there
	KnowDecodeLoad  bool // an answer goes to the sound warm writer with the fewest streams of all fronts
	KnowHealth      bool // fronts are told at once which engines do harm
	KnowSlowStart   bool // fronts know together what a cold engine can take, and take no other care of it
	NoLoadShedding  bool // nothing is refused on arrival, nor called off for lateness
	NoTimeouts      bool // an attempt at a sound engine has all the time that its client has
}

func (o Oracles) any() bool { return o != Oracles{} }

func (o Oracles) check(shards int) error {
	if o.any() && shards > 1 {
		return errors.New("fleet: oracles look into other parties; play the day on one shard")
	}
	return nil
}

// settings are what the module is told where oracles take its care away.
func (o Oracles) settings(s *routing.Config) {
	if o.KnowSlowStart {
		s.SlowStartFor = 0
	}
	if o.NoLoadShedding {
		for i := range s.Classes {
			s.Classes[i].LateWeight = 1
		}
	}
}

// coming is work that fronts have sent by an oracle and that has not arrived.
type coming struct {
	seconds float64
	streams int
}

// coldMost is the part of what tips a cold engine over that an oracle lets it have.
const coldMost = 0.5

// better is the engine that an oracle takes in place of the module's; picked where none knows better.
func (x *front) better(fl *flight, picked int) int {
	o := x.f.o.Oracles
	role := x.f.cs.Kinds[x.known[picked].kind].Role
	p := x.f.engines[picked]
	cold := p.m.Present() < 1
	if !o.any() || role == routing.RoleMixed || !p.sound() || role == routing.RoleDecode && x.unsafe(fl) && x.wrote(fl) {
		return picked
	}
	if cold && !o.KnowSlowStart || !cold && (role == routing.RolePrefill && !o.KnowPrefillLoad || role == routing.RoleDecode && !o.KnowDecodeLoad) {
		return picked
	}
	w := &fl.msg.work
	j := &enginemodel.Job{Prompt: w.prompt, Prefix: w.prefix, PrefixLen: w.prefixLen, Session: w.session, Out: w.out, ReadOnly: role == routing.RolePrefill}
	if role == routing.RoleDecode && fl.at.reader >= 0 {
		j.FetchState = max(j.Prompt, 1)
	}
	best, least := picked, 0.0
	for i, l := range x.known {
		e := x.f.engines[i]
		if l.state != routing.EndpointReady || x.f.cs.Kinds[l.kind].Role != role || !e.sound() || e.m.Present() < 1 && !o.KnowSlowStart || e.m.Near(j, coldMost) {
			continue
		}
		cost := float64(e.m.Working()+e.coming.streams+1) / e.m.Present()
		if role == routing.RolePrefill {
			cost = (e.m.Ahead(j) + e.coming.seconds) / e.m.Present()
		}
		if least == 0 || cost < least || cost == least && i == picked {
			best, least = i, cost
		}
	}
	e := x.f.engines[best]
	own := e.m.Ahead(j) - e.m.Ahead(&enginemodel.Job{FetchState: 1, ReadOnly: true})
	e.coming.seconds += own
	e.coming.streams++
	e.later(2*x.f.o.Link, arrived{own})
	return best
}

// arrived is when a send that an oracle took to an engine has surely arrived.
type arrived struct{ seconds float64 }

func (e *engine) hasArrived(m arrived) {
	e.coming.seconds -= m.seconds
	e.coming.streams--
}

// sound tells that nothing is wrong with the engine.
func (e *engine) sound() bool { return e.up && !e.deaf && len(e.faults) == 0 && !e.leaving() }

// wrote tells whether an attempt of a flight went to a writer.
func (x *front) wrote(fl *flight) bool {
	return slices.ContainsFunc(fl.attempts, func(a *attempt) bool {
		return x.f.cs.Kinds[x.known[a.engine].kind].Role == routing.RoleDecode
	})
}

// tellsHarm tells whether the health oracle takes the engines of a happening off the list: where they do harm, and others
// of their kind are left.
func (r *register) tellsHarm(h *scenario.Fault, struck int) bool {
	if !r.f.o.Oracles.KnowHealth {
		return false
	}
	switch h.What {
	case "drain", "remove", "crash", "forget", "silent-restart", "role-force":
		return false
	}
	left := 0
	for i, e := range r.f.engines {
		if l := &r.lines[i]; (h.Kind == "" || e.kind.Name == h.Kind) && l.up && !l.harmful {
			left++
		}
	}
	return left >= 2*struck
}
