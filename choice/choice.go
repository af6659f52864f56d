// Package choice decides for one front of a service with separate readers (prefill) and writers
// (decode): where a request is read and answered, when it is held, repeated or given up. Its interface
// (settings, events, actions) stands in choice/api.go; every decision stands here, what is remembered in
// choice/state.go.
package choice

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	beat     = 20 * time.Millisecond  // how often a router that holds or parks requests looks again
	idleBeat = 200 * time.Millisecond // and how often one that only waits for servers' words does

	// Holding and release.
	starveAfter  = 2 * time.Second        // a held request this old may be promoted ...
	promoteEvery = 4                      // ... but at most every so many releases
	burstLeast   = 2.0                    // least burst of a tenant within its share
	readCap      = 6                      // own reads at a reader
	readBound    = 300 * time.Millisecond // own prompt tokens waiting at a reader, as reading time there
	evenParts    = 1.3                    // home to more even parts of the requests, a reader passes some on
	slowFrom     = 1.5                    // a reader so many times slower than the mean passes some on
	homedPrior   = 1.0                    // requests that each is taken to be home to before any is seen
	homedFor     = 30 * time.Second       // how long they count
	homesPart    = 3.0                    // readers for a prefix, for each even part of the requests ...
	homesMost    = 0.2                    // ... but no more than this part of them, and one
	keysFade     = 20 * time.Second       // counts of prefixes seen are halved this often
	spillMost    = 2                      // servers of the hash order that may read a prefix
	memoryShare  = 0.95                   // part of its share of a writer's memory that a front fills
	outGuess     = 0.4                    // expected answer, as a part of the most it may be
	coldPart     = 0.5                    // of its budget, the part that a cold server is sent ...
	coldMost     = 0.7                    // ... but at most this of its even part of what it can do
	mixedWeight  = 0.6                    // what a mixed server takes, whole requests, against a writer
	keptMax      = 20000                  // remembered prefixes and sessions a server

	// Health: failures, and work done for the time that work was out, against peers of the role.
	failGain    = 0.25                    // weight of the newest outcome
	failsFor    = 30 * time.Second        // how long failures and slow answers count
	slowGain    = 0.6                     // weight of the newest
	failBad     = 0.4                     // a server failing this part is put aside
	memory      = 5 * time.Second         // how long work done counts
	judgeEvery  = 100 * time.Millisecond  // between looks at all servers; a failure is looked at at once
	silentLeast = 1000 * time.Millisecond // no word for so long ...
	silentFor   = 6.0                     // ... and so many times the usual is silence
	backFirst   = 500 * time.Millisecond  // first pause before a trial
	backMost    = 8 * time.Second         // longest pause
	goneFor     = 4 * failsFor            // a server gone for so long with no attempt out is forgotten
	sparse      = 20 * time.Second        // an outcome after so long without one weighs nearly two thirds
	slowWriter  = 4.0                     // first tokens so many times the mean: asked after the others
	onTrust     = 0.3                     // failing share that a server comes back with
	fullPause   = 150 * time.Millisecond  // a server that turned a request away has no room for so long

	// Refusing on arrival where answers come late by and large.
	shedBack = 1.5  // an answer in time lowers it by so much, a late one raises it by its lost worth
	shedGain = 0.15 // change a second of the part refused
	shedMost = 0.9
	overShed = 2.0 // requests beyond their tenant's share are refused so many times more often
	jamFrom  = 0.1 // from this part on what has missed its aim is given up

	// Time-outs and final answers.
	readLeast  = 800 * time.Millisecond  // least time-out of a read
	firstLeast = 1500 * time.Millisecond // least time-out of a writer's first token
	patience   = 8.0                     // time-outs, as a multiple of the usual time
	margin     = 30 * time.Millisecond   // final answers of held requests come this long before Due
	pauseLeast = 200 * time.Millisecond  // least advised wait
	parkPart   = 0.5                     // part of the release time that a read state may wait for a writer
)

// New makes the decisions' state for one front; fronts of a service get seeds of their own.
func New(s Settings, seed uint64) (*Router, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	s.Fronts = max(s.Fronts, 1)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, 2)
	s.MaxWait = cmp.Or(s.MaxWait, time.Second)
	s.ReleaseWithin = cmp.Or(s.ReleaseWithin, 300*time.Millisecond)
	s.ColdFrom = cmp.Or(s.ColdFrom, 0.25)
	r := &Router{set: s, salt: seed, byID: map[ServerID]*server{}, reqs: map[RequestID]*request{},
		keys: map[uint64]float64{}, newTokens: make([]float64, len(s.Classes)), readPace: 1e-4,
		limits: make([]due, len(s.Classes)), homeCount: map[uint64]int{}, shape: 1}
	r.firstTime = 0.3
	for _, t := range s.Tenants {
		rate := t.QuotaPerS / float64(s.Fronts)
		r.tenants = append(r.tenants, bucket{level: max(2*rate, burstLeast), rate: rate})
	}
	return r, nil
}

// Step takes what happened at now, in order, and returns what to do, in order.
func (r *Router) Step(now time.Duration, events []Event) []Action {
	dt := (now - r.now).Seconds()
	r.now, r.out = now, nil
	for i := range r.tenants {
		t := &r.tenants[i]
		t.level = min(t.level+t.rate*dt, max(2*t.rate, burstLeast))
	}
	for _, ev := range events {
		r.handle(ev)
	}
	if r.now >= r.judgeAt {
		r.judge()
	}
	if r.set.AskForList && r.now >= r.askAt {
		r.emit(Watch{})
		r.askAt = r.now + max(r.set.AskWithin/2, time.Second)
	}
	r.unpark()
	r.dispatch()
	r.sleep()
	return r.out
}

// sleep asks for the next wake-up, unless one that is as early is on its way.
func (r *Router) sleep() {
	after := idleBeat
	if len(r.held)+len(r.parked) > 0 {
		after = beat
	} else if len(r.reqs) == 0 && !r.set.AskForList {
		return
	}
	if r.wakeAt <= r.now || r.now+after < r.wakeAt {
		r.wakeAt = r.now + after
		r.emit(Wake{After: after, Tag: 1})
	}
}

func (r *Router) emit(a Action) { r.out = append(r.out, a) }

func (r *Router) handle(ev Event) {
	switch ev := ev.(type) {
	case ServerList:
		r.list(ev)
	case Request:
		r.arrive(ev)
	case First:
		r.first(ev)
	case Outcome:
		r.outcome(ev)
	case ClientGone:
		if q := r.reqs[ev.Request]; q != nil && !q.ended {
			r.finish(q, nil)
		}
	}
}

// ---- The list of servers ----

func (r *Router) list(l ServerList) {
	if l.Scope == Failed {
		r.askAt = r.now + time.Second
		return
	}
	if l.Scope != Changes {
		for _, s := range r.servers {
			s.listed, s.State = false, Gone
		}
	}
	for _, e := range l.Servers {
		r.line(e)
	}
	r.forget()
	r.count()
	r.judgeAt = 0
	r.reshape()
}

// line takes one entry. A later start means a new process: empty, cold, and of unknown health.
func (r *Router) line(e Server) {
	s := r.byID[e.ID]
	switch {
	case e.Kind < 0 || e.Kind >= len(r.set.Kinds), s == nil && e.State == Gone:
		return
	case s == nil:
		s = &server{Server: e, kept: map[uint64]float64{}, seen: r.now, learnt: r.now, pace1: r.readPace}
		s.fails = make([]float64, len(r.set.Classes))
		r.byID[e.ID] = s
		r.servers = append(r.servers, s)
	}
	if e.ReadyAt > s.ReadyAt {
		s.kept = map[uint64]float64{}
		s.bad, s.fail, s.count, s.slow, s.pause, s.seen, s.learnt = false, 0, 0, 0, 0, r.now, r.now
		clear(s.fails)
	}
	s.Server, s.role, s.listed, s.goneAt = e, r.set.Kinds[e.Kind].Role, e.State == Ready, 0
}

// ---- Health: one notion for errors, broken connections, stalls and slowness ----

// present is the part of its capacity that s is taken to have: it grows evenly while s is cold.
func (r *Router) present(s *server) float64 {
	if !r.cold(s) {
		return 1
	}
	return r.set.ColdFrom + (1-r.set.ColdFrom)*float64(max(r.now-s.ReadyAt, 0))/float64(r.set.ColdFor)
}

func (r *Router) cold(s *server) bool {
	return r.set.ColdFor > 0 && s.ReadyAt > 0 && r.now-s.ReadyAt < r.set.ColdFor
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

// silent tells that s has had attempts for much longer than the usual time and has said nothing since.
// Attempts of an unsafe class have no time-out, so without it a stall would show at their deadlines only.
func (r *Router) silent(s *server) bool {
	usual := s.unread * r.readPace
	if s.role != Reader {
		usual += r.firstTime
	}
	return s.waits > 0 && r.now-s.heard > silentLeast+time.Duration(silentFor*usual*float64(time.Second))
}

func (r *Router) aside(s *server, why string) {
	if !s.bad {
		r.roles[s.role].well--
	}
	s.bad = true
	r.reshape()
	gap := time.Duration(0) // between own sends to a server
	if rate := r.roles[s.role].rate; rate > 0.01 {
		gap = time.Duration(float64(time.Second) / rate)
	}
	s.pause = min(max(2*s.pause, backFirst, gap), backMost)
	s.back = r.now + s.pause
	r.emit(Log{fmt.Sprintf("%s %d put aside: %s (failing %.2f)", roleNames[s.role], s.ID, why, s.fail)})
}

// learn takes one outcome into the health of its server, for the class of q in full and for others by half: a
// server may fail one class only. A failed or broken connection speaks for all, and louder: the process is
// likely gone. News after a long silence weighs more: a front of many sees a server twice a minute.
func (r *Router) learn(s *server, q *request, failed bool, gain float64, usual bool) {
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

// shunned tells that s has failed the class of q, or that its first tokens are slow: it is asked last.
func (s *server) shunned(q *request) bool {
	return !s.bad && (s.fails[q.Class] > failBad || s.role == Writer && s.slow > slowWriter)
}

// ---- Room: one notion for caps, cold budgets, trials and servers that turned work away ----

// room tells whether s takes a further own attempt. A server put aside takes one trial at a time.
func (r *Router) room(s *server, q *request) bool {
	switch {
	case !r.usable(s, q) || r.now < s.full:
		return false
	case s.n == 0:
		return true
	case s.role == Reader && s.n >= readCap:
		return false
	}
	waiting := s.unread
	if !q.starved && (s.role == Reader || s.role == Mixed && q.reader == nil) {
		waiting += r.unread(q, s)
	}
	fits := s.role == Reader || s.tokens+q.memoryNeed() <= r.memory(s)
	return fits && waiting*s.pace1 <= readBound.Seconds()
}

// usable tells whether anything may go to s at all. A server put aside takes one trial at a time, unless
// all of its role are: then the least bad serve.
func (r *Router) usable(s *server, q *request) bool {
	if !s.listed || !r.coldRoom(s, q) {
		return false
	}
	trial := s.n == 0 && r.now >= s.back && (s.role == Reader || q.class.Effect == Safe)
	return !s.bad || trial || r.roles[s.role].well == 0
}

// memory is the part of a writer's memory that own streams may fill.
func (r *Router) memory(s *server) float64 {
	m := r.set.Kinds[s.Kind].Memory
	if m == 0 {
		return math.MaxInt64
	}
	return m * memoryShare / float64(r.set.Fronts) * r.present(s)
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
	for len(s.sends) > 0 && r.now-s.sends[0] > r.set.TipAfter {
		s.sends = s.sends[1:]
	}
	f := &r.roles[s.role]
	part := min(coldMost, coldPart*r.set.OverloadFactor) * r.present(s)
	budget := part * f.rate * r.set.TipAfter.Seconds()
	crowd := float64(1+len(q.att)) - b2f(q.reader != nil)
	switch {
	case budget >= 1 || len(s.sends) > 0:
		return float64(len(s.sends)+1) <= budget
	case s.role != Reader && s.n == 0:
		crowd *= f.listed / max(f.idle, 1)
	}
	chance := 1 - math.Exp(-part/crowd)
	if budget > 0.01 {
		chance = 1 - math.Pow(1-budget, part/crowd/budget)
	}
	return draw(r.salt+1, uint64(q.ID)) < chance
}

// ---- Requests ----

func (r *Router) arrive(ev Request) {
	if r.reqs[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(r.set.Classes) {
		return
	}
	if ev.Doubtful && r.set.Classes[ev.Class].Effect == Unsafe { // an earlier try may have run, at any front
		r.emit(Fail{ev.ID, true})
		return
	}
	q := &request{Request: ev, class: &r.set.Classes[ev.Class], at: r.now}
	if ev.Tenant >= 0 && ev.Tenant < len(r.tenants) && r.tenants[ev.Tenant].rate > 0 {
		t := &r.tenants[ev.Tenant]
		if q.over = t.level < 1; !q.over {
			t.level--
		}
	}
	q.limit = min(q.Due, q.aimAt())
	r.seeKey(q)
	r.reqs[ev.ID] = q
	r.hold(q)
	q.shed = draw(r.salt+2, uint64(q.ID)) < r.shed*(1+overShed*b2f(q.over))
}

// dispatch releases held requests: shortest prompt first, and every promoteEvery-th time one that starved.
// A bounded promotion keeps a backlog that starved all at once from putting its long prompts before the
// short ones. While requests are held those beyond their tenant's share come last. Where nothing has changed
// that could have made room, only those are looked at that are new, starved or hopeless.
func (r *Router) dispatch() {
	first := r.promote()
	r.todo = r.todo[:0]
	again := r.lookAtRoom()
	if again {
		r.todo = append(r.todo, r.held...)
	} else {
		r.todo = append(r.todo, r.fresh...)
		for c := range r.limits {
			for q := r.limits[c].top(); q != nil && r.hopeless(q); q = r.limits[c].top() {
				r.limits[c].pop()
				r.todo = append(r.todo, q)
			}
		}
		slices.SortFunc(r.todo, before)
		r.todo = slices.Compact(r.todo)
	}
	r.fresh = r.fresh[:0]
	if i := slices.Index(r.todo, first); first != nil && i > 0 {
		r.todo = slices.Insert(slices.Delete(r.todo, i, i+1), 0, first)
	}
	for i := 0; i < len(r.todo); i++ {
		switch q := r.todo[i]; {
		case !q.waits: // it came twice
		case r.hopeless(q):
			r.finish(q, r.no(q, r.ahead(q, first)))
		case r.futile(q):
		case r.launch(q):
			r.unhold(q)
			if r.released++; q.starved {
				r.released = 0
			}
			if r.stale = r.stale || r.roles[Mixed].listed > 0; r.stale && !again { // then those behind it
				again = true
				r.todo, i = append(r.todo[:0], r.behind(q, first)...), -1
			}
		}
	}
	clear(r.todo)
}

// promote picks the request that has waited longest, if one may be promoted and is not first anyway.
func (r *Router) promote() *request {
	q := r.ages.top()
	if r.released < promoteEvery-1 || q == nil || q.at >= r.now-starveAfter || q == r.held[0] {
		return nil
	}
	if !q.starved {
		q.starved = true
		r.fresh = append(r.fresh, q)
	}
	return q
}

// mayHaveRoom is what room asks of s alone.
func (s *server) mayHaveRoom(now time.Duration) bool {
	return s.listed && now >= s.full && (s.n == 0 || (s.role != Reader || s.n < readCap) &&
		s.unread*s.pace1 <= readBound.Seconds())
}

// futile tells that launch can't succeed, without the cost of trying: no writer has room for so much, or the
// readers that would be asked are as full as when they were asked last. What was never homed is tried.
func (r *Router) futile(q *request) bool {
	need, mixed := q.memoryNeed(), r.roles[Mixed].listed > 0
	if need > r.most.free+1 || !mixed && r.roles[Reader].listed > 0 && need*r.most.reading > r.most.all+1 {
		return q.homed || !mixed
	}
	if !q.homed || r.most.mixed || r.anyCold || q.askedAt != r.shape {
		return false
	}
	for _, s := range q.asked {
		if s.mayHaveRoom(r.now) && r.room(s, q) {
			return false
		}
	}
	return true
}

// feel moves the part of new requests that is refused on arrival by whether an answer came in its aim. Where
// they come late by and large, more is asked than can be done in time, whatever the cause: a surge, servers
// gone, cold or slow. A queue then makes all late, so as much is refused as keeps the rest in time. It moves
// by time passed, to be alike in a front of few requests and of many. It hurts where less work mends nothing.
func (r *Router) feel(q *request, late bool) {
	dt := min(r.now-r.feltAt, time.Second).Seconds()
	r.feltAt = r.now
	step := -shedBack
	if late {
		step = 1 - q.class.LateWorth
	}
	r.shed = min(max(r.shed+shedGain*dt*step, 0), shedMost)
}

// aimAt is when the first token is wanted.
func (q *request) aimAt() time.Duration {
	return q.at + q.class.Aim + time.Duration(q.PromptLen/1000*float64(q.class.AimPer1000))
}

// jammed tells that q has missed its aim while answers come late by and large: the place it would take is
// worth more to one that can be in time.
func (r *Router) jammed(q *request) bool { return r.shed > jamFrom && r.now >= q.aimAt() }

// hopeless tells that a held request can't be answered in time any more; it is refused early, while trying
// again later may still help its client.
func (r *Router) hopeless(q *request) bool {
	need := time.Duration((r.newTokens[q.Class]*r.readPace/4 + r.firstTime/4) * float64(time.Second))
	return r.now+max(margin, need) >= q.limit || len(q.att) >= r.set.MaxAttempts || q.shed
}

// launch sends a held request to a reader, or whole to a mixed server, if there is room for it.
func (r *Router) launch(q *request) bool {
	readers, mixed := r.roles[Reader].listed > 0, r.roles[Mixed].well
	if r.roles[Mixed].listed > 0 && (!readers || r.mixedDebt >= 1) {
		if s := r.home(q, Mixed); s != nil {
			r.mixedDebt = max(r.mixedDebt-1, -1)
			r.send(q, s, true)
			return true
		}
	}
	if !readers && r.set.WritersRead {
		if s := r.writer(q, true); s != nil {
			r.send(q, s, true)
			return true
		}
	}
	if !readers || !r.writerRoom(q) {
		return false
	}
	s := r.home(q, Reader)
	if s == nil {
		return false
	}
	if mixed > 0 {
		m := mixedWeight * mixed
		r.mixedDebt = min(r.mixedDebt+m/(m+r.roles[Writer].well), 2)
	}
	r.send(q, s, false)
	return true
}

// home walks the servers of a role in the hash order of the prefix and returns the first with room. All known
// servers are in the order, so one put aside does not move the homes of others. Only the first spillMost that
// may be sent to are asked: a prompt read far down the order pushes out what others keep there.
func (r *Router) home(q *request, role Role) *server {
	r.order = r.order[:0]
	for _, s := range r.servers {
		if s.role == role && r.usable(s, q) {
			h := mix(q.key()^mix(uint64(s.ID))) >> 1
			if !q.triedOn(s) && !s.shunned(q) {
				h |= 1 << 63
			}
			r.order = append(r.order, ranked{s, h})
		}
	}
	slices.SortFunc(r.order, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	// a key of which much is seen has several homes, and each session keeps to one of them
	readers := float64(len(r.order))
	homes := r.order[:min(r.homes(q.key(), readers), len(r.order))]
	slices.SortFunc(homes, func(a, b ranked) int {
		return cmp.Compare(draw(uint64(b.s.ID), q.Session), draw(uint64(a.s.ID), q.Session))
	})
	if !q.homed && len(r.order) > 0 {
		q.homed = true
		r.order[0].s.homed++
	}
	var home *server
	total, warm := 0.0, 0
	for _, e := range r.order {
		total += e.s.homed
	}
	q.asked, q.askedAt = q.asked[:0], 0
	for _, e := range r.order {
		q.asked = append(q.asked, e.s)
		if r.room(e.s, q) {
			parts := (e.s.homed + homedPrior) / (total/float64(len(r.order)) + homedPrior)
			parts *= max(e.s.slow/slowFrom, 1)
			if draw(uint64(e.s.ID), cmp.Or(q.Session, uint64(q.ID)))*parts <= evenParts {
				return e.s
			}
			if home == nil {
				home = e.s
			}
		}
		if warm += int(b2f(!r.cold(e.s))); warm >= spillMost && home == nil {
			break
		}
	}
	if home == nil && role == Reader && !r.anyCold {
		q.askedAt = r.shape
	}
	return home
}

// homes is how many readers a key is home at, by the part of this front's requests that share it; all fronts
// see about the same.
func (r *Router) homes(key uint64, readers float64) int {
	popular := max(r.keys[key]-1, 0) / (r.keysAll + 5)
	return 1 + int(min(popular*homesPart, homesMost)*readers)
}

// seeKey counts the key of a new request; counts are halved now and then, so that old ones fade.
func (r *Router) seeKey(q *request) {
	if r.now > r.fadeAt {
		r.fadeAt, r.keysAll = r.now+keysFade, r.keysAll/2
		for k := range r.keys {
			r.keys[k] /= 2
		}
		maps.DeleteFunc(r.keys, func(_ uint64, n float64) bool { return n < 0.25 })
		r.reshape()
	}
	r.keys[q.key()]++
	r.keysAll++
	r.homeCount[q.key()] = max(r.homeCount[q.key()], 1)
	for k, was := range r.homeCount {
		n := r.homes(k, r.readersNow)
		if r.homeCount[k] = n; n != was { // other readers may be asked now
			for _, h := range r.held {
				if h.key() == k {
					h.askedAt = 0
					r.fresh = append(r.fresh, h)
				}
			}
		}
		if n == 1 {
			delete(r.homeCount, k)
		}
	}
}

// unread guesses the prompt tokens that s has yet to read.
func (r *Router) unread(q *request, s *server) float64 {
	have := max(s.kept[q.Prefix], s.kept[q.Session])
	return max(q.PromptLen-have, 0) + 200
}

// memoryNeed is what the request takes of a writer's memory.
func (q *request) memoryNeed() float64 { return q.PromptLen + outGuess*q.MaxOut }

// writerRoom tells whether some writer has room beyond what is being read for the writers now.
func (r *Router) writerRoom(q *request) bool {
	reading, room, found := 0.0, 0.0, false
	for _, s := range r.servers {
		if s.role == Reader {
			reading += float64(s.n) * q.memoryNeed()
		} else if r.room(s, q) {
			found = true
			room += r.memory(s) - s.tokens
		}
	}
	return found && room > reading
}

// writer picks the writer with the fewest own streams, ties to the reader's cell, then its zone. If none
// has room it is, unless room is asked for, the least loaded that may be sent to at all; servers put aside
// come last.
func (r *Router) writer(q *request, needRoom bool) *server {
	var best *server
	var bestRank [6]float64
	writers := r.roles[Writer].listed > 0
	keepCell, keepZone := r.keeps(q)
	for _, s := range r.servers {
		spared := s.role == Reader || s.role == Mixed && q.reader != nil && writers
		if spared || !s.listed || !r.allowed(q, s) {
			continue
		}
		room := r.room(s, q)
		if needRoom && !room || !room && !r.coldRoom(s, q) {
			continue
		}
		rank := [6]float64{b2f(!room) + b2f(!room && s.bad), b2f(q.triedOn(s)) + b2f(s.shunned(q)),
			float64(s.n),
			b2f(!keepCell || s.Cell != q.reader.Cell), b2f(!keepZone || s.Zone != q.reader.Zone),
			-math.Log(draw(r.salt^uint64(s.ID), uint64(q.ID))) / r.cells[s.Cell].short()}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = s, rank
		}
	}
	return best
}

// keeps tells whether ties between writers go to the reader's cell, and to its zone. They do, unless a front
// has less than a stream a writer, so that nearly all is tied, and the cell has a larger part of the readers
// than of the writers: then that part stays and the rest goes where writers are short of readers.
func (r *Router) keeps(q *request) (cell, zone bool) {
	f := &r.roles[Writer]
	if q.reader == nil || f.own >= f.listed {
		return q.reader != nil, q.reader != nil
	}
	u := draw(r.salt, uint64(q.ID))
	c, z := r.cells[q.reader.Cell], r.zones[q.reader.Zone]
	return u*c.reads <= c.writes, u*z.reads <= z.writes
}

// allowed keeps the effect rules: where an earlier attempt may have run, only a safe class goes anywhere,
// a keyed one inside its group and window.
func (r *Router) allowed(q *request, s *server) bool {
	if !q.ran || q.class.Effect == Safe {
		return true
	}
	if q.class.Effect == Unsafe || r.now-q.ranAt >= q.class.Window {
		return false
	}
	switch q.class.Group {
	case GroupZone:
		return s.Zone == q.ranOn.Zone
	case GroupCell:
		return s.Cell == q.ranOn.Cell
	}
	return true
}

// send starts an attempt and books what it takes.
func (r *Router) send(q *request, s *server, write bool) {
	a := attempt{s: s, out: true, quiet: true, write: write, at: r.now}
	a.charge = q.memoryNeed()
	if q.reader == nil {
		a.unread = r.unread(q, s)
	}
	r.age(s)
	if s.waits++; s.waits == 1 {
		s.heard = r.now
	}
	if s.n++; s.bad { // a trial is out
		r.reshape()
	}
	s.tokens += a.charge
	s.unread += a.unread
	a.ahead = s.unread
	if r.cold(s) {
		s.sends = append(s.sends, r.now)
	}
	q.att = append(q.att, a)
	q.out++
	q.read = q.read || !write
	r.emit(Send{Request: q.ID, Server: s.ID, Timeout: r.timeout(q, &a)})
}

// timeout bounds an attempt that another could still replace; 0 lets it run until the client leaves.
func (r *Router) timeout(q *request, a *attempt) time.Duration {
	usual, least, more := a.ahead*max(r.readPace, a.s.pace1), readLeast, 2
	if a.write {
		usual, least, more = usual+r.firstTime, firstLeast, 1
	}
	limit := time.Duration(0)
	if r.shed > jamFrom {
		limit = max(q.aimAt()-r.now, margin)
	}
	if r.set.MaxAttempts-len(q.att) < more || a.write && q.class.Effect != Safe || limit > 0 {
		return limit
	}
	return max(least, time.Duration(patience*usual*float64(time.Second)))
}

func (r *Router) first(ev First) {
	q := r.reqs[ev.Request]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.att) {
		return
	}
	a := &q.att[ev.Attempt]
	q.started, q.reader = true, nil
	r.feel(q, r.now > q.aimAt())
	if a.s.role == Writer {
		a.s.slow += slowGain * (ev.Elapsed.Seconds()/r.firstTime - a.s.slow)
		r.firstTime += 0.05 * (ev.Elapsed.Seconds() - r.firstTime)
	}
	if a.unread > 0 {
		r.stale = true
		r.paced(a, ev.Elapsed)
	}
	r.hear(a, true)
	r.learn(a.s, q, false, failGain, ev.Elapsed.Seconds() < patience*r.firstTime+0.5)
}

// outcome ends an attempt: books out what it took, judges its server, and decides what comes next.
func (r *Router) outcome(ev Outcome) {
	q := r.reqs[ev.Request]
	if q == nil || ev.Attempt < 0 || ev.Attempt >= len(q.att) || !q.att[ev.Attempt].out {
		return
	}
	a := &q.att[ev.Attempt]
	r.settle(q, a, ev)
	switch {
	case q.ended:
		if ev.Result == ReadDone { // a late read: nobody will fetch it
			r.emit(Release{q.ID})
		}
	case ev.Over || ev.Result == Served:
		r.finish(q, nil)
	case ev.Result == ReadDone:
		q.reader, q.stateAt = a.s, r.now
		r.place(q)
	default:
		r.again(q, a, ev)
	}
	if q.ended && q.out == 0 {
		delete(r.reqs, q.ID)
	}
}

// settle books an attempt out and learns from its outcome.
func (r *Router) settle(q *request, a *attempt, ev Outcome) {
	s := a.s
	r.age(s)
	if r.stale = true; s.bad {
		r.reshape()
	}
	a.out = false
	q.out--
	s.n--
	s.tokens = max(s.tokens-a.charge, 0)
	r.hear(a, ev.Result != TimedOut && ev.Result != Cancelled && ev.Result != ConnectFailed)
	switch ev.Result {
	case ReadDone:
		r.readDone(q, a, ev)
	case Served:
		s.count++
	case Errored:
		r.learn(s, q, true, failGain, false)
	case TimedOut:
		s.slow += slowGain * (patience - s.slow)
		r.learn(s, q, r.now < q.Due || a.at+time.Second < r.now, failGain, false)
		if a.write {
			r.firstTime += 0.02 * (ev.Elapsed.Seconds() - r.firstTime)
		}
	case ConnectFailed, Reset:
		r.learn(s, q, true, 2*failGain, false)
	case Turned:
		if !ev.NoState {
			s.full = r.now + fullPause
		}
	}
	mayHaveRun := slices.Contains([]Result{Errored, TimedOut, Reset, Cancelled}, ev.Result)
	if a.write && mayHaveRun && !q.ran {
		q.ran, q.ranOn, q.ranAt = true, s, a.at
	}
}

// paced learns how long a waiting prompt token takes at s, and over all readers.
func (r *Router) paced(a *attempt, took time.Duration) {
	v := took.Seconds() / max(a.ahead, 200)
	a.s.pace1 += 0.1 * (v - a.s.pace1)
	a.s.slow += slowGain * (v/r.readPace - a.s.slow)
	if a.s.role == Reader {
		r.readPace += 0.05 * (v - r.readPace)
	}
}

func (r *Router) readDone(q *request, a *attempt, ev Outcome) {
	s, sec := a.s, ev.Elapsed.Seconds()
	r.paced(a, ev.Elapsed)
	fresh := max(q.PromptLen-ev.Kept, 0) + 200
	r.newTokens[q.Class] += 0.05 * (fresh - r.newTokens[q.Class])
	s.count++
	if len(s.kept) > keptMax {
		s.kept = map[uint64]float64{}
	}
	s.kept[q.Prefix], s.kept[q.Session] = q.PrefixLen, q.PromptLen
	delete(s.kept, 0)
	r.learn(s, q, false, failGain, sec < patience*a.ahead*r.readPace+0.5)
}

// place sends a read request to a writer; if none may be sent to, it waits for part of the release time.
func (r *Router) place(q *request) {
	s := r.writer(q, false)
	switch {
	case len(q.att) >= r.set.MaxAttempts || r.now >= q.Due || r.jammed(q):
		r.finish(q, r.no(q, len(r.held)))
	case s != nil:
		r.send(q, s, true)
	default:
		r.parked = append(r.parked, q)
	}
}

// unpark tries parked requests again and lets go of what has waited long enough.
func (r *Router) unpark() {
	waiting := r.parked
	r.parked = nil
	for _, q := range waiting {
		limit := q.stateAt + time.Duration(parkPart*float64(r.set.ReleaseWithin))
		switch {
		case r.now >= limit || r.now+margin >= q.Due:
			r.finish(q, r.no(q, len(r.held)))
		default:
			r.place(q)
		}
	}
}

// again decides after a failed attempt: another, or the final answer at once.
func (r *Router) again(q *request, a *attempt, ev Outcome) {
	waits := a.write && q.reader != nil && !ev.NoState
	switch {
	case r.now >= q.Due || len(q.att) >= r.set.MaxAttempts || r.jammed(q), q.ran && q.class.Effect == Unsafe,
		q.ran && q.class.Effect == Keyed && !waits:
		r.finish(q, r.no(q, len(r.held)))
	case waits:
		q.stateAt = r.now
		r.place(q)
	default:
		q.reader = nil
		r.hold(q)
	}
}

// no is the final answer to a request that is given up: a refusal where trying again is harmless, else a
// failure. A client's own repeat of an unsafe request can't be told from one after a lost answer, and is failed on
// arrival; so a refusal of one is handed up by the client, and its user asks anew.
func (r *Router) no(q *request, waiting int) Action {
	risky := q.ran || slices.ContainsFunc(q.att, func(a attempt) bool { return a.out && a.write })
	if risky && (q.class.Effect == Unsafe || q.class.Effect == Keyed && q.class.Group != GroupAll) {
		return Fail{q.ID, false}
	}
	wait := min(max(pauseLeast, time.Duration(waiting)*10*time.Millisecond), r.set.MaxWait)
	return Refuse{q.ID, wait, q.class.Effect == Unsafe}
}

// finish is the one place where a request ends. It answers, calls off what is out and lets go of what is
// held.
func (r *Router) finish(q *request, answer Action) {
	q.ended = true
	if !q.started && !q.shed { // given up counts as late, however soon: else a storm of refusals looks well
		r.feel(q, answer != nil || r.now > q.aimAt())
	}
	if answer != nil {
		r.emit(answer)
	}
	for i := range q.att {
		if q.att[i].out && !q.started && r.set.CanCancel {
			r.emit(Cancel{q.ID, i})
		}
	}
	if q.read && !q.started {
		r.emit(Release{q.ID})
	}
	r.unhold(q)
	r.parked = without(r.parked, q)
	if q.out == 0 {
		delete(r.reqs, q.ID)
	}
}
