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

// Limits on messages, as the platform's protocol specifies them.
const (
	maxMessageBytes = 256 << 10
	maxEventBytes   = 64 << 10 // one event of a stream
	maxHeaderBytes  = 16 << 10
	maxHeaderFields = 100
)

// Timeouts for clients. They follow the platform's protocol and leave a margin.
const (
	firstRequestTimeout = 2500 * time.Millisecond // a connection without a request must be closed within 3 s
	minClientIdleTime   = 2 * time.Second         // after which an idle connection may be closed for a new one
	maxClientIdleTime   = time.Minute
	clientWriteTimeout  = 5 * time.Second
	answerMargin        = 20 * time.Millisecond // final answers are sent this long before the client's deadline
)

// Timeouts for engines.
const (
	streamIdleTimeout        = 4 * time.Second        // a client must not wait 5 s after an engine's last event
	slowEventGap             = 900 * time.Millisecond // an engine that stops writing after 4 s is given up before 5 s
	slowEventTimeout         = 16 * time.Second
	replyHeaderTimeout       = 500 * time.Millisecond // after a reply's first byte; its first event follows at once
	defaultDialTimeout       = 250 * time.Millisecond // used if the settings contain none
	defaultEngineIdleTimeout = 30 * time.Second       // likewise
	// settleDelay is a few round trips within a zone. The last byte of a request that is not idempotent is withheld for
	// this time: if the connection breaks before, the request was not run.
	settleDelay = 3 * time.Millisecond
	// reuseDelay allows for an unsolicited second reply, which may arrive some milliseconds after the first.
	reuseDelay = 25 * time.Millisecond
)

// gatewayOptions returns the options of the node's gateway.
func (c *Config) gatewayOptions(limits ResourceLimits, clientProtocol gateway.ClientProtocol) gateway.Options {
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
		Protocol:            clientProtocol,
		Engines:             c.engineClient(limits),
		Limits:              limits.gatewayLimits(),
		AnswerMargin:        answerMargin,
		FirstRequestTimeout: firstRequestTimeout,
		MinIdleTime:         minClientIdleTime,
		AcceptWhileDraining: c.acceptWhileDraining(),
		// Clients that resume broken streams find the rest elsewhere, but only while another node is up.
		StreamsOutlastShutdown: !site.Routing.ResumeStreams,
		BrokenStreams:          gateway.CloseConnection,
		Pipelining:             gateway.RejectPipelining,
		RetryAfter:             retryAfter,
	}
}

// gatewayLimits returns the limits that the gateway enforces on clients.
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

// engineClient returns the HTTP client for engines.
func (c *Config) engineClient(limits ResourceLimits) *engine.Client {
	return &engine.Client{
		Protocol:            protocol.EngineProtocol{},
		LoadReportHeader:    protocol.HeaderLoadReport,
		StateByRequestID:    true,
		RequireLastChunk:    true,
		StrictEvents:        true,
		RunsWhenComplete:    true,
		SettleDelay:         settleDelay,
		ReuseDelay:          reuseDelay,
		DialTimeout:         positiveOr(c.Site.DialTimeout, defaultDialTimeout),
		HeaderTimeout:       replyHeaderTimeout,
		StreamIdleTimeout:   streamIdleTimeout,
		SlowEventGap:        slowEventGap,
		SlowEventTimeout:    slowEventTimeout,
		IdleTimeout:         positiveOr(c.Site.ConnIdleTimeout, defaultEngineIdleTimeout) * 2 / 3, // less than the engine's
		MaxConns:            limits.MaxEngineConns,
		MaxConnsPerEndpoint: limits.MaxConnsPerEngine,
		MaxIdlePerEndpoint:  limits.MaxConnsPerEngine,
		MaxStreamBytes:      maxMessageBytes,
		MaxReplyBytes:       maxMessageBytes,
		MaxEventBytes:       maxEventBytes,
		Limits:              http1.Limits{MaxHeaderBytes: maxHeaderBytes, MaxHeaderFields: maxHeaderFields},
	}
}

// positiveOr returns d if it is positive, and fallback otherwise.
func positiveOr(d, fallback time.Duration) time.Duration { return cmp.Or(max(d, 0), fallback) }
