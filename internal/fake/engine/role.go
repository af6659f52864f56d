package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// maxCommandBody bounds the body of a planner's command, which has three short fields.
const maxCommandBody = 4096

// roleChange is the engine's part in a change of role.
type roleChange struct {
	state      roles.EngineState // on its disk: outlives crashes
	switching  bool              // nothing of the old role is left, and SwitchTime runs
	misreports bool              // a fault: the engine reports a change that it has not made
}

// restart is what a crash does: the engine is drained and comes back in the role that it was to have.
func (c *roleChange) restart() { c.state, c.switching = c.state.FinishDraining(), false }

// addsStage reports that the change only adds a stage to the one that is served.
func (c *roleChange) addsStage() bool {
	return c.state.Target == roles.Both && c.state.Role != roles.Both
}

// rejectsNew reports that the engine accepts no new work, since it is on its way to another role.
func (c *roleChange) rejectsNew() bool {
	return !c.state.Serves(c.state.Role) || c.switching && !c.addsStage()
}

// params are those of the role in force. s.mu is held.
func (s *Server) params() enginemodel.Params {
	if params, ok := s.cfg.Roles[s.role.state.Role]; ok {
		return params
	}
	return s.cfg.Params
}

// rejectsNew reports that the engine accepts no new work, since it is on its way to another role.
func (s *Server) rejectsNew() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectsNewLocked()
}

// rejectsNewLocked is rejectsNew with s.mu held.
func (s *Server) rejectsNewLocked() bool { return s.role.rejectsNew() }

// switchIfDrained begins to switch once nothing is left of the old role. s.mu is held.
func (s *Server) switchIfDrained() {
	busy := s.model.InFlight() > 0 || s.model.ReadStateCount() > 0
	adds := s.role.addsStage()
	if s.role.switching || s.role.state.StatusReport().Serving || busy && !adds || !s.process.up {
		return
	}
	s.role.switching = true
	generation := s.process.generation
	time.AfterFunc(s.cfg.SwitchTime, func() { s.finishSwitch(generation, adds) })
}

// finishSwitch puts the engine into its new role, if neither a crash nor another command came meanwhile.
func (s *Server) finishSwitch(generation int, added bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process.generation != generation || !s.process.up { // it crashed, and came back in its new role
		return
	}
	if added != s.role.addsStage() { // another command came
		s.role.switching = false
		s.switchIfDrained()
		return
	}
	before := s.params()
	s.role.state, s.role.switching = s.role.state.FinishDraining(), false
	after := s.params()
	if added {
		s.model.SetParams(s.now(), after)
		s.schedule()
		return
	}
	if s.role.misreports {
		after = before
	}
	work := s.model.Work()
	s.model = enginemodel.New(after, s.now(), true)
	s.model.RestoreWork(work)
	s.process.started = time.Now()
	s.schedule()
}

// MisreportRole makes the engine report a change of role that it has not made.
func (s *Server) MisreportRole(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role.misreports = on
}

// EngineState is the engine's part in a change of role.
func (s *Server) EngineState() roles.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role.state
}

// serveRole answers a planner: it accepts a command where one comes, and returns the engine's status.
func (s *Server) serveRole(w http.ResponseWriter, r *http.Request) {
	var command *roles.Command
	if r.Method == http.MethodPost {
		command = &roles.Command{}
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBody)).Decode(command)
		if err != nil || command.Target > roles.Both {
			http.Error(w,
				`{"error":{"message":"an order is {\"id\":...,\"order\":...,\"to\":...}","type":"invalid_request_error"}}`,
				http.StatusBadRequest)
			return
		}
	}
	status := s.statusAfter(command)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only when the connection is gone
}

// statusAfter accepts a command that is meant for this engine and names a role that it can have, and returns what the
// engine then reports to planners. command is nil where none came.
func (s *Server) statusAfter(command *roles.Command) planner.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command != nil && command.ID == s.cfg.Name {
		if _, ok := s.cfg.Roles[command.Target]; ok {
			s.role.state = s.role.state.Accept(*command)
		}
	}
	s.model.Advance(s.now())
	s.schedule()
	work := s.model.Work()
	status := planner.Status{
		StatusReport: s.role.state.StatusReport(),
		Outstanding:  s.model.InFlight() + s.model.ReadStateCount(),
		Read: planner.Stage{
			Done: work.PrefillDone, Waiting: work.PrefillWaiting, Lost: work.PrefillLost, Count: work.Prefills,
		},
		Write: planner.Stage{
			Done: work.DecodeDone, Waiting: work.DecodeWaiting, Lost: work.DecodeLost, Count: work.Decodes,
		},
	}
	status.Serving = status.Serving && !s.role.switching
	return status
}
