package enginemodel

import "container/list"

// cacheKey identifies an entry of the prefix cache: a prefix that sessions share, or the conversation of one session so
// far.
type cacheKey struct {
	isSession bool
	name      string // "" = none
}

func prefixKey(job *Job) cacheKey  { return cacheKey{name: job.Prefix} }
func sessionKey(job *Job) cacheKey { return cacheKey{isSession: true, name: job.Session} }

// cacheEntry is a prefix whose KV cache is kept.
type cacheEntry struct {
	key    cacheKey
	tokens float64
}

// prefixCache keeps the KV cache of prefixes. The least recently stored entry is evicted first; a lookup does not
// change the order.
type prefixCache struct {
	entries     map[cacheKey]*list.Element // of *cacheEntry
	order       *list.List                 // most recently stored first
	totalTokens float64                    // of all entries
}

func newPrefixCache() prefixCache {
	return prefixCache{entries: map[cacheKey]*list.Element{}, order: list.New()}
}

// clear removes all entries.
func (c *prefixCache) clear() {
	clear(c.entries)
	c.order.Init()
	c.totalTokens = 0
}

// lookup returns how many tokens of the job's prompt are cached.
func (c *prefixCache) lookup(job *Job) float64 {
	longest := max(c.tokensOf(prefixKey(job)), c.tokensOf(sessionKey(job)))
	return min(longest, job.PromptTokens)
}

func (c *prefixCache) tokensOf(key cacheKey) float64 {
	if key.name == "" {
		return 0
	}
	element := c.entries[key]
	if element == nil {
		return 0
	}
	return element.Value.(*cacheEntry).tokens
}

// put stores an entry and evicts others while the cache exceeds limit tokens. The entry itself stays even if it is
// longer than that.
func (c *prefixCache) put(key cacheKey, tokens, limit float64) {
	if key.name == "" || tokens <= 0 {
		return
	}
	if element := c.entries[key]; element != nil {
		entry := element.Value.(*cacheEntry)
		c.totalTokens += tokens - entry.tokens
		entry.tokens = tokens
		c.order.MoveToFront(element)
	} else {
		c.entries[key] = c.order.PushFront(&cacheEntry{key, tokens})
		c.totalTokens += tokens
	}
	for c.totalTokens > limit && c.order.Len() > 1 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	oldest := c.order.Back()
	entry := oldest.Value.(*cacheEntry)
	c.totalTokens -= entry.tokens
	delete(c.entries, entry.key)
	c.order.Remove(oldest)
}
