package audit

// executions are the Executed events, by attempt and by intent, and the intent of each attempt that was sent.
type executions struct {
	countByIntent   map[string]int   // number of executions, by intent
	byAttempt       map[string]Event // the latest execution of each attempt
	firstByIntent   map[string]Event
	intentByAttempt map[string]string // by attempt
}

// checkExecutions checks that no request of a client takes effect twice over all its attempts, unless its class is
// idempotent. For classes that are not idempotent, it also checks that no attempt is rejected that takes effect at any
// time, or whose request has taken effect in an earlier attempt.
func checkExecutions(events []Event) RuleResult {
	result := RuleResult{Rule: "no effect twice, no refusal of what may have run"}
	x := executions{
		countByIntent:   map[string]int{},
		byAttempt:       map[string]Event{},
		firstByIntent:   map[string]Event{},
		intentByAttempt: map[string]string{},
	}
	for _, e := range events {
		switch e.Kind {
		case AttemptSent:
			x.intentByAttempt[e.Attempt] = e.Intent
		case Executed:
			result.Checks++
			x.add(e)
			if e.Class != Idempotent && x.countByIntent[e.Intent] > 1 {
				result.addViolation(e.At, "%s request with effect %s ran %d times, last at engine %s under the id %s",
					e.Class, e.Intent, x.countByIntent[e.Intent], e.Engine, e.Request)
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
	x.countByIntent[e.Intent]++
	x.byAttempt[e.Attempt] = e
	if _, ok := x.firstByIntent[e.Intent]; !ok {
		x.firstByIntent[e.Intent] = e
	}
}

// checkRejection checks that the rejected attempt never ran and that no attempt of its intent ran before the rejection.
func (x *executions) checkRejection(result *RuleResult, rejection Event) {
	if execution, ok := x.byAttempt[rejection.Attempt]; ok && execution.Class == NotIdempotent {
		result.addViolation(rejection.At, "try %s of an unsafe class was refused, but it had run at engine %s",
			rejection.Attempt, execution.Engine)
		return
	}
	first, ok := x.firstByIntent[x.intentByAttempt[rejection.Attempt]]
	if ok && first.Class == NotIdempotent && first.At < rejection.At {
		result.addViolation(rejection.At,
			"try %s of a request of an unsafe class was refused, but try %s of it had run at engine %s",
			rejection.Attempt, first.Attempt, first.Engine)
	}
}
