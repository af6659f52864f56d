package engine

import (
	"encoding/json"
	"errors"
	"os"

	"brackenbend/internal/http1"
	"brackenbend/routing"
)

// Outcome is how an attempt ended.
type Outcome struct {
	Result           routing.Result
	StateMissing     bool
	CachedTokens     float64
	LoadReport       []float64
	KVTransferParams json.RawMessage // of a prefill: what the decode needs to fetch the read state
	Events           int             // of a stream, that are tokens by their place; the last event is not one
	Reply            *Reply          // a response about the request itself, to be passed on
	Err              error           // for logs
}

// Reply is an engine's response that blames the request.
type Reply struct {
	Status int
	Body   []byte
}

// failure is what is known of an attempt that ended with an error.
type failure struct {
	err        error // nil where the response was complete but the attempt was canceled meanwhile
	canceled   bool
	connected  bool // a connection was there to send the request on
	mayHaveRun bool // the engine may act on what it accepted of the request
}

// failureTable gives the result of each failure; the first row that matches counts. docs/gateway.md prints it together
// with the rows that go by the status of a response (Protocol.ParseReply).
var failureTable = []struct {
	matches      func(f failure) bool
	result       routing.Result
	stateMissing bool
}{
	// drain, removal or cancellation before the first byte; connections at their limit
	{matches: isOneOf(errNotSent, errConnLimit), result: routing.NotSent},
	// the stream says or shows that the engine failed
	{matches: isOneOf(errErrorEvent, errEventTooLarge, errStreamTooLarge), result: routing.EngineError},
	// the stream ends without its last event
	{matches: isOneOf(errStreamTruncated), result: routing.ConnectionReset},
	// the client got another response, is gone, or reads nothing
	{matches: isOneOf(errResponseClaimed), result: routing.Canceled},
	{matches: isSinkError, result: routing.Canceled},
	// canceled before, and after, the engine may have started
	{matches: func(f failure) bool { return f.canceled && !f.mayHaveRun }, result: routing.NotSent},
	{matches: func(f failure) bool { return f.canceled }, result: routing.Canceled},
	// the request is not complete at the engine
	{matches: func(f failure) bool { return !f.mayHaveRun && f.connected }, result: routing.RequestIncomplete},
	// dial refused, unreachable or timed out
	{matches: func(f failure) bool { return !f.mayHaveRun }, result: routing.ConnectFailed},
	// no first token, no complete reply, or silence within a stream, for too long
	{matches: isOneOf(os.ErrDeadlineExceeded), result: routing.TimedOut},
	// a malformed response is a response: a decode has fetched its read state, which is gone with it
	{matches: isProtocolError, result: routing.EngineError, stateMissing: true},
	// reset or end of the connection after the engine may have started
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

// failureOutcome is the outcome of the attempt that ended with err.
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
