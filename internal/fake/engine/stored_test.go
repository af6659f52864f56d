package engine

import (
	"encoding/json"
	"testing"

	"brackenbend/internal/golden"
)

// TestFaultsBytes: the form in which faults are set from outside. The golden file was recorded before the renaming and is not
// updated meanwhile.
func TestFaultsBytes(t *testing.T) {
	faults := []Faults{{
		FailFast: 0.5, FailClass: "c", Stall: true, Slow: 2, ResetMid: 0.25, ResetHead: 0.125, ResetRun: 0.75, FailRun: 0.375,
		StallRun: 0.625, Frozen: true, NoReports: true,
	}, {}}
	text, err := json.MarshalIndent(faults, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "faults.json", string(text))
	var back []Faults
	if err := json.Unmarshal(text, &back); err != nil || back[0] != faults[0] || back[1] != faults[1] {
		t.Errorf("read again (%v): not the same", err)
	}
}

// TestMessageParts: the keys of an array of parts are the chat protocol's.
func TestMessageParts(t *testing.T) {
	got := ""
	for _, raw := range []string{`"a"`, `null`, `[1,2]`, `["b"]`, `[{"type":"text","text":"c"},{"type":"image_url"},{"TEXT":"d"}]`, `{}`} {
		var x text
		err := json.Unmarshal([]byte(raw), &x)
		if err != nil {
			got += raw + " -> refused\n"
			continue
		}
		got += raw + " -> " + string(x) + "\n"
	}
	golden.Check(t, "parts.txt", got)
}
