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

// clients is the actor that simulates all clients of the scenario.
type clients struct {
	actorBase
	recorder
	fleet          *fleet
	rnd            *rand.Rand
	arrivals       *scenario.Arrivals
	conditions     scenario.Conditions
	score          *scenario.Score
	attempts       map[uint64]*clientAttempt // in flight, by attempt number
	lastAttempt    uint64
	openSessions   int           // sessions that have not ended
	lastSessionEnd time.Duration // time at which a session last ended
}

// clientRequest is the current request of a session.
type clientRequest struct {
	session    *scenario.Session
	sessionKey string
	sentAt     time.Duration // time of its first attempt
}

// clientAttempt is one attempt of a request: the client sends it to one replica.
type clientAttempt struct {
	number           uint64
	request          *clientRequest
	id               string // identifies the attempt in audit events: session.turn/attempt
	replica          int
	sentAt           time.Duration
	firstTokenAt     time.Duration // time of the first token; 0 = none yet
	outputTokens     int           // length of the answer
	disconnectsEarly bool          // the client disconnects before its deadline
}

// Messages between clients and replicas. They are immutable after they are sent.
type (
	// incomingRequest is a request sent by a client to a replica.
	incomingRequest struct {
		attempt        uint64
		classification api.Classification
		stream         bool
		timeout        time.Duration
		work           requestWork
	}
	// requestWork is the part of a request that a replica forwards to an engine.
	requestWork struct {
		promptTokens, prefixTokens float64
		prefix, session            string
		outputTokens               int
		class                      string
		idempotency                audit.Class
		intent, attempt            string // identify the client's request and its attempt in audit events
	}
	// clientDisconnected notifies a replica that the client closed its connection.
	clientDisconnected struct{ attempt uint64 }
	// streamStarted notifies a client that the first token of its stream was sent.
	streamStarted struct{ attempt uint64 }
	// answer is the final answer to a client's attempt, or the end of its connection without one.
	answer struct {
		attempt     uint64
		result      string
		retryAfter  time.Duration
		noAutoRetry bool
	}
)

// Results of a client's attempt, with the values that scenario.Session.AfterAttempt expects.
const (
	resultServed         = "served"
	resultRejected       = "refused"
	resultDraining       = "turned" // rejected by a replica that is shutting down
	resultFailed         = "failed"
	resultBroken         = "broken"      // the stream ended before the answer was complete
	resultConnectionLost = "cut"         // the replica was killed
	resultNotConnected   = "unconnected" // the replica accepts no connections
	resultDisconnected   = "hung up"     // the client disconnected
	resultTimeout        = "none"        // no answer before the client's timeout
)

// Messages that the clients actor schedules for itself.
type (
	sessionArrival struct{}
	// nextAttempt is the next attempt of a request, or the first attempt of the session's next turn.
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

// start schedules the faults that change client behavior, and the first session.
func (c *clients) start() {
	for _, change := range c.fleet.scenario.ConditionChanges() {
		c.schedule(change.At, conditionsChange{change.Apply})
	}
	c.schedule(c.arrivals.NextGap(&c.conditions), sessionArrival{})
}

func (c *clients) receive(message any) {
	switch m := message.(type) {
	case sessionArrival:
		c.startSession()
	case nextAttempt:
		c.sendAttempt(m.request)
	case conditionsChange:
		m.apply(&c.conditions)
	case streamStarted:
		if a := c.attempts[m.attempt]; a != nil && a.firstTokenAt == 0 {
			a.firstTokenAt = c.now()
		}
	case answer:
		c.onAnswer(m)
	case clientTimeout:
		c.onTimeout(m.attempt)
	}
}

// startSession sends the first request of a new session and schedules the next session. No session starts after the
// length of the scenario.
func (c *clients) startSession() {
	if c.now() > c.fleet.scenario.Length {
		return
	}
	session := c.arrivals.NextSession(&c.conditions)
	c.schedule(c.arrivals.NextGap(&c.conditions), sessionArrival{})
	c.openSessions++
	c.sendAttempt(&clientRequest{session: session, sessionKey: session.Key, sentAt: c.now()})
}

const (
	bytesPerToken   = 4 // of prompts, as in the replicas' settings
	maxAnswerFactor = 3 // limit on the length of an answer, as a multiple of the mean of the class
)

func (c *clients) sendAttempt(r *clientRequest) {
	session := r.session
	class := &c.fleet.scenario.Classes[session.Class]
	c.lastAttempt++
	a := &clientAttempt{
		number: c.lastAttempt, request: r, replica: session.PickReplica(len(c.fleet.replicas)), sentAt: c.now(),
	}
	a.id = fmt.Sprintf("%d.%d", session.ID, session.Turn) + "/" + strconv.Itoa(session.Attempts)
	message := newIncomingRequest(a, class)
	a.outputTokens = message.work.outputTokens
	c.attempts[a.number] = a
	c.send(c.fleet.replicas[a.replica].id, connectHops*c.fleet.linkDelay(c.rnd), message)
	timeout := class.Deadline
	if session.DisconnectAfter > 0 {
		a.disconnectsEarly, timeout = true, session.DisconnectAfter
	}
	c.schedule(timeout, clientTimeout{a.number})
}

// intent returns the ID of the request that an attempt belongs to; all attempts of the request share it.
func (a *clientAttempt) intent() string {
	intent, _, _ := strings.Cut(a.id, "/")
	return intent
}

func newIncomingRequest(a *clientAttempt, class *scenario.Class) incomingRequest {
	session, key, intent := a.request.session, a.request.sessionKey, a.intent()
	promptBytes, prefixBytes := session.PromptBytes()
	maxOutputTokens := int(class.AnswerTokens) * maxAnswerFactor
	work := requestWork{
		promptTokens: max(float64(promptBytes)/bytesPerToken, 1),
		prefixTokens: float64(prefixBytes) / bytesPerToken,
		session:      key,
		outputTokens: min(session.AnswerTokens, maxOutputTokens),
		class:        class.Name,
		idempotency:  audit.Class(class.Idempotency),
		intent:       intent,
		attempt:      a.id,
	}
	classification := api.Classification{
		Class:           session.Class,
		Tenant:          max(session.Tenant, 0),
		Session:         xxhash.Sum64String(key),
		PromptTokens:    float64((promptBytes + bytesPerToken - 1) / bytesPerToken),
		PrefixTokens:    float64(prefixBytes) / bytesPerToken,
		MaxOutputTokens: float64(maxOutputTokens),
		IsRetry:         session.MarksRetries && session.Retries > 0,
	}
	if prefixBytes > 0 {
		work.prefix = fmt.Sprintf("%d.%d.%d", session.Prefix.Seed[0], session.Prefix.Seed[1], prefixBytes)
		classification.Prefix = xxhash.Sum64String(work.prefix)
	}
	if work.idempotency == audit.IdempotentWithKey {
		classification.IdempotencyKey = intent
	}
	return incomingRequest{a.number, classification, session.Stream, class.Deadline, work}
}

// recordSent records that an attempt was sent. It is not called for attempts whose connection was refused, which were
// never sent.
func (c *clients) recordSent(a *clientAttempt) {
	class := &c.fleet.scenario.Classes[a.request.session.Class]
	c.record(a.sentAt, audit.Event{
		Kind: audit.AttemptSent, Attempt: a.id, Intent: a.intent(), Class: audit.Class(class.Idempotency),
		Replica: c.fleet.replicas[a.replica].name, Deadline: a.sentAt + class.Deadline,
	})
}

// onTimeout ends an attempt at the client's timeout, or at the time at which the client disconnects early. A stream
// that has started is not ended by the timeout.
func (c *clients) onTimeout(number uint64) {
	a := c.attempts[number]
	switch {
	case a == nil:
	case a.disconnectsEarly:
		c.record(c.now(), audit.Event{Kind: audit.ClientDisconnected, Attempt: a.id})
		c.send(c.fleet.replicas[a.replica].id, c.fleet.linkDelay(c.rnd), clientDisconnected{number})
		c.endAttempt(a, answer{attempt: number, result: resultDisconnected})
	case a.firstTokenAt == 0 || !a.request.session.Stream:
		c.send(c.fleet.replicas[a.replica].id, c.fleet.linkDelay(c.rnd), clientDisconnected{number})
		c.endAttempt(a, answer{attempt: number, result: resultTimeout})
	}
}

func (c *clients) onAnswer(m answer) {
	a := c.attempts[m.attempt]
	if a == nil {
		return
	}
	if session := a.request.session; session.ReadsSlowly && session.Stream && m.result == resultServed {
		if readUntil := a.firstTokenAt + time.Duration(a.outputTokens)*scenario.SlowReadDelay; readUntil > c.now() {
			c.schedule(readUntil-c.now(), m)
			return
		}
	}
	switch m.result {
	case resultNotConnected:
		replica := c.fleet.replicas[a.replica].name
		c.record(c.now(), audit.Event{Kind: audit.AttemptUnsent, Attempt: a.id, Replica: replica})
	case resultConnectionLost:
		c.record(c.now(), audit.Event{Kind: audit.ConnectionCut, Attempt: a.id})
	default:
		c.record(c.now(), audit.Event{Kind: audit.Answer, Attempt: a.id, Result: m.result})
	}
	if m.result == resultServed && a.firstTokenAt == 0 { // not streamed
		a.firstTokenAt = c.now()
	}
	c.endAttempt(a, m)
}

// endAttempt ends an attempt. Then the session retries the request, continues with its next turn or ends.
func (c *clients) endAttempt(a *clientAttempt, m answer) {
	delete(c.attempts, a.number)
	if m.result != resultNotConnected {
		c.recordSent(a)
	}
	r := a.request
	retry, delay := r.session.AfterAttempt(m.result, m.noAutoRetry, m.retryAfter, c.now()-r.sentAt)
	if retry {
		c.schedule(delay, nextAttempt{r})
		return
	}
	timeToFirstToken := time.Duration(0)
	if a.firstTokenAt > 0 {
		timeToFirstToken = a.firstTokenAt - r.sentAt
	}
	c.score.Add(r.session, r.sentAt, m.result, timeToFirstToken)
	hasNextTurn, delay := r.session.NextTurn(m.result, c.now() > c.fleet.scenario.Length, &c.conditions)
	if !hasNextTurn {
		c.openSessions--
		c.lastSessionEnd = c.now()
		return
	}
	next := &clientRequest{session: r.session, sessionKey: r.sessionKey, sentAt: c.now() + delay}
	c.schedule(delay, nextAttempt{next})
}
