package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// maxCommandBytes bounds the body of a planner's command, which has three short fields.
const maxCommandBytes = 4096

// roleChange is the state of the engine's role and of its change to another.
type roleChange struct {
	state          roles.EngineState // as if stored on disk: survives crashes
	switching      bool              // the switch to the target role has begun, and SwitchTime is passing
	misreportsRole bool              // fault: the engine reports a change that it has not made
}

// finishOnRestart completes a change of role when the process starts, since a crash has drained the engine.
func (c *roleChange) finishOnRestart() { c.state, c.switching = c.state.FinishDraining(), false }

// addsStage reports whether the change only adds a stage to the one that the engine serves.
func (c *roleChange) addsStage() bool {
	return c.state.Target == roles.Both && c.state.Role != roles.Both
}

// rejectsRequests reports whether the engine rejects new requests because it is changing to another role.
func (c *roleChange) rejectsRequests() bool {
	return !c.state.Serves(c.state.Role) || c.switching && !c.addsStage()
}

// roleParams returns the parameters of the current role. s.mu is held.
func (s *Server) roleParams() enginemodel.Params {
	if params, ok := s.cfg.Roles[s.role.state.Role]; ok {
		return params
	}
	return s.cfg.Params
}

// rejectsRequests reports whether the engine rejects new requests because it is changing to another role.
func (s *Server) rejectsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejectsRequestsLocked()
}

// rejectsRequestsLocked is rejectsRequests with s.mu held.
func (s *Server) rejectsRequestsLocked() bool { return s.role.rejectsRequests() }

// switchIfDrained begins the switch to the target role once no work of the old role is left. A change that only adds a
// stage does not wait for that. s.mu is held.
func (s *Server) switchIfDrained() {
	busy := s.model.InFlight() > 0 || s.model.ReadStateCount() > 0
	addsStage := s.role.addsStage()
	if s.role.switching || s.role.state.StatusReport().Serving || busy && !addsStage || !s.process.up {
		return
	}
	s.role.switching = true
	generation := s.process.generation
	time.AfterFunc(s.cfg.SwitchTime, func() { s.finishSwitch(generation, addsStage) })
}

// finishSwitch puts the engine into its target role, unless it has crashed meanwhile. If a later command has changed
// whether the switch only adds a stage, it starts over or ends without a change of role.
func (s *Server) finishSwitch(generation int, addsStage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process.generation != generation || !s.process.up { // it crashed; its next process starts in the new role
		return
	}
	if addsStage != s.role.addsStage() { // because of a later command
		s.role.switching = false
		s.switchIfDrained()
		return
	}
	previousParams := s.roleParams()
	s.role.state, s.role.switching = s.role.state.FinishDraining(), false
	params := s.roleParams()
	if addsStage {
		s.model.SetParams(s.now(), params)
		s.onModelChange()
		return
	}
	if s.role.misreportsRole {
		params = previousParams
	}
	work := s.model.Work()
	s.model = enginemodel.New(params, s.now(), true)
	s.model.RestoreWork(work)
	s.process.slowStartedAt = time.Now()
	s.onModelChange()
}

// MisreportRole makes the engine report changes of role that it has not made. A change that only adds a stage is made
// nevertheless.
func (s *Server) MisreportRole(enabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.role.misreportsRole = enabled
}

// EngineState returns the state of the engine's role.
func (s *Server) EngineState() roles.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role.state
}

// serveRole serves a planner: it accepts the command of a POST request, and responds with the engine's status.
func (s *Server) serveRole(w http.ResponseWriter, r *http.Request) {
	var command *roles.Command
	if r.Method == http.MethodPost {
		command = &roles.Command{}
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCommandBytes)).Decode(command)
		if err != nil || command.Target > roles.Both {
			http.Error(w,
				`{"error":{"message":"an order is {\"id\":...,\"order\":...,\"to\":...}","type":"invalid_request_error"}}`,
				http.StatusBadRequest)
			return
		}
	}
	status := s.statusAfter(command)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(status) // fails only if the connection has closed
}

// statusAfter accepts a command that is addressed to this engine and names a role that it can have, and returns the
// status that the engine then reports to planners. command may be nil.
func (s *Server) statusAfter(command *roles.Command) planner.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if command != nil && command.ID == s.cfg.Name {
		if _, ok := s.cfg.Roles[command.Target]; ok {
			s.role.state = s.role.state.Accept(*command)
		}
	}
	s.model.Advance(s.now())
	s.onModelChange()
	work := s.model.Work()
	status := planner.Status{
		StatusReport: s.role.state.StatusReport(),
		Outstanding:  s.model.InFlight() + s.model.ReadStateCount(),
		Prefill: planner.StageLoad{
			Done: work.PrefillDone, Waiting: work.PrefillWaiting, Lost: work.PrefillLost, Count: work.Prefills,
		},
		Decode: planner.StageLoad{
			Done: work.DecodeDone, Waiting: work.DecodeWaiting, Lost: work.DecodeLost, Count: work.Decodes,
		},
	}
	status.Serving = status.Serving && !s.role.switching
	return status
}
