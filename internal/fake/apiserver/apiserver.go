// Package apiserver is a fake of the Kubernetes API server: EndpointSlices with list in pages, watch with bookmarks
// and resource versions that expire (410), and the assignment table of engine roles. On demand its events are late,
// repeated or stale, or it is unreachable.
//
// A Server's mutex guards all its state; each watch runs in the goroutine of its request.
package apiserver

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/planner"
)

const (
	// bookmarkInterval is the time between two bookmarks of a watch.
	bookmarkInterval = 2 * time.Second
	// readHeaderTimeout ends connections that never send a request.
	readHeaderTimeout = 10 * time.Second
)

// Entry is one engine of the endpoint list.
type Entry struct {
	Name, Kind, Zone, Cell, Address, UID string
	Ready, Draining                      bool
	Started                              time.Time // zero = not told
}

// usable reports whether new work may go to the engine. That of a removed one, the zero Entry, may not.
func (e Entry) usable() bool { return e.Ready && !e.Draining }

// Server is the running fake. Every engine is an EndpointSlice of its own.
type Server struct {
	Namespace string
	Bookmarks time.Duration // between two bookmarks of a watch
	Record    *audit.Record // of what replicas are told; may be nil

	listener net.Listener
	http     *http.Server

	mu          sync.Mutex
	log         eventLog
	entries     map[string]Entry
	order       []string // names of the entries, in order of their addition
	versions    map[string]int
	known       map[string]bool // every name ever listed
	delay       time.Duration   // of events
	unreachable bool
	watches     map[context.Context]context.CancelFunc
	roles       roleTable
}

// Start listens on addr.
func Start(addr string, record *audit.Record) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Namespace: "default",
		Bookmarks: bookmarkInterval,
		Record:    record,
		listener:  l,
		log:       newEventLog(),
		entries:   map[string]Entry{},
		versions:  map[string]int{},
		known:     map[string]bool{},
		watches:   map[context.Context]context.CancelFunc{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/discovery.k8s.io/v1/namespaces/{ns}/endpointslices", s.serveSlices)
	mux.HandleFunc("GET "+planner.PathAssignments, s.getAssignments)
	mux.HandleFunc("PUT "+planner.PathAssignments, s.putAssignments)
	mux.HandleFunc("GET "+planner.PathMemory, s.getMemory)
	mux.HandleFunc("PUT "+planner.PathMemory, s.putMemory)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.http.Serve(l) }() // ends with Close
	return s, nil
}

// URL is the server's base URL.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close ends the server and all its connections.
func (s *Server) Close() {
	_ = s.http.Close() // of sockets that nothing uses any more
}

// Set adds or changes an entry.
func (s *Server) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := modified
	if _, ok := s.entries[e.Name]; !ok {
		kind = added
		s.order = append(s.order, e.Name)
	}
	s.entries[e.Name] = e
	s.known[e.Name] = true
	s.publish(kind, e)
}

// Remove removes an entry.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	if !ok {
		return
	}
	delete(s.entries, name)
	s.order = slices.DeleteFunc(s.order, func(n string) bool { return n == name })
	s.publish(deleted, e)
}

// Entry returns an entry as it was set.
func (s *Server) Entry(name string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	return e, ok
}

// publish adds an event with the entry as it is listed now. s.mu is held.
func (s *Server) publish(kind eventKind, e Entry) {
	s.versions[e.Name] = s.log.add(kind, s.listed(e))
}

// SendStaleEvent sends an old event of a removed engine again, with its old version.
func (s *Server) SendStaleEvent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.repeat(name)
}

// SetDelay makes events late by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetUnreachable makes the server unreachable or reachable: while it is unreachable it answers nothing but 503, and
// all watches are ended.
func (s *Server) SetUnreachable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = on
	if !on {
		return
	}
	for _, cancel := range s.watches {
		cancel()
	}
}

// Compact drops all events: watches from earlier versions get 410 and must list again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.compact()
}

// isUnreachable reports whether requests are to be answered 503.
func (s *Server) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable
}
