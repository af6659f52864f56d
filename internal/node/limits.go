package node

import (
	"math"
	"os"
	"runtime"
	"runtime/debug"

	"brackenbend/internal/gctuning"
)

// minSockets is the lowest number of file descriptors with which a node can run.
const minSockets = 48

const (
	// reservedSockets are kept for the listener, discovery, the runtime and the standard streams, with a margin.
	reservedSockets = 16
	// defaultSockets is the limit on file descriptors if none is configured.
	defaultSockets = 4096
	// defaultMemory is the limit on memory in bytes if none is configured.
	defaultMemory = 512 << 20
)

// ResourceLimits says how a node's file descriptors, memory and cores are divided.
type ResourceLimits struct {
	MaxClientConns       int
	MaxEngineConns       int // to all engines
	MaxConnsPerEngine    int
	MaxOpenRequests      int
	MaxBufferedBodyBytes int64  // total size of the buffered request bodies
	SoftHeapLimit        int64  // bytes; memory limit of the Go runtime
	HeapFloor            uint64 // bytes; no garbage collection below this heap size
	Procs                int    // GOMAXPROCS
}

// ResourceLimits divides the configured resources. Clients and engines get half of the file descriptors each, because
// every request holds one connection to its client and may need one to an engine.
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
		SoftHeapLimit:        memory * 6 / 10, // the rest is for memory that the runtime does not count
		HeapFloor:            uint64(memory / 5),
		Procs:                max(int(math.Ceil(c.Cores)), 1),
	}
}

// apply sets the limits of the Go runtime. restore sets the previous ones. The heap floor is not set if the environment
// contains GOGC, so that a GOGC value set by the operator takes effect.
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
