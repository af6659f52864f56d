// Package load is an open-loop load generator: it sends the requests of a scenario's clients
// (internal/simulation/scenario) to running replicas and measures latencies and outcomes as the clients see them. Each
// session starts at its scheduled time, however slow the responses are, and latencies count from the time at which a
// request should have been sent. A replica that stalls thus can't hide its delay by holding up the senders (coordinated
// omission). The package does not start servers or check invariants.
//
// Run owns the measurements. Each session runs in its own goroutine, which locks the run's mutex to record results.
package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// conditionsInterval is how often due changes of the clients' behavior are applied and progress is reported.
const conditionsInterval = 200 * time.Millisecond

// run is the state of one load run.
type run struct {
	plan         *Plan
	startedAt    time.Time
	openSessions atomic.Int64
	tokens       atomic.Int64 // received in all responses

	mu         sync.Mutex // guards the fields below
	conditions scenario.Conditions
	score      *scenario.Score
	classes    []Class
	outcomes   map[string]int
}

// Run starts sessions until the plan's length has elapsed, then waits for all of them to end. Once ctx is canceled, no
// session starts and none sends another request.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if plan.MaxOpenSessions == 0 {
		plan.MaxOpenSessions = defaultMaxOpenSessions
	}
	if err := plan.check(); err != nil {
		return nil, planError{err}
	}
	r := newRun(&plan)
	changesCtx, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	var changes sync.WaitGroup
	changes.Go(func() { r.applyConditionChanges(changesCtx) })
	report := &Report{Length: plan.Length}
	r.runSessions(ctx, report)
	stopChanges()
	changes.Wait()
	r.fillReport(report)
	return report, nil
}

func newRun(plan *Plan) *run {
	r := &run{
		plan:       plan,
		startedAt:  time.Now(),
		conditions: scenario.NormalConditions(),
		score:      plan.Scenario.Score(),
		outcomes:   map[string]int{},
	}
	for range plan.Scenario.Classes {
		r.classes = append(r.classes, newClass())
	}
	return r
}

// runSessions starts each session at its scheduled time, unless too many are open, and waits until all have ended.
func (r *run) runSessions(ctx context.Context, report *Report) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	arrivals := r.plan.Scenario.Arrivals()
	for scheduledAt := r.startedAt; ; {
		scheduledAt = scheduledAt.Add(arrivals.NextGap(r.currentConditions()))
		if scheduledAt.Sub(r.startedAt) > r.plan.Length || !waitUntil(ctx, scheduledAt) {
			return
		}
		report.MaxSenderDelay = max(report.MaxSenderDelay, time.Since(scheduledAt))
		session := arrivals.NextSession(r.currentConditions())
		if r.openSessions.Load() >= int64(r.plan.MaxOpenSessions) {
			report.NotStarted++
			continue
		}
		r.openSessions.Add(1)
		sessions.Go(func() {
			defer r.openSessions.Add(-1)
			r.runSession(ctx, session, scheduledAt)
		})
	}
}

// waitUntil waits until at. It returns false if ctx is canceled first.
func waitUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// applyConditionChanges applies the scenario's changes of the clients' behavior when they are due and reports progress,
// until ctx is canceled.
func (r *run) applyConditionChanges(ctx context.Context) {
	changes := r.plan.Scenario.ConditionChanges()
	ticker := time.NewTicker(conditionsInterval)
	defer ticker.Stop()
	for {
		for len(changes) > 0 && time.Since(r.startedAt) >= changes[0].At {
			r.mu.Lock()
			changes[0].Apply(&r.conditions)
			r.mu.Unlock()
			changes = changes[1:]
		}
		if r.plan.Progress != nil {
			fraction := time.Since(r.startedAt).Seconds() / r.plan.Length.Seconds()
			r.plan.Progress(min(fraction, 1), int(r.openSessions.Load()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// currentConditions returns a copy of the conditions, so that callers need not hold the mutex.
func (r *run) currentConditions() *scenario.Conditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	conditions := r.conditions
	return &conditions
}

// fillReport copies the measurements into the report. All sessions must have ended.
func (r *run) fillReport(report *Report) {
	report.Elapsed = time.Since(r.startedAt)
	rows, tenants := r.score.Rows()
	for i, row := range rows {
		r.classes[i].Row = row
	}
	report.Classes, report.Tenants = r.classes, tenants
	report.Service, report.Timeline = r.score.Service(), r.score.Timeline
	report.Outcomes, report.Tokens = r.outcomes, r.tokens.Load()
}
