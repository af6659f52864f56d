package fleet

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brackenbend/internal/api"
	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
)

// clients are all clients of the day.
type clients struct {
	base
	tap
	f        *fleet
	rnd      *rand.Rand
	arrivals *scenario.Arrivals
	mood     scenario.Conditions
	score    *scenario.Score
	tries    map[uint64]*try
	n        uint64
	open     int           // sessions under way
	quiet    time.Duration // when the last one ended
}

// talk is a session under way.
type talk struct {
	s     *scenario.Session
	name  string
	asked time.Duration // when the present request was first sent
}

// try is one sent request.
type try struct {
	n     uint64
	t     *talk
	id    string
	front int
	sent  time.Duration
	first time.Duration // 0 = none yet
	out   int           // tokens of the answer
	hung  bool          // it leaves by itself
}

// What clients and fronts say to each other. Messages are not changed once they are sent.
type (
	// asks is a request on its way.
	asks struct {
		try    uint64
		traits api.Classification
		stream bool
		wait   time.Duration
		work   work
	}
	// work is what an engine is told of a request.
	work struct {
		prompt, prefixLen float64
		prefix, session   string
		out               int
		class             string
		effect            audit.Class
		intent, id        string // of the record
	}
	// leaves tells the front that the client hung up.
	leaves struct{ try uint64 }
	// begins tells the client of the first token, answers of the end.
	begins  struct{ try uint64 }
	answers struct {
		try    uint64
		kind   string
		wait   time.Duration
		handUp bool
	}
)

// What clients say to themselves.
type (
	arrival struct{}
	// goOn is the next try, or the next turn, of a session.
	goOn   struct{ t *talk }
	giveUp struct{ try uint64 }
	moods  struct{ change func(*scenario.Conditions) }
)

func newClients(f *fleet) *clients {
	arrivals := f.d.Arrivals()
	if f.o.Traffic != nil {
		arrivals = f.d.Replay(f.o.Traffic)
	}
	return &clients{f: f, rnd: f.rnd(1), arrivals: arrivals, mood: scenario.NormalConditions(), score: f.d.Score(), tries: map[uint64]*try{}, tap: tap{taped: f.o.Audit}}
}

// begin plans the happenings that are the clients' own, and the first session.
func (c *clients) begin() {
	for _, m := range c.f.d.ConditionChanges() {
		c.later(m.At, moods{m.Do})
	}
	c.later(c.arrivals.Gap(&c.mood), arrival{})
}

func (c *clients) take(m any) {
	switch m := m.(type) {
	case arrival:
		if c.now() > c.f.d.Length {
			return
		}
		s := c.arrivals.Next(&c.mood)
		c.later(c.arrivals.Gap(&c.mood), arrival{})
		c.open++
		c.request(&talk{s: s, name: s.Key})
	case goOn:
		c.ask(m.t)
	case moods:
		m.change(&c.mood)
	case begins:
		if t := c.tries[m.try]; t != nil && t.first == 0 {
			t.first = c.now()
		}
	case answers:
		c.answered(m)
	case giveUp:
		c.gaveUp(m.try)
	}
}

func (c *clients) request(t *talk) {
	t.asked = c.now()
	c.ask(t)
}

// ask sends a try.
func (c *clients) ask(t *talk) {
	s, d := t.s, c.f.d
	class := &d.Classes[s.Class]
	c.n++
	x := &try{n: c.n, t: t, front: s.PickReplica(len(c.f.fronts)), sent: c.now()}
	intent := fmt.Sprintf("%d.%d", s.ID, s.Turn)
	x.id = intent + "/" + strconv.Itoa(s.Attempts)
	all, beginning := s.PromptBytes()
	w := work{
		prompt: max(float64(all)/4, 1), prefixLen: float64(beginning) / 4, session: t.name, out: min(s.Answer, int(class.AnswerTokens)*3), class: class.Name,
		effect: audit.Class(class.Idempotency), intent: intent, id: x.id,
	}
	tr := api.Classification{
		Class: s.Class, Tenant: max(s.Tenant, 0), Session: xxhash.Sum64String(t.name), PromptTokens: float64((all + 3) / 4),
		PrefixTokens: float64(beginning) / 4, MaxOutputTokens: float64(int(class.AnswerTokens) * 3), Retry: s.MarksRetries && s.Retries > 0,
	}
	if beginning > 0 {
		w.prefix = fmt.Sprintf("%d.%d.%d", s.Prefix.Seed[0], s.Prefix.Seed[1], beginning)
		tr.Prefix = xxhash.Sum64String(w.prefix)
	}
	if class.Idempotency == "keyed" {
		tr.IdempotencyKey = intent
	}
	x.out = w.out
	c.tries[x.n] = x
	front := c.f.fronts[x.front]
	c.send(front.id, 3*c.f.hop(c.rnd), asks{x.n, tr, s.Stream, class.Deadline, w})
	end := class.Deadline
	if s.HangUp > 0 {
		x.hung, end = true, s.HangUp
	}
	c.later(end, giveUp{x.n})
}

// taken records a try that a front took; one that met no front was never sent.
func (c *clients) taken(x *try) {
	class := &c.f.d.Classes[x.t.s.Class]
	intent, _, _ := strings.Cut(x.id, "/")
	c.record(x.sent, audit.Event{
		Kind: audit.Sent, Attempt: x.id, Intent: intent, Class: audit.Class(class.Idempotency), Replica: c.f.fronts[x.front].name,
		Deadline: x.sent + class.Deadline,
	})
}

// gaveUp is the end of the time that a client waits.
func (c *clients) gaveUp(n uint64) {
	x := c.tries[n]
	switch {
	case x == nil:
	case x.hung:
		c.record(c.now(), audit.Event{Kind: audit.ClientLeft, Attempt: x.id})
		c.send(c.f.fronts[x.front].id, c.f.hop(c.rnd), leaves{n})
		c.ended(x, answers{try: n, kind: "hung up"})
	case x.first == 0 || !x.t.s.Stream:
		c.send(c.f.fronts[x.front].id, c.f.hop(c.rnd), leaves{n})
		c.ended(x, answers{try: n, kind: "none"})
	}
}

func (c *clients) answered(m answers) {
	x := c.tries[m.try]
	if x == nil {
		return
	}
	if s := x.t.s; s.Slow && s.Stream && m.kind == "served" {
		if until := x.first + time.Duration(x.out)*scenario.SlowReadDelay; until > c.now() {
			c.later(until-c.now(), m)
			return
		}
	}
	switch m.kind {
	case "unconnected":
		c.record(c.now(), audit.Event{Kind: audit.Unsent, Attempt: x.id, Replica: c.f.fronts[x.front].name})
	case "cut":
		c.record(c.now(), audit.Event{Kind: audit.ConnectionCut, Attempt: x.id})
	default:
		c.record(c.now(), audit.Event{Kind: audit.Answer, Attempt: x.id, Result: m.kind})
	}
	if m.kind == "served" && x.first == 0 { // whole
		x.first = c.now()
	}
	c.ended(x, m)
}

func (c *clients) ended(x *try, m answers) {
	delete(c.tries, x.n)
	if m.kind != "unconnected" {
		c.taken(x)
	}
	t := x.t
	again, pause := t.s.AfterAttempt(m.kind, m.handUp, m.wait, c.now()-t.asked)
	if again {
		c.later(pause, goOn{t})
		return
	}
	first := time.Duration(0)
	if x.first > 0 {
		first = x.first - t.asked
	}
	c.score.Add(t.s, t.asked, m.kind, first)
	more, pause := t.s.NextTurn(m.kind, c.now() > c.f.d.Length, &c.mood)
	if !more {
		c.open--
		c.quiet = c.now()
		return
	}
	next := &talk{s: t.s, name: t.name, asked: c.now() + pause}
	c.later(pause, goOn{next})
}
