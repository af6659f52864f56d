package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// readStates are the states that readers hold, by request; all engines of a case share them, as writers fetch them and
// any engine passes a release on.
type readStates struct {
	mu     sync.Mutex
	holder map[string]*engine
}

func (s *readStates) put(id string, e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder[id] = e
}

// take removes the state and reports whether there was one.
func (s *readStates) take(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.holder[id]
	delete(s.holder, id)
	return ok
}

// receiveBuffer is the size asked for the receive buffers of an engine that may hang, in bytes; the system doubles it to
// about its usual default.
const receiveBuffer = 64 << 10

// engine is a sound reader (flavor "prefill") or writer (flavor "decode").
type engine struct {
	member
	record    *record
	states    *readStates
	readTime  time.Duration                            // of a prompt
	firstTime time.Duration                            // from a writer's accept to its first token
	events    int                                      // of an answer
	gap       func(id string, event int) time.Duration // before an event, but the first
	arrived   func(id string)                          // called when a request's last byte has come; may be nil
	listen    func(net.Listener) net.Listener          // wraps the listener; may be nil
	localRead bool                                     // a writer reads a prompt by itself when there is no state to fetch
	begun     func(http.ResponseWriter, string) bool   // called when a writer begins a request; false = it ends there; may be nil
	declines  atomic.Bool                              // it drains: new work is turned away

	running atomic.Int64
	server  *http.Server
}

func (e *engine) start() error {
	address := "127.0.0.1:0"
	if e.HostPort != "" {
		address = e.HostPort
	}
	config := net.ListenConfig{}
	if e.listen != nil { // an engine that may hang: its receive buffers don't depend on the machine
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) //nolint:errcheck // the default serves too
			})
		}
	}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	e.HostPort, e.Phase, e.Size = l.Addr().String(), "Ready", 1
	if e.listen != nil {
		l = e.listen(l)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), IdleTimeout: 30 * time.Second}
	go e.server.Serve(l) //nolint:errcheck // it ends with stop
	return nil
}

// stop ends the engine as a process that dies: its connections are closed and new ones refused.
func (e *engine) stop() { e.server.Close() }

func decline(w http.ResponseWriter, status int) {
	w.Header().Set("Srv-Declined", "1")
	w.WriteHeader(status)
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Req-Id")
	if r.Method == http.MethodDelete {
		held := e.states.take(strings.TrimPrefix(r.URL.Path, "/state/"))
		e.record.printf("%s: release of %s (held: %t)", e.ID, strings.TrimPrefix(r.URL.Path, "/state/"), held)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if e.arrived != nil {
		e.arrived(id)
	}
	if e.declines.Load() {
		e.record.printf("%s: %s arrived, turned away", e.ID, id)
		decline(w, http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.Flavor == "prefill" {
		e.record.printf("%s: %s arrived to be read, %s ms left", e.ID, id, r.Header.Get("Req-Deadline-Ms"))
		if !wait(r, e.readTime) {
			return
		}
		e.states.put(id, e)
		w.WriteHeader(http.StatusAccepted)
		io.WriteString(w, `{"cached_tokens":0}`) //nolint:errcheck // the node may be gone
		return
	}
	e.record.printf("%s: %s arrived to be written, %s ms left", e.ID, id, r.Header.Get("Req-Deadline-Ms"))
	if !e.states.take(id) {
		if !e.localRead {
			e.record.printf("%s: %s has no state", e.ID, id)
			decline(w, http.StatusGone)
			return
		}
		e.record.printf("%s: %s has no state, its prompt is read here", e.ID, id)
		if !wait(r, e.readTime) {
			e.record.printf("%s: %s was given up by the node while its prompt was read", e.ID, id)
			return
		}
	}
	if e.begun != nil && !e.begun(w, id) || !wait(r, e.firstTime) {
		return
	}
	e.stream(w, r, id)
}

// stream writes an answer; it stops when nobody reads any more.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func(text string) bool {
		if _, err := io.WriteString(w, text); err != nil {
			return false
		}
		w.(http.Flusher).Flush()
		return r.Context().Err() == nil
	}
	for i := range e.events {
		if i > 0 && !wait(r, e.gap(id, i)) {
			e.record.printf("%s: %s was given up by the node after event %d of %d", e.ID, id, i, e.events)
			return
		}
		event := fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s.%d \"},\"finish_reason\":null}]}\n\n", id, i)
		if !flush(event) {
			e.record.printf("%s: %s was given up by the node at event %d of %d", e.ID, id, i, e.events)
			return
		}
	}
	flush(`data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":100,"prompt_tokens_details":{"cached_tokens":0}}}` +
		"\n\ndata: [DONE]\n\n")
	e.record.printf("%s: %s written to its end", e.ID, id)
}

// wait waits, and returns false if the node closes its connection meanwhile.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
