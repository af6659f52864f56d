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
	// maxBody bounds the body of a request; scenarios send far less.
	maxBody = 8 << 20
	// stateFetchPath is where another fake fetches a read state. Real engines do it over a network of their own.
	stateFetchPath = "/standin/take"
	// engineFault is the answer of a request that fails by a fault.
	engineFault = `{"error":{"message":"engine fault","type":"server_error"}}`
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/brackenbend/release", s.serveRelease)
	mux.HandleFunc("POST "+stateFetchPath, s.serveStateFetch)
	mux.HandleFunc("GET "+planner.Path, s.serveRole)
	mux.HandleFunc("POST "+planner.Path, s.serveRole)
	mux.HandleFunc("POST /standin/faults", s.serveFaults)
	return mux
}

// reject answers that a request was rejected before it ran; noState says that the read state which it was to fetch is
// not there.
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

// writeString writes a part of an answer. A failed write is not handled: the connection is gone, which ends the
// request's context and is seen at the other end.
func writeString(w io.Writer, text string) { _, _ = io.WriteString(w, text) }

// serveCompletion serves a prefill, a decode, or both in one.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	replica, _ := strings.CutPrefix(r.UserAgent(), "brackenbend/")
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return // the connection ended before the request was whole
	}
	var request completionRequest
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, `{"error":{"message":"malformed body","type":"invalid_request_error"}}`, http.StatusBadRequest)
		return
	}
	job := request.job(id)
	if s.rejectsNew() {
		s.reject(w, false)
		return
	}
	s.record(audit.Event{
		Kind: audit.Arrived, Replica: replica, Request: id, Decode: !job.PrefillOnly, Attempt: request.Metadata["try"],
	})
	defer s.record(audit.Event{Kind: audit.Ended, Request: id})
	s.mu.Lock()
	faults, params := s.faults, s.params()
	s.arrivals++
	s.mu.Unlock()
	switch {
	case faults.Stall:
		<-r.Context().Done()
	case faults.FailClass != "" && faults.FailClass == request.Metadata["class"] || rand.Float64() < faults.FailFast:
		http.Error(w, engineFault, http.StatusInternalServerError)
	case rand.Float64() < faults.ResetAfterRequest:
		resetConnection(w)
	case job.PrefillOnly && !params.CanPrefill || !job.PrefillOnly && !params.CanDecode ||
		job.FetchTokens == 0 && !job.PrefillOnly && !params.CanPrefill:
		s.reject(w, job.FetchTokens == 0 && !job.PrefillOnly && params.CanDecode)
	default:
		newCompletion(s, job, &request, faults, w, r).serve()
	}
}

// serveStateFetch hands a read state over to the decode engine that asks for it.
func (s *Server) serveStateFetch(w http.ResponseWriter, r *http.Request) {
	if hook := s.currentHooks().beforeStateFetch; hook != nil {
		hook()
	}
	var request stateFetch
	if json.NewDecoder(r.Body).Decode(&request) != nil || !s.removeState(request.ID) {
		http.Error(w, "no such state", http.StatusNotFound)
	}
}

// serveRelease drops a read state that nobody will fetch: a request of the extension.
func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"request_id"`
	}
	if s.cfg.PlainVLLM || json.NewDecoder(r.Body).Decode(&request) != nil || !s.releaseState(request.ID) {
		http.Error(w, `{"error":{"message":"nothing is held","type":"invalid_request_error"}}`, http.StatusNotFound)
	}
}
