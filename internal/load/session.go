package load

import (
	"context"
	"fmt"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

// maxTokensFactor is how much longer than the drawn answer a request allows its answer to be.
const maxTokensFactor = 3

// runSession runs one conversation, whose first request should be sent at a time.
func (r *run) runSession(ctx context.Context, session *scenario.Session, at time.Time) {
	request := r.newRequest(session)
	for {
		for len(request.Turns) < len(session.Turns) {
			request.Turns = append(request.Turns, session.Turns[len(request.Turns)].Words())
		}
		request.AnswerTokens = session.Answer
		kind := r.send(ctx, session, request, at)
		over := time.Since(r.began) > r.plan.Length
		more, pause := session.NextTurn(kind, over, r.currentMood())
		at = time.Now().Add(pause)
		if !more || !waitUntil(ctx, at) {
			return
		}
	}
}

// newRequest is what all requests of a session share.
func (r *run) newRequest(session *scenario.Session) client.Attempt {
	class := &r.plan.Scenario.Classes[session.Class]
	request := client.Attempt{
		Class: audit.Class(class.Idempotency), ClassName: class.Name, Session: session.Key,
		MaxTokens: int(class.AnswerTokens) * maxTokensFactor, Stream: session.Stream, Timeout: class.Deadline,
		SystemPrompt: session.Prefix.Words(), Model: r.plan.Model,
	}
	if session.Tenant >= 0 {
		request.Tenant = r.plan.Scenario.Tenants[session.Tenant].Name
	}
	return request
}

// send sends one request with its client's retries and returns how the last attempt ended.
func (r *run) send(ctx context.Context, session *scenario.Session, request client.Attempt, at time.Time) string {
	request.Intent = fmt.Sprintf("%d.%d", session.ID, session.Turn)
	request.DisconnectAfter, request.MarksRetries = session.HangUp, session.MarksRetries
	if request.Class == audit.IdempotentWithKey {
		request.IdempotencyKey = fmt.Sprintf("load-%d-%s", r.began.UnixNano(), request.Intent)
	}
	if session.Slow {
		request.ReadDelay = scenario.SlowReadDelay
	}
	for {
		replica := r.plan.Replicas[session.PickReplica(len(r.plan.Replicas))]
		request.ID, request.Retries = fmt.Sprintf("%s/%d", request.Intent, session.Attempts), session.Retries
		var gaps gapRecorder
		request.OnToken = gaps.token
		delay := time.Since(at) // of this attempt; earlier ones and their pauses are part of what the client waits
		result := client.Send(&request, replica, replica, nil)
		if result.FirstToken > 0 {
			result.FirstToken += delay
		}
		elapsed := time.Since(at)
		retry, pause := session.AfterAttempt(result.Kind, result.NoAutoRetry, result.RetryAfter, elapsed)
		r.record(attempt{
			session: session, result: &result, gaps: gaps.gaps, final: !retry, requestedAt: at, elapsed: elapsed,
		})
		if !retry || !waitUntil(ctx, time.Now().Add(pause)) {
			return result.Kind
		}
	}
}
