package load

import (
	"context"
	"fmt"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/fake/client"
	"brackenbend/internal/simulation/scenario"
)

// maxTokensFactor is the token limit of a request as a multiple of the mean answer length of its class. It leaves room
// for answers that are longer than the mean.
const maxTokensFactor = 3

// runSession sends the requests of one session, the first of them at scheduledAt.
func (r *run) runSession(ctx context.Context, session *scenario.Session, scheduledAt time.Time) {
	request := r.newRequest(session)
	for {
		for len(request.Turns) < len(session.Messages) {
			request.Turns = append(request.Turns, session.Messages[len(request.Turns)].Words())
		}
		request.AnswerTokens = session.AnswerTokens
		outcome := r.send(ctx, session, request, scheduledAt)
		lengthElapsed := time.Since(r.startedAt) > r.plan.Length
		hasNextTurn, pause := session.NextTurn(outcome, lengthElapsed, r.currentConditions())
		scheduledAt = time.Now().Add(pause)
		if !hasNextTurn || !waitUntil(ctx, scheduledAt) {
			return
		}
	}
}

// newRequest returns an attempt with the fields that all requests of a session share.
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

// send sends one request, retries it as its client would, and returns the outcome of the last attempt. Latencies count
// from scheduledAt, when the request should have been sent.
func (r *run) send(
	ctx context.Context, session *scenario.Session, request client.Attempt, scheduledAt time.Time,
) string {
	request.Intent = fmt.Sprintf("%d.%d", session.ID, session.Turn)
	request.DisconnectAfter, request.MarksRetries = session.DisconnectAfter, session.MarksRetries
	if request.Class == audit.IdempotentWithKey {
		request.IdempotencyKey = fmt.Sprintf("load-%d-%s", r.startedAt.UnixNano(), request.Intent)
	}
	if session.ReadsSlowly {
		request.ReadDelay = scenario.SlowReadDelay
	}
	for {
		replica := r.plan.Replicas[session.PickReplica(len(r.plan.Replicas))]
		request.ID, request.Retries = fmt.Sprintf("%s/%d", request.Intent, session.Attempts), session.Retries
		var gaps gapRecorder
		request.OnToken = gaps.onToken
		// Includes earlier attempts and their pauses, which the client waits for too.
		timeSinceScheduled := time.Since(scheduledAt)
		result := client.Send(&request, replica, replica, nil)
		if result.FirstToken > 0 {
			result.FirstToken += timeSinceScheduled
		}
		elapsed := time.Since(scheduledAt)
		retry, pause := session.AfterAttempt(result.Outcome, result.NoAutoRetry, result.RetryAfter, elapsed)
		r.record(attemptResult{
			session: session, result: &result, gaps: gaps.gaps, isFinal: !retry, scheduledAt: scheduledAt, elapsed: elapsed,
		})
		if !retry || !waitUntil(ctx, time.Now().Add(pause)) {
			return result.Outcome
		}
	}
}
