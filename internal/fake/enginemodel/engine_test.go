package enginemodel

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testParams() Params {
	return Params{
		CanPrefill:     true,
		CanDecode:      true,
		Slots:          2,
		MaxQueued:      2,
		MemoryTokens:   10000,
		PrefillRate:    10000,
		PrefillChunk:   500,
		StepTime:       10 * time.Millisecond,
		FetchRate:      100000,
		CacheTokens:    5000,
		SlowStartFrom:  0.25,
		SlowStartFor:   10 * time.Second,
		OverloadFactor: 2,
		OverloadAfter:  time.Second,
		StateTTL:       5 * time.Second,
	}
}

func TestReadStatePassesFromPrefillToDecode(t *testing.T) {
	prefill, decode := New(testParams(), 0, false), New(testParams(), 0, false)
	var prefilledAt, tokens, doneAt time.Duration
	if !prefill.Submit(0, &Job{
		ID: "a", PromptTokens: 1000, Prefix: "p", PrefixTokens: 800, PrefillOnly: true,
		OnDone: func(float64) { prefilledAt = prefill.now },
	}) {
		t.Fatal("rejected")
	}
	prefill.Advance(time.Second)
	if prefilledAt != 100*time.Millisecond || prefill.ReadStateCount() != 1 || prefill.usedMemory != 1000 {
		t.Fatalf("prefilled at %v, %d states, %v used", prefilledAt, prefill.ReadStateCount(), prefill.usedMemory)
	}
	state, ok := prefill.TakeReadState(time.Second, "a")
	if _, again := prefill.TakeReadState(time.Second, "a"); !ok || again || state != 1000 || prefill.usedMemory != 0 {
		t.Fatalf("state %v %v, again %v, %v used", state, ok, again, prefill.usedMemory)
	}
	decode.Submit(time.Second, &Job{
		ID: "a", PromptTokens: 1000, FetchTokens: state, OutputTokens: 3,
		OnToken: func(int) { tokens++ }, OnDone: func(float64) { doneAt = decode.now },
	})
	decode.Advance(2 * time.Second)
	if tokens != 3 || doneAt != time.Second+40*time.Millisecond || decode.usedMemory != 0 { // fetch 10 ms, three steps
		t.Fatalf("%d tokens, done at %v, %v used", tokens, doneAt, decode.usedMemory)
	}
}

func TestPrefixCacheIsUsedUntilCleared(t *testing.T) {
	e := New(testParams(), 0, false)
	cached := map[string]float64{}
	prefill := func(at time.Duration, id string) {
		t.Helper()
		accepted := e.Submit(at, &Job{
			ID: id, PromptTokens: 1000, Prefix: "p", PrefixTokens: 800, PrefillOnly: true,
			OnDone: func(tokens float64) { cached[id] = tokens },
		})
		if !accepted {
			t.Fatalf("%s: rejected", id)
		}
		e.Advance(at + time.Second)
		if _, done := cached[id]; !done {
			t.Fatalf("%s: not done", id)
		}
	}
	prefill(0, "first")
	prefill(2*time.Second, "second")
	e.ClearPrefixCache()
	prefill(3*time.Second, "after clearing")
	if cached["first"] != 0 || cached["second"] != 800 || cached["after clearing"] != 0 {
		t.Fatalf("tokens found in the cache: %v", cached)
	}
}

func TestReadStatesExpire(t *testing.T) {
	e := New(testParams(), 0, false)
	for i, id := range []string{"a", "b"} {
		e.Submit(time.Duration(i)*time.Second, &Job{ID: id, PromptTokens: 1000, PrefillOnly: true})
	}
	e.Advance(4 * time.Second)
	if e.ReadStateCount() != 2 || e.usedMemory != 2000 {
		t.Fatalf("before their TTL: %d states, %v used", e.ReadStateCount(), e.usedMemory)
	}
	e.Advance(20 * time.Second)
	if e.ReadStateCount() != 0 || e.usedMemory != 0 {
		t.Fatalf("after their TTL: %d states, %v used", e.ReadStateCount(), e.usedMemory)
	}
}

func TestFullQueueRejectsAndCancelFreesSlot(t *testing.T) {
	e := New(testParams(), 0, false)
	var jobs []*Job
	for i := range 5 {
		job := &Job{ID: string(rune('a' + i)), PromptTokens: 100, OutputTokens: 1000}
		if got := e.Submit(0, job); got != (i < 4) {
			t.Fatalf("job %d accepted: %v", i, got)
		}
		jobs = append(jobs, job)
	}
	e.Cancel(time.Second, jobs[0])
	e.Cancel(time.Second, jobs[0])
	if len(e.running) != 2 || len(e.queue) != 1 {
		t.Fatalf("%d running, %d queued", len(e.running), len(e.queue))
	}
	lost := 0
	for _, job := range jobs {
		job.OnLost = func() { lost++ }
	}
	e.Reset()
	if lost != 3 || e.usedMemory != 0 {
		t.Fatalf("%d lost, %v used", lost, e.usedMemory)
	}
}

func TestPreemptedJobsFinishWhenMemoryRunsOut(t *testing.T) {
	params := testParams()
	params.MemoryTokens = 1000
	e := New(params, 0, false)
	done := 0
	for range 2 {
		e.Submit(0, &Job{PromptTokens: 400, OutputTokens: 300, OnDone: func(float64) { done++ }})
	}
	e.Advance(time.Minute)
	if done != 2 || e.usedMemory != 0 {
		t.Fatalf("%d done, %v used", done, e.usedMemory)
	}
}

func TestTooMuchWorkInSlowStartCrashesEngine(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration
		want     bool // overloaded
	}{
		{"below the overload limit", 100 * time.Millisecond, false},
		{"above the overload limit", 20 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			params := testParams()
			params.MaxQueued = 1000
			e := New(params, 0, true)
			if e.CapacityFraction() != 0.25 {
				t.Fatalf("capacity fraction %v at the start", e.CapacityFraction())
			}
			for at := time.Duration(0); at < 3*time.Second; at += test.interval {
				e.Submit(at, &Job{PromptTokens: 500, PrefillOnly: true}) // 50 ms of work at full capacity
			}
			if e.Overloaded() != test.want {
				t.Errorf("overloaded: %v", e.Overloaded())
			}
		})
	}
}

// loggedEngine is an engine that logs the load and the callbacks of its jobs.
type loggedEngine struct {
	*Engine
	firstTokenOnly bool // of its jobs
	jobs           []*Job
	log            []string
}

func (e *loggedEngine) logf(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

// submit submits the n-th job.
func (e *loggedEngine) submit(now time.Duration, n int, job Job) {
	job.ID, job.FirstTokenOnly = fmt.Sprint(n), e.firstTokenOnly
	job.OnToken = func(tokenCount int) {
		if tokenCount == 1 {
			e.logf("%d first %v", n, e.now)
		}
	}
	job.OnDone = func(float64) { e.logf("%d done %v", n, e.now) }
	e.logf("%d accepted %v", n, e.Submit(now, &job))
	e.jobs = append(e.jobs, &job)
}

// TestRepeatedStepsEqualSingleSteps checks that jobs which report only their first token, so that many of their steps
// are simulated as one, end at the same times as jobs that report every token, whatever arrives, is canceled or changes
// the speed of the engine meanwhile.
func TestRepeatedStepsEqualSingleSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := testParams()
		params.Slots, params.MaxQueued, params.StepTimePerStream = 6, 6, 700*time.Microsecond
		params.MemoryTokens = float64(rapid.IntRange(400, 4000).Draw(t, "memory"))
		cold := rapid.Bool().Draw(t, "cold")
		params.OverloadFactor = 0
		singleSteps := &loggedEngine{Engine: New(params, 0, cold)}
		repeatedSteps := &loggedEngine{Engine: New(params, 0, cold), firstTokenOnly: true}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400000).Draw(t, "delay")) * time.Microsecond
			operation := rapid.IntRange(0, 5).Draw(t, "operation")
			promptTokens := float64(rapid.IntRange(1, 600).Draw(t, "prompt"))
			outputTokens := rapid.IntRange(1, 80).Draw(t, "out")
			choice := rapid.IntRange(0, 100).Draw(t, "other")
			for _, e := range []*loggedEngine{singleSteps, repeatedSteps} {
				switch {
				case operation == 0:
					e.submit(now, n, Job{PromptTokens: promptTokens, OutputTokens: outputTokens, FetchTokens: promptTokens})
				case operation < 4:
					e.submit(now, n, Job{PromptTokens: promptTokens, OutputTokens: outputTokens})
				case operation == 4 && len(e.jobs) > 0:
					e.Cancel(now, e.jobs[choice%len(e.jobs)])
				default:
					e.Advance(now)
					e.SetSlowdown([]float64{1, 3}[choice%2])
				}
				utilization, queue, memory := e.Load()
				e.logf("%v %v %.9f", utilization, queue, memory)
			}
		}
		for _, e := range []*loggedEngine{singleSteps, repeatedSteps} {
			e.Advance(now + time.Hour)
			e.logf("%v %v", e.usedMemory, e.Work().Decodes)
		}
		want, got := singleSteps.Work(), repeatedSteps.Work()
		if math.Abs(want.PrefillDone-got.PrefillDone)+math.Abs(want.DecodeDone-got.DecodeDone) > 1e-9 {
			t.Fatalf("single steps: work %+v, repeated steps: %+v", want, got)
		}
		compareLogs(t, singleSteps.log, repeatedSteps.log)
	})
}

// compareLogs fails the test if the logs differ, and shows the first entry that does.
func compareLogs(t *rapid.T, want, got []string) {
	t.Helper()
	if slices.Equal(want, got) {
		return
	}
	for k := range want {
		if k >= len(got) || want[k] != got[k] {
			t.Fatalf("entry %d: %q with single steps, %q with repeated steps", k, want[k], got[min(k, len(got)-1)])
		}
	}
	t.Fatal("more entries with repeated steps")
}
