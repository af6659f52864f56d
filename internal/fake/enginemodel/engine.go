// Package enginemodel models one inference engine in simulated time: its slots, queue, memory and prefix cache, the
// steps in which it computes prompts and decodes tokens, its slow start, and its crash when slow start is overloaded.
// The fake engine on a socket and the simulation use the same model.
//
// The package reads no clock, takes no locks and starts no goroutines: Advance moves an engine to a given time, and
// Next returns the time of its next event. An Engine and the jobs submitted to it must not be used concurrently;
// callbacks run on the goroutine of the caller.
package enginemodel

import (
	"math"
	"slices"
	"time"
)

// minSlowdown is the least slowdown factor; it keeps the duration of a step positive.
const minSlowdown = 1e-3

// Engine is the model of one engine. The zero value is not usable; use New.
type Engine struct {
	params        Params
	now           time.Duration
	slowStartedAt time.Duration // when its slow start began
	slowdown      float64       // multiplies the duration of every step
	overloaded    bool          // it crashed because it was overloaded
	queue         []*Job
	running       []*Job
	usedMemory    float64 // tokens that running jobs and read states occupy
	step          step
	readStates    readStateMap
	cache         prefixCache
	arrivals      recentArrivals
	work          Work
}

// New returns an engine that starts at now: in slow start if cold is set, otherwise at full capacity.
func New(params Params, now time.Duration, cold bool) *Engine {
	e := &Engine{
		params:        params,
		now:           now,
		slowStartedAt: now,
		slowdown:      1,
		readStates:    readStateMap{},
		cache:         newPrefixCache(),
	}
	if !cold {
		e.slowStartedAt = now - params.SlowStartFor
	}
	return e
}

// SetSlowdown multiplies the duration of every step that begins from now on by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.truncateRepeats()
	e.slowdown = max(factor, minSlowdown)
}

// ClearPrefixCache removes every entry of the prefix cache.
func (e *Engine) ClearPrefixCache() { e.cache.clear() }

// Load returns what the engine reports: the fraction of slots in use, the number of queued requests and the fraction of
// memory in use.
func (e *Engine) Load() (utilization, queue, memory float64) {
	return float64(len(e.running)) / float64(max(e.params.Slots, 1)), float64(len(e.queue)),
		e.usedMemory / e.params.MemoryTokens
}

// InFlight returns the number of jobs that are queued or running.
func (e *Engine) InFlight() int { return len(e.queue) + len(e.running) }

// Submit queues a job and reports whether the engine accepts it. A job that is not accepted has not run.
func (e *Engine) Submit(now time.Duration, job *Job) bool {
	e.Advance(now)
	if e.overloaded || e.isFull() || job.PromptTokens > e.params.MemoryTokens {
		prefill, decode := e.estimateWork(job)
		e.work.PrefillLost += prefill
		e.work.DecodeLost += decode
		return false
	}
	e.checkOverload(job)
	if e.overloaded {
		return false
	}
	job.phase = phaseWaiting
	e.queue = append(e.queue, job)
	e.admit()
	e.beginStep()
	return true
}

func (e *Engine) isFull() bool {
	return len(e.queue) >= e.params.MaxQueued && len(e.running) >= e.params.Slots
}

// Cancel ends a job and frees its slot and memory at once.
func (e *Engine) Cancel(now time.Duration, job *Job) {
	e.Advance(now)
	if job.phase == phaseEnded {
		return
	}
	e.remove(job)
	e.admit()
	e.beginStep()
}

// remove removes a job from the queue, or from its slot and the current step.
func (e *Engine) remove(job *Job) {
	e.truncateRepeats()
	isJob := func(other *Job) bool { return other == job }
	if len(e.queue) > 0 {
		e.queue = slices.DeleteFunc(e.queue, isJob)
	}
	if n := len(e.running); n > 0 {
		e.running = slices.DeleteFunc(e.running, isJob)
		if len(e.running) < n {
			e.usedMemory -= job.memory()
		}
	}
	e.step.remove(job)
	job.phase = phaseEnded
}

// Reset discards all jobs, read states and cached prefixes, as a crash does, and calls OnLost of each job.
func (e *Engine) Reset() {
	jobs := append(slices.Clone(e.running), e.queue...)
	e.running, e.queue, e.usedMemory = nil, nil, 0
	e.step = step{}
	clear(e.readStates)
	e.cache.clear()
	for _, job := range jobs {
		job.phase = phaseEnded
		if job.OnLost != nil {
			job.OnLost()
		}
	}
}

// SetParams changes the parameters while jobs are in flight. An engine that takes on a second stage beside the one that
// it serves changes them in this way.
func (e *Engine) SetParams(now time.Duration, params Params) {
	e.Advance(now)
	e.truncateRepeats()
	e.params = params
	e.admit()
	e.beginStep()
}

// Next returns the time of the next event: the end of the current step or of a fetch, or the expiry of a read state.
// It returns false if there is none.
func (e *Engine) Next() (time.Duration, bool) {
	at := time.Duration(math.MaxInt64)
	if e.step.end != 0 {
		at = e.step.end
	}
	for _, job := range e.running {
		if job.phase == phaseFetching {
			at = min(at, job.fetchedAt)
		}
	}
	for _, state := range e.readStates {
		at = min(at, state.expires)
	}
	return at, at != math.MaxInt64
}

// Advance processes all events up to now.
func (e *Engine) Advance(now time.Duration) {
	for !e.overloaded {
		at, ok := e.Next()
		if !ok || at > now {
			break
		}
		e.setClock(max(e.now, at))
		e.removeExpiredReadStates()
		e.finishFetches()
		if e.step.end != 0 && e.step.end <= e.now {
			e.applyEndedRepeats()
			e.finishStep()
		}
		e.admit()
		e.beginStep()
	}
	e.setClock(max(e.now, now))
	e.applyEndedRepeats()
}

// finishFetches starts the decode of each job whose read state has arrived.
func (e *Engine) finishFetches() {
	for _, job := range e.running {
		if job.phase == phaseFetching && job.fetchedAt <= e.now {
			job.phase = phaseDecoding
		}
	}
}
