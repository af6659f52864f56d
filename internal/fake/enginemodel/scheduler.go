package enginemodel

import (
	"math"
	"slices"
	"time"
)

// minStep is the least duration of a step, so that every step advances the time.
const minStep = time.Microsecond

// step is one iteration of the engine: it computes a chunk of one prompt and a token of each decoding job. Consecutive
// steps that are all alike are simulated as one step with repeats; its end is then the end of the last repeat.
type step struct {
	prefill       *Job
	prefillTokens float64 // of the prompt, in this step
	decodes       []*Job
	repeats       int
	duration      time.Duration // of one repeat
	end           time.Duration // 0 = no step is running
}

// remove removes a job from the step.
func (s *step) remove(job *Job) {
	if s.prefill == job {
		s.prefill = nil
	}
	s.decodes = slices.DeleteFunc(s.decodes, func(other *Job) bool { return other == job })
}

// admit moves jobs from the queue into free slots, in order, while there is enough free memory for them. A job that
// does not fit is admitted only if no job runs and no read state is held.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.params.Slots && !e.overloaded {
		job := e.queue[0]
		if e.usedMemory+job.memory() > e.params.MemoryTokens && len(e.running)+len(e.readStates) > 0 {
			return
		}
		e.truncateRepeats()
		e.queue = e.queue[1:]
		e.usedMemory += job.memory()
		e.running = append(e.running, job)
		if job.FetchTokens > 0 && job.generatedTokens == 0 {
			job.phase = phaseFetching
			job.fetchedAt = e.now + time.Duration(job.FetchTokens/e.params.FetchRate*float64(time.Second))
		} else {
			job.phase = phasePrefilling
			job.cachedTokens = e.cache.lookup(job)
			job.remainingPrefill = max(job.memory()-job.cachedTokens, 1)
		}
		if job.OnStart != nil {
			job.OnStart()
		}
	}
}

// beginStep starts a step unless one is running or there is nothing to compute.
func (e *Engine) beginStep() {
	if e.step.end != 0 || e.overloaded {
		return
	}
	next := step{}
	for _, job := range e.running {
		switch job.phase {
		case phaseDecoding:
			next.decodes = append(next.decodes, job)
		case phasePrefilling:
			if next.prefill == nil {
				next.prefill, next.prefillTokens = job, min(job.remainingPrefill, e.params.PrefillChunk)
			}
		default:
		}
	}
	if next.prefill == nil && len(next.decodes) == 0 {
		return
	}
	var fullCapacityDuration time.Duration
	if len(next.decodes) > 0 {
		fullCapacityDuration = e.params.StepTime + e.params.StepTimePerStream*time.Duration(len(next.decodes))
	}
	if next.prefill != nil {
		fullCapacityDuration += time.Duration(next.prefillTokens / e.params.PrefillRate * float64(time.Second))
	}
	next.duration = max(time.Duration(float64(fullCapacityDuration)*e.slowdown/e.CapacityFraction()), minStep)
	next.repeats = e.repeatCount(&next)
	next.end = e.now + time.Duration(next.repeats)*next.duration
	e.step = next
}

// repeatCount returns how many consecutive steps are like next. It is more than one only at full capacity and if every
// running job is decoding, has its first token, and reports no others. The repeats then last until an answer is
// complete or memory runs out.
func (e *Engine) repeatCount(next *step) int {
	n := len(next.decodes)
	if n == 0 || n != len(e.running) || e.CapacityFraction() < 1 {
		return 1
	}
	repeats := math.MaxInt
	for _, job := range next.decodes {
		if !job.FirstTokenOnly || job.generatedTokens == 0 {
			return 1
		}
		repeats = min(repeats, job.OutputTokens-job.generatedTokens)
	}
	return max(min(repeats, int((e.params.MemoryTokens-e.usedMemory)/float64(n))), 1)
}

// applyEndedRepeats counts the tokens of the repeats that have ended by now, except for the last repeat, which
// finishStep counts.
func (e *Engine) applyEndedRepeats() {
	s := &e.step
	if s.repeats <= 1 || s.end == 0 {
		return
	}
	remaining := int((s.end - e.now + s.duration - 1) / s.duration) // including the one that runs now
	completed := s.repeats - max(remaining, 1)
	if completed <= 0 {
		return
	}
	for _, job := range s.decodes {
		job.generatedTokens += completed
	}
	e.usedMemory += float64(completed * len(s.decodes))
	s.repeats -= completed
}

// truncateRepeats makes the current repeat the last one, since the steps after it will differ.
func (e *Engine) truncateRepeats() {
	e.applyEndedRepeats()
	if s := &e.step; s.repeats > 1 && s.end != 0 {
		s.end -= time.Duration(s.repeats-1) * s.duration
		s.repeats = 1
	}
}

// finishStep counts the tokens that the ended step computed. If memory is exceeded then, it preempts jobs.
func (e *Engine) finishStep() {
	endedStep := e.step
	e.step = step{}
	if job := endedStep.prefill; job != nil {
		e.work.PrefillDone += endedStep.prefillTokens / e.params.PrefillRate
		job.remainingPrefill -= endedStep.prefillTokens
		if job.remainingPrefill <= 0 {
			e.finishPrefill(job)
		}
	}
	for _, job := range endedStep.decodes {
		if job.phase == phaseDecoding {
			e.addToken(job)
		}
	}
	for e.usedMemory > e.params.MemoryTokens && e.preempt() {
	}
}

// addToken counts one more token of a job's answer, and ends the job after the last one.
func (e *Engine) addToken(job *Job) {
	job.generatedTokens++
	e.usedMemory++
	n := job.generatedTokens
	if n >= job.OutputTokens {
		e.work.Decodes++
		e.cache.put(sessionKey(job), job.memory(), e.params.CacheTokens)
		e.remove(job)
	}
	if job.OnToken != nil && (n == 1 || !job.FirstTokenOnly) {
		job.OnToken(n)
	}
	if n >= job.OutputTokens && job.OnDone != nil {
		job.OnDone(job.cachedTokens)
	}
}

// finishPrefill ends the prefill of a job, which then decodes here or leaves its read state.
func (e *Engine) finishPrefill(job *Job) {
	e.work.Prefills++
	e.cache.put(prefixKey(job), job.PrefixTokens, e.params.CacheTokens)
	e.cache.put(sessionKey(job), job.PromptTokens, e.params.CacheTokens)
	if !job.PrefillOnly {
		job.phase = phaseDecoding
		return
	}
	e.remove(job)
	e.storeReadState(job)
	if job.OnDone != nil {
		job.OnDone(job.cachedTokens)
	}
}

// preempt moves the most recently admitted decoding job back to the head of the queue, to be computed again. It returns
// false if there is none. The oldest running job is never preempted, so that one always completes.
func (e *Engine) preempt() bool {
	for i := len(e.running) - 1; i > 0; i-- {
		job := e.running[i]
		if job.phase != phaseDecoding {
			continue
		}
		e.remove(job)
		job.phase, job.FetchTokens = phaseWaiting, 0
		e.queue = append([]*Job{job}, e.queue...)
		return true
	}
	return false
}
