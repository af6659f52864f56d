package routing

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Health: one notion for errors, broken connections, stalls and slowness.

func (r *Router) list(l EndpointList) {
	if l.Scope == ListFailed {
		r.askAt = r.now + time.Second
		return
	}
	if l.Scope != ListChanges {
		for _, s := range r.servers {
			s.listed, s.State = false, EndpointGone
		}
	}
	for _, e := range l.Endpoints {
		r.line(e)
	}
	r.forget()
	r.count()
	r.judgeAt = 0
	r.reshape()
}

// line takes one entry. A later start means a new process: empty, cold, and of unknown health.
func (r *Router) line(e Endpoint) {
	s := r.byID[e.ID]
	switch {
	case e.Kind < 0 || e.Kind >= len(r.set.Kinds), s == nil && e.State == EndpointGone:
		return
	case s == nil:
		s = &server{Endpoint: e, kept: map[uint64]float64{}, seen: r.now, learnt: r.now, pace1: r.readPace}
		s.fails, s.turns = make([]float64, len(r.set.Classes)), make([]float64, len(r.set.Classes))
		r.byID[e.ID] = s
		r.servers = append(r.servers, s)
	}
	if e.StartedAt > s.StartedAt {
		s.kept = map[uint64]float64{}
		s.bad, s.fail, s.count, s.slow, s.pause, s.seen, s.learnt = false, 0, 0, 0, 0, r.now, r.now
		clear(s.fails)
		clear(s.turns)
	}
	s.Endpoint, s.role, s.listed, s.goneAt = e, r.set.Kinds[e.Kind].Role, e.State == EndpointReady, 0
}

// present is the part of its capacity that s is taken to have: it grows evenly while s is cold.
func (r *Router) present(s *server) float64 {
	if !r.cold(s) {
		return 1
	}
	return r.set.SlowStartFrom + (1-r.set.SlowStartFrom)*float64(max(r.now-s.StartedAt, 0))/float64(r.set.SlowStartFor)
}

func (r *Router) cold(s *server) bool {
	return r.set.SlowStartFor > 0 && s.StartedAt > 0 && r.now-s.StartedAt < r.set.SlowStartFor
}

// judge puts servers aside that do far worse than the peers of their role: they fail more or say
// nothing. So it answers crashed, failing, stalled and cut-off servers alike. When most are as bad none is
// blamed.
func (r *Router) judge() {
	r.judgeAt = r.now + judgeEvery
	for _, s := range r.servers {
		r.age(s)
	}
	r.count()
	for _, s := range r.servers {
		if s.bad || !s.listed {
			continue
		}
		f := &r.roles[s.role]
		aside := int(f.listed - f.well + 1)
		switch {
		case s.fail > failBad+f.fails[(len(f.fails)-1)/2]:
			r.aside(s, "failing")
		case r.silent(s) && 2*(f.quiet-1) < int(f.listed)-aside:
			r.aside(s, "silent")
		}
	}
}

// silence is for how long s, or an attempt there, may say nothing: much longer than the usual time. Attempts
// of an unsafe class have no time-out, so without it a stall would show at their deadlines only.
func (r *Router) silence(s *server) time.Duration {
	usual := s.unread * r.readPace
	if s.role != RolePrefill {
		usual += r.firstTime
	}
	return silentLeast + seconds(silentFor*usual)
}

func (r *Router) aside(s *server, why string) {
	if !s.bad {
		r.roles[s.role].well--
	}
	s.bad = true
	r.reshape()
	gap := time.Duration(0) // between own sends to a server
	if rate := r.roles[s.role].rate; rate > 0.01 {
		gap = seconds(1 / rate)
	}
	s.pause = min(max(2*s.pause, backFirst, gap), backMost)
	s.back = r.now + s.pause
	r.emit(Log{fmt.Sprintf("%s %d put aside: %s (failing %.2f)", roleNames[s.role], s.ID, why, s.fail)})
}

// learn takes one outcome into the health of its server, for the class of q in full and for others by half: a
// server may fail one class only. A failed or broken connection speaks for all, and louder: the process is
// likely gone. News after a long silence weighs more: a front of many sees a server twice a minute.
func (r *Router) learn(s *server, q *request, failed bool, gain float64, usual bool) {
	r.turned(s, q, false)
	gone := gain > failGain
	gain = max(gain, 1-math.Exp(-(r.now-s.learnt).Seconds()/sparse.Seconds()))
	s.learnt = r.now
	for i := range s.fails {
		g := gain
		if i != q.Class && !gone {
			g /= 2
		}
		was := s.fails[i] > failBad
		if s.fails[i] += g * (b2f(failed) - s.fails[i]); was != (s.fails[i] > failBad) {
			r.reshape()
		}
	}
	s.fail = slices.Min(s.fails)
	switch {
	case failed && s.bad && r.now >= s.back:
		r.aside(s, "trial failed")
	case failed:
		r.judgeAt = r.now
	case s.bad && usual:
		s.bad, s.pause, r.judgeAt = false, s.pause/2, r.now
		r.reshape()
		s.fail = min(s.fail, onTrust)
		r.emit(Log{fmt.Sprintf("%s %d is back", roleNames[s.role], s.ID)})
	}
}

// turned books whether s turned an attempt of q away. It guards against servers that turn one class away:
// a pause for all is too short and too wide there, and each request of that class would be turned away by one
// after another until none is left to ask. Where all are full, all are alike and nobody is asked last.
func (r *Router) turned(s *server, q *request, away bool) {
	was := s.turns[q.Class] > failBad
	if s.turns[q.Class] += failGain * (b2f(away) - s.turns[q.Class]); was != (s.turns[q.Class] > failBad) {
		r.reshape()
	}
}

// shunned tells that s has failed, turned away or swallowed the class of q, or that its first tokens are
// slow: it comes last.
func (s *server) shunned(q *request) bool {
	slow := s.role == RoleDecode && s.slow > slowWriter
	return !s.bad && (s.fails[q.Class] > failBad || s.turns[q.Class] > failBad || slow || s.muteTo(q.Class))
}

// paced learns how long a waiting prompt token takes at s, and over all readers.
func (r *Router) paced(a *attempt, took time.Duration) {
	v := took.Seconds() / max(a.ahead, 200)
	a.s.pace1 += 0.1 * (v - a.s.pace1)
	a.s.slow += slowGain * (v/r.readPace - a.s.slow)
	if a.s.role == RolePrefill {
		r.readPace += 0.05 * (v - r.readPace)
	}
}

func (r *Router) readDone(q *request, a *attempt, ev Outcome) {
	s, sec := a.s, ev.Elapsed.Seconds()
	r.paced(a, ev.Elapsed)
	fresh := max(q.PromptTokens-ev.CachedTokens, 0) + 200
	r.newTokens[q.Class] += 0.05 * (fresh - r.newTokens[q.Class])
	s.count++
	if len(s.kept) > keptMax {
		s.kept = map[uint64]float64{}
	}
	s.kept[q.Prefix], s.kept[q.Session] = q.PrefixTokens, q.PromptTokens
	delete(s.kept, 0)
	r.learn(s, q, false, failGain, sec < patience*a.ahead*r.readPace+0.5)
}
