// Package audit checks that the replicas of the gateway follow five rules. It reads a record of events at clients,
// engines and the API server, on sockets or in simulated time. It is independent of the replicas: it queries none and
// imports none of their code.
//
// A Record is shared by all goroutines that record events; its mutex guards them. Check is a pure function of the
// events. The package starts no goroutines.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits are the time limits of the rules.
type Limits struct {
	DrainGrace time.Duration // until the last new request, after the notification that an engine drains or is gone
	StateTTL   time.Duration // until the release of a read state, while no attempt of its request is in flight
	// OverloadAfter is the time in which the requests to an engine in slow start add up to an overload.
	OverloadAfter time.Duration
	// Slack is added to the first two limits, since the times compared are recorded in different places and either may
	// be late.
	Slack time.Duration
}

// RuleResult is the outcome of checking one rule.
type RuleResult struct {
	Rule       string   `json:"rule"`
	Checks     int      `json:"checks"`
	Violations []string `json:"breaches"`
	WorstCase  string   `json:"worst,omitempty"` // the worst time measured, for rules about times; what was allowed
}

func (r *RuleResult) addViolation(at time.Duration, format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%.3fs: ", at.Seconds())+fmt.Sprintf(format, args...))
}

// Check checks a whole record against the five rules and returns the results in the order in which the rules are
// documented. Checks 0 means that no event of the record tests the rule; the caller decides whether that counts as a
// violation.
func Check(events []Event, limits Limits) []RuleResult {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return []RuleResult{
		checkAnswers(events),
		checkExecutions(events),
		checkDrains(events, limits),
		checkSlowStart(events, limits),
		checkReadStates(events, limits),
	}
}
