package node

import (
	"testing"
	"time"

	"brackenbend/internal/node/discovery"
)

// TestWatchTimeoutsKeepPlatformStaleness adds up the timeouts, each at its worst, and the node's own delay.
func TestWatchTimeoutsKeepPlatformStaleness(t *testing.T) {
	w := discovery.Watcher{
		WatchTimeout:     watchTimeout,
		ConnectTimeout:   discoveryConnectTimeout,
		FirstByteTimeout: maxFirstByteTimeout,
		ResponseTimeout:  discoveryResponseTimeout,
		MaxBackoff:       discoveryMaxBackoff,
	}
	if staleness := w.MaxStaleness() + maxSchedulingDelay; staleness > maxStaleness {
		t.Errorf("a change may go unnoticed for %v, %v are allowed", staleness, maxStaleness)
	}
	if watchTimeout < 2*time.Second {
		t.Errorf("a watch waits %v: that is polling", watchTimeout)
	}
	const maxAfterReload = 4 * time.Second // of a list of another discovery, after SIGHUP
	staleness := w.MaxStaleness() - watchTimeout - maxFirstByteTimeout + maxSchedulingDelay
	if staleness > maxAfterReload {
		t.Errorf("after a reload the list may take %v", staleness)
	}
}
