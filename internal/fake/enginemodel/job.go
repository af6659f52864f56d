package enginemodel

import "time"

// Job is a request at an engine. Its callbacks are called from within the engine's methods, may call Drop, and may be
// nil.
type Job struct {
	ID         string
	Prompt     float64
	Prefix     string // name of the shared prefix, "" = none
	PrefixLen  float64
	Session    string
	Out        int     // tokens that it will answer
	ReadOnly   bool    // a prefill only: leaves its read state for a decode engine
	FetchState float64 // tokens of a read state to fetch in place of a prefill; 0 = prefill here
	Quiet      bool    // Token is called for the first token only, so that steps of quiet decodes are taken many at once

	Token func(n int)                // the n-th token is out, from 1; never called for a ReadOnly job
	Done  func(cachedTokens float64) // ended well
	Begun func()                     // it runs from here on
	Lost  func()                     // the engine crashed or was reset

	phase       jobPhase
	cached      float64       // prompt tokens found in the prefix cache
	prefillLeft float64       // prompt tokens still to be computed
	answered    int           // tokens
	fetchedAt   time.Duration // when its read state will be here, while fetching
}

// jobPhase is where a job is in its life.
type jobPhase uint8

const (
	waiting jobPhase = iota
	fetching
	prefilling
	decoding
	ended
)

// memory is what the job holds while it runs, in tokens.
func (j *Job) memory() float64 { return j.Prompt + float64(j.answered) }
