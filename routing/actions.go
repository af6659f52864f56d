package routing

import "time"

// Action is a decision; Step returns the types below, in the order in which they are to be carried out.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (attempts count from 0).
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration // 0 = until the request's deadline
		// ConnectTimeout bounds the time to connect while a read state waits; 0 = the caller's default.
		ConnectTimeout time.Duration
		// SendWindow bounds the time until the request's last byte is sent: an earlier attempt of a request
		// that is idempotent with a key may have run, and repeats are dropped only inside the class's dedup
		// window. 0 = no such bound.
		SendWindow time.Duration
	}
	// Reject is a final answer: not now, and retrying after RetryAfter is harmless.
	Reject struct {
		Request     RequestID
		RetryAfter  time.Duration
		NoAutoRetry bool // the client should not retry by itself but hand the error to its user, who may
		Reason      Reason
	}
	// Fail is a final answer that promises nothing about effects.
	Fail struct {
		Request           RequestID
		PossibleDuplicate bool // nothing was sent, since an earlier attempt of the client may have run
		Reason            Reason
	}
	// Cancel cancels an attempt in flight.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// ReleaseState releases every read state and reservation held for a request.
	ReleaseState struct{ Request RequestID }
	// Reserve asks a decode endpoint to hold capacity during the prefill. This router never returns it: it
	// picks the decode endpoint after the prefill.
	Reserve struct {
		Request  RequestID
		Endpoint EndpointID
	}
	// SetTimer asks for a Timer event.
	SetTimer struct {
		After time.Duration
		Tag   uint64
	}
	// FetchEndpoints asks for the endpoint list and its changes.
	FetchEndpoints struct{}
	// Log is a line for the operators.
	Log struct{ Text string }
)

func (Send) action()           {}
func (Reject) action()         {}
func (Fail) action()           {}
func (Cancel) action()         {}
func (ReleaseState) action()   {}
func (Reserve) action()        {}
func (SetTimer) action()       {}
func (FetchEndpoints) action() {}
func (Log) action()            {}

// Reason says why a request was given up. It is for logs and metrics; nothing is decided by it.
type Reason uint8

// The reasons for which a Router rejects or fails a request.
const (
	ReasonNone              Reason = iota // none given
	ReasonDeadline                        // past its deadline, or too close to it for what is left to do
	ReasonObjectiveMissed                 // the first token can't meet the latency objective any more
	ReasonOverload                        // shed on arrival, since most answers come late
	ReasonAttemptsExhausted               // all attempts are used
	ReasonMayHaveRun                      // an attempt may have run, and the class must not be repeated
	ReasonPossibleDuplicate               // the client's own earlier attempt may have run
	ReasonStateExpired                    // the read state was released before a decode took it
	ReasonNoDecodeEndpoint                // no decode endpoint may be sent to
	ReasonShutdown                        // this replica ends
)

// reasonNames are label values of metrics, which dashboards and alerts match; they stay as they are.
var reasonNames = [...]string{
	ReasonNone:              "no reason given",
	ReasonDeadline:          "deadline",
	ReasonObjectiveMissed:   "aim missed",
	ReasonOverload:          "overload",
	ReasonAttemptsExhausted: "no attempt left",
	ReasonMayHaveRun:        "may have run",
	ReasonPossibleDuplicate: "earlier try may have run",
	ReasonStateExpired:      "read state expired",
	ReasonNoDecodeEndpoint:  "no writer",
	ReasonShutdown:          "front ending",
}

// String is the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}
