package planner

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"brackenbend/roles"
)

const metricPrefix = "brackenbend_planner_"

// Metrics are a planner's metrics of its own work and of the fleet. Labels are roles, stages, states and results only.
// Names, help texts and label values of metrics must not change, so the fields' names differ from them.
type Metrics struct {
	Registry *prometheus.Registry

	engines              *prometheus.GaugeVec // by role and state
	demand               *prometheus.GaugeVec // by stage, in engines
	wantedPrefillEngines prometheus.Gauge
	lookback             prometheus.Gauge
	changeTime           prometheus.Gauge
	untrustedReports     prometheus.Gauge
	trusted              prometheus.Gauge
	changes              *prometheus.CounterVec // by role
	reverts              prometheus.Counter
	rounds               *prometheus.CounterVec // by result
}

// NewMetrics returns metrics in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		Registry: prometheus.NewRegistry(),
		engines: newGaugeVec("engines",
			"Engines in the book, by role and state (serves, changing).", "role", "state"),
		demand:               newGaugeVec("asked_engines", "Work asked for, by stage, in engines.", "stage"),
		wantedPrefillEngines: newGauge("wanted_readers", "Readers wanted."),
		lookback: newGauge("memory_seconds",
			"How long the expert that leads looks back; 0 while nothing is planned."),
		changeTime: newGauge("change_seconds", "What a change takes, as seen."),
		untrustedReports: newGauge("unbelieved_engines",
			"Engines whose figures are missing, late, frozen or not finite."),
		trusted: newGauge("believed", "1 while the figures are enough to plan by."),
		changes: newCounterVec("changes_total", "Changes ordered by this planner, by the role ordered.", "role"),
		reverts: prometheus.NewCounter(prometheus.CounterOpts{
			Name: metricPrefix + "called_off_total", Help: "Changes called off by this planner.",
		}),
		rounds: newCounterVec("looks_total", "Looks at the fleet, by result (done, failed).", "result"),
	}
	m.Registry.MustRegister(
		m.engines, m.demand, m.wantedPrefillEngines, m.lookback, m.changeTime, m.untrustedReports, m.trusted,
		m.changes, m.reverts, m.rounds,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help})
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, labels)
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, []string{label})
}

// observe records a plan and the table that it was made from.
func (m *Metrics) observe(plan roles.Plan, table roles.Assignments) {
	m.demand.WithLabelValues("reading").Set(plan.PrefillDemand)
	m.demand.WithLabelValues("writing").Set(plan.DecodeDemand)
	m.wantedPrefillEngines.Set(float64(plan.WantedPrefillEngines))
	m.lookback.Set(plan.Lookback.Seconds())
	m.changeTime.Set(plan.ChangeTime.Seconds())
	m.untrustedReports.Set(float64(plan.UntrustedReports))
	m.trusted.Set(0)
	if plan.Trusted {
		m.trusted.Set(1)
	}
	m.engines.Reset()
	for _, e := range table.Entries {
		state := "serves"
		if !e.Serving {
			state = "changing"
		}
		m.engines.WithLabelValues(e.Role.String(), state).Inc()
	}
}
