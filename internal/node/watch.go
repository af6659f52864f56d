package node

import (
	"time"

	"go.uber.org/zap"

	"brackenbend/internal/endpointslice"
	"brackenbend/internal/node/discovery"
)

// Timeouts of requests to the discovery agent. The agent runs on the node's machine, so connections and replies take
// little time. Once the agent has a change and is reachable, the node must apply the change within maxStaleness, in
// whatever way earlier requests failed. watchTimeout is what the other timeouts leave of that time; see
// discovery.Watcher.MaxStaleness.
const (
	maxStaleness             = 6 * time.Second
	maxSchedulingDelay       = 500 * time.Millisecond // of the node itself, which may use only a fraction of a core
	discoveryConnectTimeout  = 250 * time.Millisecond
	discoveryResponseTimeout = time.Second
	discoveryMaxBackoff      = 125 * time.Millisecond
	maxFirstByteTimeout      = 250 * time.Millisecond

	failedConnectTime = discoveryConnectTimeout + discoveryMaxBackoff
	slowListTime      = discoveryConnectTimeout + discovery.MaxListRequests*maxFirstByteTimeout + discoveryResponseTimeout
	watchTimeout      = maxStaleness - maxSchedulingDelay - maxFirstByteTimeout - failedConnectTime - slowListTime
)

// minFirstByteTimeout leaves an agent on the same machine enough time to answer before a request is repeated.
const minFirstByteTimeout = 50 * time.Millisecond

// maxListBytes is the largest size of a list from the discovery agent.
const maxListBytes = 8 << 20

// firstByteTimeout returns how long to wait for an overdue reply before the request is repeated. The node must stop
// sending to a draining endpoint within DrainGrace of the time that the agent reports it, even if the agent has just
// come back and does not answer the requests that it received before. Half of DrainGrace is therefore left for the
// wait.
func (c *Config) firstByteTimeout() time.Duration {
	return min(max(c.Site.Routing.DrainGrace/2, minFirstByteTimeout), maxFirstByteTimeout)
}

// newWatcher returns a watcher of the discovery agent.
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
