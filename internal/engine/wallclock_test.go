//go:build wallclockstep

// These tests need a standard library whose wall clock they can step: run .ci/wall-clock.

package engine

import (
	"testing"
	"time"
)

// stepWallClock steps the wall clock, until the test ends.
func stepWallClock(t *testing.T, step time.Duration) {
	t.Helper()
	time.StepWallClock(step)
	t.Cleanup(func() { time.StepWallClock(-step) })
}

// TestWallClockReuse: after a reused connection broke none is reused for IdleTimeout. A step of an hour had broken ones
// trusted at once, or none reused for an hour.
func TestWallClockReuse(t *testing.T) {
	for name, step := range map[string]time.Duration{"an hour forward": time.Hour, "an hour back": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			client := newTestClient()
			client.IdleTimeout = 200 * time.Millisecond
			client.suspendReuse()
			stepWallClock(t, step)
			if !client.reuseSuspended() {
				t.Error("connections are trusted at once")
			}
			time.Sleep(client.IdleTimeout)
			if client.reuseSuspended() {
				t.Error("connections are not trusted when those that were idle are past their time")
			}
		})
	}
}

// TestWallClockLastResponse: releases go first to the engine that responded last.
func TestWallClockLastResponse(t *testing.T) {
	var earlier, later Endpoint
	earlier.markResponse()
	stepWallClock(t, -time.Hour)
	later.markResponse()
	if later.LastResponse() <= earlier.LastResponse() {
		t.Error("the engine that responded last counts as the one before")
	}
}
