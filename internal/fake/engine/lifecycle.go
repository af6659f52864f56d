package engine

import (
	"errors"
	"net"
	"net/http"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
)

const (
	// bindAttempts and bindDelay bound the wait for an address that a closed listener still occupies: 1 s in total.
	bindAttempts = 50
	bindDelay    = 20 * time.Millisecond
	// readHeaderTimeout bounds how long a connection may take to send the header of a request.
	readHeaderTimeout = 10 * time.Second
)

// ErrProcessRunning is returned by Restart if the process of the engine has not ended.
var ErrProcessRunning = errors.New("fake engine: the process is already running")

// process is one process of the engine, from its start to its crash.
type process struct {
	addr          string
	generation    int // counts the processes; part of the UID
	up            bool
	slowStartedAt time.Time // zero = without slow start
	httpServer    *http.Server
	listener      net.Listener
}

// startProcessWithRetry starts the process at an address that a closed listener may still occupy for a moment.
func (s *Server) startProcessWithRetry(addr string, cold bool) (err error) {
	for range bindAttempts {
		if err = s.startProcess(addr, cold); err == nil {
			return nil
		}
		time.Sleep(bindDelay)
	}
	return err
}

// startProcess starts a process with a new UID, an empty model and a new listener.
func (s *Server) startProcess(addr string, cold bool) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ConnState:         s.trackConnection,
	}
	s.mu.Lock()
	s.process = process{
		addr:       listener.Addr().String(),
		generation: s.process.generation + 1,
		up:         true,
		httpServer: server,
		listener:   listener,
	}
	if cold {
		s.process.slowStartedAt = time.Now()
	}
	s.role.finishOnRestart()
	s.model = enginemodel.New(s.roleParams(), s.now(), cold)
	s.model.SetSlowdown(s.faults.slowdown())
	s.mu.Unlock()
	s.record(audit.Event{Kind: audit.EngineStarted})
	s.serve(server, listener)
	s.notifyProcessChange()
	return nil
}

// serve accepts connections in a goroutine until the listener is closed.
func (s *Server) serve(server *http.Server, listener net.Listener) {
	s.goroutines.Go(func() {
		_ = server.Serve(listener) // returns after the listener is closed, always with an error
	})
}

func (s *Server) trackConnection(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	default:
	}
}

// Crash ends the process at once: connections are reset, and jobs, read states and the prefix cache are lost.
func (s *Server) Crash() {
	s.mu.Lock()
	if !s.process.up {
		s.mu.Unlock()
		return
	}
	s.stopProcess()
	s.mu.Unlock()
	s.record(audit.Event{Kind: audit.EngineStopped})
	s.notifyProcessChange()
}

// stopProcess closes the listener, resets every connection and empties the model. s.mu is held.
func (s *Server) stopProcess() {
	s.process.up = false
	closeListener(s.process.listener)
	s.resetAll()
}

// resetAll resets every connection and empties the model. s.mu is held.
func (s *Server) resetAll() {
	for conn := range s.conns {
		closeWithReset(conn)
	}
	s.model.Reset()
	for id := range s.states.heldIDs {
		s.recordReleased(id)
	}
}

// Restart starts a new process after a crash, in slow start and at the same address.
func (s *Server) Restart() error {
	s.mu.Lock()
	up, addr := s.process.up, s.process.addr
	s.mu.Unlock()
	if up {
		return ErrProcessRunning
	}
	return s.startProcessWithRetry(addr, true)
}

// Close stops the process and waits for the goroutines that accept connections or crash the engine.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopProcess()
	s.timer.Stop()
	s.mu.Unlock()
	s.goroutines.Wait()
}

func closeListener(listener net.Listener) {
	_ = listener.Close() // fails only if it is closed already
}
