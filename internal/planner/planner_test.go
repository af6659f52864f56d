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

// eventuallyTimeout is how long tests wait for an effect of a planner. An effect takes a few rounds of 10 ms, and
// longer on a loaded machine.
const eventuallyTimeout = 20 * time.Second

// kinds holds the endpoint kind that the API server lists an engine as, by role.
var kinds = map[roles.Role]string{roles.Prefill: "prefill", roles.Decode: "decode", roles.Both: "mixed"}

func engineParams(role roles.Role) enginemodel.Params {
	return enginemodel.Params{
		CanPrefill: role.Prefills(), CanDecode: role.Decodes(), Slots: 16, MaxQueued: 32, MemoryTokens: 200000,
		PrefillRate: 50000, PrefillChunk: 512,
		StepTime: 2 * time.Millisecond, FetchRate: 1e6, CacheTokens: 100000, StateTTL: 30 * time.Second,
	}
}

// fleet is a fake API server with fake engines that can change role.
type fleet struct {
	t       *testing.T
	api     *apiserver.Server
	engines map[string]*engine.Server
	client  planner.Client
	http    *http.Client
	metrics *planner.Metrics // of the planner started last
}

func newFleet(t *testing.T, engineRoles ...roles.Role) *fleet {
	t.Helper()
	f := &fleet{
		t: t, engines: map[string]*engine.Server{},
		http: &http.Client{Timeout: eventuallyTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	f.startAPIServer("")
	for i, role := range engineRoles {
		f.startEngine(fmt.Sprint("e", i), role)
	}
	return f
}

func (f *fleet) startEngine(name string, role roles.Role) {
	f.t.Helper()
	paramsByRole := map[roles.Role]enginemodel.Params{}
	for r := range kinds {
		paramsByRole[r] = engineParams(r)
	}
	f.api.ManageRole(name, role, kinds)
	s, err := engine.Start(engine.Config{
		Name: name, Params: engineParams(role), Roles: paramsByRole,
		InitialState: roles.EngineState{Role: role, Target: role}, SwitchTime: 5 * time.Millisecond,
		CanCancel: true, OnProcessChange: f.list,
	}, "127.0.0.1:0", false)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(s.Close)
	f.engines[name] = s
}

// startAPIServer starts an API server that stores the assignment table in a file, or in memory only if file is "".
func (f *fleet) startAPIServer(file string) {
	f.t.Helper()
	var err error
	if f.api, err = apiserver.Start("127.0.0.1:0", nil); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(f.api.Close)
	if err := f.api.PersistAssignments(file); err != nil {
		f.t.Fatal(err)
	}
	f.client = planner.Client{URL: f.api.URL(), HTTP: f.http}
}

// restartAPIServer replaces the API server by one that reads the assignment table from file. All engines are listed
// again.
func (f *fleet) restartAPIServer(file string) {
	f.t.Helper()
	f.api.Close()
	f.startAPIServer(file)
	for name, s := range f.engines {
		f.api.ManageRole(name, s.EngineState().Role, kinds)
		f.list(s)
	}
}

// list updates the API server's entry of an engine.
func (f *fleet) list(s *engine.Server) {
	info := s.Info()
	f.api.Set(apiserver.Entry{
		Name: info.Name, Zone: "z", Cell: "c", Address: info.Address, UID: info.UID, Ready: info.Up, Started: info.Started,
	})
}

// runPlanner starts a planner. The function that it returns stops the planner without any cleanup, like a crash.
func (f *fleet) runPlanner(config roles.Config) (kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	f.metrics = planner.NewMetrics()
	r := &planner.Runner{
		Metrics: f.metrics, APIServer: f.client, Settings: config, Interval: 10 * time.Millisecond,
		SaveInterval: 20 * time.Millisecond, Log: zap.NewNop(),
	}
	go func() {
		defer close(done)
		if err := r.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	kill = func() { cancel(); <-done }
	f.t.Cleanup(kill)
	return kill
}

// startChange writes a command to an engine into the table, as an operator's command does.
func (f *fleet) startChange(id string, to roles.Role) {
	f.t.Helper()
	_, err := f.client.Update(f.t.Context(), func(table roles.Assignments) (roles.Assignments, error) {
		return table.Start(id, to, "test")
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// eventually waits until a condition holds, and fails the test with the condition's description if it does not.
func (f *fleet) eventually(condition string, holds func(roles.Assignments) bool) {
	f.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !holds(f.api.Assignments()) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out before the condition %q held; table %+v", condition, f.api.Assignments())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// confirmed returns a condition: an engine has a role, both in the table and in its own state.
func (f *fleet) confirmed(id string, role roles.Role) func(roles.Assignments) bool {
	return func(table roles.Assignments) bool {
		entry, state := table.Entries[id], f.engines[id].EngineState()
		return entry.Serving && entry.Role == role && state.Role == role && state.Target == role
	}
}

// servingByMetrics returns the number of engines in a role that the planner's metrics show as serving.
func (f *fleet) servingByMetrics(role roles.Role) (n float64) {
	f.t.Helper()
	families, err := f.metrics.Registry.Gather()
	if err != nil {
		f.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != "brackenbend_planner_engines" {
			continue
		}
		for _, metric := range family.Metric {
			if metric.Label[0].GetValue() == role.String() && metric.Label[1].GetValue() == "serves" {
				n += metric.GetGauge().GetValue()
			}
		}
	}
	return n
}

// commandsOnly is a configuration with which the planner starts no changes itself.
var commandsOnly = roles.Config{MinDwell: time.Hour}

func TestCommandIsCarriedOut(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	f.runPlanner(commandsOnly)
	f.startChange("e0", roles.Decode)
	f.eventually("e0 is confirmed as a decode engine", f.confirmed("e0", roles.Decode))
	f.eventually("the metrics show two decode engines",
		func(roles.Assignments) bool { return f.servingByMetrics(roles.Decode) == 2 })
	if e, _ := f.api.Entry("e1"); e.Name != "e1" {
		t.Errorf("%+v", e)
	}
	resp, err := f.http.Get(f.api.URL() + "/apis/discovery.k8s.io/v1/namespaces/default/endpointslices")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	text, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(text), `"brackenbend.dev/kind":"decode"`) != 2 ||
		!strings.Contains(string(text), "brackenbend.dev/started") {
		t.Errorf("endpoint list for replicas: %s, error %v", text, err)
	}
}

// post sends a request to an engine and returns its response with the body closed.
func (f *fleet) post(url, id, body string) *http.Response {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("X-Request-Id", id)
	resp, err := f.http.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close() // not needed
	return resp
}

// TestDrainingEngineKeepsReadState checks that an engine that is commanded to decode while it holds a read state
// accepts no new work, keeps the state until it is fetched, and switches then.
func TestDrainingEngineKeepsReadState(t *testing.T) {
	const prefillRequest = `{"model":"m","messages":[{"role":"user","content":"hello"}],` +
		`"kv_transfer_params":{"do_remote_decode":true}}`
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	engine := f.engines["e0"]
	url := "http://" + engine.Info().Address
	resp := f.post(url+"/v1/chat/completions", "r1", prefillRequest)
	if resp.StatusCode != http.StatusOK || engine.ReadStateCount() != 1 {
		t.Fatalf("%d, %d states", resp.StatusCode, engine.ReadStateCount())
	}
	f.runPlanner(commandsOnly)
	f.startChange("e0", roles.Decode)
	f.eventually("the command has arrived at e0", func(roles.Assignments) bool {
		return engine.EngineState().Target == roles.Decode
	})
	resp = f.post(url+"/v1/chat/completions", "r2", prefillRequest)
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("X-Brackenbend-Never-Ran") != "1" {
		t.Errorf("draining engine answered new work with status %d", resp.StatusCode)
	}
	if state := engine.EngineState(); state.Role != roles.Prefill || engine.ReadStateCount() != 1 {
		t.Errorf("engine switched to %v while it held a read state", state.Role)
	}
	if resp := f.post(url+"/standin/take", "", `{"id":"r1"}`); resp.StatusCode != http.StatusOK {
		t.Errorf("fetching the read state: status %d", resp.StatusCode)
	}
	f.eventually("e0 is confirmed as a decode engine", f.confirmed("e0", roles.Decode))
}

// TestChangeSurvivesCrashes checks that a change is completed if the planner crashes after it has written a command and
// before it has sent it, and if the engine crashes after it has accepted a command and the API server restarts from its
// file.
func TestChangeSurvivesCrashes(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	file := filepath.Join(t.TempDir(), "book.json")
	if err := f.api.PersistAssignments(file); err != nil {
		t.Fatal(err)
	}
	f.startChange("e0", roles.Decode) // written; no planner is running that would send it
	kill := f.runPlanner(commandsOnly)
	f.eventually("the next planner has completed the change of e0", f.confirmed("e0", roles.Decode))
	kill()

	f.startChange("e1", roles.Both)
	e1 := f.engines["e1"]
	resp := f.post("http://"+e1.Info().Address+planner.PathRole, "", `{"id":"e1","order":2,"to":"both"}`)
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("the command was answered with status %d", resp.StatusCode)
	}
	e1.Crash()
	if err := e1.Restart(); err != nil {
		t.Fatal(err)
	}
	before := f.api.Assignments()
	f.restartAPIServer(file)
	if got := f.api.Assignments(); got.LastCommandNumber != before.LastCommandNumber ||
		got.Entries["e1"] != before.Entries["e1"] {
		t.Fatalf("table after the restart of the API server %+v, before %+v", got, before)
	}
	f.runPlanner(commandsOnly)
	f.eventually("e1 is confirmed in both roles", f.confirmed("e1", roles.Both))
}

// TestWriteOfOldVersionIsRefused checks that a planner that was paused can't overwrite a newer version of the table.
func TestWriteOfOldVersionIsRefused(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	old, err := f.client.View(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	f.startChange("e0", roles.Decode)
	table, err := old.Assignments.Start("e1", roles.Decode, "old version")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.client.Write(t.Context(), table); !errors.Is(err, roles.ErrConflict) {
		t.Errorf("write of an old version: error %v, want a conflict", err)
	}
	_, err = f.client.Update(t.Context(), func(table roles.Assignments) (roles.Assignments, error) {
		return table.Start("e1", roles.Decode, "")
	})
	if !errors.Is(err, roles.ErrLastOfStage) {
		t.Errorf("change of the last prefill engine: error %v", err)
	}
}

// TestUnreachableAPIServerStopsChanges checks that a planner sends no commands while the API server does not answer,
// and continues afterwards.
func TestUnreachableAPIServerStopsChanges(t *testing.T) {
	f := newFleet(t, roles.Prefill, roles.Prefill, roles.Decode)
	f.startChange("e0", roles.Decode)
	f.api.SetUnreachable(true)
	f.runPlanner(commandsOnly)
	if _, err := f.client.View(t.Context()); err == nil {
		t.Error("the unreachable API server answers")
	}
	if f.engines["e0"].EngineState().CommandNumber != 0 {
		t.Error("the engine got a command while the API server was unreachable")
	}
	f.api.SetUnreachable(false)
	f.eventually("e0 is confirmed as a decode engine", f.confirmed("e0", roles.Decode))
}

// memorySavedAfter waits for a memory that a planner has saved after the given time.
func (f *fleet) memorySavedAfter(after time.Time) (saved planner.SavedMemory) {
	f.t.Helper()
	f.eventually("a planner has saved a memory", func(roles.Assignments) bool {
		var ok bool
		var err error
		saved, ok, err = f.client.LoadMemory(f.t.Context())
		if err != nil {
			f.t.Fatal(err)
		}
		return ok && saved.At.After(after) && len(saved.Memory.Experts) > 0
	})
	return saved
}

// oldestWork returns the age of the oldest sample in a memory.
func oldestWork(saved planner.SavedMemory) time.Duration {
	return saved.Memory.Experts[0].History[0].Age
}

// TestMemorySurvivesPlannerAndAPIServerRestarts checks that a second planner continues with the memory of the first,
// and that one that loads an implausible memory starts without history.
func TestMemorySurvivesPlannerAndAPIServerRestarts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "book.json")
	f := newFleet(t, roles.Prefill, roles.Decode)
	if err := f.api.PersistAssignments(file); err != nil {
		t.Fatal(err)
	}
	if _, ok, err := f.client.LoadMemory(t.Context()); ok || err != nil {
		t.Fatalf("memory before any planner has run: %v, error %v", ok, err)
	}
	kill := f.runPlanner(commandsOnly)
	f.memorySavedAfter(time.Time{})
	kill()
	f.restartAPIServer(file)

	startedAt := time.Now()
	kill = f.runPlanner(commandsOnly)
	saved := f.memorySavedAfter(startedAt)
	if running := saved.At.Sub(startedAt); oldestWork(saved) <= running {
		t.Errorf("oldest sample of the second planner is %v old; it has run for %v", oldestWork(saved), running)
	}
	kill()

	implausible := planner.SavedMemory{At: time.Now(), Memory: roles.Memory{Leader: 99}}
	if err := f.client.SaveMemory(t.Context(), implausible); err != nil {
		t.Fatal(err)
	}
	startedAt = time.Now()
	f.runPlanner(commandsOnly)
	saved = f.memorySavedAfter(startedAt)
	if running := saved.At.Sub(startedAt); oldestWork(saved) > running {
		t.Errorf("oldest sample of a planner without a memory is %v old; it has run for %v", oldestWork(saved), running)
	}
}
