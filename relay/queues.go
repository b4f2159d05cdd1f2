package relay

import (
	"sync"
	"time"
)

// queueFade is how long a pool's queue counts after it was heard of: a full one drains within a second or two, and a
// busy pool is heard of several times a second.
const queueFade = 1500 * time.Millisecond

// queueKey is a shard of a pool as jobs of one rank see it.
type queueKey struct {
	shard shard
	rank  int
}

type heardQueue struct {
	wait time.Duration
	at   time.Time
}

// queues is what a daemon has heard of the queues of pools, whichever daemons batch for them.
type queues struct {
	mu    sync.Mutex
	heard map[queueKey]heardQueue
}

func (q *queues) note(now time.Time, key queueKey, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heard == nil {
		q.heard = map[queueKey]heardQueue{}
	}
	q.heard[key] = heardQueue{wait, now}
}

// read returns the queue that was heard of last, less the older that is.
func (q *queues) read(now time.Time, key queueKey) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.heard[key]
	age := now.Sub(h.at)
	if age >= queueFade {
		return 0
	}
	return time.Duration(float64(h.wait) * (1 - float64(age)/float64(queueFade)))
}
