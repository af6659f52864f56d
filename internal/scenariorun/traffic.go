package scenariorun

import (
	"context"
	"fmt"
	"sync"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

const (
	// maxClients bounds the concurrent clients, each of which has a socket and a goroutine; scenarios stay well below it.
	maxClients = 4000
	// maxTokensFactor is the max_tokens of a request, as a multiple of the mean answer length of its class.
	maxTokensFactor = 3
)

// loadGenerator plays the clients of the scenario. Each session has a goroutine, which owns it.
type loadGenerator struct {
	run            *run
	start          time.Time
	end            time.Time     // after this no session starts and none draws another turn
	sessionSlots   chan struct{} // one element for each session in progress; bounds their number
	activeSessions sync.WaitGroup

	mu    sync.Mutex
	score *scenario.Score
}

func newLoadGenerator(r *run) *loadGenerator {
	return &loadGenerator{run: r, sessionSlots: make(chan struct{}, maxClients), score: r.scenario.Score()}
}

// generate starts sessions at the scenario's rate until its end, and waits until all have ended.
func (t *loadGenerator) generate(ctx context.Context, start time.Time) {
	t.start, t.end = start, start.Add(t.run.scenario.Length)
	conditions := &t.run.conditions
	arrivals := t.run.scenario.Arrivals()
	for arrivalTime := start; ; {
		arrivalTime = arrivalTime.Add(arrivals.NextGap(conditions.snapshot()))
		if arrivalTime.After(t.end) || !sleepUntil(ctx, arrivalTime) {
			break
		}
		session := arrivals.NextSession(conditions.snapshot())
		select {
		case t.sessionSlots <- struct{}{}:
		default: // there are maxClients already: the session is dropped
			continue
		}
		t.activeSessions.Go(func() {
			defer func() { <-t.sessionSlots }()
			t.runSession(session)
		})
	}
	t.activeSessions.Wait()
}

// runSession plays the turns of one session.
func (t *loadGenerator) runSession(session *scenario.Session) {
	request := t.newRequest(session)
	for {
		for len(request.Turns) < len(session.Messages) {
			request.Turns = append(request.Turns, session.Messages[len(request.Turns)].Words())
		}
		request.AnswerTokens = session.AnswerTokens
		outcome := t.send(session, request, fmt.Sprintf("%d.%d", session.ID, session.Turn))
		more, pause := session.NextTurn(outcome, time.Now().After(t.end), t.run.conditions.snapshot())
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// newRequest returns an attempt with the fields that all requests of a session share.
func (t *loadGenerator) newRequest(session *scenario.Session) client.Attempt {
	class := &t.run.scenario.Classes[session.Class]
	request := client.Attempt{
		Class:        audit.Class(class.Idempotency),
		ClassName:    class.Name,
		Session:      session.Key,
		MaxTokens:    int(class.AnswerTokens) * maxTokensFactor,
		Stream:       session.Stream,
		Timeout:      class.Deadline,
		SystemPrompt: session.Prefix.Words(),
	}
	if session.Tenant >= 0 {
		request.Tenant = t.run.scenario.Tenants[session.Tenant].Name
	}
	return request
}

// send sends a request, retries it as its client does, and returns how the last attempt ended.
func (t *loadGenerator) send(session *scenario.Session, request client.Attempt, intent string) string {
	request.Intent = intent
	request.DisconnectAfter, request.MarksRetries = session.DisconnectAfter, session.MarksRetries
	if request.Class == audit.IdempotentWithKey {
		request.IdempotencyKey = fmt.Sprintf("key-%d-%s", t.run.scenario.Seed, intent)
	}
	if session.ReadsSlowly {
		request.ReadDelay = scenario.SlowReadDelay
	}
	replicas := t.run.replicas.members
	start := time.Now()
	for {
		replica := replicas[session.PickReplica(len(replicas))]
		request.ID, request.Retries = fmt.Sprintf("%s/%d", intent, session.Attempts), session.Retries
		elapsed := time.Since(start)
		result := client.Send(&request, replica.name, replica.addr, t.run.record)
		if result.FirstToken > 0 {
			result.FirstToken += elapsed
		}
		retry, pause := session.AfterAttempt(result.Outcome, result.NoAutoRetry, result.RetryAfter, time.Since(start))
		if !retry {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.score.Add(session, start.Sub(t.start), result.Outcome, result.FirstToken)
			return result.Outcome
		}
		time.Sleep(pause)
	}
}
