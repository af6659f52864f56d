package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// processFleet is a small fleet of processes that communicate over loopback: a node, and fake engines of the platform
// that report the requests that reach them. A blackhole proxy in the test's process is in front of each engine.
type processFleet struct {
	prefillEngines, decodeEngines []*fleetEngine
	spoilingProxy                 *spoilingProxy // in front of the first decode engine; nil = none

	address        string // of the node
	logFile        string // of the node
	events         chan engineEvent
	receivedEvents []engineEvent // events received so far; used only by the test's goroutine
}

// fleetEngine is an engine's process with the proxy in front of it.
type fleetEngine struct {
	name    string
	process *os.Process
	proxy   *blackholeProxy
	address string // for the node
}

// fleetPlan describes the fleet that a test uses.
type fleetPlan struct {
	prefillEngines, decodeEngines int

	prefillTime      time.Duration // of a prefill engine
	timeToFirstToken time.Duration // of a decode engine
	stateTTL         time.Duration // of the node's settings

	prefillThrottle, decodeThrottle throttle // of the first prefill engine and of the first decode engine

	// Answers that are spoilt on their way from the first engine of a stage, by request id; nil = none.
	spoiltPrefills, spoilt map[string]spoilPlan
}

const (
	fleetConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":96,"sockets":512},
"known":{"revision":1,"complete":true,"members":[%s]},
"settings":{"Balancers":1,"Caps":{"AttemptsCap":4,"Cancel":true,"ConnIdle":30000000,
"DialTimeout":250000,"MaxOpen":200,"MaxRetryAfter":1000000,"RetryAfter":true},"Classes":[
{"Deadline":8000000,"Group":"all","Importance":1,"LateWorth":0.3,
"Name":"enquiry","Promise":4000000,"Repeat":"free","Stream":true},
{"Deadline":8000000,"Group":"all","Importance":1,"LateWorth":0.3,
"Name":"order","Promise":4000000,"Repeat":"single_shot","Stream":true}],
"FamilyInfo":{"KindRole":["read","write"],"KvTokens":[200000,200000],"LocalRead":false,
"Release":%d},"Kinds":["prefill","decode"]}}`

	fleetMember = `{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":"Ready","size":1.0,"up_since_ms":0}`
)

// The classes of fleetConfig.
const (
	idempotentClass    = "enquiry"
	notIdempotentClass = "order"
)

// newFleet starts the engines and then the node, which serves when newFleet returns.
func newFleet(t *testing.T, plan fleetPlan) *processFleet {
	t.Helper()
	f := &processFleet{events: make(chan engineEvent, 1000), logFile: filepath.Join(t.TempDir(), "node.log")}
	f.prefillEngines = f.startEngines(t, prefillEngine, plan.prefillEngines, plan.prefillTime)
	f.decodeEngines = f.startEngines(t, decodeEngine, plan.decodeEngines, plan.timeToFirstToken)
	f.throttle(t, f.prefillEngines[0], plan.prefillThrottle)
	f.throttle(t, f.decodeEngines[0], plan.decodeThrottle)
	f.spoil(t, f.prefillEngines[0], plan.spoiltPrefills)
	f.spoilingProxy = f.spoil(t, f.decodeEngines[0], plan.spoilt)
	members := append(fleetMembers(prefillEngine, f.prefillEngines), fleetMembers(decodeEngine, f.decodeEngines)...)
	discovery, _ := startSilentDiscovery(t)
	config := filepath.Join(t.TempDir(), "config.json")
	configText := fmt.Sprintf(fleetConfig, discovery, strings.Join(members, ","), plan.stateTTL.Microseconds())
	if err := os.WriteFile(config, []byte(configText), 0o600); err != nil {
		t.Fatal(err)
	}
	f.startNode(t, config)
	return f
}

// throttle puts a proxy in front of an engine that reads or writes slowly.
func (f *processFleet) throttle(t *testing.T, e *fleetEngine, limits throttle) {
	t.Helper()
	if limits != (throttle{}) {
		e.address = newThrottlingProxy(t, e.address, limits).Addr().String()
	}
}

// spoil puts a proxy in front of an engine that spoils its answers, unless there are no plans.
func (f *processFleet) spoil(t *testing.T, e *fleetEngine, plans map[string]spoilPlan) *spoilingProxy {
	t.Helper()
	if plans == nil {
		return nil
	}
	proxy := newSpoilingProxy(t, e.address, plans)
	e.address = proxy.Addr().String()
	return proxy
}

// engines returns all engines of the fleet.
func (f *processFleet) engines() []*fleetEngine {
	return slices.Concat(f.prefillEngines, f.decodeEngines)
}

// fleetMembers returns the entries of engines in the node's cached endpoint list.
func fleetMembers(kind string, engines []*fleetEngine) (members []string) {
	for _, e := range engines {
		members = append(members, fmt.Sprintf(fleetMember, e.name, e.address, kind))
	}
	return members
}

func (f *processFleet) startEngines(
	t *testing.T, role string, count int, delay time.Duration,
) (engines []*fleetEngine) {
	t.Helper()
	for i := range count {
		engines = append(engines, f.startEngine(t, fmt.Sprintf("%s%d", role, i), role, delay))
	}
	return engines
}

func (f *processFleet) startEngine(t *testing.T, name, role string, delay time.Duration) *fleetEngine {
	t.Helper()
	cmd, stdout, _ := startProcess(t, nil, fmt.Sprintf("%s=%s %s %v", engineEnv, name, role, delay))
	lines := json.NewDecoder(stdout)
	var listening engineEvent
	if err := lines.Decode(&listening); err != nil || listening.Kind != eventListening {
		t.Fatal(listening, err)
	}
	go func() {
		for {
			var event engineEvent
			if lines.Decode(&event) != nil {
				return
			}
			f.events <- event
		}
	}()
	proxy := newBlackholeProxy(t, listening.ID)
	return &fleetEngine{name: name, process: cmd.Process, proxy: proxy, address: proxy.Addr().String()}
}

// startNode starts the node and waits until it serves. If the test fails, the node's log is printed.
func (f *processFleet) startNode(t *testing.T, config string) {
	t.Helper()
	_, _, stderr := startProcess(t, []string{"node"}, append(brackenbendEnv, "LB_CONFIG="+config)...)
	log, err := os.Create(f.logFile)
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(stderr)
	for f.address == "" && lines.Scan() {
		var line struct{ Msg, Listen string }
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "serving" {
			f.address = line.Listen
		}
	}
	go func() {
		defer log.Close()
		for lines.Scan() {
			_, _ = fmt.Fprintln(log, lines.Text())
		}
	}()
	t.Cleanup(func() {
		if text, err := os.ReadFile(f.logFile); t.Failed() && err == nil {
			t.Logf("the node's log:\n%s", text)
		}
	})
	if f.address == "" {
		t.Fatal("the node ended before it served")
	}
}

// startProcess starts the test binary as a child process, which is killed when the test ends.
func startProcess(t *testing.T, args []string, env ...string) (cmd *exec.Cmd, stdout, stderr io.Reader) {
	t.Helper()
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(executable, args...)
	cmd.Env = append(os.Environ(), env...)
	stdout, err = cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err = cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd, stdout, stderr
}

// suspend stops the process with SIGSTOP: the system still accepts connections and bytes for it, but nothing reads
// them. It returns once the process is stopped.
func (e *fleetEngine) suspend(t *testing.T) {
	t.Helper()
	if err := e.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for !strings.Contains(e.processStatus(t), ") T ") {
		time.Sleep(time.Millisecond)
	}
}

// resume lets a suspended process run again.
func (e *fleetEngine) resume(t *testing.T) {
	t.Helper()
	if err := e.process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

func (e *fleetEngine) processStatus(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
