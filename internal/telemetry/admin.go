package telemetry

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHeaderTimeout is the time in which a client of the admin address must send a request's header.
const adminHeaderTimeout = 5 * time.Second

// Serve serves /healthz, /readyz and /metrics on l until l is closed. ready returns the reason why the gateway is not
// ready, or "" if it is.
func (m *Metrics) Serve(l net.Listener, ready func() string) error {
	return ServeAdmin(l, m.registry, ready)
}

// ServeAdmin is like Serve, but exposes the given metrics.
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

// writeLine writes a response of one line. It ignores the error, which only a disconnected client causes.
func writeLine(w io.Writer, line string) { _, _ = io.WriteString(w, line+"\n") }
