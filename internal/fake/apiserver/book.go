package apiserver

import (
	"brackenbend/internal/atomicfile"
	"brackenbend/internal/planner"
	"brackenbend/roles"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// ManageRole makes an engine one whose role may change: the book has an entry for it from now on, and the list follows the
// book. kinds names the kind that it is listed as in each role.
func (s *Server) ManageRole(name string, role roles.Role, kinds map[roles.Role]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Entries == nil {
		s.book.Entries = map[string]roles.Assignment{}
	}
	s.kinds = kinds
	if _, known := s.book.Entries[name]; !known {
		s.book.Entries[name] = roles.Assignment{Role: role, Target: role, Serving: true, CanPrefill: true, CanDecode: true}
	}
}

// PersistAssignments reads the book from a file, where there is one, and keeps it there from now on.
func (s *Server) PersistAssignments(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bookFile = path
	if text, err := os.ReadFile(path + ".memory"); err == nil && json.Valid(text) { // a planner can do without
		s.memory = text
	}
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var b roles.Assignments
	if err := json.Unmarshal(text, &b); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.book = b
	return nil
}

// Assignments is the book as it stands.
func (s *Server) Assignments() roles.Assignments {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book
}

// bent gives an entry as the book wants it listed. s.mu is held.
func (s *Server) bent(e Entry) Entry {
	b, ok := s.book.Entries[e.Name]
	if !ok {
		return e
	}
	e.Kind = s.kinds[b.Role]
	if !b.Serving {
		e.Draining = true
	}
	if at := time.Unix(0, int64(b.ReopenedAt)); b.ReopenedAt > 0 && at.After(e.Started) {
		e.Started = at
	}
	return e
}

// keep writes the book so that a crash at any moment leaves the old or the new one.
func keep(path string, b roles.Assignments) error {
	if path == "" {
		return nil
	}
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return atomicfile.Replace(path, text)
}

// away answers for a register that is cut off. s.mu is held.
func (s *Server) away(w http.ResponseWriter) bool {
	if s.cut {
		status(w, http.StatusServiceUnavailable, "ServiceUnavailable", "cut off")
	}
	return s.cut
}

// maxMemory bounds what planners leave.
const maxMemory = 4 << 20

// serveMemory keeps what planners learned, as it came; the newest stands.
func (s *Server) serveMemory(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away(w) {
		return
	}
	if r.Method == http.MethodPut {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMemory))
		if err != nil || !json.Valid(text) {
			status(w, http.StatusBadRequest, "BadRequest", "the body is no JSON, or too long")
			return
		}
		s.memory = text
		if s.bookFile != "" {
			if err := atomicfile.Replace(s.bookFile+".memory", text); err != nil {
				status(w, http.StatusInternalServerError, "InternalError", err.Error())
				return
			}
		}
		fmt.Fprintln(w, "{}")
		return
	}
	if s.memory == nil {
		status(w, http.StatusNotFound, "NotFound", "no planner left anything")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.memory)
}

func (s *Server) serveBook(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away(w) {
		return
	}
	if r.Method == http.MethodPut {
		var b roles.Assignments
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 16<<20)).Decode(&b); err != nil {
			status(w, http.StatusBadRequest, "BadRequest", "the body is no book: "+err.Error())
			return
		}
		held, err := s.book.Write(b)
		if err != nil {
			status(w, http.StatusConflict, "Conflict", err.Error())
			return
		}
		if err := keep(s.bookFile, held); err != nil {
			status(w, http.StatusInternalServerError, "InternalError", err.Error())
			return
		}
		was := s.book
		s.book = held
		for name, e := range held.Entries {
			if listed, ok := s.entries[name]; ok && was.Entries[name] != e {
				s.change("MODIFIED", listed)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(held)
		return
	}
	v := planner.View{Assignments: s.book, Listings: map[string]planner.Listing{}}
	for name := range s.book.Entries {
		if e, ok := s.entries[name]; ok {
			v.Listings[name] = planner.Listing{Address: e.Address, Place: e.Zone + "/" + e.Cell, Up: e.usable()}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
