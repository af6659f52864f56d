package model

import (
	"testing"
	"time"
)

func params() Params {
	return Params{Reads: true, Writes: true, Slots: 2, Queue: 2, Memory: 10000, ReadRate: 10000, Chunk: 500, Step: 10 * time.Millisecond,
		FetchRate: 100000, Kept: 5000, ColdFrom: 0.25, ColdFor: 10 * time.Second, Overload: 2, TipAfter: time.Second, StateLife: 5 * time.Second}
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
		p.Queue = 1000
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
