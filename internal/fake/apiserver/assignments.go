package apiserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"brackenbend/internal/atomicfile"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

const (
	// maxMemoryBytes bounds a planner's memory, which is well below 1 MiB without cooldowns.
	maxMemoryBytes = 4 << 20
	// maxAssignmentsBytes bounds an assignment table: one of 10,000 engines is below 4 MiB.
	maxAssignmentsBytes = 16 << 20
)

// roleTable is what the server keeps of engine roles.
type roleTable struct {
	assignments roles.Assignments
	kinds       map[roles.Role]string // what engines are listed as, by role
	file        string                // "" = kept in memory only
	memory      []byte                // what a planner saved, as JSON; nil = nothing
}

func (t *roleTable) memoryFile() string { return t.file + ".memory" }

// load reads the table and a planner's memory from the file, where there is one.
func (t *roleTable) load() error {
	if text, err := os.ReadFile(t.memoryFile()); err == nil && json.Valid(text) { // a planner can do without
		t.memory = text
	}
	text, err := os.ReadFile(t.file)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	var assignments roles.Assignments
	if err := json.Unmarshal(text, &assignments); err != nil {
		return fmt.Errorf("%s: %w", t.file, err)
	}
	t.assignments = assignments
	return nil
}

// saveAssignments writes a table to the file so that a crash at any moment leaves the old or the new one.
func (t *roleTable) saveAssignments(assignments roles.Assignments) error {
	if t.file == "" {
		return nil
	}
	text, err := json.Marshal(assignments)
	if err != nil {
		return err
	}
	return atomicfile.Replace(t.file, text)
}

func (t *roleTable) saveMemory() error {
	if t.file == "" {
		return nil
	}
	return atomicfile.Replace(t.memoryFile(), t.memory)
}

// ManageRole adds an engine to the assignment table, unless it is there: its role may change from now on, and it is
// listed as the table says. kinds names the kind that it is listed as in each role.
func (s *Server) ManageRole(name string, role roles.Role, kinds map[roles.Role]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.roles.assignments.Entries == nil {
		s.roles.assignments.Entries = map[string]roles.Assignment{}
	}
	s.roles.kinds = kinds
	if _, known := s.roles.assignments.Entries[name]; !known {
		s.roles.assignments.Entries[name] = roles.Assignment{
			Role: role, Target: role, Serving: true, CanPrefill: true, CanDecode: true,
		}
	}
}

// PersistAssignments reads the assignment table from a file, if it exists, and keeps the table there from now on.
func (s *Server) PersistAssignments(file string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roles.file = file
	return s.roles.load()
}

// Assignments returns the assignment table.
func (s *Server) Assignments() roles.Assignments {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roles.assignments
}

// listed is an entry as the assignment table wants it listed. s.mu is held.
func (s *Server) listed(e Entry) Entry {
	assignment, ok := s.roles.assignments.Entries[e.Name]
	if !ok {
		return e
	}
	e.Kind = s.roles.kinds[assignment.Role]
	if !assignment.Serving {
		e.Draining = true
	}
	reopenedAt := time.Unix(0, int64(assignment.ServingSince))
	if assignment.ServingSince > 0 && reopenedAt.After(e.Started) {
		e.Started = reopenedAt
	}
	return e
}

func (s *Server) getMemory(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.unreachable:
		writeUnavailable(w)
	case s.roles.memory == nil:
		writeStatus(w, http.StatusNotFound, "NotFound", "no planner left anything")
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(s.roles.memory) // a client that is gone does not matter
	}
}

// putMemory keeps a planner's memory as it is received; the last write wins.
func (s *Server) putMemory(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		writeUnavailable(w)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMemoryBytes))
	if err != nil || !json.Valid(text) {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "the body is no JSON, or too long")
		return
	}
	s.roles.memory = text
	if err := s.roles.saveMemory(); err != nil {
		writeStatus(w, http.StatusInternalServerError, "InternalError", err.Error())
		return
	}
	_, _ = fmt.Fprintln(w, "{}") // a client that is gone does not matter
}

func (s *Server) getAssignments(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		writeUnavailable(w)
		return
	}
	view := planner.View{Assignments: s.roles.assignments, Listings: map[string]planner.Listing{}}
	for name := range s.roles.assignments.Entries {
		if e, ok := s.entries[name]; ok {
			view.Listings[name] = planner.Listing{Address: e.Address, Locality: e.Zone + "/" + e.Cell, Up: e.usable()}
		}
	}
	writeJSON(w, view)
}

// putAssignments writes the assignment table, if it was made from the version that is stored.
func (s *Server) putAssignments(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		writeUnavailable(w)
		return
	}
	var received roles.Assignments
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAssignmentsBytes)).Decode(&received); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "the body is no book: "+err.Error())
		return
	}
	previous := s.roles.assignments
	stored, err := previous.Write(received)
	if err != nil {
		writeStatus(w, http.StatusConflict, "Conflict", err.Error())
		return
	}
	if err := s.roles.saveAssignments(stored); err != nil {
		writeStatus(w, http.StatusInternalServerError, "InternalError", err.Error())
		return
	}
	s.roles.assignments = stored
	for name, e := range stored.Entries {
		if entry, ok := s.entries[name]; ok && previous.Entries[name] != e {
			s.publish(modified, entry)
		}
	}
	writeJSON(w, stored)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that is gone does not matter
}
