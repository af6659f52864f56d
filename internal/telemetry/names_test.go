package telemetry

import (
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"brackenbend/internal/golden"
)

// TestExposedMetricsMatchGolden compares the names, types, help texts, labels and buckets of all metrics, except those
// of the Go runtime and the process, with a golden file. Operators' tools rely on them, so the golden file is not
// updated when Go identifiers are renamed.
func TestExposedMetricsMatchGolden(t *testing.T) {
	m := NewMetrics()
	for i, c := range []*prometheus.CounterVec{
		m.FinalAnswers, m.Attempts, m.EarlyRejections, m.EndpointUpdates, m.StateReleases, m.UnservedRequests,
		m.ClosedConnections, m.LostRequests,
	} {
		hasTwoLabels := i == 0 || i == 1 || i == 5
		if hasTwoLabels {
			c.WithLabelValues("first label", "second label").Add(float64(i + 1))
		} else {
			c.WithLabelValues("only label").Add(float64(i + 1))
		}
	}
	m.Engines.WithLabelValues("first label", "second label").Set(11)
	m.FirstTokenSeconds.WithLabelValues("only label").Observe(0.1)
	m.ReadStateHeldSeconds.WithLabelValues("only label").Observe(0.1)
	m.DecisionSeconds.Observe(0.1)
	m.DecisionEvents.Observe(2)
	m.DecisionTimeouts.Add(12)
	m.ClientConnections.Set(13)
	m.OpenRequests.Set(14)
	m.HeldReadStates.Set(15)
	families, err := m.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, f := range families {
		if n := f.GetName(); strings.HasPrefix(n, "go_") || strings.HasPrefix(n, "process_") {
			continue
		}
		if _, err := expfmt.MetricFamilyToText(&got, f); err != nil {
			t.Fatal(err)
		}
	}
	golden.Check(t, "metrics.txt", got.String())
}
