package gateway

import (
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

// ClientProtocol is the protocol that clients use. OpenAI's API is built in; a platform may supply another.
type ClientProtocol interface {
	// RespondDirectly answers requests that need neither their body nor a routing decision. If it returns nil, the body
	// is read and passed to ParseRequest.
	RespondDirectly(req *http1.Request) *Response
	// ParseRequest parses a completion request.
	ParseRequest(req *http1.Request, body []byte) (*ParsedRequest, *api.Error)
}

// ParsedRequest is a client's request, as parsed by its protocol.
type ParsedRequest struct {
	Routing           routing.Request // without ID and Deadline, which the gateway sets
	Bodies            RequestBodies
	Path              string         // request target at engines
	ClientID          string         // the request's id if the client chose one, unique among open requests; "" = none
	IdempotencyKey    string         // value of the Idempotency-Key header
	FirstTokenTimeout time.Duration  // how long the client waits for the first token or an error
	Collector         *api.Collector // collects the answer for a client that doesn't stream; else nil
	AnswerTimeout     time.Duration  // how long the client waits for the whole answer; 0 = unknown
}

// RequestBodies builds the bodies that a request's attempts send to engines.
type RequestBodies interface {
	PrefillBody() []byte
	// DecodeBody takes the prefill's KV transfer parameters, and whether the stream must report the token usage.
	DecodeBody(kv json.RawMessage, usage bool) []byte
}

// BrokenStreamPolicy says how a client is told that its stream was interrupted.
type BrokenStreamPolicy uint8

// The policies for broken streams.
const (
	SendErrorEvent  BrokenStreamPolicy = iota // the last event describes the error, and the body ends as usual
	CloseConnection                           // the connection is closed in the middle of the body
)

// PipeliningPolicy says what happens to a request that the client sends before it has the answer to its previous one.
type PipeliningPolicy uint8

// The policies for pipelining.
const (
	AllowPipelining  PipeliningPolicy = iota // the requests are served one after another
	RejectPipelining                         // the client gets an error, and its connection is closed
)

// RetryAfterFormat is the format of the Retry-After field in responses that say how long to wait before a retry.
type RetryAfterFormat uint8

// The formats of Retry-After. With all but NoRetryAfter, the field retry-after-ms is sent too.
const (
	NoRetryAfter         RetryAfterFormat = iota // no field
	RetryAfterSeconds                            // whole seconds, rounded up, as RFC 9110 specifies
	RetryAfterFractional                         // seconds with three decimals
)

// Options configure a Gateway.
type Options struct {
	Routing  routing.Config
	Kinds    []string // names of the engine kinds that endpoint lists use, in the order of Routing.Kinds
	Tenants  []string
	Seed     uint64
	Protocol ClientProtocol
	Engines  *engine.Client
	Limits   config.Limits // all must be set
	// AnswerMargin is how long before the end of the client's timeout the final answer is due.
	AnswerMargin time.Duration
	// FirstRequestTimeout bounds the time from the start of a connection until its first completion request has been
	// read; 0 = only the timeouts of later requests apply.
	FirstRequestTimeout time.Duration
	// MinIdleTime is how long a connection that has had a completion request must have been idle before it may be closed
	// to make room for a new one when Limits.MaxConnections is reached; 0 = no connection is closed for that reason.
	MinIdleTime time.Duration
	// AcceptWhileDraining is how long after the start of a shutdown new connections and requests are still accepted. If
	// clients resume broken streams (Routing.ResumeStreams), open connections may send requests for longer, until the
	// shutdown ends the streams. 0 = requests are rejected from the start; clients that are just connecting get
	// defaultDrainGrace to send a request and receive the rejection.
	AcceptWhileDraining time.Duration
	// StreamsOutlastShutdown means that the end of the time for a shutdown only answers requests without an answer:
	// streams that have begun go on until they end, and Shutdown waits for them. Otherwise they are cut off then.
	StreamsOutlastShutdown bool
	BrokenStreams          BrokenStreamPolicy
	Pipelining             PipeliningPolicy
	RetryAfter             RetryAfterFormat
}

// Bounds on the header of an engine's response.
const (
	maxEngineHeaderBytes  = 64 << 10
	maxEngineHeaderFields = 200
)

// NewFromSettings creates a gateway for OpenAI's API and vLLM engines from validated settings.
func NewFromSettings(settings *config.Settings, log *zap.Logger, metrics *telemetry.Metrics) (*Gateway, error) {
	options := Options{
		Routing: settings.RoutingConfig(), Seed: uint64(settings.Replica.Seed),
		Protocol: newOpenAI(settings), Engines: engineClient(settings),
		Limits: *settings.Limits, AnswerMargin: settings.Replica.AnswerMargin, RetryAfter: RetryAfterSeconds,
	}
	for _, kind := range settings.Kinds {
		options.Kinds = append(options.Kinds, kind.Name)
	}
	for _, tenant := range settings.Tenants {
		options.Tenants = append(options.Tenants, tenant.Name)
	}
	g, err := New(options, log, metrics)
	if err == nil {
		g.settings = settings
	}
	return g, err
}

func engineClient(settings *config.Settings) *engine.Client {
	e := settings.Engines
	return &engine.Client{
		Protocol:            engine.VLLM{Extended: e.Protocol == "extended", UserAgent: UserAgent(settings)},
		LoadReportHeader:    engine.HeaderLoadReport,
		DialTimeout:         e.DialTimeout,
		MaxConnsPerEndpoint: e.MaxConnsPerEngine,
		MaxIdlePerEndpoint:  e.MaxIdlePerEngine,
		IdleTimeout:         e.IdleTimeout,
		StreamIdleTimeout:   settings.Limits.StreamIdleTimeout,
		MaxEventBytes:       int(settings.Limits.MaxEventBytes),
		MaxReplyBytes:       int64(settings.Limits.MaxCollectedBytes),
		Limits:              http1.Limits{MaxHeaderBytes: maxEngineHeaderBytes, MaxHeaderFields: maxEngineHeaderFields},
	}
}

// UserAgent returns the User-Agent that a replica sends to engines and the API server.
func UserAgent(settings *config.Settings) string { return "brackenbend/" + settings.Replica.Name }
