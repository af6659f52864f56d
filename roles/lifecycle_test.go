package roles

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// world is one state of a small fleet: the book, the engines, and two planners with the book as each last read it. Words
// on their way are sets from which any may be taken at any time, again and again (late, repeated) or never (lost).
type world struct {
	book     Assignments
	cache    [2]Assignments
	seats    map[string]EngineState
	tells    map[Command]bool
	words    map[string]map[StatusReport]bool // by engine
	amnesias int                              // disks lost so far
}

func (w world) clone() world {
	w.seats, w.tells = maps.Clone(w.seats), maps.Clone(w.tells)
	words := map[string]map[StatusReport]bool{}
	for id, set := range w.words {
		words[id] = maps.Clone(set)
	}
	w.words = words
	return w
}

func show(b Assignments) string {
	var s strings.Builder
	fmt.Fprint(&s, b.Version, " ", b.Orders)
	for _, id := range slices.Sorted(maps.Keys(b.Entries)) {
		e := b.Entries[id]
		fmt.Fprint(&s, "|", e.Role, e.Order, e.Target, e.Serving)
	}
	return s.String()
}

func (w world) key() string {
	var s strings.Builder
	s.WriteString(show(w.book) + "#" + show(w.cache[0]) + "#" + show(w.cache[1]))
	for _, id := range slices.Sorted(maps.Keys(w.seats)) {
		fmt.Fprint(&s, "#", w.seats[id])
		for _, x := range slices.SortedFunc(maps.Keys(w.words[id]), func(a, b StatusReport) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }) {
			fmt.Fprint(&s, x)
		}
	}
	for _, x := range slices.SortedFunc(maps.Keys(w.tells), func(a, b Command) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) }) {
		fmt.Fprint(&s, x)
	}
	fmt.Fprint(&s, w.amnesias)
	return s.String()
}

// explorer walks all states that can be reached, within bounds on orders, crashes and memories lost.
type explorer struct {
	orders                     uint64
	amnesias                   int
	take                       func(EngineState, Command) EngineState
	put                        func(held, b Assignments) (Assignments, error)
	broken                     string // the first state that breaks an invariant
	seen                       map[string]int
	all                        []world
	into                       [][]int // predecessors
	staleRefused, lastRefused  bool
	calledOff, healed, settled bool
}

func (x *explorer) add(from int, w world) {
	k := w.key()
	i, ok := x.seen[k]
	if !ok {
		i = len(x.all)
		x.seen[k] = i
		x.all = append(x.all, w)
		x.into = append(x.into, nil)
		x.invariants(w)
	}
	if from >= 0 {
		x.into[i] = append(x.into[i], from)
	}
}

func (x *explorer) fail(what string, w world) {
	if x.broken == "" {
		x.broken = what + ": " + w.key()
	}
}

// invariants hold in every state.
func (x *explorer) invariants(w world) {
	if m := w.book.stagesCovered(); !m.prefill || !m.decode {
		x.fail("a stage is left without an engine", w)
	}
	for id, e := range w.book.Entries {
		s := w.seats[id]
		if e.Serving && !e.Target.covers(e.Role) {
			x.fail(id+" is open while it is ordered elsewhere", w)
		}
		if s.Order > e.Order {
			x.fail(id+" obeys an order that the book does not know", w)
		}
		if e.Serving && w.amnesias == 0 && (!s.Serves(e.Role) || e.Target == e.Role && s.StatusReport() != (StatusReport{e.Order, e.Role, true})) {
			x.fail(id+" is listed open as what it is not", w)
		}
	}
}

// write lets a planner write what it made from its cache.
func (x *explorer) write(i int, w world, p int, b Assignments) (ok bool) {
	n := w.clone()
	held, err := x.put(w.book, b)
	if errors.Is(err, ErrConflict) {
		x.staleRefused = true
		return false
	}
	n.book = held
	n.cache[p] = held
	x.add(i, n)
	return true
}

func (x *explorer) step(i int) {
	w := x.all[i]
	for p := range w.cache {
		if w.cache[p].Version != w.book.Version { // it reads the book; a planner that crashed does the same
			n := w.clone()
			n.cache[p] = w.book
			x.add(i, n)
		}
		c := w.cache[p]
		for id := range c.Entries {
			if c.Orders < x.orders {
				for to := Prefill; to <= Both; to++ {
					b, err := c.Start(id, to, "")
					if err == nil {
						x.write(i, w, p, b)
					}
					x.lastRefused = x.lastRefused || errors.Is(err, ErrLastOfStage)
				}
				if b, err := c.Revert(id, ""); err == nil && x.write(i, w, p, b) {
					x.calledOff = true
				}
			}
			for word := range w.words[id] {
				if b, changed := c.ApplyStatus(id, word, 0); changed && (b.Orders == c.Orders || c.Orders < x.orders+2) {
					if x.write(i, w, p, b) {
						x.settled = x.settled || b.Orders == c.Orders
						x.healed = x.healed || b.Orders > c.Orders
					}
				}
			}
		}
		for _, t := range c.PendingCommands() {
			if !w.tells[t] {
				n := w.clone()
				n.tells[t] = true
				x.add(i, n)
			}
		}
	}
	for id, s := range w.seats {
		if word := s.StatusReport(); !w.words[id][word] {
			n := w.clone()
			n.words[id][word] = true
			x.add(i, n)
		}
		for t := range w.tells {
			if taken := x.take(s, t); t.ID == id && taken != s {
				n := w.clone()
				n.seats[id] = taken
				x.add(i, n)
			}
		}
		if s.Target != s.Role { // it runs empty, or crashes and comes back empty
			n := w.clone()
			n.seats[id] = s.FinishDraining()
			x.add(i, n)
		}
		if w.amnesias < x.amnesias && s.Order > 0 { // it loses its disk and starts as it was first installed
			n := w.clone()
			n.amnesias++
			n.seats[id] = EngineState{Role: Prefill, Target: Prefill}
			x.add(i, n)
		}
	}
}

// live tells whether from every state all orders can still be settled, with no engine listed as what it is not.
func (x *explorer) live() {
	good := make([]bool, len(x.all))
	var todo []int
	for i, w := range x.all {
		done := true
		for id, e := range w.book.Entries {
			s := w.seats[id]
			done = done && e.Serving && s.Role == e.Role && s.Target == e.Role
		}
		if good[i] = done; done {
			todo = append(todo, i)
		}
	}
	for len(todo) > 0 {
		i := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		for _, j := range x.into[i] {
			if !good[j] {
				good[j] = true
				todo = append(todo, j)
			}
		}
	}
	if i := slices.Index(good, false); i >= 0 {
		x.fail("from here no order is ever settled", x.all[i])
	}
}

// TestEveryCourseOfAChange explores the life cycle in full for small fleets with two planners, words lost, late and
// repeated, planners with old news and engines that lose their disk. In every state: each stage has an engine meant for
// it; no engine obeys an order that the book does not know; none is listed open as what it is not, unless it lost its
// disk; and from every state everything can be settled.
func TestEveryCourseOfAChange(t *testing.T) {
	for name, c := range map[string]struct {
		fleet    []Role
		orders   uint64
		amnesias int
	}{
		"two engines":                     {[]Role{Prefill, Decode}, 2, 0},
		"two engines, one loses its disk": {[]Role{Prefill, Decode}, 1, 1},
		"three engines":                   {[]Role{Prefill, Prefill, Decode}, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := explore(c.fleet, c.orders, c.amnesias, EngineState.Accept, Assignments.Write)
			if x.broken != "" {
				t.Fatal(x.broken)
			}
			t.Logf("%d states", len(x.all))
			if !x.staleRefused || !x.lastRefused || !x.settled || c.orders > 1 && !x.calledOff || c.amnesias > 0 && !x.healed {
				t.Errorf("a course was never met: %+v", [...]bool{x.staleRefused, x.lastRefused, x.settled, x.calledOff, x.healed})
			}
		})
	}
}

// explore walks all courses from a fleet at rest, until an invariant breaks.
func explore(fleet []Role, orders uint64, amnesias int, take func(EngineState, Command) EngineState, put func(held, b Assignments) (Assignments, error)) *explorer {
	w := world{seats: map[string]EngineState{}, tells: map[Command]bool{}, words: map[string]map[StatusReport]bool{}}
	w.book.Entries = map[string]Assignment{}
	for i, r := range fleet {
		id := fmt.Sprint("e", i)
		w.book.Entries[id] = Assignment{Role: r, Target: r, Serving: true, CanPrefill: true, CanDecode: true}
		w.seats[id] = EngineState{Role: r, Target: r}
		w.words[id] = map[StatusReport]bool{}
	}
	w.cache = [2]Assignments{w.book, w.book}
	x := &explorer{orders: orders, amnesias: amnesias, take: take, put: put, seen: map[string]int{}}
	x.add(-1, w)
	for i := 0; i < len(x.all) && x.broken == ""; i++ {
		x.step(i)
	}
	if x.broken == "" {
		x.live()
	}
	return x
}

// TestExplorerSeesABrokenLife: engines and registers that do it wrong break an invariant, each its own.
func TestExplorerSeesABrokenLife(t *testing.T) {
	for name, c := range map[string]struct {
		fleet []Role
		take  func(EngineState, Command) EngineState
		put   func(held, b Assignments) (Assignments, error)
		says  string
	}{
		"an engine that obeys old orders": {[]Role{Prefill, Decode}, func(s EngineState, t Command) EngineState { s.Order, s.Target = t.Order, t.Target; return s }, Assignments.Write, "is listed open as what it is not"},
		"an engine that obeys nothing":    {[]Role{Prefill, Decode}, func(s EngineState, _ Command) EngineState { return s }, Assignments.Write, "no order is ever settled"},
		"a register that takes old news": {[]Role{Prefill, Prefill, Decode}, EngineState.Accept, func(held, b Assignments) (Assignments, error) {
			b.Version = held.Version + 1
			entries := maps.Clone(held.Entries) // each engine's entry by itself, as where every one is an object of its own
			for id, e := range b.Entries {
				if e.Order > entries[id].Order {
					entries[id] = e
				}
			}
			b.Entries = entries
			return b, nil
		}, "a stage is left without an engine"},
	} {
		if x := explore(c.fleet, 2, 0, c.take, c.put); !strings.Contains(x.broken, c.says) {
			t.Errorf("%s: %q is seen, want %q", name, x.broken, c.says)
		}
	}
}

func TestBookRefuses(t *testing.T) {
	b := Assignments{Entries: map[string]Assignment{
		"a":      {Role: Prefill, Target: Prefill, Serving: true, CanPrefill: true, CanDecode: true},
		"pinned": {Role: Prefill, Target: Prefill, Serving: true, Pinned: true, CanPrefill: true, CanDecode: true},
		"reader": {Role: Prefill, Target: Prefill, Serving: true, CanPrefill: true}, "w": {Role: Decode, Target: Decode, Serving: true, CanDecode: true},
	}}
	for _, c := range []struct {
		id   string
		to   Role
		want error
	}{{"none", Decode, ErrUnknownEngine}, {"a", Prefill, ErrSameRole}, {"pinned", Decode, ErrRoleNotAllowed}, {"reader", Decode, ErrRoleNotAllowed}, {"reader", Both, ErrRoleNotAllowed}, {"w", Prefill, ErrRoleNotAllowed}} {
		if _, err := b.Start(c.id, c.to, ""); !errors.Is(err, c.want) {
			t.Errorf("%s to %v: %v, want %v", c.id, c.to, err, c.want)
		}
	}
	busy, err := b.Start("a", Decode, "why")
	if err != nil || b.Entries["a"].Target != Prefill {
		t.Fatalf("the book that was read was changed, or %v", err)
	}
	if _, err := busy.Start("a", Both, ""); !errors.Is(err, ErrChangePending) {
		t.Error(err)
	}
	if _, err := b.Revert("a", ""); !errors.Is(err, ErrSameRole) {
		t.Error(err)
	}
	wider, err := b.Start("a", Both, "more")
	if e := wider.Entries["a"]; err != nil || !e.Serving || e.Role != Prefill || len(wider.PendingCommands()) != 1 {
		t.Errorf("an engine that only adds a stage is closed meanwhile: %+v %v", e, err)
	}
	if s := (EngineState{Role: Prefill, Target: Both}); !s.Serves(Prefill) || s.Serves(Decode) || s.Serves(Both) || s.StatusReport().Serving {
		t.Errorf("%+v", s)
	}
	off, err := busy.Revert("a", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, changed := off.ApplyStatus("a", StatusReport{1, Decode, true}, 0); changed {
		t.Error("the word of an order that was called off settled it")
	}
	back, changed := off.ApplyStatus("a", StatusReport{2, Prefill, true}, time.Second)
	if e := back.Entries["a"]; !changed || !e.Serving || e.Role != Prefill || e.ChangedAt != time.Second {
		t.Errorf("%+v", e)
	}
}

// TestCarryTakesWhatTheBookLets: a plan's changes one by one; what is refused is told and changes nothing.
func TestCarryTakesWhatTheBookLets(t *testing.T) {
	b := Assignments{Entries: map[string]Assignment{
		"a": {Role: Prefill, Target: Prefill, Serving: true, CanPrefill: true, CanDecode: true},
		"b": {Role: Prefill, Target: Prefill, Serving: true, CanPrefill: true, CanDecode: true}, "c": {Role: Decode, Target: Decode, Serving: true, CanPrefill: true, CanDecode: true},
	}}
	next, done, refused := b.ApplyPlan(Plan{Reverts: []string{"a"}, Changes: []Change{{ID: "a", Target: Decode}, {ID: "b", Target: Decode}, {ID: "x", Target: Prefill}, {ID: "c", Target: Prefill}}})
	open, changing := next.CountServing()
	if len(done.Reverts) != 0 || len(done.Changes) != 2 || !errors.Is(refused["b"], ErrLastOfStage) || !errors.Is(refused["x"], ErrUnknownEngine) || len(refused) != 2 {
		t.Errorf("%+v %v", done, refused)
	}
	if changing != 2 || open != [3]int{1, 0, 0} || len(b.PendingCommands()) != 0 {
		t.Errorf("%v open, %d changing", open, changing)
	}
	if n, err := next.SwitchStage("b", "test"); err != nil || n.Entries["b"].Target != Decode {
		t.Errorf("%+v %v", n.Entries["b"], err)
	}
	if _, err := b.SwitchStage("c", "test"); !errors.Is(err, ErrLastOfStage) {
		t.Errorf("the last writer was turned: %v", err)
	}
}
