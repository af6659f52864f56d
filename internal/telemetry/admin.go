package telemetry

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHeaderTimeout bounds how long a client of the management address may take for a request's header.
const adminHeaderTimeout = 5 * time.Second

// Serve answers /healthz, /readyz and /metrics on l until it is closed. ready returns why the gateway is not ready, ""
// when it is.
func (m *Metrics) Serve(l net.Listener, ready func() string) error {
	return ServeAdmin(l, m.reg, ready)
}

// ServeAdmin does the same for any metrics.
func ServeAdmin(l net.Listener, metrics prometheus.Gatherer, ready func() string) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeLine(w, "alive") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if reason := ready(); reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		writeLine(w, "ready")
	})
	mux.Handle("GET /metrics", promhttp.HandlerFor(metrics, promhttp.HandlerOpts{}))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: adminHeaderTimeout}
	return server.Serve(l)
}

// writeLine answers with one line. A client that has gone needs no answer, so the error is dropped.
func writeLine(w io.Writer, line string) { _, _ = io.WriteString(w, line+"\n") }
