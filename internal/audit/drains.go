package audit

import (
	"fmt"
	"time"
)

// replicaEngine is a replica and an engine that it knows of.
type replicaEngine struct{ replica, engine string }

// checkDrains checks that nothing new reaches an engine later than the grace period after the replica was notified that
// the engine drains or is gone.
func checkDrains(events []Event, limits Limits) RuleResult {
	result := RuleResult{Rule: "drains are kept"}
	notified := map[replicaEngine]time.Duration{}
	var latest time.Duration
	for _, e := range events {
		key := replicaEngine{e.Replica, e.Engine}
		switch e.Kind {
		case NotifiedGone:
			if _, ok := notified[key]; !ok {
				notified[key] = e.At
			}
		case NotifiedReady:
			delete(notified, key)
		case ReplicaKilled: // its next process has to be notified again
			for k := range notified {
				if k.replica == e.Replica {
					delete(notified, k)
				}
			}
		case Arrived:
			result.Checks++
			at, ok := notified[key]
			if !ok {
				continue
			}
			delay := e.At - at
			latest = max(latest, delay)
			if delay > limits.DrainGrace+limits.Slack {
				result.violated(e.At, "%s sent %s to %s %v after it was told", e.Replica, e.Request, e.Engine, delay)
			}
		default:
		}
	}
	result.WorstCase = fmt.Sprintf("latest arrival %v after the front was told, %v allowed",
		latest.Round(time.Millisecond), limits.DrainGrace)
	return result
}
