package scenariorun

import (
	"bytes"
	"encoding/json"
	"testing"

	"brackenbend/internal/audit"
	"brackenbend/internal/golden"
	"brackenbend/internal/simulation/scenario"
)

// TestStoredReport: a day's report, which a later run reads the work over time from. The golden file was recorded before the
// renaming and is not updated meanwhile.
func TestStoredReport(t *testing.T) {
	r := &Report{
		Seconds: 1.5, LagMS: 2.5, Service: 0.5, Classes: []scenario.Row{{Service: 1}}, Tenants: []scenario.Row{{Service: 0.5}},
		Attempts: map[string]int{"write": 2, "read": 1}, Expected: 0.25, Timeline: []scenario.Second{{Worth: 1, Asked: 2}},
		Rules: []audit.RuleResult{{Rule: "r", Checks: 3, Violations: []string{"b"}, WorstCase: "w"}, {Rule: "none"}},
		Roles: []RoleSample{{At: 1.25, Readers: 2, Writers: 3, Both: 4, Changing: 5, Orders: 6, Reading: 7.5, Writing: 8.5}, {}},
	}
	var b, again bytes.Buffer
	if err := r.WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "report.json", b.String())
	var back Report
	if err := json.Unmarshal(b.Bytes(), &back); err != nil {
		t.Fatal(err)
	}
	if err := back.WriteJSON(&again); err != nil || again.String() != b.String() {
		t.Errorf("read and written again (%v):\n%s", err, again.String())
	}
}

// TestRecordedEventBytes: an event as a day's record (--record) has it.
func TestRecordedEventBytes(t *testing.T) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	for _, e := range []audit.Event{{
		At: 5, Kind: audit.Executed, Replica: "f", Engine: "e", Request: "q", Decode: true, Attempt: "t", Intent: "x",
		Class: "c", Result: "served", Deadline: 7,
	}, {}} {
		if err := enc.Encode(e); err != nil {
			t.Fatal(err)
		}
	}
	for _, k := range []audit.Kind{
		audit.Sent, audit.Unsent, audit.Answer, audit.ConnectionCut, audit.ExtraBytes, audit.ClientLeft, audit.ReplicaStarted,
		audit.ReplicaKilled, audit.NotifiedGone, audit.NotifiedReady, audit.Arrived, audit.Ended, audit.Executed, audit.Deduplicated, audit.StateHeld, audit.StateReleased,
		audit.Overloaded, audit.EngineStarted, audit.EngineStopped,
	} {
		if err := enc.Encode(k); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "events.jsonl", b.String())
}
