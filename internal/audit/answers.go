package audit

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// killMargin is how long before or after an attempt a kill of its replica still explains a missing answer. The client
// may see the connection end before or after the kill is recorded; 1 s covers the scheduling lag of a busy machine.
const killMargin = time.Second

// replicaKills holds the times at which each replica was killed, by the name of the replica.
type replicaKills map[string][]time.Duration

func findReplicaKills(events []Event) replicaKills {
	kills := replicaKills{}
	for _, e := range events {
		if e.Kind == ReplicaKilled {
			kills[e.Replica] = append(kills[e.Replica], e.At)
		}
	}
	return kills
}

// killedNear reports whether the replica was killed between from and to, or within killMargin of them.
func (k replicaKills) killedNear(replica string, from, to time.Duration) bool {
	return slices.ContainsFunc(k[replica], func(at time.Duration) bool {
		return at >= from-killMargin && at <= to+killMargin
	})
}

// attemptRecord holds how an attempt was sent and how it ended.
type attemptRecord struct {
	sentEvent   Event
	endEvent    Event // the first answer, connection cut or disconnect of the client; Kind is "" while there is none
	answerCount int   // number of final answers
}

// answerCheck checks that each attempt gets exactly one final answer and no bytes after it. The answer may be missing
// only where the client disconnected or the replica was killed. Every final answer except a served or broken one must
// come before the client's deadline.
type answerCheck struct {
	result           RuleResult
	attempts         map[string]*attemptRecord
	kills            replicaKills
	slowestRejection time.Duration // longest time from an attempt to its rejection or failure
}

func checkAnswers(events []Event) RuleResult {
	c := answerCheck{
		result:   RuleResult{Rule: "one final answer in time, nothing after it"},
		attempts: map[string]*attemptRecord{},
		kills:    findReplicaKills(events),
	}
	for _, e := range events {
		switch e.Kind {
		case AttemptSent:
			c.attempts[e.Attempt] = &attemptRecord{sentEvent: e}
		case Answer, ConnectionCut, ClientDisconnected, ExtraBytes:
			c.addEvent(e)
		default:
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.attempts)) {
		c.result.Checks++
		c.checkEnd(id, c.attempts[id])
	}
	c.result.WorstCase = fmt.Sprintf("slowest refusal or failure %v after the request",
		c.slowestRejection.Round(time.Millisecond))
	return c.result
}

// addEvent processes an event that ends an attempt or follows its end.
func (c *answerCheck) addEvent(e Event) {
	attempt := c.attempts[e.Attempt]
	if attempt == nil { // never recorded as sent: the answer came before the whole request was written
		attempt = &attemptRecord{sentEvent: Event{At: e.At, Deadline: e.At, Replica: e.Replica}}
		c.attempts[e.Attempt] = attempt
	}
	if e.Kind == ExtraBytes {
		c.result.addViolation(e.At, "try %s: bytes after the final answer", e.Attempt)
		return
	}
	if e.Kind == Answer {
		attempt.answerCount++
		if attempt.answerCount > 1 {
			c.result.addViolation(e.At, "try %s: a second final answer (%s)", e.Attempt, e.Result)
		}
	}
	if attempt.endEvent.Kind == "" {
		attempt.endEvent = e
	}
}

// checkEnd checks how an attempt ended, after all events were observed.
func (c *answerCheck) checkEnd(id string, attempt *attemptRecord) {
	sent, end := attempt.sentEvent, attempt.endEvent
	switch end.Kind {
	case ClientDisconnected:
	case Answer:
		if end.Result == resultServed || end.Result == resultBroken {
			return
		}
		c.slowestRejection = max(c.slowestRejection, end.At-sent.At)
		if sent.Deadline > 0 && end.At > sent.Deadline {
			c.result.addViolation(end.At, "try %s: the final answer (%s) came %v after the client's time limit",
				id, end.Result, end.At-sent.Deadline)
		}
	case ConnectionCut:
		if !c.kills.killedNear(sent.Replica, sent.At, end.At) {
			c.result.addViolation(end.At, "try %s: the connection ended without an answer, but replica %s was not killed",
				id, sent.Replica)
		}
	default:
		if !c.kills.killedNear(sent.Replica, sent.At, sent.Deadline) {
			c.result.addViolation(sent.At, "try %s: no answer at all", id)
		}
	}
}
