package engine

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"brackenbend/internal/audit"
	"brackenbend/internal/planner"
)

const (
	// maxBodyBytes bounds the body of a request; scenarios send far less.
	maxBodyBytes = 8 << 20
	// stateFetchPath is the path at which another fake engine fetches a read state. Real engines transfer read states
	// over a separate network.
	stateFetchPath = "/standin/take"
	// faultBody is the response body of a request that fails because of an injected fault.
	faultBody = `{"error":{"message":"engine fault","type":"server_error"}}`
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/brackenbend/release", s.serveRelease)
	mux.HandleFunc("POST "+stateFetchPath, s.serveStateFetch)
	mux.HandleFunc("GET "+planner.PathRole, s.serveRole)
	mux.HandleFunc("POST "+planner.PathRole, s.serveRole)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	return mux
}

// reject responds that a request was rejected before it ran. noState says that the reason is a missing read state: the
// one to fetch is gone, or the engine cannot prefill and the request names none.
func (s *Server) reject(w http.ResponseWriter, noState bool) {
	if !s.cfg.PlainVLLM {
		w.Header().Set("X-Brackenbend-Never-Ran", "1")
		if noState {
			w.Header().Set("X-Brackenbend-No-State", "1")
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	writeString(w, `{"error":{"message":"turned away","type":"server_error","param":null,"code":null}}`)
}

// writeString writes a part of a response. A failed write is not handled: the connection has closed then, which cancels
// the context of the request and is visible to the client.
func writeString(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// serveCompletion serves a prefill, a decode, or both in one request.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	replica, _ := strings.CutPrefix(r.UserAgent(), "brackenbend/")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // the connection closed before the whole request was received
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, `{"error":{"message":"malformed body","type":"invalid_request_error"}}`, http.StatusBadRequest)
		return
	}
	job := request.job(id)
	if s.rejectsRequests() {
		s.reject(w, false)
		return
	}
	s.record(audit.Event{
		Kind: audit.RequestArrived, Replica: replica, Request: id, Decode: !job.PrefillOnly, Attempt: request.Metadata["try"],
	})
	defer s.record(audit.Event{Kind: audit.RequestEnded, Request: id})
	s.mu.Lock()
	faults, params := s.faults, s.roleParams()
	s.arrivals++
	s.mu.Unlock()
	switch {
	case faults.Stall:
		<-r.Context().Done()
	case faults.FailClass != "" && faults.FailClass == request.Metadata["class"] || rand.Float64() < faults.FailFast:
		http.Error(w, faultBody, http.StatusInternalServerError)
	case rand.Float64() < faults.ResetAfterRequest:
		resetRequest(w)
	case job.PrefillOnly && !params.CanPrefill || !job.PrefillOnly && !params.CanDecode ||
		job.FetchTokens == 0 && !job.PrefillOnly && !params.CanPrefill:
		s.reject(w, job.FetchTokens == 0 && !job.PrefillOnly && params.CanDecode)
	default:
		newCompletion(s, job, &request, faults, w, r).serve()
	}
}

// serveStateFetch removes a read state for the decode engine that fetches it.
func (s *Server) serveStateFetch(w http.ResponseWriter, r *http.Request) {
	if hook := s.currentHooks().beforeStateFetch; hook != nil {
		hook()
	}
	var request stateFetchRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || !s.removeState(request.ID) {
		http.Error(w, "no such state", http.StatusNotFound)
	}
}

// serveRelease releases a read state that no decode will fetch. The request is part of the extension.
func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"request_id"`
	}
	if s.cfg.PlainVLLM || json.NewDecoder(r.Body).Decode(&request) != nil || !s.releaseState(request.ID) {
		http.Error(w, `{"error":{"message":"nothing is held","type":"invalid_request_error"}}`, http.StatusNotFound)
	}
}
