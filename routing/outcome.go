package routing

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served            Result = iota // answered
	EngineError                     // the endpoint failed it; it may have run
	Rejected                        // the endpoint turned it down; it never ran
	TimedOut                        // no answer in time; it may have run
	ConnectFailed                   // no connection; it never ran
	ConnectionReset                 // the connection broke; it may have run
	Canceled                        // canceled by this replica; it may have run
	NotSent                         // never sent; it never ran
	PrefillDone                     // the read state of the prompt waits at the endpoint
	RequestIncomplete               // the connection broke before the request was whole; it never ran
)

// NeverExecuted reports that the endpoint did nothing for the attempt, for certain.
func (r Result) NeverExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == RequestIncomplete
}

// mayHaveExecuted reports that an attempt which generates output may have had its effect without an answer.
func (r Result) mayHaveExecuted() bool {
	return r == EngineError || r == TimedOut || r == ConnectionReset || r == Canceled
}

// endsSilence reports that the result doesn't speak for silence of the endpoint. A connection that breaks
// was up before, and an attempt that was not sent had no answer to wait for.
func (r Result) endsSilence() bool {
	return r != TimedOut && r != Canceled && r != ConnectFailed
}
