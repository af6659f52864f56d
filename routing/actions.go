package routing

import "time"

// Action is a decision of a Router: one of the types below. Actions must be carried out in the order in which
// Step returns them.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request; attempts are numbered from 0.
	Send struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  time.Duration // 0 = until the request's deadline
		// ConnectTimeout bounds the time to connect. It is set while a read state waits; 0 = the caller's
		// default.
		ConnectTimeout time.Duration
		// SendWindow bounds the time until the request's last byte is sent. It is set for a request that is
		// idempotent with a key and of which an earlier attempt may have run, since repeats are dropped only
		// inside the dedup window of its class. 0 = no bound.
		SendWindow time.Duration
	}
	// Reject is a final answer: the request is not served now, and a retry after RetryAfter is harmless.
	Reject struct {
		Request     RequestID
		RetryAfter  time.Duration
		NoAutoRetry bool // the client should leave the retry to its user instead of retrying by itself
		Reason      Reason
	}
	// Fail is a final answer that leaves open whether the request had an effect.
	Fail struct {
		Request           RequestID
		PossibleDuplicate bool // nothing was sent, since an earlier request of the client may have run
		Reason            Reason
	}
	// Cancel cancels an attempt in flight.
	Cancel struct {
		Request RequestID
		Attempt int
	}
	// ReleaseState releases every read state and reservation held for a request.
	ReleaseState struct{ Request RequestID }
	// Reserve asks a decode endpoint to hold capacity during the prefill. A Router never returns it, since it
	// chooses the decode endpoint after the prefill.
	Reserve struct {
		Request  RequestID
		Endpoint EndpointID
	}
	// SetTimer asks for a Timer event with this tag.
	SetTimer struct {
		After time.Duration
		Tag   uint64
	}
	// FetchEndpoints asks for an EndpointList event.
	FetchEndpoints struct{}
	// Log is a log line for operators.
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

// Reason says why a request was rejected or failed. It is for logs and metrics; no decision depends on it.
type Reason uint8

// The reasons for which a Router rejects or fails a request.
const (
	ReasonNone              Reason = iota // no reason given
	ReasonDeadline                        // the deadline has passed or is too close to finish in time
	ReasonObjectiveMissed                 // the first token can no longer meet the latency objective
	ReasonOverload                        // shed on arrival, because of late answers or slow prefills
	ReasonAttemptsExhausted               // no attempts are left
	ReasonMayHaveRun                      // an attempt may have run, and the class allows no further one
	ReasonPossibleDuplicate               // an earlier request of the client may have run
	ReasonStateExpired                    // the read state was released before a decode fetched it
	ReasonNoDecodeEndpoint                // no decode endpoint may be sent the request
	ReasonShutdown                        // this replica shuts down
)

// reasonNames are label values of metrics. Dashboards and alerts match them, so they must not change.
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
