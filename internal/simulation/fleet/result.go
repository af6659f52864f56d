package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/simulation/scenario"
)

// Result is the outcome of a run.
type Result struct {
	Score             *scenario.Score
	Rules             []audit.RuleResult // where they were checked
	Attempts          map[string]int     // prefills ("read") and decodes ("write") that reached engines
	Outcomes          map[string]int     // of attempts by stage and result, as "read timed out"
	Events            int64              // delivered
	TransferredTokens float64            // state tokens that decode endpoints fetched
	Roles             []RoleSample       // where engines change role: each step of the first planner
}

// Names of the stages in results.
const (
	stagePrefill = "read"
	stageDecode  = "write"
)

func (f *fleet) result() *Result {
	r := &Result{Score: f.clients.score, Attempts: map[string]int{}, Outcomes: map[string]int{}}
	for _, n := range slices.Sorted(maps.Keys(f.clients.attempts)) {
		f.clients.recordSent(f.clients.attempts[n])
	}
	for _, e := range f.engines {
		r.Attempts[stagePrefill] += e.prefills
		r.Attempts[stageDecode] += e.decodes
		r.TransferredTokens += e.fetchedTokens
	}
	for _, replica := range f.replicas {
		for outcome, n := range replica.outcomes {
			r.Outcomes[outcome.String()] += n
		}
	}
	if len(f.planners) > 0 {
		r.Roles = f.planners[0].samples
	}
	for _, s := range f.scheduler.shards {
		r.Events += s.events
	}
	if f.options.Audit {
		r.Rules = f.audit()
	}
	return r
}

// recordSlack is by how much the audit's limits are exceeded by the links between what it times.
const recordSlack = 10 * time.Millisecond

func (f *fleet) audit() []audit.RuleResult {
	var events []audit.Event
	events = append(append(events, f.clients.log...), f.apiServer.log...)
	for _, e := range f.engines {
		events = append(events, e.log...)
	}
	for _, r := range f.replicas {
		events = append(events, r.log...)
	}
	slices.SortStableFunc(events, func(a, b audit.Event) int { return cmp.Compare(a.At, b.At) })
	f.deduplicate(events)
	service := f.scenario.Service
	limits := audit.Limits{DrainGrace: service.DrainGrace, StateTTL: service.StateTTL, Slack: recordSlack}
	return audit.Check(events, limits)
}

// minDedupWindow is the least time for which engines remember idempotency keys.
const minDedupWindow = time.Minute

// deduplicate does what engines do by idempotency keys: the first execution within the window takes effect.
func (f *fleet) deduplicate(events []audit.Event) {
	window := minDedupWindow
	for _, c := range f.scenario.Classes {
		window = max(window, c.DedupWindow)
	}
	executed := map[string]time.Duration{} // by intent
	for i := range events {
		e := &events[i]
		if e.Kind != audit.Executed || e.Class != audit.IdempotentWithKey {
			continue
		}
		if at, ok := executed[e.Intent]; ok && e.At-at <= window {
			e.Kind = audit.Deduplicated
			continue
		}
		executed[e.Intent] = e.At
	}
}

// recorder is an actor's part of the record that is audited.
type recorder struct {
	enabled bool
	log     []audit.Event
}

func (r *recorder) record(at time.Duration, e audit.Event) {
	if r.enabled {
		e.At = at
		r.log = append(r.log, e)
	}
}
