package planner_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"brackenbend/internal/fake/apiserver"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var kinds = map[roles.Role]string{roles.Prefill: "prefill", roles.Decode: "decode", roles.Both: "mixed"}

func params(r roles.Role) enginemodel.Params {
	return enginemodel.Params{
		Reads: r.Prefills(), Writes: r.Decodes(), Slots: 16, Queue: 32, Memory: 200000, ReadRate: 50000, Chunk: 512,
		Step: 2 * time.Millisecond, FetchRate: 1e6, Kept: 100000, StateLife: 30 * time.Second,
	}
}

// fleet is a register with engines that may change role.
type fleet struct {
	t       *testing.T
	reg     *apiserver.Server
	engines map[string]*engine.Server
	client  planner.Client
	http    *http.Client
	metrics *planner.Metrics // of the newest planner
}

func newFleet(t *testing.T, has ...roles.Role) *fleet {
	t.Helper()
	f := &fleet{t: t, engines: map[string]*engine.Server{}, http: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	f.register("")
	for i, r := range has {
		all := map[roles.Role]enginemodel.Params{}
		for x := range kinds {
			all[x] = params(x)
		}
		name := fmt.Sprint("e", i)
		f.reg.Shift(name, r, kinds)
		s, err := engine.Start(engine.Config{
			Name: name, Params: params(r), Roles: all, Seat: roles.EngineState{Role: r, Target: r}, Switch: 5 * time.Millisecond,
			CancelStops: true, Changed: f.list,
		}, "127.0.0.1:0", false)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		f.engines[name] = s
	}
	return f
}

func (f *fleet) register(book string) {
	f.t.Helper()
	var err error
	if f.reg, err = apiserver.Start("127.0.0.1:0", nil); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(f.reg.Close)
	if err := f.reg.KeepBook(book); err != nil {
		f.t.Fatal(err)
	}
	f.client = planner.Client{URL: f.reg.URL(), HTTP: f.http}
}

func (f *fleet) list(s *engine.Server) {
	in := s.Info()
	f.reg.Set(apiserver.Entry{Name: in.Name, Zone: "z", Cell: "c", Address: in.Address, UID: in.UID, Ready: in.Up, Started: in.Started})
}

// run starts a planner; the function that it returns ends it as a crash does.
func (f *fleet) run(s roles.Config) (kill func()) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.metrics = planner.NewMetrics()
	r := &planner.Runner{Metrics: f.metrics, Register: f.client, Settings: s, Interval: 10 * time.Millisecond, SaveInterval: 20 * time.Millisecond, Log: zap.NewNop()}
	go func() {
		defer close(done)
		if err := r.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	kill = func() { stop(); <-done }
	f.t.Cleanup(kill)
	return kill
}

func (f *fleet) force(id string, to roles.Role) {
	f.t.Helper()
	if _, err := f.client.Update(f.t.Context(), func(b roles.Assignments) (roles.Assignments, error) { return b.Start(id, to, "test") }); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) eventually(what string, ok func(b roles.Assignments) bool) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(f.reg.Book()); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s: %+v", what, f.reg.Book())
		}
	}
}

// is tells whether an engine is settled in a role, by the book and by itself.
func (f *fleet) is(id string, r roles.Role) func(roles.Assignments) bool {
	return func(b roles.Assignments) bool {
		e, s := b.Entries[id], f.engines[id].Seat()
		return e.Serving && e.Role == r && s.Role == r && s.Target == r
	}
}

var quiet = roles.Config{MinDwell: time.Hour}

func TestAnOrderIsCarriedOut(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	f.run(quiet)
	f.force("e0", roles.Decode)
	f.eventually("settled", f.is("e0", roles.Decode))
	serves := func() (n float64) {
		all, err := f.metrics.Registry.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range all {
			if m.GetName() == "brackenbend_planner_engines" {
				for _, x := range m.Metric {
					n += x.GetGauge().GetValue() * map[bool]float64{true: 1}[x.Label[0].GetValue() == "writer" && x.Label[1].GetValue() == "serves"]
				}
			}
		}
		return n
	}
	f.eventually("shown by the metrics", func(roles.Assignments) bool { return serves() == 2 })
	if e, _ := f.reg.Entry("e1"); e.Name != "e1" {
		t.Errorf("%+v", e)
	}
	resp, err := f.http.Get(f.reg.URL() + "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(text), `"brackenbend.dev/kind":"decode"`) != 2 || !strings.Contains(string(text), "brackenbend.dev/started") {
		t.Errorf("fronts are told %s %v", text, err)
	}
}

// TestHeldStateIsTakenFirst: an engine that is ordered away while it holds a state for a writer takes nothing new,
// keeps the state until it is taken, and switches then.
func TestHeldStateIsTakenFirst(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	reader := "http://" + f.engines["e0"].Info().Address
	post := func(url, id, body string) *http.Response {
		req, _ := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
		req.Header.Set("X-Request-Id", id)
		resp, err := f.http.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp
	}
	read := `{"model":"m","messages":[{"role":"user","content":"hello"}],"kv_transfer_params":{"do_remote_decode":true}}`
	if resp := post(reader+"/v1/chat/completions", "r1", read); resp.StatusCode != 200 || f.engines["e0"].States() != 1 {
		t.Fatalf("%d, %d states", resp.StatusCode, f.engines["e0"].States())
	}
	f.run(quiet)
	f.force("e0", roles.Decode)
	for end := time.Now().Add(20 * time.Second); f.engines["e0"].Seat().Target != roles.Decode; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the order was not heard")
		}
	}
	if resp := post(reader+"/v1/chat/completions", "r2", read); resp.StatusCode != 503 || resp.Header.Get("X-Brackenbend-Never-Ran") != "1" {
		t.Errorf("new work was answered %d while it drains", resp.StatusCode)
	}
	if s := f.engines["e0"].Seat(); s.Role != roles.Prefill || f.engines["e0"].States() != 1 {
		t.Errorf("it switched to %v with a state held", s.Role)
	}
	if resp := post(reader+"/standin/take", "", `{"id":"r1"}`); resp.StatusCode != 200 {
		t.Errorf("the state was lost: %d", resp.StatusCode)
	}
	f.eventually("settled", f.is("e0", roles.Decode))
}

// TestCrashesOnTheWay: the planner dies with the order written and not told, the engine dies with the order heard, the
// register restarts from its disk; whoever comes next goes on.
func TestCrashesOnTheWay(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	book := filepath.Join(t.TempDir(), "book.json")
	if err := f.reg.KeepBook(book); err != nil {
		t.Fatal(err)
	}
	f.force("e0", roles.Decode) // written; nobody tells it
	kill := f.run(quiet)
	f.eventually("told by the next planner", f.is("e0", roles.Decode))
	kill()

	f.force("e1", roles.Both)
	resp, err := f.http.Post("http://"+f.engines["e1"].Info().Address+planner.Path, "application/json", strings.NewReader(`{"id":"e1","order":2,"to":"both"}`))
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(err)
	}
	resp.Body.Close()
	f.engines["e1"].Crash()
	if err := f.engines["e1"].Restart(); err != nil {
		t.Fatal(err)
	}
	f.reg.Close()
	was := f.reg.Book()
	f.register(book)
	if got := f.reg.Book(); got.Orders != was.Orders || got.Entries["e1"] != was.Entries["e1"] {
		t.Fatalf("the register came back with %+v, it had %+v", got, was)
	}
	for name, s := range f.engines {
		f.reg.Shift(name, s.Seat().Role, kinds)
		f.list(s)
	}
	f.run(quiet)
	f.eventually("settled", f.is("e1", roles.Both))
}

// TestOldNewsIsRefused: a planner that was paused writes from the book that it read before another wrote.
func TestOldNewsIsRefused(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	old, err := f.client.View(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	f.force("e0", roles.Decode)
	b, err := old.Assignments.Start("e1", roles.Decode, "old news")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.Write(t.Context(), b); !errors.Is(err, roles.ErrConflict) {
		t.Errorf("%v", err)
	}
	if _, err := f.client.Update(t.Context(), func(b roles.Assignments) (roles.Assignments, error) { return b.Start("e1", roles.Decode, "") }); !errors.Is(err, roles.ErrLastOfStage) {
		t.Errorf("the last reader was given away: %v", err)
	}
}

// TestNoRegisterNoChange: while the register is cut off a planner does nothing, and goes on after.
func TestNoRegisterNoChange(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	f.force("e0", roles.Decode)
	f.reg.Cut(true)
	f.run(quiet)
	if _, err := f.client.View(t.Context()); err == nil {
		t.Error("a register that is cut off answers")
	}
	if f.engines["e0"].Seat().Order != 0 {
		t.Error("an engine was told without the book")
	}
	f.reg.Cut(false)
	f.eventually("settled", f.is("e0", roles.Decode))
}

// TestWhatWasLearnedOutlivesThePlanner, and the register that keeps it; what can't be right is passed over.
func TestWhatWasLearnedOutlivesThePlanner(t *testing.T) {
	book := filepath.Join(t.TempDir(), "book.json")
	f := newFleet(t, roles.Prefill, roles.Decode)
	if err := f.reg.KeepBook(book); err != nil {
		t.Fatal(err)
	}
	left := func(after time.Time) (s planner.Saved) {
		f.eventually("a memory is left", func(roles.Assignments) bool {
			var ok bool
			var err error
			s, ok, err = f.client.LoadMemory(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return ok && s.At.After(after) && len(s.Memory.Experts) > 0
		})
		return s
	}
	if _, ok, err := f.client.LoadMemory(t.Context()); ok || err != nil {
		t.Fatalf("%v %v before there was a planner", ok, err)
	}
	kill := f.run(quiet)
	left(time.Time{})
	kill()
	f.reg.Close()
	f.register(book)
	for id, e := range f.engines {
		f.reg.Shift(id, e.Seat().Role, kinds)
		f.list(e)
	}
	oldest := func(s planner.Saved) time.Duration { return s.Memory.Experts[0].Past[0].Age }
	began := time.Now()
	kill = f.run(quiet)
	s := left(began)
	if oldest(s) <= s.At.Sub(began) {
		t.Errorf("the second planner knows nothing of the time before it: oldest %v, it began %v before", oldest(s), s.At.Sub(began))
	}
	kill()
	if err := f.client.SaveMemory(t.Context(), planner.Saved{At: time.Now(), Memory: roles.Memory{Lead: 99}}); err != nil {
		t.Fatal(err)
	}
	began = time.Now()
	f.run(quiet)
	if s := left(began); oldest(s) > s.At.Sub(began) {
		t.Errorf("a third planner, with a memory that can't be, knows of a time before it: %v", oldest(s))
	}
}
