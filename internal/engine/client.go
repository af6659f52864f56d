package engine

import (
	"time"

	"brackenbend/internal/http1"
)

// Protocol encodes requests to engines and parses their replies. This package implements it with VLLM.
type Protocol interface {
	// AppendHead appends the request line and header fields of a call, without the empty line that ends the header.
	AppendHead(b []byte, e *Endpoint, call *Call) []byte
	// ParseReply parses a response that is not a stream. err is the error that ended the reading of its body, or nil.
	ParseReply(prefill bool, resp *http1.Response, body []byte, err error) Outcome
	// ReleaseMessage returns the complete request that releases the read state of id, or nil if the protocol has no such
	// request and engines release read state by their own time-out.
	ReleaseMessage(e *Endpoint, id string) []byte
	// ReleaseAccepted reports whether the status of the response to a release means success.
	ReleaseAccepted(status int) bool
}

// Client holds the settings and the connection limits common to all engines. Set its fields before the first use.
type Client struct {
	Protocol         Protocol
	LoadReportHeader string   // header field of load reports, and start of the stream comments that contain one
	LoadReportFields []string // names of the load metrics that the router uses, in its order
	StateByRequestID bool     // read state is identified by the request's ID, at all engines; else by each attempt's ID

	// RequireLastChunk means that a stream is complete only after the last chunk, has no error events, and may contain
	// load reports in comments. Otherwise a stream is complete after its last event.
	RequireLastChunk bool
	// StrictEvents means that a stream breaks at the first event that can't be one of the protocol, and that only events
	// that bring the answer on (answerProgress) count for StreamIdleTimeout. Otherwise all events with data are passed on
	// and count.
	StrictEvents     bool
	RunsWhenComplete bool // engines execute only complete requests; else the first byte may have an effect

	// SettleDelay is how long the last byte of a request that is not idempotent is withheld. New connections may break
	// soon after they are established; if one breaks within this delay, the engine has certainly not run the request.
	// 0 = no delay. The last byte is withheld only with RunsWhenComplete. AwaitSettled waits for the same time.
	SettleDelay time.Duration
	Sleep       func(time.Duration) // replaces time.Sleep in tests; nil = time.Sleep

	DialTimeout       time.Duration
	HeaderTimeout     time.Duration // from the first byte of a response header to its end; 0 = until the call's deadline
	StreamIdleTimeout time.Duration // longest wait between the events of a stream; with HeaderTimeout also for the first
	// SlowEventGap is the longest wait between the bytes of an event that is not complete by StreamIdleTimeout, and
	// SlowEventTimeout how long such an event may take, from the event before it. 0 = no longer than StreamIdleTimeout.
	SlowEventGap     time.Duration
	SlowEventTimeout time.Duration

	MaxStreamBytes int64 // size limit of a whole stream, in bytes; 0 = no limit
	MaxEventBytes  int   // size limit of one event, in bytes
	MaxReplyBytes  int64 // size limit of a response body that is not a stream, in bytes
	Limits         http1.Limits

	MaxConnsPerEndpoint int // open connections to one engine
	MaxConns            int // open connections to all engines; 0 = no limit
	MaxIdlePerEndpoint  int // idle connections to one engine
	IdleTimeout         time.Duration
	// ReuseDelay is how long a connection must be idle after a response before its reuse. An engine may send an
	// unsolicited second response a little later, which would be taken for the response to the next request.
	// 0 = no delay.
	ReuseDelay time.Duration

	pool poolState
}
