package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Text identifies a text by what its words are drawn from; the zero Text is empty.
type Text struct {
	Seed   [2]uint64
	Tokens float64
}

// A text is made of words of eight bytes, two tokens each.
const (
	wordBytes  = 8
	wordTokens = 2
)

// Bytes returns the length of the text.
func (t Text) Bytes() int {
	if t.Tokens <= 0 {
		return 0
	}
	return wordBytes * int(math.Ceil(t.Tokens/wordTokens))
}

// Words returns the text itself.
func (t Text) Words() string {
	rnd := rand.New(rand.NewPCG(t.Seed[0], t.Seed[1]))
	b := make([]byte, 0, t.Bytes())
	for len(b) < t.Bytes() {
		b = fmt.Appendf(b, "%07x ", rnd.Uint32()>>4)
	}
	return string(b)
}

// Session is one client's conversation, with a random generator of its own, so that other sessions do not influence it.
// A client takes its turns one after the other; each is one request, with its retries.
type Session struct {
	ID            int64
	Key           string // of the conversation, as servers see it
	Class, Tenant int    // Tenant is -1 where the scenario has none
	Stream        bool
	Prefix        Text   // shared with other sessions
	Turns         []Text // of the client and the answers by turns
	Turn          int    // of the client, from 0
	Answer        int    // tokens that the engine answers

	// The present request.
	MarksRetries bool          // the client numbers its attempts
	HangUp       time.Duration // it disconnects after this; 0 = never
	Slow         bool          // it reads slowly
	Attempts     int           // that were sent
	Retries      int           // attempts before this one, as a client that numbers them counts

	scenario *Scenario
	seed     uint64
	rnd      *rand.Rand
	connects int  // failed connects of the present request
	single   bool // it has no further turn
}

// Parameters of the clients' draws that scenarios do not vary.
const (
	hotPrefixExtra     = 2000 // tokens by which the prefix of the fault hot-prefix is longer than that of the class
	sharedPrefixes     = 5    // of a class
	prefixSpread       = 1.5  // of the choice among them: the first is the most requested
	leastLength        = 0.3  // of the mean, the shortest text
	lengthSpread       = 1.4  // of the mean, the longest text less the shortest
	markingPart        = 0.5  // of clients that number their attempts
	maxHangUp          = time.Second
	meanPause          = 500 * time.Millisecond // between two turns
	maxTexts           = 20                     // of a session, both sides together
	maxConnects        = 20
	connectPause       = 100 * time.Millisecond
	firstTurnStream    = 10 // of a turn's text: below are those of prefixes
	hotPrefixGenerator = 99
)

func (s *Session) class() *Class { return &s.scenario.Classes[s.Class] }

func (s *Session) begin(c *Conditions) {
	class := s.class()
	s.Stream = s.rnd.Float64() >= class.NotStreamedPart
	switch {
	case s.rnd.Float64() < c.Hot:
		s.Prefix = Text{[2]uint64{hotPrefixGenerator, hotPrefixGenerator}, float64(class.PrefixTokens) + hotPrefixExtra}
	case s.rnd.Float64() < class.PrefixShare:
		choice := uint64(s.rnd.ExpFloat64()*prefixSpread) % sharedPrefixes
		s.Prefix = Text{[2]uint64{uint64(s.Class), choice}, float64(class.PrefixTokens)}
	}
	s.nextRequest(c)
}

// nextRequest draws the next request. One half of clients are programs on a published SDK, which retries by itself and
// marks it: whatever has no answer, 429 and 5xx, unless the answer says not to. The other half is careful and marks
// nothing: it retries any class after a rejection, but after an unknown outcome only what is idempotent.
func (s *Session) nextRequest(c *Conditions) {
	class := s.class()
	tokens := float64(class.PromptTokens) * s.lengthFactor()
	if long := s.rnd.Float64() < c.LongPart; long && (c.LongClass == "" || c.LongClass == class.Name) {
		tokens *= c.LongBy
	}
	s.addTurn(tokens)
	s.Answer = max(1, int(float64(class.AnswerTokens)*s.lengthFactor()))
	s.HangUp, s.Slow = 0, false
	if s.rnd.Float64() < c.HangUps {
		s.HangUp = time.Duration(s.rnd.Float64() * float64(maxHangUp))
	}
	s.Slow = s.rnd.Float64() < c.Slow
	s.MarksRetries = s.rnd.Float64() < markingPart
	s.Attempts, s.Retries, s.connects = 0, 0, 0
}

func (s *Session) lengthFactor() float64 { return leastLength + lengthSpread*s.rnd.Float64() }

func (s *Session) addTurn(tokens float64) {
	s.Turns = append(s.Turns, Text{[2]uint64{s.seed, uint64(len(s.Turns)) + firstTurnStream}, tokens})
}

// PickReplica draws the replica, out of n, that the next attempt goes to.
func (s *Session) PickReplica(n int) int {
	s.Attempts++
	return s.rnd.IntN(n)
}

// PromptBytes returns the length of the whole prompt, and of its shared prefix.
func (s *Session) PromptBytes() (all, prefix int) {
	if n := s.Prefix.Bytes(); n > 0 {
		prefix = len("system") + n
	}
	all = prefix
	for i, t := range s.Turns {
		all += len([]string{"user", "assistant"}[i%2]) + t.Bytes()
	}
	return all, prefix
}

// AfterAttempt returns whether the client retries after an attempt that ended with the given kind, and when.
// noAutoRetry and wait are what the answer said of retries; since is the time from the request's first attempt.
func (s *Session) AfterAttempt(
	kind string,
	noAutoRetry bool,
	wait, since time.Duration,
) (again bool, pause time.Duration) {
	class := s.class()
	switch kind {
	case "unconnected":
		s.connects++
		s.Attempts--
		return s.connects <= maxConnects && since <= class.Deadline, connectPause
	case "refused", "turned":
		again, pause = !s.MarksRetries || !noAutoRetry, wait
	case "failed", "cut":
		again = class.Idempotency != notIdempotent
		if s.MarksRetries {
			again = !noAutoRetry
		}
	}
	s.Retries++
	return again && s.Attempts <= s.scenario.Service.ClientRetries && since <= class.Deadline, pause
}

// NextTurn draws whether the conversation goes on after a request that ended with the given kind, and when.
func (s *Session) NextTurn(kind string, scenarioOver bool, c *Conditions) (more bool, pause time.Duration) {
	if s.single || scenarioOver || kind != "served" {
		return false, 0
	}
	if s.rnd.Float64()*s.class().Turns < 1 || len(s.Turns) > maxTexts {
		return false, 0
	}
	s.addTurn(float64(s.Answer))
	pause = time.Duration(s.rnd.ExpFloat64() * float64(meanPause))
	s.Turn++
	s.nextRequest(c)
	return true, pause
}
