package node

import (
	"cmp"
	"time"

	"brackenbend/internal/config"
	"brackenbend/internal/engine"
	"brackenbend/internal/gateway"
	"brackenbend/internal/http1"
	"brackenbend/internal/node/protocol"
)

// Bounds on messages, as the platform's protocol page gives them.
const (
	maxMessageBytes = 256 << 10
	maxEventBytes   = 64 << 10 // one event of a stream
	maxHeaderBytes  = 16 << 10
	maxHeaderFields = 100
)

// Timeouts towards clients, from the platform's protocol page with time to spare.
const (
	firstRequestTimeout = 2500 * time.Millisecond // a client that sends no request is owed a close within 3 s
	minClientIdleTime   = 2 * time.Second         // an idle client's connection may be closed after so long
	maxClientIdleTime   = time.Minute
	clientWriteTimeout  = 5 * time.Second
	answerMargin        = 20 * time.Millisecond // final answers are sent so long before the client's time is up
)

// Timeouts towards engines.
const (
	streamIdleTimeout        = 4 * time.Second        // a client may not wait 5 s after an engine's last event
	replyHeaderTimeout       = 500 * time.Millisecond // a reply's head comes at once with its first event
	defaultDialTimeout       = 250 * time.Millisecond // where the settings give none
	defaultEngineIdleTimeout = 30 * time.Second       // likewise
	// settleDelay is a few round trips within a zone: until then a connection that breaks did not run its request.
	settleDelay = 3 * time.Millisecond
	// reuseDelay: a second reply that nobody asked for may come some milliseconds late.
	reuseDelay = 25 * time.Millisecond
)

// gatewayOptions are the options of the node's gateway.
func (c *Config) gatewayOptions(limits ResourceLimits, clients gateway.ClientProtocol) gateway.Options {
	site := &c.Site
	retryAfter := gateway.NoRetryAfter
	if site.RetryAfter {
		retryAfter = gateway.RetryAfterFractional
	}
	return gateway.Options{
		Routing:             site.Routing,
		Kinds:               site.Kinds,
		Tenants:             site.Tenants,
		Seed:                c.Seed,
		Protocol:            clients,
		Engines:             c.engineClient(limits),
		Limits:              limits.gatewayLimits(),
		AnswerMargin:        answerMargin,
		FirstRequestTimeout: firstRequestTimeout,
		MinIdleTime:         minClientIdleTime,
		AcceptWhileDraining: c.acceptWhileDraining(),
		BrokenStreams:       gateway.CloseConnection,
		Pipelining:          gateway.RejectPipelining,
		RetryAfter:          retryAfter,
	}
}

// gatewayLimits are the gateway's bounds on clients.
func (l ResourceLimits) gatewayLimits() config.Limits {
	return config.Limits{
		MaxOpenRequests:      l.MaxOpenRequests,
		MaxConnections:       l.MaxClientConns,
		MaxHeaderBytes:       maxHeaderBytes,
		MaxHeaderFields:      maxHeaderFields,
		MaxBodyBytes:         maxMessageBytes,
		MaxCollectedBytes:    maxMessageBytes,
		MaxEventBytes:        maxEventBytes,
		HeaderTimeout:        firstRequestTimeout,
		BodyTimeout:          firstRequestTimeout,
		IdleTimeout:          maxClientIdleTime,
		WriteTimeout:         clientWriteTimeout,
		StreamIdleTimeout:    streamIdleTimeout,
		MaxBufferedBodyBytes: config.Size(l.MaxBufferedBodyBytes),
	}
}

// engineClient is the client of the engines.
func (c *Config) engineClient(limits ResourceLimits) *engine.Client {
	return &engine.Client{
		Protocol:            protocol.Engines{},
		LoadReportHeader:    protocol.HeaderLoadReport,
		StateByRequestID:    true,
		RequireLastChunk:    true,
		RunsWhenComplete:    true,
		SettleDelay:         settleDelay,
		ReuseDelay:          reuseDelay,
		DialTimeout:         positiveOr(c.Site.DialTimeout, defaultDialTimeout),
		HeaderTimeout:       replyHeaderTimeout,
		StreamIdleTimeout:   streamIdleTimeout,
		IdleTimeout:         positiveOr(c.Site.ConnIdleTimeout, defaultEngineIdleTimeout) * 2 / 3, // before the engine closes
		MaxConns:            limits.MaxEngineConns,
		MaxConnsPerEndpoint: limits.MaxConnsPerEngine,
		MaxIdlePerEndpoint:  limits.MaxConnsPerEngine,
		MaxStreamBytes:      maxMessageBytes,
		MaxReplyBytes:       maxMessageBytes,
		MaxEventBytes:       maxEventBytes,
		Limits:              http1.Limits{MaxHeaderBytes: maxHeaderBytes, MaxHeaderFields: maxHeaderFields},
	}
}

// positiveOr is d, or fallback where d is not positive.
func positiveOr(d, fallback time.Duration) time.Duration { return cmp.Or(max(d, 0), fallback) }
