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
	mutationRunsEnv   = "BRACKENBEND_MUTATION_RUNS"   // number of default scenarios to run for each mutation
	mutationLengthEnv = "BRACKENBEND_MUTATION_LENGTH" // length to which each of them is scaled; unset = its own
)

// mutation is a fault of the gateway that makes it violate a rule.
type mutation struct {
	ruleIndex int // index in the report's rules
	hooks     gateway.TestHooks
}

// mutations has a fault for each row of the attempt outcome table that a rule depends on, and a fault for each
// obligation of the rules. A scenario in which they are not detected proves nothing by passing.
//
// There are no mutations that report an attempt that never ran as one that may have run: they reduce the service but
// violate no rule, and tests of internal/engine cover these rows. Neither are there mutations of canceled attempts,
// since the router cancels only attempts of requests that already have their answer.
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
	"retries requests that are not idempotent": {1, gateway.TestHooks{Settings: markAllIdempotent}},
	"executes possible duplicates": {
		1, gateway.TestHooks{Request: func(q *routing.Request) { q.PossibleDuplicate = false }},
	},
	"drops the idempotency key":  {1, gateway.TestHooks{IdempotencyKey: func(string) string { return "" }}},
	"rejects what may have run":  {1, gateway.TestHooks{Action: rejectInsteadOfFail}},
	"answers late":               {0, gateway.TestHooks{FirstTokenTimeout: extendTimeout}},
	"answers twice":              {0, gateway.TestHooks{Answer: duplicateResponse}},
	"drops every eighth answer":  {0, gateway.TestHooks{Answer: replaceEveryEighth[[]byte](nil)}},
	"drops every eighth release": {4, gateway.TestHooks{Action: dropEveryEighthRelease}},
	"ignores slow start":         {3, gateway.TestHooks{Settings: func(c *routing.Config) { c.SlowStartFor = 0 }}},
}

// replaceResult returns a hook that reports one result of decode attempts as another.
func replaceResult(from, to routing.Result) func(bool, *engine.Outcome) {
	return func(decode bool, outcome *engine.Outcome) {
		if decode && outcome.Result == from {
			outcome.Result = to
		}
	}
}

// ignoreDrains lists draining endpoints as ready.
func ignoreDrains(update *endpointslice.Update) {
	update.Endpoints = slices.Clone(update.Endpoints)
	for i := range update.Endpoints {
		if update.Endpoints[i].State == routing.EndpointDraining {
			update.Endpoints[i].State = routing.EndpointReady
		}
	}
}

func markAllIdempotent(config *routing.Config) {
	for i := range config.Classes {
		if config.Classes[i].Idempotency == routing.NotIdempotent {
			config.Classes[i].Idempotency = routing.Idempotent
		}
	}
}

// rejectInsteadOfFail rejects requests that should fail: the client is told that a retry can't repeat an effect,
// although the request may have run.
func rejectInsteadOfFail(action routing.Action) []routing.Action {
	if fail, ok := action.(routing.Fail); ok && !fail.PossibleDuplicate {
		return []routing.Action{routing.Reject{Request: fail.Request, RetryAfter: 200 * time.Millisecond}}
	}
	return []routing.Action{action}
}

func extendTimeout(timeout time.Duration) time.Duration { return timeout + 3*time.Second }

func duplicateResponse(response []byte) []byte { return append(slices.Clone(response), response...) }

// replaceEveryEighthCalls counts the calls of all functions that replaceEveryEighth has returned.
var replaceEveryEighthCalls atomic.Int64

// replaceEveryEighth returns a function that returns replacement in place of every eighth value.
func replaceEveryEighth[T any](replacement T) func(T) T {
	return func(value T) T {
		if replaceEveryEighthCalls.Add(1)%8 == 0 {
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

// TestMutatedGatewaysViolateRules checks that the audit detects gateways that violate a rule, since a passed audit
// means something only if it can fail. It runs a few mutations in short scenarios. With BRACKENBEND_MUTATION_RUNS=N it
// runs N default scenarios for each mutation and counts those that detect it, which takes long (docs/results.md has the
// results).
func TestMutatedGatewaysViolateRules(t *testing.T) {
	if runs, _ := strconv.Atoi(os.Getenv(mutationRunsEnv)); runs > 0 {
		for name, m := range mutations {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testMutationInDefaultScenarios(t, name, m.ruleIndex, runs)
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

// testMutationInDefaultScenarios runs default scenarios with different seeds, of which nine in ten must detect the
// mutation.
func testMutationInDefaultScenarios(t *testing.T, name string, ruleIndex, runs int) {
	t.Helper()
	detectedRuns, violationCount := 0, 0
	for i := range runs {
		s, err := scenario.Default()
		if err != nil {
			t.Fatal(err)
		}
		s.Seed += i
		length := s.Length
		if lengthOverride, err := time.ParseDuration(os.Getenv(mutationLengthEnv)); err == nil {
			length = lengthOverride
		}
		report := runScenario(t, s, length, mutationEnv+"="+name)
		if n := len(report.Rules[ruleIndex].Violations); n > 0 {
			detectedRuns++
			violationCount += n
		}
	}
	fmt.Printf("mutation: %-44s detected in %d of %d scenarios, %.1f violations a scenario\n",
		name, detectedRuns, runs, float64(violationCount)/float64(runs))
	if 10*detectedRuns < 9*runs {
		t.Errorf("detected in %d of %d scenarios", detectedRuns, runs)
	}
}

// shortScenario is a scenario file with a blank for faults.
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
	report := runScenario(t, s, s.Length, mutationEnv+"="+name)
	if len(report.Rules[m.ruleIndex].Violations) == 0 {
		t.Errorf("no violation of rule %d was detected", m.ruleIndex+1)
	}
}
