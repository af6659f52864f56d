package engine

import (
	"sync"
	"time"
)

// DedupGroup is a set of engines that together drop repeats of requests with an idempotency key.
type DedupGroup struct {
	Window time.Duration // for which a key is remembered

	mu   sync.Mutex
	seen map[string]time.Time
}

// first reports whether key was not seen within the window, and remembers it.
func (g *DedupGroup) first(key string) bool {
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
