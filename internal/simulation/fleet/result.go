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
	Rules             []audit.RuleResult // nil unless Options.Audit is set
	Attempts          map[string]int     // numbers of prefills ("read") and decodes ("write") that reached engines
	Outcomes          map[string]int     // numbers of attempts by stage and result, such as "read timed out"
	Events            int64              // number of messages that actors received
	TransferredTokens float64            // tokens of read states that decode endpoints fetched
	Roles             []RoleSample       // at each step of the first planner; nil without a planner
}

// Names of the stages in Result.
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
		r.Attempts[stagePrefill] += e.prefillCount
		r.Attempts[stageDecode] += e.decodeCount
		r.TransferredTokens += e.fetchedTokens
	}
	for _, replica := range f.replicas {
		for outcome, n := range replica.outcomes {
			r.Outcomes[outcome.String()] += n
		}
	}
	if len(f.planners) > 0 {
		r.Roles = f.planners[0].roleSamples
	}
	for _, s := range f.scheduler.shards {
		r.Events += s.deliveredEvents
	}
	if f.options.Audit {
		r.Rules = f.checkRules()
	}
	return r
}

// auditSlack is added to the audit's time limits, for the link delays between the events that the audit compares.
const auditSlack = 10 * time.Millisecond

func (f *fleet) checkRules() []audit.RuleResult {
	var events []audit.Event
	events = append(append(events, f.clients.log...), f.apiServer.log...)
	for _, e := range f.engines {
		events = append(events, e.log...)
	}
	for _, r := range f.replicas {
		events = append(events, r.log...)
	}
	slices.SortStableFunc(events, func(a, b audit.Event) int { return cmp.Compare(a.At, b.At) })
	f.markDeduplicated(events)
	service := f.scenario.Service
	return audit.Check(events, audit.Limits{
		DrainGrace: service.DrainGrace, StateTTL: service.StateTTL, OverloadAfter: service.OverloadAfter,
		Slack: auditSlack,
	})
}

// minDedupWindow is the shortest time for which engines drop repeated requests with an idempotency key; the window of a
// class may be longer.
const minDedupWindow = time.Minute

// markDeduplicated simulates deduplication by idempotency key: of the executions of a request within the dedup window,
// only the first takes effect.
func (f *fleet) markDeduplicated(events []audit.Event) {
	window := minDedupWindow
	for _, c := range f.scenario.Classes {
		window = max(window, c.DedupWindow)
	}
	lastExecutedAt := map[string]time.Duration{} // time of the latest execution with effect, by intent
	for i := range events {
		e := &events[i]
		if e.Kind != audit.Executed || e.Class != audit.IdempotentWithKey {
			continue
		}
		if at, ok := lastExecutedAt[e.Intent]; ok && e.At-at <= window {
			e.Kind = audit.Deduplicated
			continue
		}
		lastExecutedAt[e.Intent] = e.At
	}
}

// recorder collects an actor's audit events.
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
