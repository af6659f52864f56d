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

// clients is the actor of all clients of the scenario.
type clients struct {
	actorBase
	recorder
	fleet       *fleet
	rnd         *rand.Rand
	arrivals    *scenario.Arrivals
	conditions  scenario.Conditions
	score       *scenario.Score
	attempts    map[uint64]*clientAttempt // that are open, by number
	lastAttempt uint64
	open        int           // sessions
	lastEnd     time.Duration // when the last session ended
}

// clientRequest is the present request of a session.
type clientRequest struct {
	session *scenario.Session
	key     string
	sent    time.Duration // its first attempt
}

// clientAttempt is one sent request.
type clientAttempt struct {
	number     uint64
	request    *clientRequest
	id         string // in the record
	replica    int
	sent       time.Duration
	firstToken time.Duration // 0 = none yet
	out        int           // tokens of the answer
	hangsUp    bool          // the client disconnects early
}

// Messages between clients and replicas. Messages are not changed once they are sent.
type (
	// incomingRequest is a request on its way to a replica.
	incomingRequest struct {
		attempt uint64
		traits  api.Classification
		stream  bool
		wait    time.Duration
		work    requestWork
	}
	// requestWork is what an engine is sent of a request.
	requestWork struct {
		prompt, prefixLen float64
		prefix, session   string
		out               int
		class             string
		idempotency       audit.Class
		intent, attempt   string // of the record
	}
	// clientLeft notifies a replica that the client disconnected.
	clientLeft struct{ attempt uint64 }
	// streamBegan notifies a client of the first token.
	streamBegan struct{ attempt uint64 }
	// answer is the final answer.
	answer struct {
		attempt     uint64
		kind        string
		wait        time.Duration
		noAutoRetry bool
	}
)

// Kinds of answers and of ends without one, as scenario.Session takes them.
const (
	kindServed      = "served"
	kindRejected    = "refused"
	kindDraining    = "turned"
	kindFailed      = "failed"
	kindBroken      = "broken"
	kindCut         = "cut"
	kindUnconnected = "unconnected"
	kindHungUp      = "hung up"
	kindNone        = "none" // the client waited in vain
)

// Messages of clients to themselves.
type (
	sessionArrival struct{}
	// nextAttempt is the next attempt of a request, or the first of the next turn.
	nextAttempt      struct{ request *clientRequest }
	clientTimeout    struct{ attempt uint64 }
	conditionsChange struct {
		apply func(*scenario.Conditions)
	}
)

func newClients(f *fleet) *clients {
	arrivals := f.scenario.Arrivals()
	if f.options.Traffic != nil {
		arrivals = f.scenario.Replay(f.options.Traffic)
	}
	return &clients{
		recorder: recorder{enabled: f.options.Audit}, fleet: f, rnd: f.newRand(clientStream), arrivals: arrivals,
		conditions: scenario.NormalConditions(), score: f.scenario.Score(), attempts: map[uint64]*clientAttempt{},
	}
}

// begin schedules the faults that concern clients, and the first session.
func (c *clients) begin() {
	for _, change := range c.fleet.scenario.ConditionChanges() {
		c.schedule(change.At, conditionsChange{change.Apply})
	}
	c.schedule(c.arrivals.Gap(&c.conditions), sessionArrival{})
}

func (c *clients) receive(message any) {
	switch m := message.(type) {
	case sessionArrival:
		c.arrive()
	case nextAttempt:
		c.sendAttempt(m.request)
	case conditionsChange:
		m.apply(&c.conditions)
	case streamBegan:
		if a := c.attempts[m.attempt]; a != nil && a.firstToken == 0 {
			a.firstToken = c.now()
		}
	case answer:
		c.onAnswer(m)
	case clientTimeout:
		c.onTimeout(m.attempt)
	}
}

func (c *clients) arrive() {
	if c.now() > c.fleet.scenario.Length {
		return
	}
	session := c.arrivals.Next(&c.conditions)
	c.schedule(c.arrivals.Gap(&c.conditions), sessionArrival{})
	c.open++
	c.sendAttempt(&clientRequest{session: session, key: session.Key, sent: c.now()})
}

const (
	bytesPerToken = 4 // of prompts, as the replicas' settings state it
	maxAnswer     = 3 // times the mean of the class
)

func (c *clients) sendAttempt(r *clientRequest) {
	session := r.session
	class := &c.fleet.scenario.Classes[session.Class]
	c.lastAttempt++
	a := &clientAttempt{
		number: c.lastAttempt, request: r, replica: session.PickReplica(len(c.fleet.replicas)), sent: c.now(),
	}
	a.id = fmt.Sprintf("%d.%d", session.ID, session.Turn) + "/" + strconv.Itoa(session.Attempts)
	message := newIncomingRequest(a, class)
	a.out = message.work.out
	c.attempts[a.number] = a
	c.send(c.fleet.replicas[a.replica].id, connectHops*c.fleet.hop(c.rnd), message)
	timeout := class.Deadline
	if session.DisconnectAfter > 0 {
		a.hangsUp, timeout = true, session.DisconnectAfter
	}
	c.schedule(timeout, clientTimeout{a.number})
}

// intent identifies the request that an attempt belongs to.
func (a *clientAttempt) intent() string {
	intent, _, _ := strings.Cut(a.id, "/")
	return intent
}

func newIncomingRequest(a *clientAttempt, class *scenario.Class) incomingRequest {
	session, key, intent := a.request.session, a.request.key, a.intent()
	all, prefix := session.PromptBytes()
	limit := int(class.AnswerTokens) * maxAnswer
	work := requestWork{
		prompt:      max(float64(all)/bytesPerToken, 1),
		prefixLen:   float64(prefix) / bytesPerToken,
		session:     key,
		out:         min(session.AnswerTokens, limit),
		class:       class.Name,
		idempotency: audit.Class(class.Idempotency),
		intent:      intent,
		attempt:     a.id,
	}
	traits := api.Classification{
		Class:           session.Class,
		Tenant:          max(session.Tenant, 0),
		Session:         xxhash.Sum64String(key),
		PromptTokens:    float64((all + bytesPerToken - 1) / bytesPerToken),
		PrefixTokens:    float64(prefix) / bytesPerToken,
		MaxOutputTokens: float64(limit),
		Retry:           session.MarksRetries && session.Retries > 0,
	}
	if prefix > 0 {
		work.prefix = fmt.Sprintf("%d.%d.%d", session.Prefix.Seed[0], session.Prefix.Seed[1], prefix)
		traits.Prefix = xxhash.Sum64String(work.prefix)
	}
	if work.idempotency == audit.IdempotentWithKey {
		traits.IdempotencyKey = intent
	}
	return incomingRequest{a.number, traits, session.Stream, class.Deadline, work}
}

// recordSent records an attempt that reached a replica; one that found no replica was never sent.
func (c *clients) recordSent(a *clientAttempt) {
	class := &c.fleet.scenario.Classes[a.request.session.Class]
	c.record(a.sent, audit.Event{
		Kind: audit.Sent, Attempt: a.id, Intent: a.intent(), Class: audit.Class(class.Idempotency),
		Replica: c.fleet.replicas[a.replica].name, Deadline: a.sent + class.Deadline,
	})
}

// onTimeout ends the time that a client waits.
func (c *clients) onTimeout(number uint64) {
	a := c.attempts[number]
	switch {
	case a == nil:
	case a.hangsUp:
		c.record(c.now(), audit.Event{Kind: audit.ClientLeft, Attempt: a.id})
		c.send(c.fleet.replicas[a.replica].id, c.fleet.hop(c.rnd), clientLeft{number})
		c.end(a, answer{attempt: number, kind: kindHungUp})
	case a.firstToken == 0 || !a.request.session.Stream:
		c.send(c.fleet.replicas[a.replica].id, c.fleet.hop(c.rnd), clientLeft{number})
		c.end(a, answer{attempt: number, kind: kindNone})
	}
}

func (c *clients) onAnswer(m answer) {
	a := c.attempts[m.attempt]
	if a == nil {
		return
	}
	if session := a.request.session; session.ReadsSlowly && session.Stream && m.kind == kindServed {
		if until := a.firstToken + time.Duration(a.out)*scenario.SlowReadDelay; until > c.now() {
			c.schedule(until-c.now(), m)
			return
		}
	}
	switch m.kind {
	case kindUnconnected:
		replica := c.fleet.replicas[a.replica].name
		c.record(c.now(), audit.Event{Kind: audit.Unsent, Attempt: a.id, Replica: replica})
	case kindCut:
		c.record(c.now(), audit.Event{Kind: audit.ConnectionCut, Attempt: a.id})
	default:
		c.record(c.now(), audit.Event{Kind: audit.Answer, Attempt: a.id, Result: m.kind})
	}
	if m.kind == kindServed && a.firstToken == 0 { // not streamed
		a.firstToken = c.now()
	}
	c.end(a, m)
}

// end closes an attempt, and retries, goes on to the next turn or ends the session.
func (c *clients) end(a *clientAttempt, m answer) {
	delete(c.attempts, a.number)
	if m.kind != kindUnconnected {
		c.recordSent(a)
	}
	r := a.request
	again, pause := r.session.AfterAttempt(m.kind, m.noAutoRetry, m.wait, c.now()-r.sent)
	if again {
		c.schedule(pause, nextAttempt{r})
		return
	}
	firstToken := time.Duration(0)
	if a.firstToken > 0 {
		firstToken = a.firstToken - r.sent
	}
	c.score.Add(r.session, r.sent, m.kind, firstToken)
	more, pause := r.session.NextTurn(m.kind, c.now() > c.fleet.scenario.Length, &c.conditions)
	if !more {
		c.open--
		c.lastEnd = c.now()
		return
	}
	next := &clientRequest{session: r.session, key: r.key, sent: c.now() + pause}
	c.schedule(pause, nextAttempt{next})
}
