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

// discoveryStub tells when it is asked, and never answers.
func discoveryStub(t *testing.T) (address string, asked chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	asked = make(chan struct{}, 100)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			defer nc.Close()
			asked <- struct{}{}
		}
	}()
	return l.Addr().String(), asked
}

// TestSignalsWhileANodeDrains: SIGHUP moves a node that drains to the new discovery, since it still sends; a second
// SIGTERM changes nothing; and it ends once what was open is answered.
func TestSignalsWhileANodeDrains(t *testing.T) {
	old, _ := discoveryStub(t)
	next, asked := discoveryStub(t)
	reading, held := make(chan struct{}), make(chan struct{})
	begun := sync.OnceFunc(func() { close(reading) })
	reader := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { begun(); <-held; panic(http.ErrAbortHandler) }),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = reader.Serve(l) }()
	defer reader.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	configure := func(discovery string) {
		if err := os.WriteFile(file, fmt.Appendf(nil, nodeConfig, discovery, l.Addr()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	configure(old)
	n, err := node.Start(file, func(string) string { return "" }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 8), make(chan error, 1)
	go func() { ended <- handleSignals(n, signals, zap.NewNop()) }()
	c, err := net.Dial("tcp", n.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = fmt.Fprint(
		c,
		strings.ReplaceAll(
			"POST /v1/chat/completions HTTP/1.1\nHost: a\nReq-Id: a1\nReq-Kind: ask\n"+
				"Req-Deadline-Ms: 60000\nReq-Extra: prompt_len=9,max_out=9\nContent-Length: 2\n\n{}",
			"\n",
			"\r\n",
		),
	)
	<-reading
	signals <- syscall.SIGTERM
	configure(next)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	<-asked
	select {
	case err := <-ended:
		t.Fatalf("ended over an open request: %v", err)
	default:
	}
	close(held)
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
