package engine

import (
	"sync"
	"time"
)

// DedupScope is a set of engines among which a request with an idempotency key takes effect only once.
type DedupScope struct {
	Window time.Duration // how long a key is remembered

	mu   sync.Mutex
	seen map[string]time.Time
}

// firstUse reports whether key is new within the window. It remembers a new key.
func (d *DedupScope) firstUse(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.seen == nil {
		d.seen = map[string]time.Time{}
	}
	for k, at := range d.seen {
		if now.Sub(at) > d.Window {
			delete(d.seen, k)
		}
	}
	if _, ok := d.seen[key]; ok {
		return false
	}
	d.seen[key] = now
	return true
}
