package roles

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// town is a small fleet that carries out what a planner says, with totals that grow by the work asked for.
type town struct {
	now     time.Duration
	engines []Engine
	done    map[string]time.Duration // when a move ends
	totals  map[string]*Report
}

func newTown(readers, writers int) *town {
	t := &town{now: time.Hour, done: map[string]time.Duration{}, totals: map[string]*Report{}}
	for i := range readers + writers {
		e := Engine{ID: fmt.Sprintf("e%03d", i), Ready: true, CanPrefill: true, CanDecode: true, Cell: i % 3}
		if i >= readers {
			e.Role, e.Target = Decode, Decode
		}
		t.engines = append(t.engines, e)
		t.totals[e.ID] = &Report{}
	}
	return t
}

func (t *town) count(r Role) (n int) {
	for _, e := range t.engines {
		if e.Ready && e.Role == r && e.Target == r {
			n++
		}
	}
	return n
}

// work lets a second pass in which so much is asked for.
func (t *town) work(reading, writing float64) {
	t.now += time.Second
	share := func(r *Stage, asked float64, n int) {
		u := asked / float64(max(n, 1))
		r.Done += min(u, 1)
		r.Lost += max(u-1, 0)
	}
	for i := range t.engines {
		e := &t.engines[i]
		r := t.totals[e.ID]
		r.At = t.now
		if !e.Ready || e.Target != e.Role {
			continue
		}
		if e.Role.Prefills() {
			share(&r.Read, reading, t.count(Prefill)+t.count(Both))
		}
		if e.Role.Decodes() {
			share(&r.Write, writing, t.count(Decode)+t.count(Both))
		}
	}
	for i := range t.engines {
		e := &t.engines[i]
		if e.Target != e.Role && t.now >= t.done[e.ID] {
			e.Role, e.ChangedAt = e.Target, t.now
		}
		r := *t.totals[e.ID]
		e.Report = &r
	}
}

func (t *town) engine(id string) *Engine {
	for i := range t.engines {
		if t.engines[i].ID == id {
			return &t.engines[i]
		}
	}
	return nil
}

func (t *town) obey(plan Plan, takes time.Duration) {
	for _, id := range plan.Reverts {
		e := t.engine(id)
		e.Target, e.ChangedAt = e.Role, t.now
	}
	for _, c := range plan.Changes {
		e := t.engine(c.ID)
		e.Target = c.Target
		t.done[c.ID] = t.now + takes
	}
}

func newPlanner(t interface{ Fatal(...any) }, s Config) *Planner {
	p, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// TestPlansKeepTheirBounds: random fleets, loads, deaths, pins and broken figures. Each plan changes only engines
// that are free, never more often than is stated unless a stage has no engine at all, never too many at once, and
// leaves each stage an engine where two can serve.
func TestPlansKeepTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTown(rapid.IntRange(1, 12).Draw(t, "readers"), rapid.IntRange(1, 12).Draw(t, "writers"))
		for i := range w.engines {
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				w.engines[i].Pinned = true
			case 1:
				w.engines[i].CanDecode = w.engines[i].Role == Decode
				w.engines[i].CanPrefill = w.engines[i].Role == Prefill
			}
		}
		set := Config{MinDwell: 30 * time.Second, MaxConcurrent: 0.2}
		p := newPlanner(t, set)
		for range 80 {
			load := rapid.Float64Range(0, float64(2*len(w.engines))).Draw(t, "load")
			part := rapid.Float64Range(0, 1).Draw(t, "part")
			w.work(load*part, load*(1-part))
			i := rapid.IntRange(0, len(w.engines)-1).Draw(t, "engine")
			e := &w.engines[i]
			switch rapid.IntRange(0, 12).Draw(t, "trouble") {
			case 0:
				e.Ready = !e.Ready
				e.Target = e.Role
			case 1:
				e.Report = nil
			case 2:
				e.Report.Read.Done = math.NaN()
			case 3:
				e.Report.At -= time.Minute
			case 4:
				e.Report.Write.Waiting = math.Inf(1)
			case 5:
				e.Report = &Report{At: w.now}
			}
			before := append([]Engine(nil), w.engines...)
			need := w.count(Both) == 0 && (going(before, Prefill) == 0 || going(before, Decode) == 0)
			plan := p.Step(w.now, w.engines, nil)
			w.obey(plan, time.Duration(rapid.IntRange(1, 20).Draw(t, "takes"))*time.Second)
			moving := 0
			for _, x := range w.engines {
				if x.Target != x.Role {
					moving++
				}
			}
			for _, c := range plan.Changes {
				var was Engine
				for _, b := range before {
					if b.ID == c.ID {
						was = b
					}
				}
				switch {
				case !was.flexible() || !was.Ready || was.changing():
					t.Fatalf("%+v was changed: %+v", was, c)
				case !need && was.ChangedAt > 0 && w.now-was.ChangedAt < set.MinDwell:
					t.Fatalf("%s changed again after %v: %s", c.ID, w.now-was.ChangedAt, c.Reason)
				case !need && moving > max(1, int(set.MaxConcurrent*float64(len(w.engines)))):
					t.Fatalf("%d on their way at once: %+v", moving, plan)
				}
			}
			can := 0
			for _, x := range w.engines {
				if x.Ready && x.flexible() && !x.changing() {
					can++
				}
			}
			if can >= 2 && going(w.engines, Both) == 0 && (going(w.engines, Prefill) == 0 || going(w.engines, Decode) == 0) {
				t.Fatalf("a stage was left without an engine: %+v of %+v", plan, w.engines)
			}
		}
	})
}

// going counts the engines that have a role or are on their way to it.
func going(es []Engine, r Role) (n int) {
	for _, e := range es {
		if (e.Ready || e.changing()) && e.Target == r {
			n++
		}
	}
	return n
}

// TestSteadyWorkSettles: whatever the work, once it is steady the changes end, near the split with the least loss.
func TestSteadyWorkSettles(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 6 {
		n := 4 + rnd.IntN(20)
		w := newTown(n/2, n-n/2)
		load, part := (0.2+0.6*rnd.Float64())*float64(n), 0.2+0.6*rnd.Float64()
		p := newPlanner(t, Config{})
		late := map[Role]int{}
		for s := range 1800 {
			w.work(load*part, load*(1-part))
			plan := p.Step(w.now, w.engines, nil)
			for _, c := range plan.Changes {
				if s > 1200 {
					late[c.Target]++
				}
			}
			w.obey(plan, 8*time.Second)
		}
		if late[Prefill]+late[Decode] > 1 {
			t.Errorf("%d engines, work %.2f and %.2f: changes to readers and writers after 20 minutes of steady work: %v", n, load*part, load*(1-part), late)
		}
		least := math.Inf(1)
		for x := 1; x < n; x++ {
			least = min(least, Cost(load*part, load*(1-part), x, n-x))
		}
		if got := Cost(load*part, load*(1-part), w.count(Prefill), w.count(Decode)); got > least+0.02*float64(n) {
			t.Errorf("%d engines, work %.2f and %.2f: settled at %d readers with a loss of %.2f engines, %.2f is least", n, load*part, load*(1-part), w.count(Prefill), got, least)
		}
	}
}

// TestNoFiguresNoChanges: missing, late, frozen and non-finite figures are no reason to change.
func TestNoFiguresNoChanges(t *testing.T) {
	for name, spoil := range map[string]func(w *town, e *Engine){
		"missing":      func(_ *town, e *Engine) { e.Report = nil },
		"late":         func(_ *town, e *Engine) { e.Report.At -= time.Minute },
		"frozen":       func(w *town, e *Engine) { e.Report = &Report{At: w.now, Read: Stage{Done: 7, Waiting: 9}} },
		"not a number": func(_ *town, e *Engine) { e.Report.Read.Waiting = math.NaN() },
		"endless":      func(_ *town, e *Engine) { e.Report.Write.Lost = math.Inf(1) },
		"negative":     func(_ *town, e *Engine) { e.Report.Write.Waiting = -1 },
		"of tomorrow":  func(_ *town, e *Engine) { e.Report.At += time.Hour },
	} {
		w := newTown(2, 8)
		p := newPlanner(t, Config{})
		for i := range 200 {
			w.work(6, 1)
			for j := range w.engines {
				spoil(w, &w.engines[j])
			}
			if plan := p.Step(w.now, w.engines, nil); len(plan.Changes) > 0 && (name != "frozen" || i > 30) {
				t.Errorf("%s: %+v", name, plan.Changes)
			}
		}
	}
	w := newTown(2, 8) // and with figures there are changes, or the test shows nothing
	p, changes := newPlanner(t, Config{}), 0
	for range 200 {
		w.work(6, 1)
		plan := p.Step(w.now, w.engines, nil)
		w.obey(plan, 8*time.Second)
		changes += len(plan.Changes)
	}
	if changes == 0 || w.count(Prefill) < 5 {
		t.Errorf("%d changes, %d readers of work for 6", changes, w.count(Prefill))
	}
}

// TestFleetOfTwo: when one of two dies the other does both at once; when it is back each has one role again, no sooner
// than is stated.
func TestFleetOfTwo(t *testing.T) {
	for dead := range 2 {
		w := newTown(1, 1)
		p := newPlanner(t, Config{MinDwell: 30 * time.Second})
		step := func(n int) {
			for range n {
				w.work(0.3, 0.3)
				w.obey(p.Step(w.now, w.engines, nil), 2*time.Second)
			}
		}
		step(40)
		w.engines[dead].Ready = false
		step(5)
		if w.count(Both) != 1 {
			t.Fatalf("%d died: %+v", dead, w.engines)
		}
		w.engines[dead].Ready = true
		step(10)
		if w.count(Both) != 1 {
			t.Errorf("it changed again sooner than is stated: %+v", w.engines)
		}
		step(60)
		if w.count(Prefill) != 1 || w.count(Decode) != 1 {
			t.Errorf("%d is back: %+v", dead, w.engines)
		}
	}
}

// TestAllOfAStageDie: a writer is turned to reading at once, whatever the figures and the stated rate say.
func TestAllOfAStageDie(t *testing.T) {
	w := newTown(3, 5)
	p := newPlanner(t, Config{MinDwell: time.Hour})
	for i := range w.engines {
		w.engines[i].ChangedAt = w.now
	}
	for range 3 {
		w.engines[0].Ready, w.engines[1].Ready, w.engines[2].Ready = false, false, false
		w.work(2, 2)
		w.obey(p.Step(w.now, w.engines, nil), time.Second)
	}
	if w.count(Prefill) != 1 || w.count(Decode) != 4 {
		t.Errorf("%+v", w.engines)
	}
}

// TestLiarIsFoundOut: an engine says that it reads and does nothing; it is given its old role and left alone.
func TestLiarIsFoundOut(t *testing.T) {
	w := newTown(4, 4)
	p := newPlanner(t, Config{MinDwell: 30 * time.Second})
	liar := &w.engines[0]
	liar.ChangedAt = w.now
	back := time.Duration(0)
	for range 300 {
		was := *w.totals[liar.ID]
		w.work(2, 2)
		if liar.Role == Prefill {
			w.totals[liar.ID].Read = was.Read
			liar.Report.Read = was.Read
		}
		plan := p.Step(w.now, w.engines, nil)
		w.obey(plan, time.Second)
		for _, c := range plan.Changes {
			if c.ID == liar.ID && c.Target == Decode {
				back = w.now
			} else if c.ID == liar.ID && w.now-back < 4*time.Minute {
				t.Fatalf("it was asked again %v later: %+v", w.now-back, c)
			}
		}
	}
	if back == 0 {
		t.Error("it was never found out")
	}
}

// TestStuckChangeIsCalledOff: an engine that never confirms is told back and left alone.
func TestStuckChangeIsCalledOff(t *testing.T) {
	w := newTown(2, 8)
	p := newPlanner(t, Config{ChangeTimeout: 20 * time.Second, MinDwell: 10 * time.Second})
	began, off := map[string]time.Duration{}, 0
	for range 120 {
		w.work(6, 1)
		plan := p.Step(w.now, w.engines, nil)
		for _, id := range plan.Reverts {
			off++
			if d := w.now - began[id]; d < 20*time.Second || d > 25*time.Second {
				t.Errorf("%s was called off after %v", id, d)
			}
		}
		for _, c := range plan.Changes {
			if _, twice := began[c.ID]; twice {
				t.Errorf("%s was asked again, though it could not change", c.ID)
			}
			began[c.ID] = w.now
		}
		w.obey(plan, time.Hour)
	}
	if off == 0 {
		t.Error("nothing was called off")
	}
}

// TestSameFiguresSamePlan: a plan depends on nothing but what was told, in any order of the engines.
func TestSameFiguresSamePlan(t *testing.T) {
	w := newTown(3, 7)
	a, b := newPlanner(t, Config{}), newPlanner(t, Config{})
	for i := range 300 {
		w.work(2+3*math.Sin(float64(i)/40), 3)
		turned := make([]Engine, len(w.engines))
		for j, e := range w.engines {
			turned[len(turned)-1-j] = e
		}
		x, y := a.Step(w.now, w.engines, nil), b.Step(w.now, turned, nil)
		if !reflect.DeepEqual(x, y) {
			t.Fatalf("%+v\n%+v", x, y)
		}
		w.obey(x, 5*time.Second)
	}
}

func TestSettings(t *testing.T) {
	for _, s := range []Config{{MinDwell: -1}, {MaxConcurrent: 2}, {MaxConcurrent: math.NaN()}, {WarmUp: -1}} {
		if _, err := New(s); err == nil {
			t.Errorf("%+v was taken", s)
		}
	}
	for r := Prefill; r <= Both; r++ {
		if got, err := ParseRole(r.String()); got != r || err != nil {
			t.Errorf("%v: %v %v", r, got, err)
		}
	}
	if _, err := ParseRole("cook"); err == nil {
		t.Error("cook is no role")
	}
}

// BenchmarkStep is one look at a fleet; about one a second is needed.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{16, 74, 740, 7400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := newTown(n/2, n-n/2)
			p := newPlanner(b, Config{})
			for i := range b.N {
				b.StopTimer()
				w.now += time.Second
				for j := range w.engines {
					r := w.totals[w.engines[j].ID]
					r.At, r.Read.Done, r.Write.Done = w.now, r.Read.Done+0.5+0.2*math.Sin(float64(i)/50), r.Write.Done+0.5
					w.engines[j].Report = r
				}
				b.StartTimer()
				p.Step(w.now, w.engines, nil)
			}
		})
	}
}

// TestMemoryOutlivesThePlanner: one that is started again with what was kept goes on as if nothing had been.
func TestMemoryOutlivesThePlanner(t *testing.T) {
	swing := func(i int) (float64, float64) { // every 100 s, which no change pays for
		if i/50%2 == 0 {
			return 7, 4
		}
		return 4, 7
	}
	town, orders := newTown(8, 8), 0
	first, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := first.Memory(); ok {
		t.Error("a planner that has seen nothing remembers something")
	}
	play := func(p *Planner, from, to int) (leads []int) {
		for i := from; i < to; i++ {
			town.work(swing(i))
			plan := p.Step(town.now, town.engines, nil)
			orders += len(plan.Changes)
			town.obey(plan, 8*time.Second)
			leads = append(leads, p.leader)
		}
		return leads
	}
	play(first, 0, 3000)
	m, ok := first.Memory()
	if !ok {
		t.Fatal("nothing remembered")
	}
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var back Memory
	if err := json.Unmarshal(text, &back); err != nil {
		t.Fatal(err)
	}
	again, err := New(Config{})
	if err != nil {
		t.Fatal(err)
	}
	if err := again.Recall(back, 0, town.now); err != nil {
		t.Fatal(err)
	}
	if got, _ := again.Memory(); !reflect.DeepEqual(got.Experts[0].Past[0].Reading, m.Experts[0].Past[0].Reading) || again.leader != first.leader {
		t.Errorf("lead %d, was %d", again.leader, first.leader)
	}
	orders = 0
	for _, lead := range play(again, 3000, 4000) {
		if lead != first.leader {
			t.Fatalf("the expert that leads changed from %d to %d", first.leader, lead)
		}
	}
	if orders > 0 {
		t.Errorf("%d changes on a mix that it knew", orders)
	}
	if err := again.Recall(back, 0, town.now); err == nil {
		t.Error("a planner at work took another's memory")
	}
}

func TestMemoryThatCantBeIsRefused(t *testing.T) {
	town := newTown(4, 4)
	p, _ := New(Config{})
	for range 100 {
		town.work(2, 2)
		town.obey(p.Step(town.now, town.engines, nil), 8*time.Second)
	}
	for name, spoil := range map[string]func(*Memory){
		"no experts":          func(m *Memory) { m.Experts = nil },
		"lead":                func(m *Memory) { m.Lead = 99 },
		"cost":                func(m *Memory) { m.ChangeCost = math.NaN() },
		"endless cost":        func(m *Memory) { m.ChangeCost = 1e9 },
		"negative engines":    func(m *Memory) { m.LastSplit[0] = -1 },
		"negative readers":    func(m *Memory) { m.Experts[1].Readers = -1 },
		"loss":                func(m *Memory) { m.Experts[1].Loss = math.Inf(1) },
		"another's experts":   func(m *Memory) { m.Experts[2].Memory++ },
		"no past":             func(m *Memory) { m.Experts[0].Past = nil },
		"a long past":         func(m *Memory) { m.Experts[0].Past = make([]PastMemory, 10000) },
		"no time":             func(m *Memory) { m.Experts[0].Past[0].Seconds = 0 },
		"out of order":        func(m *Memory) { m.Experts[0].Past[0].Age = -1 },
		"an engine for ever":  func(m *Memory) { m.Cooldowns = []CooldownMemory{{"e", time.Hour, 1000 * time.Hour}} },
		"too many are barred": func(m *Memory) { m.Cooldowns = make([]CooldownMemory, maxStoredCooldowns+1) },
	} {
		m, ok := p.Memory()
		if !ok {
			t.Fatal("nothing remembered")
		}
		spoil(&m)
		fresh, _ := New(Config{})
		if err := fresh.Recall(m, 0, town.now); err == nil {
			t.Errorf("%s: taken", name)
		}
		if fresh.experts[0].started || fresh.leader != 0 || len(fresh.cooldowns) > 0 {
			t.Errorf("%s: refused, and half taken", name)
		}
	}
	m, _ := p.Memory()
	fresh, _ := New(Config{})
	if err := fresh.Recall(m, -time.Second, town.now); err == nil {
		t.Error("a memory from the future was taken")
	}
	if err := fresh.Recall(m, 24*time.Hour, town.now); err != nil {
		t.Errorf("a day old: %v", err)
	}
	town.work(2, 2)
	if plan := fresh.Step(town.now, town.engines, nil); len(plan.Changes) > 0 {
		t.Errorf("%+v", plan)
	}
}
