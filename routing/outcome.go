package routing

// Result is how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Served            Result = iota // answered
	EngineError                     // failed by the endpoint; it may have run
	Rejected                        // rejected by the endpoint; it never ran
	TimedOut                        // no answer in time; it may have run
	ConnectFailed                   // the connection was not established; it never ran
	ConnectionReset                 // the connection broke; it may have run
	Canceled                        // canceled by this replica; it may have run
	NotSent                         // never sent; it never ran
	PrefillDone                     // prefilled; the endpoint holds the read state of the prompt
	RequestIncomplete               // the connection broke before the request was sent in full; it never ran
)

// NeverExecuted reports whether the endpoint certainly did not execute the attempt.
func (r Result) NeverExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent || r == RequestIncomplete
}

// mayHaveExecuted reports whether a decode may have been executed, with its effect, although no answer
// arrived.
func (r Result) mayHaveExecuted() bool {
	return r == EngineError || r == TimedOut || r == ConnectionReset || r == Canceled
}

// endsSilence reports whether the result restarts the time for which the endpoint has been silent. A broken
// connection does, since it was established before, and so does an attempt that was not sent, since it had no
// response to wait for.
func (r Result) endsSilence() bool {
	return r != TimedOut && r != Canceled && r != ConnectFailed
}
