package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goneRetention is how long an endpoint that has left the list and has no attempt in flight is kept, so
	// that it keeps its statistics if it is listed again.
	goneRetention = 4 * failureDecay
	// maxCachedPrefixes is the number of prefixes and sessions kept for an endpoint above which all of them
	// are dropped.
	maxCachedPrefixes = 20000
	// promptOverhead is added to the uncached tokens of each prompt: a fully cached prompt takes time too.
	promptOverhead = 200
)

// backendSet holds the endpoints known to this replica, with sums by role and locality.
type backendSet struct {
	byID         map[EndpointID]*backend
	sorted       []*backend // by id
	roles        [RoleMixed + 1]roleStats
	cells, zones localities
	evaluateAt   time.Duration // time of the next outlier detection
	fetchAt      time.Duration // time of the next fetch of the endpoint list, if it is polled
}

// backend is the state that this replica keeps for one endpoint.
type backend struct {
	listing
	load    load
	pace    pace
	cache   prefixCache
	health  health
	silence silence
}

// listing is an endpoint as last listed.
type listing struct {
	Endpoint
	role   Role
	listed bool          // the list says that it is ready
	goneAt time.Duration // when it was found to have left the list; 0 = it is not gone
}

// load is the load of this replica's attempts in flight at an endpoint.
type load struct {
	attempts       int
	memory         float64         // tokens reserved by them
	uncached       float64         // prompt tokens waiting to be prefilled
	pausedUntil    time.Duration   // it is treated as full until then
	slowStartSends []time.Duration // times of the sends in the last OverloadAfter, while in slow start
}

// prefixCache models which prompts an endpoint has in its cache, and counts the requests that prefer it.
type prefixCache struct {
	tokens            map[uint64]float64 // cached prompt tokens, by prefix and by session
	preferredRequests float64            // number of requests that preferred this endpoint; decays
}

// store records that the endpoint has prefilled the prompt of a request.
func (c *prefixCache) store(req *request) {
	if len(c.tokens) > maxCachedPrefixes {
		c.tokens = map[uint64]float64{}
	}
	c.tokens[req.Prefix], c.tokens[req.Session] = req.PrefixTokens, req.PromptTokens
	delete(c.tokens, 0) // the id of no prefix and of no session
}

// uncachedTokens estimates the prompt tokens that the endpoint would have to prefill.
func (b *backend) uncachedTokens(req *request) float64 {
	cached := max(b.cache.tokens[req.Prefix], b.cache.tokens[req.Session])
	return max(req.PromptTokens-cached, 0) + promptOverhead
}

func (r *Router) updateEndpoints(update EndpointList) {
	if update.Scope == ListFailed {
		r.backends.fetchAt = r.now + minFetchInterval
		return
	}
	if update.Scope != ListChanges {
		for _, b := range r.backends.sorted {
			b.listed, b.State = false, EndpointGone
		}
	}
	for _, endpoint := range update.Endpoints {
		r.updateEndpoint(endpoint)
	}
	r.backends.removeGone(r.now)
	r.sumRoles()
	r.backends.evaluateAt = 0
	r.orderChanged()
}

func (r *Router) updateEndpoint(endpoint Endpoint) {
	b := r.backends.byID[endpoint.ID]
	switch {
	case endpoint.Kind < 0 || endpoint.Kind >= len(r.config.Kinds):
		return
	case b == nil && endpoint.State == EndpointGone:
		return
	case b == nil:
		b = r.newBackend(endpoint)
		r.backends.byID[endpoint.ID] = b
		r.backends.sorted = append(r.backends.sorted, b)
	}
	if endpoint.StartedAt > b.StartedAt {
		b.resetAfterRestart(r.now)
	}
	b.listing = listing{
		Endpoint: endpoint,
		role:     r.config.Kinds[endpoint.Kind].Role,
		listed:   endpoint.State == EndpointReady,
	}
}

func (r *Router) newBackend(endpoint Endpoint) *backend {
	return &backend{
		listing: listing{Endpoint: endpoint},
		pace:    pace{perToken: r.latency.prefillPace, decayedAt: r.now},
		cache:   prefixCache{tokens: map[uint64]float64{}},
		health:  newHealth(len(r.config.Classes), r.now),
	}
}

// resetAfterRestart discards what was learned of the endpoint's previous process: the new one has an empty
// cache and unknown health.
func (b *backend) resetAfterRestart(now time.Duration) {
	b.cache.tokens = map[uint64]float64{}
	b.pace.completed, b.pace.slowness, b.pace.decayedAt = 0, 0, now
	b.health.reset(now)
}

// removeGone removes endpoints that left the list more than goneRetention ago and have no attempt in flight.
// Endpoints that never come back, such as replaced pods, would otherwise take memory and time forever.
func (s *backendSet) removeGone(now time.Duration) {
	s.sorted = slices.DeleteFunc(s.sorted, func(b *backend) bool {
		if b.State == EndpointGone && b.goneAt == 0 {
			b.goneAt = now
		}
		remove := b.State == EndpointGone && b.load.attempts == 0 && now-b.goneAt > goneRetention
		if remove {
			delete(s.byID, b.ID)
		}
		return remove
	})
	slices.SortFunc(s.sorted, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}
