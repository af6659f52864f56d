package roles

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// systemState is one state of a small system: the assignment table, the engines, and two planners with the version of
// the table that each read last. Messages in transit are sets. Each message may be delivered at any time and any
// number of times, which includes late, repeated and lost messages.
type systemState struct {
	table      Assignments
	cached     [2]Assignments // by planner
	engines    map[string]EngineState
	commands   map[Command]bool
	reports    map[string]map[StatusReport]bool // by engine
	diskLosses int                              // disks lost so far
}

func (s systemState) clone() systemState {
	s.engines, s.commands = maps.Clone(s.engines), maps.Clone(s.commands)
	reports := map[string]map[StatusReport]bool{}
	for id, set := range s.reports {
		reports[id] = maps.Clone(set)
	}
	s.reports = reports
	return s
}

func formatTable(table Assignments) string {
	var b strings.Builder
	fmt.Fprint(&b, table.Version, " ", table.LastCommandNumber)
	for _, id := range table.Names() {
		e := table.Entries[id]
		fmt.Fprint(&b, "|", e.Role, e.CommandNumber, e.Target, e.Serving)
	}
	return b.String()
}

// sortedByText returns the elements of a set in the order of their printed forms.
func sortedByText[T comparable](set map[T]bool) []T {
	return slices.SortedFunc(maps.Keys(set), func(a, b T) int { return cmp.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
}

// key returns a text that identifies the state.
func (s systemState) key() string {
	var b strings.Builder
	b.WriteString(formatTable(s.table) + "#" + formatTable(s.cached[0]) + "#" + formatTable(s.cached[1]))
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		fmt.Fprint(&b, "#", s.engines[id])
		for _, report := range sortedByText(s.reports[id]) {
			fmt.Fprint(&b, report)
		}
	}
	for _, command := range sortedByText(s.commands) {
		fmt.Fprint(&b, command)
	}
	fmt.Fprint(&b, s.diskLosses)
	return b.String()
}

// implementation holds the functions of the engine and of the API server that are explored. Tests replace either by a
// faulty one.
type implementation struct {
	accept func(EngineState, Command) EngineState
	write  func(stored, next Assignments) (Assignments, error)
}

func correctImplementation() implementation {
	return implementation{accept: EngineState.Accept, write: Assignments.Write}
}

// bounds limits an exploration.
type bounds struct {
	commands   uint64 // highest number of a start or revert; corrections of wrong roles may exceed it by two
	diskLosses int
}

// explorer is an explicit-state model checker: it visits all states that can be reached within its bounds.
type explorer struct {
	bounds       bounds
	impl         implementation
	violation    string // the first violation of an invariant, with its state
	indexes      map[string]int
	states       []systemState
	predecessors [][]int
	seen         eventsSeen
}

// eventsSeen holds which kinds of events have occurred in an exploration.
type eventsSeen struct{ conflict, lastOfStage, reverted, corrected, confirmed bool }

func (x *explorer) add(from int, s systemState) {
	key := s.key()
	i, known := x.indexes[key]
	if !known {
		i = len(x.states)
		x.indexes[key] = i
		x.states = append(x.states, s)
		x.predecessors = append(x.predecessors, nil)
		x.checkInvariants(s)
	}
	if from >= 0 {
		x.predecessors[i] = append(x.predecessors[i], from)
	}
}

func (x *explorer) fail(what string, s systemState) {
	if x.violation == "" {
		x.violation = what + ": " + s.key()
	}
}

// checkInvariants checks the conditions that must hold in every state.
func (x *explorer) checkInvariants(s systemState) {
	if covered := s.table.stagesCovered(); !covered.prefill || !covered.decode {
		x.fail("a stage is left without an engine", s)
	}
	for id, e := range s.table.Entries {
		engine := s.engines[id]
		if e.Serving && !e.Target.covers(e.Role) {
			x.fail(id+" is listed as serving while it changes to another role", s)
		}
		if engine.CommandNumber > e.CommandNumber {
			x.fail(id+" follows a command that is not in the table", s)
		}
		confirmed := StatusReport{CommandNumber: e.CommandNumber, Role: e.Role, Serving: true}
		if e.Serving && s.diskLosses == 0 &&
			(!engine.Serves(e.Role) || e.Target == e.Role && engine.StatusReport() != confirmed) {
			x.fail(id+" is listed as serving in a role that it does not serve", s)
		}
	}
}

// write adds the state after a planner has written a table made from its cached one. It reports whether the write was
// accepted.
func (x *explorer) write(i int, s systemState, planner int, next Assignments) bool {
	stored, err := x.impl.write(s.table, next)
	if errors.Is(err, ErrConflict) {
		x.seen.conflict = true
		return false
	}
	n := s.clone()
	n.table = stored
	n.cached[planner] = stored
	x.add(i, n)
	return true
}

// step adds all states that one event leads to from state i.
func (x *explorer) step(i int) {
	s := x.states[i]
	for planner := range s.cached {
		x.stepPlanner(i, s, planner)
	}
	for id := range s.engines {
		x.stepEngine(i, s, id)
	}
}

func (x *explorer) stepPlanner(i int, s systemState, planner int) {
	cached := s.cached[planner]
	if cached.Version != s.table.Version { // the planner reads the table, as after a crash
		n := s.clone()
		n.cached[planner] = s.table
		x.add(i, n)
	}
	for id := range cached.Entries {
		if cached.LastCommandNumber < x.bounds.commands {
			x.stepCommand(i, s, planner, id)
		}
		for report := range s.reports[id] {
			next, changed := cached.ApplyStatus(id, report, 0)
			correction := next.LastCommandNumber > cached.LastCommandNumber
			if !changed || correction && cached.LastCommandNumber >= x.bounds.commands+2 {
				continue
			}
			if x.write(i, s, planner, next) {
				x.seen.confirmed = x.seen.confirmed || !correction
				x.seen.corrected = x.seen.corrected || correction
			}
		}
	}
	for _, command := range cached.PendingCommands() {
		if !s.commands[command] {
			n := s.clone()
			n.commands[command] = true
			x.add(i, n)
		}
	}
}

// stepCommand adds the states after a planner has started each possible change of an engine or reverted its pending
// one.
func (x *explorer) stepCommand(i int, s systemState, planner int, id string) {
	cached := s.cached[planner]
	for to := Prefill; to <= Both; to++ {
		next, err := cached.Start(id, to, "")
		if err == nil {
			x.write(i, s, planner, next)
		}
		x.seen.lastOfStage = x.seen.lastOfStage || errors.Is(err, ErrLastOfStage)
	}
	if next, err := cached.Revert(id, ""); err == nil && x.write(i, s, planner, next) {
		x.seen.reverted = true
	}
}

func (x *explorer) stepEngine(i int, s systemState, id string) {
	engine := s.engines[id]
	if report := engine.StatusReport(); !s.reports[id][report] {
		n := s.clone()
		n.reports[id][report] = true
		x.add(i, n)
	}
	for command := range s.commands {
		if accepted := x.impl.accept(engine, command); command.ID == id && accepted != engine {
			n := s.clone()
			n.engines[id] = accepted
			x.add(i, n)
		}
	}
	if engine.Target != engine.Role { // it has drained, or has crashed and restarted without work
		n := s.clone()
		n.engines[id] = engine.FinishDraining()
		x.add(i, n)
	}
	if s.diskLosses < x.bounds.diskLosses && engine.CommandNumber > 0 {
		// The engine loses its disk and starts in its initial state.
		n := s.clone()
		n.diskLosses++
		n.engines[id] = EngineState{Role: Prefill, Target: Prefill}
		x.add(i, n)
	}
}

// allConfirmed reports whether every command is confirmed and every engine serves the role that it is listed in.
func (s systemState) allConfirmed() bool {
	for id, e := range s.table.Entries {
		engine := s.engines[id]
		if !e.Serving || engine.Role != e.Role || engine.Target != e.Role {
			return false
		}
	}
	return true
}

// checkLiveness checks that from every state a state can be reached in which all commands are confirmed.
func (x *explorer) checkLiveness() {
	live := make([]bool, len(x.states))
	var queue []int
	for i, s := range x.states {
		if live[i] = s.allConfirmed(); live[i] {
			queue = append(queue, i)
		}
	}
	for len(queue) > 0 {
		i := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, j := range x.predecessors[i] {
			if !live[j] {
				live[j] = true
				queue = append(queue, j)
			}
		}
	}
	if i := slices.Index(live, false); i >= 0 {
		x.fail("no state can be reached in which all commands are confirmed", x.states[i])
	}
}

// explore visits all states that can be reached from a fleet without pending changes, until an invariant is violated.
func explore(fleet []Role, limit bounds, impl implementation) *explorer {
	start := systemState{
		engines:  map[string]EngineState{},
		commands: map[Command]bool{},
		reports:  map[string]map[StatusReport]bool{},
	}
	start.table.Entries = map[string]Assignment{}
	for i, role := range fleet {
		id := fmt.Sprint("e", i)
		start.table.Entries[id] = flexibleAssignment(role)
		start.engines[id] = EngineState{Role: role, Target: role}
		start.reports[id] = map[StatusReport]bool{}
	}
	start.cached = [2]Assignments{start.table, start.table}
	x := &explorer{bounds: limit, impl: impl, indexes: map[string]int{}}
	x.add(-1, start)
	for i := 0; i < len(x.states) && x.violation == ""; i++ {
		x.step(i)
	}
	if x.violation == "" {
		x.checkLiveness()
	}
	return x
}

// TestLifecycleHoldsInEveryState explores all states of the life cycle for small fleets with two planners, with lost,
// late and repeated messages, planners that hold an old table, and engines that lose their disk. In every state:
//
//   - each stage has an engine whose target role includes it
//   - no engine follows a command that is not in the table
//   - no engine is listed as serving in a role that it does not serve, unless it has lost its disk
//   - a state can be reached in which all commands are confirmed
func TestLifecycleHoldsInEveryState(t *testing.T) {
	for name, c := range map[string]struct {
		fleet []Role
		limit bounds
	}{
		"two engines":                     {[]Role{Prefill, Decode}, bounds{commands: 2}},
		"two engines, one loses its disk": {[]Role{Prefill, Decode}, bounds{commands: 1, diskLosses: 1}},
		"three engines":                   {[]Role{Prefill, Prefill, Decode}, bounds{commands: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			x := explore(c.fleet, c.limit, correctImplementation())
			if x.violation != "" {
				t.Fatal(x.violation)
			}
			t.Logf("%d states", len(x.states))
			want := eventsSeen{
				conflict: true, lastOfStage: true, confirmed: true,
				reverted:  c.limit.commands > 1 || x.seen.reverted,
				corrected: c.limit.diskLosses > 0 || x.seen.corrected,
			}
			if x.seen != want {
				t.Errorf("events seen: %+v, want %+v", x.seen, want)
			}
		})
	}
}

// TestExplorerDetectsFaultyImplementations checks that the explorer finds a violation if engines or the API server are
// faulty.
func TestExplorerDetectsFaultyImplementations(t *testing.T) {
	acceptsOldCommands := func(s EngineState, command Command) EngineState {
		s.CommandNumber, s.Target = command.Number, command.Target
		return s
	}
	acceptsNothing := func(s EngineState, _ Command) EngineState { return s }
	mergesOldVersions := func(stored, next Assignments) (Assignments, error) {
		next.Version = stored.Version + 1
		entries := maps.Clone(stored.Entries) // merges each entry separately, as if it were an object of its own
		for id, e := range next.Entries {
			if e.CommandNumber > entries[id].CommandNumber {
				entries[id] = e
			}
		}
		next.Entries = entries
		return next, nil
	}
	for name, c := range map[string]struct {
		fleet []Role
		impl  implementation
		want  string
	}{
		"an engine that accepts old commands": {
			fleet: []Role{Prefill, Decode},
			impl:  implementation{accept: acceptsOldCommands, write: Assignments.Write},
			want:  "is listed as serving in a role that it does not serve",
		},
		"an engine that accepts nothing": {
			fleet: []Role{Prefill, Decode},
			impl:  implementation{accept: acceptsNothing, write: Assignments.Write},
			want:  "no state can be reached in which all commands are confirmed",
		},
		"an API server that accepts old versions": {
			fleet: []Role{Prefill, Prefill, Decode},
			impl:  implementation{accept: EngineState.Accept, write: mergesOldVersions},
			want:  "a stage is left without an engine",
		},
	} {
		t.Run(name, func(t *testing.T) {
			x := explore(c.fleet, bounds{commands: 2}, c.impl)
			if !strings.Contains(x.violation, c.want) {
				t.Errorf("violation %q, want %q", x.violation, c.want)
			}
		})
	}
}
