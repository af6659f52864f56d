// Package monotonic provides points in time of the monotonic clock that fit an atomic integer. Steps of the wall clock
// do not affect them, and their type prevents comparisons with a wall clock time.
package monotonic

import (
	"sync/atomic"
	"time"
)

// start is the origin of all points in time. It includes a monotonic clock reading.
var start = time.Now()

// Time is a point in time, in nanoseconds since the start of this process. It has no meaning in another process. Zero
// is before every time that Now returns.
type Time int64

// Now returns the current time, which is greater than zero.
func Now() Time { return Time(max(time.Since(start), 1)) }

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Deadline converts t to a time.Time with a monotonic clock reading, for deadlines of the standard library.
func (t Time) Deadline() time.Time { return start.Add(time.Duration(t)) }

// AtomicTime is a Time that is safe for concurrent use.
type AtomicTime struct{ value atomic.Int64 }

// Load atomically returns the time.
func (a *AtomicTime) Load() Time { return Time(a.value.Load()) }

// Store atomically sets the time.
func (a *AtomicTime) Store(t Time) { a.value.Store(int64(t)) }

// Swap atomically sets the time and returns the previous one.
func (a *AtomicTime) Swap(t Time) Time { return Time(a.value.Swap(int64(t))) }

// CompareAndSwap atomically sets the time to t if it equals old, and reports whether it did.
func (a *AtomicTime) CompareAndSwap(old, t Time) bool {
	return a.value.CompareAndSwap(int64(old), int64(t))
}
