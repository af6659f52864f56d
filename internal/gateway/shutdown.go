package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"brackenbend/internal/monotonic"
)

// defaultDrainGrace is how long a draining gateway still waits for clients that are connecting, and for requests on
// idle connections: a request that crosses the close of its connection would remain without an answer.
const defaultDrainGrace = 50 * time.Millisecond

// drainState is the progress of a graceful shutdown.
type drainState struct {
	started  atomic.Bool
	grace    time.Duration        // set before started
	deadline monotonic.AtomicTime // end of AcceptWhileDraining; set before started
}

// graceEnd returns until when a draining gateway waits for connections and requests that may still come: the deadline,
// but at least the grace from now.
func (d *drainState) graceEnd() time.Time {
	return max(monotonic.Now().Add(d.grace), d.deadline.Load()).Deadline()
}

// deadlinePassed reports that no further requests are accepted and each answer ends its connection.
func (d *drainState) deadlinePassed() bool {
	return d.started.Load() && monotonic.Now() >= d.deadline.Load()
}

// Shutdown shuts down gracefully: it stops accepting and waits until open requests are answered. Once ctx is done the
// router rejects or fails the rest, and streams are cut. It returns when no connection and no attempt is left.
func (g *Gateway) Shutdown(ctx context.Context) {
	g.startDraining()
	done := make(chan struct{})
	go func() { g.goroutines.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		g.loop.shutdownRouter()
		g.mu.Lock()
		for c := range g.conns {
			c.abort()
		}
		g.mu.Unlock()
		<-done
	}
	g.loop.close()
}

func (g *Gateway) startDraining() {
	g.drain.deadline.Store(monotonic.Now().Add(g.AcceptWhileDraining))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drain.started.Store(true)
	if l, ok := g.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(g.drain.graceEnd()) // connections in the backlog are still accepted; fails only on a closed one
	} else if g.listener != nil {
		_ = g.listener.Close() // Serve, which ends by it, reports what matters
	}
	for c := range g.conns {
		c.interruptIfIdle()
	}
}
