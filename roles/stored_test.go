package roles

import (
	"brackenbend/internal/golden"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func marshal(t *testing.T, v any) string {
	t.Helper()
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text) + "\n"
}

// again reads a recorded file into a fresh value and demands that writing that gives the file again: nothing is lost.
func again[T any](t *testing.T, name string) T {
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

// TestStoredBook, and the words between planner and engines. The golden files were recorded before the renaming and
// are not updated meanwhile.
func TestStoredBook(t *testing.T) {
	b := Assignments{Version: 7, Orders: 1<<53 + 1, Entries: map[string]Assignment{
		"all": {Role: Prefill, Order: 4, Target: Decode, Serving: true, ChangedAt: 5, ReopenedAt: 6, Pinned: true, CanPrefill: true, CanDecode: true, Reason: "w"},
		"few": {Role: Both, Target: Both}, "w": {Role: Decode, Target: Both, Serving: true, CanDecode: true},
	}}
	golden.Check(t, "book.json", marshal(t, b))
	back := again[Assignments](t, "book.json")
	if back.Version != 7 || back.Orders != 1<<53+1 || len(back.Entries) != 3 {
		t.Errorf("version %d, orders %d, %d entries", back.Version, back.Orders, len(back.Entries))
	}
	for id, e := range b.Entries {
		if back.Entries[id] != e {
			t.Errorf("entry %s differs", id)
		}
	}
	golden.Check(t, "tells.json", marshal(t, b.PendingCommands()))
	again[[]Command](t, "tells.json")
}

func TestStoredSeat(t *testing.T) {
	seats := []EngineState{{Order: 3, Role: Prefill, Target: Decode}, {Order: 1<<53 + 1, Role: Both, Target: Both}}
	golden.Check(t, "seats.json", marshal(t, seats))
	for i, s := range again[[]EngineState](t, "seats.json") {
		if s != seats[i] {
			t.Errorf("seat %d differs", i)
		}
	}
	words := []StatusReport{seats[0].StatusReport(), seats[1].StatusReport()}
	golden.Check(t, "words.json", marshal(t, words))
	for i, w := range again[[]StatusReport](t, "words.json") {
		if w != words[i] {
			t.Errorf("word %d differs", i)
		}
	}
}

// TestStoredMemory: a planner takes the recorded memory over and gives the same one.
func TestStoredMemory(t *testing.T) {
	newOne := func() *Planner {
		p, err := New(Config{})
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	p := newOne()
	m := Memory{
		Lead: len(p.experts) - 1, ChangeCost: 2.5, LastSplit: [2]int{3, 4},
		Cooldowns: []CooldownMemory{{ID: "e0", Remaining: time.Second, Pause: time.Minute}, {ID: "e1", Remaining: time.Minute, Pause: 2 * time.Minute}},
	}
	for i, x := range p.experts {
		m.Experts = append(m.Experts, ExpertMemory{Memory: x.lookback, Loss: float64(i) / 3, Readers: i, Writers: i + 1, Past: []PastMemory{
			{Age: 3 * time.Second, Reading: 1.5, Writing: 1e-9, Seconds: 1}, {Age: time.Second, Reading: 2, Writing: 0.1, Seconds: 2},
		}})
	}
	golden.Check(t, "memory.json", marshal(t, m))
	if err := p.Recall(again[Memory](t, "memory.json"), 0, 0); err != nil {
		t.Fatal(err)
	}
	got, ok := p.Memory()
	if !ok {
		t.Fatal("no memory")
	}
	golden.Check(t, "memory.json", marshal(t, got))
	p = newOne() // from a while ago
	if err := p.Recall(again[Memory](t, "memory.json"), 1500*time.Millisecond, 0); err != nil {
		t.Fatal(err)
	}
	got, _ = p.Memory()
	golden.Check(t, "memory-aged.json", marshal(t, got))
}
