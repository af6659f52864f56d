// Package monotonic has points in time by the monotonic clock, in a form that fits an atomic integer. A step of the
// wall clock doesn't move them, and their type keeps them from being compared with a wall time.
package monotonic

import (
	"sync/atomic"
	"time"
)

// start has a monotonic reading, which all points in time are relative to.
var start = time.Now()

// Time is a point in time, in nanoseconds since this process started. It means nothing to another process. Zero is
// before any time that Now returns.
type Time int64

// Now is the present time; it is above zero.
func Now() Time { return Time(max(time.Since(start), 1)) }

// Add is the time so much later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub is how much later t is than u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Deadline is t for the standard library, which goes by the monotonic clock with it.
func (t Time) Deadline() time.Time { return start.Add(time.Duration(t)) }

// AtomicTime is a Time that several goroutines read and write.
type AtomicTime struct{ value atomic.Int64 }

// Load returns the time.
func (a *AtomicTime) Load() Time { return Time(a.value.Load()) }

// Store sets the time.
func (a *AtomicTime) Store(t Time) { a.value.Store(int64(t)) }

// Swap sets the time and returns the one before.
func (a *AtomicTime) Swap(t Time) Time { return Time(a.value.Swap(int64(t))) }

// CompareAndSwap sets the time if it is old.
func (a *AtomicTime) CompareAndSwap(old, t Time) bool {
	return a.value.CompareAndSwap(int64(old), int64(t))
}
