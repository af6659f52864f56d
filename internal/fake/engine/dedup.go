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
func (g *DedupScope) firstUse(key string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.seen == nil {
		g.seen = map[string]time.Time{}
	}
	for k, at := range g.seen {
		if now.Sub(at) > g.Window {
			delete(g.seen, k)
		}
	}
	if _, ok := g.seen[key]; ok {
		return false
	}
	g.seen[key] = now
	return true
}
