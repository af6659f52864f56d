package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one front node, started by the deploy file's run command in a process of its own.
type node struct {
	rec     *record
	name    string
	listen  string
	config  string // file
	cmd     *exec.Cmd
	exited  chan struct{} // closed once the process has ended
	mu      sync.Mutex
	exitMsg string
}

// freeAddress returns a loopback address with a port that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

type nodeOptions struct {
	name      string
	discovery string // address of the discovery agent
	known     discoveryList
	memoryMB  int
	settings  map[string]any
}

// startNode writes the configuration file and starts the node, then waits until GET /healthz answers 200.
func startNode(env *environment, options nodeOptions) (*node, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	n := &node{rec: env.rec, name: options.name, listen: listen, exited: make(chan struct{})}
	n.config = filepath.Join(env.tempDir, options.name+".json")
	config, err := json.Marshal(map[string]any{
		"name": options.name, "listen": listen, "discovery": options.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": options.memoryMB, "sockets": 1024},
		"known":    options.known,
		"settings": options.settings,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.config, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(env.tempDir, options.name+".log"))
	if err != nil {
		return nil, err
	}
	n.cmd = exec.Command("/bin/sh", "-c", env.run)
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = env.root, log, log
	n.cmd.Env = append(os.Environ(), "LB_NAME="+options.name, "LB_LISTEN="+listen,
		"LB_DISCOVERY="+options.discovery, "LB_CONFIG="+n.config)
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		err := n.cmd.Wait()
		n.mu.Lock()
		n.exitMsg = "status 0"
		if err != nil {
			n.exitMsg = err.Error()
		}
		n.mu.Unlock()
		n.rec.add("node %s: process ended: %s", n.name, n.exitMsg)
		close(n.exited)
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.ready() {
			n.rec.add("node %s: ready (process %d)", n.name, n.cmd.Process.Pid)
			return n, nil
		}
	}
	return nil, fmt.Errorf("node %s is not ready after 20 s", n.name)
}

func (n *node) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.listen + "/healthz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) signal(sig syscall.Signal) {
	n.rec.add("node %s: gets %v", n.name, sig)
	_ = n.cmd.Process.Signal(sig) // fails only if the process has ended
}

// stop ends the process, if it runs.
func (n *node) stop() {
	if n != nil && n.running() {
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
}

// anonymousKB is the resident memory of the process in KiB without pages of files, 0 if it has ended.
func (n *node) anonymousKB() int {
	status, err := os.ReadFile("/proc/" + strconv.Itoa(n.cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if value, ok := strings.CutPrefix(string(line), "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return kb
		}
	}
	return 0
}
