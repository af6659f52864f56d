package enginemodel

import "time"

// Work is the work of an engine at each stage, in seconds of the whole engine at full capacity. Done is what it has
// completed since its start; for decode this is the fraction of slots that decodes occupy, integrated over time. Lost
// is the work of the jobs that it rejected. Waiting is the work of the queued jobs and the rest of running prefills.
type Work struct {
	PrefillDone, PrefillWaiting, PrefillLost float64
	DecodeDone, DecodeWaiting, DecodeLost    float64
	Prefills, Decodes                        float64 // prompts computed and answers completed
}

// Work returns the totals up to the time to which the engine was advanced.
func (e *Engine) Work() Work {
	work := e.work
	work.PrefillWaiting, work.DecodeWaiting = e.waitingWork(0)
	return work
}

// RestoreWork sets the totals to those before a change of role, since the engine's process goes on running.
func (e *Engine) RestoreWork(previous Work) {
	previous.PrefillWaiting, previous.DecodeWaiting = 0, 0
	e.work = previous
}

// PrefillBacklog returns the prefill work that the engine would have to do until the job's prompt is computed, if the
// job were submitted now. It includes that of the job, and is in seconds of the whole engine at full capacity.
func (e *Engine) PrefillBacklog(job *Job) float64 {
	jobPrefill, _ := e.estimateWork(job)
	total, _ := e.waitingWork(jobPrefill)
	return total
}

// waitingWork returns the work of the queued jobs and the rest of the running prefills, with extraPrefill added to the
// prefill work. The decodes of jobs that are running do not count.
func (e *Engine) waitingWork(extraPrefill float64) (prefill, decode float64) {
	prefill = extraPrefill
	for _, jobs := range [2][]*Job{e.queue, e.running} {
		for _, job := range jobs {
			switch job.phase {
			case phaseWaiting:
				p, d := e.estimateWork(job)
				prefill, decode = prefill+p, decode+d
			case phasePrefilling:
				prefill += job.remainingPrefill / e.params.PrefillRate
			default:
			}
		}
	}
	return prefill, decode
}

// estimateWork returns the work of a job that has not started. That of a decode is its share of an engine whose slots
// are all in use.
func (e *Engine) estimateWork(job *Job) (prefill, decode float64) {
	if job.FetchTokens == 0 {
		prefill = max(job.PromptTokens-e.cache.lookup(job), 0) / e.params.PrefillRate
	}
	if !job.PrefillOnly {
		fullStepTime := e.params.StepTime + e.params.StepTimePerStream*time.Duration(e.params.Slots)
		decode = float64(job.OutputTokens) * fullStepTime.Seconds() / float64(max(e.params.Slots, 1))
	}
	return prefill, decode
}

// setClock moves the engine's time and adds the slot time of decodes, also while they fetch, to the decode work done.
func (e *Engine) setClock(to time.Duration) {
	if to > e.now && e.params.CanDecode {
		decodes := 0
		for _, job := range e.running {
			if !job.PrefillOnly && job.phase != phasePrefilling {
				decodes++
			}
		}
		e.work.DecodeDone += (to - e.now).Seconds() * float64(decodes) / float64(max(e.params.Slots, 1))
	}
	e.now = to
}
