package node

import (
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/node/discovery"
)

// Timeouts of the calls to discovery. Discovery is an agent on the node's machine, so connections and replies take
// little time. Whatever happens to earlier calls, a change must be applied within maxStaleness of the time that
// discovery had it and could be reached; what the other timeouts leave of that is for the watch (Watcher.MaxStaleness).
const (
	maxStaleness             = 6 * time.Second
	maxSchedulingDelay       = 500 * time.Millisecond // of the node itself, which has a part of a core
	discoveryConnectTimeout  = 250 * time.Millisecond
	discoveryResponseTimeout = time.Second
	discoveryMaxBackoff      = 125 * time.Millisecond
	maxFirstByteTimeout      = 250 * time.Millisecond

	failedConnectTime = discoveryConnectTimeout + discoveryMaxBackoff
	slowListTime      = discoveryConnectTimeout + discovery.MaxConcurrentListRequests*maxFirstByteTimeout + discoveryResponseTimeout
	watchTimeout      = maxStaleness - maxSchedulingDelay - maxFirstByteTimeout - failedConnectTime - slowListTime
)

// minFirstByteTimeout keeps the node from repeating requests before an agent on the same machine can answer.
const minFirstByteTimeout = 50 * time.Millisecond

// maxListBytes bounds a list of discovery.
const maxListBytes = 8 << 20

// firstByteTimeout is how long discovery may be silent when it owes a reply, before the request is repeated. What the
// agent has when it comes back counts at once, and it does not answer what it was asked before: so half of the time in
// which sends to a draining endpoint have to stop.
func (c *Config) firstByteTimeout() time.Duration {
	return min(max(c.Site.Routing.DrainGrace/2, minFirstByteTimeout), maxFirstByteTimeout)
}

// newWatcher makes the watcher of discovery.
func (c *Config) newWatcher(onUpdate func(endpointslice.Update), log *zap.Logger) *discovery.Watcher {
	watcher := &discovery.Watcher{
		OnUpdate:         onUpdate,
		Log:              func(msg string, err error) { log.Warn(msg, zap.Error(err)) },
		WatchTimeout:     watchTimeout,
		ConnectTimeout:   discoveryConnectTimeout,
		FirstByteTimeout: c.firstByteTimeout(),
		ResponseTimeout:  discoveryResponseTimeout,
		MaxBackoff:       discoveryMaxBackoff,
		MaxListBytes:     maxListBytes,
		Seed:             c.Seed,
	}
	watcher.SetAddress(c.Discovery)
	return watcher
}
