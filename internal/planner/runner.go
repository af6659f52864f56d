// Package planner connects a role planner (package roles) to the API server and the engines. In each round it reads
// the assignment table, polls the engines and the gateway replicas, writes the planner's decisions to the table and
// sends the engines their commands. All decisions are made in package roles. Any number of planners may run, because
// each write names the version of the table that it was made from.
//
// The goroutine that calls Runner.Run owns all state of the Runner. Polls and commands run in goroutines that end
// before their round does.
package planner

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"brackenbend/roles"
)

const (
	defaultInterval           = time.Second
	defaultMaxConcurrentPolls = 32
	defaultSaveInterval       = 30 * time.Second

	// roundTimeout and pollTimeout bound a round and its polls, in intervals: a slow engine delays the next round but
	// does not stop planning.
	roundTimeout = 5
	pollTimeout  = 2

	// epoch is the planner clock's time at the start of a Runner. It is above zero so that earlier events, such as
	// changes by another planner, have positive times.
	epoch = 24 * time.Hour
)

// Policy decides the changes of role. roles.Planner implements it; comparisons use others.
type Policy interface {
	Step(now time.Duration, engines []roles.Engine, replicas []roles.Replica) roles.Plan
}

// Runner runs a planner. Its exported fields are its configuration and must not change while it runs.
type Runner struct {
	APIServer          Client // its HTTP client also polls engines and replicas
	Settings           roles.Config
	Replicas           []string      // host:port of the metrics of replicas, polled for lost requests; may be empty
	Interval           time.Duration // between rounds; 0 = 1 s
	MaxConcurrentPolls int           // limit of concurrent requests to engines or replicas; 0 = 32
	SaveInterval       time.Duration // between two saves of the planner's memory; 0 = 30 s
	Log                *zap.Logger
	Policy             Policy           // replaces roles.Planner in comparisons; nil = roles.Planner
	OnPlan             func(roles.Plan) // called with each plan; may be nil
	Metrics            *Metrics         // may be nil

	planner   *roles.Planner
	startedAt time.Time
	cells     map[string]int    // roles.Engine.Cell by locality
	statuses  map[string]Status // of the engines that answered the last poll, by name
	lost      LostWorkEstimator
	memory    memoryState
}

// now returns the time of the planner's clock. The assignment table uses the wall clock instead, whose times stay valid
// after a planner has ended.
func (r *Runner) now() time.Duration { return epoch + time.Since(r.startedAt) }

// wallClock returns the time in the form that the assignment table uses.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Run plans until ctx ends. It does not return if the API server or engines do not answer, nor does it change roles for
// that reason.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.init(); err != nil {
		return err
	}
	ticker := time.NewTicker(r.Interval)
	defer ticker.Stop()
	for {
		result := "done"
		if err := r.round(ctx); err != nil && ctx.Err() == nil {
			r.Log.Warn("planning failed", zap.Error(err))
			result = "failed"
		}
		r.Metrics.rounds.WithLabelValues(result).Inc()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (r *Runner) init() error {
	var err error
	if r.planner, err = roles.New(r.Settings); err != nil {
		return err
	}
	r.Interval = cmp.Or(r.Interval, defaultInterval)
	r.MaxConcurrentPolls = cmp.Or(r.MaxConcurrentPolls, defaultMaxConcurrentPolls)
	r.SaveInterval = cmp.Or(r.SaveInterval, defaultSaveInterval)
	if r.Metrics == nil {
		r.Metrics = NewMetrics()
	}
	r.startedAt, r.cells, r.lost = time.Now(), map[string]int{}, NewLostWorkEstimator()
	return nil
}

// round reads the assignment table, polls the engines and replicas, plans, writes the table and sends commands.
func (r *Runner) round(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout*r.Interval)
	defer cancel()
	view, err := r.APIServer.View(ctx)
	if err != nil {
		return err
	}
	r.restoreMemory(ctx)
	polledAt := r.pollEngines(ctx, view)
	table, changed := r.applyStatuses(view.Assignments)
	replicas := r.pollReplicas(ctx)
	now := r.now() // read after all polls, because the planner ignores reports from the future
	engines := Engines(view, r.statuses, r.cells, polledAt, now, wallClock())
	plan := r.policy().Step(now, engines, replicas)
	if r.OnPlan != nil {
		r.OnPlan(plan)
	}
	r.Metrics.observe(plan, table)
	table, done, refused := table.ApplyPlan(plan)
	r.logPlan(done, refused)
	if changed || len(done.Reverts)+len(done.Changes) > 0 {
		if table, err = r.APIServer.Write(ctx, table); err != nil {
			return err // a command must not be sent before it is stored
		}
	}
	r.sendCommands(ctx, view, table)
	r.saveMemory(ctx)
	return nil
}

func (r *Runner) policy() Policy {
	if r.Policy != nil {
		return r.Policy
	}
	return r.planner
}

// applyStatuses applies the engines' status reports to the table and reports whether any of them changed it.
func (r *Runner) applyStatuses(table roles.Assignments) (next roles.Assignments, changed bool) {
	next = table
	for _, id := range table.Names() {
		status, ok := r.statuses[id]
		if !ok {
			continue
		}
		var applied bool
		next, applied = next.ApplyStatus(id, status.StatusReport, wallClock())
		changed = changed || applied
	}
	return next, changed
}

// logPlan logs and counts the applied reverts and changes of a plan, and logs the refused changes.
func (r *Runner) logPlan(done roles.Plan, refused map[string]error) {
	for _, id := range done.Reverts {
		r.Metrics.reverts.Inc()
		r.Log.Info("change reverted", zap.String("engine", id))
	}
	for _, change := range done.Changes {
		r.Metrics.changes.WithLabelValues(change.Target.String()).Inc()
		r.Log.Info("change started",
			zap.String("engine", change.ID), zap.Stringer("to", change.Target), zap.String("why", change.Reason))
	}
	for id, err := range refused {
		r.Log.Warn("change refused", zap.String("engine", id), zap.Error(err))
	}
}

// Engines returns the input of a Policy from the assignment table and the engines' statuses, which were polled at
// polledAt. now is the present time by the planner's clock, wall by the clock of the table. cells holds the numbers
// given to localities; Engines adds new ones.
func Engines(
	view View, statuses map[string]Status, cells map[string]int, polledAt, now, wall time.Duration,
) []roles.Engine {
	var engines []roles.Engine
	for _, id := range view.Assignments.Names() {
		entry, listing := view.Assignments.Entries[id], view.Listings[id]
		if _, ok := cells[listing.Locality]; !ok {
			cells[listing.Locality] = len(cells)
		}
		e := roles.Engine{
			ID: id, Role: entry.Role, Target: entry.Target, Ready: listing.Up && entry.Serving,
			CanPrefill: entry.CanPrefill, CanDecode: entry.CanDecode, Pinned: entry.Pinned,
			Cell: cells[listing.Locality],
		}
		if entry.ChangedAt > 0 {
			e.ChangedAt = max(now-max(wall-entry.ChangedAt, 0), 1)
		}
		if status, ok := statuses[id]; ok && listing.Up {
			e.Outstanding = status.Outstanding
			e.Report = &roles.Report{At: polledAt, Prefill: status.Prefill.load(), Decode: status.Decode.load()}
		}
		engines = append(engines, e)
	}
	return engines
}
