// Package engine speaks to the engines: vLLM's published convention for disaggregated prefill over HTTP/1.1,
// pooled connections, and the table that turns every network outcome into one choice.Result (docs/front.md
// prints it). It owns no choice among engines.
package engine

import (
	"brackenbend/internal/http1"
	"sync"
	"sync/atomic"
	"time"
)

// Protocol is what engines are told and how their answers are read. VLLM is this product's own.
type Protocol interface {
	// AppendHead appends the head of a call's request, without its empty line.
	AppendHead(b []byte, s *Endpoint, call *Call) []byte
	// ParseReply reads an answer that is no stream; err tells that its body broke.
	ParseReply(read bool, resp *http1.Response, text []byte, err error) Outcome
	// ReleaseMessage is the call that lets go of what id holds, as a whole message; nil: engines let go by themselves.
	ReleaseMessage(s *Endpoint, id string) []byte
	// ReleaseAccepted tells that an engine's answer to it is a success.
	ReleaseAccepted(status int) bool
}

// Client holds what is common to all engines. Its fields are set before its first use.
type Client struct {
	Protocol         Protocol
	LoadReportHeader string // field of load reports, and how a stream's comment that holds one begins
	StateByRequestID bool   // state goes by the request's id, at whatever engine; else by each attempt's, at its engine
	RequireLastChunk bool   // a stream is whole with the last chunk behind its last event; else with that event
	RunsWhenComplete bool   // an engine begins with a request's last byte; else its first byte may have an effect
	// SettleDelay is how long the last byte of what may run only once is held back: a connection that breaks in that time,
	// as new ones may, did not run it for certain. 0 = not at all; it needs WholeSent.
	SettleDelay         time.Duration
	Sleep               func(time.Duration) // time.Sleep, where tests don't say otherwise
	DialTimeout         time.Duration
	HeaderTimeout       time.Duration // for an answer's head, from its first byte; 0 = until the call's deadline
	MaxStreamBytes      int64         // bytes of a whole stream; 0 = no bound
	MaxConnsPerEndpoint int           // at once, an engine
	MaxConns            int           // at once, all engines; 0 = no bound
	MaxIdlePerEndpoint  int           // kept, an engine
	IdleTimeout         time.Duration
	// ReuseDelay is how long a connection is not used again after an answer: a second one, which nobody asked for, may come a little
	// late, and would be taken for that of the next request. 0 = not at all.
	ReuseDelay        time.Duration
	StreamIdleTimeout time.Duration // longest silence within a stream
	MaxEventBytes     int           // bytes of one event
	MaxReplyBytes     int64         // bytes of an answer that is not a stream
	Limits            http1.Limits
	LoadReportFields  []string // names of load figures, in the module's order

	all     atomic.Int64           // connections open or being opened
	mu      sync.Mutex             // taken before a server's
	resting map[*Endpoint]struct{} // servers that may have idle connections
	broke   atomic.Int64           // when a kept connection broke under its next request, as Unix time in nanoseconds; 0 = never
}
