// Package front runs the decision module for real: one loop owns the Router and turns what happens into events
// and actions into work; clients' connections and attempts at engines hang off it. It decides nothing about a
// request: what is refused, repeated, called off or let go is the module's word.
//
// The relay of tokens never passes through the loop; only a stream's beginning and its end do.
package front

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"brackenbend/choice"
	"brackenbend/internal/api"
	"brackenbend/internal/config"
	"brackenbend/internal/engine"
	"brackenbend/internal/http1"
	"brackenbend/internal/obs"
	"brackenbend/internal/register"
)

// Front is one front. Make it with New, give it lists with Deliver, run it with Serve.
type Front struct {
	set     *config.Settings
	seam    Seam
	classes []choice.Class
	kinds   []choice.Kind
	limits  http1.Limits
	routes  atomic.Pointer[api.Classifier]
	log     *zap.Logger
	m       *obs.Metrics
	loop    *loop
	ids     atomic.Uint64
	run     string // sets this run's ids apart from all others

	open   atomic.Int64
	bodies atomic.Int64 // bytes of bodies held

	mu       sync.Mutex
	conns    map[*client]struct{}
	draining atomic.Bool
	lastLook time.Duration // set before it drains
	listener net.Listener
	wait     sync.WaitGroup
}

// New makes a front from checked settings.
func New(set *config.Settings, log *zap.Logger, m *obs.Metrics) (*Front, error) {
	var random [16]byte
	if _, err := rand.Read(random[:]); err != nil {
		return nil, err
	}
	seed := binary.LittleEndian.Uint64(random[:8])
	if set.Front.Seed != 0 {
		seed = uint64(set.Front.Seed)
	}
	cs := set.Choice()
	seam := Bend
	if seam.Settings != nil {
		seam.Settings(&cs)
	}
	router, err := choice.New(cs, seed)
	if err != nil {
		return nil, err
	}
	f := &Front{set: set, seam: seam, classes: cs.Classes, kinds: cs.Kinds, limits: set.HTTP(), log: log, m: m, conns: map[*client]struct{}{},
		run: fmt.Sprintf("%x", random[8:]), lastLook: lastLook}
	f.routes.Store(set.Classifier())
	e := set.Engines
	f.loop = newLoop(f, router, &engine.Client{Agent: Agent(set), Report: cs.ReportFields, Extended: e.Dialect == "extended", DialTime: e.DialTime, Connections: e.Connections,
		Idle: e.Idle, IdleTime: e.IdleTime, StreamIdle: set.Limits.StreamIdle, Event: int(set.Limits.Event),
		Reply: int64(set.Limits.Whole), Limits: http1.Limits{Head: 64 << 10, Fields: 200}})
	return f, nil
}

// Agent is the User-Agent of a front towards engines and the register.
func Agent(set *config.Settings) string { return "brackenbend/" + set.Front.Name }

// Deliver takes news of the list of engines. It may be called from any goroutine.
func (f *Front) Deliver(u register.Update) { f.loop.post(item{list: &u}) }

// Reload takes new settings into a running front: models, rules, sessions and prefixes. All else needs a
// restart; what differs there is named in the error and nothing is taken.
func (f *Front) Reload(set *config.Settings) error {
	if err := config.SameButRoutes(f.set, set); err != nil {
		return err
	}
	f.routes.Store(set.Classifier())
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
	f.wait.Add(1)
	defer f.wait.Done()
	defer l.Close()
	f.mu.Lock()
	f.listener = l
	f.mu.Unlock()
	if f.draining.Load() {
		return nil
	}
	pause := 5 * time.Millisecond
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			pause = 5 * time.Millisecond
			f.accept(nc)
		case f.draining.Load():
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: clients wait in the backlog rather than the front ends
			f.log.Error("accept failed", zap.Error(err))
			time.Sleep(pause)
			pause = min(2*pause, time.Second)
		}
	}
}

// lastLook is how long a draining front still looks for clients that are connecting, and for a request on a
// connection that was idle: closing in its face would leave it without an answer.
const lastLook = 50 * time.Millisecond

func (f *Front) accept(nc net.Conn) {
	f.mu.Lock()
	if len(f.conns) >= f.set.Limits.Connections {
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
	}()
}

// Shutdown stops accepting, lets what is held be answered until ctx ends, then fails the rest, which promises
// nothing about effects. It returns when no connection and no attempt is left.
func (f *Front) Shutdown(ctx context.Context) {
	f.draining.Store(true)
	f.mu.Lock()
	if t, ok := f.listener.(*net.TCPListener); ok { // those in the backlog are taken in and told
		_ = t.SetDeadline(time.Now().Add(f.lastLook))
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
		f.mu.Lock()
		for c := range f.conns {
			c.cutShort()
		}
		f.mu.Unlock()
		<-done
	}
	f.loop.close()
}

// wideID names an attempt over all fronts and restarts.
func (f *Front) wideID(id choice.RequestID, attempt int) string {
	b := append(make([]byte, 0, len(f.run)+16), f.run...)
	b = strconv.AppendUint(append(b, '-'), uint64(id), 16)
	return string(strconv.AppendInt(append(b, '-'), int64(attempt), 10))
}

func (f *Front) tenant(i int) string {
	if i < len(f.set.Tenants) {
		return f.set.Tenants[i].Name
	}
	return ""
}
