package enginemodel

import "time"

// readState is the KV cache of a finished prefill, kept for a decode engine.
type readState struct {
	tokens  float64
	expires time.Duration
}

// readStateMap holds read states by the ID of their job.
type readStateMap map[string]*readState

// storeReadState keeps the read state of a finished prefill.
func (e *Engine) storeReadState(job *Job) {
	e.usedMemory += job.PromptTokens // finishPrefill has freed the memory of the job
	e.readStates[job.ID] = &readState{tokens: job.PromptTokens, expires: e.now + e.params.StateTTL}
}

// TakeReadState removes a read state, since a decode engine fetches it or it is released, and returns its size. It
// returns false if there is none.
func (e *Engine) TakeReadState(now time.Duration, id string) (tokens float64, ok bool) {
	e.Advance(now)
	state := e.readStates[id]
	if state == nil {
		return 0, false
	}
	e.removeReadState(id, state)
	e.admit()
	e.beginStep()
	return state.tokens, true
}

// DropReadState removes a read state, if there is one. It does not admit queued jobs or start a step, so a job's
// callbacks may call it.
func (e *Engine) DropReadState(id string) {
	if state := e.readStates[id]; state != nil {
		e.removeReadState(id, state)
	}
}

// HasReadState reports whether the read state of this job is held.
func (e *Engine) HasReadState(id string) bool { return e.readStates[id] != nil }

// ReadStateCount returns the number of read states held.
func (e *Engine) ReadStateCount() int { return len(e.readStates) }

func (e *Engine) removeReadState(id string, state *readState) {
	delete(e.readStates, id)
	e.usedMemory -= state.tokens
}

func (e *Engine) removeExpiredReadStates() {
	for id, state := range e.readStates {
		if state.expires <= e.now {
			e.removeReadState(id, state)
		}
	}
}
