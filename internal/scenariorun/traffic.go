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
	// maxClients bounds the clients at once, each of which has a socket and a goroutine; scenarios stay well below it.
	maxClients = 4000
	// maxTokensFactor is how much longer than the mean answer of its class a request allows its answer to be.
	maxTokensFactor = 3
)

// traffic are the clients of the scenario. Each session has a goroutine, which owns it.
type traffic struct {
	run      *run
	began    time.Time
	end      time.Time     // no turn begins after it
	slots    chan struct{} // bounds clients at once
	sessions sync.WaitGroup

	mu    sync.Mutex
	score *scenario.Score
}

func newTraffic(r *run) *traffic {
	return &traffic{run: r, slots: make(chan struct{}, maxClients), score: r.scenario.Score()}
}

// play lets sessions begin at their rate until the scenario is over, and waits for their ends.
func (t *traffic) play(ctx context.Context, began time.Time) {
	t.began, t.end = began, began.Add(t.run.scenario.Length)
	conditions := &t.run.conditions
	arrivals := t.run.scenario.Arrivals()
	for now := began; ; {
		now = now.Add(arrivals.Gap(conditions.snapshot()))
		if now.After(t.end) || !sleepUntil(ctx, now) {
			break
		}
		session := arrivals.Next(conditions.snapshot())
		select {
		case t.slots <- struct{}{}:
		default: // the bound on clients; this one does not begin
			continue
		}
		t.sessions.Go(func() {
			defer func() { <-t.slots }()
			t.runSession(session)
		})
	}
	t.sessions.Wait()
}

// runSession runs one conversation.
func (t *traffic) runSession(session *scenario.Session) {
	request := t.newRequest(session)
	for {
		for len(request.Turns) < len(session.Turns) {
			request.Turns = append(request.Turns, session.Turns[len(request.Turns)].Words())
		}
		request.AnswerTokens = session.Answer
		kind := t.send(session, request, fmt.Sprintf("%d.%d", session.ID, session.Turn))
		more, pause := session.NextTurn(kind, time.Now().After(t.end), t.run.conditions.snapshot())
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// newRequest is what all requests of a session share.
func (t *traffic) newRequest(session *scenario.Session) client.Attempt {
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

// send sends a request with the retries of its client and returns how the last attempt ended.
func (t *traffic) send(session *scenario.Session, request client.Attempt, intent string) string {
	request.Intent = intent
	request.DisconnectAfter, request.MarksRetries = session.HangUp, session.MarksRetries
	if request.Class == audit.IdempotentWithKey {
		request.IdempotencyKey = fmt.Sprintf("key-%d-%s", t.run.scenario.Seed, intent)
	}
	if session.Slow {
		request.ReadDelay = scenario.SlowReadDelay
	}
	replicas := t.run.replicas.members
	began := time.Now()
	for {
		replica := replicas[session.PickReplica(len(replicas))]
		request.ID, request.Retries = fmt.Sprintf("%s/%d", intent, session.Attempts), session.Retries
		before := time.Since(began)
		result := client.Send(&request, replica.name, replica.addr, t.run.record)
		if result.FirstToken > 0 {
			result.FirstToken += before
		}
		again, pause := session.AfterAttempt(result.Kind, result.NoAutoRetry, result.RetryAfter, time.Since(began))
		if !again {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.score.Add(session, began.Sub(t.began), result.Kind, result.FirstToken)
			return result.Kind
		}
		time.Sleep(pause)
	}
}
