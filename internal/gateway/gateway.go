// Package gateway accepts clients, runs the router and carries out its actions. One Gateway is one replica.
//
// The decisions on a request (rejecting, retrying, canceling, releasing) are made by package routing; this package
// reports what happens on the network to the router as events, and carries out the actions that the router returns.
//
// # Goroutines
//
//   - One event loop owns the routing.Router, the endpoint table and the loop's part of each in-flight request. It
//     never blocks: all other goroutines post messages to it.
//   - One goroutine per client connection reads requests and writes every response that is not a stream. While a
//     request is in flight it blocks in a read, which detects that the client closes the connection.
//   - One worker per attempt at an engine, from a pool. The worker whose attempt gets the first token writes the stream
//     to the client; tokens never pass through the event loop.
//   - One goroutine per release of a read state and one per call to an engine in it, one per engine that has stopped
//     responding (see hungEngine), and one timer goroutine that posts a message each second.
//
// The event loop, the connection's goroutine and the workers compete to answer a request, and only one of them does:
// see answerState.
package gateway

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/http1"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

// Gateway is one replica. Create it with New or NewFromSettings, pass it endpoint lists with UpdateEndpoints, and run
// it with Serve. Its methods may be called from any goroutine.
type Gateway struct {
	Options
	settings *config.Settings // as passed to NewFromSettings; nil for a gateway from New
	hooks    TestHooks
	classes  []routing.Class
	kinds    []routing.Kind
	limits   http1.Limits
	log      *zap.Logger
	metrics  *telemetry.Metrics
	loop     *eventLoop
	runID    string // random; part of all attempt ids, so that they differ from those of other replicas and restarts

	lastRequestID atomic.Uint64
	openRequests  atomic.Int64
	bodyBytes     atomic.Int64 // size of the request bodies in memory, including reservations for bodies being read

	clientIDs *clientIDs

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	listener net.Listener

	drain drainState

	goroutines sync.WaitGroup // Serve and the connections
}

// New creates a gateway and starts its event loop, which runs until Shutdown.
func New(options Options, log *zap.Logger, metrics *telemetry.Metrics) (*Gateway, error) {
	var randomBytes [16]byte
	if _, err := rand.Read(randomBytes[:]); err != nil {
		return nil, err
	}
	if options.Seed == 0 {
		options.Seed = binary.LittleEndian.Uint64(randomBytes[:8])
	}
	hooks := Hooks
	if hooks.Settings != nil {
		hooks.Settings(&options.Routing)
	}
	router, err := routing.New(options.Routing, options.Seed)
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		Options: options, hooks: hooks, classes: options.Routing.Classes, kinds: options.Routing.Kinds,
		log: log, metrics: metrics, runID: fmt.Sprintf("%x", randomBytes[8:]), drain: drainState{grace: defaultDrainGrace},
		limits: http1.Limits{
			MaxHeaderBytes:  int(options.Limits.MaxHeaderBytes),
			MaxHeaderFields: options.Limits.MaxHeaderFields,
		},
		conns: map[*clientConn]struct{}{}, clientIDs: newClientIDs(),
	}
	options.Engines.LoadReportFields = options.Routing.LoadReportFields
	g.loop = newEventLoop(g, router, options.Engines)
	return g, nil
}

// UpdateEndpoints posts an update of the endpoint list to the event loop. It doesn't wait for it to be applied.
func (g *Gateway) UpdateEndpoints(u endpointslice.Update) { g.loop.post(nil, endpointsUpdated{&u}) }

// Reload replaces the models, rules, sessions and prefixes of a running gateway, which must come from NewFromSettings.
// Any other setting needs a restart: if one differs, nothing is replaced and the error names its element.
func (g *Gateway) Reload(settings *config.Settings) error {
	if err := config.CheckReload(g.settings, settings); err != nil {
		return err
	}
	g.Protocol.(*openAI).classifier.Store(settings.Classifier())
	return nil
}

// NotReady returns why the gateway should not receive traffic, or "" if it is ready.
func (g *Gateway) NotReady() string {
	switch {
	case g.drain.started.Load():
		return "draining"
	case !g.loop.hasEndpoints.Load():
		return "no list of engines yet"
	}
	return ""
}

// connections returns the number of open client connections.
func (g *Gateway) connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// attemptID returns the id of an attempt. It is unique across replicas and restarts.
func (g *Gateway) attemptID(id routing.RequestID, attempt int) string {
	b := append(make([]byte, 0, len(g.runID)+16), g.runID...)
	b = strconv.AppendUint(append(b, '-'), uint64(id), 16)
	return string(strconv.AppendInt(append(b, '-'), int64(attempt), 10))
}

// tenantName returns the name of a tenant by its index, or "" if there is none.
func (g *Gateway) tenantName(i int) string {
	if i >= 0 && i < len(g.Tenants) {
		return g.Tenants[i]
	}
	return ""
}
