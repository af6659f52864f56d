package enginemodel

import "time"

// Params describes an engine. Rates are per second at full capacity.
type Params struct {
	CanPrefill, CanDecode bool
	Slots                 int           // jobs that run at once
	MaxQueued             int           // jobs that may wait while every slot is in use
	MemoryTokens          float64       // size of the KV cache
	PrefillRate           float64       // prompt tokens computed
	PrefillChunk          float64       // most prompt tokens in one step
	StepTime              time.Duration // of a step that decodes, without what its streams and a prefill add
	StepTimePerStream     time.Duration // added for each stream that the step decodes
	FetchRate             float64       // read state tokens fetched from a prefill engine
	CacheTokens           float64       // capacity of the prefix cache
	SlowStartFrom         float64       // fraction of full capacity at which slow start begins
	SlowStartFor          time.Duration // 0 = no slow start
	// In slow start the engine crashes when the work of the jobs submitted within OverloadAfter, without the heaviest, is
	// more than OverloadFactor times what its present capacity completes in that time. If either is 0, it never does.
	OverloadFactor float64
	OverloadAfter  time.Duration
	StateTTL       time.Duration // after which a read state that was not fetched is dropped
}
