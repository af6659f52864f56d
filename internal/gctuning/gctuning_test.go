package gctuning

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"
)

// garbage holds each allocation, so that the compiler can't place it on the stack.
var garbage []byte

// collectionsWhileAllocating returns the number of collections that end while the given number of bytes is allocated.
func collectionsWhileAllocating(bytes int) uint32 {
	const size = 4096
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range bytes / size {
		garbage = make([]byte, size)
	}
	runtime.ReadMemStats(&after)
	return after.NumGC - before.NumGC
}

// heapGoal runs a collection and returns the heap size at which the next one should end.
func heapGoal() uint64 {
	runtime.GC()
	goal := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
	metrics.Read(goal)
	return goal[0].Value.Uint64()
}

// TestSetHeapFloorMakesCollectionsRareUntilUndone compares heap goals, as the number of collections during the
// allocations also depends on the load of the machine.
func TestSetHeapFloorMakesCollectionsRareUntilUndone(t *testing.T) {
	const floor, smallGoal = 256 << 20, 16 << 20 // 64 MiB of garbage cause at least four collections at smallGoal
	percentBefore := debug.SetGCPercent(100)
	debug.SetGCPercent(percentBefore)
	goalBefore := heapGoal()
	undo := SetHeapFloor(floor)
	with := collectionsWhileAllocating(64 << 20)
	goalWith := heapGoal()
	undo()
	percentAfter := debug.SetGCPercent(percentBefore)
	goalAfter := heapGoal()
	if goalBefore > smallGoal || goalWith < floor*9/10 || goalAfter > smallGoal {
		t.Errorf("heap goal: %d MiB without a floor of 256 MiB, %d with it, %d after",
			goalBefore>>20, goalWith>>20, goalAfter>>20)
	}
	if with > 1 {
		t.Errorf("%d collections for 64 MiB of garbage with a floor of 256 MiB", with)
	}
	if percentAfter != percentBefore {
		t.Errorf("GC percentage: %d before, %d after undo", percentBefore, percentAfter)
	}
}

func TestPercentForReachesFloor(t *testing.T) {
	for name, c := range map[string]struct {
		floor, live, roots uint64
		want               int
	}{
		"live heap":                         {64 << 20, 8 << 20, 0, 700},
		"live heap and roots":               {64 << 20, 8 << 20, 6 << 20, 400},
		"live heap half the floor":          {64 << 20, 32 << 20, 0, 100},
		"live heap over the floor":          {64 << 20, 80 << 20, 0, 100},
		"no live heap":                      {64 << 20, 0, 0, 1600},
		"small live heap":                   {64 << 20, 2 << 20, 0, 1600},
		"floor below the runtime's minimum": {1 << 20, 0, 0, 100},
	} {
		t.Run(name, func(t *testing.T) {
			if got := percentFor(c.floor, c.live, c.roots); got != c.want {
				t.Errorf("%d, want %d", got, c.want)
			}
		})
	}
}
