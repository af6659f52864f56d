package engine

import (
	"encoding/json"
	"testing"

	"brackenbend/internal/golden"
)

// TestFaultsJSONFormIsUnchanged checks the JSON form in which POST /standin/faults takes faults. The golden file
// pins the JSON names, which stay when Go fields are renamed, and must not be updated.
func TestFaultsJSONFormIsUnchanged(t *testing.T) {
	faults := []Faults{{
		FailFast: 0.5, FailClass: "c", Stall: true, SlowFactor: 2, ResetMidStream: 0.25, ResetAfterRequest: 0.125,
		ResetAfterEffect: 0.75, FailAfterEffect: 0.375, StallAfterEffect: 0.625, FrozenReports: true, NoReports: true,
	}, {}}
	encoded, err := json.MarshalIndent(faults, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "faults.json", string(encoded))
	var decoded []Faults
	err = json.Unmarshal(encoded, &decoded)
	if err != nil || decoded[0] != faults[0] || decoded[1] != faults[1] {
		t.Errorf("decoded faults differ from the encoded ones (error %v)", err)
	}
}

// TestTextIsReadInEachForm checks each JSON form that a message's content or a prompt may have. The keys of the
// parts in an array are those of the chat completions API, matched regardless of case.
func TestTextIsReadInEachForm(t *testing.T) {
	got := ""
	for _, raw := range []string{
		`"a"`, `null`, `[1,2]`, `["b"]`, `[{"type":"text","text":"c"},{"type":"image_url"},{"TEXT":"d"}]`, `{}`,
	} {
		var decoded text
		if err := json.Unmarshal([]byte(raw), &decoded); err != nil {
			got += raw + " -> refused\n"
			continue
		}
		got += raw + " -> " + string(decoded) + "\n"
	}
	golden.Check(t, "parts.txt", got)
}
