package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metricPrefix is the common prefix of the metric names.
const metricPrefix = "brackenbend_"

// Metrics holds the gateway's metrics.
type Metrics struct {
	registry             *prometheus.Registry
	FinalAnswers         *prometheus.CounterVec   // by class and result
	Attempts             *prometheus.CounterVec   // by stage and result
	FirstTokenSeconds    *prometheus.HistogramVec // by class
	ClientConnections    prometheus.Gauge
	OpenRequests         prometheus.Gauge
	EarlyRejections      *prometheus.CounterVec // of connections and requests, before a request was accepted; by reason
	DecisionSeconds      prometheus.Histogram
	DecisionEvents       prometheus.Histogram
	DecisionTimeouts     prometheus.Counter     // error responses sent because the event loop had made no decision in time
	EndpointUpdates      *prometheus.CounterVec // by scope
	Engines              *prometheus.GaugeVec   // by role and state
	StateReleases        *prometheus.CounterVec // by result
	HeldReadStates       prometheus.Gauge
	ReadStateHeldSeconds *prometheus.HistogramVec // by how the state was consumed or lost
	UnservedRequests     *prometheus.CounterVec   // by result and reason
	ClosedConnections    *prometheus.CounterVec   // of clients, by reason
	LostRequests         *prometheus.CounterVec   // rejected or failed before the first token, by stage
}

// LostRequestsName is the name, without metricPrefix, of the counter that the role planner reads from replicas.
const LostRequestsName = "lost_requests_total"

// NewMetrics creates and registers all metrics.
func NewMetrics() *Metrics {
	r := registrar{prometheus.NewRegistry()}
	m := &Metrics{
		registry: r.Registry,
		FinalAnswers: r.counterVec("answers_total",
			"Final answers, by class and result (served, refused, failed, broken, gone).", "class", "result"),
		Attempts: r.counterVec("attempts_total",
			"Attempts that ended, by stage (read, write) and result.", "stage", "result"),
		EarlyRejections: r.counterVec("turned_away_total",
			"Requests turned away before they were taken, by reason.", "reason"),
		EndpointUpdates: r.counterVec("register_updates_total",
			"Updates of the list of engines, by scope.", "scope"),
		StateReleases: r.counterVec("releases_total",
			"Read states let go at engines, by result (done, failed).", "result"),
		LostRequests: r.counterVec(LostRequestsName,
			"Requests refused or failed before their first token, by the stage that they had not passed (read, write).",
			"stage"),
		UnservedRequests: r.counterVec("not_served_total",
			"Requests that were not served, by result (refused, failed, broken, gone) and reason.", "result", "reason"),
		ClosedConnections: r.counterVec("client_connections_closed_total",
			"Client connections closed, by reason.", "reason"),
		HeldReadStates: r.gauge("read_states_held",
			"Read states that wait at readers for a writer or a release, as far as the front knows."),
		ClientConnections: r.gauge("client_connections", "Client connections open."),
		OpenRequests:      r.gauge("open_requests", "Requests taken and not answered in full."),
		Engines:           r.gaugeVec("engines", "Engines on the list, by role and state.", "role", "state"),
		FirstTokenSeconds: r.histogramVec("first_token_seconds", "From a request's end to its first token.",
			prometheus.ExponentialBuckets(0.01, 1.6, 20), "class"),
		ReadStateHeldSeconds: r.histogramVec("read_state_held_seconds",
			"From a read's end until its state was fetched, gone, released, or its release failed.",
			prometheus.ExponentialBuckets(0.005, 1.6, 18), "end"),
		DecisionSeconds: r.histogram("decision_seconds", "One round of the decision loop.",
			prometheus.ExponentialBuckets(1e-6, 2, 20)),
		DecisionEvents: r.histogram("decision_events", "Events a round of the decision loop took.",
			prometheus.ExponentialBuckets(1, 2, 14)),
		DecisionTimeouts: r.counter("backstops_total",
			"Requests that were answered at the end of the client's time without a "+
				"decision; each is a fault of the front."),
	}
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registrar creates metrics whose names begin with metricPrefix, and registers them.
type registrar struct{ *prometheus.Registry }

func (r registrar) counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: metricPrefix + name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func (r registrar) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: metricPrefix + name, Help: help})
	r.MustRegister(c)
	return c
}

func (r registrar) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help})
	r.MustRegister(g)
	return g
}

func (r registrar) gaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: metricPrefix + name, Help: help}, labels)
	r.MustRegister(g)
	return g
}

func (r registrar) histogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: metricPrefix + name, Help: help, Buckets: buckets})
	r.MustRegister(h)
	return h
}

func (r registrar) histogramVec(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(
		prometheus.HistogramOpts{Name: metricPrefix + name, Help: help, Buckets: buckets}, labels)
	r.MustRegister(h)
	return h
}
