package node

import (
	"brackenbend/internal/config"
	"brackenbend/internal/node/discovery"
	"math"
	"runtime"
	"runtime/debug"
	"time"
)

// socketsLeast is the fewest descriptors that a front node can work with.
const socketsLeast = 48

// ResourceLimits is how a front node's limits are split.
type ResourceLimits struct {
	MaxClientConns       int   // connections of clients
	MaxEngineConns       int   // connections to engines, in all
	MaxConnsPerEngine    int   // and to one
	MaxOpenRequests      int   // requests
	MaxBufferedBodyBytes int64 // bytes of bodies held at once
	SoftHeapLimit        int64 // the runtime's soft limit
	HeapFloor            uint64
	Procs                int
}

const (
	otherSockets = 16        // the listener, discovery, the runtime's own, standard streams, and some to spare
	unlimited    = 4096      // sockets where none are told
	roomy        = 512 << 20 // bytes of memory where none are told
)

// ResourceLimits derives the budget from the limits. Clients' requests hold a third of the descriptors at most, each may need
// one towards an engine, and connections that ask for nothing get what is left.
func (c *Config) ResourceLimits() ResourceLimits {
	sockets, memory := c.Sockets, c.Memory
	if sockets == 0 {
		sockets = unlimited
	}
	if memory == 0 {
		memory = roomy
	}
	left := sockets - otherSockets
	b := ResourceLimits{MaxClientConns: left / 2, Procs: max(int(math.Ceil(c.Cores)), 1)}
	b.MaxEngineConns = left - b.MaxClientConns
	b.MaxConnsPerEngine = b.MaxEngineConns
	b.MaxOpenRequests = b.MaxClientConns
	if c.Site.MaxOpenRequests > 0 {
		b.MaxOpenRequests = min(b.MaxOpenRequests, c.Site.MaxOpenRequests)
	}
	b.SoftHeapLimit = memory * 6 / 10
	b.HeapFloor = uint64(memory / 5)
	b.MaxBufferedBodyBytes = memory / 6
	return b
}

// apply gives the runtime its part; undo takes it back.
func (b ResourceLimits) apply() (undo func()) {
	procs := runtime.GOMAXPROCS(b.Procs)
	limit := debug.SetMemoryLimit(b.SoftHeapLimit)
	return func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(limit)
	}
}

// The platform's own figures (its protocol page), with time to spare on each.
const (
	bodyMost    = 256 << 10               // of any message
	streamQuiet = 4 * time.Second         // a client is not left waiting 5 s after an engine's last event
	firstTime   = 2500 * time.Millisecond // a client that asks for nothing is owed a close within 3 s
	idleLeast   = 2 * time.Second         // an idle client's connection may be closed after so long
	killAfter   = 700 * time.Millisecond  // SIGKILL comes after SIGTERM by the longest deadline and so much ...
	killMost    = 3 * time.Second         // ... where longer ones count as this
	cutBefore   = 150 * time.Millisecond  // so long before an end what is open is cut short
	lingerMost  = 600 * time.Millisecond  // after SIGTERM connections keep coming for 0.4 s; what came by then is in time
	settle      = 3 * time.Millisecond    // a few round trips within a zone: until then a connection that breaks did not run what it holds
	rest        = 25 * time.Millisecond   // a second answer that nobody asked for may come some milliseconds late
	headTime    = 500 * time.Millisecond  // an answer's head comes at once with its first event
	margin      = 20 * time.Millisecond   // final answers before the client's time is up
	dialTime    = 250 * time.Millisecond  // where the settings tell none
	idleTime    = 30 * time.Second        // likewise
)

// Discovery's calls. Whatever happened to calls before, a change counts as told 6 s after discovery had it and could be reached. The
// discovery is an agent on the node's own machine, so that a connection and an answer need little; what is left of the 6 s,
// and of what the node itself may be late by with its part of a core, is what a watch may wait (discovery.Watcher.Late).
const (
	told         = 6 * time.Second
	ownLate      = 500 * time.Millisecond
	watchConnect = 250 * time.Millisecond
	watchAnswer  = time.Second
	watchPause   = 125 * time.Millisecond
	beginMost    = 250 * time.Millisecond
	watchHold    = told - ownLate - beginMost - (watchConnect + watchPause) - (watchConnect + discovery.MaxOpenCalls*beginMost + watchAnswer)
)

// watchBegin is how long discovery may say nothing to a call that it owes an answer before it is asked anew. What the agent gets when
// discovery is back counts at once, and it does not answer what it was asked before: so half of the time in which sends to
// a server that drains have to stop.
func (c *Config) watchBegin() time.Duration {
	return min(max(c.Site.Routing.DrainGrace/2, 50*time.Millisecond), beginMost)
}

// limits are the front's, from the budget.
func (b ResourceLimits) limits() config.Limits {
	return config.Limits{
		MaxOpenRequests: b.MaxOpenRequests, MaxConnections: b.MaxClientConns, MaxHeaderBytes: 16 << 10, MaxHeaderFields: 100, MaxBodyBytes: bodyMost, MaxCollectedBytes: bodyMost, MaxEventBytes: 64 << 10,
		HeaderTimeout: firstTime, BodyTimeout: firstTime, IdleTimeout: time.Minute, WriteTimeout: 5 * time.Second, StreamIdleTimeout: streamQuiet,
		MaxBufferedBodyBytes: config.Size(b.MaxBufferedBodyBytes),
	}
}
