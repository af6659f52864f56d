// Package gctuning makes garbage collections rarer in processes with a small heap. It sets the GC percentage, which no
// other package may set.
//
// By default, Go collects when the heap has doubled. A replica with a live heap of a few megabytes then collects dozens
// of times a second under load, and each collection marks the same few objects. A minimum for the heap goal makes
// collections rare; the additional memory that this takes is bounded by the minimum.
//
// The package sets the percentage again after each collection, in the goroutine in which the runtime runs finalizers.
package gctuning

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// defaultPercent is Go's default GC percentage, at which the heap may double between collections.
const defaultPercent = 100

// minHeapGoal is the runtime's smallest heap goal at defaultPercent, in bytes (runtime, gcController.heapMinimum).
const minHeapGoal = 4 << 20

// SetHeapFloor sets a minimum of n bytes for the heap goal, the size at which the heap is collected. Where twice the
// live heap is more, that is the goal, as by default. The returned function restores the previous GC percentage. Only
// one floor may be set at a time.
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

// heapFloor is a minimum for the heap goal.
type heapFloor struct {
	bytes  uint64
	undone atomic.Bool
}

// sentinel is an object that is unreachable once it is created, so its finalizer runs after the next collection. Its
// size is not 0, because the runtime may not run finalizers of objects of size 0.
type sentinel struct{ _ [16]byte }

// resetAfterCollection sets the percentage again after each collection, as it depends on the size of the live heap.
func (f *heapFloor) resetAfterCollection() {
	runtime.SetFinalizer(&sentinel{}, func(*sentinel) {
		if f.undone.Load() {
			return
		}
		f.setPercent()
		f.resetAfterCollection()
	})
}

// setPercent sets the percentage that percentFor returns for the current heap.
func (f *heapFloor) setPercent() {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
	}
	metrics.Read(samples)
	live, stacks, globals := samples[0].Value.Uint64(), samples[1].Value.Uint64(), samples[2].Value.Uint64()
	debug.SetGCPercent(percentFor(f.bytes, live, stacks+globals))
}

// percentFor returns the GC percentage at which the heap goal is the floor, but at least defaultPercent. The runtime's
// goal is live + (live + roots) * percentage / 100, where roots are the stacks and globals (runtime/debug,
// SetGCPercent), but at least minHeapGoal * percentage / 100.
func percentFor(floor, live, roots uint64) int {
	if floor <= 2*live {
		return defaultPercent
	}
	percent := math.Ceil(float64(floor-live) / max(float64(live+roots), 1) * 100)
	highest := float64(floor) / minHeapGoal * 100
	return int(max(min(percent, highest), defaultPercent))
}
