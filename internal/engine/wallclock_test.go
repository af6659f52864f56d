//go:build wallclockstep

// These tests need a standard library with a wall clock that they can step; .ci/wall-clock runs them with one.

package engine

import (
	"testing"
	"time"
)

// stepWallClock steps the wall clock, and steps it back when the test ends.
func stepWallClock(t *testing.T, step time.Duration) {
	t.Helper()
	time.StepWallClock(step)
	t.Cleanup(func() { time.StepWallClock(-step) })
}

// TestWallClockReuse checks that reuse stays suspended for IdleTimeout across steps of the wall clock. When the time
// was taken from the wall clock, a step of an hour ended the suspension at once or extended it by an hour.
func TestWallClockReuse(t *testing.T) {
	for name, step := range map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient()
			client.IdleTimeout = 200 * time.Millisecond
			client.suspendReuse()
			stepWallClock(t, step)
			if !client.reuseSuspended() {
				t.Error("the suspension of reuse ended at once")
			}
			time.Sleep(client.IdleTimeout)
			if client.reuseSuspended() {
				t.Error("the suspension of reuse continues after IdleTimeout")
			}
		})
	}
}

// TestWallClockLastResponse checks that a step of the wall clock does not change which engine responded last. Releases
// go to that engine first.
func TestWallClockLastResponse(t *testing.T) {
	var earlier, later Endpoint
	earlier.markResponse()
	stepWallClock(t, -time.Hour)
	later.markResponse()
	if later.LastResponse() <= earlier.LastResponse() {
		t.Error("the engine that responded last has the earlier time")
	}
}
