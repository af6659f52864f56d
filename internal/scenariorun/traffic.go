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

// traffic plays the clients of the scenario. Each session has a goroutine, which owns it.
type traffic struct {
	run      *run
	began    time.Time
	end      time.Time     // after this no session starts and none draws another turn
	slots    chan struct{} // one element for each session in progress; bounds their number
	sessions sync.WaitGroup

	mu    sync.Mutex
	score *scenario.Score
}

func newTraffic(r *run) *traffic {
	return &traffic{run: r, slots: make(chan struct{}, maxClients), score: r.scenario.Score()}
}

// play starts sessions at the scenario's rate until its end, and waits until all have ended.
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
		default: // there are maxClients already: the session is dropped
			continue
		}
		t.sessions.Go(func() {
			defer func() { <-t.slots }()
			t.runSession(session)
		})
	}
	t.sessions.Wait()
}

// runSession plays the turns of one session.
func (t *traffic) runSession(session *scenario.Session) {
	request := t.newRequest(session)
	for {
		for len(request.Turns) < len(session.Messages) {
			request.Turns = append(request.Turns, session.Messages[len(request.Turns)].Words())
		}
		request.AnswerTokens = session.AnswerTokens
		kind := t.send(session, request, fmt.Sprintf("%d.%d", session.ID, session.Turn))
		more, pause := session.NextTurn(kind, time.Now().After(t.end), t.run.conditions.snapshot())
		if !more {
			return
		}
		time.Sleep(pause)
	}
}

// newRequest returns an attempt with the fields that all requests of a session share.
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

// send sends a request, retries it as its client does, and returns how the last attempt ended.
func (t *traffic) send(session *scenario.Session, request client.Attempt, intent string) string {
	request.Intent = intent
	request.DisconnectAfter, request.MarksRetries = session.DisconnectAfter, session.MarksRetries
	if request.Class == audit.IdempotentWithKey {
		request.IdempotencyKey = fmt.Sprintf("key-%d-%s", t.run.scenario.Seed, intent)
	}
	if session.ReadsSlowly {
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
		again, pause := session.AfterAttempt(result.Outcome, result.NoAutoRetry, result.RetryAfter, time.Since(began))
		if !again {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.score.Add(session, began.Sub(t.began), result.Outcome, result.FirstToken)
			return result.Outcome
		}
		time.Sleep(pause)
	}
}
