package scenariorun

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/loopback"
)

const (
	// readyTimeout bounds the start of all replicas; one takes less than a second on an idle machine.
	readyTimeout = 30 * time.Second
	// connectTimeout bounds each attempt to connect to a replica that is starting; connectInterval is the pause between
	// two attempts.
	connectTimeout  = time.Second
	connectInterval = 20 * time.Millisecond
	// firstEndpointListWait is how long a run waits for the first endpoint list, which a replica fetches once it accepts
	// connections.
	firstEndpointListWait = 300 * time.Millisecond
	// stopTimeout is how long a replica may take to stop before it is killed: longer than any shutdown in a scenario.
	stopTimeout = 20 * time.Second
	// A report quotes the last logTailBytes bytes of a crashed replica's log. If the log has a panic or a fatal error, it
	// quotes up to maxLogExcerpt characters from there instead.
	logTailBytes  = 1000
	maxLogExcerpt = 3000
)

var (
	// ErrReplicaExited is returned for a replica whose process ended before it accepted connections.
	ErrReplicaExited = errors.New("scenario: replica exited during startup")
	// ErrReplicaNotReady is returned for a replica that accepts no connection within readyTimeout.
	ErrReplicaNotReady = errors.New("scenario: replica not ready in time")
)

// replica is a replica of the gateway, in a process of its own.
type replica struct {
	name, addr   string
	adminAddr    string // address of the metrics that planners poll; "" = none
	settingsFile string
	logFile      string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while it is stopped
	exited chan struct{}
}

func (r *replica) isRunning() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd != nil
}

// replicaSet holds the replicas of a scenario.
type replicaSet struct {
	binary  string
	env     []string
	record  *audit.Record
	logf    func(format string, args ...any)
	members []*replica // complete before the first fault

	mu      sync.Mutex
	crashes []string // a violation for each process that ended by itself
}

func newReplicaSet(r *run) *replicaSet {
	return &replicaSet{
		binary: r.options.Binary,
		env:    append(os.Environ(), r.options.Env...),
		record: r.record,
		logf:   r.logf,
	}
}

// startReplica writes the settings file of the i-th replica and starts the replica.
func (r *run) startReplica(i int) error {
	addr, err := loopback.Address()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%d", i+1)
	pathPrefix := filepath.Join(r.options.WorkDir, name)
	member := &replica{name: name, addr: addr, settingsFile: pathPrefix + ".xml", logFile: pathPrefix + ".log"}
	if r.planners != nil {
		if member.adminAddr, err = loopback.Address(); err != nil {
			return err
		}
	}
	settings := r.scenario.ReplicaXML(i, member.name, member.addr, member.adminAddr, r.api.URL(), pathPrefix+".list.json")
	if err := os.WriteFile(member.settingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	r.replicas.members = append(r.replicas.members, member)
	return r.replicas.start(member)
}

// start starts a replica's process; its log goes to a file beside its settings.
func (s *replicaSet) start(member *replica) error {
	member.mu.Lock()
	defer member.mu.Unlock()
	log, err := os.OpenFile(member.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has the file open itself
	cmd := exec.Command(s.binary, "serve", "-c", member.settingsFile)
	cmd.Env = s.env
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	member.cmd, member.exited = cmd, make(chan struct{})
	s.record.Add(audit.Event{Kind: audit.ReplicaStarted, Replica: member.name})
	go s.waitForExit(member, cmd, member.exited)
	return nil
}

// waitForExit waits for the end of a replica's process, records a crash unless stop ended it, and closes exited.
func (s *replicaSet) waitForExit(member *replica, cmd *exec.Cmd, exited chan struct{}) {
	defer close(exited)
	err := cmd.Wait()
	member.mu.Lock()
	crashed := member.cmd == cmd
	member.mu.Unlock()
	if crashed {
		s.addCrash(member, err)
	}
}

// addCrash records that a replica's process ended by itself, with the end of its log.
func (s *replicaSet) addCrash(member *replica, err error) {
	excerpt := logExcerpt(member.logFile)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes,
		fmt.Sprintf("%.3fs: replica %s ended by itself (%v): %.*s",
			s.record.Now().Seconds(), member.name, err, maxLogExcerpt, excerpt))
}

// logExcerpt returns the end of a log: from the last panic or fatal error on, or the last logTailBytes bytes where
// there is none.
func logExcerpt(logFile string) string {
	content, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	text := string(content)
	crashStart := max(strings.LastIndex(text, "\npanic:"), strings.LastIndex(text, "\nfatal error:"))
	if crashStart >= 0 {
		return text[crashStart+1:]
	}
	return text[max(0, len(text)-logTailBytes):]
}

// crashViolations returns a copy of the crashes recorded so far.
func (s *replicaSet) crashViolations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.crashes...)
}

// stop sends a signal to a replica's process, waits for its end, and kills it after stopTimeout.
func (s *replicaSet) stop(member *replica, signal syscall.Signal) {
	member.mu.Lock()
	cmd, exited := member.cmd, member.exited
	member.cmd = nil
	member.mu.Unlock()
	if cmd == nil {
		return
	}
	if signal == syscall.SIGKILL {
		s.record.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: member.name})
	}
	_ = cmd.Process.Signal(signal) // fails only when the process has ended
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		s.logf("replica %s did not stop in time: killed", member.name)
		s.record.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: member.name})
		_ = cmd.Process.Kill() // fails only when the process has ended
		<-exited
	}
}

// awaitReady waits until every replica accepts connections, and then firstEndpointListWait for their first endpoint
// lists.
func (s *replicaSet) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, member := range s.members {
		if err := member.awaitAccepting(ctx, deadline); err != nil {
			return err
		}
	}
	time.Sleep(firstEndpointListWait)
	return nil
}

// awaitAccepting waits until the replica accepts a connection, its process ends or the deadline passes.
func (r *replica) awaitAccepting(ctx context.Context, deadline time.Time) error {
	for {
		conn, err := net.DialTimeout("tcp", r.addr, connectTimeout)
		if err == nil {
			_ = conn.Close() // it only shows that the replica accepts connections
			return nil
		}
		select {
		case <-r.exited:
			return fmt.Errorf("%w: %s; see %s", ErrReplicaExited, r.name, r.logFile)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(connectInterval):
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", ErrReplicaNotReady, r.name)
		}
	}
}

func (s *replicaSet) close() {
	for _, member := range s.members {
		s.stop(member, syscall.SIGKILL)
	}
}
