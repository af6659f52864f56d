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

// ClientProtocol is the protocol that clients speak. OpenAI's API is built in; a platform may supply another.
type ClientProtocol interface {
	// RespondDirectly answers requests that need neither their body nor a routing decision. With nil the body is read
	// and passed to ParseRequest.
	RespondDirectly(req *http1.Request) *Response
	// ParseRequest parses a request for a completion.
	ParseRequest(req *http1.Request, body []byte) (*ParsedRequest, *api.Error)
}

// ParsedRequest is a client's request as its protocol parsed it.
type ParsedRequest struct {
	Routing           routing.Request // all but ID and Deadline
	Prompt            RequestBodies
	Path              string         // request target at engines
	ClientID          string         // the client's own id of the request, unique among open requests; "" = none
	IdempotencyKey    string         // value of the Idempotency-Key header
	FirstTokenTimeout time.Duration  // how long the client waits for the first token
	Collector         *api.Collector // collects the answer for a client that does not stream
	AnswerTimeout     time.Duration  // how long the client waits for a whole answer; 0 = unknown
}

// RequestBodies makes the bodies of a request's attempts.
type RequestBodies interface {
	PrefillBody() []byte
	DecodeBody(kv json.RawMessage, usage bool) []byte
}

// BrokenStreamPolicy says how the client learns that its stream broke.
type BrokenStreamPolicy uint8

// The policies for broken streams.
const (
	SendErrorEvent  BrokenStreamPolicy = iota // a last event describes the error, and the body ends as usual
	CloseConnection                           // the connection is closed in the middle of the body
)

// PipeliningPolicy says what happens to requests sent before the answer to the one before.
type PipeliningPolicy uint8

// The policies for pipelining.
const (
	AllowPipelining  PipeliningPolicy = iota // they are served one after another
	RejectPipelining                         // the client gets an error, and its connection is closed
)

// RetryAfterFormat is the form of the Retry-After field of rejections.
type RetryAfterFormat uint8

// The forms of Retry-After. All but the first are sent with retry-after-ms beside them.
const (
	NoRetryAfter         RetryAfterFormat = iota // no field
	RetryAfterSeconds                            // whole seconds, rounded up, as RFC 9110 has it
	RetryAfterFractional                         // seconds with three decimals
)

// Options configure a Gateway.
type Options struct {
	Routing  routing.Config
	Kinds    []string // names of engine kinds, as endpoint lists give them
	Tenants  []string
	Seed     uint64
	Protocol ClientProtocol
	Engines  *engine.Client
	Limits   config.Limits // all must be set
	// AnswerMargin is how long before the end of the client's timeout final answers are due.
	AnswerMargin time.Duration
	// FirstRequestTimeout bounds the wait for the first request on a new connection; 0 = as for later ones.
	FirstRequestTimeout time.Duration
	// MinIdleTime is how long a connection must have been idle before it may be closed in favor of a new one when
	// Limits.MaxConnections is reached; 0 = none is closed for that.
	MinIdleTime time.Duration
	// AcceptWhileDraining is how long after the start of a shutdown new connections and requests are still accepted;
	// 0 = requests are rejected from then on, and clients that are just connecting get defaultDrainGrace for theirs.
	AcceptWhileDraining time.Duration
	BrokenStreams       BrokenStreamPolicy
	Pipelining          PipeliningPolicy
	RetryAfter          RetryAfterFormat
}

// Bounds on the heads of engines' responses.
const (
	maxEngineHeaderBytes  = 64 << 10
	maxEngineHeaderFields = 200
)

// NewFromSettings makes a gateway for OpenAI's API and vLLM engines from checked settings.
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

// UserAgent is the User-Agent of a replica towards engines and the API server.
func UserAgent(settings *config.Settings) string { return "brackenbend/" + settings.Replica.Name }
