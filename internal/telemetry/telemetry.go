// Package telemetry makes the front's logger and metrics. What is measured is named here once; labels come from the
// settings (classes) or are fixed words, so their number is bounded.
package telemetry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger writes to out. Of lines with the same message and level, perSecond are written each second and every
// hundredth after that, so that a storm of failures does not become a storm of lines.
func NewLogger(out io.Writer, format, level string, perSecond int) (*zap.Logger, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	enc := zapcore.NewJSONEncoder(cfg)
	if format == "console" {
		enc = zapcore.NewConsoleEncoder(cfg)
	}
	core := zapcore.NewCore(enc, zapcore.Lock(zapcore.AddSync(out)), lvl)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, perSecond, 100)), nil
}

// Metrics are the front's measurements.
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
	EndpointUpdates     *prometheus.CounterVec
	Engines             *prometheus.GaugeVec
	Releases            *prometheus.CounterVec
	StatesHeld          prometheus.Gauge
	StateHeldSeconds    *prometheus.HistogramVec // by how its time ended
	NotServed           *prometheus.CounterVec   // by result and reason
	ClosedConnections   *prometheus.CounterVec   // clients' connections, by reason
	LostRequests        *prometheus.CounterVec   // requests that a stage was short of
}

// LostRequestsName is the counter that a planner of roles reads, without the prefix.
const LostRequestsName = "lost_requests_total"

// NewMetrics makes and registers them.
func NewMetrics() *Metrics {
	m := &Metrics{reg: prometheus.NewRegistry()}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "brackenbend_" + name, Help: help}, labels)
		m.reg.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Name: "brackenbend_" + name, Help: help})
		m.reg.MustRegister(g)
		return g
	}
	histogram := func(name, help string, from, factor float64, n int) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Name: "brackenbend_" + name, Help: help, Buckets: prometheus.ExponentialBuckets(from, factor, n)}
	}
	m.Answers = counter("answers_total", "Final answers, by class and result (served, refused, failed, broken, gone).", "class", "result")
	m.Attempts = counter("attempts_total", "Attempts that ended, by stage (read, write) and result.", "stage", "result")
	m.RejectedConnections = counter("turned_away_total", "Requests turned away before they were taken, by reason.", "reason")
	m.EndpointUpdates = counter("register_updates_total", "Updates of the list of engines, by scope.", "scope")
	m.Releases = counter("releases_total", "Read states let go at engines, by result (done, failed).", "result")
	m.LostRequests = counter(LostRequestsName, "Requests refused or failed before their first token, by the stage that they had not passed (read, write).", "stage")
	m.NotServed = counter("not_served_total", "Requests that were not served, by result (refused, failed, broken, gone) and reason.", "result", "reason")
	m.ClosedConnections = counter("client_connections_closed_total", "Client connections closed, by reason.", "reason")
	m.StatesHeld = gauge("read_states_held", "Read states that wait at readers for a writer or a release, as far as the front knows.")
	m.ClientConnections = gauge("client_connections", "Client connections open.")
	m.OpenRequests = gauge("open_requests", "Requests taken and not answered in full.")
	m.Engines = prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "brackenbend_engines", Help: "Engines on the list, by role and state."}, []string{"role", "state"})
	m.FirstToken = prometheus.NewHistogramVec(histogram("first_token_seconds", "From a request's end to its first token.", 0.01, 1.6, 20), []string{"class"})
	m.StateHeldSeconds = prometheus.NewHistogramVec(histogram("read_state_held_seconds", "From a read's end until its state was fetched, gone, released, or its release failed.", 0.005, 1.6, 18), []string{"end"})
	m.DecisionSeconds = prometheus.NewHistogram(histogram("decision_seconds", "One round of the decision loop.", 1e-6, 2, 20))
	m.DecisionEvents = prometheus.NewHistogram(histogram("decision_events", "Events a round of the decision loop took.", 1, 2, 14))
	backstops := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "brackenbend_backstops_total",
		Help: "Requests that were answered at the end of the client's time without a decision; each is a fault of the front.",
	})
	m.Backstops = backstops
	m.reg.MustRegister(m.Engines, m.FirstToken, m.StateHeldSeconds, m.DecisionSeconds, m.DecisionEvents, backstops, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Serve answers /healthz, /readyz and /metrics on l until it is closed. ready tells why the front is not ready,
// "" when it is.
func (m *Metrics) Serve(l net.Listener, ready func() string) error {
	return ServeAdmin(l, m.reg, ready)
}

// ServeAdmin does the same for any metrics.
func ServeAdmin(l net.Listener, metrics prometheus.Gatherer, ready func() string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "alive") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if why := ready(); why != "" {
			http.Error(w, why, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return srv.Serve(l)
}
