package planner

import (
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/telemetry"
)

// serveMetrics serves a replica's metrics until the test ends and returns the address.
func serveMetrics(t *testing.T, metrics *telemetry.Metrics) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = metrics.Serve(l, func() string { return "" }) // ends with the listener
	}()
	t.Cleanup(func() {
		_ = l.Close() // ends Serve
		<-done
	})
	return l.Addr().String()
}

// TestPollReplicasTurnsLostRequestsIntoWork polls counters served by package telemetry, as a replica serves them.
func TestPollReplicasTurnsLostRequestsIntoWork(t *testing.T) {
	metrics := telemetry.NewMetrics()
	r := &Runner{
		APIServer: Client{HTTP: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second,
		}},
		Replicas:           []string{serveMetrics(t, metrics), "127.0.0.1:1"}, // the second does not answer
		Interval:           10 * time.Second,
		MaxConcurrentPolls: 2,
		Log:                zap.NewNop(),
		lost:               NewLostWorkEstimator(),
		startedAt:          time.Now(),
		statuses: map[string]Status{
			"prefill": {Prefill: StageLoad{Done: 10, Count: 100}},
			"decode":  {Decode: StageLoad{Done: 40, Count: 80}},
		},
	}
	first := r.pollReplicas(t.Context())
	if len(first) != 1 || first[0].Report.Prefill.Lost != 0 {
		t.Fatalf("%+v", first)
	}
	metrics.LostRequests.WithLabelValues("read").Add(20)
	metrics.LostRequests.WithLabelValues("write").Add(4)
	second := r.pollReplicas(t.Context())
	if len(second) != 1 || second[0].Report.Prefill.Lost != 2 || second[0].Report.Decode.Lost != 12 {
		t.Errorf("%+v", second[0].Report)
	}
	// A restarted replica counts from zero again; the totals of its report must not decrease.
	restarted := r.lost.Update(r.Replicas[0], LostCounts{Prefill: 1}, 0, 1, 1)
	if restarted.Prefill.Lost != 2 || restarted.Decode.Lost != 12 {
		t.Errorf("%+v", restarted)
	}
}
