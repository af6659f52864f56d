package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// A small fleet of real processes over loopback: a front node, engines of the platform that tell what reaches them,
// and a proxy before each engine that can swallow what passes.

// callEvent is what an engine's process tells of a call, one JSON object a line.
type callEvent struct {
	Engine string
	Kind   string // one of the events below
	ID     string // of the request
	At     int64  // Unix time in nanoseconds; all processes are on one machine
}

const (
	eventListening = "listening"
	eventRead      = "read"     // a reader has answered that the prompt is read
	eventTaken     = "taken"    // the last byte of a write has reached a running writer
	eventReleased  = "released" // a release has reached a running engine
)

// engineMain is an engine's process: args are its name, its role ("read" or "write") and how long a read, or a first
// token, takes.
func engineMain(name, role, takes string) int {
	delay, err := time.ParseDuration(takes)
	if err != nil {
		return exitUsage
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 1
	}
	var mu sync.Mutex
	tell := func(kind, id string) {
		mu.Lock()
		defer mu.Unlock()
		_ = json.NewEncoder(os.Stdout).Encode(callEvent{name, kind, id, time.Now().UnixNano()})
	}
	tell(eventListening, l.Addr().String())
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Req-Id")
		switch {
		case r.Method == "DELETE":
			tell(eventReleased, strings.TrimPrefix(r.URL.Path, "/state/"))
			w.WriteHeader(204)
		case role == "read":
			time.Sleep(delay)
			tell(eventRead, id)
			w.WriteHeader(202)
			_, _ = fmt.Fprint(w, `{"cached_tokens":0}`)
		default:
			tell(eventTaken, id)
			select {
			case <-time.After(delay):
			case <-r.Context().Done():
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = fmt.Fprint(w, fleetStream)
		}
	}
	_ = http.Serve(l, http.HandlerFunc(handler))
	return 0
}

const fleetStream = `data: {"choices":[{"index":0,"delta":{"content":"oq"},"finish_reason":"stop"}]}` + "\n\n" +
	`data: {"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":1}}` + "\n\ndata: [DONE]\n\n"

// swallower passes bytes between a front node and one engine, and can swallow them: connections stay open and silent,
// as those to a machine that was cut off.
type swallower struct {
	net.Listener
	mu     sync.Mutex
	lost   bool                  // new connections are swallowed too
	reply  bool                  // those that are open are, once the engine has answered on one
	count  int                   // connections that came
	silent map[net.Conn]struct{} // from the front node
	open   map[net.Conn]struct{}
}

func newSwallower(t *testing.T, engine string) *swallower {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &swallower{Listener: l, silent: map[net.Conn]struct{}{}, open: map[net.Conn]struct{}{}}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", engine)
			if err != nil {
				near.Close()
				continue
			}
			p.mu.Lock()
			p.open[near] = struct{}{}
			p.count++
			if p.lost {
				p.silent[near] = struct{}{}
			}
			p.mu.Unlock()
			go p.pass(near, near, far)
			go p.pass(near, far, near)
		}
	}()
	return p
}

// pass copies from one side to the other for as long as the front node's connection near is not silent.
func (p *swallower) pass(near, from, to net.Conn) {
	defer func() {
		from.Close()
		to.Close()
		p.mu.Lock()
		delete(p.open, near)
		p.mu.Unlock()
	}()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if p.isSilent(near) {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
		if from != near {
			p.replied()
		}
	}
}

// swallow makes the connections that are open silent, and with all set those that come, too.
func (p *swallower) swallow(all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = all
	for near := range p.open {
		p.silent[near] = struct{}{}
	}
}

func (p *swallower) isSilent(near net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, silent := p.silent[near]
	return silent
}

// swallowAfterReply makes the connections that are open silent as soon as the engine has answered once more on one of
// them.
func (p *swallower) swallowAfterReply() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reply = true
}

func (p *swallower) replied() {
	p.mu.Lock()
	now := p.reply
	p.reply = false
	p.mu.Unlock()
	if now {
		p.swallow(false)
	}
}

// made is how many connections the front node has made.
func (p *swallower) made() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.count
}

// fleetEngine is one engine's process with the proxy before it.
type fleetEngine struct {
	name    string
	process *os.Process
	proxy   *swallower
}

// stop keeps the process from running until it is killed: what is sent to it is accepted by the system, and by nobody
// else.
func (e *fleetEngine) stop(t *testing.T) {
	t.Helper()
	if err := e.process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for !strings.Contains(e.status(t), ") T ") {
		time.Sleep(time.Millisecond)
	}
}

func (e *fleetEngine) status(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// processFleet is one front node with its engines.
type processFleet struct {
	readers, writers []*fleetEngine
	address          string // of the front node
	events           chan callEvent
	seen             []callEvent // by the test's goroutine
	logFile          string
}

// fleetPlan says what fleet a test wants.
type fleetPlan struct {
	readers, writers int
	readTime         time.Duration // of a reader
	firstToken       time.Duration // of a writer
	release          time.Duration // the settings' release time
}

const fleetConfig = `{"name":"n1","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
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

func newFleet(t *testing.T, plan fleetPlan) *processFleet {
	t.Helper()
	f := &processFleet{events: make(chan callEvent, 1000), logFile: filepath.Join(t.TempDir(), "node.log")}
	var members []string
	add := func(role, kind string, n int, takes time.Duration) (engines []*fleetEngine) {
		for i := range n {
			e := f.startEngine(t, fmt.Sprintf("%s%d", role, i), role, takes)
			engines = append(engines, e)
			members = append(
				members,
				fmt.Sprintf(
					`{"id":%q,"host_port":%q,"locality":"a","flavor":%q,"cell":1,"phase":"Ready","size":1.0,"up_since_ms":0}`,
					e.name,
					e.proxy.Addr(),
					kind,
				),
			)
		}
		return engines
	}
	f.readers = add("read", "prefill", plan.readers, plan.readTime)
	f.writers = add("write", "decode", plan.writers, plan.firstToken)
	discovery, _ := discoveryStub(t)
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(fleetConfig, discovery, strings.Join(members, ","), plan.release.Microseconds())
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f.startNode(t, config)
	return f
}

// rested is longer than a connection to an engine rests after an answer before it is used again.
const rested = 50 * time.Millisecond

// spawn starts the test binary as another process, which the test's end kills.
func spawn(t *testing.T, args []string, env ...string) (*exec.Cmd, io.Reader, io.Reader) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(exe, args...)
	cmd.Env = append(os.Environ(), env...)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	stderr, err := cmd.StderrPipe()
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

func (f *processFleet) startEngine(t *testing.T, name, role string, takes time.Duration) *fleetEngine {
	t.Helper()
	cmd, stdout, _ := spawn(t, nil, fmt.Sprintf("BRACKENBEND_TEST_ENGINE=%s %s %v", name, role, takes))
	lines := json.NewDecoder(stdout)
	var listening callEvent
	if err := lines.Decode(&listening); err != nil || listening.Kind != eventListening {
		t.Fatal(listening, err)
	}
	go func() {
		for {
			var ev callEvent
			if lines.Decode(&ev) != nil {
				return
			}
			f.events <- ev
		}
	}()
	return &fleetEngine{name: name, process: cmd.Process, proxy: newSwallower(t, listening.ID)}
}

// startNode starts the front node and waits until it serves. Its log is kept for a test that fails.
func (f *processFleet) startNode(t *testing.T, config string) {
	t.Helper()
	_, _, stderr := spawn(t, []string{"node"}, append(asMain, "LB_CONFIG="+config)...)
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
	copied := make(chan struct{})
	go func() {
		defer close(copied)
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
		t.Fatal("the front node does not serve")
	}
}

// ask sends a request on a connection of its own.
func (f *processFleet) ask(t *testing.T, id, class string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_, _ = fmt.Fprintf(
		c,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Key: 7f\r\n"+
			"Req-Deadline-Ms: 8000\r\n"+
			"Req-Extra: prompt_len=20,max_out=8\r\nContent-Length: 2\r\n\r\n{}",
		id,
		class,
	)
	return c
}

// keepConnections has requests served until one of them makes no new connection to an engine: those that are kept are
// used then, and where there is one reader, or one writer, the next request rides on one that is kept towards it.
func (f *processFleet) keepConnections(t *testing.T) {
	t.Helper()
	made := func() (n int) {
		for _, e := range append(f.readers, f.writers...) {
			n += e.proxy.made()
		}
		return n
	}
	const tries = 100
	for i := range tries {
		before := made()
		if status, _ := answer(t, f.ask(t, fmt.Sprintf("keep%d", i), "enquiry")); status != 200 {
			t.Fatalf("keep%d: %d", i, status)
		}
		time.Sleep(rested)
		if i > 0 && made() == before {
			return
		}
	}
	t.Fatal("no connection to an engine is used again")
}

// keepSeveral has n requests served at one time, which leaves n kept connections to each of a sole reader and a sole
// writer.
func (f *processFleet) keepSeveral(t *testing.T, n int) {
	t.Helper()
	var clients []net.Conn
	for i := range n {
		clients = append(clients, f.ask(t, fmt.Sprintf("several%d", i), "enquiry"))
	}
	for i, c := range clients {
		if status, _ := answer(t, c); status != 200 {
			t.Fatalf("several%d: %d", i, status)
		}
	}
	time.Sleep(rested)
	for _, e := range append(f.readers, f.writers...) {
		if made := e.proxy.made(); made < n {
			t.Fatalf("%d connections to %s, want %d", made, e.name, n)
		}
	}
}

// answer reads the final answer to a request.
func answer(t *testing.T, c net.Conn) (status int, body string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Errorf("half an answer: %v", err)
	}
	return resp.StatusCode, string(text)
}

// await waits for one of the kinds of events of a request; false: none came by then.
func (f *processFleet) await(id string, by time.Time, kinds ...string) (callEvent, bool) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		select {
		case ev := <-f.events:
			f.seen = append(f.seen, ev)
			for _, kind := range kinds {
				if ev.ID == id && ev.Kind == kind {
					return ev, true
				}
			}
		case <-timer.C:
			return callEvent{}, false
		}
	}
}

// awaitLog waits for a line of the node's log with this message, about this request, that holds all of the texts.
func (f *processFleet) awaitLog(t *testing.T, message, id string, texts ...string) {
	t.Helper()
	texts = append(texts, `"msg":"`+message+`"`, `"`+id+`"`)
	holds := func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) })
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		log, err := os.ReadFile(f.logFile)
		if err != nil {
			t.Fatal(err)
		}
		if slices.ContainsFunc(strings.Split(string(log), "\n"), holds) {
			return
		}
	}
	t.Errorf("no line of the node's log holds all of %q", texts)
}

// count is how many events of a kind a request has had. All that have arrived are taken in first.
func (f *processFleet) count(id, kind string) (n int) {
	f.await("", time.Now().Add(50*time.Millisecond))
	for _, ev := range f.seen {
		if ev.ID == id && ev.Kind == kind {
			n++
		}
	}
	return n
}
