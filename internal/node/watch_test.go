package node

import (
	"testing"
	"time"

	"brackenbend/internal/node/discovery"
)

// TestWatchTimeoutsKeepMaxStaleness checks the sum of the timeouts in the worst case, and the node's own delay, against
// the platform's limit.
func TestWatchTimeoutsKeepMaxStaleness(t *testing.T) {
	w := discovery.Watcher{
		WatchTimeout:     watchTimeout,
		ConnectTimeout:   discoveryConnectTimeout,
		FirstByteTimeout: maxFirstByteTimeout,
		ResponseTimeout:  discoveryResponseTimeout,
		MaxBackoff:       discoveryMaxBackoff,
	}
	if staleness := w.MaxStaleness() + maxSchedulingDelay; staleness > maxStaleness {
		t.Errorf("a change may go unnoticed for %v; at most %v are allowed", staleness, maxStaleness)
	}
	if watchTimeout < 2*time.Second {
		t.Errorf("watchTimeout is %v, want at least 2s: shorter watches amount to polling", watchTimeout)
	}
	const maxAfterReload = 4 * time.Second // until the list of another discovery agent is applied after SIGHUP
	staleness := w.MaxStaleness() - watchTimeout - maxFirstByteTimeout + maxSchedulingDelay
	if staleness > maxAfterReload {
		t.Errorf("after a reload, the list may take %v", staleness)
	}
}
