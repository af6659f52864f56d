package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Text identifies a generated text by the seed of its words and its length. The zero Text is empty.
type Text struct {
	Seed   [2]uint64
	Tokens float64
}

// A text consists of words of eight bytes, which count as two tokens.
const (
	wordBytes  = 8
	wordTokens = 2
)

// Bytes returns the length of the text in bytes.
func (t Text) Bytes() int {
	if t.Tokens <= 0 {
		return 0
	}
	return wordBytes * int(math.Ceil(t.Tokens/wordTokens))
}

// Words generates the text.
func (t Text) Words() string {
	rnd := rand.New(rand.NewPCG(t.Seed[0], t.Seed[1]))
	b := make([]byte, 0, t.Bytes())
	for len(b) < t.Bytes() {
		b = fmt.Appendf(b, "%07x ", rnd.Uint32()>>4)
	}
	return string(b)
}

// Session is one client's conversation. It has a random generator of its own, so that other sessions do not influence
// its draws. The client takes its turns one after the other; each turn is one request, with its retries.
type Session struct {
	ID            int64
	Key           string // identifies the session to the service
	Class, Tenant int    // indices; Tenant is -1 if the scenario has none
	Stream        bool
	Prefix        Text   // of the prompts, shared with other sessions
	Messages      []Text // of the client and of the engine, alternately
	Turn          int    // number of the current turn, from 0
	AnswerTokens  int    // length of the answer to the current request

	// Of the current request:
	MarksRetries    bool          // the client sends the number of its earlier attempts
	DisconnectAfter time.Duration // 0 = the client stays connected
	ReadsSlowly     bool
	Attempts        int // sent so far, without those that failed to connect
	Retries         int // earlier attempts, as a client that marks its retries counts them

	scenario       *Scenario
	seed           uint64
	rnd            *rand.Rand
	failedConnects int  // of the current request
	isSingleTurn   bool // of a replayed request: no further turn follows
}

// Parameters of the clients that scenarios do not vary.
const (
	hotPrefixExtraTokens   = 2000 // added to the length of the class's prefix for that of the fault hot-prefix
	sharedPrefixesPerClass = 5
	meanPrefixChoice       = 1.5 // mean of the exponential draw that selects a shared prefix: the first is most frequent
	minLengthFactor        = 0.3 // shortest text, as a multiple of the mean
	lengthFactorRange      = 1.4 // longest text less the shortest, as a multiple of the mean
	markedRetryFraction    = 0.5 // fraction of requests whose client marks its retries
	maxDisconnectAfter     = time.Second
	meanThinkTime          = 500 * time.Millisecond // between two turns
	maxMessages            = 20                     // of a session; it ends with the turn that exceeds this
	maxFailedConnects      = 20
	reconnectDelay         = 100 * time.Millisecond
	firstMessageStream     = 10 // PCG stream of a session's first message; lower ones are those of prefixes
	hotPrefixSeed          = 99
)

func (s *Session) class() *Class { return &s.scenario.Classes[s.Class] }

func (s *Session) drawFirstRequest(c *Conditions) {
	class := s.class()
	s.Stream = s.rnd.Float64() >= class.NotStreamedFraction
	switch {
	case s.rnd.Float64() < c.HotPrefixFraction:
		s.Prefix = Text{[2]uint64{hotPrefixSeed, hotPrefixSeed}, float64(class.PrefixTokens) + hotPrefixExtraTokens}
	case s.rnd.Float64() < class.PrefixShare:
		choice := uint64(s.rnd.ExpFloat64()*meanPrefixChoice) % sharedPrefixesPerClass
		s.Prefix = Text{[2]uint64{uint64(s.Class), choice}, float64(class.PrefixTokens)}
	}
	s.drawNextRequest(c)
}

// drawNextRequest draws the next request. For about half of the requests the client behaves like a published SDK, which
// marks its retries: it retries without regard to idempotency if there is no answer, or on 429 and 5xx, unless the
// answer forbids it. For the others it is careful and does not mark retries: after a rejection it retries any request,
// but after an unknown outcome only one that is idempotent, with or without a key.
func (s *Session) drawNextRequest(c *Conditions) {
	class := s.class()
	tokens := float64(class.PromptTokens) * s.lengthFactor()
	if long := s.rnd.Float64() < c.LongPromptFraction; long &&
		(c.LongPromptClass == "" || c.LongPromptClass == class.Name) {
		tokens *= c.LongPromptFactor
	}
	s.addMessage(tokens)
	s.AnswerTokens = max(1, int(float64(class.AnswerTokens)*s.lengthFactor()))
	s.DisconnectAfter, s.ReadsSlowly = 0, false
	if s.rnd.Float64() < c.DisconnectFraction {
		s.DisconnectAfter = time.Duration(s.rnd.Float64() * float64(maxDisconnectAfter))
	}
	s.ReadsSlowly = s.rnd.Float64() < c.SlowReadFraction
	s.MarksRetries = s.rnd.Float64() < markedRetryFraction
	s.Attempts, s.Retries, s.failedConnects = 0, 0, 0
}

func (s *Session) lengthFactor() float64 { return minLengthFactor + lengthFactorRange*s.rnd.Float64() }

func (s *Session) addMessage(tokens float64) {
	s.Messages = append(s.Messages, Text{[2]uint64{s.seed, uint64(len(s.Messages)) + firstMessageStream}, tokens})
}

// PickReplica counts an attempt and draws the replica, out of n, that it is sent to.
func (s *Session) PickReplica(n int) int {
	s.Attempts++
	return s.rnd.IntN(n)
}

// PromptBytes returns the lengths of the whole prompt and of its shared prefix, with the names of the messages' roles.
func (s *Session) PromptBytes() (total, prefix int) {
	if n := s.Prefix.Bytes(); n > 0 {
		prefix = len("system") + n
	}
	total = prefix
	for i, t := range s.Messages {
		total += len([]string{"user", "assistant"}[i%2]) + t.Bytes()
	}
	return total, prefix
}

// AfterAttempt returns whether the client retries after an attempt with the given outcome, and after which
// delay. noAutoRetry and retryAfter are what the answer says about retries; elapsed is the time since the request's
// first attempt.
func (s *Session) AfterAttempt(
	outcome string,
	noAutoRetry bool,
	retryAfter, elapsed time.Duration,
) (retry bool, delay time.Duration) {
	class := s.class()
	switch outcome {
	case "unconnected":
		s.failedConnects++
		s.Attempts--
		return s.failedConnects <= maxFailedConnects && elapsed <= class.Deadline, reconnectDelay
	case "refused", "turned":
		retry, delay = !s.MarksRetries || !noAutoRetry, retryAfter
	case "failed", "cut":
		retry = class.Idempotency != notIdempotent
		if s.MarksRetries {
			retry = !noAutoRetry
		}
	}
	s.Retries++
	return retry && s.Attempts <= s.scenario.Service.ClientRetries && elapsed <= class.Deadline, delay
}

// NextTurn draws whether the session continues after a request with the given outcome, and after which pause.
func (s *Session) NextTurn(outcome string, scenarioOver bool, c *Conditions) (more bool, pause time.Duration) {
	if s.isSingleTurn || scenarioOver || outcome != "served" {
		return false, 0
	}
	if s.rnd.Float64()*s.class().Turns < 1 || len(s.Messages) > maxMessages {
		return false, 0
	}
	s.addMessage(float64(s.AnswerTokens))
	pause = time.Duration(s.rnd.ExpFloat64() * float64(meanThinkTime))
	s.Turn++
	s.drawNextRequest(c)
	return true, pause
}
