package enginemodel

import "time"

// Job is a request at an engine. Its callbacks may be nil. They run within the engine's methods and may call
// DropReadState.
type Job struct {
	ID             string
	PromptTokens   float64
	Prefix         string // identifies a prefix that sessions share; "" = none
	PrefixTokens   float64
	Session        string  // identifies a conversation in the prefix cache; "" = none
	OutputTokens   int     // length of its answer
	PrefillOnly    bool    // prefill without decode: leaves its read state for a decode engine
	FetchTokens    float64 // size of the read state that it fetches instead of a prefill; 0 = prefill here
	FirstTokenOnly bool    // calls OnToken for the first token only, so that many decode steps can be simulated as one

	OnToken func(n int)                // the n-th token is generated, counted from 1; never called if PrefillOnly
	OnDone  func(cachedTokens float64) // the job is complete
	OnStart func()                     // the job has left the queue for a slot, possibly again after a preemption
	OnLost  func()                     // the engine crashed or was reset

	phase            jobPhase
	cachedTokens     float64       // tokens found in the prefix cache when it was admitted
	remainingPrefill float64       // tokens still to be computed
	generatedTokens  int           // tokens of its answer so far
	fetchedAt        time.Duration // when its read state arrives; set while fetching
}

// jobPhase is the stage of processing that a job has reached.
type jobPhase uint8

const (
	phaseWaiting jobPhase = iota
	phaseFetching
	phasePrefilling
	phaseDecoding
	phaseEnded
)

// memory returns the tokens that the job occupies while it runs.
func (j *Job) memory() float64 { return j.PromptTokens + float64(j.generatedTokens) }
