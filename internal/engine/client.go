package engine

import (
	"time"

	"brackenbend/internal/http1"
)

// Protocol is what engines are sent and how their replies are read. VLLM is this product's own.
type Protocol interface {
	// AppendHead appends the request line and header of a call, without the empty line.
	AppendHead(b []byte, e *Endpoint, call *Call) []byte
	// ParseReply reads a response that is not a stream; err reports that its body broke off.
	ParseReply(prefill bool, resp *http1.Response, text []byte, err error) Outcome
	// ReleaseMessage is the complete request that releases the read state of id; nil: engines release it by themselves.
	ReleaseMessage(e *Endpoint, id string) []byte
	// ReleaseAccepted reports whether an engine's response to it is a success.
	ReleaseAccepted(status int) bool
}

// Client holds what is common to all engines. Its fields are set before its first use.
type Client struct {
	Protocol         Protocol
	LoadReportHeader string   // field of load reports, and the start of a stream's comment that holds one
	LoadReportFields []string // names of load figures, in the router's order
	StateByRequestID bool     // read state is kept by the request's ID at any engine; else by each attempt's at its own
	RequireLastChunk bool     // a stream is complete with the last chunk after its last event; else with that event
	RunsWhenComplete bool     // an engine starts at a request's last byte; else its first byte may have an effect

	// SettleDelay is how long the last byte of a request that must run only once is held back: a connection that
	// breaks within that time, as new ones may, has certainly not run it. 0 = not at all; it needs RunsWhenComplete.
	SettleDelay time.Duration
	Sleep       func(time.Duration) // replaces time.Sleep in tests; nil = time.Sleep

	DialTimeout       time.Duration
	HeaderTimeout     time.Duration // for a response header, from its first byte; 0 = until the call's deadline
	StreamIdleTimeout time.Duration // longest silence within a stream

	MaxStreamBytes int64 // bytes of a whole stream; 0 = no limit
	MaxEventBytes  int   // bytes of one event
	MaxReplyBytes  int64 // bytes of a response that is not a stream
	Limits         http1.Limits

	MaxConnsPerEndpoint int // open at once, to one engine
	MaxConns            int // open at once, to all engines; 0 = no limit
	MaxIdlePerEndpoint  int // kept idle, to one engine
	IdleTimeout         time.Duration
	// ReuseDelay is how long a connection is not used again after a response: a second response, which nobody asked
	// for, may come a little late and would be taken for that to the next request. 0 = not at all.
	ReuseDelay time.Duration

	pool poolState
}
