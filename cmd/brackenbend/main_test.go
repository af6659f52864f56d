package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/engine"
	"brackenbend/internal/fake/loopback"
	"brackenbend/internal/gateway"
	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/internal/simulation/trace"
)

// TestMain lets the test binary stand for brackenbend itself, so that fronts are real processes.
func TestMain(m *testing.M) {
	if os.Getenv("BRACKENBEND_TEST_MAIN") == "1" {
		if name := os.Getenv("BRACKENBEND_TEST_BROKEN"); name != "" {
			gateway.Hooks = broken[name].seam
		}
		os.Exit(run(os.Args[1:]))
	}
	if f := strings.Fields(os.Getenv("BRACKENBEND_TEST_PROXY")); len(f) == 3 {
		os.Exit(proxyMain(f[1], f[2], f[0] == "proxy2"))
	}
	if f := strings.Fields(os.Getenv("BRACKENBEND_TEST_ENGINE")); len(f) == 3 {
		os.Exit(engineMain(f[0], f[1], f[2]))
	}
	os.Exit(m.Run())
}

var asMain = []string{"BRACKENBEND_TEST_MAIN=1"}

func play(t *testing.T, d *scenario.Scenario, length time.Duration, env ...string) *scenariorun.Report {
	t.Helper()
	return playIn(t, t.TempDir(), d, length, env...)
}

func playIn(t *testing.T, dir string, d *scenario.Scenario, length time.Duration, env ...string) *scenariorun.Report {
	t.Helper()
	if err := d.Scale(length); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	rep, err := scenariorun.Run(
		context.Background(),
		d,
		scenariorun.Options{Binary: exe, Env: append(env, asMain...), WorkDir: dir},
	)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := rep.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	return rep
}

func TestDefaultScenarioKeepsRules(t *testing.T) {
	d, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	d.Rate = 20 // other packages' tests run beside this one
	dir := t.TempDir()
	rep := playIn(t, dir, d, 15*time.Second)
	if rep.Violations() > 0 {
		t.Errorf("%d breaches", rep.Violations())
	}
	// the fronts' logs make a recording: of each request that was taken, but where its front was killed
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	recorded, tries := 0, 0
	for _, c := range rep.Classes {
		tries += c.Tries
	}
	for _, name := range logs {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		var b bytes.Buffer
		n, _, err := trace.FromLog(f, &b)
		f.Close()
		if err != nil {
			t.Fatal(err)
		}
		got, err := trace.Read(&b)
		if err != nil || len(got.Requests) != n {
			t.Fatalf("%s: %d of %d requests: %v", name, len(got.Requests), n, err)
		}
		if list, err := got.Recorded(d); err != nil || len(list) != n {
			t.Errorf("%s: %v", name, err)
		}
		recorded += n
	}
	if recorded < tries*8/10 || recorded > tries {
		t.Errorf("%d requests recorded, clients sent %d", recorded, tries)
	}
}

// TestAllReplicasKilledWhileRolesChange: a day on which all fronts are killed right after engines were told to change,
// with the register cut off the second time.
func TestAllReplicasKilledWhileRolesChange(t *testing.T) {
	d, err := scenario.Load("../../scenarios/roles-restart.xml")
	if err != nil {
		t.Fatal(err)
	}
	d.Rate = 20
	rep := play(t, d, 15*time.Second)
	if rep.Violations() > 0 {
		t.Errorf("%d breaches", rep.Violations())
	}
	kills, changing := 0, 0
	for _, e := range rep.Events {
		if e.Kind == audit.ReplicaKilled {
			kills++
		}
	}
	for _, s := range rep.Roles {
		changing = max(changing, s.Changing)
	}
	if last := rep.Roles[len(rep.Roles)-1]; kills != 8 || last.Commands < 4 || changing == 0 || last.Changing > 0 {
		t.Errorf("%d fronts killed, %d engines seen on their way, at the end %+v", kills, changing, last)
	}
	dir := t.TempDir()
	if err := rep.Plot(dir); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"service.svg", "roles.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Contains(text, []byte("<svg")) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestScenarioFilesParse(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%v %v", files, err)
	}
	for _, f := range files {
		if _, err := scenario.Load(f); err != nil {
			t.Error(err)
		}
	}
	if _, err := scenario.Default(); err != nil {
		t.Error(err)
	}
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.xml")
	if err := os.WriteFile(bad, []byte("<brackenbend/>"), 0o644); err != nil {
		t.Fatal(err)
	}
	const stall = "../../scenarios/stall.xml"
	outFile := func(name string) string { return filepath.Join(t.TempDir(), name) }
	words := func(parts ...string) []string { return strings.Fields(strings.Join(parts, " ")) }
	for _, c := range []struct {
		args []string
		code int
	}{
		{[]string{"check", "../../deploy/examples/front.xml"}, 0},
		{[]string{"check", bad}, exitConfig},
		{[]string{"check", "none.xml"}, exitFailure},
		{[]string{"check"}, exitUsage},
		{[]string{"serve", "--nonsense"}, exitUsage},
		{[]string{"day", bad}, exitConfig},
		{[]string{"engine", "--role", "cook"}, exitUsage},
		{[]string{"lab", "day", "../../scenarios/stall.xml", "--seconds", "5"}, 0},
		{[]string{"lab", "day", bad}, exitConfig},
		{[]string{"lab", "forecast", "../../scenarios/stall.xml", "--runs", "2"}, exitUsage},
		{words("compare choice routing --batch 3 --most 3 --traffic", stall, "--html", outFile("x.html")), 0},
		{words("compare choice", os.Args[0], "--batch 3 --most 3 --traffic", stall), 0}, // with this very program
		{[]string{"compare", "choice", bad}, exitConfig},
		{words("lab hunt", stall, "--rounds 1 --draws 4 --troubles 1 -o", outFile("x.xml")), 0},
		{words("simulate fault-search", stall, "--rounds 1 --draws 4 --troubles 1 -o", outFile("y.xml")), 0},
		{words("simulate scenario", stall, "--seconds 5"), 0},
		{words("scenario", bad), exitConfig},
		{[]string{"lab", "fit", bad}, exitConfig},
		{[]string{"compare", "choice", "../../deploy/examples/front.xml"}, exitFailure}, // other classes than the day's
	} {
		cmd := exec.Command(os.Args[0], c.args...)
		cmd.Env = append(os.Environ(), asMain...)
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.code {
			t.Errorf("%v: exit code %d, want %d: %s", c.args, got, c.code, out)
		}
	}
}

// serveFront starts a front of its own process; text is its settings with ADDRESS where it listens. It is killed at the
// test's end.
func serveFront(t *testing.T, text string) (*exec.Cmd, string) {
	t.Helper()
	addr, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "front.xml")
	if err := os.WriteFile(file, []byte(strings.Replace(text, "ADDRESS", addr, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], "serve", "-c", file)
	cmd.Env = append(os.Environ(), asMain...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Signal(syscall.SIGKILL); _ = cmd.Wait() })
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return cmd, addr
		} else if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// TestReplicaKilledDuringDecode: the first front dies with SIGKILL while a writer has a keyed order; the
// client comes again through the second; the order takes effect once.
func TestReplicaKilledDuringDecode(t *testing.T) {
	rec := audit.NewRecord()
	group := &engine.DedupGroup{Window: time.Minute}
	var servers string
	for _, role := range []string{"reader", "writer"} {
		p := fakeEngineParams(role)
		s, err := engine.Start(
			engine.Config{Name: role, Kind: role, Params: p, Group: group, Record: rec},
			"127.0.0.1:0",
			false,
		)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		servers += fmt.Sprintf("<server name=%q kind=%q address=%q/>", role, role, s.Info().Address)
	}
	var fronts []*exec.Cmd
	var addrs []string
	for i := range 2 {
		cmd, addr := serveFront(
			t,
			fmt.Sprintf(
				`<brackenbend><front name="f%d" listen="ADDRESS"/><service fronts="2"/>
			<class name="order" effect="keyed" window="1m" aim="5s" deadline="20s"/>
			<kind name="reader" role="reader"/><kind name="writer" role="writer"/>
			<model name="m" bytes-per-token="4" max-output="64tokens"/>%s</brackenbend>`,
				i,
				servers,
			),
		)
		fronts, addrs = append(fronts, cmd), append(addrs, addr)
	}
	count := func(k audit.Kind) (n int) {
		for _, e := range rec.Events() {
			if e.Kind == k {
				n++
			}
		}
		return n
	}
	ask := func(addr string) (string, error) {
		req, _ := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions", strings.NewReader(
			`{"model":"m","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"two tons"}],`+
				`"metadata":{"effect":"e","try":"t","kind":"keyed"}}`,
		))
		req.Header.Set("Idempotency-Key", "k1")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		return string(text), err
	}
	first := make(chan error, 1)
	go func() { _, err := ask(addrs[0]); first <- err }()
	for end := time.Now().Add(20 * time.Second); count(audit.Executed) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the order did not reach a writer")
		}
	}
	_ = fronts[0].Process.Signal(syscall.SIGKILL)
	if err := <-first; err == nil {
		t.Fatal("the killed front answered in full")
	}
	text, err := ask(addrs[1])
	if err != nil || !strings.Contains(text, "[DONE]") {
		t.Fatalf("second try: %q %v", text, err)
	}
	if runs, repeats := count(audit.Executed), count(audit.Deduplicated); runs != 1 || repeats != 1 {
		t.Errorf("%d runs, %d repeats dropped", runs, repeats)
	}
}

// TestTenThousandIdleConnections: they cost a front memory only; a request beside them is answered.
func TestTenThousandIdleConnections(t *testing.T) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 10500 {
		t.Skipf("%d descriptors are allowed here: %v", limit.Cur, err)
	}
	s, err := engine.Start(engine.Config{Name: "e", Kind: "any", Params: fakeEngineParams("mixed")}, "127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_, addr := serveFront(
		t,
		fmt.Sprintf(
			`<brackenbend><front listen="ADDRESS"/><service fronts="1"/><class name="c" effect="safe" aim="20s" deadline="30s"/>
		<kind name="any" role="mixed"/><model name="m" bytes-per-token="4" max-output="8tokens"/>
		<server name="e" kind="any" address=%q/></brackenbend>`,
			s.Info().Address,
		),
	)
	conns := make([]net.Conn, 0, 10000)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for end := time.Now().Add(60 * time.Second); len(conns) < 10000; {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			conns = append(conns, c)
		} else if time.Now().After(end) {
			t.Fatalf("%d connections, then: %v", len(conns), err)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
	resp, err := http.Post(
		"http://"+addr+"/v1/chat/completions",
		"application/json",
		strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`),
	)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v %v", resp, err)
	}
	resp.Body.Close()
}
