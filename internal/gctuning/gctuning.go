// Package gctuning sets how often garbage is collected. It owns the process's GC percentage and nothing else.
//
// Go collects when the heap has doubled. A front whose live heap is a few megabytes then collects dozens of times a
// second under load, each time marking the same little; a floor under the heap's goal makes that rare, for memory
// that is bounded by the floor.
package gctuning

import (
	"math"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// SetHeapFloor lets the heap grow to n bytes before it is collected, and to twice its live size where that is more, as Go
// does by itself. Call the returned function to go back. One floor at a time may stand in a process.
func SetHeapFloor(n uint64) (undo func()) {
	f := &floor{bytes: n}
	before := debug.SetGCPercent(100)
	f.set()
	f.watch()
	return func() {
		f.off.Store(true)
		debug.SetGCPercent(before)
	}
}

type floor struct {
	bytes uint64
	off   atomic.Bool
}

// mark is unreachable as soon as it is made, so its finalizer runs after the next collection.
type mark struct{ _ [16]byte }

func (f *floor) watch() {
	runtime.SetFinalizer(&mark{}, func(*mark) {
		if f.off.Load() {
			return
		}
		f.set()
		f.watch()
	})
}

// set chooses the percentage by which the next goal is the floor. The runtime's goal is the live heap, and the
// percentage of the live heap, stacks and globals together (runtime/debug, SetGCPercent), but at least 4 MiB times
// the percentage (runtime, gcController.heapMinimum).
func (f *floor) set() {
	s := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"}}
	metrics.Read(s)
	debug.SetGCPercent(percent(f.bytes, s[0].Value.Uint64(), s[1].Value.Uint64()+s[2].Value.Uint64()))
}

const minimum = 4 << 20 // the runtime's least goal at 100 percent

func percent(floor, live, roots uint64) int {
	if floor <= 2*live {
		return 100
	}
	most := float64(floor) / minimum * 100
	return int(max(min(math.Ceil(float64(floor-live)/max(float64(live+roots), 1)*100), most), 100))
}
