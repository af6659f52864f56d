package enginemodel

import "container/list"

// cacheKey names a text of the prefix cache: a prefix that sessions share, or the conversation of a session so far.
type cacheKey struct {
	ofSession bool
	name      string // "" = none
}

func prefixKey(job *Job) cacheKey  { return cacheKey{name: job.Prefix} }
func sessionKey(job *Job) cacheKey { return cacheKey{ofSession: true, name: job.Session} }

// cachedText is a text whose computed state is kept.
type cachedText struct {
	key    cacheKey
	tokens float64
}

// prefixCache keeps the computed state of prompts; the least recently stored is evicted first.
type prefixCache struct {
	texts  map[cacheKey]*list.Element // of *cachedText
	recent *list.List                 // the most recently stored first
	tokens float64                    // of all texts
}

func newPrefixCache() prefixCache {
	return prefixCache{texts: map[cacheKey]*list.Element{}, recent: list.New()}
}

// clear drops all texts.
func (c *prefixCache) clear() {
	clear(c.texts)
	c.recent.Init()
	c.tokens = 0
}

// find is how much of the job's prompt is cached, in tokens.
func (c *prefixCache) find(job *Job) float64 {
	longest := max(c.tokensOf(prefixKey(job)), c.tokensOf(sessionKey(job)))
	return min(longest, job.Prompt)
}

func (c *prefixCache) tokensOf(key cacheKey) float64 {
	if key.name == "" {
		return 0
	}
	element := c.texts[key]
	if element == nil {
		return 0
	}
	return element.Value.(*cachedText).tokens
}

// put keeps a text, and evicts others while there are more than limit tokens. One text stays, however long.
func (c *prefixCache) put(key cacheKey, tokens, limit float64) {
	if key.name == "" || tokens <= 0 {
		return
	}
	if element := c.texts[key]; element != nil {
		text := element.Value.(*cachedText)
		c.tokens += tokens - text.tokens
		text.tokens = tokens
		c.recent.MoveToFront(element)
	} else {
		c.texts[key] = c.recent.PushFront(&cachedText{key, tokens})
		c.tokens += tokens
	}
	for c.tokens > limit && c.recent.Len() > 1 {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	oldest := c.recent.Back()
	text := oldest.Value.(*cachedText)
	c.tokens -= text.tokens
	delete(c.texts, text.key)
	c.recent.Remove(oldest)
}
