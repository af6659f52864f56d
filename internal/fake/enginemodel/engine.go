// Package enginemodel is one engine in simulated time: slots, a queue, memory, a prefix cache, steps that compute
// prompts and decode tokens, a slow start and its overload. The fakes on sockets and the simulation drive the same
// model.
//
// It has no clock, no locks and starts no goroutines: Advance moves an engine, Next says when something is due. Whoever
// holds an Engine owns all its state and that of the jobs submitted to it; calls and callbacks happen on the caller's
// goroutine.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// minSlowFactor keeps a step's duration above zero.
const minSlowFactor = 1e-3

// Engine is one engine. The zero value is not ready; use New.
type Engine struct {
	params  Params
	now     time.Duration
	start   time.Duration // of its slow start
	slow    float64       // factor on the duration of every step
	down    bool          // it was overloaded and crashed
	queue   []*Job
	running []*Job
	used    float64 // memory in tokens: running jobs and read states
	step    step
	states  readStates
	cache   prefixCache
	recent  recentArrivals
	work    Work
}

// New starts an engine at now; cold says whether it begins in slow start.
func New(params Params, now time.Duration, cold bool) *Engine {
	e := &Engine{
		params: params,
		now:    now,
		start:  now,
		slow:   1,
		states: readStates{},
		cache:  newPrefixCache(),
	}
	if !cold {
		e.start = now - params.SlowStartFor
	}
	return e
}

// SetSlow makes every step so many times slower.
func (e *Engine) SetSlow(factor float64) {
	e.cutRepeats()
	e.slow = max(factor, minSlowFactor)
}

// Forget empties the prefix cache.
func (e *Engine) Forget() { e.cache.clear() }

// Load is what the engine reports: fraction of slots in use, requests waiting, fraction of memory in use.
func (e *Engine) Load() (utilization, queue, memory float64) {
	return float64(len(e.running)) / float64(max(e.params.Slots, 1)), float64(len(e.queue)), e.used / e.params.Memory
}

// Working is the number of jobs that wait or run.
func (e *Engine) Working() int { return len(e.queue) + len(e.running) }

// Submit accepts a job, or rejects it before it ran (false).
func (e *Engine) Submit(now time.Duration, job *Job) bool {
	e.Advance(now)
	if e.down || e.isFull() || job.Prompt > e.params.Memory {
		prefill, decode := e.workOf(job)
		e.work.ReadLost += prefill
		e.work.WriteLost += decode
		return false
	}
	e.checkOverload(job)
	if e.down {
		return false
	}
	job.phase = waiting
	e.queue = append(e.queue, job)
	e.admit()
	e.beginStep()
	return true
}

func (e *Engine) isFull() bool {
	return len(e.queue) >= e.params.MaxQueued && len(e.running) >= e.params.Slots
}

// Cancel ends a job; what it held is free at once.
func (e *Engine) Cancel(now time.Duration, job *Job) {
	e.Advance(now)
	if job.phase == ended {
		return
	}
	e.remove(job)
	e.admit()
	e.beginStep()
}

// remove takes a job out of the queue or its slot.
func (e *Engine) remove(job *Job) {
	e.cutRepeats()
	isJob := func(other *Job) bool { return other == job }
	if len(e.queue) > 0 {
		e.queue = slices.DeleteFunc(e.queue, isJob)
	}
	if n := len(e.running); n > 0 {
		e.running = slices.DeleteFunc(e.running, isJob)
		if len(e.running) < n {
			e.used -= job.memory()
		}
	}
	e.step.remove(job)
	job.phase = ended
}

// Reset ends all work and empties the engine, as a crash does.
func (e *Engine) Reset() {
	jobs := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue, e.used = nil, nil, 0
	e.step = step{}
	clear(e.states)
	e.cache.clear()
	for _, job := range jobs {
		job.phase = ended
		if job.Lost != nil {
			job.Lost()
		}
	}
}

// Become changes the parameters while the engine works: to those of a role that adds a stage.
func (e *Engine) Become(now time.Duration, params Params) {
	e.Advance(now)
	e.cutRepeats()
	e.params = params
	e.admit()
	e.beginStep()
}

// Next is when something is due; false when nothing is.
func (e *Engine) Next() (time.Duration, bool) {
	at := time.Duration(math.MaxInt64)
	if e.step.end != 0 {
		at = e.step.end
	}
	for _, job := range e.running {
		if job.phase == fetching {
			at = min(at, job.fetchedAt)
		}
	}
	for _, state := range e.states {
		at = min(at, state.expires)
	}
	return at, at != math.MaxInt64
}

// Advance moves the engine to now.
func (e *Engine) Advance(now time.Duration) {
	for !e.down {
		at, ok := e.Next()
		if !ok || at > now {
			break
		}
		e.moveClock(max(e.now, at))
		e.dropExpiredStates()
		e.endFetches()
		if e.step.end != 0 && e.step.end <= e.now {
			e.bookRepeats()
			e.endStep()
		}
		e.admit()
		e.beginStep()
	}
	e.moveClock(max(e.now, now))
	e.bookRepeats()
}

// endFetches lets jobs decode whose read states have come.
func (e *Engine) endFetches() {
	for _, job := range e.running {
		if job.phase == fetching && job.fetchedAt <= e.now {
			job.phase = decoding
		}
	}
}
