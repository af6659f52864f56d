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

// readStates is what the server records about read states; the model holds the states themselves.
type readStates struct {
	heldIDs    map[string]bool      // recorded as held
	releasedAt map[string]time.Time // by prefill, when its state was released; the prefill may still run or arrive later
}

// isReleased reports whether a release of the prefill's state has arrived.
func (r *readStates) isReleased(id string) bool {
	_, ok := r.releasedAt[id]
	return ok
}

// markReleased records a release and removes those older than ttl.
func (r *readStates) markReleased(id string, now time.Time, ttl time.Duration) {
	for releasedID, at := range r.releasedAt {
		if now.Sub(at) > ttl {
			delete(r.releasedAt, releasedID)
		}
	}
	r.releasedAt[id] = now
}

// recordHeld records that the model holds the read state of a finished prefill. A state whose release arrived earlier
// is dropped at once. s.mu is held, and the caller calls onModelChange, which records the dropped state as released.
func (s *Server) recordHeld(id string) {
	s.states.heldIDs[id] = true
	s.record(audit.Event{Kind: audit.StateHeld, Request: id})
	if s.states.isReleased(id) {
		s.model.DropReadState(id)
	}
}

// recordReleased records that the engine no longer holds a state. s.mu is held.
func (s *Server) recordReleased(id string) {
	delete(s.states.heldIDs, id)
	s.record(audit.Event{Kind: audit.StateReleased, Request: id})
}

// removeState removes a read state from the model and reports whether there was one.
func (s *Server) removeState(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.model.TakeReadState(s.now(), id)
	s.onModelChange()
	return ok
}

// releaseState drops a read state now, or when its prefill ends. It reports whether there was one now.
func (s *Server) releaseState(id string) bool {
	s.mu.Lock()
	s.states.markReleased(id, time.Now(), s.cfg.Params.StateTTL)
	s.mu.Unlock()
	return s.removeState(id)
}

// stateFetchRequest is the body of a fetch of a read state by another fake engine.
type stateFetchRequest struct {
	ID string `json:"id"`
}

// fetchState fetches a read state from its prefill engine and reports whether that still held it.
func (s *Server) fetchState(from *kvTransfer) bool {
	body, err := json.Marshal(stateFetchRequest{ID: from.RequestID})
	if err != nil {
		return false
	}
	url := "http://" + net.JoinHostPort(from.Host, strconv.Itoa(from.Port)) + stateFetchPath
	resp, err := s.peerClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status matters
	return resp.StatusCode == http.StatusOK
}
