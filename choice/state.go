package choice

import (
	"cmp"
	"slices"
	"time"
)

// What a Router remembers, and helpers with no decision in them; choice.go decides.

// Router decides for one front. It is not safe for concurrent use.
type Router struct {
	set          Settings
	salt         uint64
	now          time.Duration
	out          []Action
	byID         map[ServerID]*server
	servers      []*server // by id
	reqs         map[RequestID]*request
	held         []*request // waiting for room, no state anywhere
	parked       []*request // read, waiting for a writer
	order        []ranked   // used again by home
	tenants      []bucket
	newTokens    []float64     // mean unread tokens of a prompt, by class
	readPace     float64       // mean reading seconds a token, own queue included
	firstTime    float64       // mean seconds from a writer's send to the first token
	mixedDebt    float64       // whole requests that mixed servers have yet to take
	released     int           // releases since the last promotion
	wakeAt       time.Duration // the earliest wake-up asked for and not come yet; 0 = none
	judgeAt      time.Duration // servers are judged again
	roles        [Mixed + 1]roleFigures
	cells, zones map[int]flow
	shed         float64 // part of new requests that is refused
	feltAt       time.Duration
	keys         map[uint64]float64 // requests seen, by key
	keysAll      float64
	fadeAt       time.Duration
	askAt        time.Duration
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
}

// flow is the part of all reads that a cell or zone is taken to make, and of all answers that it can write.
type flow struct{ reads, writes float64 }

// short is how far the readers' part lacks behind the writers'.
func (f flow) short() float64 { return max(1-f.reads/max(f.writes, 1e-9), 1e-9) }

// server is what this front knows of one server.
type server struct {
	Server
	role   Role
	listed bool
	n      int     // own attempts out
	tokens float64 // charged to them
	unread float64 // own prompt tokens waiting to be read there
	pace1  float64 // seconds a waiting token takes, own queue included
	kept   map[uint64]float64
	full   time.Duration   // no room until
	sends  []time.Duration // to a cold server, in the last window
	slow   float64         // own reads there against the mean pace; fades
	homed  float64         // requests whose first choice it was of late

	fail   float64       // share of late outcomes that failed, of the class that failed least
	fails  []float64     // the same, by class; fades
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
	reader  *server // where its read state waits
	stateAt time.Duration
	read    bool // some read was sent: state may be held
	ran     bool // an attempt may have run, on
	ranOn   *server
	ranAt   time.Duration
	started bool // its stream runs
	shed    bool // refused on arrival
	over    bool // beyond its tenant's share
	homed   bool // counted at its home
	starved bool // promoted: its own tokens no longer count to the bound
	ended   bool
}

// ranked is a server in the hash order of a prefix.
type ranked struct {
	s    *server
	hash uint64
}

type bucket struct{ level, rate float64 }

// oldest finds the request that has waited longest, since before limit at least.
func oldest(qs []*request, limit time.Duration) int {
	best := -1
	for i, q := range qs {
		if q.at < limit && (best < 0 || q.at < qs[best].at) {
			best = i
		}
	}
	return best
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

func b2f(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// key is what homes a request: the beginning that it shares, else its session.
func (q *request) key() uint64 { return cmp.Or(q.Prefix, q.Session) }

var roleNames = [...]string{"reader", "writer", "mixed server"}
