package planner

import (
	"brackenbend/internal/telemetry"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestLostRequestsBecomeWork: the counter of a real front's metrics, as a planner reads it.
func TestLostRequestsBecomeWork(t *testing.T) {
	m := telemetry.NewMetrics()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- m.Serve(l, func() string { return "" }) }()
	defer func() { l.Close(); <-served }()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	r := &Runner{
		Register: Client{HTTP: client}, Replicas: []string{l.Addr().String(), "127.0.0.1:1"}, Interval: 10 * time.Second, MaxConcurrentPolls: 2,
		lost: NewLostWork(), start: time.Now(), words: map[string]Status{
			"r": {Read: Stage{Done: 10, Count: 100}}, "w": {Write: Stage{Done: 40, Count: 80}},
		},
	}
	first := r.askFronts(t.Context())
	if len(first) != 1 || first[0].Report.Read.Lost != 0 {
		t.Fatalf("%+v", first)
	}
	m.LostRequests.WithLabelValues("read").Add(20)
	m.LostRequests.WithLabelValues("write").Add(4)
	got := r.askFronts(t.Context())
	if len(got) != 1 || got[0].Report.Read.Lost != 2 || got[0].Report.Write.Lost != 12 {
		t.Errorf("%+v", got[0].Report)
	}
	// a front that starts anew begins from nothing, and takes nothing back
	if again := r.lost.Add(r.Replicas[0], [2]float64{1, 0}, 0, 1, 1); again.Read.Lost != 2 || again.Write.Lost != 12 {
		t.Errorf("%+v", again)
	}
}
