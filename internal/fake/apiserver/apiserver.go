// Package apiserver is a stand-in for the Kubernetes API server's EndpointSlices: list with pages, watch with
// bookmarks, versions that are forgotten (410), and on demand late, cut off, flapping or stale news.
package apiserver

import (
	"brackenbend/internal/audit"
	"brackenbend/internal/planner"
	"brackenbend/roles"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is one engine of the list.
type Entry struct {
	Name, Kind, Zone, Cell, Address, UID string
	Ready, Draining                      bool
	Started                              time.Time // zero = not told
}

// usable tells that new work may go to the engine; the zero Entry is gone.
func (e Entry) usable() bool { return e.Ready && !e.Draining }

type change struct {
	version int
	kind    string // ADDED, MODIFIED, DELETED
	entry   Entry
	at      time.Time
}

// Server is the running stand-in. Every engine is a slice of its own.
type Server struct {
	Namespace string
	Bookmarks time.Duration
	Record    *audit.Record

	lis  net.Listener
	http *http.Server

	mu       sync.Mutex
	version  int
	oldest   int // versions before this one are forgotten
	entries  map[string]Entry
	order    []string
	versOf   map[string]int
	known    map[string]bool // every name ever told
	history  []change
	news     chan struct{} // closed and replaced at each change
	delay    time.Duration
	cut      bool
	book     roles.Assignments
	kinds    map[roles.Role]string
	bookFile string
	memory   []byte // what planners left, as JSON
	watches  map[context.Context]context.CancelFunc
}

// Start listens on addr.
func Start(addr string, rec *audit.Record) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		Namespace: "default", Bookmarks: 2 * time.Second, Record: rec, lis: l, version: 1, entries: map[string]Entry{},
		versOf: map[string]int{}, known: map[string]bool{}, news: make(chan struct{}), watches: map[context.Context]context.CancelFunc{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/discovery.k8s.io/v1/namespaces/{ns}/endpointslices", s.serve)
	mux.HandleFunc("GET "+planner.PathAssignments, s.serveBook)
	mux.HandleFunc("PUT "+planner.PathAssignments, s.serveBook)
	mux.HandleFunc("GET "+planner.PathMemory, s.serveMemory)
	mux.HandleFunc("PUT "+planner.PathMemory, s.serveMemory)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// URL is where it answers.
func (s *Server) URL() string { return "http://" + s.lis.Addr().String() }

// Close ends it.
func (s *Server) Close() { s.http.Close() }

// Set adds or changes an entry.
func (s *Server) Set(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := "MODIFIED"
	if _, ok := s.entries[e.Name]; !ok {
		kind = "ADDED"
		s.order = append(s.order, e.Name)
	}
	s.entries[e.Name] = e
	s.known[e.Name] = true
	s.change(kind, e)
}

// Remove takes an entry off the list.
func (s *Server) Remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	if !ok {
		return
	}
	delete(s.entries, name)
	for i, n := range s.order {
		if n == name {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
			break
		}
	}
	s.change("DELETED", e)
}

// Entry is an entry as it stands.
func (s *Server) Entry(name string) (Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[name]
	return e, ok
}

// SendStaleEvent sends an old event of a removed engine again, with its old version.
func (s *Server) SendStaleEvent(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.history {
		if c.entry.Name == name && c.kind != "DELETED" {
			s.history = append(s.history, change{c.version, c.kind, c.entry, time.Now()})
			s.wake()
			return
		}
	}
}

// change is called with s.mu held.
func (s *Server) change(kind string, e Entry) {
	s.version++
	s.versOf[e.Name] = s.version
	s.history = append(s.history, change{s.version, kind, s.bent(e), time.Now()}) // as the book has it now
	if len(s.history) > 4096 {
		s.history = s.history[1024:]
		s.oldest = s.history[0].version
	}
	s.wake()
}

func (s *Server) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// SetDelay makes news late by d.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetUnreachable ends all watches and, while on, answers nothing but 503.
func (s *Server) SetUnreachable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = on
	if on {
		for _, stop := range s.watches {
			stop()
		}
	}
}

// Compact forgets all history: watches from before get 410 and must list anew.
func (s *Server) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.oldest = s.version
	s.history = nil
	s.wake()
}

func (s *Server) slice(e Entry, version int) map[string]any {
	host, port, _ := net.SplitHostPort(e.Address)
	p, _ := strconv.Atoi(port)
	m := map[string]any{
		"name": "engines-" + e.Name, "namespace": s.Namespace, "resourceVersion": strconv.Itoa(version),
		"labels": map[string]string{"app": "engines", "brackenbend.dev/kind": e.Kind, "brackenbend.dev/cell": e.Cell},
	}
	if !e.Started.IsZero() {
		t, _ := json.Marshal(map[string]time.Time{e.Name: e.Started})
		m["annotations"] = map[string]string{"brackenbend.dev/started": string(t)}
	}
	return map[string]any{
		"apiVersion": "discovery.k8s.io/v1", "kind": "EndpointSlice", "metadata": m, "addressType": "IPv4",
		"ports": []any{map[string]any{"name": "http", "port": p, "protocol": "TCP"}},
		"endpoints": []any{map[string]any{
			"addresses": []string{host}, "zone": e.Zone,
			"conditions": map[string]bool{"ready": e.Ready && !e.Draining, "serving": e.Ready, "terminating": e.Draining},
			"targetRef":  map[string]string{"kind": "Pod", "name": e.Name, "uid": e.UID},
		}},
	}
}

func status(w http.ResponseWriter, code int, reason, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(statusObject(code, reason, message))
}

func cutOff(w http.ResponseWriter) {
	status(w, http.StatusServiceUnavailable, "ServiceUnavailable", "cut off")
}

func statusObject(code int, reason, message string) map[string]any {
	return map[string]any{"kind": "Status", "apiVersion": "v1", "status": "Failure", "reason": reason, "code": code, "message": message}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	front, _ := strings.CutPrefix(r.UserAgent(), "brackenbend/")
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	switch {
	case cut:
		cutOff(w)
	case r.PathValue("ns") != s.Namespace:
		status(w, http.StatusNotFound, "NotFound", "no such namespace")
	case r.FormValue("watch") == "1" || r.FormValue("watch") == "true":
		s.watch(w, r, front)
	default:
		s.list(w, r, front)
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request, front string) {
	s.mu.Lock()
	from, limit := 0, len(s.order)
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil && n > 0 {
		limit = n
	}
	version := s.version
	if c := r.FormValue("continue"); c != "" {
		var at int
		if _, err := fmt.Sscanf(c, "%d-%d", &at, &from); err != nil || at != s.version {
			s.mu.Unlock()
			status(w, http.StatusGone, "Expired", "the list has changed")
			return
		}
	}
	items := []any{}
	next := ""
	var ready []string
	for i := from; i < len(s.order); i++ {
		if len(items) == limit {
			next = fmt.Sprintf("%d-%d", version, i)
			break
		}
		e := s.bent(s.entries[s.order[i]])
		items = append(items, s.slice(e, s.versOf[e.Name]))
		if e.usable() {
			ready = append(ready, e.Name)
		}
	}
	var not []string // drain or are gone
	for name := range s.known {
		if !s.bent(s.entries[name]).usable() {
			not = append(not, name)
		}
	}
	s.mu.Unlock()
	s.told(audit.NotifiedReady, front, ready)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1",
		"metadata": map[string]any{"resourceVersion": strconv.Itoa(version), "continue": next}, "items": items,
	})
	if next == "" && http.NewResponseController(w).Flush() == nil {
		s.told(audit.NotifiedGone, front, not)
	}
}

// told records what a front is told. That engines are ready is recorded before a byte of it leaves, since the front
// may act on it before this process runs again; that they drain or are gone after the bytes left, since it can't
// know before.
func (s *Server) told(kind audit.Kind, front string, engines []string) {
	if s.Record == nil {
		return
	}
	for _, name := range engines {
		s.Record.Add(audit.Event{Kind: kind, Replica: front, Engine: name})
	}
}

// words sorts what a batch of changes tells of engines: those that are ready at some point in it, and those that
// drain or are gone at its end.
func words(due []change) (ready, not []string) {
	last := map[string]bool{}
	for _, c := range due {
		last[c.entry.Name] = c.kind != "DELETED" && c.entry.usable()
		if last[c.entry.Name] {
			ready = append(ready, c.entry.Name)
		}
	}
	for name, ok := range last {
		if !ok {
			not = append(not, name)
		}
	}
	return ready, not
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, front string) {
	from, err := strconv.Atoi(r.FormValue("resourceVersion"))
	if err != nil {
		status(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	s.mu.Lock()
	if s.cut { // since serve looked: Cut ends the watches that it finds
		s.mu.Unlock()
		cutOff(w)
		return
	}
	if from < s.oldest {
		s.mu.Unlock()
		status(w, http.StatusGone, "Expired", "too old resource version")
		return
	}
	s.watches[ctx] = stop
	next := len(s.history) // first event not yet looked at
	for next > 0 && s.history[next-1].version > from {
		next--
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watches, ctx)
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/json")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	enc := json.NewEncoder(w)
	bookmark := time.NewTicker(s.Bookmarks)
	defer bookmark.Stop()
	last := from
	for {
		s.mu.Lock()
		news, delay := s.news, s.delay
		if last < s.oldest {
			s.mu.Unlock()
			_ = enc.Encode(map[string]any{"type": "ERROR", "object": statusObject(410, "Expired", "too old resource version")})
			return
		}
		var due []change
		var wait <-chan time.Time
		next = min(next, len(s.history))
		for ; next < len(s.history); next++ {
			if left := delay - time.Since(s.history[next].at); left > 0 {
				wait = time.After(left)
				break
			}
			due = append(due, s.history[next])
		}
		s.mu.Unlock()
		ready, not := words(due)
		s.told(audit.NotifiedReady, front, ready)
		for _, c := range due {
			if enc.Encode(map[string]any{"type": c.kind, "object": s.slice(c.entry, c.version)}) != nil {
				return
			}
			last = max(last, c.version)
		}
		if len(due) > 0 {
			if rc.Flush() != nil {
				return
			}
			s.told(audit.NotifiedGone, front, not)
		}
		select {
		case <-ctx.Done():
			return
		case <-news:
		case <-wait:
		case <-bookmark.C:
			_ = enc.Encode(map[string]any{"type": "BOOKMARK", "object": map[string]any{
				"kind":       "EndpointSlice",
				"apiVersion": "discovery.k8s.io/v1", "metadata": map[string]any{"resourceVersion": strconv.Itoa(last)},
			}})
			if rc.Flush() != nil {
				return
			}
		}
	}
}
