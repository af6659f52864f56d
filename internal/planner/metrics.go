package planner

import (
	"brackenbend/roles"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Metrics are what a planner measures of itself and of the fleet as it sees it. Labels are roles and stages only.
type Metrics struct {
	Registry *prometheus.Registry

	engines    *prometheus.GaugeVec // by role and state
	asked      *prometheus.GaugeVec // by stage, in engines
	wanted     prometheus.Gauge
	memory     prometheus.Gauge
	changeTime prometheus.Gauge
	unbelieved prometheus.Gauge
	believed   prometheus.Gauge
	changes    *prometheus.CounterVec // by role
	calledOff  prometheus.Counter
	looks      *prometheus.CounterVec // by result
}

// NewMetrics makes and registers them.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "brackenbend_planner_" + name, Help: help})
		m.Registry.MustRegister(g)
		return g
	}
	m.engines = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "brackenbend_planner_engines", Help: "Engines in the book, by role and state (serves, changing)."}, []string{"role", "state"})
	m.asked = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "brackenbend_planner_asked_engines", Help: "Work asked for, by stage, in engines."}, []string{"stage"})
	m.changes = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "brackenbend_planner_changes_total", Help: "Changes ordered by this planner, by the role ordered."}, []string{"role"})
	m.looks = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "brackenbend_planner_looks_total", Help: "Looks at the fleet, by result (done, failed)."}, []string{"result"})
	m.calledOff = prometheus.NewCounter(prometheus.CounterOpts{Name: "brackenbend_planner_called_off_total", Help: "Changes called off by this planner."})
	m.Registry.MustRegister(m.engines, m.asked, m.changes, m.looks, m.calledOff, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.wanted = gauge("wanted_readers", "Readers wanted.")
	m.memory = gauge("memory_seconds", "How long the expert that leads looks back; 0 while nothing is planned.")
	m.changeTime = gauge("change_seconds", "What a change takes, as seen.")
	m.unbelieved = gauge("unbelieved_engines", "Engines whose figures are missing, late, frozen or not finite.")
	m.believed = gauge("believed", "1 while the figures are enough to plan by.")
	return m
}

// plan books a look that was planned.
func (m *Metrics) plan(p roles.Plan, b roles.Assignments) {
	m.asked.WithLabelValues("reading").Set(p.Reading)
	m.asked.WithLabelValues("writing").Set(p.Writing)
	m.wanted.Set(float64(p.Readers))
	m.memory.Set(p.Lookback.Seconds())
	m.changeTime.Set(p.ChangeTime.Seconds())
	m.unbelieved.Set(float64(p.UntrustedReports))
	m.believed.Set(0)
	if p.Trusted {
		m.believed.Set(1)
	}
	m.engines.Reset()
	for _, e := range b.Entries {
		state := "serves"
		if !e.Serving {
			state = "changing"
		}
		m.engines.WithLabelValues(e.Role.String(), state).Inc()
	}
}
