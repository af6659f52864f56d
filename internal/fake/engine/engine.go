// Package engine is a fake of an engine on a socket: it speaks vLLM's convention for disaggregated prefill and the
// extension of docs/gateway.md, runs the model of internal/fake/enginemodel in real time, and fails on demand. It uses
// net/http, so that the gateway's own parsers meet an independent peer.
//
// A Server's mutex guards its model, connections, faults and role; the functions named in the comments as called with
// Server.mu held rely on it. Goroutines: those of net/http, one that accepts connections for each listener, one that
// crashes an overloaded engine, and timers for the model, for a change of role and for refused connections. Close ends
// and awaits the first three kinds that the package starts itself; a timer that fires later finds the process down.
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
	// defaultDedupWindow is how long a key is remembered by an engine that shares no dedup group.
	defaultDedupWindow = time.Minute
	// stateFetchTimeout bounds the fetch of a read state from another fake, which answers at once while it lives.
	stateFetchTimeout = 2 * time.Second
	// idleTimer is the first setting of the model's timer, which has nothing due yet.
	idleTimer = time.Hour
)

// Config describes a fake engine.
type Config struct {
	Name, Kind, Zone, Cell string
	Params                 enginemodel.Params
	PlainVLLM              bool // speaks vLLM's convention only, not the extension
	CanCancel              bool // work stops when its connection ends
	Group                  *DedupGroup
	Record                 *audit.Record // may be nil
	Changed                func(*Server) // called when its process has started or ended; may be nil

	Roles        map[roles.Role]enginemodel.Params // that it can take; empty = it keeps its Params
	InitialState roles.EngineState                 // as its disk has it at its first start
	SwitchTime   time.Duration                     // from empty to serving in another role
}

// Server is a running fake engine.
type Server struct {
	cfg        Config
	epoch      time.Time // the model's time 0
	peers      *http.Client
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
	loadReport string // the last one sent; repeated while reports are frozen
	arrivals   int
}

// Start listens on addr (port 0 = any) and serves. cold says whether the engine begins in slow start.
func Start(cfg Config, addr string, cold bool) (*Server, error) {
	s := &Server{
		cfg:   cfg,
		epoch: time.Now(),
		peers: &http.Client{Timeout: stateFetchTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
		conns: map[net.Conn]struct{}{},
		states: readStates{
			held:     map[string]bool{},
			released: map[string]time.Time{},
		},
		role: roleChange{state: cfg.InitialState},
	}
	if s.cfg.Group == nil {
		s.cfg.Group = &DedupGroup{Window: defaultDedupWindow}
	}
	s.timer = time.AfterFunc(idleTimer, s.advance)
	if err := s.startProcessRetrying(addr, cold); err != nil {
		return nil, err
	}
	return s, nil
}

// now is the model's time.
func (s *Server) now() time.Duration { return time.Since(s.epoch) }

func (s *Server) record(e audit.Event) {
	e.Engine = s.cfg.Name
	s.cfg.Record.Add(e)
}

func (s *Server) notifyChanged() {
	if s.cfg.Changed != nil {
		s.cfg.Changed(s)
	}
}

// Info is what the API server lists of an engine.
type Info struct {
	Name, Kind, Zone, Cell, Address, UID string
	Up                                   bool
	Started                              time.Time // zero = long ago
}

// Info describes the engine as it is.
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
		Started: s.process.started,
	}
}

// Working is the number of requests that wait or run.
func (s *Server) Working() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.InFlight()
}

// States is the number of read states held.
func (s *Server) States() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.ReadStateCount()
}

// Arrivals is the number of prefills and decodes that ever reached the engine.
func (s *Server) Arrivals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals
}

// advance moves the model to the present. Callers that changed the model call schedule themselves.
func (s *Server) advance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Advance(s.now())
	s.schedule()
}

// schedule follows a change of the model: it sets the timer for what is due next, records expired states, begins a
// change of role that was waiting, and crashes an overloaded engine. s.mu is held.
func (s *Server) schedule() {
	if at, ok := s.model.Next(); ok {
		s.timer.Reset(max(at-s.now(), 0))
	}
	for id := range s.states.held {
		if !s.model.HasReadState(id) {
			s.recordReleased(id)
		}
	}
	s.switchIfDrained()
	if s.model.Overloaded() && s.process.up {
		s.record(audit.Event{Kind: audit.Overloaded})
		s.goroutines.Go(s.Crash)
	}
}
