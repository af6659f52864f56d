package gateway

import (
	"context"
	"time"
)

// defaultDrainGrace is how long a draining gateway still waits for clients that are connecting, and for requests on
// idle connections: a request that crosses the close of its connection would remain without an answer.
const defaultDrainGrace = 50 * time.Millisecond

// drainGraceEnd returns until when a draining gateway waits for connections and requests that may still come: the drain
// deadline, but at least the drain grace from now.
func (g *Gateway) drainGraceEnd() time.Time {
	end := time.Now().Add(g.drainGrace)
	if deadline := time.Unix(0, g.drainDeadline.Load()); deadline.After(end) {
		return deadline
	}
	return end
}

// drainDeadlinePassed reports that no further requests are accepted and each answer ends its connection.
func (g *Gateway) drainDeadlinePassed() bool {
	return g.draining.Load() && time.Now().UnixNano() >= g.drainDeadline.Load()
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
	g.drainDeadline.Store(time.Now().Add(g.AcceptWhileDraining).UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining.Store(true)
	if l, ok := g.listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = l.SetDeadline(g.drainGraceEnd()) // connections in the backlog are still accepted; fails only on a closed one
	} else if g.listener != nil {
		_ = g.listener.Close() // Serve, which ends by it, reports what matters
	}
	for c := range g.conns {
		c.interruptIfIdle()
	}
}
