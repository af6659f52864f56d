package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// Engines that change role: the planner, the book and the seat are those of package roles, the planner's view is that of
// internal/planner; here they speak by messages.

// RoleSample is how the engines that change stood at a look.
type RoleSample struct {
	At                         time.Duration
	Readers, Writers, Changing int
	Reading, Writing           float64 // work asked for, in engines
	Orders                     uint64
}

type (
	asksStatus struct{ from int32 }
	asksLost   struct{ from int32 }
	asksView   struct{ from int32 }
	status     struct {
		engine string
		word   planner.Status
	}
	lostCounts struct {
		front string
		lost  [2]float64
	}
	tellsRole struct{ tell roles.Command }
	writes    struct {
		from int32
		book roles.Assignments
	}
	wrote struct {
		book roles.Assignments
		ok   bool
	}
	// left is what a planner learned, and when.
	left struct {
		at     time.Duration
		memory roles.Memory
		ok     bool
	}
	views struct {
		view   planner.View
		memory left
	}
	tick  struct{ run int }
	think struct{ run int }
)

// shift makes the engines of the kinds that shift ones that may change, and the book that says so.
func (f *fleet) shift() {
	params, names := f.d.ChangingRoles()
	if names == nil {
		return
	}
	kinds := map[roles.Role]int{}
	for role, name := range names {
		kinds[role] = f.set.KindIndex(name)
	}
	f.register.kinds, f.register.book.Entries = kinds, map[string]roles.Assignment{}
	for _, e := range f.engines {
		if e.kind.ChangesRole {
			r := e.kind.ServedRole()
			e.byRole, e.seat = params, roles.EngineState{Role: r, Target: r}
			e.becomes(r)
			e.fresh(0, false)
			f.register.book.Entries[e.name] = roles.Assignment{Role: r, Target: r, Serving: true, CanPrefill: true, CanDecode: true}
		}
	}
}

// becomes takes the parameters of a role.
func (e *engine) becomes(r roles.Role) {
	if p, ok := e.byRole[r]; ok {
		e.par = p
	}
}

// adds tells that the engine is only to take on a stage more.
func (e *engine) adds() bool { return e.seat.Target == roles.Both && e.seat.Role != roles.Both }

// leaving tells that it takes no new work, since it is on its way to another role.
func (e *engine) leaving() bool {
	return e.byRole != nil && (!e.seat.Serves(e.seat.Role) || e.switching && !e.adds())
}

// emptied begins the switch once nothing is left of the old role.
func (e *engine) emptied() {
	busy := e.m.Working() > 0 || e.m.States() > 0
	if e.byRole == nil || e.switching || e.seat.StatusReport().Serving || busy && !e.adds() || !e.up {
		return
	}
	e.switching = true
	e.turn++
	e.later(cmp.Or(e.f.d.Planner.SwitchTime, time.Second), switched{e.turn, e.adds()})
}

func (e *engine) switchedTo(m switched) {
	if m.turn != e.turn || !e.up {
		return
	}
	e.m.Advance(e.now())
	e.switching = false
	if m.added != e.adds() { // another order came meanwhile
		return
	}
	was := e.par
	e.seat = e.seat.FinishDraining()
	e.becomes(e.seat.Role)
	if m.added {
		e.m.Become(e.now(), e.par)
		return
	}
	if e.liar {
		e.par = was
	}
	w := e.m.Work()
	e.m = enginemodel.New(e.par, e.now(), true)
	e.m.Resume(w)
}

func (e *engine) tellStatus(to int32) {
	if !e.up || e.byRole == nil {
		return
	}
	e.m.Advance(e.now())
	k := e.m.Work()
	st := planner.Status{
		StatusReport: e.seat.StatusReport(), Outstanding: e.m.Working() + e.m.States(),
		Read:  planner.Stage{Done: k.ReadDone, Waiting: k.ReadWaiting, Lost: k.ReadLost, Count: k.Reads},
		Write: planner.Stage{Done: k.WriteDone, Waiting: k.WriteWaiting, Lost: k.WriteLost, Count: k.Writes},
	}
	st.Serving = st.Serving && !e.switching
	e.send(to, 3*e.f.hop(e.rnd), status{e.name, st})
}

// ofRoles is the register's part.
func (r *register) ofRoles(m any) {
	switch m := m.(type) {
	case asksView:
		if r.cut {
			return
		}
		v := planner.View{Assignments: r.book, Listings: map[string]planner.Listing{}}
		for i, e := range r.f.engines {
			if l := &r.lines[i]; e.byRole != nil && !l.unlisted {
				v.Listings[e.name] = planner.Listing{Locality: fmt.Sprint(e.cell), Up: l.up && !l.draining}
			}
		}
		r.send(m.from, r.f.hop(r.links), views{v, r.memory})
	case writes:
		if r.cut {
			return
		}
		held, err := r.book.Write(m.book)
		if err == nil {
			r.write(held)
		}
		r.send(m.from, r.f.hop(r.links), wrote{held, err == nil})
	case left:
		r.memory = m
	}
}

// write takes a book, and tells the fronts of what it changes.
func (r *register) write(b roles.Assignments) {
	was := r.book
	r.book = b
	for i, e := range r.f.engines {
		if b.Entries[e.name] != was.Entries[e.name] {
			r.changed(i)
		}
	}
}

// force is an operator who forces an engine into the other role, whatever a planner thinks.
func (r *register) force(name string) {
	if b, err := r.book.SwitchStage(name, "forced by the day"); err == nil {
		b.Version++
		r.write(b)
	}
}

func (r *register) toPlanners(s signal) {
	for _, p := range r.f.planners {
		r.send(p.id, r.f.hop(r.links), s)
	}
}

// planners are one planner's process.
type planners struct {
	base
	f   *fleet
	rnd *rand.Rand

	run    int // of its process
	up     bool
	p      *roles.Planner
	words  map[string]planner.Status
	counts map[string][2]float64
	view   *views
	places map[string]int
	lost   planner.LostWork
	kept   time.Duration
	begun  bool
	seen   []RoleSample
}

// keepEvery is how often what was learned is left at the register, as the planner's process does.
const keepEvery = 30 * time.Second

func (p *planners) start() error {
	var err error
	if p.p, err = roles.New(p.f.d.Planner.Settings()); err != nil {
		return err
	}
	p.run++
	p.up, p.begun, p.kept = true, false, p.now()
	p.places, p.lost = map[string]int{}, planner.NewLostWork()
	p.later(time.Duration(p.rnd.Float64()*float64(p.every())), tick{p.run})
	return nil
}

func (p *planners) every() time.Duration { return cmp.Or(p.f.d.Planner.Interval, time.Second) }

func (p *planners) take(m any) {
	switch m := m.(type) {
	case signal:
		if m.what == "stop" {
			p.up = false
		} else if !p.up {
			if err := p.start(); err != nil { // the same settings were taken before
				panic(err)
			}
		}
	case tick:
		if !p.up || m.run != p.run {
			return
		}
		p.words, p.counts, p.view = map[string]planner.Status{}, map[string][2]float64{}, nil
		p.send(p.f.register.id, p.f.hop(p.rnd), asksView{p.id})
		for _, e := range p.f.engines {
			p.send(e.id, 3*p.f.hop(p.rnd), asksStatus{p.id})
		}
		for _, x := range p.f.fronts {
			p.send(x.id, 3*p.f.hop(p.rnd), asksLost{p.id})
		}
		p.later(p.every()/2, think{p.run})
		p.later(p.every(), tick{p.run})
	case views:
		p.view = &m
	case status:
		if p.words != nil {
			p.words[m.engine] = m.word
		}
	case lostCounts:
		if p.counts != nil {
			p.counts[m.front] = m.lost
		}
	case think:
		if p.up && m.run == p.run && p.view != nil {
			p.think()
		}
	case wrote:
		if p.up && m.ok {
			p.tell(m.book)
		}
	}
}

// think is a look of the planner's: what was heard, what is planned, what is written.
func (p *planners) think() {
	now := epoch + p.now()
	if !p.begun {
		p.begun = true
		if m := p.view.memory; m.ok {
			_ = p.p.Restore(m.memory, p.now()-m.at, now) // what can't be right is passed over, as by the process
		}
	}
	book, changed := p.view.view.Assignments, false
	for _, id := range book.Names() {
		if st, ok := p.words[id]; ok {
			var heard bool
			book, heard = book.ApplyStatus(id, st.StatusReport, now)
			changed = changed || heard
		}
	}
	read, write := planner.MeanCosts(p.words)
	var fronts []roles.Replica
	for _, name := range slices.Sorted(maps.Keys(p.counts)) {
		counts := planner.LostCounts{Prefill: p.counts[name][0], Decode: p.counts[name][1]}
		report := *p.lost.Add(name, counts, now, read, write)
		fronts = append(fronts, roles.Replica{ID: name, Report: &report})
	}
	plan := p.p.Step(now, planner.Engines(p.view.view, p.words, p.places, now, now, now), fronts)
	book, done, _ := book.ApplyPlan(plan)
	if changed || len(done.Reverts)+len(done.Changes) > 0 {
		p.send(p.f.register.id, p.f.hop(p.rnd), writes{p.id, book})
	} else {
		p.tell(book)
	}
	p.note(plan, book)
	if p.now()-p.kept >= keepEvery {
		p.kept = p.now()
		if m, ok := p.p.Memory(); ok {
			p.send(p.f.register.id, p.f.hop(p.rnd), left{p.now(), m, true})
		}
	}
}

// tell repeats every order that is not settled.
func (p *planners) tell(b roles.Assignments) {
	tells := map[string]roles.Command{}
	for _, t := range b.PendingCommands() {
		tells[t.ID] = t
	}
	for _, e := range p.f.engines {
		if t, ok := tells[e.name]; ok {
			p.send(e.id, 3*p.f.hop(p.rnd), tellsRole{t})
		}
	}
}

func (p *planners) note(plan roles.Plan, b roles.Assignments) {
	s := RoleSample{At: p.now(), Reading: plan.Reading, Writing: plan.Writing, Orders: b.Orders}
	open, changing := b.CountServing()
	s.Readers, s.Writers, s.Changing = open[roles.Prefill], open[roles.Decode], changing
	p.seen = append(p.seen, s)
}
