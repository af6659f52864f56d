package engine

import (
	"maps"
	"testing"
)

func TestParseLoadReportReadsJSON(t *testing.T) {
	report := `JSON {"cpu_utilization":0.3,"rps":"7","named_metrics":{"kv":1,"deep":{"a":2},"big":1e999},"list":[4]}`
	want := map[string]float64{"cpu_utilization": 0.3, "named_metrics.kv": 1}
	if got := ParseLoadReport(report); !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	for _, malformed := range []string{"JSON {", "JSON [1]", "JSON 1", "JSON "} {
		if got := ParseLoadReport(malformed); got != nil {
			t.Errorf("%q: %v", malformed, got)
		}
	}
}

// FuzzParseLoad checks that ParseLoadReport returns only finite metrics.
func FuzzParseLoad(f *testing.F) {
	f.Add("TEXT a=0.1, named_metrics.b=2")
	f.Add(`JSON {"cpu_utilization":0.3,"named_metrics":{"a":1}}`)
	f.Fuzz(func(t *testing.T, report string) {
		for name, value := range ParseLoadReport(report) {
			if value-value != 0 {
				t.Fatalf("%s is not finite", name)
			}
		}
	})
}
