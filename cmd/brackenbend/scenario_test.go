package main

import (
	"bytes"
	"context"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"brackenbend/internal/audit"
	"brackenbend/internal/scenariorun"
	"brackenbend/internal/simulation/scenario"
	"brackenbend/internal/simulation/trace"
)

// testRate is the rate of scenarios in requests a second. It is low, since tests of other packages run at the same
// time.
const testRate = 20

// runScenario runs a scenario, scaled to a length, with replicas that are child processes. Env is added to their
// environment.
func runScenario(t *testing.T, s *scenario.Scenario, length time.Duration, env ...string) *scenariorun.Report {
	t.Helper()
	return runScenarioIn(t, t.TempDir(), s, length, env...)
}

// runScenarioIn is runScenario with a directory for the settings and logs of the replicas.
func runScenarioIn(
	t *testing.T, dir string, s *scenario.Scenario, length time.Duration, env ...string,
) *scenariorun.Report {
	t.Helper()
	if err := s.Scale(length); err != nil {
		t.Fatal(err)
	}
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	report, err := scenariorun.Run(
		context.Background(),
		s,
		scenariorun.Options{Binary: executable, Env: append(env, brackenbendEnv...), WorkDir: dir},
	)
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := report.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
	return report
}

// TestDefaultScenarioKeepsRules also makes recordings from the replicas' logs. They have each accepted request, except
// for those of a replica that was killed.
func TestDefaultScenarioKeepsRules(t *testing.T) {
	s, err := scenario.Default()
	if err != nil {
		t.Fatal(err)
	}
	s.Rate = testRate
	dir := t.TempDir()
	report := runScenarioIn(t, dir, s, 15*time.Second)
	if report.Violations() > 0 {
		t.Errorf("%d violations", report.Violations())
	}
	logs, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	recordedCount, attemptCount := 0, 0
	for _, class := range report.Classes {
		attemptCount += class.Attempts
	}
	for _, name := range logs {
		recordedCount += checkRecording(t, s, name)
	}
	if recordedCount < attemptCount*8/10 || recordedCount > attemptCount {
		t.Errorf("%d requests recorded, clients sent %d", recordedCount, attemptCount)
	}
}

// checkRecording makes a recording from a replica's log, checks that the scenario can run with it, and returns the
// number of its requests.
func checkRecording(t *testing.T, s *scenario.Scenario, logFile string) int {
	t.Helper()
	log, err := os.Open(logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	var recording bytes.Buffer
	requestCount, _, err := trace.FromLog(log, &recording)
	if err != nil {
		t.Fatal(err)
	}
	recordedTrace, err := trace.Read(&recording)
	if err != nil || len(recordedTrace.Requests) != requestCount {
		t.Fatalf("%s: %d of %d requests: %v", logFile, len(recordedTrace.Requests), requestCount, err)
	}
	if requests, err := recordedTrace.RecordedRequests(s); err != nil || len(requests) != requestCount {
		t.Errorf("%s: %v", logFile, err)
	}
	return requestCount
}

// enginesHoldingStates returns the engines that hold a read state at the end of the events.
func enginesHoldingStates(events []audit.Event) []string {
	type state struct{ engine, request string }
	heldStates := map[state]bool{}
	for _, event := range events {
		switch event.Kind {
		case audit.StateHeld:
			heldStates[state{event.Engine, event.Request}] = true
		case audit.StateReleased:
			delete(heldStates, state{event.Engine, event.Request})
		default:
		}
	}
	engines := map[string]bool{}
	for s := range heldStates {
		engines[s.engine] = true
	}
	return slices.Sorted(maps.Keys(engines))
}

// TestKillingAllReplicasDuringRoleChangesKeepsRules runs a scenario that kills all replicas right after engines were
// commanded to change role, the second time while the API server is unreachable.
func TestKillingAllReplicasDuringRoleChangesKeepsRules(t *testing.T) {
	s, err := scenario.Load("../../scenarios/roles-restart.xml")
	if err != nil {
		t.Fatal(err)
	}
	s.Rate = testRate
	report := runScenario(t, s, 15*time.Second)
	if report.Violations() > 0 {
		t.Errorf("%d violations", report.Violations())
	}
	killCount, maxChanging := 0, 0
	for _, event := range report.Events {
		if event.Kind == audit.ReplicaKilled {
			killCount++
		}
	}
	for _, sample := range report.RoleSamples {
		maxChanging = max(maxChanging, sample.Changing)
	}
	lastSample := report.RoleSamples[len(report.RoleSamples)-1]
	if killCount != 8 || lastSample.Commands < 4 || maxChanging == 0 {
		t.Errorf("%d replicas killed, at most %d engines changing role at once, last sample %+v",
			killCount, maxChanging, lastSample)
	}
	// An engine that drains holds the read states of a killed replica until it drops them by itself, which is after the
	// scenario's end. So an engine that holds some may still be changing.
	if holdingEngines := enginesHoldingStates(report.Events); lastSample.Changing > len(holdingEngines) {
		t.Errorf("at the end %d engines are changing role, but only %v hold read states", lastSample.Changing, holdingEngines)
	}
	dir := t.TempDir()
	if err := report.Plot(dir); err != nil {
		t.Error(err)
	}
	for _, name := range []string{"service.svg", "roles.svg"} {
		if text, err := os.ReadFile(filepath.Join(dir, name)); err != nil || !bytes.Contains(text, []byte("<svg")) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestScenarioFilesParse(t *testing.T) {
	files, err := filepath.Glob("../../scenarios/*.xml")
	if err != nil || len(files) == 0 {
		t.Fatalf("scenario files %v, error %v", files, err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			if _, err := scenario.Load(file); err != nil {
				t.Error(err)
			}
		})
	}
	t.Run("default", func(t *testing.T) {
		if _, err := scenario.Default(); err != nil {
			t.Error(err)
		}
	})
}
