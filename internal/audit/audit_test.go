package audit

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var lim = Limits{DrainGrace: 500 * ms, Release: 500 * ms}

// good is a record in which every rule is checked and kept.
func good() []Event {
	return []Event{
		{At: 0, Kind: EngineUp, Engine: "r"},
		{At: 1 * ms, Kind: FrontUp, Front: "f"},
		{At: 10 * ms, Kind: Sent, Try: "t1", Effect: "o1", Class: Unsafe, Front: "f", Until: 5 * time.Second},
		{At: 12 * ms, Kind: Arrive, Engine: "r", Front: "f", Request: "x-1-0"},
		{At: 50 * ms, Kind: Held, Engine: "r", Request: "x-1-0"},
		{At: 51 * ms, Kind: End, Engine: "r", Request: "x-1-0"},
		{At: 53 * ms, Kind: Arrive, Engine: "w", Front: "f", Request: "x-1-1", Write: true},
		{At: 60 * ms, Kind: LetGo, Engine: "r", Request: "x-1-0"},
		{At: 61 * ms, Kind: Run, Engine: "w", Request: "x-1-1", Try: "t1", Effect: "o1", Class: Unsafe},
		{At: 99 * ms, Kind: End, Engine: "w", Request: "x-1-1"},
		{At: 100 * ms, Kind: Answer, Try: "t1", Result: "served"},
		{At: 200 * ms, Kind: Told, Front: "f", Engine: "r"},
		{At: 600 * ms, Kind: Arrive, Engine: "r", Front: "f", Request: "x-2-0"},
		{At: 610 * ms, Kind: End, Engine: "r", Request: "x-2-0"},
		{At: 700 * ms, Kind: Sent, Try: "t2", Effect: "o2", Class: Unsafe, Front: "f", Until: 6 * time.Second},
		{At: 800 * ms, Kind: Answer, Try: "t2", Result: "refused"},
		{At: 900 * ms, Kind: Sent, Try: "t3", Effect: "o3", Class: Unsafe, Front: "f", Until: 6 * time.Second},
		{At: 950 * ms, Kind: FrontKill, Front: "f"},
		{At: 960 * ms, Kind: Cut, Try: "t3"},
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
			if e.Kind != k || e.Try != try {
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
		"late answer": {0, "after the client's time", func(es []Event) []Event { es[14].Until = 750 * ms; return es }},
		"two answers": {0, "second final answer", func(es []Event) []Event {
			return append(es, Event{At: 2 * time.Second, Kind: Answer, Try: "t1", Result: "failed"})
		}},
		"bytes after":       {0, "bytes after", func(es []Event) []Event { return append(es, Event{At: 2 * time.Second, Kind: Extra, Try: "t1"}) }},
		"cut by a live one": {0, "was not killed", func(es []Event) []Event { return drop(es, FrontKill, "") }},
		"run twice": {1, "ran 2 times", func(es []Event) []Event {
			return append(es, Event{At: time.Second, Kind: Run, Try: "t9", Effect: "o1", Class: Unsafe})
		}},
		"keyed run twice": {1, "ran 2 times", func(es []Event) []Event {
			es[8].Class = Keyed
			return append(es, Event{At: time.Second, Kind: Run, Effect: "o1", Class: Keyed})
		}},
		"refused after run": {1, "was refused", func(es []Event) []Event {
			return append(es, Event{At: 750 * ms, Kind: Run, Try: "t2", Effect: "o2", Class: Unsafe})
		}},
		"refused after an earlier try ran": {1, "try t1 of it had run", func(es []Event) []Event { es[14].Effect = "o1"; return es }},
		"sent after a drain":               {2, "after it was told", func(es []Event) []Event { es[12].At = 701 * ms; es[13].At = 702 * ms; return es }},
		"pushed over":                      {3, "fell over", func(es []Event) []Event { return append(es, Event{At: time.Second, Kind: Fell, Engine: "r"}) }},
		"held too long":                    {4, "was held", func(es []Event) []Event { es[6].At, es[7].At, es[9].At = 560*ms, 561*ms, 600*ms; return es }},
		"never let go": {4, "was held", func(es []Event) []Event {
			return append(es[:5:5], es[5], es[6], Event{At: 70 * ms, Kind: End, Request: "x-1-1"}, es[11], es[12])
		}},
	} {
		v := Check(c.bend(good()), lim)[c.rule]
		if len(v.Violations) == 0 || !strings.Contains(strings.Join(v.Violations, "\n"), c.says) {
			t.Errorf("%s: %+v", name, v)
		}
	}
	safe := good()
	safe[8].Class = Safe
	if v := Check(append(safe, Event{At: time.Second, Kind: Run, Effect: "o1", Class: Safe}), lim)[1]; len(v.Violations) > 0 {
		t.Errorf("a safe class may run twice: %+v", v)
	}
	late := append(good(), Event{At: 970 * ms, Kind: Arrive, Engine: "r", Front: "f", Request: "x-7-0"}, Event{At: 980 * ms, Kind: Held, Request: "x-7-0"},
		Event{At: 981 * ms, Kind: End, Request: "x-7-0"}, Event{At: 9 * time.Second, Kind: LetGo, Request: "x-7-0"})
	if v := Check(late, lim)[4]; len(v.Violations) > 0 {
		t.Errorf("what a killed front sent just before is nobody's: %+v", v)
	}
	told := append(good(), Event{At: 960 * ms, Kind: Arrive, Engine: "r", Front: "f", Request: "y-1-0"}, Event{At: 970 * ms, Kind: End, Request: "y-1-0"})
	if v := Check(told, lim)[2]; len(v.Violations) > 0 {
		t.Errorf("a front's next process was told nothing yet: %+v", v)
	}
}
