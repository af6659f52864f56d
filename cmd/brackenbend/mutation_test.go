package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/internal/gateway"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/routing"
)

// broken are fronts bent on purpose, one for each row of the outcome table that a rule depends on and one for each
// duty of the rules; rule counts from 0. A day that does not notice them proves nothing. Rows that take what never ran
// for what may have run cost service and break no rule: internal/engine holds them. So does "called off": the module
// calls off only what belongs to a request that has its answer.
var broken = map[string]struct {
	rule int
	seam gateway.TestHooks
}{
	"reset is never ran": {
		1,
		gateway.TestHooks{Outcome: misread(routing.ConnectionReset, routing.ConnectFailed)},
	},
	"error is never ran":     {1, gateway.TestHooks{Outcome: misread(routing.EngineError, routing.Rejected)}},
	"time-out is never sent": {1, gateway.TestHooks{Outcome: misread(routing.TimedOut, routing.NotSent)}},
	"a stream's early end is served": {
		0,
		gateway.TestHooks{Outcome: misread(routing.ConnectionReset, routing.Served)},
	},
	"deaf to drains":          {2, gateway.TestHooks{List: deaf}},
	"repeats unsafe requests": {1, gateway.TestHooks{Settings: unsafeIsSafe}},
	"runs its clients' repeats": {
		1,
		gateway.TestHooks{Request: func(q *routing.Request) { q.PossibleDuplicate = false }},
	},
	"loses the key":             {1, gateway.TestHooks{Key: func(string) string { return "" }}},
	"refuses what may have run": {1, gateway.TestHooks{Action: failIsRefuse}},
	"answers late": {
		0,
		gateway.TestHooks{Wait: func(d time.Duration) time.Duration { return d + 3*time.Second }},
	},
	"answers twice":                      {0, gateway.TestHooks{Answer: twice}},
	"loses one answer in eight":          {0, gateway.TestHooks{Answer: oneInEight[[]byte](nil)}},
	"forgets one release in eight":       {4, gateway.TestHooks{Action: forgetful}},
	"takes cold engines for warm":        {3, gateway.TestHooks{Settings: func(s *routing.Config) { s.SlowStartFor = 0 }}},
	"sends on to engines that were shut": {2, gateway.TestHooks{List: deaf, Gate: (*engine.Endpoint).Open}},
}

func misread(from, to routing.Result) func(bool, *engine.Outcome) {
	return func(write bool, o *engine.Outcome) {
		if write && o.Result == from {
			o.Result = to
		}
	}
}

func deaf(u *endpointslice.Update) {
	u.Endpoints = slices.Clone(u.Endpoints)
	for i := range u.Endpoints {
		if u.Endpoints[i].State == routing.EndpointDraining {
			u.Endpoints[i].State = routing.EndpointReady
		}
	}
}

func unsafeIsSafe(s *routing.Config) {
	for i := range s.Classes {
		if s.Classes[i].Idempotency == routing.NotIdempotent {
			s.Classes[i].Idempotency = routing.Idempotent
		}
	}
}

func failIsRefuse(a routing.Action) []routing.Action {
	if f, ok := a.(routing.Fail); ok && !f.PossibleDuplicate {
		return []routing.Action{routing.Reject{Request: f.Request, RetryAfter: 200 * time.Millisecond}}
	}
	return []routing.Action{a}
}

func twice(b []byte) []byte { return append(slices.Clone(b), b...) }

var eighth atomic.Int64

// oneInEight gives other in place of every eighth thing that passes.
func oneInEight[T any](other T) func(T) T {
	return func(v T) T {
		if eighth.Add(1)%8 == 0 {
			return other
		}
		return v
	}
}

var eighthAction = oneInEight[routing.Action](nil)

func forgetful(a routing.Action) []routing.Action {
	if _, ok := a.(routing.ReleaseState); ok && eighthAction(a) == nil {
		return nil
	}
	return []routing.Action{a}
}

// TestMutatedGatewaysViolateRules: an auditor that can't fail proves nothing. Each front breaks its rule in a day of
// the default script, cut short; with BRACKENBEND_BROKEN_DAYS=N it plays N whole default days for each and counts how
// many notice it, which takes a while (docs/results.md has the figures).
func TestMutatedGatewaysViolateRules(t *testing.T) {
	days, _ := strconv.Atoi(os.Getenv("BRACKENBEND_BROKEN_DAYS"))
	if days == 0 {
		t.Run("deaf to drains", func(t *testing.T) {
			brokenShort(t, "deaf to drains", `<happen at="1s" what="drain" kind="prefill" for="4s"/>`)
		})
		t.Run("repeats unsafe requests", func(t *testing.T) {
			brokenShort(
				t,
				"repeats unsafe requests",
				`<happen at="1s" what="reset-after-effect" kind="decode" for="4s" part="0.5"/>`,
			)
		})
		t.Run("error is never ran", func(t *testing.T) {
			brokenShort(
				t,
				"error is never ran",
				`<happen at="1s" what="fail-after-effect" kind="decode" for="4s" count="3" part="0.5"/>`,
			)
		})
		t.Run("answers twice", func(t *testing.T) { brokenShort(t, "answers twice", ``) })
		return
	}
	for name, b := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			caught, breaches := 0, 0
			for i := range days {
				d, err := scenario.Default()
				if err != nil {
					t.Fatal(err)
				}
				d.Seed += i
				length := d.Length
				if s, err := time.ParseDuration(os.Getenv("BRACKENBEND_BROKEN_LENGTH")); err == nil {
					length = s
				}
				rep := play(t, d, length, "BRACKENBEND_TEST_BROKEN="+name)
				if n := len(rep.Rules[b.rule].Violations); n > 0 {
					caught++
					breaches += n
				}
			}
			fmt.Printf(
				"broken: %-36s caught by %d of %d days, %.1f breaches a day\n",
				name,
				caught,
				days,
				float64(breaches)/float64(days),
			)
			if 10*caught < 9*days {
				t.Errorf("caught by %d of %d days", caught, days)
			}
		})
	}
}

func brokenShort(t *testing.T, name, happens string) {
	t.Parallel()
	d, err := scenario.Parse("broken.xml", []byte(`<day length="6s" rate="40/s" fronts="2" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" writers-read="true" cancel="true"
    client-retries="1"/>
  <engines kind="prefill" role="reader" count="2" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="3" slots="48" queue="24" memory="180000tokens"
    read-rate="7000/s" step="20ms" fetch-rate="250000/s"/>
  <class name="order" effect="unsafe" share="1" aim="2s" deadline="4s" prompt="300tokens"
    answer="40tokens" not-streamed-part="0.2"/>`+happens+"</day>"))
	if err != nil {
		t.Fatal(err)
	}
	rule := broken[name].rule
	if rep := play(t, d, d.Length, "BRACKENBEND_TEST_BROKEN="+name); len(rep.Rules[rule].Violations) == 0 {
		t.Errorf("rule %d was not seen broken", rule+1)
	}
}
