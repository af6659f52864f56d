package engine

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"brackenbend/internal/audit"
)

// readStates is what the server knows of read states beside the model, which holds them.
type readStates struct {
	held     map[string]bool      // recorded as held
	released map[string]time.Time // prefills whose state was released, though they may still run or even arrive
}

// isReleased reports whether the state of a prefill was released before the prefill ended.
func (r *readStates) isReleased(id string) bool {
	_, ok := r.released[id]
	return ok
}

// markReleased remembers a release, and forgets those older than ttl.
func (r *readStates) markReleased(id string, now time.Time, ttl time.Duration) {
	for other, at := range r.released {
		if now.Sub(at) > ttl {
			delete(r.released, other)
		}
	}
	r.released[id] = now
}

// holdState records that a prefill has left its state; one that was released meanwhile is dropped at once. s.mu is
// held, and the caller calls schedule, which records that a dropped state is gone.
func (s *Server) holdState(id string) {
	s.states.held[id] = true
	s.record(audit.Event{Kind: audit.StateHeld, Request: id})
	if s.states.isReleased(id) {
		s.model.DropReadState(id)
	}
}

// recordReleased records that a state is gone. s.mu is held.
func (s *Server) recordReleased(id string) {
	delete(s.states.held, id)
	s.record(audit.Event{Kind: audit.StateReleased, Request: id})
}

// removeState ends the holding of a state; false: there is none.
func (s *Server) removeState(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.model.TakeReadState(s.now(), id)
	s.schedule()
	return ok
}

// releaseState drops a state, now or, where its prefill still runs, when that ends.
func (s *Server) releaseState(id string) bool {
	s.mu.Lock()
	s.states.markReleased(id, time.Now(), s.cfg.Params.StateTTL)
	s.mu.Unlock()
	return s.removeState(id)
}

// stateFetch is the request for a read state from one fake to another.
type stateFetch struct {
	ID string `json:"id"`
}

// fetchState takes a read state from the prefill engine that holds it; false: it is not there any more.
func (s *Server) fetchState(from *kvTransfer) bool {
	body, err := json.Marshal(stateFetch{ID: from.Request})
	if err != nil {
		return false
	}
	url := "http://" + net.JoinHostPort(from.Host, strconv.Itoa(from.Port)) + stateFetchPath
	resp, err := s.peers.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}
