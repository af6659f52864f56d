// Package audit checks the five rules against a record of what passed on the sockets of clients, engines and the API
// server. It queries no replica and imports none of its code.
//
// A Record is shared by all goroutines that observe a socket; its mutex guards the events. Check is a pure function of
// the events. The package starts no goroutines.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits are the figures of the rules.
type Limits struct {
	DrainGrace time.Duration
	StateTTL   time.Duration
	// Slack is added to what is measured between two sockets: what one shows may lag by so much.
	Slack time.Duration
}

// RuleResult is the outcome of checking one rule.
type RuleResult struct {
	Rule       string   `json:"rule"`
	Checks     int      `json:"checks"`
	Violations []string `json:"breaches"`
	WorstCase  string   `json:"worst,omitempty"` // the nearest to a violation, where that is a time
}

func (r *RuleResult) violated(at time.Duration, format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf("%.3fs: ", at.Seconds())+fmt.Sprintf(format, args...))
}

// Check checks a whole record against the five rules, in the order of the documentation. A rule that was never checked
// has no violations and Checks 0; it is for the caller to count that as a violation.
func Check(events []Event, limits Limits) []RuleResult {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return []RuleResult{
		checkAnswers(events),
		checkExecutions(events),
		checkDrains(events, limits),
		checkSlowStart(events),
		checkReadStates(events, limits),
	}
}
