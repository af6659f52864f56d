package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"brackenbend/internal/fake/enginemodel"
	"brackenbend/internal/planner"
	"brackenbend/roles"
)

// params are those of the role in force. s.mu is held.
func (s *Server) params() enginemodel.Params {
	if p, ok := s.cfg.Roles[s.seat.Role]; ok {
		return p
	}
	return s.cfg.Params
}

// leaving tells that the engine takes no new work, since it is on its way to another role.
func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned()
}

// turned tells the same. s.mu is held.
func (s *Server) turned() bool { return !s.seat.Serves(s.seat.Role) || s.switching && !s.adds() }

// adds tells that the engine is only to take on a stage more. s.mu is held.
func (s *Server) adds() bool { return s.seat.Target == roles.Both && s.seat.Role != roles.Both }

// emptied begins the switch once nothing is left of the old role. s.mu is held.
func (s *Server) emptied() {
	busy := s.m.Working() > 0 || s.m.States() > 0
	if s.switching || s.seat.StatusReport().Serving || busy && !s.adds() || !s.up {
		return
	}
	s.switching = true
	uid, added := s.uid, s.adds()
	time.AfterFunc(s.cfg.SwitchTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.uid != uid || !s.up { // it crashed meanwhile, and came back in its new role
			return
		}
		if added != s.adds() { // another order came meanwhile
			s.switching = false
			s.emptied()
			return
		}
		was := s.params()
		s.seat, s.switching = s.seat.FinishDraining(), false
		if added {
			s.m.Become(s.now(), s.params())
			s.plan()
			return
		}
		p := s.params()
		if s.liar {
			p = was
		}
		w := s.m.Work()
		s.m = enginemodel.New(p, s.now(), true)
		s.m.Resume(w)
		s.started = time.Now()
		s.plan()
	})
}

// MisreportLoad lets the engine say that it changed when it did not.
func (s *Server) MisreportLoad(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liar = on
}

// EngineState is the engine's part in a change of role.
func (s *Server) EngineState() roles.EngineState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seat
}

// role answers a planner: it takes an order where one comes, and tells how the engine stands.
func (s *Server) role(w http.ResponseWriter, r *http.Request) {
	var t roles.Command
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&t); err != nil || t.Target > roles.Both {
			http.Error(w, `{"error":{"message":"an order is {\"id\":...,\"order\":...,\"to\":...}","type":"invalid_request_error"}}`, http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	if _, can := s.cfg.Roles[t.Target]; r.Method == http.MethodPost && can && t.ID == s.cfg.Name {
		s.seat = s.seat.Accept(t)
	}
	s.m.Advance(s.now())
	s.plan()
	k := s.m.Work()
	reply := planner.Status{
		StatusReport: s.seat.StatusReport(), Outstanding: s.m.Working() + s.m.States(),
		Read:  planner.Stage{Done: k.ReadDone, Waiting: k.ReadWaiting, Lost: k.ReadLost, Count: k.Reads},
		Write: planner.Stage{Done: k.WriteDone, Waiting: k.WriteWaiting, Lost: k.WriteLost, Count: k.Writes},
	}
	reply.Serving = reply.Serving && !s.switching
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}
