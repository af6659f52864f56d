package engine

import (
	"sync"
	"time"
)

// DedupScope is a set of engines among which a request with an idempotency key takes effect only once.
type DedupScope struct {
	Window time.Duration // how long a key is remembered

	mu          sync.Mutex
	firstUsedAt map[string]time.Time
}

// firstUse reports whether key is new within the window. It remembers a new key.
func (d *DedupScope) firstUse(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.firstUsedAt == nil {
		d.firstUsedAt = map[string]time.Time{}
	}
	for k, at := range d.firstUsedAt {
		if now.Sub(at) > d.Window {
			delete(d.firstUsedAt, k)
		}
	}
	if _, ok := d.firstUsedAt[key]; ok {
		return false
	}
	d.firstUsedAt[key] = now
	return true
}
