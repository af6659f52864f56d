package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/roles"
	"brackenbend/routing"
)

// register lists the engines to the fronts, and carries out what the day's script does to engines and fronts: it is the
// only party that does.
type register struct {
	base
	tap
	f      *fleet
	rnd    *rand.Rand // the script's draws, as on sockets
	links  *rand.Rand
	lines  []line
	late   time.Duration
	cut    bool
	down   map[int]bool    // fronts
	wrote  []time.Duration // by front: when the newest word was written to it, and when it is heard
	heard  []time.Duration
	book   roles.Assignments
	kinds  map[roles.Role]int // where engines change role
	memory left
}

// line is what the register knows of an engine.
type line struct {
	up, unlisted, draining bool
	started                time.Duration // 0 = long ago
	faulty                 int
	harmful                bool // the health oracle tells fronts so
	flaps                  int  // counts beginnings and ends of flapping; it flaps while odd
}

// What the register says to others.
type (
	// news is a list: of one engine (Changes), or of all.
	news struct {
		scope   routing.ListScope
		engines []listed
	}
	listed struct {
		engine  int
		kind    int
		state   routing.EndpointState
		started time.Duration
	}
	// harm changes what is wrong with an engine.
	harm struct {
		what   string
		on     bool
		part   float64
		factor float64
		class  string
	}
	// signal ends a front, or starts it anew.
	signal struct{ what string }
)

// What it hears, or says to itself.
type (
	// state is an engine's word that its process began or ended by itself.
	wentDown struct{ engine int }
	cameUp   struct {
		engine  int
		started time.Duration
	}
	// wants is a front that asks for the whole list.
	wants  struct{ front int }
	strike struct{ do func() }
)

func newRegister(f *fleet) *register {
	return &register{f: f, rnd: rand.New(rand.NewPCG(uint64(f.d.Seed), 1)), links: f.rnd(2), down: map[int]bool{}, tap: tap{taped: f.o.Audit}}
}

func (r *register) begin() {
	r.lines = make([]line, len(r.f.engines))
	r.wrote, r.heard = make([]time.Duration, len(r.f.fronts)), make([]time.Duration, len(r.f.fronts))
	for i, e := range r.f.engines {
		r.lines[i].up = true
		r.record(0, audit.Event{Kind: audit.EngineStarted, Engine: e.name})
	}
	for i := range r.f.fronts {
		r.tell(i)
	}
	hs := slices.Clone(r.f.d.Faults)
	slices.SortStableFunc(hs, func(a, b scenario.Fault) int { return cmp.Compare(a.At, b.At) })
	for i := range hs {
		h := &hs[i]
		calm := scenario.NormalConditions()
		if calm.Change(h) != nil { // the clients' own
			continue
		}
		r.later(h.At, strike{func() {
			if undo := r.strike(h); undo != nil {
				r.later(h.For, strike{undo})
			}
		}})
	}
}

func (r *register) take(m any) {
	switch m := m.(type) {
	case strike:
		m.do()
	case wentDown:
		r.lines[m.engine].up = false
		r.changed(m.engine)
	case cameUp:
		r.lines[m.engine].up, r.lines[m.engine].started = true, m.started
		r.changed(m.engine)
	case wants:
		r.tell(m.front)
	default:
		r.ofRoles(m)
	}
}

// listed is an engine as the list has it: the register's own news, bent by the book.
func (r *register) listed(i int) listed {
	e, l := r.f.engines[i], r.lines[i]
	out := listed{i, r.f.set.KindIndex(e.kind.Name), r.state(i), l.started}
	if b, ok := r.book.Entries[e.name]; ok {
		out.kind = r.kinds[b.Role]
		if out.state == routing.EndpointReady && !b.Serving {
			out.state = routing.EndpointDraining
		}
		if b.ReopenedAt > 0 {
			out.started = max(out.started, b.ReopenedAt-epoch)
		}
	}
	return out
}

func (r *register) state(i int) routing.EndpointState {
	switch l := &r.lines[i]; {
	case l.unlisted || !l.up:
		return routing.EndpointGone
	case l.draining || l.harmful:
		return routing.EndpointDraining
	}
	return routing.EndpointReady
}

// changed tells every front of one engine.
func (r *register) changed(engine int) {
	if r.cut {
		return
	}
	n := news{routing.ListChanges, []listed{r.listed(engine)}}
	for i := range r.f.fronts {
		if !r.down[i] {
			r.give(i, n)
		}
	}
}

// tell gives a front the whole list.
func (r *register) tell(front int) {
	if r.cut || r.down[front] {
		return
	}
	n := news{scope: routing.ListFull}
	for i := range r.lines {
		n.engines = append(n.engines, r.listed(i))
	}
	r.give(front, n)
}

func (r *register) give(front int, n news) {
	x := r.f.fronts[front]
	// one stream to each front: what is late holds up what comes after it
	r.wrote[front] = max(r.wrote[front], r.now()+r.late)
	heard := r.wrote[front] + r.f.hop(r.links)
	heard = max(heard, r.heard[front])
	for _, l := range n.engines { // drains count once they were heard, readiness from when it was written
		if l.state == routing.EndpointReady {
			r.record(r.wrote[front], audit.Event{Kind: audit.NotifiedReady, Replica: x.name, Engine: r.f.engines[l.engine].name})
		} else {
			r.record(heard, audit.Event{Kind: audit.NotifiedGone, Replica: x.name, Engine: r.f.engines[l.engine].name})
		}
	}
	r.heard[front] = heard
	r.send(x.id, heard-r.now(), n)
}

// pick draws engines for a happening as a day on sockets does.
func (r *register) pick(h *scenario.Fault) []int {
	var all []int
	for i, e := range r.f.engines {
		if l := &r.lines[i]; (h.Kind == "" || e.kind.Name == h.Kind) && l.up && l.faulty == 0 && !l.draining {
			all = append(all, i)
		}
	}
	return scenario.Draw(h, r.rnd, all)
}

// strike begins a happening and gives what ends it.
func (r *register) strike(h *scenario.Fault) (undo func()) {
	switch h.What {
	case "front-kill", "front-stop":
		return r.fronts(h)
	case "register-cut":
		r.cut = true
		return func() {
			r.cut = false
			for i := range r.f.fronts { // each when its pause is over
				most := min(h.For, 5*time.Second)
				r.later(time.Duration(r.links.Float64()*float64(most)), strike{func() { r.tell(i) }})
			}
		}
	case "register-late":
		r.late = h.Late
		return func() { r.late = 0 }
	case "register-compact": // watches end, and fronts ask for the whole list
		for i := range r.f.fronts {
			r.tell(i)
		}
		return nil
	case "planner-stop":
		r.toPlanners(signal{"stop"})
		return func() { r.toPlanners(signal{"start"}) }
	case "role-force":
		for _, i := range r.pick(h) {
			r.force(r.f.engines[i].name)
		}
		return nil
	}
	picked := r.pick(h)
	told := r.tellsHarm(h, len(picked))
	for _, i := range picked {
		r.lines[i].faulty++
		if told {
			r.lines[i].harmful = true
			r.changed(i)
		}
		r.harm(i, h, true)
	}
	return func() {
		for _, i := range picked {
			r.harm(i, h, false)
			r.lines[i].faulty--
			if told {
				r.lines[i].harmful = false
				r.changed(i)
			}
		}
	}
}

func (r *register) harm(i int, h *scenario.Fault, on bool) {
	l := &r.lines[i]
	switch h.What {
	case "drain":
		l.draining = on
		r.changed(i)
		return
	case "remove", "register-stale": // the old word that comes after a removal is older than what fronts know, and passed over
		l.unlisted = on
		r.changed(i)
		return
	case "register-flap":
		l.flaps++
		r.flap(i, l.flaps)
		return
	case "reports-frozen", "reports-none": // no front decides by them
		return
	case "crash":
		if on { // the register hears of a process's end as soon as others do
			l.up = false
			r.changed(i)
		}
	}
	r.send(r.f.engines[i].id, r.f.hop(r.links), harm{h.What, on, h.Part, h.Factor, h.Class})
}

// flap takes an engine off the list or puts it back, and again while it flaps.
func (r *register) flap(i, of int) {
	l := &r.lines[i]
	switch {
	case l.flaps != of:
		return
	case of%2 == 0:
		l.unlisted = false
	default:
		l.unlisted = !l.unlisted
		r.later(scenario.FlapInterval, strike{func() { r.flap(i, of) }})
	}
	r.changed(i)
}

// fronts kills or stops some.
func (r *register) fronts(h *scenario.Fault) func() {
	var picked []int
	for _, i := range r.rnd.Perm(len(r.f.fronts)) {
		if !r.down[i] && len(picked) < max(h.Count, 1) {
			picked = append(picked, i)
			r.down[i] = true
			r.send(r.f.fronts[i].id, r.f.hop(r.links), signal{h.What})
		}
	}
	return func() {
		for _, i := range picked {
			r.send(r.f.fronts[i].id, r.f.hop(r.links), signal{"start"})
			r.down[i] = false
		}
	}
}
