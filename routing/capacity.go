package routing

import "math"

// Room: one notion for caps, cold budgets, trials and servers that turned work away.

// room tells whether s takes a further own attempt. A server put aside takes one trial at a time.
func (r *Router) room(s *server, q *request) bool {
	switch {
	case !r.usable(s, q) || r.now < s.full:
		return false
	case s.n == 0:
		return true
	case s.role == RolePrefill && s.n >= readCap:
		return false
	}
	waiting := s.unread
	if !q.starved && (s.role == RolePrefill || s.role == RoleMixed && q.reader == nil) {
		waiting += r.unread(q, s)
	}
	fits := s.role == RolePrefill || s.tokens+q.memoryNeed() <= r.memory(s)
	return fits && waiting*s.pace1 <= readBound.Seconds()
}

// usable tells whether anything may go to s at all. A server put aside takes one trial at a time, unless
// all of its role are: then the least bad serve.
func (r *Router) usable(s *server, q *request) bool {
	if !s.listed || !r.coldRoom(s, q) {
		return false
	}
	trial := s.n == 0 && r.now >= s.back && (s.role == RolePrefill || q.class.Idempotency == Idempotent)
	return !s.bad || trial || r.roles[s.role].well == 0
}

// memory is the part of a writer's memory that own streams may fill.
func (r *Router) memory(s *server) float64 {
	m := r.set.Kinds[s.Kind].Memory
	if m == 0 {
		return math.MaxInt64
	}
	return m * memoryShare / float64(r.set.Replicas) * r.present(s)
}

// coldRoom keeps a server that has just started within its budget, with no word between fronts: it may get
// the part of a warm peer's work that it can do. Where this front's part of that is a request or more in a
// window it counts them. Below one it sends one at most, for requests whose draw is under a chance that makes
// the mean right over all fronts (crowd: even parts of the work that come here, as it looks idle
// and others fail). The draw is the request's, or a role that restarted as a whole would fill up too.
func (r *Router) coldRoom(s *server, q *request) bool {
	if !r.cold(s) {
		return true
	}
	for len(s.sends) > 0 && r.now-s.sends[0] > r.set.OverloadAfter {
		s.sends = s.sends[1:]
	}
	f := &r.roles[s.role]
	part := min(coldMost, coldPart*r.set.OverloadFactor) * r.present(s)
	budget := part * f.rate * r.set.OverloadAfter.Seconds()
	crowd := float64(1+len(q.att)) - b2f(q.reader != nil)
	switch {
	case budget >= 1 || len(s.sends) > 0:
		return float64(len(s.sends)+1) <= budget
	case s.role != RolePrefill && s.n == 0:
		crowd *= f.listed / max(f.idle, 1)
	}
	chance := 1 - math.Exp(-part/crowd)
	if budget > 0.01 {
		chance = 1 - math.Pow(1-budget, part/crowd/budget)
	}
	return draw(r.salt+1, uint64(q.ID)) < chance
}

// unread guesses the prompt tokens that s has yet to read.
func (r *Router) unread(q *request, s *server) float64 {
	have := max(s.kept[q.Prefix], s.kept[q.Session])
	return max(q.PromptTokens-have, 0) + 200
}

// memoryNeed is what the request takes of a writer's memory.
func (q *request) memoryNeed() float64 { return q.PromptTokens + outGuess*q.MaxOutputTokens }

// writerRoom tells whether some writer has room beyond what is being read for the writers now.
func (r *Router) writerRoom(q *request) bool {
	reading, room, found := 0.0, 0.0, false
	for _, s := range r.servers {
		if s.role == RolePrefill {
			reading += float64(s.n) * q.memoryNeed()
		} else if r.room(s, q) {
			found = true
			room += r.memory(s) - s.tokens
		}
	}
	return found && room > reading
}
