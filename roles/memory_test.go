package roles

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"
)

// oscillatingWork alternates every 50 s between two mixes, too fast for changes to pay off.
func oscillatingWork(second int) (prefill, decode float64) {
	if second/50%2 == 0 {
		return 7, 4
	}
	return 4, 7
}

// throughJSON encodes a memory in its stored form and decodes it again.
func throughJSON(t *testing.T, m Memory) (stored Memory) {
	t.Helper()
	text, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &stored); err != nil {
		t.Fatal(err)
	}
	return stored
}

// TestRestoreContinuesWhereMemoryWasTaken checks that a planner with the restored memory of another one keeps its
// leading expert and, like it, makes no changes on an oscillating mix.
func TestRestoreContinuesWhereMemoryWasTaken(t *testing.T) {
	fleet := newSimulatedFleet(8, 8)
	first := newPlanner(t, Config{})
	if _, ok := first.Memory(); ok {
		t.Error("a planner that has not planned returns a memory")
	}
	for at := range 3000 {
		fleet.advance(oscillatingWork(at))
		fleet.planAndApply(first, 8*time.Second)
	}
	memory, ok := first.Memory()
	if !ok {
		t.Fatal("a planner that has planned returns no memory")
	}
	stored := throughJSON(t, memory)
	second := newPlanner(t, Config{})
	if err := second.Restore(stored, 0, fleet.now); err != nil {
		t.Fatal(err)
	}
	restored, _ := second.Memory()
	if !reflect.DeepEqual(restored.Experts[0].History[0].Prefill, memory.Experts[0].History[0].Prefill) {
		t.Errorf("oldest sample: restored %v, saved %v",
			restored.Experts[0].History[0].Prefill, memory.Experts[0].History[0].Prefill)
	}
	if second.leader != first.leader {
		t.Errorf("leader: restored %d, saved %d", second.leader, first.leader)
	}
	changes := 0
	for at := 3000; at < 4000; at++ {
		fleet.advance(oscillatingWork(at))
		changes += len(fleet.planAndApply(second, 8*time.Second).Changes)
		if second.leader != first.leader {
			t.Fatalf("the leading expert changed from %d to %d", first.leader, second.leader)
		}
	}
	if changes > 0 {
		t.Errorf("%d changes on an oscillating mix in the restored history", changes)
	}
	if err := second.Restore(stored, 0, fleet.now); err == nil {
		t.Error("a planner that has planned accepted a memory")
	}
}

// learnedMemory returns the memory of a planner after 100 s and the fleet that it planned for.
func learnedMemory(t *testing.T) (Memory, *simulatedFleet) {
	t.Helper()
	fleet := newSimulatedFleet(4, 4)
	p := newPlanner(t, Config{})
	for range 100 {
		fleet.advance(2, 2)
		fleet.planAndApply(p, 8*time.Second)
	}
	memory, ok := p.Memory()
	if !ok {
		t.Fatal("no memory")
	}
	return memory, fleet
}

func TestRestoreRefusesImplausibleMemory(t *testing.T) {
	for name, corrupt := range map[string]func(*Memory){
		"no experts":         func(m *Memory) { m.Experts = nil },
		"unknown leader":     func(m *Memory) { m.Leader = 99 },
		"NaN duration":       func(m *Memory) { m.ChangeSeconds = math.NaN() },
		"enormous duration":  func(m *Memory) { m.ChangeSeconds = 1e9 },
		"negative split":     func(m *Memory) { m.LastSplit[0] = -1 },
		"negative engines":   func(m *Memory) { m.Experts[1].PrefillEngines = -1 },
		"infinite loss":      func(m *Memory) { m.Experts[1].Loss = math.Inf(1) },
		"other lookback":     func(m *Memory) { m.Experts[2].Lookback++ },
		"no history":         func(m *Memory) { m.Experts[0].History = nil },
		"too long a history": func(m *Memory) { m.Experts[0].History = make([]WorkMemory, 10000) },
		"empty sample":       func(m *Memory) { m.Experts[0].History[0].Seconds = 0 },
		"negative age":       func(m *Memory) { m.Experts[0].History[0].Age = -1 },
		"endless cooldown": func(m *Memory) {
			m.Cooldowns = []CooldownMemory{{ID: "e", Remaining: time.Hour, Duration: 1000 * time.Hour}}
		},
		"too many cooldowns": func(m *Memory) { m.Cooldowns = make([]CooldownMemory, maxStoredCooldowns+1) },
	} {
		t.Run(name, func(t *testing.T) {
			memory, fleet := learnedMemory(t)
			corrupt(&memory)
			p := newPlanner(t, Config{})
			if err := p.Restore(memory, 0, fleet.now); err == nil {
				t.Error("Restore accepted it")
			}
			if p.experts[0].started || p.leader != 0 || len(p.cooldowns) > 0 {
				t.Error("Restore refused it but has changed the planner")
			}
		})
	}
}

func TestRestoreChecksAge(t *testing.T) {
	memory, fleet := learnedMemory(t)
	p := newPlanner(t, Config{})
	if err := p.Restore(memory, -time.Second, fleet.now); err == nil {
		t.Error("Restore accepted a memory from the future")
	}
	if err := p.Restore(memory, 24*time.Hour, fleet.now); err != nil {
		t.Errorf("Restore of a memory one day old: %v", err)
	}
	fleet.advance(2, 2)
	if plan := p.Step(fleet.now, fleet.engines, nil); len(plan.Changes) > 0 {
		t.Errorf("changes after restoring a memory one day old: %+v", plan)
	}
}
