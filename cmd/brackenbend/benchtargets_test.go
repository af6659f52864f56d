package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Targets of benchmark requests. Their names are part of the names of the reported metrics, which docs/results.md
// quotes.
const (
	targetGateway       = "front"
	targetProxy         = "proxy"  // the reference proxy, with one exchange a request, at a decode engine
	targetTwoStageProxy = "proxy2" // the reference proxy, with a prefill and a decode for each request, as in the gateway
	targetEngine        = "direct" // an engine that the client calls directly
)

// processTargets are the targets that are compared, each a process of its own.
var processTargets = []string{targetGateway, targetProxy, targetTwoStageProxy}

// startInstantEngine starts an engine that answers at once: prefill requests with transfer parameters, others with a
// stream of tokens that are a pause apart. If endStreams is not nil, streams stay open until it is closed.
func startInstantEngine(b *testing.B, tokens int, pause time.Duration, endStreams <-chan struct{}) (address string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	token := []byte(
		`data: {"id":"x","object":"chat.completion.chunk","created":1,"model":"m",` +
			`"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}` + "\n\n",
	)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"do_remote_decode":true`) {
			_, _ = io.WriteString(w, `{"kv_transfer_params":{"do_remote_prefill":true}}`)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		controller := http.NewResponseController(w)
		for i := range tokens {
			if i > 0 && pause > 0 {
				time.Sleep(pause)
			}
			_, _ = w.Write(token)
			_ = controller.Flush()
		}
		if endStreams != nil {
			select {
			case <-endStreams:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	})
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

// benchTargets are the processes that are compared, all in front of the same engines.
type benchTargets struct {
	engines   []string             // addresses; those at even positions prefill, the others decode
	commands  map[string]*exec.Cmd // by target
	addresses map[string]string    // by target
}

const benchSettings = `<brackenbend><front listen=%q/>
		<limits open-requests="20000" connections="20000"/><log level="warn"/>
		<service fronts="1"/>
		<class name="c" effect="safe" aim="20s" deadline="30s"/>
		<kind name="reader" role="reader"/><kind name="writer" role="writer"/>
		<model name="m" bytes-per-token="4" max-output="64tokens"/>
		<engines connections="20000" idle-connections="1000"/>%s</brackenbend>`

// startTargets starts the engines and the processes that are compared, and waits until all of them accept connections.
func startTargets(b *testing.B, tokens int, pause time.Duration, endStreams <-chan struct{}) *benchTargets {
	b.Helper()
	targets := &benchTargets{addresses: map[string]string{}, commands: map[string]*exec.Cmd{}}
	endpoints := ""
	for i := range 4 {
		address := startInstantEngine(b, tokens, pause, endStreams)
		targets.engines = append(targets.engines, address)
		kind := []string{"reader", "writer"}[i%2]
		endpoints += fmt.Sprintf("<server name=\"e%d\" kind=%q address=%q/>", i, kind, address)
	}
	for _, name := range processTargets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		targets.addresses[name] = l.Addr().String()
		l.Close()
	}
	settingsFile := filepath.Join(b.TempDir(), "front.xml")
	settings := fmt.Sprintf(benchSettings, targets.addresses[targetGateway], endpoints)
	if err := os.WriteFile(settingsFile, []byte(settings), 0o644); err != nil {
		b.Fatal(err)
	}
	for _, name := range processTargets {
		targets.start(b, name, settingsFile)
	}
	for _, address := range targets.addresses {
		awaitListener(address)
	}
	targets.addresses[targetEngine] = targets.engines[1]
	time.Sleep(200 * time.Millisecond)
	return targets
}

// start starts the process of one target, which is killed when the benchmark ends.
func (t *benchTargets) start(b *testing.B, name, settingsFile string) {
	b.Helper()
	cmd := exec.Command(os.Args[0], "serve", "-c", settingsFile)
	cmd.Env = append(os.Environ(), brackenbendEnv...)
	if name != targetGateway {
		cmd = exec.Command(os.Args[0])
		proxy := strings.Join([]string{name, t.addresses[name], strings.Join(t.engines, ",")}, " ")
		cmd.Env = append(os.Environ(), proxyEnv+"="+proxy)
	}
	t.commands[name] = cmd
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
}

func awaitListener(address string) {
	for {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// benchClient sends requests on one connection.
type benchClient struct {
	conn   net.Conn // nil before the first request
	reader *bufio.Reader
}

const benchBody = `{"model":"m","stream":true,"messages":[{"role":"user","content":` +
	`"when does my oil come, and how much is it this week?"}]}`

// send sends one request and returns the time to the first token. If untilEnd is set, it reads the whole response.
func (c *benchClient) send(address string, untilEnd bool) (time.Duration, error) {
	startedAt := time.Now()
	if c.conn == nil {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := fmt.Fprintf(
		c.conn,
		"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		len(benchBody),
		benchBody,
	); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("response status %d", resp.StatusCode)
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	timeToFirstToken := time.Since(startedAt)
	if !untilEnd {
		return timeToFirstToken, nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return timeToFirstToken, err
}

// reportFailure fails the benchmark if a request to the gateway or to the engine failed. A reference proxy cuts off a
// response now and then; such a request is not counted.
func reportFailure(b *testing.B, target string, err error) {
	b.Helper()
	if target == targetGateway || target == targetEngine {
		b.Error(target, err)
	}
}

// processFile reads a file of a process in /proc. It skips the benchmark if there is no such file.
func processFile(b *testing.B, cmd *exec.Cmd, name string) string {
	b.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", cmd.Process.Pid, name))
	if err != nil {
		b.Skip(err)
	}
	return string(text)
}

// cpuSeconds returns the user and system CPU time that a process has used.
func cpuSeconds(b *testing.B, cmd *exec.Cmd) float64 {
	b.Helper()
	const ticksPerSecond = 100
	stat := processFile(b, cmd, "stat")
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+2:])
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentKiB returns the resident memory of a process.
func residentKiB(b *testing.B, cmd *exec.Cmd) float64 {
	b.Helper()
	const key = "VmRSS:"
	for line := range strings.Lines(processFile(b, cmd, "status")) {
		if value, ok := strings.CutPrefix(line, key); ok {
			size, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return size
		}
	}
	b.Fatalf("no %s", key)
	return 0
}
