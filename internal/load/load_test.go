package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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

func clients(t *testing.T) *scenario.Day {
	t.Helper()
	d, err := scenario.Parse("x.xml", []byte(`<day length="1s" rate="60/s" fronts="1" seed="3">
  <service release-within="500ms" drain-grace="500ms" client-retries="1"/>
  <engines kind="m" role="mixed" count="1" slots="4" queue="8" memory="1000tokens" read-rate="1/s" step="1ms" fetch-rate="1/s"/>
  <class name="quick" effect="safe" share="0.7" aim="1s" deadline="10s" prompt="20tokens" answer="4tokens"/>
  <class name="whole" effect="unsafe" share="0.3" aim="1s" deadline="10s" prompt="20tokens" answer="4tokens" not-streamed-part="1"/></day>`))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// fake is a server that refuses each intent's first try and serves the second, the first token after so long.
type fake struct {
	mu    sync.Mutex
	tries map[string]int
	hold  time.Duration
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Model    string
		Stream   bool
		Metadata map[string]string
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Model != "demo" {
		http.Error(w, "no", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.tries[q.Metadata["effect"]]++
	n := f.tries[q.Metadata["effect"]]
	f.mu.Unlock()
	if n == 1 {
		w.Header().Set("Retry-After", "1")
		w.Header().Set("retry-after-ms", "20")
		http.Error(w, `{}`, http.StatusTooManyRequests)
		return
	}
	time.Sleep(f.hold)
	if !q.Stream {
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"ok":true}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for range 3 {
		io.WriteString(w, "data: {}\n\n")
		http.NewResponseController(w).Flush()
	}
	io.WriteString(w, "data: [DONE]\n\n")
}

func TestLoad(t *testing.T) {
	f := &fake{tries: map[string]int{}, hold: 60 * time.Millisecond}
	srv := httptest.NewServer(f)
	defer srv.Close()
	told := 0.0
	rep, err := Run(t.Context(), Plan{
		Day: clients(t), Fronts: []string{srv.Listener.Addr().String()}, Model: "demo", Length: time.Second,
		Progress: func(done float64, _ int) { told = max(told, done) },
	})
	if err != nil {
		t.Fatal(err)
	}
	requests := rep.Classes[0].Requests + rep.Classes[1].Requests
	if requests < 20 || rep.Kinds["refused"] != requests || rep.Kinds["served"] != requests || rep.Service < 0.99 || told == 0 {
		t.Errorf("%d requests, ends %v, service %v, progress %v", requests, rep.Kinds, rep.Service, told)
	}
	for _, c := range rep.Classes {
		// the refusal and its wait are part of what the client waits for its first token
		if q := quantiles(c.First); q.Count != int64(c.Requests) || q.P50 < 80 || c.Tries != 2*c.Requests {
			t.Errorf("%s: %+v, %d tries", c.Name, q, c.Tries)
		}
	}
	if n := rep.Classes[0].Gap.TotalCount(); n != int64(2*rep.Classes[0].Requests) || rep.Tokens < n {
		t.Errorf("%d gaps, %d tokens", n, rep.Tokens)
	}
	var text, page, figures bytes.Buffer
	if rep.WriteText(&text) != nil || rep.WriteHTML(&page) != nil || rep.WriteJSON(&figures) != nil {
		t.Error("a report can't be written")
	}
	if !strings.Contains(text.String(), "quick, first token") || strings.Count(page.String(), "<svg") != 2 || !json.Valid(figures.Bytes()) {
		t.Errorf("%s", text.String())
	}
}

// TestAServerThatStallsIsSeen: arrivals go on while it stalls, and what waits for a place counts its waiting.
func TestAServerThatStallsIsSeen(t *testing.T) {
	var mu sync.Mutex // one request at a time
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mu.Lock()
		defer mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		fmt.Fprint(w, `{}`)
	}))
	defer srv.Close()
	d := clients(t)
	d.Rate = 200 // twice what it serves
	rep, err := Run(t.Context(), Plan{Day: d, Fronts: []string{srv.Listener.Addr().String()}, Length: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	if q := quantiles(rep.Classes[0].First); q.Max < 300 {
		t.Errorf("a server with a second's work behind it, and the longest wait is %v ms", q.Max)
	}
	few, err := Run(t.Context(), Plan{Day: d, Fronts: []string{srv.Listener.Addr().String()}, Length: time.Second, Most: 3})
	if err != nil || few.NotBegun == 0 {
		t.Errorf("%+v %v", few, err)
	}
}

func TestPlansThatCantBe(t *testing.T) {
	d := clients(t)
	for name, p := range map[string]Plan{
		"no front": {Day: d, Length: time.Second}, "elsewhere": {Day: d, Length: time.Second, Fronts: []string{"192.0.2.1:80"}},
		"a name": {Day: d, Length: time.Second, Fronts: []string{"example.com:80"}}, "no port": {Day: d, Length: time.Second, Fronts: []string{"127.0.0.1"}},
		"no time": {Day: d, Fronts: []string{"127.0.0.1:1"}}, "too many": {Day: d, Length: time.Second, Fronts: []string{"127.0.0.1:1"}, Most: 1 << 20},
	} {
		if _, err := Run(t.Context(), p); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if rep, err := Run(ctx, Plan{Day: d, Length: time.Hour, Fronts: []string{"127.0.0.1:1"}}); err != nil || rep.Took > time.Minute {
		t.Errorf("called off: %v %v", rep, err)
	}
}
