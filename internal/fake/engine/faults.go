package engine

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Faults are the faults in force at a fake engine; the zero value has none. POST /standin/faults sets them in their
// JSON form. A fraction is the probability of the fault for each request, if no other fault has ended it.
type Faults struct {
	FailFast          float64 `json:"fail_fast"`  // fraction of requests that fail at once
	FailClass         string  `json:"fail_class"` // all requests of this class fail at once
	Stall             bool    `json:"stall"`      // requests are read but never answered
	SlowFactor        float64 `json:"slow"`       // multiplies the duration of each step of the model; 0 = 1
	ResetMidStream    float64 `json:"reset_mid"`  // fraction of streams that are reset after a few tokens
	ResetAfterRequest float64 `json:"reset_head"` // fraction of requests reset once they are read
	ResetAfterEffect  float64 `json:"reset_run"`  // fraction reset after taking effect, before the first token
	FailAfterEffect   float64 `json:"fail_run"`   // fraction that fails with status 500 after taking effect
	StallAfterEffect  float64 `json:"stall_run"`  // fraction never answered after taking effect
	FrozenReports     bool    `json:"frozen"`     // the last load report is repeated
	NoReports         bool    `json:"no_reports"`
}

// slowdown returns the factor by which the model is slowed down.
func (f Faults) slowdown() float64 { return cmp.Or(f.SlowFactor, 1) }

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.model.SetSlowdown(faults.slowdown())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// hooks are set by tests: callbacks at two points of a request, and a switch that makes streams endless.
type hooks struct {
	beforeStateFetch func()
	afterPrefill     func()
	endlessStreams   bool
}

// SetEndlessStreams makes streams send tokens forever, as fast as the connection accepts them.
func (s *Server) SetEndlessStreams(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.endlessStreams = enabled
}

// BeforeStateFetch sets a hook that is called when a fetch of a read state arrives, before it is answered.
func (s *Server) BeforeStateFetch(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.beforeStateFetch = hook
}

// AfterPrefill sets a hook that is called when a prefill has ended, before its response is written.
func (s *Server) AfterPrefill(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.afterPrefill = hook
}

// currentHooks returns a copy of the hooks.
func (s *Server) currentHooks() hooks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hooks
}

// ClearPrefixCache removes every entry of the engine's prefix cache.
func (s *Server) ClearPrefixCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.ClearPrefixCache()
}

// SilentRestart discards all jobs, read states and cached prefixes and resets all connections, as a crash does, but the
// API server is not notified and the port stays open.
func (s *Server) SilentRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetAll()
}

// RefuseConnections closes the listener for a duration; existing connections stay open.
func (s *Server) RefuseConnections(duration time.Duration) {
	s.mu.Lock()
	listener, server, addr := s.process.listener, s.process.httpServer, s.process.addr
	s.mu.Unlock()
	closeListener(listener)
	time.AfterFunc(duration, func() { s.listenAgain(server, addr) })
}

// listenAgain ends the refusal of connections, if the same process is still running.
func (s *Server) listenAgain(server *http.Server, addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return // another process has taken the port: connections stay refused
	}
	s.mu.Lock()
	if s.process.httpServer != server || !s.process.up {
		s.mu.Unlock()
		closeListener(listener)
		return
	}
	s.process.listener = listener
	s.serve(server, listener)
	s.mu.Unlock()
}

// resetRequest resets the TCP connection of a request instead of sending a response or the rest of it.
func resetRequest(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection has closed already
	}
	closeWithReset(conn)
}

func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that has closed already
	}
	_ = conn.Close() // likewise
}
