package scenariorun

import (
	"bytes"
	"encoding/json"
	"testing"

	"brackenbend/internal/audit"
	"brackenbend/internal/golden"
	"brackenbend/internal/simulation/scenario"
)

// TestReportJSONIsUnchanged checks that the JSON form of a report does not change, since later runs read the demand
// over time from reports of earlier ones. The golden file must stay as recorded: its names are not those of the Go
// fields.
func TestReportJSONIsUnchanged(t *testing.T) {
	report := &Report{
		Seconds: 1.5, WorstLagMS: 2.5, Service: 0.5, ExpectedService: 0.25,
		Classes:  []scenario.Row{{Service: 1}},
		Tenants:  []scenario.Row{{Service: 0.5}},
		Attempts: map[string]int{"write": 2, "read": 1},
		Timeline: []scenario.SecondTotals{{ServedWeight: 1, RequestedWeight: 2}},
		Rules: []audit.RuleResult{
			{Rule: "r", Checks: 3, Violations: []string{"b"}, WorstCase: "w"},
			{Rule: "none"},
		},
		RoleSamples: []RoleSample{{
			At: 1.25, PrefillEngines: 2, DecodeEngines: 3, MixedEngines: 4, Changing: 5, Commands: 6,
			PrefillDemand: 7.5, DecodeDemand: 8.5,
		}, {}},
	}
	var encoded, reencoded bytes.Buffer
	if err := report.WriteJSON(&encoded); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "report.json", encoded.String())
	var decoded Report
	if err := json.Unmarshal(encoded.Bytes(), &decoded); err != nil {
		t.Fatal(err)
	}
	if err := decoded.WriteJSON(&reencoded); err != nil || reencoded.String() != encoded.String() {
		t.Errorf("after decoding and encoding again (%v):\n%s", err, reencoded.String())
	}
}

// TestEventJSONIsUnchanged checks that the JSON form of the events that a scenario records (--record) and the value of
// every kind of event do not change.
func TestEventJSONIsUnchanged(t *testing.T) {
	var encoded bytes.Buffer
	encoder := json.NewEncoder(&encoded)
	for _, event := range []audit.Event{{
		At: 5, Kind: audit.Executed, Replica: "f", Engine: "e", Request: "q", Decode: true, Attempt: "t", Intent: "x",
		Class: "c", Result: "served", Deadline: 7,
	}, {}} {
		if err := encoder.Encode(event); err != nil {
			t.Fatal(err)
		}
	}
	for _, kind := range []audit.EventKind{
		audit.AttemptSent, audit.AttemptUnsent, audit.Answer, audit.ConnectionCut, audit.ExtraBytes,
		audit.ClientDisconnected, audit.ReplicaStarted, audit.ReplicaKilled, audit.NotifiedGone, audit.NotifiedReady,
		audit.RequestArrived, audit.RequestEnded, audit.Executed, audit.Deduplicated, audit.StateHeld,
		audit.StateReleased, audit.EngineOverloaded, audit.EngineStarted, audit.EngineStopped,
	} {
		if err := encoder.Encode(kind); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "events.jsonl", encoded.String())
}
