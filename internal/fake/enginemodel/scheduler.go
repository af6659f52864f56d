package enginemodel

import (
	"math"
	"slices"
	"time"
)

// minStep is the least duration of a step, so that time passes.
const minStep = time.Microsecond

// step is what the engine computes at once: a chunk of one prompt and a token of each running answer. Steps that are
// all alike are taken as one, repeated; end is then the last one's.
type step struct {
	prefill  *Job
	tokens   float64 // of the prompt
	decodes  []*Job
	repeats  int
	duration time.Duration // of one of them
	end      time.Duration // 0 = no step runs
}

// remove takes a job out of the running step.
func (s *step) remove(job *Job) {
	if s.prefill == job {
		s.prefill = nil
	}
	s.decodes = slices.DeleteFunc(s.decodes, func(other *Job) bool { return other == job })
}

// admit moves waiting jobs into slots, in order, while memory lasts.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.params.Slots && !e.down {
		job := e.queue[0]
		if e.used+job.memory() > e.params.Memory && len(e.running)+len(e.states) > 0 {
			return
		}
		e.cutRepeats()
		e.queue = e.queue[1:]
		e.used += job.memory()
		e.running = append(e.running, job)
		if job.FetchState > 0 && job.answered == 0 {
			job.phase = fetching
			job.fetchedAt = e.now + time.Duration(job.FetchState/e.params.FetchRate*float64(time.Second))
		} else {
			job.phase = prefilling
			job.cached = e.cache.find(job)
			job.prefillLeft = max(job.memory()-job.cached, 1)
		}
		if job.Begun != nil {
			job.Begun()
		}
	}
}

// beginStep starts a step if none runs and there is something to compute.
func (e *Engine) beginStep() {
	if e.step.end != 0 || e.down {
		return
	}
	next := step{}
	for _, job := range e.running {
		switch job.phase {
		case decoding:
			next.decodes = append(next.decodes, job)
		case prefilling:
			if next.prefill == nil {
				next.prefill, next.tokens = job, min(job.prefillLeft, e.params.Chunk)
			}
		default:
		}
	}
	if next.prefill == nil && len(next.decodes) == 0 {
		return
	}
	var atFullSpeed time.Duration
	if len(next.decodes) > 0 {
		atFullSpeed = e.params.Step + e.params.StepStream*time.Duration(len(next.decodes))
	}
	if next.prefill != nil {
		atFullSpeed += time.Duration(next.tokens / e.params.PrefillRate * float64(time.Second))
	}
	next.duration = max(time.Duration(float64(atFullSpeed)*e.slow/e.Present()), minStep)
	next.repeats = e.repeatsOf(&next)
	next.end = e.now + time.Duration(next.repeats)*next.duration
	e.step = next
}

// repeatsOf is how many steps will be like the one that begins: until an answer ends or memory runs out, if all that
// run are quiet answers that have begun, and the engine has its full capacity.
func (e *Engine) repeatsOf(next *step) int {
	n := len(next.decodes)
	if n == 0 || n != len(e.running) || e.Present() < 1 {
		return 1
	}
	repeats := math.MaxInt
	for _, job := range next.decodes {
		if !job.Quiet || job.answered == 0 {
			return 1
		}
		repeats = min(repeats, job.Out-job.answered)
	}
	return max(min(repeats, int((e.params.Memory-e.used)/float64(n))), 1)
}

// bookRepeats books those of repeated steps that are over by now, except the last, which endStep books.
func (e *Engine) bookRepeats() {
	s := &e.step
	if s.repeats <= 1 || s.end == 0 {
		return
	}
	left := int((s.end - e.now + s.duration - 1) / s.duration) // the running one included
	over := s.repeats - max(left, 1)
	if over <= 0 {
		return
	}
	for _, job := range s.decodes {
		job.answered += over
	}
	e.used += float64(over * len(s.decodes))
	s.repeats -= over
}

// cutRepeats ends repeated steps after the present one, since what follows will differ.
func (e *Engine) cutRepeats() {
	e.bookRepeats()
	if s := &e.step; s.repeats > 1 && s.end != 0 {
		s.end -= time.Duration(s.repeats-1) * s.duration
		s.repeats = 1
	}
}

// endStep books what the step that has ended computed.
func (e *Engine) endStep() {
	done := e.step
	e.step = step{}
	if job := done.prefill; job != nil {
		e.work.ReadDone += done.tokens / e.params.PrefillRate
		job.prefillLeft -= done.tokens
		if job.prefillLeft <= 0 {
			e.endPrefill(job)
		}
	}
	for _, job := range done.decodes {
		if job.phase == decoding {
			e.addToken(job)
		}
	}
	for e.used > e.params.Memory && e.preempt() {
	}
}

// addToken books one more token of an answer, and its end where it is the last.
func (e *Engine) addToken(job *Job) {
	job.answered++
	e.used++
	n := job.answered
	if n >= job.Out {
		e.work.Writes++
		e.cache.put(sessionKey(job), job.memory(), e.params.CacheTokens)
		e.remove(job)
	}
	if job.Token != nil && (n == 1 || !job.Quiet) {
		job.Token(n)
	}
	if n >= job.Out && job.Done != nil {
		job.Done(job.cached)
	}
}

// endPrefill ends the computation of a prompt.
func (e *Engine) endPrefill(job *Job) {
	e.work.Reads++
	e.cache.put(prefixKey(job), job.PrefixLen, e.params.CacheTokens)
	e.cache.put(sessionKey(job), job.Prompt, e.params.CacheTokens)
	if !job.ReadOnly {
		job.phase = decoding
		return
	}
	e.remove(job)
	e.holdState(job)
	if job.Done != nil {
		job.Done(job.cached)
	}
}

// preempt sends the newest answer back into the queue, to be computed anew; false when there is none. The oldest one is
// never preempted, so that something ends.
func (e *Engine) preempt() bool {
	for i := len(e.running) - 1; i > 0; i-- {
		job := e.running[i]
		if job.phase != decoding {
			continue
		}
		e.remove(job)
		job.phase, job.FetchState = waiting, 0
		e.queue = append([]*Job{job}, e.queue...)
		return true
	}
	return false
}
