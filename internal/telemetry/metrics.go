package telemetry

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// prefix begins the name of every metric.
const prefix = "brackenbend_"

// Metrics are the gateway's measurements.
type Metrics struct {
	reg                 *prometheus.Registry
	Answers             *prometheus.CounterVec // by class and result
	Attempts            *prometheus.CounterVec // by stage and result
	FirstToken          *prometheus.HistogramVec
	ClientConnections   prometheus.Gauge
	OpenRequests        prometheus.Gauge
	RejectedConnections *prometheus.CounterVec // before they were taken, by reason
	DecisionSeconds     prometheus.Histogram
	DecisionEvents      prometheus.Histogram
	Backstops           prometheus.Counter
	EndpointUpdates     *prometheus.CounterVec // by scope
	Engines             *prometheus.GaugeVec   // by role and state
	Releases            *prometheus.CounterVec // by result
	StatesHeld          prometheus.Gauge
	StateHeldSeconds    *prometheus.HistogramVec // by how its time ended
	NotServed           *prometheus.CounterVec   // by result and reason
	ClosedConnections   *prometheus.CounterVec   // clients' connections, by reason
	LostRequests        *prometheus.CounterVec   // requests that a stage was short of
}

// LostRequestsName is the counter that a planner of roles reads, without the prefix.
const LostRequestsName = "lost_requests_total"

// NewMetrics makes and registers all metrics.
func NewMetrics() *Metrics {
	r := registrar{prometheus.NewRegistry()}
	m := &Metrics{
		reg: r.Registry,
		Answers: r.counters("answers_total",
			"Final answers, by class and result (served, refused, failed, broken, gone).", "class", "result"),
		Attempts: r.counters("attempts_total",
			"Attempts that ended, by stage (read, write) and result.", "stage", "result"),
		RejectedConnections: r.counters("turned_away_total",
			"Requests turned away before they were taken, by reason.", "reason"),
		EndpointUpdates: r.counters("register_updates_total",
			"Updates of the list of engines, by scope.", "scope"),
		Releases: r.counters("releases_total",
			"Read states let go at engines, by result (done, failed).", "result"),
		LostRequests: r.counters(LostRequestsName,
			"Requests refused or failed before their first token, by the stage that they had not passed (read, write).",
			"stage"),
		NotServed: r.counters("not_served_total",
			"Requests that were not served, by result (refused, failed, broken, gone) and reason.", "result", "reason"),
		ClosedConnections: r.counters("client_connections_closed_total",
			"Client connections closed, by reason.", "reason"),
		StatesHeld: r.gauge("read_states_held",
			"Read states that wait at readers for a writer or a release, as far as the front knows."),
		ClientConnections: r.gauge("client_connections", "Client connections open."),
		OpenRequests:      r.gauge("open_requests", "Requests taken and not answered in full."),
		Engines:           r.gauges("engines", "Engines on the list, by role and state.", "role", "state"),
		FirstToken: r.histograms("first_token_seconds", "From a request's end to its first token.",
			prometheus.ExponentialBuckets(0.01, 1.6, 20), "class"),
		StateHeldSeconds: r.histograms("read_state_held_seconds",
			"From a read's end until its state was fetched, gone, released, or its release failed.",
			prometheus.ExponentialBuckets(0.005, 1.6, 18), "end"),
		DecisionSeconds: r.histogram("decision_seconds", "One round of the decision loop.",
			prometheus.ExponentialBuckets(1e-6, 2, 20)),
		DecisionEvents: r.histogram("decision_events", "Events a round of the decision loop took.",
			prometheus.ExponentialBuckets(1, 2, 14)),
		Backstops: r.counter("backstops_total", "Requests that were answered at the end of the client's time without a "+
			"decision; each is a fault of the front."),
	}
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// registrar makes metrics with the common prefix and registers them.
type registrar struct{ *prometheus.Registry }

func (r registrar) counters(name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: prefix + name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func (r registrar) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: prefix + name, Help: help})
	r.MustRegister(c)
	return c
}

func (r registrar) gauge(name, help string) prometheus.Gauge {
	g := prometheus.NewGauge(prometheus.GaugeOpts{Name: prefix + name, Help: help})
	r.MustRegister(g)
	return g
}

func (r registrar) gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: prefix + name, Help: help}, labels)
	r.MustRegister(g)
	return g
}

func (r registrar) histogram(name, help string, buckets []float64) prometheus.Histogram {
	h := prometheus.NewHistogram(prometheus.HistogramOpts{Name: prefix + name, Help: help, Buckets: buckets})
	r.MustRegister(h)
	return h
}

func (r registrar) histograms(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: prefix + name, Help: help, Buckets: buckets}, labels)
	r.MustRegister(h)
	return h
}
