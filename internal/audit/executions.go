package audit

// executions are the Executed events, by attempt and by intent, and the intent of each attempt that was sent.
type executions struct {
	count         map[string]int   // number of executions, by intent
	byAttempt     map[string]Event // the latest execution of each attempt
	firstOfIntent map[string]Event
	intent        map[string]string // by attempt
}

// checkExecutions checks that no request of a client takes effect twice over all its attempts, unless its class is
// idempotent. For classes that are not idempotent, it also checks that no attempt is rejected that takes effect at any
// time, or whose request has taken effect in an earlier attempt.
func checkExecutions(events []Event) RuleResult {
	result := RuleResult{Rule: "no effect twice, no refusal of what may have run"}
	x := executions{
		count:         map[string]int{},
		byAttempt:     map[string]Event{},
		firstOfIntent: map[string]Event{},
		intent:        map[string]string{},
	}
	for _, e := range events {
		switch e.Kind {
		case Sent:
			x.intent[e.Attempt] = e.Intent
		case Executed:
			result.Checks++
			x.add(e)
			if e.Class != Idempotent && x.count[e.Intent] > 1 {
				result.violated(e.At, "%s request with effect %s ran %d times, last at engine %s under the id %s",
					e.Class, e.Intent, x.count[e.Intent], e.Engine, e.Request)
			}
		default:
		}
	}
	for _, e := range events {
		if e.Kind == Answer && e.Result == resultRejected {
			result.Checks++
			x.checkRejection(&result, e)
		}
	}
	return result
}

func (x *executions) add(e Event) {
	x.count[e.Intent]++
	x.byAttempt[e.Attempt] = e
	if _, ok := x.firstOfIntent[e.Intent]; !ok {
		x.firstOfIntent[e.Intent] = e
	}
}

// checkRejection checks that the rejected attempt never ran and that no attempt of its intent ran before the rejection.
func (x *executions) checkRejection(result *RuleResult, rejection Event) {
	if ran, ok := x.byAttempt[rejection.Attempt]; ok && ran.Class == NotIdempotent {
		result.violated(rejection.At, "try %s of an unsafe class was refused, but it had run at engine %s",
			rejection.Attempt, ran.Engine)
		return
	}
	first, ok := x.firstOfIntent[x.intent[rejection.Attempt]]
	if ok && first.Class == NotIdempotent && first.At < rejection.At {
		result.violated(rejection.At,
			"try %s of a request of an unsafe class was refused, but try %s of it had run at engine %s",
			rejection.Attempt, first.Attempt, first.Engine)
	}
}
