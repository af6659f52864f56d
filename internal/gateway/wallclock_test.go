//go:build wallclockstep

// These tests need a standard library whose wall clock they can step: run .ci/wall-clock.

package gateway

import (
	"net"
	"testing"
	"time"
)

var wallClockSteps = map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour, "5 s forward": 5 * time.Second}

// stepWallClock steps the wall clock, until the test ends.
func stepWallClock(t *testing.T, step time.Duration) {
	t.Helper()
	time.StepWallClock(step)
	t.Cleanup(func() { time.StepWallClock(-step) })
}

// TestWallClockDrainDeadline: a drain that accepts for 300 ms more ends its connections after just that, wherever the
// wall clock is stepped to meanwhile. It ended at once, or an hour later.
func TestWallClockDrainDeadline(t *testing.T) {
	for name, step := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{Options: Options{AcceptWhileDraining: 300 * time.Millisecond}}
			g.startDraining()
			stepWallClock(t, step)
			if g.drain.deadlinePassed() {
				t.Error("the drain's deadline has passed at once")
			}
			if wait := time.Until(g.drain.graceEnd()); wait <= 0 || wait > g.AcceptWhileDraining {
				t.Errorf("the drain goes on for %v", wait)
			}
			time.Sleep(g.AcceptWhileDraining)
			if !g.drain.deadlinePassed() {
				t.Error("the drain's deadline has not passed in its time")
			}
		})
	}
}

// TestWallClockEviction: of two idle connections the one that has been idle longer goes, and none that has been idle
// for less than MinIdleTime.
func TestWallClockEviction(t *testing.T) {
	for name, step := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{Options: Options{MinIdleTime: 200 * time.Millisecond}, conns: map[*clientConn]struct{}{}}
			idle := func() *clientConn {
				client, server := net.Pipe()
				t.Cleanup(func() { _ = client.Close() })
				c := newClientConn(g, server)
				c.hadRequest = true
				c.markIdle()
				g.conns[c] = struct{}{}
				return c
			}
			first := idle()
			stepWallClock(t, step)
			if g.evictIdleConn() {
				t.Fatal("evicted at once")
			}
			time.Sleep(g.MinIdleTime)
			idle()
			if !g.evictIdleConn() {
				t.Fatal("none was evicted")
			}
			if _, there := g.conns[first]; there {
				t.Error("the one that was idle for less was evicted")
			}
		})
	}
}
