package routing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goneRetention is how long an endpoint that is gone and has no attempt in flight is remembered: one that
	// is listed again sooner keeps its statistics.
	goneRetention = 4 * failureDecay
	// maxCachedPrefixes bounds the prefixes and sessions remembered for an endpoint; past it all are dropped.
	maxCachedPrefixes = 20000
	// promptOverhead is added to the uncached tokens of each prompt: a prompt found whole in the cache takes
	// time too.
	promptOverhead = 200
)

// backendSet is the endpoint list as this replica knows it, with sums over roles and localities.
type backendSet struct {
	byID         map[EndpointID]*backend
	sorted       []*backend // by id
	roles        [RoleMixed + 1]roleStats
	cells, zones localities
	evaluateAt   time.Duration // outliers are looked for next
	fetchAt      time.Duration // the list is fetched next, where it is polled
}

// backend is what this replica knows of one endpoint.
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
	listed bool          // it is ready
	goneAt time.Duration // when it was first seen to be gone; 0 = it is on the list
}

// load is what this replica has in flight at an endpoint.
type load struct {
	attempts    int
	memory      float64         // tokens reserved by them
	uncached    float64         // prompt tokens waiting to be prefilled
	fullUntil   time.Duration   // it has no capacity until then
	warmUpSends []time.Duration // during slow start: sends of the last window
}

// prefixCache is what an endpoint is taken to keep of prompts, and how much it is wanted for that.
type prefixCache struct {
	tokens    map[uint64]float64 // cached prompt tokens, by prefix and by session
	preferred float64            // requests that preferred this endpoint; decays
}

// store remembers a prompt that the endpoint has prefilled.
func (c *prefixCache) store(req *request) {
	if len(c.tokens) > maxCachedPrefixes {
		c.tokens = map[uint64]float64{}
	}
	c.tokens[req.Prefix], c.tokens[req.Session] = req.PrefixTokens, req.PromptTokens
	delete(c.tokens, 0)
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
	r.backends.forgetGone(r.now)
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
		b.restarted(r.now)
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

// restarted notes a new process behind an endpoint: its cache is empty and its health unknown.
func (b *backend) restarted(now time.Duration) {
	b.cache.tokens = map[uint64]float64{}
	b.pace.completed, b.pace.slowness, b.pace.decayedAt = 0, 0, now
	b.health.reset(now)
}

// forgetGone drops endpoints that have been gone for goneRetention and have no attempt in flight: names that
// never come back, as those of replaced pods, would cost memory and time for ever.
func (s *backendSet) forgetGone(now time.Duration) {
	s.sorted = slices.DeleteFunc(s.sorted, func(b *backend) bool {
		if b.State == EndpointGone && b.goneAt == 0 {
			b.goneAt = now
		}
		forget := b.State == EndpointGone && b.load.attempts == 0 && now-b.goneAt > goneRetention
		if forget {
			delete(s.byID, b.ID)
		}
		return forget
	})
	slices.SortFunc(s.sorted, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
}
