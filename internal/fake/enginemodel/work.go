package enginemodel

import "time"

// Work is what an engine has done and lost at each stage since its start, in seconds of the whole engine at full
// capacity; for decoding, the fraction of its slots in use over time. Read is the prefill stage, Write the decode
// stage. Waiting is of what is queued now.
type Work struct {
	ReadDone, ReadWaiting, ReadLost    float64
	WriteDone, WriteWaiting, WriteLost float64
	Reads, Writes                      float64 // prompts computed and answers ended
}

// Work returns what was done up to now.
func (e *Engine) Work() Work {
	work := e.work
	work.ReadWaiting, work.WriteWaiting = e.waitingWork(0)
	return work
}

// Resume goes on from the totals of the engine before a change of role: its process lives on.
func (e *Engine) Resume(before Work) {
	before.ReadWaiting, before.WriteWaiting = 0, 0
	e.work = before
}

// Ahead is the prefill work, in seconds of the whole engine at full capacity, that is to be done until a job's prompt
// would be computed if it came now, its own included.
func (e *Engine) Ahead(job *Job) float64 {
	own, _ := e.workOf(job)
	all, _ := e.waitingWork(own)
	return all
}

// waitingWork is the work of the jobs that are here and have not begun, or are in their prefill, and so much prefill
// beside it.
func (e *Engine) waitingWork(beside float64) (prefill, decode float64) {
	prefill = beside
	for _, jobs := range [2][]*Job{e.queue, e.running} {
		for _, job := range jobs {
			switch job.phase {
			case waiting:
				p, d := e.workOf(job)
				prefill, decode = prefill+p, decode+d
			case prefilling:
				prefill += job.prefillLeft / e.params.PrefillRate
			default:
			}
		}
	}
	return prefill, decode
}

// workOf is the work of a job that has not begun.
func (e *Engine) workOf(job *Job) (prefill, decode float64) {
	if job.FetchState == 0 {
		prefill = max(job.Prompt-e.cache.find(job), 0) / e.params.PrefillRate
	}
	if !job.ReadOnly {
		fullStep := e.params.Step + e.params.StepStream*time.Duration(e.params.Slots)
		decode = float64(job.Out) * fullStep.Seconds() / float64(max(e.params.Slots, 1))
	}
	return prefill, decode
}

// moveClock moves the clock and counts the slots in use by answers.
func (e *Engine) moveClock(to time.Duration) {
	if to > e.now && e.params.CanDecode {
		decodes := 0
		for _, job := range e.running {
			if !job.ReadOnly && job.phase != prefilling {
				decodes++
			}
		}
		e.work.WriteDone += (to - e.now).Seconds() * float64(decodes) / float64(max(e.params.Slots, 1))
	}
	e.now = to
}
