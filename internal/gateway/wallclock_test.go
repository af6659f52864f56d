//go:build wallclockstep

// These tests need a standard library with time.StepWallClock, which steps the wall clock: run .ci/wall-clock.

package gateway

import (
	"net"
	"testing"
	"time"
)

var wallClockSteps = map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour, "5 s forward": 5 * time.Second}

// stepWallClock steps the wall clock, and steps it back when the test ends.
func stepWallClock(t *testing.T, step time.Duration) {
	t.Helper()
	time.StepWallClock(step)
	t.Cleanup(func() { time.StepWallClock(-step) })
}

// TestWallClockDrainDeadline checks that a drain that accepts requests for another 300 ms has its deadline after
// exactly that time, even if the wall clock is stepped meanwhile. With a deadline in wall-clock time the drain ended at
// once, or an hour late.
func TestWallClockDrainDeadline(t *testing.T) {
	for name, step := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{Options: Options{AcceptWhileDraining: 300 * time.Millisecond}}
			g.startDraining()
			stepWallClock(t, step)
			if g.drain.deadlinePassed() {
				t.Error("the drain's deadline has passed immediately")
			}
			if wait := time.Until(g.drain.graceEnd()); wait <= 0 || wait > g.AcceptWhileDraining {
				t.Errorf("the drain lasts %v more", wait)
			}
			time.Sleep(g.AcceptWhileDraining)
			if !g.drain.deadlinePassed() {
				t.Error("the drain's deadline has not passed in time")
			}
		})
	}
}

// TestWallClockEviction checks that, whatever steps the wall clock makes, the connection that has been idle longest is
// evicted, and none that has been idle for less than MinIdleTime.
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
				t.Fatal("a connection was evicted before MinIdleTime")
			}
			time.Sleep(g.MinIdleTime)
			idle()
			if !g.evictIdleConn() {
				t.Fatal("no connection was evicted after MinIdleTime")
			}
			if _, there := g.conns[first]; there {
				t.Error("the connection that was idle for a shorter time was evicted")
			}
		})
	}
}
