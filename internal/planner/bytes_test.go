package planner_test

import (
	"brackenbend/internal/golden"
	"brackenbend/internal/planner"
	"brackenbend/roles"
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
)

// peer answers each request with a text by its method and path, and keeps the bytes of all requests.
type peer struct {
	l       net.Listener
	answers map[string]string // by "METHOD path"; none = 404
	seen    chan string       // "METHOD path" of each
	mu      sync.Mutex
	got     strings.Builder
}

func newPeer(t *testing.T, answers map[string]string) *peer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{l: l, answers: answers, seen: make(chan string, 100)}
	done := make(chan struct{})
	t.Cleanup(func() { l.Close(); <-done })
	go func() {
		defer close(done)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			p.serve(nc)
		}
	}()
	return p
}

func (p *peer) serve(nc net.Conn) {
	defer nc.Close()
	var raw strings.Builder
	req, err := http.ReadRequest(bufio.NewReaderSize(io.TeeReader(nc, &raw), 1<<16))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	what := req.Method + " " + req.URL.Path
	text, ok := p.answers[what]
	status := "200 OK"
	if !ok {
		status = "404 Not Found"
	}
	p.mu.Lock()
	fmt.Fprintf(&p.got, "%q\n", raw.String())
	p.mu.Unlock()
	fmt.Fprintf(nc, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
	p.seen <- what
}

// text is what came, with the ports and times that differ from run to run replaced, and these only.
func (p *peer) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := strings.ReplaceAll(p.got.String(), p.l.Addr().String(), "HOST:PORT")
	s = regexp.MustCompile(`(\\"(?:changed|began)\\":)\d{19}\b`).ReplaceAllString(s, "${1}UNIXNANO")
	return s
}

// next is what is asked next; a request that does not come is a failure, not a wait without end.
func (p *peer) next(t *testing.T) string {
	t.Helper()
	select {
	case what := <-p.seen:
		return what
	case <-time.After(20 * time.Second):
		t.Fatalf("no more requests within 20 s; so far:\n%s", p.text())
		return ""
	}
}

func plainHTTP() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// turnOnce is a policy that orders one change, then nothing.
type turnOnce struct{ plan roles.Plan }

func (p *turnOnce) Step(time.Duration, []roles.Engine, []roles.Replica) roles.Plan {
	plan := p.plan
	p.plan = roles.Plan{}
	return plan
}

const storedBook = `{"version":7,"orders":4,"entries":{` +
	`"e0":{"role":"reader","to":"reader","open":true,"reads":true,"writes":true},` +
	`"e1":{"role":"writer","order":4,"to":"reader","open":false,"changed":5,"began":6,"reads":true,"writes":true,"why":"w"},` +
	`"e2":{"role":"both","order":2,"to":"both","open":true,"pinned":true,"reads":true,"writes":true},` +
	`"e3":{"role":"reader","to":"reader","open":true,"reads":true,"writes":true}}}`

// TestPlannerRequestBytes records what one round of a planner writes to the register, to engines and to a front. The golden
// files were recorded before the renaming and are not updated meanwhile.
func TestPlannerRequestBytes(t *testing.T) {
	status := func(order int, role string) string {
		return fmt.Sprintf(`{"order":%d,"role":%q,"serves":true,"held":3,"read":{"done":1.5,"waiting":2,"lost":0,"count":4},`+
			`"write":{"done":0,"waiting":0,"lost":0,"count":0}}`, order, role)
	}
	get, post := "GET "+"/v1/brackenbend/role", "POST "+"/v1/brackenbend/role"
	e0 := newPeer(t, map[string]string{get: status(0, "reader"), post: status(5, "reader")})
	e1 := newPeer(t, map[string]string{get: status(4, "reader")})
	e2 := newPeer(t, map[string]string{get: status(2, "both")})
	front := newPeer(t, map[string]string{"GET /metrics": "brackenbend_lost_requests_total{stage=\"read\"} 2\n"})
	held := strings.NewReplacer(`"version":7`, `"version":8`, `"orders":4`, `"orders":5`,
		`"e0":{"role":"reader","to":"reader","open":true`, `"e0":{"role":"reader","order":5,"to":"writer","open":false`,
		`"e1":{"role":"writer","order":4,"to":"reader","open":false`, `"e1":{"role":"reader","order":4,"to":"reader","open":true`,
	).Replace(storedBook)
	view := fmt.Sprintf(`{"book":%s,"listings":{"e0":{"address":%q,"place":"z/c","up":true},"e1":{"address":%q,"up":true},`+
		`"e2":{"address":%q,"up":true},"e3":{"address":"127.0.0.1:1","up":false}}}`,
		storedBook, e0.l.Addr(), e1.l.Addr(), e2.l.Addr())
	reg := newPeer(t, map[string]string{"GET /v1/brackenbend/roles": view, "PUT /v1/brackenbend/roles": held})
	client := plainHTTP()
	defer client.CloseIdleConnections()
	r := &planner.Runner{
		Register: planner.Client{URL: "http://" + reg.l.Addr().String() + "/", HTTP: client}, Interval: time.Hour,
		Replicas: []string{front.l.Addr().String()}, Log: zap.NewNop(),
		Policy: &turnOnce{roles.Plan{Changes: []roles.Change{{ID: "e0", Target: roles.Decode, Reason: "more <writing> & such"}}}},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	for range 2 { // asked, then told: the last of a round
		e0.next(t)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	golden.Check(t, "round.txt", "register\n"+reg.text()+"e0\n"+e0.text()+"e1\n"+e1.text()+"e2\n"+e2.text()+"front\n"+front.text())
}

// TestPlannerMemoryBytes: what is left at the register, what is read back, and the book as an operator's command writes it.
func TestPlannerMemoryBytes(t *testing.T) {
	saved := planner.Saved{At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC), Memory: roles.Memory{
		Lead: 1, ChangeCost: 2.5,
		LastSplit: [2]int{3, 4}, Cooldowns: []roles.CooldownMemory{{ID: "e0", Remaining: time.Second, Pause: time.Minute}},
		Experts: []roles.ExpertMemory{{
			Memory: time.Minute, Loss: 0.25, Readers: 1, Writers: 2,
			Past: []roles.PastMemory{{Age: 3, Reading: 0.5, Writing: 1e-9, Seconds: 1}},
		}},
	}}
	text, err := json.Marshal(saved)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "saved.json", string(text))
	stored, err := os.ReadFile(filepath.Join("testdata", "saved.json"))
	if err != nil {
		t.Fatal(err)
	}
	reg := newPeer(t, map[string]string{
		"GET /v1/brackenbend/roles": `{"book":` + storedBook + `,"listings":{}}`,
		"PUT /v1/brackenbend/roles": storedBook, "PUT /v1/brackenbend/roles/memory": "{}",
		"GET /v1/brackenbend/roles/memory": string(stored),
	})
	hc := plainHTTP()
	defer hc.CloseIdleConnections()
	c := planner.Client{URL: "http://" + reg.l.Addr().String(), HTTP: hc}
	back, ok, err := c.LoadMemory(t.Context())
	if err != nil || !ok {
		t.Fatal(ok, err)
	}
	if err := c.SaveMemory(t.Context(), back); err != nil { // whole: the same bytes again
		t.Fatal(err)
	}
	if _, err := c.Update(t.Context(), func(b roles.Assignments) (roles.Assignments, error) { return b, nil }); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "client.txt", reg.text())
}

// TestPlannerMetricNames: names, kinds, helps and labels, without those of the Go runtime and the process.
func TestPlannerMetricNames(t *testing.T) {
	m := planner.NewMetrics()
	reg := newPeer(t, map[string]string{
		"GET /v1/brackenbend/roles": `{"book":` + storedBook + `,"listings":{}}`,
		"PUT /v1/brackenbend/roles": storedBook,
	})
	client := plainHTTP()
	defer client.CloseIdleConnections()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	r := &planner.Runner{
		Register: planner.Client{URL: "http://" + reg.l.Addr().String(), HTTP: client}, Interval: time.Hour,
		Log: zap.NewNop(), Metrics: m, Policy: &turnOnce{roles.Plan{
			Changes: []roles.Change{{ID: "e0", Target: roles.Decode}},
			Reverts: []string{"e1"}, Trusted: true, Readers: 3, Reading: 1.5, Writing: 2.5, Lookback: time.Minute,
			ChangeTime: 2 * time.Second, UntrustedReports: 4,
		}},
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	for what := ""; what != "PUT /v1/brackenbend/roles"; {
		what = reg.next(t)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	all, err := m.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, f := range all {
		if n := f.GetName(); strings.HasPrefix(n, "go_") || strings.HasPrefix(n, "process_") || n == "brackenbend_planner_looks_total" {
			continue // the looks: by result, which depends on when the run was ended; their name is below
		}
		if _, err := expfmt.MetricFamilyToText(&got, f); err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range all {
		if f.GetName() == "brackenbend_planner_looks_total" {
			fmt.Fprintf(&got, "# HELP %s %s\n# TYPE %s %v, label %s\n", f.GetName(), f.GetHelp(), f.GetName(), f.GetType(),
				f.Metric[0].Label[0].GetName())
		}
	}
	golden.Check(t, "metrics.txt", got.String())
}
