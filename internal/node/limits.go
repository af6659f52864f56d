package node

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"brackenbend/internal/gctuning"
)

// minSockets is the fewest descriptors that a node can work with.
const minSockets = 48

const (
	// reservedSockets are for the listener, discovery, the runtime, standard streams, and some to spare.
	reservedSockets = 16
	// defaultSockets is the limit of descriptors where none is configured.
	defaultSockets = 4096
	// defaultMemory is the limit of memory in bytes where none is configured.
	defaultMemory = 512 << 20
)

// ResourceLimits is how the descriptors, memory and cores of a node are divided.
type ResourceLimits struct {
	MaxClientConns       int
	MaxEngineConns       int // to all engines
	MaxConnsPerEngine    int
	MaxOpenRequests      int
	MaxBufferedBodyBytes int64  // request bodies held at once
	SoftHeapLimit        int64  // bytes; the runtime's memory limit
	HeapFloor            uint64 // bytes; the heap may grow to it without a collection
	Procs                int    // GOMAXPROCS
}

// ResourceLimits divides what the node may use. Clients and engines get half of the descriptors each: every request
// holds one connection to its client, and may need one to an engine.
func (c *Config) ResourceLimits() ResourceLimits {
	sockets, memory := c.Sockets, c.Memory
	if sockets == 0 {
		sockets = defaultSockets
	}
	if memory == 0 {
		memory = defaultMemory
	}
	available := sockets - reservedSockets
	clientConns := available / 2
	engineConns := available - clientConns
	openRequests := clientConns
	if c.Site.MaxOpenRequests > 0 {
		openRequests = min(openRequests, c.Site.MaxOpenRequests)
	}
	return ResourceLimits{
		MaxClientConns:       clientConns,
		MaxEngineConns:       engineConns,
		MaxConnsPerEngine:    engineConns,
		MaxOpenRequests:      openRequests,
		MaxBufferedBodyBytes: memory / 6,
		SoftHeapLimit:        memory * 6 / 10, // the rest is for what the runtime does not count
		HeapFloor:            uint64(memory / 5),
		Procs:                max(int(math.Ceil(c.Cores)), 1),
	}
}

// apply sets the runtime's limits; restore sets them as they were. A heap floor is set only where GOGC is not: whoever
// sets it wants it to hold.
func (l ResourceLimits) apply() (restore func()) {
	procs := runtime.GOMAXPROCS(l.Procs)
	memoryLimit := debug.SetMemoryLimit(l.SoftHeapLimit)
	restoreHeapFloor := func() {}
	if os.Getenv("GOGC") == "" {
		restoreHeapFloor = gctuning.SetHeapFloor(l.HeapFloor)
	}
	return func() {
		restoreHeapFloor()
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memoryLimit)
	}
}
