package wire

import (
	"maps"
	"sync"

	"emberlead/proto"
)

// KindCount counts the messages of one kind that were queued for other daemons since the start, and their bytes.
type KindCount struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

// kindCounts counts messages by the name of their type.
type kindCounts struct {
	mu     sync.Mutex
	counts map[string]KindCount
}

func (k *kindCounts) add(m proto.Message, bytes int) {
	name := proto.NameOf(m)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.counts == nil {
		k.counts = map[string]KindCount{}
	}
	c := k.counts[name]
	c.Messages++
	c.Bytes += int64(bytes)
	k.counts[name] = c
}

func (k *kindCounts) snapshot() map[string]KindCount {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.counts)
}
