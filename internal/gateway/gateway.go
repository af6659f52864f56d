// Package gateway runs the decision module for real: one loop owns the Router and turns what happens into events
// and actions into work; clients' connections and attempts at engines hang off it. It decides nothing about a
// request: what is refused, repeated, called off or let go is the module's word.
//
// The relay of tokens never passes through the loop; only a stream's beginning and its end do.
package gateway

import (
	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// ClientProtocol is a way in: the protocol that clients speak. OpenAI's is this product's own; a platform may bring another.
type ClientProtocol interface {
	// RespondDirectly answers what needs neither body nor decision; nil: the body is to be read, and Take asked.
	RespondDirectly(req *http1.Request) *Response
	// ParseRequest reads a request for an answer.
	ParseRequest(req *http1.Request, body []byte) (*ParsedRequest, *api.Error)
}

// ParsedRequest is a request as its way in read it.
type ParsedRequest struct {
	Routing           routing.Request // but for ID and Due
	Prompt            RequestBodies
	Path              string         // towards engines
	ClientID          string         // the client's own id of the request, not to be used by two at once; "" = none
	IdempotencyKey    string         // Idempotency-Key
	FirstTokenTimeout time.Duration  // how long the client waits for the first token
	Collector         *api.Collector // collects the answer for a client that does not stream
	AnswerTimeout     time.Duration  // how long it waits for a whole answer; 0 = not told
}

// RequestBodies makes the bodies of a request's calls.
type RequestBodies interface {
	PrefillBody() []byte
	DecodeBody(kv json.RawMessage, usage bool) []byte
}

// Options are what a front is made of.
type Options struct {
	Routing      routing.Config
	Kinds        []string // names, as lists give them
	Tenants      []string
	Seed         uint64
	Protocol     ClientProtocol
	Engines      *engine.Client
	Limits       config.Limits // all are set
	AnswerMargin time.Duration // final answers are due so long before the client's time is up
	// FirstRequestTimeout is how long a new connection has for its first request; 0 = as later ones.
	FirstRequestTimeout time.Duration
	// MinIdleTime is how long an idle connection stays at least when connections are short; 0 = none is closed for that.
	MinIdleTime time.Duration
	// AcceptWhileDraining is how long a front that ends still takes in new connections and requests as before; 0 = it refuses them, and
	// waits lastLook for those that are on their way.
	AcceptWhileDraining time.Duration
	// CutBrokenStreams: a stream that broke ends with its connection, else with an error event.
	CutBrokenStreams bool
	// RejectPipelining: a client has one request at a time on a connection; what sends more is answered with an error.
	RejectPipelining bool
	// Waits: refusals say when to come back, in fractions of seconds where Fractions is set.
	SendRetryAfter, FractionalRetryAfter bool
}

// Gateway is one front. Make it with New or Make, give it lists with Deliver, run it with Serve.
type Gateway struct {
	Options
	settings     *config.Settings // of New
	hooks    TestHooks
	classes []routing.Class
	kinds   []routing.Kind
	limits  http1.Limits
	log     *zap.Logger
	metrics       *telemetry.Metrics
	loop    *eventLoop
	lastRequestID     atomic.Uint64
	runID     string // sets this run's ids apart from all others

	openRequests   atomic.Int64
	bodyBytes atomic.Int64 // bytes of bodies held

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	clientIDs    map[string]struct{} // ids of open requests, where clients give them
	draining atomic.Bool
	drainGrace time.Duration // set before it drains
	drainDeadline   atomic.Int64  // when it takes in no more, as Unix time in nanoseconds; set before it drains
	listener net.Listener
	goroutines     sync.WaitGroup
}

// NewFromSettings makes a front for OpenAI's API and vLLM engines from checked settings.
func NewFromSettings(set *config.Settings, log *zap.Logger, m *telemetry.Metrics) (*Gateway, error) {
	e := set.Engines
	o := Options{
		Routing: set.RoutingConfig(), Seed: uint64(set.Replica.Seed), Protocol: newOpenAI(set), Limits: *set.Limits, AnswerMargin: set.Replica.AnswerMargin, SendRetryAfter: true,
		Engines: &engine.Client{
			Protocol: engine.VLLM{Extended: e.Protocol == "extended", UserAgent: UserAgent(set)}, LoadReportHeader: engine.HeaderLoadReport,
			DialTimeout: e.DialTimeout, MaxConnsPerEndpoint: e.MaxConnsPerEngine, MaxIdlePerEndpoint: e.MaxIdlePerEngine, IdleTimeout: e.IdleTimeout, StreamIdleTimeout: set.Limits.StreamIdleTimeout,
			MaxEventBytes: int(set.Limits.MaxEventBytes), MaxReplyBytes: int64(set.Limits.MaxCollectedBytes), Limits: http1.Limits{MaxHeaderBytes: 64 << 10, MaxHeaderFields: 200},
		},
	}
	for _, k := range set.Kinds {
		o.Kinds = append(o.Kinds, k.Name)
	}
	for _, t := range set.Tenants {
		o.Tenants = append(o.Tenants, t.Name)
	}
	f, err := New(o, log, m)
	if err == nil {
		f.settings = set
	}
	return f, err
}

// New makes a front.
func New(o Options, log *zap.Logger, m *telemetry.Metrics) (*Gateway, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	if o.Seed == 0 {
		o.Seed = binary.LittleEndian.Uint64(random[:8])
	}
	seam := Hooks
	if seam.Settings != nil {
		seam.Settings(&o.Routing)
	}
	router, err := routing.New(o.Routing, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Gateway{
		Options: o, hooks: seam, classes: o.Routing.Classes, kinds: o.Routing.Kinds, log: log, metrics: m, conns: map[*clientConn]struct{}{},
		limits: http1.Limits{MaxHeaderBytes: int(o.Limits.MaxHeaderBytes), MaxHeaderFields: o.Limits.MaxHeaderFields}, clientIDs: map[string]struct{}{},
		runID: fmt.Sprintf("%x", random[8:]), drainGrace: defaultDrainGrace,
	}
	o.Engines.LoadReportFields = o.Routing.LoadReportFields
	f.loop = newEventLoop(f, router, o.Engines)
	return f, nil
}

// UserAgent is the User-Agent of a front towards engines and the register.
func UserAgent(set *config.Settings) string { return "brackenbend/" + set.Replica.Name }

// UpdateEndpoints takes news of the list of engines. It may be called from any goroutine.
func (f *Gateway) UpdateEndpoints(u endpointslice.Update) { f.loop.post(message{list: &u}) }

// Reload takes new settings into a running front: models, rules, sessions and prefixes. All else needs a
// restart; what differs there is named in the error and nothing is taken.
func (f *Gateway) Reload(set *config.Settings) error {
	if err := config.CheckReload(f.settings, set); err != nil {
		return err
	}
	f.Protocol.(*openAI).routes.Store(set.Classifier())
	return nil
}

// NotReady tells why the front should get no traffic; "" when it should.
func (f *Gateway) NotReady() string {
	switch {
	case f.draining.Load():
		return "draining"
	case !f.loop.hasEndpoints.Load():
		return "no list of engines yet"
	}
	return ""
}

// Serve accepts clients until Shutdown or a failure of the listener.
func (f *Gateway) Serve(l net.Listener) error {
	f.mu.Lock()
	if f.draining.Load() { // Shutdown came first, and may be waiting already
		f.mu.Unlock()
		l.Close()
		return nil
	}
	f.listener = l
	f.goroutines.Add(1)
	f.mu.Unlock()
	defer f.goroutines.Done()
	defer l.Close()
	pause := minAcceptBackoff
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			pause = minAcceptBackoff
			f.accept(nc)
		case f.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)):
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: clients wait in the backlog, also while the front drains, rather than it ends
			f.log.Error("accept failed", zap.Error(err))
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptBackoff)
		}
	}
}

// The bounds on the pause after a failed accept, which doubles.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff  = 100 * time.Millisecond
)

// defaultDrainGrace is how long a draining front still looks for clients that are connecting, and for a request on a
// connection that was idle: closing in its face would leave it without an answer.
const defaultDrainGrace = 50 * time.Millisecond

// drainGraceEnd is how long a draining front waits for what may still come: until it leaves, and at least for the last look.
func (f *Gateway) drainGraceEnd() time.Time {
	at := time.Now().Add(f.drainGrace)
	if leaves := time.Unix(0, f.drainDeadline.Load()); leaves.After(at) {
		return leaves
	}
	return at
}

// drainDeadlinePassed tells that answers end their connections.
func (f *Gateway) drainDeadlinePassed() bool {
	return f.draining.Load() && time.Now().UnixNano() >= f.drainDeadline.Load()
}

func (f *Gateway) accept(nc net.Conn) {
	f.mu.Lock()
	if len(f.conns) >= f.Limits.MaxConnections && !f.evictIdleConn() {
		f.mu.Unlock()
		f.metrics.RejectedConnections.WithLabelValues("connections").Inc()
		nc.Close()
		return
	}
	c := newClientConn(f, nc)
	f.conns[c] = struct{}{}
	f.goroutines.Add(1)
	f.mu.Unlock()
	f.metrics.ClientConnections.Inc()
	go func() {
		defer f.goroutines.Done()
		c.serve()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
		f.metrics.ClientConnections.Dec()
		f.metrics.ClosedConnections.WithLabelValues(c.closeReason).Inc()
	}()
}

// evictIdleConn ends the connection that has been idle longest, where that is long enough; one that has not sent anything
// yet owes its request at once and goes first. f.mu is held.
func (f *Gateway) evictIdleConn() bool {
	if f.MinIdleTime == 0 {
		return false
	}
	now := time.Now().UnixNano()
	for {
		var oldest *clientConn
		var rested int64
		for c := range f.conns {
			since := c.idleSince.Load()
			if since <= 0 || c.hadRequest && now-since < int64(f.MinIdleTime) || oldest != nil && !oldest.hadRequest && c.hadRequest {
				continue
			}
			if oldest == nil || oldest.hadRequest && !c.hadRequest || since < rested {
				oldest, rested = c, since
			}
		}
		if oldest == nil {
			return false
		}
		if oldest.closeIfIdleSince(rested) { // else a request has come on it
			delete(f.conns, oldest)
			return true
		}
	}
}

// Shutdown stops accepting, lets what is held be answered until ctx ends, then fails the rest, which promises
// nothing about effects. It returns when no connection and no attempt is left.
func (f *Gateway) Shutdown(ctx context.Context) {
	f.drainDeadline.Store(time.Now().Add(f.AcceptWhileDraining).UnixNano())
	f.mu.Lock()
	f.draining.Store(true)
	if l, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok { // those in the backlog are taken in and told
		_ = l.SetDeadline(f.drainGraceEnd())
	} else if f.listener != nil {
		f.listener.Close()
	}
	for c := range f.conns {
		c.interruptIfIdle()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() { f.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		f.loop.shutdownRouter()
		f.mu.Lock()
		for c := range f.conns {
			c.abort()
		}
		f.mu.Unlock()
		<-done
	}
	f.loop.close()
}

// connections is the number of clients' connections open.
func (f *Gateway) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// attemptID names an attempt over all fronts and restarts.
func (f *Gateway) attemptID(id routing.RequestID, attempt int) string {
	b := append(make([]byte, 0, len(f.runID)+16), f.runID...)
	b = strconv.AppendUint(append(b, '-'), uint64(id), 16)
	return string(strconv.AppendInt(append(b, '-'), int64(attempt), 10))
}

func (f *Gateway) tenantName(i int) string {
	if i >= 0 && i < len(f.Tenants) {
		return f.Tenants[i]
	}
	return ""
}
