package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var limits = Limits{DrainGrace: 500 * ms, StateTTL: 500 * ms}

// The indices of the rules in the result of Check.
const (
	ruleAnswers = iota
	ruleExecutions
	ruleDrains
	ruleSlowStart
	ruleReadStates
)

// compliantEvents returns a record in which every rule is checked and none violated.
func compliantEvents() []Event {
	const deadline = 6 * time.Second
	return []Event{
		{At: 0, Kind: EngineStarted, Engine: "r"},
		{At: 1 * ms, Kind: ReplicaStarted, Replica: "f"},
		{
			At: 10 * ms, Kind: AttemptSent, Attempt: "t1", Intent: "o1", Class: NotIdempotent, Replica: "f",
			Deadline: 5 * time.Second,
		},
		{At: 12 * ms, Kind: RequestArrived, Engine: "r", Replica: "f", Request: "x-1-0"},
		{At: 50 * ms, Kind: StateHeld, Engine: "r", Request: "x-1-0"},
		{At: 51 * ms, Kind: RequestEnded, Engine: "r", Request: "x-1-0"},
		{At: 53 * ms, Kind: RequestArrived, Engine: "w", Replica: "f", Request: "x-1-1", Decode: true},
		{At: 60 * ms, Kind: StateReleased, Engine: "r", Request: "x-1-0"},
		{
			At: 61 * ms, Kind: Executed, Engine: "w", Request: "x-1-1", Attempt: "t1", Intent: "o1",
			Class: NotIdempotent,
		},
		{At: 99 * ms, Kind: RequestEnded, Engine: "w", Request: "x-1-1"},
		{At: 100 * ms, Kind: Answer, Attempt: "t1", Result: "served"},
		{At: 200 * ms, Kind: NotifiedGone, Replica: "f", Engine: "r"},
		{At: 600 * ms, Kind: RequestArrived, Engine: "r", Replica: "f", Request: "x-2-0"},
		{At: 610 * ms, Kind: RequestEnded, Engine: "r", Request: "x-2-0"},
		{
			At: 700 * ms, Kind: AttemptSent, Attempt: "t2", Intent: "o2", Class: NotIdempotent, Replica: "f",
			Deadline: deadline,
		},
		{At: 800 * ms, Kind: Answer, Attempt: "t2", Result: "refused"},
		{
			At: 900 * ms, Kind: AttemptSent, Attempt: "t3", Intent: "o3", Class: NotIdempotent, Replica: "f",
			Deadline: deadline,
		},
		{At: 950 * ms, Kind: ReplicaKilled, Replica: "f"},
		{At: 960 * ms, Kind: ConnectionCut, Attempt: "t3"},
	}
}

// without returns all events except those of the given kind and attempt.
func without(events []Event, kind EventKind, attempt string) (rest []Event) {
	for _, e := range events {
		if e.Kind != kind || e.Attempt != attempt {
			rest = append(rest, e)
		}
	}
	return rest
}

func TestCheckAcceptsCompliantRecord(t *testing.T) {
	for _, result := range Check(compliantEvents(), limits) {
		if result.Checks == 0 || len(result.Violations) > 0 {
			t.Errorf("compliant record: %+v", result)
		}
	}
}

func TestCheckFindsViolationOfEachRule(t *testing.T) {
	for _, test := range []struct {
		name    string
		rule    int
		message string
		mutate  func([]Event) []Event
	}{
		{"no answer", ruleAnswers, "no answer at all", func(events []Event) []Event {
			return without(events, Answer, "t2")[:15]
		}},
		{"late answer", ruleAnswers, "after the client's time", func(events []Event) []Event {
			events[14].Deadline = 750 * ms
			return events
		}},
		{"two answers", ruleAnswers, "second final answer", func(events []Event) []Event {
			return append(events, Event{At: 2 * time.Second, Kind: Answer, Attempt: "t1", Result: "failed"})
		}},
		{"bytes after the answer", ruleAnswers, "bytes after", func(events []Event) []Event {
			return append(events, Event{At: 2 * time.Second, Kind: ExtraBytes, Attempt: "t1"})
		}},
		{"connection cut by a live replica", ruleAnswers, "was not killed", func(events []Event) []Event {
			return without(events, ReplicaKilled, "")
		}},
		{"executed twice", ruleExecutions, "ran 2 times", func(events []Event) []Event {
			return append(events,
				Event{At: time.Second, Kind: Executed, Attempt: "t9", Intent: "o1", Class: NotIdempotent})
		}},
		{"executed twice in spite of a key", ruleExecutions, "ran 2 times", func(events []Event) []Event {
			events[8].Class = IdempotentWithKey
			return append(events, Event{At: time.Second, Kind: Executed, Intent: "o1", Class: IdempotentWithKey})
		}},
		{"rejected after execution", ruleExecutions, "was refused", func(events []Event) []Event {
			return append(events, Event{At: 750 * ms, Kind: Executed, Attempt: "t2", Intent: "o2", Class: NotIdempotent})
		}},
		{"rejected after an earlier attempt ran", ruleExecutions, "try t1 of it had run", func(events []Event) []Event {
			events[14].Intent = "o1"
			return events
		}},
		{"sent after a drain", ruleDrains, "after it was told", func(events []Event) []Event {
			events[12].At, events[13].At = 701*ms, 702*ms
			return events
		}},
		{"engine overloaded", ruleSlowStart, "fell over", func(events []Event) []Event {
			return append(events, Event{At: time.Second, Kind: EngineOverloaded, Engine: "r"})
		}},
		{"state held too long", ruleReadStates, "was held", func(events []Event) []Event {
			events[6].At, events[7].At, events[9].At = 560*ms, 561*ms, 600*ms
			return events
		}},
		{"state never released", ruleReadStates, "was held", func(events []Event) []Event {
			return append(events[:5:5], events[5], events[6],
				Event{At: 70 * ms, Kind: RequestEnded, Request: "x-1-1"}, events[11], events[12])
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := Check(test.mutate(compliantEvents()), limits)[test.rule]
			if len(result.Violations) == 0 || !strings.Contains(strings.Join(result.Violations, "\n"), test.message) {
				t.Errorf("want a violation with %q: %+v", test.message, result)
			}
		})
	}
}

func TestCheckAllowsWhatTheRulesExempt(t *testing.T) {
	idempotent := compliantEvents()
	idempotent[8].Class = Idempotent
	for _, test := range []struct {
		name   string
		rule   int
		events []Event
	}{
		{
			"an idempotent class runs twice", ruleExecutions,
			append(idempotent, Event{At: time.Second, Kind: Executed, Intent: "o1", Class: Idempotent}),
		},
		{
			"a read state of a request that a killed replica had just sent", ruleReadStates,
			append(compliantEvents(),
				Event{At: 970 * ms, Kind: RequestArrived, Engine: "r", Replica: "f", Request: "x-7-0"},
				Event{At: 980 * ms, Kind: StateHeld, Request: "x-7-0"},
				Event{At: 981 * ms, Kind: RequestEnded, Request: "x-7-0"},
				Event{At: 9 * time.Second, Kind: StateReleased, Request: "x-7-0"}),
		},
		{
			"the next process of a replica was not notified yet", ruleDrains,
			append(compliantEvents(),
				Event{At: 960 * ms, Kind: RequestArrived, Engine: "r", Replica: "f", Request: "y-1-0"},
				Event{At: 970 * ms, Kind: RequestEnded, Request: "y-1-0"}),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if result := Check(test.events, limits)[test.rule]; len(result.Violations) > 0 {
				t.Errorf("%+v", result)
			}
		})
	}
}

// TestOverloadByReplicasThatWereNotNotified checks where the slow-start rule ends: an engine may be overloaded by
// replicas that can't know of its start, but not if over two thirds of the requests within OverloadAfter are others'.
func TestOverloadByReplicasThatWereNotNotified(t *testing.T) {
	const start, overload = time.Second, 4 * time.Second
	for name, c := range map[string]struct {
		notified, others, unknown int // requests of replicas
		earlier                   int // requests before the window, of a replica that was not notified
		killed                    bool
		violations                int
	}{
		"all notified":                         {notified: 9, violations: 1},
		"two thirds notified":                  {notified: 6, others: 3},
		"more than two thirds notified":        {notified: 7, others: 3, violations: 1},
		"others before the window":             {notified: 7, others: 3, earlier: 5, violations: 1},
		"the notified process was killed":      {notified: 9, killed: true},
		"no request in the record":             {violations: 1},
		"no request in the window":             {earlier: 5, violations: 1},
		"few notified, as recorded on sockets": {notified: 7, others: 8},
		"senders unknown":                      {unknown: 9, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			events := []Event{
				{At: start - 2, Kind: NotifiedReady, Engine: "r", Replica: "other"}, // of an earlier start
				{At: start, Kind: EngineStarted, Engine: "r"},
				{At: start + 1, Kind: NotifiedReady, Engine: "r", Replica: "notified"},
			}
			if c.killed {
				events = append(events, Event{At: start + 2, Kind: ReplicaKilled, Replica: "notified"})
			}
			arrive := func(n int, at time.Duration, replica string) {
				for range n {
					events = append(events, Event{At: at, Kind: RequestArrived, Engine: "r", Replica: replica})
				}
			}
			arrive(c.earlier, overload-2*time.Second, "other")
			arrive(c.notified, overload-time.Second, "notified")
			arrive(c.others, overload-time.Second, "other")
			arrive(c.unknown, overload-time.Second, "")
			events = append(events, Event{At: overload, Kind: EngineOverloaded, Engine: "r"})
			result := checkSlowStart(events, Limits{OverloadAfter: 1500 * ms})
			if len(result.Violations) != c.violations {
				t.Errorf("%+v", result)
			}
		})
	}
}
