package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"go.uber.org/zap"

	"brackenbend/internal/node"
)

const nodeConfig = `{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":
{"revision":1,"complete":true,"members":[{"id":"r1","host_port":%q,"flavor":"prefill","phase":"Ready"},
{"id":"w1","host_port":"127.0.0.1:1","flavor":"decode","phase":"Ready"}]},
"settings":{"Balancers":1,"Caps":{"AttemptsCap":4,"Cancel":true},
"Classes":[{"Deadline":60000000,"Importance":1,"Name":"ask","Promise":60000000,"Repeat":"free"}],
"FamilyInfo":{"KindRole":["read","write"],"KvTokens":[200000,200000],"Release":1000000},"Kinds":["prefill","decode"]}}`

// startSilentDiscovery starts a discovery agent that accepts connections, reports each on connected, and never
// answers.
func startSilentDiscovery(t *testing.T) (address string, connected chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	connected = make(chan struct{}, 100)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			connected <- struct{}{}
		}
	}()
	return l.Addr().String(), connected
}

// blockedEngine is an engine that accepts requests and, once it is unblocked, aborts them without a response.
type blockedEngine struct {
	address   string
	received  chan struct{} // closed by the first request
	unblocked chan struct{} // closed by the test
}

func startBlockedEngine(t *testing.T) *blockedEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &blockedEngine{address: l.Addr().String(), received: make(chan struct{}), unblocked: make(chan struct{})}
	received := sync.OnceFunc(func() { close(e.received) })
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			received()
			<-e.unblocked
			panic(http.ErrAbortHandler)
		}),
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	return e
}

// sendToNode sends a request and does not read the answer. The connection is closed when the test ends.
func sendToNode(t *testing.T, address string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_, _ = fmt.Fprint(
		conn,
		strings.ReplaceAll(
			"POST /v1/chat/completions HTTP/1.1\nHost: a\nReq-Id: a1\nReq-Kind: ask\n"+
				"Req-Deadline-Ms: 60000\nReq-Extra: prompt_len=9,max_out=9\nContent-Length: 2\n\n{}",
			"\n",
			"\r\n",
		),
	)
}

// TestDrainingNodeReloadsAndIgnoresSecondSIGTERM checks that SIGHUP moves a draining node to the new discovery agent,
// since the node still sends attempts, that a second SIGTERM has no effect, and that the node ends only when its open
// requests are answered.
func TestDrainingNodeReloadsAndIgnoresSecondSIGTERM(t *testing.T) {
	oldDiscovery, _ := startSilentDiscovery(t)
	newDiscovery, connected := startSilentDiscovery(t)
	prefillEngine := startBlockedEngine(t)
	file := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(discovery string) {
		t.Helper()
		if err := os.WriteFile(file, fmt.Appendf(nil, nodeConfig, discovery, prefillEngine.address), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig(oldDiscovery)
	n, err := node.Start(file, func(string) string { return "" }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	signals, handlerErrors := make(chan os.Signal, 8), make(chan error, 1)
	go func() { handlerErrors <- handleSignals(n, signals, zap.NewNop()) }()
	sendToNode(t, n.Addr())
	<-prefillEngine.received
	signals <- syscall.SIGTERM
	writeConfig(newDiscovery)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	<-connected
	select {
	case err := <-handlerErrors:
		t.Fatalf("ended with an open request: %v", err)
	default:
	}
	close(prefillEngine.unblocked)
	if err := <-handlerErrors; err != nil {
		t.Error(err)
	}
}
