package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var lim = Limits{DrainGrace: 500 * ms, StateTTL: 500 * ms}

// good is a record in which every rule is checked and kept.
func good() []Event {
	return []Event{
		{At: 0, Kind: EngineStarted, Engine: "r"},
		{At: 1 * ms, Kind: ReplicaStarted, Replica: "f"},
		{At: 10 * ms, Kind: Sent, Attempt: "t1", Intent: "o1", Class: NotIdempotent, Replica: "f", Deadline: 5 * time.Second},
		{At: 12 * ms, Kind: Arrived, Engine: "r", Replica: "f", Request: "x-1-0"},
		{At: 50 * ms, Kind: StateHeld, Engine: "r", Request: "x-1-0"},
		{At: 51 * ms, Kind: Ended, Engine: "r", Request: "x-1-0"},
		{At: 53 * ms, Kind: Arrived, Engine: "w", Replica: "f", Request: "x-1-1", Decode: true},
		{At: 60 * ms, Kind: StateReleased, Engine: "r", Request: "x-1-0"},
		{At: 61 * ms, Kind: Executed, Engine: "w", Request: "x-1-1", Attempt: "t1", Intent: "o1", Class: NotIdempotent},
		{At: 99 * ms, Kind: Ended, Engine: "w", Request: "x-1-1"},
		{At: 100 * ms, Kind: Answer, Attempt: "t1", Result: "served"},
		{At: 200 * ms, Kind: NotifiedGone, Replica: "f", Engine: "r"},
		{At: 600 * ms, Kind: Arrived, Engine: "r", Replica: "f", Request: "x-2-0"},
		{At: 610 * ms, Kind: Ended, Engine: "r", Request: "x-2-0"},
		{At: 700 * ms, Kind: Sent, Attempt: "t2", Intent: "o2", Class: NotIdempotent, Replica: "f", Deadline: 6 * time.Second},
		{At: 800 * ms, Kind: Answer, Attempt: "t2", Result: "refused"},
		{At: 900 * ms, Kind: Sent, Attempt: "t3", Intent: "o3", Class: NotIdempotent, Replica: "f", Deadline: 6 * time.Second},
		{At: 950 * ms, Kind: ReplicaKilled, Replica: "f"},
		{At: 960 * ms, Kind: ConnectionCut, Attempt: "t3"},
	}
}

func TestAuditorSeesEveryRuleBroken(t *testing.T) {
	for _, v := range Check(good(), lim) {
		if v.Checks == 0 || len(v.Violations) > 0 {
			t.Fatalf("a record that keeps the rules: %+v", v)
		}
	}
	drop := func(es []Event, k Kind, try string) (out []Event) {
		for _, e := range es {
			if e.Kind != k || e.Attempt != try {
				out = append(out, e)
			}
		}
		return out
	}
	for name, c := range map[string]struct {
		rule int
		says string
		bend func([]Event) []Event
	}{
		"no answer":   {0, "no answer at all", func(es []Event) []Event { return drop(es, Answer, "t2")[:15] }},
		"late answer": {0, "after the client's time", func(es []Event) []Event { es[14].Deadline = 750 * ms; return es }},
		"two answers": {0, "second final answer", func(es []Event) []Event {
			return append(es, Event{At: 2 * time.Second, Kind: Answer, Attempt: "t1", Result: "failed"})
		}},
		"bytes after": {0, "bytes after", func(es []Event) []Event {
			return append(es, Event{At: 2 * time.Second, Kind: ExtraBytes, Attempt: "t1"})
		}},
		"cut by a live one": {0, "was not killed", func(es []Event) []Event { return drop(es, ReplicaKilled, "") }},
		"run twice": {1, "ran 2 times", func(es []Event) []Event {
			return append(es, Event{At: time.Second, Kind: Executed, Attempt: "t9", Intent: "o1", Class: NotIdempotent})
		}},
		"keyed run twice": {1, "ran 2 times", func(es []Event) []Event {
			es[8].Class = IdempotentWithKey
			return append(es, Event{At: time.Second, Kind: Executed, Intent: "o1", Class: IdempotentWithKey})
		}},
		"refused after run": {1, "was refused", func(es []Event) []Event {
			return append(es, Event{At: 750 * ms, Kind: Executed, Attempt: "t2", Intent: "o2", Class: NotIdempotent})
		}},
		"refused after an earlier try ran": {1, "try t1 of it had run", func(es []Event) []Event { es[14].Intent = "o1"; return es }},
		"sent after a drain":               {2, "after it was told", func(es []Event) []Event { es[12].At = 701 * ms; es[13].At = 702 * ms; return es }},
		"pushed over":                      {3, "fell over", func(es []Event) []Event { return append(es, Event{At: time.Second, Kind: Overloaded, Engine: "r"}) }},
		"held too long":                    {4, "was held", func(es []Event) []Event { es[6].At, es[7].At, es[9].At = 560*ms, 561*ms, 600*ms; return es }},
		"never let go": {4, "was held", func(es []Event) []Event {
			return append(es[:5:5], es[5], es[6], Event{At: 70 * ms, Kind: Ended, Request: "x-1-1"}, es[11], es[12])
		}},
	} {
		v := Check(c.bend(good()), lim)[c.rule]
		if len(v.Violations) == 0 || !strings.Contains(strings.Join(v.Violations, "\n"), c.says) {
			t.Errorf("%s: %+v", name, v)
		}
	}
	safe := good()
	safe[8].Class = Idempotent
	if v := Check(append(safe, Event{At: time.Second, Kind: Executed, Intent: "o1", Class: Idempotent}), lim)[1]; len(v.Violations) > 0 {
		t.Errorf("a safe class may run twice: %+v", v)
	}
	late := append(good(), Event{At: 970 * ms, Kind: Arrived, Engine: "r", Replica: "f", Request: "x-7-0"}, Event{At: 980 * ms, Kind: StateHeld, Request: "x-7-0"},
		Event{At: 981 * ms, Kind: Ended, Request: "x-7-0"}, Event{At: 9 * time.Second, Kind: StateReleased, Request: "x-7-0"})
	if v := Check(late, lim)[4]; len(v.Violations) > 0 {
		t.Errorf("what a killed front sent just before is nobody's: %+v", v)
	}
	told := append(good(), Event{At: 960 * ms, Kind: Arrived, Engine: "r", Replica: "f", Request: "y-1-0"}, Event{At: 970 * ms, Kind: Ended, Request: "y-1-0"})
	if v := Check(told, lim)[2]; len(v.Violations) > 0 {
		t.Errorf("a front's next process was told nothing yet: %+v", v)
	}
}
