package audit

import (
	"fmt"
	"time"
)

// replicaEngine names a replica and an engine of which the API server notifies it.
type replicaEngine struct{ replica, engine string }

// checkDrains checks that a replica sends no more requests to an engine that drains or is gone. The last one must reach
// the engine within the drain grace after the API server notified the replica.
func checkDrains(events []Event, limits Limits) RuleResult {
	result := RuleResult{Rule: "drains are kept"}
	notifiedAt := map[replicaEngine]time.Duration{}
	var longestDelay time.Duration
	for _, e := range events {
		key := replicaEngine{e.Replica, e.Engine}
		switch e.Kind {
		case NotifiedGone:
			if _, ok := notifiedAt[key]; !ok {
				notifiedAt[key] = e.At
			}
		case NotifiedReady:
			delete(notifiedAt, key)
		case ReplicaKilled: // its next process has not been notified yet
			for k := range notifiedAt {
				if k.replica == e.Replica {
					delete(notifiedAt, k)
				}
			}
		case RequestArrived:
			result.Checks++
			at, ok := notifiedAt[key]
			if !ok {
				continue
			}
			delay := e.At - at
			longestDelay = max(longestDelay, delay)
			if delay > limits.DrainGrace+limits.Slack {
				result.addViolation(e.At, "%s sent request %s to engine %s %v after it was told that the engine drains or is gone",
					e.Replica, e.Request, e.Engine, delay)
			}
		default:
		}
	}
	result.WorstCase = fmt.Sprintf("latest arrival %v after the replica was told of a drain or removal, %v allowed",
		longestDelay.Round(time.Millisecond), limits.DrainGrace)
	return result
}
