package main

import (
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
)

// startReplica starts a replica as a child process and waits until it accepts connections. ADDRESS in the settings is
// replaced by the address to listen on. The replica is killed when the test ends.
func startReplica(t *testing.T, settings string) (cmd *exec.Cmd, address string) {
	t.Helper()
	address, err := loopback.Address()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "front.xml")
	if err := os.WriteFile(file, []byte(strings.Replace(settings, "ADDRESS", address, 1)), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd = exec.Command(os.Args[0], "serve", "-c", file)
	cmd.Env = append(os.Environ(), brackenbendEnv...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGKILL)
		_ = cmd.Wait()
	})
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			conn.Close()
			return cmd, address
		} else if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// startFakeEngine starts a fake engine in this process and returns its address. It is closed when the test ends.
func startFakeEngine(t *testing.T, config engine.Config) (address string) {
	t.Helper()
	fake, err := engine.Start(config, "127.0.0.1:0", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { fake.Close() })
	return fake.Info().Address
}

const twoReplicaSettings = `<brackenbend><front name="f%d" listen="ADDRESS"/><service fronts="2"/>
			<class name="order" effect="keyed" window="1m" aim="5s" deadline="20s"/>
			<kind name="reader" role="reader"/><kind name="writer" role="writer"/>
			<model name="m" bytes-per-token="4" max-output="64tokens"/>%s</brackenbend>`

// TestRetryAfterReplicaKillTakesEffectOnce kills a replica while a decode engine executes a request with an idempotency
// key. The client retries at another replica, and the request must have taken effect once.
func TestRetryAfterReplicaKillTakesEffectOnce(t *testing.T) {
	record := audit.NewRecord()
	dedupScope := &engine.DedupScope{Window: time.Minute}
	var endpoints string
	for _, role := range []string{"reader", "writer"} {
		address := startFakeEngine(t, engine.Config{
			Name: role, Kind: role, Params: fakeEngineParams(role), DedupScope: dedupScope, Record: record,
		})
		endpoints += fmt.Sprintf("<server name=%q kind=%q address=%q/>", role, role, address)
	}
	firstReplica, firstAddress := startReplica(t, fmt.Sprintf(twoReplicaSettings, 0, endpoints))
	_, secondAddress := startReplica(t, fmt.Sprintf(twoReplicaSettings, 1, endpoints))

	firstResult := make(chan error, 1)
	go func() {
		_, err := sendWithKey(firstAddress)
		firstResult <- err
	}()
	for end := time.Now().Add(20 * time.Second); countEvents(record, audit.Executed) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the request did not reach a decode engine")
		}
	}
	_ = firstReplica.Process.Signal(syscall.SIGKILL)
	if err := <-firstResult; err == nil {
		t.Fatal("the killed replica sent a complete answer")
	}
	body, err := sendWithKey(secondAddress)
	if err != nil || !strings.Contains(body, "[DONE]") {
		t.Fatalf("second attempt: body %q, error %v", body, err)
	}
	executedCount, deduplicatedCount := countEvents(record, audit.Executed), countEvents(record, audit.Deduplicated)
	if executedCount != 1 || deduplicatedCount != 1 {
		t.Errorf("executed %d times, deduplicated %d times", executedCount, deduplicatedCount)
	}
}

func countEvents(record *audit.Record, kind audit.EventKind) (n int) {
	for _, event := range record.Events() {
		if event.Kind == kind {
			n++
		}
	}
	return n
}

// sendWithKey sends a request for a stream, always with the same idempotency key, and returns the response body.
func sendWithKey(address string) (body string, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(
		`{"model":"m","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"two tons"}],`+
			`"metadata":{"effect":"e","try":"t","kind":"keyed"}}`,
	))
	if err != nil {
		return "", err
	}
	req.Header.Set("Idempotency-Key", "k1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

// TestReplicaServesBesideTenThousandIdleConnections checks that a replica accepts 10,000 idle connections and still
// answers a request.
func TestReplicaServesBesideTenThousandIdleConnections(t *testing.T) {
	const (
		connectionCount     = 10000
		requiredDescriptors = connectionCount + 500 // the test needs some for other purposes
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < requiredDescriptors {
		t.Skipf("the limit of file descriptors is %d: %v", limit.Cur, err)
	}
	engineAddress := startFakeEngine(t, engine.Config{Name: "e", Kind: "any", Params: fakeEngineParams("mixed")})
	_, address := startReplica(
		t,
		fmt.Sprintf(
			`<brackenbend><front listen="ADDRESS"/><service fronts="1"/><class name="c" effect="safe" aim="20s" deadline="30s"/>
		<kind name="any" role="mixed"/><model name="m" bytes-per-token="4" max-output="8tokens"/>
		<server name="e" kind="any" address=%q/></brackenbend>`,
			engineAddress,
		),
	)
	connections := make([]net.Conn, 0, connectionCount)
	defer func() {
		for _, conn := range connections {
			conn.Close()
		}
	}()
	for deadline := time.Now().Add(60 * time.Second); len(connections) < connectionCount; {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			connections = append(connections, conn)
		} else if time.Now().After(deadline) {
			t.Fatalf("%d connections, then: %v", len(connections), err)
		} else {
			time.Sleep(10 * time.Millisecond)
		}
	}
	resp, err := http.Post(
		"http://"+address+"/v1/chat/completions",
		"application/json",
		strings.NewReader(`{"model":"m","messages":[{"role":"user","content":"x"}]}`),
	)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("response %v, error %v", resp, err)
	}
	resp.Body.Close()
}
