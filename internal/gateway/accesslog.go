package gateway

import (
	"math"
	"strconv"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/engine"
	"brackenbend/routing"
)

// Stages of a request, as metric label values and in log lines.
const (
	stagePrefill = "read"
	stageDecode  = "write"
)

// attemptResultNames are the results of attempts in metric labels and log lines.
var attemptResultNames = [...]string{
	routing.Served:            "served",
	routing.EngineError:       "errored",
	routing.Rejected:          "turned",
	routing.TimedOut:          "timed out",
	routing.ConnectFailed:     "connect failed",
	routing.ConnectionReset:   "reset",
	routing.Canceled:          "cancelled", //nolint:misspell // a metric label value, which stays as it is
	routing.NotSent:           "not sent",
	routing.PrefillDone:       "read",
	routing.RequestIncomplete: "broke unsent",
}

// pendingResult is logged in place of a result for an attempt that has not ended.
const pendingResult = "out"

func (a *attempt) stage() string {
	if a.decode {
		return stageDecode
	}
	return stagePrefill
}

// stage returns the stage in which a request that got no first token ended: decode if one of its prefills succeeded,
// else prefill.
func (r *inflightRequest) stage() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		a.resultMu.Lock()
		prefilled := a.result == attemptResultNames[routing.PrefillDone]
		a.resultMu.Unlock()
		if prefilled {
			return stageDecode
		}
	}
	return stagePrefill
}

// recordAnswer counts a request's final answer and writes the request's access log line.
func (r *inflightRequest) recordAnswer(g *Gateway) {
	r.countAnswer(g)
	entry := g.log.Check(zap.InfoLevel, "answer "+r.result)
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("id", r.displayID()),
		zap.String("class", r.class.Name),
		zap.Int("status", r.response.Status),
		zap.String("reason", r.reason),
		zap.Int("prompt_tokens", int(math.Round(r.routing.PromptTokens))),
		zap.Duration("first_token", time.Duration(r.firstToken.Load())),
		zap.Duration("took", time.Since(r.acceptedAt)),
		zap.Strings("attempts", r.attemptSummaries()),
		zap.String("tenant", g.tenantName(r.routing.Tenant)),
		zap.String("session", strconv.FormatUint(r.routing.Session, 16)),
		zap.String("prefix", formatPrefixHash(r.routing.Prefix)),
		zap.Int("prefix_tokens", int(math.Round(r.routing.PrefixTokens))),
		zap.Int("max_out", int(r.routing.MaxOutputTokens)),
		zap.Int64("events", r.eventCount.Load()),
		zap.Duration("since_last_event", time.Duration(r.sinceLastEvent.Load())),
		zap.String("client", r.conn.remoteAddress()),
		zap.Bool("stream", r.collector == nil),
	)
}

func (r *inflightRequest) countAnswer(g *Gateway) {
	g.metrics.FinalAnswers.WithLabelValues(r.class.Name, r.result).Inc()
	if r.reason != "" {
		g.metrics.UnservedRequests.WithLabelValues(r.result, r.reason).Inc()
	}
	firstToken := time.Duration(r.firstToken.Load())
	if firstToken > 0 {
		g.metrics.FirstTokenSeconds.WithLabelValues(r.class.Name).Observe(firstToken.Seconds())
	}
	if firstToken == 0 && (r.result == resultRejected || r.result == resultFailed) {
		g.metrics.LostRequests.WithLabelValues(r.stage()).Inc()
	}
}

// attemptSummaries returns the engine, the result and the duration of each attempt.
func (r *inflightRequest) attemptSummaries() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	summaries := make([]string, 0, len(r.attempts))
	for _, a := range r.attempts {
		a.resultMu.Lock()
		result, elapsed := a.result, a.elapsed
		a.resultMu.Unlock()
		if result == "" {
			result = pendingResult
		}
		milliseconds := strconv.FormatInt(elapsed.Milliseconds(), 10)
		summaries = append(summaries, a.endpoint.Name+" "+result+" "+milliseconds+"ms")
	}
	return summaries
}

// logFailure logs an attempt that did not succeed, which includes canceled and unsent ones. Together with the access
// log line of the request it shows why the request was retried, rejected or failed.
func (a *attempt) logFailure(l *eventLoop, outcome *engine.Outcome, elapsed time.Duration) {
	entry := l.gateway.log.Check(zap.InfoLevel, "attempt failed")
	if entry == nil {
		return
	}
	stream := zap.Skip()
	if outcome.Stream.Bytes > 0 {
		stream = zap.Object("stream", outcome.Stream)
	}
	entry.Write(
		zap.String("id", a.request.displayID()),
		zap.Int("attempt", a.index),
		zap.String("engine", a.endpoint.Name),
		zap.String("stage", a.stage()),
		zap.String("result", attemptResultNames[outcome.Result]),
		zap.Bool("no_state", outcome.StateMissing),
		zap.Duration("took", elapsed),
		zap.Object("progress", a.handle.Progress()),
		stream,
		zap.Error(outcome.Err),
	)
}

// recordEarlyRejection counts and logs a request that is rejected before the router knows it.
func (c *clientConn) recordEarlyRejection(reason, detail string) {
	c.gateway.metrics.EarlyRejections.WithLabelValues(reason).Inc()
	entry := c.gateway.log.Check(zap.InfoLevel, "request turned away")
	if entry == nil {
		return
	}
	entry.Write(zap.String("reason", reason), zap.String("detail", detail), zap.String("client", c.remoteAddress()))
}

// recordClose counts the end of the connection, and logs it unless the reason is an ordinary one.
func (c *clientConn) recordClose() {
	c.gateway.metrics.ClosedConnections.WithLabelValues(c.closeReason).Inc()
	switch c.closeReason {
	case closeReasonAnswered, closeReasonClient, closeReasonIdle:
		return
	}
	entry := c.gateway.log.Check(zap.InfoLevel, "connection closed")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("reason", c.closeReason),
		zap.String("client", c.remoteAddress()),
		zap.Duration("open_for", time.Since(c.acceptedAt)),
	)
}

// remoteAddress is the address of the client, which identifies its connection in logs.
func (c *clientConn) remoteAddress() string { return c.conn.RemoteAddr().String() }

// formatPrefixHash formats the hash of a prompt prefix for logs. It returns "" for a request without a prefix.
func formatPrefixHash(prefix uint64) string {
	if prefix == 0 {
		return ""
	}
	return strconv.FormatUint(prefix, 16)
}
