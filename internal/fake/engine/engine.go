// Package engine is a fake inference engine on a socket. It implements vLLM's protocol for disaggregated prefill and
// the extension described in docs/gateway.md, runs the model of internal/fake/enginemodel in real time, and injects
// faults on demand. It uses net/http, so that the gateway's own HTTP parsers are tested against an independent
// implementation.
//
// Server.mu guards the model, connections, faults and role. Besides those of net/http, the package starts a goroutine
// for each listener, which accepts connections, and one that crashes an overloaded engine. Timers run the model, finish
// a change of role and end the refusal of connections. Close resets all connections and waits for the goroutines that
// accept connections or crash the engine; a timer that fires later finds the process down.
package engine

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/enginemodel"
	"brackenbend/roles"
)

const (
	// defaultDedupWindow is the dedup window of an engine that shares no dedup scope.
	defaultDedupWindow = time.Minute
	// stateFetchTimeout bounds the fetch of a read state from another fake engine, which responds at once while it runs.
	stateFetchTimeout = 2 * time.Second
	// initialTimerDelay is the initial duration of the model's timer, before the model has any event.
	initialTimerDelay = time.Hour
)

// Config describes a fake engine.
type Config struct {
	Name, Kind, Zone, Cell string
	Params                 enginemodel.Params
	PlainVLLM              bool // implements only vLLM's protocol, not the extension
	CanCancel              bool // cancels a running job when its connection closes
	DedupScope             *DedupScope
	Record                 *audit.Record // may be nil
	OnProcessChange        func(*Server) // called after the process has started or crashed; may be nil

	Roles        map[roles.Role]enginemodel.Params // parameters in each role that it can have; empty = always Params
	InitialState roles.EngineState                 // of the role, as if stored on disk before the first start
	SwitchTime   time.Duration                     // from drained to serving in another role
}

// Server is a running fake engine.
type Server struct {
	cfg        Config
	epoch      time.Time // the model's time 0
	peerClient *http.Client
	goroutines sync.WaitGroup

	mu         sync.Mutex
	process    process
	model      *enginemodel.Engine
	timer      *time.Timer // fires when the model has something due
	conns      map[net.Conn]struct{}
	states     readStates
	role       roleChange
	faults     Faults
	hooks      hooks
	loadReport string // the last one sent, repeated while reports are frozen
	arrivals   int    // see Arrivals
}

// Start starts an engine that listens on addr; port 0 picks a free one. The engine begins in slow start if cold is set.
func Start(cfg Config, addr string, cold bool) (*Server, error) {
	s := &Server{
		cfg:        cfg,
		epoch:      time.Now(),
		peerClient: &http.Client{Timeout: stateFetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		conns:      map[net.Conn]struct{}{},
		states: readStates{
			heldIDs:    map[string]bool{},
			releasedAt: map[string]time.Time{},
		},
		role: roleChange{state: cfg.InitialState},
	}
	if s.cfg.DedupScope == nil {
		s.cfg.DedupScope = &DedupScope{Window: defaultDedupWindow}
	}
	s.timer = time.AfterFunc(initialTimerDelay, s.advance)
	if err := s.startProcessWithRetry(addr, cold); err != nil {
		return nil, err
	}
	return s, nil
}

// now returns the time of the model.
func (s *Server) now() time.Duration { return time.Since(s.epoch) }

func (s *Server) record(e audit.Event) {
	e.Engine = s.cfg.Name
	s.cfg.Record.Add(e)
}

func (s *Server) notifyProcessChange() {
	if s.cfg.OnProcessChange != nil {
		s.cfg.OnProcessChange(s)
	}
}

// Info describes an engine as the API server lists it.
type Info struct {
	Name, Kind, Zone, Cell, Address, UID string
	Up                                   bool
	Started                              time.Time // zero = without slow start
}

// Info returns the current description of the engine.
func (s *Server) Info() Info {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Info{
		Name:    s.cfg.Name,
		Kind:    s.cfg.Kind,
		Zone:    s.cfg.Zone,
		Cell:    s.cfg.Cell,
		Address: s.process.addr,
		UID:     fmt.Sprintf("%s-%d", s.cfg.Name, s.process.generation),
		Up:      s.process.up,
		Started: s.process.slowStartedAt,
	}
}

// InFlight returns the number of requests that are queued or running.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.InFlight()
}

// ReadStateCount returns the number of read states held.
func (s *Server) ReadStateCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.ReadStateCount()
}

// Arrivals returns the number of prefills and decodes that the engine has received since Start, without those rejected
// because it was changing to another role.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// advance moves the model to the present; the model's timer calls it.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.now())
	s.onModelChange()
}

// onModelChange acts on a change of the model: it sets the timer for the next event, records the read states that are
// no longer held, begins a switch of role if switchIfDrained allows it, and crashes an overloaded engine. s.mu is held.
func (s *Server) onModelChange() {
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(at-s.now(), 0))
	}
	for id := range s.states.heldIDs {
		if !s.model.HasReadState(id) {
			s.recordReleased(id)
		}
	}
	s.switchIfDrained()
	if s.model.Overloaded() && s.process.up {
		s.record(audit.Event{Kind: audit.EngineOverloaded})
		s.goroutines.Go(s.Crash)
	}
}
