package roles

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"brackenbend/internal/golden"
)

func marshal(t *testing.T, v any) string {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

// readGolden reads a recorded file into a fresh value and checks that writing that gives the file again: nothing is
// lost.
func readGolden[T any](t *testing.T, name string) T {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var v T
	if err := json.Unmarshal(text, &v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if got := marshal(t, v); got != string(text) {
		t.Errorf("%s: read and written again it is\n%s", name, got)
	}
	return v
}

// The golden files of these tests hold stored and transmitted forms of released versions. They must not be updated.

func TestStoredAssignments(t *testing.T) {
	table := Assignments{Version: 7, Orders: 1<<53 + 1, Entries: map[string]Assignment{
		"all": {
			Role: Prefill, Order: 4, Target: Decode, Serving: true, ChangedAt: 5, ReopenedAt: 6, Pinned: true,
			CanPrefill: true, CanDecode: true, Reason: "w",
		},
		"few": {Role: Both, Target: Both},
		"w":   {Role: Decode, Target: Both, Serving: true, CanDecode: true},
	}}
	golden.Check(t, "book.json", marshal(t, table))
	stored := readGolden[Assignments](t, "book.json")
	if stored.Version != 7 || stored.Orders != 1<<53+1 || len(stored.Entries) != 3 {
		t.Errorf("version %d, %d commands, %d entries", stored.Version, stored.Orders, len(stored.Entries))
	}
	for id, e := range table.Entries {
		if stored.Entries[id] != e {
			t.Errorf("entry %s differs", id)
		}
	}
	golden.Check(t, "tells.json", marshal(t, table.PendingCommands()))
	readGolden[[]Command](t, "tells.json")
}

func TestStoredEngineState(t *testing.T) {
	states := []EngineState{{Order: 3, Role: Prefill, Target: Decode}, {Order: 1<<53 + 1, Role: Both, Target: Both}}
	golden.Check(t, "seats.json", marshal(t, states))
	for i, state := range readGolden[[]EngineState](t, "seats.json") {
		if state != states[i] {
			t.Errorf("state %d differs", i)
		}
	}
	reports := []StatusReport{states[0].StatusReport(), states[1].StatusReport()}
	golden.Check(t, "words.json", marshal(t, reports))
	for i, report := range readGolden[[]StatusReport](t, "words.json") {
		if report != reports[i] {
			t.Errorf("status report %d differs", i)
		}
	}
}

// storedMemory is the memory that memory.json holds.
func storedMemory(p *Planner) Memory {
	m := Memory{
		Leader: len(p.experts) - 1, ChangeCost: 2.5, LastSplit: [2]int{3, 4},
		Cooldowns: []CooldownMemory{
			{ID: "e0", Remaining: time.Second, Pause: time.Minute},
			{ID: "e1", Remaining: time.Minute, Pause: 2 * time.Minute},
		},
	}
	for i, x := range p.experts {
		m.Experts = append(m.Experts, ExpertMemory{
			Lookback: x.lookback, Loss: float64(i) / 3, Readers: i, Writers: i + 1,
			History: []WorkMemory{
				{Age: 3 * time.Second, Reading: 1.5, Writing: 1e-9, Seconds: 1},
				{Age: time.Second, Reading: 2, Writing: 0.1, Seconds: 2},
			},
		})
	}
	return m
}

// TestStoredMemory: a planner restores the recorded memory and returns the same one, or its aged form.
func TestStoredMemory(t *testing.T) {
	golden.Check(t, "memory.json", marshal(t, storedMemory(newPlanner(t, Config{}))))
	for _, c := range []struct {
		age  time.Duration
		want string
	}{
		{0, "memory.json"},
		{1500 * time.Millisecond, "memory-aged.json"},
	} {
		p := newPlanner(t, Config{})
		if err := p.Restore(readGolden[Memory](t, "memory.json"), c.age, 0); err != nil {
			t.Fatal(err)
		}
		got, ok := p.Memory()
		if !ok {
			t.Fatal("no memory")
		}
		golden.Check(t, c.want, marshal(t, got))
	}
}
