package audit

// checkSlowStart checks that no engine is overloaded while it is in slow start.
func checkSlowStart(events []Event) RuleResult {
	result := RuleResult{Rule: "no cold engine is pushed over"}
	for _, e := range events {
		switch e.Kind {
		case EngineStarted:
			result.Checks++
		case EngineOverloaded:
			result.addViolation(e.At, "engine %s fell over: it was overloaded in slow start", e.Engine)
		default:
		}
	}
	return result
}
