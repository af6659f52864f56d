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
	// readyTimeout bounds the start of all replicas; one takes less than a second on a quiet machine.
	readyTimeout = 30 * time.Second
	// connectTimeout and connectInterval are those of the connects by which a replica's start is seen.
	connectTimeout  = time.Second
	connectInterval = 20 * time.Millisecond
	// firstListWait is for the first list of engines, which a replica fetches once it accepts connections.
	firstListWait = 300 * time.Millisecond
	// stopTimeout is after what a replica that was asked to stop is killed: longer than any shutdown in a scenario.
	stopTimeout = 20 * time.Second
	// logTail and maxCrashText bound what is quoted of a crashed replica's log: its last bytes, or a panic's first.
	logTail      = 1000
	maxCrashText = 3000
)

var (
	// ErrReplicaExited is the error of a replica whose process ended at its start.
	ErrReplicaExited = errors.New("scenario: replica exited at its start")
	// ErrReplicaNotReady is the error of a replica that accepts no connection within its time.
	ErrReplicaNotReady = errors.New("scenario: replica not ready")
)

// replica is a replica of the gateway, in a process of its own.
type replica struct {
	name, addr   string
	admin        string // where planners ask; "" = nowhere
	settingsFile string
	logFile      string

	mu    sync.Mutex
	cmd   *exec.Cmd // nil while it is stopped
	ended chan struct{}
}

func (p *replica) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// replicaSet are the replicas of a scenario.
type replicaSet struct {
	binary  string
	env     []string
	record  *audit.Record
	logf    func(format string, args ...any)
	members []*replica // not changed once the scenario plays

	mu      sync.Mutex
	crashes []string // violations: replicas that ended by themselves
}

func newReplicaSet(r *run) *replicaSet {
	return &replicaSet{
		binary: r.options.Binary,
		env:    append(os.Environ(), r.options.Env...),
		record: r.record,
		logf:   r.logf,
	}
}

// startReplica writes the settings of the i-th replica and starts it.
func (r *run) startReplica(i int) error {
	addr, err := loopback.Address()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%d", i+1)
	base := filepath.Join(r.options.WorkDir, name)
	p := &replica{name: name, addr: addr, settingsFile: base + ".xml", logFile: base + ".log"}
	if r.planners != nil {
		if p.admin, err = loopback.Address(); err != nil {
			return err
		}
	}
	settings := r.scenario.ReplicaXML(i, p.name, p.addr, p.admin, r.api.URL(), base+".list.json")
	if err := os.WriteFile(p.settingsFile, []byte(settings), 0o644); err != nil {
		return err
	}
	r.replicas.members = append(r.replicas.members, p)
	return r.replicas.start(p)
}

// start starts a replica's process; its log goes to a file beside its settings.
func (s *replicaSet) start(p *replica) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has the file open itself
	cmd := exec.Command(s.binary, "serve", "-c", p.settingsFile)
	cmd.Env = s.env
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.ended = cmd, make(chan struct{})
	s.record.Add(audit.Event{Kind: audit.ReplicaStarted, Replica: p.name})
	go s.await(p, cmd, p.ended)
	return nil
}

// await waits for the end of a replica's process, and closes ended.
func (s *replicaSet) await(p *replica, cmd *exec.Cmd, ended chan struct{}) {
	defer close(ended)
	err := cmd.Wait()
	p.mu.Lock()
	byItself := p.cmd == cmd
	p.mu.Unlock()
	if byItself {
		s.addCrash(p, err)
	}
}

// addCrash notes a replica whose process ended though nobody stopped it, with what it last wrote.
func (s *replicaSet) addCrash(p *replica, err error) {
	text := crashText(p.logFile)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes,
		fmt.Sprintf("%.3fs: %s ended by itself (%v): %.*s", s.record.Now().Seconds(), p.name, err, maxCrashText, text))
}

// crashText is what a log ends with: a panic from its beginning, or the last bytes.
func crashText(logFile string) string {
	content, err := os.ReadFile(logFile)
	if err != nil {
		return err.Error()
	}
	text := string(content)
	crash := max(strings.LastIndex(text, "\npanic:"), strings.LastIndex(text, "\nfatal error:"))
	if crash >= 0 {
		return text[crash+1:]
	}
	return text[max(0, len(text)-logTail):]
}

// crashed returns a copy of the crashes noted.
func (s *replicaSet) crashed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.crashes...)
}

// stop signals a replica's process and waits for its end.
func (s *replicaSet) stop(p *replica, signal syscall.Signal) {
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	if signal == syscall.SIGKILL {
		s.record.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: p.name})
	}
	_ = cmd.Process.Signal(signal) // fails only when the process has ended
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		s.logf("%s did not stop in time, killed", p.name)
		s.record.Add(audit.Event{Kind: audit.ReplicaKilled, Replica: p.name})
		_ = cmd.Process.Kill() // likewise
		<-ended
	}
}

// awaitReady waits until every replica accepts connections and has its first list of engines.
func (s *replicaSet) awaitReady(ctx context.Context) error {
	limit := time.Now().Add(readyTimeout)
	for _, p := range s.members {
		if err := p.awaitAccepting(ctx, limit); err != nil {
			return err
		}
	}
	time.Sleep(firstListWait)
	return nil
}

// awaitAccepting waits until the replica accepts a connection.
func (p *replica) awaitAccepting(ctx context.Context, limit time.Time) error {
	for {
		conn, err := net.DialTimeout("tcp", p.addr, connectTimeout)
		if err == nil {
			_ = conn.Close() // that it was accepted is all that counts
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("%w: %s; see %s", ErrReplicaExited, p.name, p.logFile)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(connectInterval):
		}
		if time.Now().After(limit) {
			return fmt.Errorf("%w: %s", ErrReplicaNotReady, p.name)
		}
	}
}

func (s *replicaSet) close() {
	for _, p := range s.members {
		s.stop(p, syscall.SIGKILL)
	}
}
