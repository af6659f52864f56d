package roles

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"
)

// oscillatingWork alternates every 50 s between two mixes, too fast for changes to pay.
func oscillatingWork(second int) (prefill, decode float64) {
	if second/50%2 == 0 {
		return 7, 4
	}
	return 4, 7
}

// throughJSON is a memory as it comes back from its stored form.
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

// TestRestoreContinuesWhereMemoryWasTaken: a planner that is started with what another had learned decides as that one
// would.
func TestRestoreContinuesWhereMemoryWasTaken(t *testing.T) {
	fleet := newSimulatedFleet(8, 8)
	first := newPlanner(t, Config{})
	if _, ok := first.Memory(); ok {
		t.Error("a planner that has seen nothing returns a memory")
	}
	for second := range 3000 {
		fleet.run(oscillatingWork(second))
		fleet.step(first, 8*time.Second)
	}
	memory, ok := first.Memory()
	if !ok {
		t.Fatal("no memory")
	}
	stored := throughJSON(t, memory)
	second := newPlanner(t, Config{})
	if err := second.Restore(stored, 0, fleet.now); err != nil {
		t.Fatal(err)
	}
	restored, _ := second.Memory()
	if !reflect.DeepEqual(restored.Experts[0].History[0].Reading, memory.Experts[0].History[0].Reading) {
		t.Errorf("oldest work %v, was %v", restored.Experts[0].History[0].Reading, memory.Experts[0].History[0].Reading)
	}
	if second.leader != first.leader {
		t.Errorf("leader %d, was %d", second.leader, first.leader)
	}
	changes := 0
	for at := 3000; at < 4000; at++ {
		fleet.run(oscillatingWork(at))
		changes += len(fleet.step(second, 8*time.Second).Changes)
		if second.leader != first.leader {
			t.Fatalf("the leading expert changed from %d to %d", first.leader, second.leader)
		}
	}
	if changes > 0 {
		t.Errorf("%d changes on a mix that it had learned", changes)
	}
	if err := second.Restore(stored, 0, fleet.now); err == nil {
		t.Error("a planner that has planned accepted a memory")
	}
}

// learnedMemory is the memory of a planner after 100 s, with the fleet that it planned for.
func learnedMemory(t *testing.T) (Memory, *simulatedFleet) {
	t.Helper()
	fleet := newSimulatedFleet(4, 4)
	p := newPlanner(t, Config{})
	for range 100 {
		fleet.run(2, 2)
		fleet.step(p, 8*time.Second)
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
		"cost not a number":  func(m *Memory) { m.ChangeCost = math.NaN() },
		"enormous cost":      func(m *Memory) { m.ChangeCost = 1e9 },
		"negative split":     func(m *Memory) { m.LastSplit[0] = -1 },
		"negative readers":   func(m *Memory) { m.Experts[1].Readers = -1 },
		"infinite loss":      func(m *Memory) { m.Experts[1].Loss = math.Inf(1) },
		"other lookback":     func(m *Memory) { m.Experts[2].Lookback++ },
		"no history":         func(m *Memory) { m.Experts[0].History = nil },
		"too long a history": func(m *Memory) { m.Experts[0].History = make([]WorkMemory, 10000) },
		"empty sample":       func(m *Memory) { m.Experts[0].History[0].Seconds = 0 },
		"out of order":       func(m *Memory) { m.Experts[0].History[0].Age = -1 },
		"endless cooldown": func(m *Memory) {
			m.Cooldowns = []CooldownMemory{{ID: "e", Remaining: time.Hour, Pause: 1000 * time.Hour}}
		},
		"too many cooldowns": func(m *Memory) { m.Cooldowns = make([]CooldownMemory, maxStoredCooldowns+1) },
	} {
		t.Run(name, func(t *testing.T) {
			memory, fleet := learnedMemory(t)
			corrupt(&memory)
			p := newPlanner(t, Config{})
			if err := p.Restore(memory, 0, fleet.now); err == nil {
				t.Error("accepted")
			}
			if p.experts[0].started || p.leader != 0 || len(p.cooldowns) > 0 {
				t.Error("refused, and a part of it was taken")
			}
		})
	}
}

func TestRestoreChecksAge(t *testing.T) {
	memory, fleet := learnedMemory(t)
	p := newPlanner(t, Config{})
	if err := p.Restore(memory, -time.Second, fleet.now); err == nil {
		t.Error("a memory from the future was accepted")
	}
	if err := p.Restore(memory, 24*time.Hour, fleet.now); err != nil {
		t.Errorf("a day old: %v", err)
	}
	fleet.run(2, 2)
	if plan := p.Step(fleet.now, fleet.engines, nil); len(plan.Changes) > 0 {
		t.Errorf("%+v", plan)
	}
}
