package enginemodel

import "time"

// Params describe an engine. Rates are a second at full capacity.
type Params struct {
	CanPrefill, CanDecode bool
	Slots                 int     // requests at once
	MaxQueued             int     // more may wait
	Memory                float64 // tokens
	PrefillRate           float64 // prompt tokens
	Chunk                 float64 // prompt tokens of one step
	Step                  time.Duration
	StepStream            time.Duration // and so much more for each running stream
	FetchRate             float64       // tokens of a read state fetched from a prefill engine
	CacheTokens           float64       // tokens of the prefix cache
	SlowStartFrom         float64       // fraction of its capacity at its start
	SlowStartFor          time.Duration
	OverloadFactor        float64 // in slow start and sent more than so many times its present capacity ...
	OverloadAfter         time.Duration
	StateTTL              time.Duration // a read state that nobody fetches is dropped after this
}
