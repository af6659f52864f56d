// Package gctuning sets how often garbage is collected. It owns the process's GC percentage and nothing else.
//
// Go collects when the heap has doubled. A replica whose live heap is a few megabytes then collects dozens of times a
// second under load, each time marking the same little; a floor under the heap's goal makes that rare, for memory
// that is bounded by the floor.
//
// The percentage is set again after each collection, on the goroutine that the runtime runs finalizers on.
package gctuning

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// defaultPercent is Go's default: a collection ends when the heap has doubled.
const defaultPercent = 100

// minHeapGoal is the runtime's least goal at defaultPercent, in bytes (runtime, gcController.heapMinimum).
const minHeapGoal = 4 << 20

// SetHeapFloor lets the heap grow to n bytes before it is collected, and to twice its live size where that is more, as
// Go does by default. Call the returned function to undo it. A process may have one floor at a time.
func SetHeapFloor(n uint64) (undo func()) {
	f := &heapFloor{bytes: n}
	before := debug.SetGCPercent(defaultPercent)
	f.setPercent()
	f.resetAfterCollection()
	return func() {
		f.undone.Store(true)
		debug.SetGCPercent(before)
	}
}

// heapFloor is the heap size below which nothing is collected.
type heapFloor struct {
	bytes  uint64
	undone atomic.Bool
}

// sentinel is unreachable as soon as it is made, so its finalizer runs after the next collection. It is not empty, as
// objects without a size have no finalizers.
type sentinel struct{ _ [16]byte }

// resetAfterCollection sets the percentage again after each collection, since it depends on the live heap.
func (f *heapFloor) resetAfterCollection() {
	runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
		if f.undone.Load() {
			return
		}
		f.setPercent()
		f.resetAfterCollection()
	})
}

// setPercent chooses the percentage by which the next goal is the floor.
func (f *heapFloor) setPercent() {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
	}
	metrics.Read(samples)
	live, stacks, globals := samples[0].Value.Uint64(), samples[1].Value.Uint64(), samples[2].Value.Uint64()
	debug.SetGCPercent(percentFor(f.bytes, live, stacks+globals))
}

// percentFor is the GC percentage whose goal is the floor. The runtime's goal is the live heap, and the percentage of
// the live heap, stacks and globals together (runtime/debug, SetGCPercent), but at least minHeapGoal times the
// percentage.
func percentFor(floor, live, roots uint64) int {
	if floor <= 2*live {
		return defaultPercent
	}
	percent := math.Ceil(float64(floor-live) / max(float64(live+roots), 1) * 100)
	highest := float64(floor) / minHeapGoal * 100
	return int(max(min(percent, highest), defaultPercent))
}
