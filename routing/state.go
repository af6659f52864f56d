package routing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a Router remembers, and helpers with no decision in them; choice.go decides.

// Router decides for one front. It is not safe for concurrent use.
type Router struct {
	set          Config
	salt         uint64
	now          time.Duration
	out          []Action
	byID         map[EndpointID]*server
	servers      []*server // by id
	reqs         map[RequestID]*request
	held         []*request     // waiting for room, no state anywhere; in release order
	fresh        []*request     // of these, what is to be tried though nothing has changed
	todo         []*request     // used again by dispatch
	ages         due            // held requests by arrival
	limits       []due          // by class: by the time at which the aim or the client's time ends
	stale        bool           // room or the order of servers may have changed: all held are tried again
	shape        uint64         // changes with the order in which servers are asked
	shapeOf      uint64         // the shape for which homeCount holds
	homeCount    map[uint64]int // homes of each key that has more than one
	readersNow   float64        // readers that may be sent to
	anyCold      bool
	roomAt       time.Duration // room may grow by time alone at this time; 0 = not
	most         bounds
	parked       []*request // read, waiting for a writer
	expiries     []expiry   // of read states, the earliest first
	order        []ranked   // used again by home
	tenants      []bucket
	newTokens    []float64     // mean unread tokens of a prompt, by class
	readPace     float64       // mean reading seconds a token, own queue included
	firstTime    float64       // mean seconds from a writer's send to the first token
	mixedDebt    float64       // whole requests that mixed servers have yet to take
	mixedSlow    float64       // their mean time to the first token against that by a reader and a writer
	released     int           // releases since the last promotion
	wakeAt       time.Duration // the earliest wake-up asked for and not come yet; 0 = none
	judgeAt      time.Duration // servers are judged again
	roles        [RoleMixed + 1]roleFigures
	cells, zones flows
	shed         float64 // part of new requests that is refused
	feltAt       time.Duration
	turnedAt     time.Duration      // when a server last turned work away
	worthSeen    float64            // for each unit of work, mean over requests
	keys         map[uint64]float64 // requests seen, by key
	keysAll      float64
	fadeAt       time.Duration
	askAt        time.Duration
	ending       bool // the front ends
}

// bounds are what room there is at most, whatever the request.
type bounds struct {
	free, all, reading float64 // of writers: the largest room of one, the room of all; reads out
	mixed              bool    // some mixed server may have room
}

// roleFigures sum up the servers of a role, once for every change rather than once for every server.
type roleFigures struct {
	listed, well float64   // how many are listed, and how many of these are not put aside
	warm, idle   float64   // how many run for a while, and how many have no own work
	own          float64   // attempts out there
	rate         float64   // pieces a second that a warm one finishes for this front, as last seen
	fails        []float64 // of the listed ones, sorted
	count        float64   // pieces that warm ones finished of late
	quiet        int       // how many say nothing
	memory       float64   // of those that are not put aside, tokens
}

// flow is the part of all reads that a cell or zone is taken to make, and of all answers that it can write.
type flow struct{ reads, writes float64 }

// flows are by cell or zone.
type flows map[int]*flow

func (m flows) at(place int) *flow {
	f := m[place]
	if f == nil {
		f = &flow{}
		m[place] = f
	}
	return f
}

// short is how far the readers' part lacks behind the writers'.
func (f flow) short() float64 { return max(1-f.reads/max(f.writes, 1e-9), 1e-9) }

// server is what this front knows of one server.
type server struct {
	Endpoint
	role   Role
	listed bool
	goneAt time.Duration // when it was first seen to be off the list; 0 = it is on it
	n      int           // own attempts out
	tokens float64       // charged to them
	unread float64       // own prompt tokens waiting to be read there
	pace1  float64       // seconds a waiting token takes, own queue included
	kept   map[uint64]float64
	full   time.Duration   // no room until
	sends  []time.Duration // to a cold server, in the last window
	slow   float64         // own reads there against the mean pace; fades
	homed  float64         // requests whose first choice it was of late

	fail   float64       // share of late outcomes that failed, of the class that failed least
	fails  []float64     // the same, by class; fades
	turns  []float64     // share of each class's late attempts that it turned away; fades
	mute   []bool        // classes of which an attempt there has said nothing for longer than silence allows
	hung   []bool        // used by mutes
	asked  []word        // attempts that may have said nothing yet, the oldest first
	learnt time.Duration // last outcome
	count  float64       // pieces finished; fades
	seen   time.Duration
	waits  int           // attempts of which nothing was heard yet
	heard  time.Duration // when s last said something, or the first of these was sent
	bad    bool
	back   time.Duration // next trial
	pause  time.Duration
}

// attempt is one send of a request.
type attempt struct {
	s      *server
	out    bool
	write  bool // has an effect; else a read
	at     time.Duration
	charge float64
	off    bool    // called off
	quiet  bool    // nothing heard of it yet
	unread float64 // of the prompt, while it waits to be read
	ahead  float64 // own unread tokens at the server, this prompt's included
}

// request is one request from its arrival until its last attempt has an outcome.
type request struct {
	Request
	class   *Class
	at      time.Duration
	att     []attempt
	out     int
	reader  *server       // where its read state waits
	stateAt time.Duration // when the time of that state began
	read    bool          // some read was sent: state may be held
	ran     bool          // an attempt may have run, on
	ranOn   *server
	ranAt   time.Duration
	started bool // its stream runs
	shed    bool // refused on arrival
	over    bool // beyond its tenant's share
	homed   bool // counted at its home
	starved bool // promoted: its own tokens no longer count to the bound
	ended   bool
	waits   bool          // it is among the held
	limit   time.Duration // when its aim or its client's time ends
	asked   []*server     // readers that had no room for it when all that may be asked were asked ...
	askedAt uint64        // ... in this shape; 0 = never
}

// window is how long a keyed request of which an attempt may have run may still be sent; 0 where nothing
// bounds that.
func (q *request) window(now time.Duration) time.Duration {
	if !q.ran || q.class.Idempotency != IdempotentWithKey {
		return 0
	}
	return q.ranAt + q.class.DedupWindow - now
}

// ranked is a server in the hash order of a prefix.
type ranked struct {
	s    *server
	hash uint64
}

type bucket struct{ level, rate float64 }

// before is the release order: shortest prompt first, what is beyond its tenant's share last.
func before(a, b *request) int {
	switch {
	case a.over != b.over:
		return cmp.Compare(b2f(a.over), b2f(b.over))
	case a.PromptTokens != b.PromptTokens:
		return cmp.Compare(a.PromptTokens, b.PromptTokens)
	}
	return cmp.Compare(a.ID, b.ID)
}

// ahead is how many of the held come before q in a dispatch that looked at first before all others.
func (r *Router) ahead(q, first *request) int {
	if q == first {
		return 0
	}
	n, _ := slices.BinarySearchFunc(r.held, q, before)
	if first != nil && first.waits && before(first, q) > 0 {
		n++
	}
	return n
}

// hold puts a request among the held, to be tried in this step.
func (r *Router) hold(q *request) {
	i, _ := slices.BinarySearchFunc(r.held, q, before)
	r.held = slices.Insert(r.held, i, q)
	r.fresh = append(r.fresh, q)
	q.waits, q.asked, q.askedAt = true, nil, 0
	r.ages.push(q, q.at)
	r.limits[q.Class].push(q, q.limit)
}

// unhold takes a request off the held; others' places stay as they are.
func (r *Router) unhold(q *request) {
	if q.waits {
		i, _ := slices.BinarySearchFunc(r.held, q, before)
		r.held = slices.Delete(r.held, i, i+1)
		q.waits = false
	}
}

// behind are the held that come after q in such a dispatch.
func (r *Router) behind(q, first *request) []*request {
	if q == first {
		return r.held
	}
	return r.held[r.ahead(q, nil):]
}

// due is a heap of requests by a time. One that no longer waits stays until it comes to the top.
type due []dueAt

type dueAt struct {
	at time.Duration
	q  *request
}

func (d due) less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && before(d[i].q, d[j].q) < 0
}

func (d *due) push(q *request, at time.Duration) {
	*d = append(*d, dueAt{at, q})
	h := *d
	for i := len(h) - 1; i > 0 && h.less(i, (i-1)/2); i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

func (d *due) pop() {
	h := *d
	n := len(h) - 1
	h[0], h[n] = h[n], dueAt{}
	h = h[:n]
	*d = h
	for i := 0; ; {
		c := 2*i + 1
		if c+1 < n && h.less(c+1, c) {
			c++
		}
		if c >= n || !h.less(c, i) {
			return
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}

// top is the first that still waits, nil where none does.
func (d *due) top() *request {
	for len(*d) > 0 {
		if q := (*d)[0].q; q.waits {
			return q
		}
		d.pop()
	}
	return nil
}

// lookAtRoom tells whether held requests must be tried again, and sums up what room there is at most. Room
// grows by outcomes and by news (stale), by the end of a pause, and all the time while a server is cold.
func (r *Router) lookAtRoom() bool {
	again := r.stale || r.anyCold || r.roomAt > 0 && r.now >= r.roomAt
	if !again {
		return false
	}
	if r.roomAt > 0 && r.now >= r.roomAt {
		r.shape++
	}
	r.stale, r.anyCold, r.roomAt, r.most, r.readersNow = false, false, 0, bounds{}, 0
	for _, s := range r.servers {
		if !s.listed {
			continue
		}
		r.anyCold = r.anyCold || r.cold(s)
		for _, at := range [2]time.Duration{s.full, s.back} {
			if at > r.now && (r.roomAt == 0 || at < r.roomAt) {
				r.roomAt = at
			}
		}
		switch {
		case s.role == RolePrefill:
			r.most.reading += float64(s.n)
			r.readersNow += b2f(!s.bad || s.n == 0 && r.now >= s.back || r.roles[RolePrefill].well == 0)
			continue
		case s.n == 0:
			r.most.free = math.Inf(1)
		}
		r.most.mixed = r.most.mixed || s.role == RoleMixed && s.mayHaveRoom(r.now)
		r.most.free = max(r.most.free, r.memory(s)-s.tokens)
		r.most.all += max(r.memory(s)-s.tokens, 0)
	}
	if r.shapeOf != r.shape {
		r.shapeOf = r.shape
		clear(r.homeCount)
		for k := range r.keys {
			if n := r.homes(k, r.readersNow); n > 1 {
				r.homeCount[k] = n
			}
		}
	}
	return true
}

// age brings the fading figures of s to now.
func (r *Router) age(s *server) {
	dt := (r.now - s.seen).Seconds()
	s.seen = r.now
	fade(&s.count, dt, memory)
	fade(&s.slow, dt, failsFor)
	for _, shares := range [2][]float64{s.fails, s.turns} {
		for i, was := range shares {
			if fade(&shares[i], dt, failsFor); was > failBad && shares[i] <= failBad {
				r.reshape()
			}
		}
	}
	fade(&s.homed, dt, homedFor)
}

// fade lets a figure fall with time. Most are 0 where a front sees few requests of many servers.
func fade(v *float64, dt float64, over time.Duration) {
	if *v != 0 {
		*v *= math.Exp(-dt / over.Seconds())
	}
}

// silent tells that s has had attempts for longer than silence allows and has said nothing since.
func (r *Router) silent(s *server) bool { return s.waits > 0 && r.now-s.heard > r.silence(s) }

// mutes finds the classes to which each server has been silent, though others may well be answered there.
func (r *Router) mutes() {
	for _, s := range r.servers {
		s.asked = slices.DeleteFunc(s.asked, func(w word) bool {
			return !w.attempt().out || !w.attempt().quiet
		})
		if len(s.asked) == 0 && s.mute == nil {
			continue
		}
		if s.mute == nil {
			s.mute, s.hung = make([]bool, len(r.set.Classes)), make([]bool, len(r.set.Classes))
		}
		clear(s.hung)
		silence := r.silence(s)
		for _, w := range s.asked {
			s.hung[w.q.Class] = s.hung[w.q.Class] || !w.q.ended && r.now-w.attempt().at > silence
		}
		if !slices.Equal(s.hung, s.mute) {
			s.hung, s.mute = s.mute, s.hung
			r.reshape()
		}
	}
}

func (s *server) muteTo(class int) bool { return class < len(s.mute) && s.mute[class] }

// count sums up each role anew.
func (r *Router) count() {
	r.mutes()
	for i := range r.roles {
		f := &r.roles[i]
		*f = roleFigures{rate: f.rate, fails: f.fails[:0], memory: 1e-9}
	}
	for _, s := range r.servers {
		if !s.listed {
			continue
		}
		f := &r.roles[s.role]
		f.listed++
		f.fails = append(f.fails, s.fail)
		f.idle += b2f(s.n == 0)
		f.own += float64(s.n)
		if !r.cold(s) {
			f.warm++
			f.count += s.count
		}
		f.well += b2f(!s.bad)
		f.memory += b2f(!s.bad) * cmp.Or(r.set.Kinds[s.Kind].Memory, 1)
		f.quiet += int(b2f(!s.bad && r.silent(s)))
	}
	r.flows()
	for i := range r.roles {
		f := &r.roles[i]
		if f.warm > 0 {
			f.rate = f.count / f.warm / memory.Seconds()
		}
		slices.Sort(f.fails)
	}
}

// flows sets the readers' parts of each cell and zone against the writers'.
func (r *Router) flows() {
	r.cells, r.zones = flows{}, flows{}
	for _, s := range r.servers {
		if !s.listed || s.bad || s.role == RoleMixed {
			continue
		}
		c, z := r.cells.at(s.Cell), r.zones.at(s.Zone)
		part := r.present(s) / r.roles[s.role].well
		if s.role == RolePrefill {
			c.reads, z.reads = c.reads+part, z.reads+part
		} else {
			c.writes, z.writes = c.writes+part, z.writes+part
		}
	}
}

// word is one that an attempt at a server is to give.
type word struct {
	q *request
	n int // of its attempts
}

func (w word) attempt() *attempt { return &w.q.att[w.n] }

// ask books the next attempt of q among those at s that wait for a word.
func (r *Router) ask(q *request, s *server) {
	if s.waits++; s.waits == 1 {
		s.heard = r.now
	}
	s.asked = append(s.asked, word{q, len(q.att)})
}

// hear books an attempt out of those that wait for a word and to be read; said tells that the server
// itself gave it.
func (r *Router) hear(a *attempt, said bool) {
	if a.quiet {
		a.s.waits--
	}
	a.s.unread = max(a.s.unread-a.unread, 0)
	a.quiet, a.unread = false, 0
	if said {
		a.s.heard = r.now
	}
}

// compare takes the time to a first token, or the time without one, at a mixed server against what a reader
// and a writer would have taken by their means.
func (r *Router) compare(a *attempt, ahead float64, took time.Duration) {
	if a.s.role == RoleMixed && ahead > 0 {
		r.mixedSlow += 0.2 * (took.Seconds()/(ahead*r.readPace+r.firstTime) - r.mixedSlow)
	}
}

// forget drops servers that have been off the list for goneFor and hold no attempt: names that never come
// back, as those of rolled pods, would cost memory and time for ever. One that comes back sooner keeps its
// past.
func (r *Router) forget() {
	r.servers = slices.DeleteFunc(r.servers, func(s *server) bool {
		if s.State == EndpointGone && s.goneAt == 0 {
			s.goneAt = r.now
		}
		old := s.State == EndpointGone && s.n == 0 && r.now-s.goneAt > goneFor
		if old {
			delete(r.byID, s.ID)
		}
		return old
	})
	slices.SortFunc(r.servers, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
}

// reshape marks that servers may be asked in another order from now on.
func (r *Router) reshape() {
	r.shape++
	r.stale = true
}

// draw is a number in (0, 1) that stays the same for a request.
func draw(salt, id uint64) float64 {
	return (float64(mix(salt^mix(id))>>11) + 0.5) / (1 << 53)
}

func (q *request) triedOn(s *server) bool {
	return slices.ContainsFunc(q.att, func(a attempt) bool { return a.s == s })
}

func without(qs []*request, q *request) []*request {
	return slices.DeleteFunc(qs, func(o *request) bool { return o == q })
}

// mix is a 64-bit finaliser; every front hashes alike.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func b2f(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// key is what homes a request: the beginning that it shares, else its session.
func (q *request) key() uint64 { return cmp.Or(q.Prefix, q.Session) }

var roleNames = [...]string{"reader", "writer", "mixed server"}
