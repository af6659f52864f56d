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

// Environment variables of TestMutatedGatewaysViolateRules.
const (
	mutationRunsEnv   = "BRACKENBEND_MUTATION_RUNS"   // default scenarios to play for each mutation
	mutationLengthEnv = "BRACKENBEND_MUTATION_LENGTH" // of each of them, if not as the scenario says
)

// mutation is a gateway with a fault that violates a rule.
type mutation struct {
	rule  int // counts from 0
	hooks gateway.TestHooks
}

// mutations has one for each row of the outcome table that a rule depends on, and one for each duty of the rules. A
// scenario that does not detect them proves nothing.
//
// Rows that classify what never ran as what may have run cost service and violate no rule; internal/engine tests them.
// The same holds for canceled attempts: the router cancels only those of requests that have their answer.
var mutations = map[string]mutation{
	"connection reset reported as connect failure": {
		1, gateway.TestHooks{Outcome: replaceResult(routing.ConnectionReset, routing.ConnectFailed)},
	},
	"engine error reported as rejection": {
		1, gateway.TestHooks{Outcome: replaceResult(routing.EngineError, routing.Rejected)},
	},
	"timeout reported as not sent": {
		1, gateway.TestHooks{Outcome: replaceResult(routing.TimedOut, routing.NotSent)},
	},
	"connection reset reported as served": {
		0, gateway.TestHooks{Outcome: replaceResult(routing.ConnectionReset, routing.Served)},
	},
	"ignores drains": {2, gateway.TestHooks{EndpointUpdate: ignoreDrains}},
	"ignores drains and keeps endpoints open": {
		2, gateway.TestHooks{EndpointUpdate: ignoreDrains, AfterOpenOrClose: (*engine.Endpoint).Open},
	},
	"retries requests that are not idempotent": {1, gateway.TestHooks{Settings: allIdempotent}},
	"executes possible duplicates": {
		1, gateway.TestHooks{Request: func(q *routing.Request) { q.PossibleDuplicate = false }},
	},
	"drops the idempotency key":  {1, gateway.TestHooks{IdempotencyKey: func(string) string { return "" }}},
	"rejects what may have run":  {1, gateway.TestHooks{Action: rejectInsteadOfFail}},
	"answers late":               {0, gateway.TestHooks{FirstTokenTimeout: waitLonger}},
	"answers twice":              {0, gateway.TestHooks{Answer: duplicateResponse}},
	"drops every eighth answer":  {0, gateway.TestHooks{Answer: replaceEveryEighth[[]byte](nil)}},
	"drops every eighth release": {4, gateway.TestHooks{Action: dropEveryEighthRelease}},
	"ignores slow start":         {3, gateway.TestHooks{Settings: func(c *routing.Config) { c.SlowStartFor = 0 }}},
}

// replaceResult reports one result of decode attempts as another.
func replaceResult(from, to routing.Result) func(bool, *engine.Outcome) {
	return func(decode bool, outcome *engine.Outcome) {
		if decode && outcome.Result == from {
			outcome.Result = to
		}
	}
}

// ignoreDrains makes endpoints that drain ready.
func ignoreDrains(update *endpointslice.Update) {
	update.Endpoints = slices.Clone(update.Endpoints)
	for i := range update.Endpoints {
		if update.Endpoints[i].State == routing.EndpointDraining {
			update.Endpoints[i].State = routing.EndpointReady
		}
	}
}

func allIdempotent(config *routing.Config) {
	for i := range config.Classes {
		if config.Classes[i].Idempotency == routing.NotIdempotent {
			config.Classes[i].Idempotency = routing.Idempotent
		}
	}
}

// rejectInsteadOfFail promises of failed requests that retrying them is harmless.
func rejectInsteadOfFail(action routing.Action) []routing.Action {
	if fail, ok := action.(routing.Fail); ok && !fail.PossibleDuplicate {
		return []routing.Action{routing.Reject{Request: fail.Request, RetryAfter: 200 * time.Millisecond}}
	}
	return []routing.Action{action}
}

func waitLonger(wait time.Duration) time.Duration { return wait + 3*time.Second }

func duplicateResponse(response []byte) []byte { return append(slices.Clone(response), response...) }

// passed counts the values that have passed through all replaceEveryEighth functions.
var passed atomic.Int64

// replaceEveryEighth returns a function that replaces every eighth value by replacement.
func replaceEveryEighth[T any](replacement T) func(T) T {
	return func(value T) T {
		if passed.Add(1)%8 == 0 {
			return replacement
		}
		return value
	}
}

var dropEveryEighthAction = replaceEveryEighth[routing.Action](nil)

func dropEveryEighthRelease(action routing.Action) []routing.Action {
	if _, ok := action.(routing.ReleaseState); ok && dropEveryEighthAction(action) == nil {
		return nil
	}
	return []routing.Action{action}
}

// TestMutatedGatewaysViolateRules checks that the audit detects violations: an auditor that can't fail proves nothing.
// It plays a few mutations in short scenarios. With BRACKENBEND_MUTATION_RUNS=N it plays N whole default scenarios for
// each mutation and counts how many detect it, which takes a while (docs/results.md has the figures).
func TestMutatedGatewaysViolateRules(t *testing.T) {
	if runs, _ := strconv.Atoi(os.Getenv(mutationRunsEnv)); runs > 0 {
		for name, m := range mutations {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testMutationInDefaultScenarios(t, name, m.rule, runs)
			})
		}
		return
	}
	for _, c := range []struct{ mutation, faults string }{
		{"ignores drains", `<happen at="1s" what="drain" kind="prefill" for="4s"/>`},
		{
			"retries requests that are not idempotent",
			`<happen at="1s" what="reset-after-effect" kind="decode" for="4s" part="0.5"/>`,
		},
		{
			"engine error reported as rejection",
			`<happen at="1s" what="fail-after-effect" kind="decode" for="4s" count="3" part="0.5"/>`,
		},
		{"answers twice", ``},
	} {
		t.Run(c.mutation, func(t *testing.T) {
			t.Parallel()
			testMutationInShortScenario(t, c.mutation, c.faults)
		})
	}
}

// testMutationInDefaultScenarios plays default scenarios with other seeds; nine in ten must detect the mutation.
func testMutationInDefaultScenarios(t *testing.T, name string, rule, runs int) {
	t.Helper()
	detected, violations := 0, 0
	for i := range runs {
		s, err := scenario.Default()
		if err != nil {
			t.Fatal(err)
		}
		s.Seed += i
		length := s.Length
		if override, err := time.ParseDuration(os.Getenv(mutationLengthEnv)); err == nil {
			length = override
		}
		report := playScenario(t, s, length, mutationEnv+"="+name)
		if n := len(report.Rules[rule].Violations); n > 0 {
			detected++
			violations += n
		}
	}
	fmt.Printf("mutation: %-44s detected in %d of %d scenarios, %.1f violations a scenario\n",
		name, detected, runs, float64(violations)/float64(runs))
	if 10*detected < 9*runs {
		t.Errorf("detected in %d of %d scenarios", detected, runs)
	}
}

// shortScenario has the faults in the place of %s.
const shortScenario = `<day length="6s" rate="40/s" fronts="2" seed="3">
  <service max-attempts="4" release-within="500ms" drain-grace="500ms" writers-read="true" cancel="true"
    client-retries="1"/>
  <engines kind="prefill" role="reader" count="2" slots="8" queue="40" memory="250000tokens" read-rate="20000/s"/>
  <engines kind="decode" role="writer" count="3" slots="48" queue="24" memory="180000tokens"
    read-rate="7000/s" step="20ms" fetch-rate="250000/s"/>
  <class name="order" effect="unsafe" share="1" aim="2s" deadline="4s" prompt="300tokens"
    answer="40tokens" not-streamed-part="0.2"/>%s</day>`

func testMutationInShortScenario(t *testing.T, name, faults string) {
	t.Helper()
	s, err := scenario.Parse("mutation.xml", fmt.Appendf(nil, shortScenario, faults))
	if err != nil {
		t.Fatal(err)
	}
	m, ok := mutations[name]
	if !ok {
		t.Fatalf("no mutation %q", name)
	}
	report := playScenario(t, s, s.Length, mutationEnv+"="+name)
	if len(report.Rules[m.rule].Violations) == 0 {
		t.Errorf("no violation of rule %d was detected", m.rule+1)
	}
}
