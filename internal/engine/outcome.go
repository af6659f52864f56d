package engine

import (
	"encoding/json"
	"errors"
	"os"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Outcome is the result of an attempt, with what its response said about the engine.
type Outcome struct {
	Result           routing.Result
	StateMissing     bool
	CachedTokens     float64
	LoadReport       []float64
	KVTransferParams json.RawMessage // from a prefill's reply, for the decode that fetches the read state
	Stream           StreamProgress  // how far a stream got
	Reply            *Reply          // the error response to an invalid request, to be passed to the client; else nil
	Err              error           // for logs
}

// Reply is an engine's error response to an invalid request.
type Reply struct {
	Status int
	Body   []byte
}

// failure describes an attempt that ended with an error.
type failure struct {
	err        error // nil = complete response, but the attempt was canceled before its connection was back in the pool
	canceled   bool
	connected  bool // a connection was available for the request
	mayHaveRun bool // the engine may have started executing the request
}

// failureTable maps each failure to its result; the first row that matches applies. docs/gateway.md reproduces it
// together with the rows for the status of a response (see Protocol.ParseReply).
var failureTable = []struct {
	matches      func(f failure) bool
	result       routing.Result
	stateMissing bool
}{
	// the request was deliberately not sent or not completed, or the connection limit was reached
	{matches: isOneOf(errNotSent, errConnLimit), result: routing.NotSent},
	// the stream contains an error event, or exceeds a limit on its size or its events
	{matches: isOneOf(errErrorEvent, errEventTooLarge, errStreamTooLarge, errTooManyEvents), result: routing.EngineError},
	// the stream ended without its last event
	{matches: isOneOf(errStreamTruncated), result: routing.ConnectionReset},
	// the client has another response, has disconnected, or does not read the stream
	{matches: isOneOf(errResponseClaimed), result: routing.Canceled},
	{matches: isSinkError, result: routing.Canceled},
	// the attempt was canceled before the engine can have started, or later
	{matches: func(f failure) bool { return f.canceled && !f.mayHaveRun }, result: routing.NotSent},
	{matches: func(f failure) bool { return f.canceled }, result: routing.Canceled},
	// the connection failed before the request was complete, so the engine can't have started
	{matches: func(f failure) bool { return !f.mayHaveRun && f.connected }, result: routing.RequestIncomplete},
	// the dial was refused or timed out, or the engine is unreachable
	{matches: func(f failure) bool { return !f.mayHaveRun }, result: routing.ConnectFailed},
	// a time-out of the first token, of the complete reply, between reads within a stream, or of the request's arrival,
	// whose acknowledgment may only be lost
	{matches: isOneOf(os.ErrDeadlineExceeded), result: routing.TimedOut},
	// A malformed response shows that the engine has run the request: a decode has fetched its read state, so that the
	// state is no longer available.
	{matches: isProtocolError, result: routing.EngineError, stateMissing: true},
	{matches: isOneOf(errMalformedEvent), result: routing.EngineError, stateMissing: true},
	// the connection was reset or closed after the engine may have started
	{matches: func(failure) bool { return true }, result: routing.ConnectionReset},
}

func isOneOf(targets ...error) func(failure) bool {
	return func(f failure) bool {
		for _, target := range targets {
			if errors.Is(f.err, target) {
				return true
			}
		}
		return false
	}
}

func isSinkError(f failure) bool {
	var sinkError *sinkError
	return errors.As(f.err, &sinkError)
}

func isProtocolError(f failure) bool {
	var protocolError *http1.Error
	return errors.As(f.err, &protocolError)
}

// failureOutcome returns the outcome of an attempt that ended with err.
func (a *Attempt) failureOutcome(err error) Outcome {
	f := failure{
		err: err, canceled: a.Canceled(), connected: a.delivery.connected, mayHaveRun: a.delivery.mayHaveRun,
	}
	out := Outcome{Err: err}
	for _, row := range failureTable {
		if row.matches(f) {
			out.Result, out.StateMissing = row.result, row.stateMissing
			break
		}
	}
	return out
}
