package audit

import (
	"fmt"
	"time"
)

// An overload in slow start violates the rule if more than this part of the requests that caused it came from replicas
// that were notified of the engine's start. Replicas that have not been notified can't hold back.
const (
	notifiedNumerator   = 2
	notifiedDenominator = 3
)

// startedEngine is an engine since its last start.
type startedEngine struct {
	notified map[string]bool // replicas that were notified that it is ready
	arrivals []startedArrival
}

// startedArrival is a request that reached an engine.
type startedArrival struct {
	at       time.Duration
	notified bool // its replica had been notified of the engine's start
}

// recentArrivals returns how many requests arrived within a window before now, and how many of them came from replicas
// that had been notified.
func (e *startedEngine) recentArrivals(now, window time.Duration) (all, notified int) {
	for _, arrival := range e.arrivals {
		if now-arrival.at > window {
			continue
		}
		all++
		if arrival.notified {
			notified++
		}
	}
	return all, notified
}

// checkSlowStart checks that no engine is overloaded while it is in slow start by replicas that were notified of its
// start. An overload whose requests are not in the record counts as a violation too.
func checkSlowStart(events []Event, limits Limits) RuleResult {
	result := RuleResult{Rule: "no cold engine is pushed over"}
	engines, allowed := map[string]*startedEngine{}, 0
	for _, e := range events {
		engine := engines[e.Engine]
		if engine == nil {
			engine = &startedEngine{notified: map[string]bool{}}
			engines[e.Engine] = engine
		}
		switch e.Kind {
		case EngineStarted:
			result.Checks++
			engines[e.Engine] = &startedEngine{notified: map[string]bool{}}
		case NotifiedReady:
			engine.notified[e.Replica] = true
		case ReplicaKilled: // its next process has not been notified yet
			for _, engine := range engines {
				delete(engine.notified, e.Replica)
			}
		case RequestArrived:
			notified := engine.notified[e.Replica] || e.Replica == "" // an unknown sender excuses nothing
			engine.arrivals = append(engine.arrivals, startedArrival{e.At, notified})
		case EngineOverloaded:
			all, notified := engine.recentArrivals(e.At, limits.OverloadAfter)
			if all > 0 && notified*notifiedDenominator <= all*notifiedNumerator {
				allowed++
				continue
			}
			result.addViolation(e.At, "engine %s fell over: it was overloaded in slow start, by %d requests of which %d came "+
				"from replicas that were told of its start", e.Engine, all, notified)
		default:
		}
	}
	if allowed > 0 {
		result.WorstCase = fmt.Sprintf("%d fell over by replicas that were not told of the start, which is allowed", allowed)
	}
	return result
}
