package relay

import (
	"time"

	"emberlead/proto"
)

const (
	// cacheShare is the part of an engine's memory that is taken to keep prompt parts; running requests have the rest.
	cacheShare = 0.6
	// cacheDefault is the memory of an engine in tokens before the configuration states it.
	defaultCacheTokens = 200_000
)

// promptCache is what an engine is thought to keep of the prompts that were sent to it, the longest unused going
// first.
type promptCache struct {
	parts  map[string]*cachedPart
	tokens int
}

type cachedPart struct {
	tokens int
	used   time.Time
}

// missing is how many tokens of a prompt's shared parts an engine has to read: a part is only of use if all before
// it are kept as well.
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

// read notes that an engine reads a prompt's shared parts.
func (c *promptCache) record(now time.Time, shared []proto.PromptPart, most int) {
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
		kept.used = now
	}
	for c.tokens > most && len(c.parts) > len(shared) {
		c.dropOldest()
	}
}

func (c *promptCache) dropOldest() {
	oldest := ""
	for id, part := range c.parts {
		if oldest == "" || part.used.Before(c.parts[oldest].used) {
			oldest = id
		}
	}
	c.tokens -= c.parts[oldest].tokens
	delete(c.parts, oldest)
}
