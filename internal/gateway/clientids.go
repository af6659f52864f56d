package gateway

import (
	"sync"
	"time"

	"brackenbend/internal/monotonic"
)

// Bounds on the ids of ended requests that are remembered: each of the two generations holds at most maxUsedIDs, and is
// replaced after usedIDsInterval.
const (
	maxUsedIDs      = 4096
	usedIDsInterval = time.Minute
)

// clientIDs knows the ids that clients chose for their requests: those of open requests, and those of ended ones that
// may have run and must not run a second time. It is safe for concurrent use. An empty id means that the client chose
// none, and is never refused.
type clientIDs struct {
	mu         sync.Mutex
	open       map[string]struct{}
	used       map[string]struct{} // the latest generation
	usedBefore map[string]struct{}
	usedSince  monotonic.Time // when the latest generation began
}

func newClientIDs() *clientIDs {
	return &clientIDs{open: map[string]struct{}{}, used: map[string]struct{}{}, usedSince: monotonic.Now()}
}

// claim reserves the id of a new request until release. It returns false if the id is that of an open request or,
// unless the new request is idempotent, of one that may have run.
func (c *clientIDs) claim(id string, idempotent bool) bool {
	if id == "" {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, open := c.open[id]
	_, used := c.used[id]
	_, usedBefore := c.usedBefore[id]
	if open || !idempotent && (used || usedBefore) {
		return false
	}
	c.open[id] = struct{}{}
	return true
}

// release ends the reservation of claim. With used the id stays known for a while.
func (c *clientIDs) release(id string, used bool) {
	if id == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
	if !used {
		return
	}
	if now := monotonic.Now(); len(c.used) >= maxUsedIDs || now.Sub(c.usedSince) >= usedIDsInterval {
		c.used, c.usedBefore, c.usedSince = map[string]struct{}{}, c.used, now
	}
	c.used[id] = struct{}{}
}
