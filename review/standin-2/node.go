package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is one front node, started by the run line of the deploy file.
type node struct {
	name, listen, dir string
	discovery         string
	known             list
	settings          map[string]any
	memoryMB, sockets int
	record            *record

	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	err     error         // of the process; read after ended
}

func (n *node) configFile() string { return filepath.Join(n.dir, n.name+".json") }

// writeConfig replaces the node's configuration file in one step.
func (n *node) writeConfig() error {
	text, err := json.Marshal(map[string]any{
		"name": n.name, "listen": n.listen, "discovery": n.discovery,
		"seed":   fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": n.memoryMB, "sockets": n.sockets},
		"known":  n.known, "settings": n.settings,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.configFile()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(n.configFile()+".new", n.configFile())
}

// runLine returns the command of the deploy file that starts a front node.
func runLine() (string, error) {
	file, err := os.Open("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), `run = "`); ok {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run line")
}

// start starts the node and waits until it is ready.
func (n *node) start() error {
	if n.memoryMB == 0 {
		n.memoryMB, n.sockets = 192, 1024
	}
	if err := n.writeConfig(); err != nil {
		return err
	}
	line, err := runLine()
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(n.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command("/bin/sh", "-c", line)
	n.command.Env = append(os.Environ(), "LB_CONFIG="+n.configFile(), "LB_NAME="+n.name,
		"LB_LISTEN="+n.listen, "LB_DISCOVERY="+n.discovery, "TMPDIR="+n.dir)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.command.Start(); err != nil {
		return err
	}
	n.ended = make(chan struct{})
	go func() {
		n.err = n.command.Wait()
		close(n.ended)
	}()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + n.listen + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.record.printf("%s ready on %s, process %d", n.name, n.listen, n.command.Process.Pid)
			return nil
		}
	}
	return errors.New("the node is not ready within 10 s")
}

func (n *node) signal(sig syscall.Signal) {
	n.record.printf("%s gets %v", n.name, sig)
	n.command.Process.Signal(sig) //nolint:errcheck // it may have ended
}

// running reports whether the process has not ended.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// kill ends the process if it still runs.
func (n *node) kill() {
	if n.command == nil || n.command.Process == nil {
		return
	}
	n.command.Process.Kill() //nolint:errcheck // it may have ended
	<-n.ended
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// request is one client's request.
type request struct {
	id, class, tenant string
	deadline          time.Duration
	retry             string // of Req-Retry; "" = no field
	promptTokens      int
	bodyBytes         int // of the content; 0 = promptTokens*4
}

// answer is what a client got.
type answer struct {
	status   int // 0 = no answer at all
	complete bool
	body     string
	err      error
	first    time.Duration // from the send to the first event or the whole of another answer
	took     time.Duration
}

// send sends a request on a connection of the client's pool and reads its answer. onEvent is called for each piece.
func (q *request) send(ctx context.Context, client *http.Client, address string, onEvent func(string)) (a answer) {
	size := q.bodyBytes
	if size == 0 {
		size = 4 * q.promptTokens
	}
	body := fmt.Sprintf(`{"model":"chat","stream":true,"max_tokens":200,"messages":[{"role":"user","content":"%s"}]}`,
		strings.Repeat("x", size))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req.GetBody = nil // no silent second send
	req.Header.Set("Req-Id", q.id)
	req.Header.Set("Req-Kind", q.class)
	if q.tenant != "" {
		req.Header.Set("Req-Owner", q.tenant)
	}
	req.Header.Set("Req-Key", "s"+q.id)
	req.Header.Set("Req-Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.retry != "" {
		req.Header.Set("Req-Retry", q.retry)
	}
	req.Header.Set("Req-Extra", fmt.Sprintf("prompt_len=%d,max_out=200", q.promptTokens))
	start := time.Now()
	defer func() { a.took = time.Since(start) }()
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status, a.first = resp.StatusCode, time.Since(start)
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.body += string(buf[:n])
			if onEvent != nil {
				onEvent(string(buf[:n]))
			}
		}
		if err != nil {
			a.complete = err.Error() == "EOF"
			if !a.complete {
				a.err = err
			}
			return a
		}
	}
}
