package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Conditions is what happenings change of what clients do.
type Conditions struct {
	Surge     float64            // times the rate
	Mix       map[string]float64 // times the shares of classes
	LongPart  float64            // of prompts, LongBy times as long
	LongBy    float64
	LongClass string
	Hot       float64 // part of sessions that begin with one text
	HangUps   float64
	Slow      float64 // part of clients that read slowly
}

// SlowReadDelay is how long a slow client pauses after each token of a stream.
const SlowReadDelay = 50 * time.Millisecond

// FlapInterval is how often a flapping engine comes onto the list or goes off it.
const FlapInterval = 300 * time.Millisecond

// NormalConditions is a mood in which nothing happens.
func NormalConditions() Conditions { return Conditions{Surge: 1} }

// Change lets a happening change the mood; undo takes it back. nil: it is none of the clients'.
func (m *Conditions) Change(h *Fault) (undo func(*Conditions)) {
	switch h.What {
	case "surge":
		m.Surge = cmp.Or(h.Factor, 2)
		return func(m *Conditions) { m.Surge = 1 }
	case "mix":
		class := h.Class
		set := func(m *Conditions, v float64) {
			mix := map[string]float64{class: v} // others may still look at the old one
			for k, v := range m.Mix {
				if k != class {
					mix[k] = v
				}
			}
			m.Mix = mix
		}
		set(m, cmp.Or(h.Factor, 1))
		return func(m *Conditions) { set(m, 1) }
	case "overlong":
		m.LongPart, m.LongBy, m.LongClass = cmp.Or(h.Part, 0.02), cmp.Or(h.Factor, 10), h.Class
		return func(m *Conditions) { m.LongPart = 0 }
	case "hot-prefix":
		m.Hot = cmp.Or(h.Part, 0.2)
		return func(m *Conditions) { m.Hot = 0 }
	case "hang-ups":
		m.HangUps = cmp.Or(h.Part, 0.1)
		return func(m *Conditions) { m.HangUps = 0 }
	case "slow-readers":
		m.Slow = cmp.Or(h.Part, 0.1)
		return func(m *Conditions) { m.Slow = 0 }
	}
	return nil
}

// ConditionChange is a change of the clients' mood at a time of the day.
type ConditionChange struct {
	At time.Duration
	Do func(*Conditions)
}

// ConditionChanges are the changes that the day's happenings make, by time.
func (d *Scenario) ConditionChanges() (all []ConditionChange) {
	for i := range d.Faults {
		h := &d.Faults[i]
		calm := NormalConditions()
		if calm.Change(h) == nil {
			continue
		}
		var undo func(*Conditions)
		all = append(all, ConditionChange{h.At, func(m *Conditions) { undo = m.Change(h) }}, ConditionChange{h.At + h.For, func(m *Conditions) { undo(m) }})
	}
	slices.SortStableFunc(all, func(a, b ConditionChange) int { return cmp.Compare(a.At, b.At) })
	return all
}

// partOfRequests are the happenings whose part is of an engine's requests; that of others is of engines.
var partOfRequests = []string{"fail-fast", "reset-mid-stream", "reset-after-request", "reset-after-effect", "fail-after-effect", "stall-after-effect"}

// Draw picks from the engines that a happening may strike as many as it strikes; it reorders them.
func Draw[E any](h *Fault, rnd *rand.Rand, from []E) []E {
	n := max(h.Count, 1)
	if h.Count == 0 && h.Part > 0 && !slices.Contains(partOfRequests, h.What) {
		n = int(math.Ceil(h.Part * float64(len(from))))
	}
	rnd.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	return from[:min(n, len(from))]
}

// Arrivals draws sessions as they begin.
type Arrivals struct {
	d     *Scenario
	rnd   *rand.Rand
	turns float64
	n     int64

	replay bool
	list   []RecordedRequest // that are to come
	at     time.Duration     // of the last
}

// Arrivals begins the day's course of sessions.
func (d *Scenario) Arrivals() *Arrivals {
	a := &Arrivals{d: d, rnd: rand.New(rand.NewPCG(uint64(d.Seed), 2))}
	for _, c := range d.Classes {
		a.turns += c.Share * c.Turns
	}
	return a
}

// Gap is the time until the next session.
func (a *Arrivals) Gap(m *Conditions) time.Duration {
	if a.replay {
		return a.nextGap()
	}
	return time.Duration(a.rnd.ExpFloat64() / (float64(a.d.Rate) / a.turns * m.Surge) * float64(time.Second))
}

// Next is the session that begins.
func (a *Arrivals) Next(m *Conditions) *Session {
	a.n++
	seed := a.rnd.Uint64()
	s := &Session{ID: a.n, Key: fmt.Sprint("s", a.n), d: a.d, seed: seed, rnd: rand.New(rand.NewPCG(seed, 3)), Tenant: -1}
	if a.replay {
		a.nextRecorded(s, m)
		return s
	}
	shares, all := make([]float64, len(a.d.Classes)), 0.0
	for i, c := range a.d.Classes {
		shares[i] = c.Share
		if v, ok := m.Mix[c.Name]; ok {
			shares[i] *= v
		}
		all += shares[i]
	}
	s.Class = draw(s.rnd.Float64()*all, len(shares), func(i int) float64 { return shares[i] })
	if n := len(a.d.Tenants); n > 0 {
		s.Tenant = draw(s.rnd.Float64(), n, func(i int) float64 { return a.d.Tenants[i].Share })
	}
	s.begin(m)
	return s
}

// draw picks an index by shares.
func draw(u float64, n int, share func(int) float64) int {
	for i := range n {
		if u -= share(i); u < 0 {
			return i
		}
	}
	return n - 1
}

// Text names a text by what its words are drawn from; the zero Text is none.
type Text struct {
	Seed   [2]uint64
	Tokens float64
}

// Bytes is how long the text is: it is made of words of eight.
func (t Text) Bytes() int {
	if t.Tokens <= 0 {
		return 0
	}
	return 8 * int(math.Ceil(t.Tokens/2))
}

// Words is the text itself.
func (t Text) Words() string {
	rnd := rand.New(rand.NewPCG(t.Seed[0], t.Seed[1]))
	b := make([]byte, 0, t.Bytes())
	for len(b) < t.Bytes() {
		b = fmt.Appendf(b, "%07x ", rnd.Uint32()>>4)
	}
	return string(b)
}

// Session is one client's conversation, with draws of its own, so that what others do changes nothing in it. A client
// takes its turns one after the other; each is one request, with its retries.
type Session struct {
	ID            int64
	Key           string // of the conversation, as servers see it
	Class, Tenant int    // Tenant is -1 where the day has none
	Stream        bool
	Prefix        Text   // shared
	Turns         []Text // of the client and the answers by turns
	Turn          int    // of the client, from 0
	Answer        int    // tokens that the engine answers

	// of the present request
	MarksRetries bool          // the client numbers its tries
	HangUp       time.Duration // it leaves after this; 0 = never
	Slow         bool          // it reads slowly
	Attempts     int           // that were sent
	Retries      int           // tries before this one, as a marked client counts them

	d        *Scenario
	seed     uint64
	rnd      *rand.Rand
	connects int
	single   bool // it has no further turn
}

func (s *Session) begin(m *Conditions) {
	c := &s.d.Classes[s.Class]
	s.Stream = s.rnd.Float64() >= c.NotStreamedPart
	switch {
	case s.rnd.Float64() < m.Hot:
		s.Prefix = Text{[2]uint64{99, 99}, float64(c.PrefixTokens) + 2000}
	case s.rnd.Float64() < c.PrefixShare: // five shared texts a class, the first the most asked for
		s.Prefix = Text{[2]uint64{uint64(s.Class), uint64(s.rnd.ExpFloat64()*1.5) % 5}, float64(c.PrefixTokens)}
	}
	s.ask(m)
}

// ask draws the next request. One half of clients are programs on a published SDK, which repeats by itself and marks it:
// whatever has no answer, 429 and 5xx, unless it is told not to. The other half is careful and marks nothing: after a
// refusal any class, after an unknown end only what may be repeated.
func (s *Session) ask(m *Conditions) {
	c := &s.d.Classes[s.Class]
	n := float64(c.PromptTokens) * (0.3 + 1.4*s.rnd.Float64())
	if long := s.rnd.Float64() < m.LongPart; long && (m.LongClass == "" || m.LongClass == c.Name) {
		n *= m.LongBy
	}
	s.say(n)
	s.Answer = max(1, int(float64(c.AnswerTokens)*(0.3+1.4*s.rnd.Float64())))
	s.HangUp, s.Slow = 0, false
	if s.rnd.Float64() < m.HangUps {
		s.HangUp = time.Duration(s.rnd.Float64() * float64(time.Second))
	}
	s.Slow = s.rnd.Float64() < m.Slow
	s.MarksRetries = s.rnd.Float64() < 0.5
	s.Attempts, s.Retries, s.connects = 0, 0, 0
}

func (s *Session) say(tokens float64) {
	s.Turns = append(s.Turns, Text{[2]uint64{s.seed, uint64(len(s.Turns)) + 10}, tokens})
}

// PickReplica draws the front that the next try goes to.
func (s *Session) PickReplica(n int) int {
	s.Attempts++
	return s.rnd.IntN(n)
}

// PromptBytes is the length of the whole prompt, and of its shared beginning.
func (s *Session) PromptBytes() (all, beginning int) {
	if n := s.Prefix.Bytes(); n > 0 {
		beginning = len("system") + n
	}
	all = beginning
	for i, t := range s.Turns {
		all += len([]string{"user", "assistant"}[i%2]) + t.Bytes()
	}
	return all, beginning
}

// AfterAttempt tells whether the client tries again after an end of its try, and when. since is how long ago it first asked.
func (s *Session) AfterAttempt(kind string, handUp bool, wait, since time.Duration) (again bool, pause time.Duration) {
	c := &s.d.Classes[s.Class]
	switch kind {
	case "unconnected":
		s.connects++
		s.Attempts--
		return s.connects <= 20 && since <= c.Deadline, 100 * time.Millisecond
	case "refused", "turned":
		again, pause = !s.MarksRetries || !handUp, wait
	case "failed", "cut":
		again = c.Idempotency != "unsafe"
		if s.MarksRetries {
			again = !handUp
		}
	}
	s.Retries++
	return again && s.Attempts <= s.d.Service.ClientRetries && since <= c.Deadline, pause
}

// NextTurn draws whether the conversation goes on after a request that ended so, and when.
func (s *Session) NextTurn(kind string, dayOver bool, m *Conditions) (more bool, pause time.Duration) {
	if s.single || dayOver || kind != "served" || s.rnd.Float64()*s.d.Classes[s.Class].Turns < 1 || len(s.Turns) > 20 {
		return false, 0
	}
	s.say(float64(s.Answer))
	pause = time.Duration(s.rnd.ExpFloat64() * float64(500*time.Millisecond))
	s.Turn++
	s.ask(m)
	return true, pause
}
