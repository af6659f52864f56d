// Package load sends a scenario's clients (internal/simulation/scenario) to running replicas and measures what they
// see. Arrivals are open: each session begins at its time, however slow the responses are, and latencies count from the
// time at which a request should have been sent, so a replica that stalls can't hide it by holding the senders up
// (coordinated omission). It checks no rules and starts no servers.
//
// Run owns the measurements. Each session has a goroutine of its own and takes the run's mutex to add to them.
package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"brackenbend/internal/simulation/scenario"
)

// moodInterval is how often changes of the clients' behavior are applied and progress is reported.
const moodInterval = 200 * time.Millisecond

// run is the state of one run. mood, score, classes and outcomes are under mu.
type run struct {
	plan   *Plan
	began  time.Time
	open   atomic.Int64 // sessions
	tokens atomic.Int64

	mu       sync.Mutex
	mood     scenario.Conditions
	score    *scenario.Score
	classes  []Class
	outcomes map[string]int
}

// Run sends until the plan's time is over and every session has ended. Once ctx ends, no session begins or goes on.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	if plan.MaxOpen == 0 {
		plan.MaxOpen = defaultMaxOpen
	}
	if err := plan.check(); err != nil {
		return nil, planError{err}
	}
	r := newRun(&plan)
	moodCtx, stopMoods := context.WithCancel(ctx)
	defer stopMoods()
	var moods sync.WaitGroup
	moods.Go(func() { r.changeMoods(moodCtx) })
	report := &Report{Length: plan.Length}
	r.runSessions(ctx, report)
	stopMoods()
	moods.Wait()
	r.fill(report)
	return report, nil
}

func newRun(plan *Plan) *run {
	r := &run{
		plan:     plan,
		began:    time.Now(),
		mood:     scenario.NormalConditions(),
		score:    plan.Scenario.Score(),
		outcomes: map[string]int{},
	}
	for range plan.Scenario.Classes {
		r.classes = append(r.classes, newClass())
	}
	return r
}

// runSessions begins each session at its time and waits until all have ended.
func (r *run) runSessions(ctx context.Context, report *Report) {
	var sessions sync.WaitGroup
	defer sessions.Wait()
	arrivals := r.plan.Scenario.Arrivals()
	for at := r.began; ; {
		at = at.Add(arrivals.Gap(r.currentMood()))
		if at.Sub(r.began) > r.plan.Length || !waitUntil(ctx, at) {
			return
		}
		report.SenderDelay = max(report.SenderDelay, time.Since(at))
		session := arrivals.Next(r.currentMood())
		if r.open.Load() >= int64(r.plan.MaxOpen) {
			report.NotBegun++
			continue
		}
		r.open.Add(1)
		sessions.Go(func() {
			defer r.open.Add(-1)
			r.runSession(ctx, session, at)
		})
	}
}

// waitUntil waits until at; false when ctx ended before.
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

// changeMoods applies the scenario's changes of the clients' behavior at their times, and reports progress.
func (r *run) changeMoods(ctx context.Context) {
	changes := r.plan.Scenario.ConditionChanges()
	ticker := time.NewTicker(moodInterval)
	defer ticker.Stop()
	for {
		for len(changes) > 0 && time.Since(r.began) >= changes[0].At {
			r.mu.Lock()
			changes[0].Apply(&r.mood)
			r.mu.Unlock()
			changes = changes[1:]
		}
		if r.plan.Progress != nil {
			done := time.Since(r.began).Seconds() / r.plan.Length.Seconds()
			r.plan.Progress(min(done, 1), int(r.open.Load()))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *run) currentMood() *scenario.Conditions {
	r.mu.Lock()
	defer r.mu.Unlock()
	mood := r.mood
	return &mood
}

// fill completes the report once all sessions have ended.
func (r *run) fill(report *Report) {
	report.Elapsed = time.Since(r.began)
	rows, tenants := r.score.Rows()
	for i, row := range rows {
		r.classes[i].Row = row
	}
	report.Classes, report.Tenants = r.classes, tenants
	report.Service, report.Timeline = r.score.Service(), r.score.Timeline
	report.Outcomes, report.Tokens = r.outcomes, r.tokens.Load()
}
