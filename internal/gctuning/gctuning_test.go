package gctuning

import (
	"runtime"
	"testing"
)

var sink []byte

func collections(bytes int) uint32 {
	var a, b runtime.MemStats
	runtime.ReadMemStats(&a)
	for range bytes / 4096 {
		sink = make([]byte, 4096)
	}
	runtime.ReadMemStats(&b)
	return b.NumGC - a.NumGC
}

func TestFloorMakesCollectionsRare(t *testing.T) {
	before := collections(64 << 20)
	undo := SetHeapFloor(256 << 20)
	with := collections(64 << 20)
	undo()
	after := collections(64 << 20)
	if with > 1 || before < 4 || after < 4 {
		t.Errorf("collections for 64 MiB of garbage: %d without a floor of 256 MiB, %d with it, %d after", before, with, after)
	}
}

func TestPercent(t *testing.T) {
	for _, c := range []struct {
		floor, live, roots uint64
		want               int
	}{{64 << 20, 8 << 20, 0, 700}, {64 << 20, 8 << 20, 6 << 20, 400}, {64 << 20, 32 << 20, 0, 100}, {64 << 20, 80 << 20, 0, 100},
		{64 << 20, 0, 0, 1600}, {64 << 20, 2 << 20, 0, 1600}, {1 << 20, 0, 0, 100}} {
		if got := percent(c.floor, c.live, c.roots); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
