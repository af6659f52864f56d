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
		Memory:         10000,
		PrefillRate:    10000,
		Chunk:          500,
		Step:           10 * time.Millisecond,
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
		ID: "a", Prompt: 1000, Prefix: "p", PrefixLen: 800, ReadOnly: true,
		Done: func(float64) { prefilledAt = prefill.now },
	}) {
		t.Fatal("rejected")
	}
	prefill.Advance(time.Second)
	if prefilledAt != 100*time.Millisecond || prefill.States() != 1 || prefill.used != 1000 {
		t.Fatalf("prefilled at %v, %d states, %v used", prefilledAt, prefill.States(), prefill.used)
	}
	state, ok := prefill.Take(time.Second, "a")
	if _, again := prefill.Take(time.Second, "a"); !ok || again || state != 1000 || prefill.used != 0 {
		t.Fatalf("state %v %v, again %v, %v used", state, ok, again, prefill.used)
	}
	decode.Submit(time.Second, &Job{
		ID: "a", Prompt: 1000, FetchState: state, Out: 3,
		Token: func(int) { tokens++ }, Done: func(float64) { doneAt = decode.now },
	})
	decode.Advance(2 * time.Second)
	if tokens != 3 || doneAt != time.Second+40*time.Millisecond || decode.used != 0 { // fetch 10 ms, three steps
		t.Fatalf("%d tokens, done at %v, %v used", tokens, doneAt, decode.used)
	}
}

func TestPrefixCacheIsUsedUntilDropped(t *testing.T) {
	e := New(testParams(), 0, false)
	cached := map[string]float64{}
	prefill := func(at time.Duration, id string) {
		t.Helper()
		accepted := e.Submit(at, &Job{
			ID: id, Prompt: 1000, Prefix: "p", PrefixLen: 800, ReadOnly: true,
			Done: func(tokens float64) { cached[id] = tokens },
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
	e.Forget()
	prefill(3*time.Second, "after drop")
	if cached["first"] != 0 || cached["second"] != 800 || cached["after drop"] != 0 {
		t.Fatalf("tokens found in the cache: %v", cached)
	}
}

func TestReadStatesExpire(t *testing.T) {
	e := New(testParams(), 0, false)
	for i, id := range []string{"a", "b"} {
		e.Submit(time.Duration(i)*time.Second, &Job{ID: id, Prompt: 1000, ReadOnly: true})
	}
	e.Advance(4 * time.Second)
	if e.States() != 2 || e.used != 2000 {
		t.Fatalf("before their TTL: %d states, %v used", e.States(), e.used)
	}
	e.Advance(20 * time.Second)
	if e.States() != 0 || e.used != 0 {
		t.Fatalf("states outlive their TTL: %d, %v used", e.States(), e.used)
	}
}

func TestFullQueueRejectsAndCancelFreesSlot(t *testing.T) {
	e := New(testParams(), 0, false)
	var jobs []*Job
	for i := range 5 {
		job := &Job{ID: string(rune('a' + i)), Prompt: 100, Out: 1000}
		if got := e.Submit(0, job); got != (i < 4) {
			t.Fatalf("job %d accepted: %v", i, got)
		}
		jobs = append(jobs, job)
	}
	e.Cancel(time.Second, jobs[0])
	e.Cancel(time.Second, jobs[0])
	if len(e.running) != 2 || len(e.queue) != 1 {
		t.Fatalf("%d run, %d wait", len(e.running), len(e.queue))
	}
	lost := 0
	for _, job := range jobs {
		job.Lost = func() { lost++ }
	}
	e.Reset()
	if lost != 3 || e.used != 0 {
		t.Fatalf("%d lost, %v used", lost, e.used)
	}
}

func TestJobsEndThoughMemoryRunsOut(t *testing.T) {
	params := testParams()
	params.Memory = 1000
	e := New(params, 0, false)
	done := 0
	for range 2 {
		e.Submit(0, &Job{Prompt: 400, Out: 300, Done: func(float64) { done++ }})
	}
	e.Advance(time.Minute)
	if done != 2 || e.used != 0 {
		t.Fatalf("%d done, %v used", done, e.used)
	}
}

func TestSlowStartOverload(t *testing.T) {
	for _, test := range []struct {
		name     string
		interval time.Duration
		down     bool
	}{
		{"within its capacity", 100 * time.Millisecond, false},
		{"sent too much", 20 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			params := testParams()
			params.MaxQueued = 1000
			e := New(params, 0, true)
			if e.Present() != 0.25 {
				t.Fatalf("present capacity %v", e.Present())
			}
			for at := time.Duration(0); at < 3*time.Second; at += test.interval {
				e.Submit(at, &Job{Prompt: 500, ReadOnly: true}) // 50 ms of work at full capacity
			}
			if e.Down() != test.down {
				t.Errorf("down %v", e.Down())
			}
		})
	}
}

// loggedEngine is an engine with what its jobs saw.
type loggedEngine struct {
	*Engine
	quiet bool // its jobs
	jobs  []*Job
	log   []string
}

func (e *loggedEngine) logf(format string, args ...any) {
	e.log = append(e.log, fmt.Sprintf(format, args...))
}

// submit sends the n-th job.
func (e *loggedEngine) submit(now time.Duration, n int, job Job) {
	job.ID, job.Quiet = fmt.Sprint(n), e.quiet
	job.Token = func(k int) {
		if k == 1 {
			e.logf("%d first %v", n, e.now)
		}
	}
	job.Done = func(float64) { e.logf("%d done %v", n, e.now) }
	e.logf("%d taken %v", n, e.Submit(now, &job))
	e.jobs = append(e.jobs, &job)
}

// TestRepeatedStepsEqualSingleSteps checks that quiet jobs, whose steps are taken many at once, end when others would,
// whatever arrives, is canceled, slows down or falls due between.
func TestRepeatedStepsEqualSingleSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		params := testParams()
		params.Slots, params.MaxQueued, params.StepStream = 6, 6, 700*time.Microsecond
		params.Memory = float64(rapid.IntRange(400, 4000).Draw(t, "memory"))
		cold := rapid.Bool().Draw(t, "cold")
		params.OverloadFactor = 0
		single := &loggedEngine{Engine: New(params, 0, cold)}
		repeated := &loggedEngine{Engine: New(params, 0, cold), quiet: true}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400000).Draw(t, "later")) * time.Microsecond
			what := rapid.IntRange(0, 5).Draw(t, "what")
			prompt := float64(rapid.IntRange(1, 600).Draw(t, "prompt"))
			out := rapid.IntRange(1, 80).Draw(t, "out")
			other := rapid.IntRange(0, 100).Draw(t, "other")
			for _, e := range []*loggedEngine{single, repeated} {
				switch {
				case what == 0:
					e.submit(now, n, Job{Prompt: prompt, Out: out, FetchState: prompt})
				case what < 4:
					e.submit(now, n, Job{Prompt: prompt, Out: out})
				case what == 4 && len(e.jobs) > 0:
					e.Cancel(now, e.jobs[other%len(e.jobs)])
				default:
					e.Advance(now)
					e.SetSlow([]float64{1, 3}[other%2])
				}
				utilization, queue, memory := e.Load()
				e.logf("%v %v %.9f", utilization, queue, memory)
			}
		}
		for _, e := range []*loggedEngine{single, repeated} {
			e.Advance(now + time.Hour)
			e.logf("%v %v", e.used, e.Work().Writes)
		}
		want, got := single.Work(), repeated.Work()
		if math.Abs(want.ReadDone-got.ReadDone)+math.Abs(want.WriteDone-got.WriteDone) > 1e-9 {
			t.Fatalf("work %+v, many at once %+v", want, got)
		}
		compareLogs(t, single.log, repeated.log)
	})
}

// compareLogs fails the test at the first entry that differs.
func compareLogs(t *rapid.T, want, got []string) {
	t.Helper()
	if slices.Equal(want, got) {
		return
	}
	for k := range want {
		if k >= len(got) || want[k] != got[k] {
			t.Fatalf("entry %d: %q, many at once %q", k, want[k], got[min(k, len(got)-1)])
		}
	}
	t.Fatal("more entries with many at once")
}
