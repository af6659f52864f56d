package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"brackenbend/internal/monotonic"
)

// defaultDrainGrace is how long a draining gateway waits for clients that are connecting and for requests on idle
// connections. Without this wait, a request that is sent just as its connection is closed would get no response.
const defaultDrainGrace = 50 * time.Millisecond

// drainState is the progress of a graceful shutdown.
type drainState struct {
	started  atomic.Bool
	grace    time.Duration        // minimum for graceEnd; set before started
	deadline monotonic.AtomicTime // end of AcceptWhileDraining; set before started
}

// graceEnd returns the time until which a draining gateway waits for new connections and for requests on idle
// connections: the deadline, but at least grace from now.
func (d *drainState) graceEnd() time.Time {
	return max(monotonic.Now().Add(d.grace), d.deadline.Load()).Deadline()
}

// deadlinePassed reports whether the gateway is draining and the time of AcceptWhileDraining is over. From then on each
// response ends its connection, except a stream whose request was accepted before.
func (d *drainState) deadlinePassed() bool {
	return d.started.Load() && monotonic.Now() >= d.deadline.Load()
}

// rejectsWhileDraining reports whether the gateway drains and takes no more requests: the time of AcceptWhileDraining
// is over, and the shutdown would cut off what began now. If clients resume broken streams, requests on open
// connections are taken until the shutdown ends the streams, which continue at another replica.
func (g *Gateway) rejectsWhileDraining() bool {
	if !g.drain.deadlinePassed() {
		return false
	}
	return g.AcceptWhileDraining == 0 || !g.Routing.ResumeStreams
}

// Shutdown shuts the gateway down gracefully: it stops accepting connections and requests, as AcceptWhileDraining says,
// and waits until open requests are answered. Once ctx is done, the router rejects or fails the requests without an
// answer, and connections on which an answer has begun are closed, except for streams with StreamsOutlastShutdown.
// Shutdown returns when no connection and no attempt is left.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.startDraining()
	done := make(chan struct{})
	go func() { g.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		g.endDrain()
		<-done
	}
	g.loop.close()
}

// endDrain answers all requests that have no answer and ends the connections, except those whose stream may go on.
func (g *Gateway) endDrain() {
	g.loop.shutdownRouter()
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		if !g.StreamsOutlastShutdown || !c.streaming() {
			c.abort()
		}
	}
}

func (g *Gateway) startDraining() {
	g.drain.deadline.Store(monotonic.Now().Add(g.AcceptWhileDraining))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drain.started.Store(true)
	if l, ok := g.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(g.drain.graceEnd()) // the backlog is still accepted; fails only on a closed listener
	} else if g.listener != nil {
		_ = g.listener.Close() // makes Serve return, also if Close fails
	}
	for c := range g.conns {
		c.interruptIdleRead()
	}
}
