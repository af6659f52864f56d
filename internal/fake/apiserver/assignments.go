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
	// maxMemoryBytes bounds the memory that a planner saves, which is well below 1 MiB without cooldowns.
	maxMemoryBytes = 4 << 20
	// maxAssignmentsBytes bounds an assignment table: one of 10,000 engines is below 4 MiB.
	maxAssignmentsBytes = 16 << 20
)

// roleTable is the state of the server that concerns engine roles.
type roleTable struct {
	assignments roles.Assignments
	kinds       map[roles.Role]string // the kind in which engines are listed, by role
	file        string                // "" = kept in memory only
	memory      []byte                // JSON that a planner saved; nil = none
}

func (t *roleTable) memoryFile() string { return t.file + ".memory" }

// load reads the table and a planner's memory from their files, if they exist.
func (t *roleTable) load() error {
	if text, err := os.ReadFile(t.memoryFile()); err == nil && json.Valid(text) { // a planner works without it
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

// saveAssignments replaces the table in the file atomically: a crash leaves either the old or the new one.
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

// ManageRole adds an engine to the assignment table, unless the table has it already. From then on its role may change,
// and it is listed as the table says. kinds has the kind in which engines of each role are listed.
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

// PersistAssignments reads the assignment table from file and a planner's memory from a file beside it, if they exist.
// What is received later is saved there.
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

// applyAssignment returns the entry as it is listed: with the kind, the draining state and the start time that its
// assignment implies. s.mu is held.
func (s *Server) applyAssignment(e Entry) Entry {
	assignment, ok := s.roles.assignments.Entries[e.Name]
	if !ok {
		return e
	}
	e.Kind = s.roles.kinds[assignment.Role]
	if !assignment.Serving {
		e.Draining = true
	}
	servingSince := time.Unix(0, int64(assignment.ServingSince))
	if assignment.ServingSince > 0 && servingSince.After(e.Started) {
		e.Started = servingSince
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
		_, _ = w.Write(s.roles.memory) // a client that has disconnected does not matter
	}
}

// putMemory stores a planner's memory unchanged; the last write wins.
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
	_, _ = fmt.Fprintln(w, "{}") // a client that has disconnected does not matter
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

// putAssignments replaces the assignment table, if the received one is based on the stored version.
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
	for name, assignment := range stored.Entries {
		if entry, ok := s.entries[name]; ok && previous.Entries[name] != assignment {
			s.publish(eventModified, entry)
		}
	}
	writeJSON(w, stored)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // a client that has disconnected does not matter
}
