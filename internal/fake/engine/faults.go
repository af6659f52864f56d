package engine

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Faults are what is wrong with a fake engine now; the zero value is nothing. Its JSON form is how faults are set from
// outside, by POST /standin/faults. A fraction is a probability for each request.
type Faults struct {
	FailFast          float64 `json:"fail_fast"`  // fraction of requests that fail at once
	FailClass         string  `json:"fail_class"` // requests of this class fail at once
	Stall             bool    `json:"stall"`      // requests are accepted and never answered
	Slow              float64 `json:"slow"`       // times slower
	ResetMidStream    float64 `json:"reset_mid"`  // fraction of streams that are reset after a few tokens
	ResetAfterRequest float64 `json:"reset_head"` // fraction of requests whose connection is reset once they are read
	ResetAfterEffect  float64 `json:"reset_run"`  // fraction that takes effect and is reset before the first token
	FailAfterEffect   float64 `json:"fail_run"`   // fraction that takes effect and is answered with an error
	StallAfterEffect  float64 `json:"stall_run"`  // fraction that takes effect and is never answered
	FrozenReports     bool    `json:"frozen"`     // load reports stay as they are
	NoReports         bool    `json:"no_reports"`
}

// speedFactor is by how much the model is slowed down.
func (f Faults) speedFactor() float64 { return cmp.Or(f.Slow, 1) }

// SetFaults replaces what is wrong with the engine.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.model.SetSlowdown(faults.speedFactor())
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

// hooks let a test act at one moment of a request, or change how streams are written.
type hooks struct {
	beforeStateFetch func()
	afterPrefill     func()
	endlessStreams   bool
}

// StreamWithoutEnd makes streams write without end, as fast as their connection accepts it.
func (s *Server) StreamWithoutEnd(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.endlessStreams = on
}

// BeforeStateFetch sets a hook that is called when a read state is asked for, before it is handed over.
func (s *Server) BeforeStateFetch(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.beforeStateFetch = hook
}

// AfterPrefill sets a hook that is called when a prefill has ended, before it is answered.
func (s *Server) AfterPrefill(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hooks.afterPrefill = hook
}

// currentHooks returns the hooks in force.
func (s *Server) currentHooks() hooks {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hooks
}

// DropPrefixCache empties the engine's prefix cache.
func (s *Server) DropPrefixCache() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.ClearPrefixCache()
}

// SilentRestart loses everything as a crash does, but the API server is not notified and the port stays open.
func (s *Server) SilentRestart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAll()
}

// RefuseConnects closes the listener for a while; existing connections stay.
func (s *Server) RefuseConnects(duration time.Duration) {
	s.mu.Lock()
	listener, server, addr := s.process.listener, s.process.http, s.process.addr
	s.mu.Unlock()
	closeListener(listener)
	time.AfterFunc(duration, func() { s.acceptAgain(server, addr) })
}

// acceptAgain listens again for a process that refused connections, if it is still the same one.
func (s *Server) acceptAgain(server *http.Server, addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return // another process has the port: this one goes on refusing
	}
	s.mu.Lock()
	if s.process.http != server || !s.process.up {
		s.mu.Unlock()
		closeListener(listener)
		return
	}
	s.process.listener = listener
	s.serve(server, listener)
	s.mu.Unlock()
}

// resetConnection ends a request with a TCP reset instead of an answer.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is gone already
	}
	closeWithReset(conn)
}

func closeWithReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is gone already
	}
	_ = conn.Close() // likewise
}
