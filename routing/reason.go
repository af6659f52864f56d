package routing

// Reason tells why a request was given up. It is for logs and metrics; nothing is decided by it.
type Reason uint8

// The reasons for which a Router refuses or fails a request.
const (
	NoReason      Reason = iota // a decision module that gives none
	DeadlineNear                // the client's time is up, or too short for what is left to do
	AimMissed                   // the first token can't come in time any more
	Overload                    // refused on arrival, since answers come late by and large
	NoAttemptLeft               // all attempts are used
	MayHaveRun                  // an attempt may have run, and the class must not be repeated
	EarlierTry                  // the client's own earlier try may have run
	StateExpired                // the read state had to be released before a writer took it
	NoWriter                    // no writer may be sent to
	FrontEnding                 // this front ends
)

var reasonNames = [...]string{
	NoReason:      "no reason given",
	DeadlineNear:  "deadline",
	AimMissed:     "aim missed",
	Overload:      "overload",
	NoAttemptLeft: "no attempt left",
	MayHaveRun:    "may have run",
	EarlierTry:    "earlier try may have run",
	StateExpired:  "read state expired",
	NoWriter:      "no writer",
	FrontEnding:   "front ending",
}

// String is the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}
