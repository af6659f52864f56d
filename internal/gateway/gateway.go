// Package gateway runs the decision module for real: one loop owns the Router and turns what happens into events
// and actions into work; clients' connections and attempts at engines hang off it. It decides nothing about a
// request: what is refused, repeated, called off or let go is the module's word.
//
// The relay of tokens never passes through the loop; only a stream's beginning and its end do.
package gateway

import (
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

	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/endpointslice"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/telemetry"
	"brackenbend/routing"
)

// Way is a way in: the protocol that clients speak. OpenAI's is this product's own; a platform may bring another.
type Way interface {
	// Plain answers what needs neither body nor decision; nil: the body is to be read, and Take asked.
	Plain(req *http1.Request) *Answer
	// Take reads a request for an answer.
	Take(req *http1.Request, body []byte) (*Taken, *api.Error)
}

// Taken is a request as its way in read it.
type Taken struct {
	Event  routing.Request // but for ID and Due
	Prompt Prompt
	Path   string        // towards engines
	ID     string        // the client's own id of the request, not to be used by two at once; "" = none
	Key    string        // Idempotency-Key
	Wait   time.Duration // how long the client waits for the first token
	Whole  *api.Whole    // collects the answer for a client that does not stream
	Last   time.Duration // how long it waits for a whole answer; 0 = not told
}

// Prompt makes the bodies of a request's calls.
type Prompt interface {
	ReadBody() []byte
	WriteBody(kv json.RawMessage, usage bool) []byte
}

// Options are what a front is made of.
type Options struct {
	Choice  routing.Settings
	Kinds   []string // names, as lists give them
	Tenants []string
	Seed    uint64
	Way     Way
	Engines *engine.Client
	Limits  config.Limits // all are set
	Margin  time.Duration // final answers are due so long before the client's time is up
	// FirstTime is how long a new connection has for its first request; 0 = as later ones.
	FirstTime time.Duration
	// IdleLeast is how long an idle connection stays at least when connections are short; 0 = none is closed for that.
	IdleLeast time.Duration
	// Linger is how long a front that ends still takes in new connections and requests as before; 0 = it refuses them, and
	// waits lastLook for those that are on their way.
	Linger time.Duration
	// CutBroken: a stream that broke ends with its connection, else with an error event.
	CutBroken bool
	// OneByOne: a client has one request at a time on a connection; what sends more is answered with an error.
	OneByOne bool
	// Waits: refusals say when to come back, in fractions of seconds where Fractions is set.
	Waits, Fractions bool
}

// Front is one front. Make it with New or Make, give it lists with Deliver, run it with Serve.
type Front struct {
	Options
	set     *config.Settings // of New
	seam    Seam
	classes []routing.Class
	kinds   []routing.Kind
	limits  http1.Limits
	log     *zap.Logger
	m       *telemetry.Metrics
	loop    *loop
	ids     atomic.Uint64
	run     string // sets this run's ids apart from all others

	open   atomic.Int64
	bodies atomic.Int64 // bytes of bodies held

	mu       sync.Mutex
	conns    map[*client]struct{}
	names    map[string]struct{} // ids of open requests, where clients give them
	draining atomic.Bool
	lastLook time.Duration // set before it drains
	leaves   atomic.Int64  // when it takes in no more, as Unix time in nanoseconds; set before it drains
	listener net.Listener
	wait     sync.WaitGroup
}

// New makes a front for OpenAI's API and vLLM engines from checked settings.
func New(set *config.Settings, log *zap.Logger, m *telemetry.Metrics) (*Front, error) {
	e := set.Engines
	o := Options{Choice: set.Choice(), Seed: uint64(set.Front.Seed), Way: newOpenAI(set), Limits: *set.Limits, Margin: set.Front.Margin, Waits: true,
		Engines: &engine.Client{Dialect: engine.VLLM{Extended: e.Dialect == "extended", Agent: Agent(set)}, Load: engine.FieldLoad,
			DialTime: e.DialTime, Connections: e.Connections, Idle: e.Idle, IdleTime: e.IdleTime, StreamIdle: set.Limits.StreamIdle,
			Event: int(set.Limits.Event), Reply: int64(set.Limits.Whole), Limits: http1.Limits{Head: 64 << 10, Fields: 200}}}
	for _, k := range set.Kinds {
		o.Kinds = append(o.Kinds, k.Name)
	}
	for _, t := range set.Tenants {
		o.Tenants = append(o.Tenants, t.Name)
	}
	f, err := Make(o, log, m)
	if err == nil {
		f.set = set
	}
	return f, err
}

// Make makes a front.
func Make(o Options, log *zap.Logger, m *telemetry.Metrics) (*Front, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	if o.Seed == 0 {
		o.Seed = binary.LittleEndian.Uint64(random[:8])
	}
	seam := Bend
	if seam.Settings != nil {
		seam.Settings(&o.Choice)
	}
	router, err := routing.New(o.Choice, o.Seed)
	if err != nil {
		return nil, err
	}
	f := &Front{Options: o, seam: seam, classes: o.Choice.Classes, kinds: o.Choice.Kinds, log: log, m: m, conns: map[*client]struct{}{},
		limits: http1.Limits{Head: int(o.Limits.Head), Fields: o.Limits.Fields}, names: map[string]struct{}{},
		run: fmt.Sprintf("%x", random[8:]), lastLook: lastLook}
	o.Engines.Report = o.Choice.ReportFields
	f.loop = newLoop(f, router, o.Engines)
	return f, nil
}

// Agent is the User-Agent of a front towards engines and the register.
func Agent(set *config.Settings) string { return "brackenbend/" + set.Front.Name }

// Deliver takes news of the list of engines. It may be called from any goroutine.
func (f *Front) Deliver(u endpointslice.Update) { f.loop.post(item{list: &u}) }

// Reload takes new settings into a running front: models, rules, sessions and prefixes. All else needs a
// restart; what differs there is named in the error and nothing is taken.
func (f *Front) Reload(set *config.Settings) error {
	if err := config.SameButRoutes(f.set, set); err != nil {
		return err
	}
	f.Way.(*openAI).routes.Store(set.Classifier())
	return nil
}

// NotReady tells why the front should get no traffic; "" when it should.
func (f *Front) NotReady() string {
	switch {
	case f.draining.Load():
		return "draining"
	case !f.loop.listed.Load():
		return "no list of engines yet"
	}
	return ""
}

// Serve accepts clients until Shutdown or a failure of the listener.
func (f *Front) Serve(l net.Listener) error {
	f.mu.Lock()
	if f.draining.Load() { // Shutdown came first, and may be waiting already
		f.mu.Unlock()
		l.Close()
		return nil
	}
	f.listener = l
	f.wait.Add(1)
	f.mu.Unlock()
	defer f.wait.Done()
	defer l.Close()
	pause := acceptPauseLeast
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			pause = acceptPauseLeast
			f.accept(nc)
		case f.draining.Load() && (errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded)):
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: clients wait in the backlog, also while the front drains, rather than it ends
			f.log.Error("accept failed", zap.Error(err))
			time.Sleep(pause)
			pause = min(2*pause, acceptPauseMost)
		}
	}
}

// The bounds on the pause after a failed accept, which doubles.
const (
	acceptPauseLeast = 5 * time.Millisecond
	acceptPauseMost  = 100 * time.Millisecond
)

// lastLook is how long a draining front still looks for clients that are connecting, and for a request on a
// connection that was idle: closing in its face would leave it without an answer.
const lastLook = 50 * time.Millisecond

// look is how long a draining front waits for what may still come: until it leaves, and at least for the last look.
func (f *Front) look() time.Time {
	at := time.Now().Add(f.lastLook)
	if leaves := time.Unix(0, f.leaves.Load()); leaves.After(at) {
		return leaves
	}
	return at
}

// parting tells that answers end their connections.
func (f *Front) parting() bool {
	return f.draining.Load() && time.Now().UnixNano() >= f.leaves.Load()
}

func (f *Front) accept(nc net.Conn) {
	f.mu.Lock()
	if len(f.conns) >= f.Limits.Connections && !f.makeRoom() {
		f.mu.Unlock()
		f.m.Turned.WithLabelValues("connections").Inc()
		nc.Close()
		return
	}
	c := newClient(f, nc)
	f.conns[c] = struct{}{}
	f.wait.Add(1)
	f.mu.Unlock()
	f.m.Connections.Inc()
	go func() {
		defer f.wait.Done()
		c.serve()
		f.mu.Lock()
		delete(f.conns, c)
		f.mu.Unlock()
		f.m.Connections.Dec()
		f.m.Closed.WithLabelValues(c.closing).Inc()
	}()
}

// makeRoom ends the connection that has been idle longest, where that is long enough; one that has not sent anything
// yet owes its request at once and goes first. f.mu is held.
func (f *Front) makeRoom() bool {
	if f.IdleLeast == 0 {
		return false
	}
	now := time.Now().UnixNano()
	for {
		var oldest *client
		var rested int64
		for c := range f.conns {
			since := c.idleSince.Load()
			if since <= 0 || c.used && now-since < int64(f.IdleLeast) || oldest != nil && !oldest.used && c.used {
				continue
			}
			if oldest == nil || oldest.used && !c.used || since < rested {
				oldest, rested = c, since
			}
		}
		if oldest == nil {
			return false
		}
		if oldest.evict(rested) { // else a request has come on it
			delete(f.conns, oldest)
			return true
		}
	}
}

// Shutdown stops accepting, lets what is held be answered until ctx ends, then fails the rest, which promises
// nothing about effects. It returns when no connection and no attempt is left.
func (f *Front) Shutdown(ctx context.Context) {
	f.leaves.Store(time.Now().Add(f.Linger).UnixNano())
	f.mu.Lock()
	f.draining.Store(true)
	if l, ok := f.listener.(interface{ SetDeadline(time.Time) error }); ok { // those in the backlog are taken in and told
		_ = l.SetDeadline(f.look())
	} else if f.listener != nil {
		f.listener.Close()
	}
	for c := range f.conns {
		c.kickIfIdle()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() { f.wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		f.loop.giveUp()
		f.mu.Lock()
		for c := range f.conns {
			c.cutShort()
		}
		f.mu.Unlock()
		<-done
	}
	f.loop.close()
}

// connections is the number of clients' connections open.
func (f *Front) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// wideID names an attempt over all fronts and restarts.
func (f *Front) wideID(id routing.RequestID, attempt int) string {
	b := append(make([]byte, 0, len(f.run)+16), f.run...)
	b = strconv.AppendUint(append(b, '-'), uint64(id), 16)
	return string(strconv.AppendInt(append(b, '-'), int64(attempt), 10))
}

func (f *Front) tenant(i int) string {
	if i >= 0 && i < len(f.Tenants) {
		return f.Tenants[i]
	}
	return ""
}
