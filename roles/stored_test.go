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

// readGolden decodes a golden file and checks that encoding the result gives the same file, so that no field is lost.
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
		t.Errorf("%s: decoded and encoded again:\n%s", name, got)
	}
	return v
}

// The golden files of these tests hold data as released versions store and transmit it. They must not be updated.

func TestStoredAssignments(t *testing.T) {
	table := Assignments{Version: 7, LastCommandNumber: 1<<53 + 1, Entries: map[string]Assignment{
		"all": {
			Role: Prefill, CommandNumber: 4, Target: Decode, Serving: true, ChangedAt: 5, ServingSince: 6, Pinned: true,
			CanPrefill: true, CanDecode: true, Reason: "w",
		},
		"few": {Role: Both, Target: Both},
		"w":   {Role: Decode, Target: Both, Serving: true, CanDecode: true},
	}}
	golden.Check(t, "book.json", marshal(t, table))
	stored := readGolden[Assignments](t, "book.json")
	if stored.Version != 7 || stored.LastCommandNumber != 1<<53+1 || len(stored.Entries) != 3 {
		t.Errorf("version %d, %d commands, %d entries", stored.Version, stored.LastCommandNumber, len(stored.Entries))
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
	states := []EngineState{
		{CommandNumber: 3, Role: Prefill, Target: Decode},
		{CommandNumber: 1<<53 + 1, Role: Both, Target: Both},
	}
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

// storedMemory returns the memory in memory.json.
func storedMemory(p *Planner) Memory {
	m := Memory{
		Leader: len(p.experts) - 1, ChangeSeconds: 2.5, LastSplit: [2]int{3, 4},
		Cooldowns: []CooldownMemory{
			{ID: "e0", Remaining: time.Second, Duration: time.Minute},
			{ID: "e1", Remaining: time.Minute, Duration: 2 * time.Minute},
		},
	}
	for i, x := range p.experts {
		m.Experts = append(m.Experts, ExpertMemory{
			Lookback: x.lookback, Loss: float64(i) / 3, PrefillEngines: i, DecodeEngines: i + 1,
			History: []WorkMemory{
				{Age: 3 * time.Second, Prefill: 1.5, Decode: 1e-9, Seconds: 1},
				{Age: time.Second, Prefill: 2, Decode: 0.1, Seconds: 2},
			},
		})
	}
	return m
}

// TestStoredMemory checks that a planner that restores the recorded memory returns the same memory, or one aged by the
// time since it was taken.
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
