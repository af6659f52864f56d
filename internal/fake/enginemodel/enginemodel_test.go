package enginemodel

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func params() Params {
	return Params{
		CanPrefill: true, CanDecode: true, Slots: 2, MaxQueued: 2, Memory: 10000, PrefillRate: 10000, Chunk: 500, Step: 10 * time.Millisecond,
		FetchRate: 100000, CacheTokens: 5000, SlowStartFrom: 0.25, SlowStartFor: 10 * time.Second, OverloadFactor: 2, OverloadAfter: time.Second, StateTTL: 5 * time.Second,
	}
}

func TestReadHandOverWrite(t *testing.T) {
	r, w := New(params(), 0, false), New(params(), 0, false)
	var readAt, tokens, doneAt time.Duration
	if !r.Submit(0, &Job{ID: "a", Prompt: 1000, Prefix: "p", PrefixLen: 800, ReadOnly: true, Done: func(float64) { readAt = r.now }}) {
		t.Fatal("turned away")
	}
	r.Advance(time.Second)
	if readAt != 100*time.Millisecond || r.States() != 1 || r.used != 1000 {
		t.Fatalf("read at %v, %d states, %v used", readAt, r.States(), r.used)
	}
	state, ok := r.Take(time.Second, "a")
	if _, again := r.Take(time.Second, "a"); !ok || again || state != 1000 || r.used != 0 {
		t.Fatalf("state %v %v, again %v, %v used", state, ok, again, r.used)
	}
	w.Submit(time.Second, &Job{ID: "a", Prompt: 1000, FetchState: state, Out: 3, Token: func(int) { tokens++ }, Done: func(float64) { doneAt = w.now }})
	w.Advance(2 * time.Second)
	if tokens != 3 || doneAt != time.Second+40*time.Millisecond || w.used != 0 { // fetch 10 ms, three steps
		t.Fatalf("%d tokens, done at %v, %v used", tokens, doneAt, w.used)
	}
	kept := -1.0
	r.Submit(2*time.Second, &Job{ID: "b", Prompt: 1000, Prefix: "p", PrefixLen: 800, ReadOnly: true, Done: func(k float64) { kept = k }})
	r.Advance(3 * time.Second)
	r.Forget()
	r.Submit(3*time.Second, &Job{ID: "c", Prompt: 1000, Prefix: "p", PrefixLen: 800, ReadOnly: true, Done: func(k float64) { kept -= k }})
	r.Advance(4 * time.Second)
	if kept != 800 {
		t.Fatalf("found %v kept, then none after forgetting", kept)
	}
	r.Advance(20 * time.Second)
	if r.States() != 0 || r.used != 0 {
		t.Fatalf("states outlive their time: %d, %v used", r.States(), r.used)
	}
}

func TestQueueTurnsAwayAndCancelFrees(t *testing.T) {
	e := New(params(), 0, false)
	var jobs []*Job
	for i := range 5 {
		j := &Job{ID: string(rune('a' + i)), Prompt: 100, Out: 1000}
		if got := e.Submit(0, j); got != (i < 4) {
			t.Fatalf("job %d taken: %v", i, got)
		}
		jobs = append(jobs, j)
	}
	e.Cancel(time.Second, jobs[0])
	e.Cancel(time.Second, jobs[0])
	if len(e.running) != 2 || len(e.queue) != 1 {
		t.Fatalf("%d run, %d wait", len(e.running), len(e.queue))
	}
	lost := 0
	for _, j := range jobs {
		j.Lost = func() { lost++ }
	}
	e.Reset()
	if lost != 3 || e.used != 0 {
		t.Fatalf("%d lost, %v used", lost, e.used)
	}
}

func TestMemoryRunsOut(t *testing.T) {
	p := params()
	p.Memory = 1000
	e := New(p, 0, false)
	done := 0
	for range 2 {
		e.Submit(0, &Job{Prompt: 400, Out: 300, Done: func(float64) { done++ }})
	}
	e.Advance(time.Minute)
	if done != 2 || e.used != 0 {
		t.Fatalf("%d done, %v used", done, e.used)
	}
}

func TestColdEngineFallsOver(t *testing.T) {
	for name, c := range map[string]struct {
		every time.Duration
		down  bool
	}{"within its part": {100 * time.Millisecond, false}, "pushed": {20 * time.Millisecond, true}} {
		p := params()
		p.MaxQueued = 1000
		e := New(p, 0, true)
		if e.Present() != 0.25 {
			t.Fatalf("present %v", e.Present())
		}
		for at := time.Duration(0); at < 3*time.Second; at += c.every {
			e.Submit(at, &Job{Prompt: 500, ReadOnly: true}) // 50 ms of work at full capacity
		}
		if e.Down() != c.down {
			t.Errorf("%s: down %v", name, e.Down())
		}
	}
}

// TestManyStepsAtOnceAreTheSame: quiet jobs end when others would, whatever comes, is called off, slows down or falls due
// between.
func TestManyStepsAtOnceAreTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := params()
		p.Slots, p.MaxQueued, p.StepStream = 6, 6, 700*time.Microsecond
		p.Memory = float64(rapid.IntRange(400, 4000).Draw(t, "memory"))
		cold := rapid.Bool().Draw(t, "cold")
		p.OverloadFactor = 0
		var logs [2][]string
		var engines [2]*Engine
		for i := range engines {
			engines[i] = New(p, 0, cold)
		}
		jobs := [2][]*Job{}
		now := time.Duration(0)
		for n := range rapid.IntRange(1, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400000).Draw(t, "later")) * time.Microsecond
			what := rapid.IntRange(0, 5).Draw(t, "what")
			prompt, out, other := float64(rapid.IntRange(1, 600).Draw(t, "prompt")), rapid.IntRange(1, 80).Draw(t, "out"), rapid.IntRange(0, 100).Draw(t, "other")
			for i, e := range engines {
				log := func(format string, a ...any) { logs[i] = append(logs[i], fmt.Sprintf(format, a...)) }
				switch {
				case what < 4:
					j := &Job{ID: fmt.Sprint(n), Prompt: prompt, Out: out, Quiet: i == 1}
					if what == 0 {
						j.FetchState = prompt
					}
					j.Token = func(k int) {
						if k == 1 {
							log("%d first %v", n, e.now)
						}
					}
					j.Done = func(float64) { log("%d done %v", n, e.now) }
					log("%d taken %v", n, e.Submit(now, j))
					jobs[i] = append(jobs[i], j)
				case what == 4 && len(jobs[i]) > 0:
					e.Cancel(now, jobs[i][other%len(jobs[i])])
				default:
					e.Advance(now)
					e.SetSlow([]float64{1, 3}[other%2])
				}
				util, queue, memory := e.Load()
				log("%v %v %.9f", util, queue, memory)
			}
		}
		for i, e := range engines {
			e.Advance(now + time.Hour)
			w := e.Work()
			logs[i] = append(logs[i], fmt.Sprintf("%v %v", e.used, w.Writes))
			if v := engines[0].Work(); math.Abs(v.ReadDone-w.ReadDone)+math.Abs(v.WriteDone-w.WriteDone) > 1e-9 {
				t.Fatalf("work %+v, many at once %+v", v, w)
			}
		}
		if !slices.Equal(logs[0], logs[1]) {
			for k := range logs[0] {
				if k >= len(logs[1]) || logs[0][k] != logs[1][k] {
					t.Fatalf("entry %d: %q, many at once %q", k, logs[0][k], logs[1][min(k, len(logs[1])-1)])
				}
			}
			t.Fatal("more entries with many at once")
		}
	})
}
