package routing

// Reason tells why a request was given up. It is for logs and metrics; nothing is decided by it.
type Reason uint8

// The reasons for which a Router refuses or fails a request.
const (
	ReasonNone              Reason = iota // a decision module that gives none
	ReasonDeadline                        // the client's time is up, or too short for what is left to do
	ReasonObjectiveMissed                 // the first token can't come in time any more
	ReasonOverload                        // refused on arrival, since answers come late by and large
	ReasonAttemptsExhausted               // all attempts are used
	ReasonMayHaveRun                      // an attempt may have run, and the class must not be repeated
	ReasonPossibleDuplicate               // the client's own earlier try may have run
	ReasonStateExpired                    // the read state had to be released before a writer took it
	ReasonNoDecodeEndpoint                // no writer may be sent to
	ReasonShutdown                        // this front ends
)

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
