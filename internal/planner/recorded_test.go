package planner_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"go.uber.org/zap"

	"brackenbend/internal/golden"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// recordingServer answers each request with the response set for its method and path, and records the bytes of all
// requests.
type recordingServer struct {
	listener  net.Listener
	responses map[string]string // by "METHOD path"; without an entry, 404
	served    chan string       // "METHOD path" of each request
	mu        sync.Mutex
	received  strings.Builder
}

func newRecordingServer(t *testing.T, responses map[string]string) *recordingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &recordingServer{listener: l, responses: responses, served: make(chan string, 100)}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close() // ends the goroutine
		<-done
	})
	go func() {
		defer close(done)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.serve(conn)
		}
	}()
	return s
}

func (s *recordingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // if this fails, the client gets a truncated response and fails the test
	var raw strings.Builder
	req, err := http.ReadRequest(bufio.NewReaderSize(io.TeeReader(conn, &raw), 1<<16))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	key := req.Method + " " + req.URL.Path
	text, ok := s.responses[key]
	status := "200 OK"
	if !ok {
		status = "404 Not Found"
	}
	s.mu.Lock()
	fmt.Fprintf(&s.received, "%q\n", raw.String())
	s.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		status, len(text), text) // an error means that the client has disconnected
	s.served <- key
}

func (s *recordingServer) address() string { return s.listener.Addr().String() }
func (s *recordingServer) url() string     { return "http://" + s.address() }

// timesOfChange matches the wall clock times in an encoded assignment.
var timesOfChange = regexp.MustCompile(`(\\"(?:changed|began)\\":)\d{19}\b`)

// text returns the recorded requests. Only the server's address and the times of changes, which differ in each run, are
// replaced.
func (s *recordingServer) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := strings.ReplaceAll(s.received.String(), s.address(), "HOST:PORT")
	return timesOfChange.ReplaceAllString(text, "${1}UNIXNANO")
}

// newHTTPClient returns a client with a transport of its own, whose connections are closed when the test ends.
func newHTTPClient(t *testing.T) *http.Client {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// onePlan is a policy that returns one plan, then empty ones.
type onePlan struct{ plan roles.Plan }

func (p *onePlan) Step(time.Duration, []roles.Engine, []roles.Replica) roles.Plan {
	plan := p.plan
	p.plan = roles.Plan{}
	return plan
}

// start runs r until the returned function is called.
func start(t *testing.T, r *planner.Runner) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	return func() {
		t.Helper()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}

const storedTable = `{"version":7,"orders":4,"entries":{` +
	`"e0":{"role":"reader","to":"reader","open":true,"reads":true,"writes":true},` +
	`"e1":{"role":"writer","order":4,"to":"reader","open":false,"changed":5,"began":6,` +
	`"reads":true,"writes":true,"why":"w"},` +
	`"e2":{"role":"both","order":2,"to":"both","open":true,"pinned":true,"reads":true,"writes":true},` +
	`"e3":{"role":"reader","to":"reader","open":true,"reads":true,"writes":true}}}`

func statusText(order int, role string) string {
	return fmt.Sprintf(`{"order":%d,"role":%q,"serves":true,"held":3,`+
		`"read":{"done":1.5,"waiting":2,"lost":0,"count":4},`+
		`"write":{"done":0,"waiting":0,"lost":0,"count":0}}`, order, role)
}

// The golden files of these tests hold data as released versions transmit and store it. They must not be updated.

// TestRecordedRound compares the requests of one round to the API server, the engines and a replica with recorded ones.
func TestRecordedRound(t *testing.T) {
	const get, post = "GET /v1/brackenbend/role", "POST /v1/brackenbend/role"
	e0 := newRecordingServer(t, map[string]string{get: statusText(0, "reader"), post: statusText(5, "reader")})
	e1 := newRecordingServer(t, map[string]string{get: statusText(4, "reader")})
	e2 := newRecordingServer(t, map[string]string{get: statusText(2, "both")})
	replica := newRecordingServer(t, map[string]string{
		"GET /metrics": "brackenbend_lost_requests_total{stage=\"read\"} 2\n",
	})
	stored := strings.NewReplacer(`"version":7`, `"version":8`, `"orders":4`, `"orders":5`,
		`"e0":{"role":"reader","to":"reader","open":true`, `"e0":{"role":"reader","order":5,"to":"writer","open":false`,
		`"e1":{"role":"writer","order":4,"to":"reader","open":false`,
		`"e1":{"role":"reader","order":4,"to":"reader","open":true`,
	).Replace(storedTable)
	view := fmt.Sprintf(`{"book":%s,"listings":{`+
		`"e0":{"address":%q,"place":"z/c","up":true},"e1":{"address":%q,"up":true},`+
		`"e2":{"address":%q,"up":true},"e3":{"address":"127.0.0.1:1","up":false}}}`,
		storedTable, e0.address(), e1.address(), e2.address())
	api := newRecordingServer(t, map[string]string{
		"GET /v1/brackenbend/roles": view, "PUT /v1/brackenbend/roles": stored,
	})
	stop := start(t, &planner.Runner{
		APIServer: planner.Client{URL: api.url() + "/", HTTP: newHTTPClient(t)},
		Interval:  time.Hour,
		Replicas:  []string{replica.address()},
		Log:       zap.NewNop(),
		Policy: &onePlan{roles.Plan{
			Changes: []roles.Change{{ID: "e0", Target: roles.Decode, Reason: "more <writing> & such"}},
		}},
	})
	for range 2 { // the poll, then the command, which is the last request of a round
		<-e0.served
	}
	stop()
	golden.Check(t, "round.txt", "register\n"+api.text()+"e0\n"+e0.text()+"e1\n"+e1.text()+"e2\n"+e2.text()+
		"front\n"+replica.text())
}

// recordedMemory returns the memory in saved.json.
func recordedMemory() planner.SavedMemory {
	return planner.SavedMemory{At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC), Memory: roles.Memory{
		Leader: 1, ChangeSeconds: 2.5, LastSplit: [2]int{3, 4},
		Cooldowns: []roles.CooldownMemory{{ID: "e0", Remaining: time.Second, Duration: time.Minute}},
		Experts: []roles.ExpertMemory{{
			Lookback: time.Minute, Loss: 0.25, PrefillEngines: 1, DecodeEngines: 2,
			History: []roles.WorkMemory{{Age: 3, Prefill: 0.5, Decode: 1e-9, Seconds: 1}},
		}},
	}}
}

// TestRecordedClientRequests compares a client's requests with recorded ones: a memory is loaded and saved again
// without any loss, and the table is written as by an operator's command.
func TestRecordedClientRequests(t *testing.T) {
	text, err := json.Marshal(recordedMemory())
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "saved.json", string(text))
	stored, err := os.ReadFile(filepath.Join("testdata", "saved.json"))
	if err != nil {
		t.Fatal(err)
	}
	api := newRecordingServer(t, map[string]string{
		"GET /v1/brackenbend/roles":        `{"book":` + storedTable + `,"listings":{}}`,
		"PUT /v1/brackenbend/roles":        storedTable,
		"GET /v1/brackenbend/roles/memory": string(stored),
		"PUT /v1/brackenbend/roles/memory": "{}",
	})
	client := planner.Client{URL: api.url(), HTTP: newHTTPClient(t)}
	saved, ok, err := client.LoadMemory(t.Context())
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	if err := client.SaveMemory(t.Context(), saved); err != nil { // must send the bytes that were loaded
		t.Fatal(err)
	}
	unchanged := func(table roles.Assignments) (roles.Assignments, error) { return table, nil }
	if _, err := client.Update(t.Context(), unchanged); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "client.txt", api.text())
}

// TestRecordedMetrics compares the names, types, help texts, labels and values of the planner's metrics with recorded
// ones. Metrics of the Go runtime and the process are left out.
func TestRecordedMetrics(t *testing.T) {
	metrics := planner.NewMetrics()
	api := newRecordingServer(t, map[string]string{
		"GET /v1/brackenbend/roles": `{"book":` + storedTable + `,"listings":{}}`,
		"PUT /v1/brackenbend/roles": storedTable,
	})
	stop := start(t, &planner.Runner{
		APIServer: planner.Client{URL: api.url(), HTTP: newHTTPClient(t)},
		Interval:  time.Hour,
		Log:       zap.NewNop(),
		Metrics:   metrics,
		Policy: &onePlan{roles.Plan{
			Changes: []roles.Change{{ID: "e0", Target: roles.Decode}},
			Reverts: []string{"e1"}, Trusted: true, WantedPrefillEngines: 3, PrefillDemand: 1.5, DecodeDemand: 2.5,
			Lookback: time.Minute, ChangeTime: 2 * time.Second, UntrustedReports: 4,
		}},
	})
	for key := ""; key != "PUT /v1/brackenbend/roles"; {
		key = <-api.served
	}
	stop()
	families, err := metrics.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	// How many rounds of each result there are depends on when the run ended. Only the name, help text, type and label of
	// their counter are compared.
	const rounds = "brackenbend_planner_looks_total"
	var got, roundsText strings.Builder
	for _, family := range families {
		name := family.GetName()
		switch {
		case strings.HasPrefix(name, "go_") || strings.HasPrefix(name, "process_"):
		case name == rounds:
			fmt.Fprintf(&roundsText, "# HELP %s %s\n# TYPE %s %v, label %s\n",
				name, family.GetHelp(), name, family.GetType(), family.Metric[0].Label[0].GetName())
		default:
			if _, err := expfmt.MetricFamilyToText(&got, family); err != nil {
				t.Fatal(err)
			}
		}
	}
	golden.Check(t, "metrics.txt", got.String()+roundsText.String())
}
