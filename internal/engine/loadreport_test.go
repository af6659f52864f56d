package engine

import "testing"

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
