package relay

import (
	"time"

	"emberlead/proto"
)

const (
	// cacheShare is the fraction of the memory of an engine that holds cached prompt parts; running requests use the rest.
	cacheShare = 0.6
	// defaultCacheTokens is the assumed memory of an engine, in tokens, until the configuration states it.
	defaultCacheTokens = 200_000
)

// promptCache estimates which parts of the prompts sent to an engine it still caches, with least-recently-used eviction.
type promptCache struct {
	parts  map[string]*cachedPart
	tokens int
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// missingTokens returns how many tokens of the shared parts of a prompt an engine has to process: a cached part is only
// of use if all parts before it are cached as well.
func (c *promptCache) missingTokens(shared []proto.PromptPart) int {
	for i, part := range shared {
		if c.parts[part.ID] == nil {
			sum := 0
			for _, rest := range shared[i:] {
				sum += rest.Tokens
			}
			return sum
		}
	}
	return 0
}

// record records that an engine processes the shared parts of a prompt.
func (c *promptCache) record(now time.Time, shared []proto.PromptPart, maxTokens int) {
	if c.parts == nil {
		c.parts = map[string]*cachedPart{}
	}
	for _, part := range shared {
		kept := c.parts[part.ID]
		if kept == nil {
			kept = &cachedPart{tokens: part.Tokens}
			c.parts[part.ID] = kept
			c.tokens += part.Tokens
		}
		kept.lastUsed = now
	}
	for c.tokens > maxTokens && len(c.parts) > len(shared) {
		c.evictOldest()
	}
}

func (c *promptCache) evictOldest() {
	oldest := ""
	for id, part := range c.parts {
		if oldest == "" || part.lastUsed.Before(c.parts[oldest].lastUsed) {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
