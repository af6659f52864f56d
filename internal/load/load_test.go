package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brackenbend/internal/simulation/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newScenario returns a scenario with a class of streamed responses and a class of responses that are not streamed.
func newScenario(t *testing.T) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("x.xml", []byte(`<day length="1s" rate="60/s" fronts="1" seed="3">
  <service release-within="500ms" drain-grace="500ms" client-retries="1"/>
  <engines kind="m" role="mixed" count="1" slots="4" queue="8" memory="1000tokens" read-rate="1/s" step="1ms"
    fetch-rate="1/s"/>
  <class name="quick" effect="safe" share="0.7" aim="1s" deadline="10s" prompt="20tokens" answer="4tokens"/>
  <class name="whole" effect="unsafe" share="0.3" aim="1s" deadline="10s" prompt="20tokens" answer="4tokens"
    not-streamed-part="1"/></day>`))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// rejectingServer rejects the first attempt of each request and serves the others, with the first token after delay.
type rejectingServer struct {
	delay time.Duration

	mu       sync.Mutex
	attempts map[string]int // number of attempts of each request, by its metadata.effect
}

// nextAttempt counts an attempt of a request and returns its number, from 1.
func (s *rejectingServer) nextAttempt(effect string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[effect]++
	return s.attempts[effect]
}

func (s *rejectingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Model    string
		Stream   bool
		Metadata map[string]string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Model != "demo" {
		http.Error(w, "no", http.StatusBadRequest)
		return
	}
	if s.nextAttempt(body.Metadata["effect"]) == 1 {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("retry-after-ms", "20")
		http.Error(w, `{}`, http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.delay)
	if !body.Stream {
		w.Header().Set("Content-Type", "application/json")
		writeText(w, `{"ok":true}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for range 3 {
		writeText(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush() // a disconnected client is visible in the report
	}
	writeText(w, "data: [DONE]\n\n")
}

// writeText writes text. It ignores the error, as a disconnected client is visible in the report.
func writeText(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// startServer starts a server and returns its loopback address.
func startServer(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestRunCountsRetriesAndTokenGaps(t *testing.T) {
	server := &rejectingServer{attempts: map[string]int{}, delay: 60 * time.Millisecond}
	progress := 0.0
	report, err := Run(t.Context(), Plan{
		Scenario: newScenario(t), Replicas: []string{startServer(t, server)}, Model: "demo", Length: time.Second,
		Progress: func(fraction float64, _ int) { progress = max(progress, fraction) },
	})
	if err != nil {
		t.Fatal(err)
	}
	requests := report.Classes[0].Requests + report.Classes[1].Requests
	if requests < 20 || report.Outcomes["refused"] != requests || report.Outcomes["served"] != requests {
		t.Errorf("%d requests, outcomes %v", requests, report.Outcomes)
	}
	if report.Service < 0.99 || progress == 0 {
		t.Errorf("service %v, progress %v", report.Service, progress)
	}
	for _, c := range report.Classes {
		// the time to the first token includes the rejected attempt and the pause of 20 ms after it
		if q := quantiles(c.FirstToken); q.Count != int64(c.Requests) || q.P50 < 80 || c.Attempts != 2*c.Requests {
			t.Errorf("%s: %+v, %d attempts", c.Name, q, c.Attempts)
		}
	}
	gapCount := report.Classes[0].TokenGap.TotalCount()
	if gapCount != int64(2*report.Classes[0].Requests) || report.Tokens < gapCount {
		t.Errorf("%d gaps, %d tokens", gapCount, report.Tokens)
	}
	checkReportFormats(t, report)
}

// checkReportFormats checks the text, HTML and JSON formats of a report.
func checkReportFormats(t *testing.T, report *Report) {
	t.Helper()
	var text, html, jsonText bytes.Buffer
	if report.WriteText(&text) != nil || report.WriteHTML(&html) != nil || report.WriteJSON(&jsonText) != nil {
		t.Error("writing a report failed")
	}
	if !strings.Contains(text.String(), "quick, first token") {
		t.Errorf("text: %s", text.String())
	}
	if strings.Count(html.String(), "<svg") != 2 || !json.Valid(jsonText.Bytes()) {
		t.Errorf("HTML: %s, JSON: %s", html.String(), jsonText.String())
	}
}

// TestRunCountsQueueingDelay guards against coordinated omission: sessions must keep starting while the server is
// overloaded, and latencies must include the time that a request waits in the server's queue. The test
// also checks that sessions beyond Plan.MaxOpenSessions are counted.
func TestRunCountsQueueingDelay(t *testing.T) {
	var mu sync.Mutex // the server serves one request at a time
	address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		writeText(w, `{}`)
	}))
	s := newScenario(t)
	s.Rate = 200 // twice what the server can serve
	plan := Plan{Scenario: s, Replicas: []string{address}, Length: time.Second}
	report, err := Run(t.Context(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if q := quantiles(report.Classes[0].FirstToken); q.Max < 300 {
		t.Errorf("longest time to the first token is %v ms at twice the server's capacity, want at least 300", q.Max)
	}
	plan.MaxOpenSessions = 3
	limitedReport, err := Run(t.Context(), plan)
	if err != nil || limitedReport.NotStarted == 0 {
		t.Errorf("%+v %v", limitedReport, err)
	}
}

func TestRunRejectsInvalidPlans(t *testing.T) {
	s := newScenario(t)
	loopback := []string{"127.0.0.1:1"}
	for name, plan := range map[string]Plan{
		"no replica":     {Scenario: s, Length: time.Second},
		"remote address": {Scenario: s, Length: time.Second, Replicas: []string{"192.0.2.1:80"}},
		"host name":      {Scenario: s, Length: time.Second, Replicas: []string{"example.com:80"}},
		"no port":        {Scenario: s, Length: time.Second, Replicas: []string{"127.0.0.1"}},
		"no length":      {Scenario: s, Replicas: loopback},
		"too many open":  {Scenario: s, Length: time.Second, Replicas: loopback, MaxOpenSessions: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Run(t.Context(), plan); !errors.Is(err, ErrInvalidPlan) {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestRunStopsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	plan := Plan{Scenario: newScenario(t), Length: time.Hour, Replicas: []string{"127.0.0.1:1"}}
	if report, err := Run(ctx, plan); err != nil || report.Elapsed > time.Minute {
		t.Errorf("%v %v", report, err)
	}
}
