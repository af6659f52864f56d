package gateway

import (
	"time"

	"go.uber.org/zap"
)

const (
	tickInterval   = time.Second      // between checks of idle connections and held states
	statusInterval = 10 * time.Second // between status lines
	maxOverdueLogs = 5                // log lines about overdue states per check
)

// tick periodically closes expired idle connections to engines, and has the event loop check the held states.
func (l *eventLoop) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.engines.CloseExpiredIdle()
			l.post(nil, statusDue{})
		case <-l.done:
			return
		}
	}
}

// reportStatus logs the states that are still held after their TTL, and a status line every statusInterval.
func (l *eventLoop) reportStatus() {
	var oldestAge time.Duration
	heldCount, pendingAttempts, overdueCount := 0, 0, 0
	for _, request := range l.requests {
		pendingAttempts += request.pendingAttempts
		if request.release.heldState.since.IsZero() {
			continue
		}
		heldCount++
		age := time.Since(request.release.heldState.since)
		oldestAge = max(oldestAge, age)
		if age > l.stateTTL() && overdueCount < maxOverdueLogs {
			overdueCount++
			l.logOverdueState(request, age)
		}
	}
	if time.Since(l.statusLoggedAt) < statusInterval {
		return
	}
	l.statusLoggedAt = time.Now()
	l.gateway.log.Info("status",
		zap.Int("open_requests", len(l.requests)),
		zap.Int("attempts_out", pendingAttempts),
		zap.Int("states_held", heldCount),
		zap.Duration("oldest_state", oldestAge),
		zap.Int("client_connections", l.gateway.connections()),
		zap.Int64("engine_connections", l.engines.OpenConns()),
	)
}

func (l *eventLoop) logOverdueState(request *inflightRequest, age time.Duration) {
	last := request.attempts[len(request.attempts)-1]
	l.gateway.log.Warn("read state overdue",
		zap.String("id", request.displayID()),
		zap.String("reader", request.release.heldState.endpoint),
		zap.Duration("held_for", age),
		zap.String("last_attempt", last.endpoint.Name),
		zap.Object("progress", last.handle.Progress()),
	)
}
