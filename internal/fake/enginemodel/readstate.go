package enginemodel

import "time"

// readState is what a prefill has left for a decode engine.
type readState struct {
	tokens  float64
	expires time.Duration
}

// readStates are the read states held, by the id of their job.
type readStates map[string]*readState

// holdState keeps the read state of a prefill that has ended.
func (e *Engine) holdState(job *Job) {
	e.used += job.Prompt // the state takes the place of the job
	e.states[job.ID] = &readState{tokens: job.Prompt, expires: e.now + e.params.StateTTL}
}

// Take hands a read state over, or releases it; false when there is none.
func (e *Engine) Take(now time.Duration, id string) (tokens float64, ok bool) {
	e.Advance(now)
	state := e.states[id]
	if state == nil {
		return 0, false
	}
	e.dropState(id, state)
	e.admit()
	e.beginStep()
	return state.tokens, true
}

// Drop releases a read state, if there is one; it may be called from a job's Done.
func (e *Engine) Drop(id string) {
	if state := e.states[id]; state != nil {
		e.dropState(id, state)
	}
}

// Holds reports whether a read state waits under this id.
func (e *Engine) Holds(id string) bool { return e.states[id] != nil }

// States is the number of read states held.
func (e *Engine) States() int { return len(e.states) }

func (e *Engine) dropState(id string, state *readState) {
	delete(e.states, id)
	e.used -= state.tokens
}

func (e *Engine) dropExpiredStates() {
	for id, state := range e.states {
		if state.expires <= e.now {
			e.dropState(id, state)
		}
	}
}
