// Package apiserver is a fake Kubernetes API server. It serves EndpointSlices, with paginated lists, watches with
// bookmarks, and resource versions that expire (410). It also stores the assignment table of engine roles and the
// memory of a planner. It injects faults on demand: delayed and stale events, and unreachability.
//
// Server.mu guards all state of a Server. Each watch runs on the goroutine of its request.
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
	// defaultBookmarkInterval is the time between two bookmarks of a watch.
	defaultBookmarkInterval = 2 * time.Second
	// readHeaderTimeout bounds how long a connection may take to send the header of a request.
	readHeaderTimeout = 10 * time.Second
)

// Entry is one engine in the endpoint list.
type Entry struct {
	Name, Kind, Zone, Cell, Address, UID string
	Ready, Draining                      bool
	Started                              time.Time // zero = listed without a start time
}

// usable reports whether new requests may be sent to the engine. The zero Entry, that of a removed engine, is not
// usable.
func (e Entry) usable() bool { return e.Ready && !e.Draining }

// Server is a running fake API server. Each engine has an EndpointSlice of its own.
type Server struct {
	Namespace        string
	BookmarkInterval time.Duration // between two bookmarks of a watch
	Record           *audit.Record // of what replicas were notified of; may be nil

	listener   net.Listener
	httpServer *http.Server

	mu          sync.Mutex
	log         eventLog
	entries     map[string]Entry
	order       []string        // names of the entries, in the order in which they were added
	versions    map[string]int  // resource version of each engine's EndpointSlice
	everListed  map[string]bool // every name that was ever listed
	eventDelay  time.Duration   // of watch events
	unreachable bool
	watches     map[context.Context]context.CancelFunc
	roles       roleTable
}

// Start starts a server that listens on addr.
func Start(addr string, record *audit.Record) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Namespace:        "default",
		BookmarkInterval: defaultBookmarkInterval,
		Record:           record,
		listener:         l,
		log:              newEventLog(),
		entries:          map[string]Entry{},
		versions:         map[string]int{},
		everListed:       map[string]bool{},
		watches:          map[context.Context]context.CancelFunc{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/discovery.k8s.io/v1/namespaces/{ns}/endpointslices", s.serveSlices)
	mux.HandleFunc("GET "+planner.PathAssignments, s.getAssignments)
	mux.HandleFunc("PUT "+planner.PathAssignments, s.putAssignments)
	mux.HandleFunc("GET "+planner.PathMemory, s.getMemory)
	mux.HandleFunc("PUT "+planner.PathMemory, s.putMemory)
	s.httpServer = &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.httpServer.Serve(l) }() // returns after Close
	return s, nil
}

// URL is the server's base URL.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Close stops the server and closes all its connections.
func (s *Server) Close() {
	_ = s.httpServer.Close() // an error on a socket that is no longer used does not matter
}

// Set adds or changes an entry.
func (s *Server) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := eventModified
	if _, ok := s.entries[e.Name]; !ok {
		kind = eventAdded
		s.order = append(s.order, e.Name)
	}
	s.entries[e.Name] = e
	s.everListed[e.Name] = true
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
	s.publish(eventDeleted, e)
}

// Entry returns an entry as it was set, before the assignment table is applied.
func (s *Server) Entry(name string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	return e, ok
}

// publish adds an event with the entry as it is listed, with its assignment applied. s.mu is held.
func (s *Server) publish(kind eventKind, e Entry) {
	s.versions[e.Name] = s.log.add(kind, s.applyAssignment(e))
}

// SendStaleEvent sends the oldest event of an engine again, with its old resource version.
func (s *Server) SendStaleEvent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.repeatOldest(name)
}

// SetDelay delays all watch events by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventDelay = d
}

// SetUnreachable makes the server unreachable or reachable again. While it is unreachable, it answers every API request
// with status 503. Watches that are open when it becomes unreachable are ended.
func (s *Server) SetUnreachable(unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachable = unreachable
	if !unreachable {
		return
	}
	for _, cancel := range s.watches {
		cancel()
	}
}

// Compact discards all events. Watches from earlier versions get 410, open ones too, and their clients must list
// again.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.compact()
}

// isUnreachable reports whether the server answers every request with status 503.
func (s *Server) isUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unreachable
}
