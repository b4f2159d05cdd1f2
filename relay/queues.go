package relay

import (
	"sync"
	"time"
)

// queueFade is how long a pool's queue counts after it was heard of: a full one drains within a second or two, and a
// busy pool is heard of several times a second.
const queueReportLifetime = 1500 * time.Millisecond

// queueKey is a shard of a pool as jobs of one rank see it.
type queueKey struct {
	shard shard
	rank  int
}

type queueReport struct {
	wait time.Duration
	at   time.Time
}

// queues holds the last report on the queue of each pool, whichever daemon batches for it.
type queueTimes struct {
	mu      sync.Mutex
	reports map[queueKey]queueReport
}

func (q *queueTimes) record(now time.Time, key queueKey, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reports == nil {
		q.reports = map[queueKey]queueReport{}
	}
	q.reports[key] = queueReport{wait, now}
}

// read returns the queue that was heard of last, less the older that is.
func (q *queueTimes) estimate(now time.Time, key queueKey) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.reports[key]
	age := now.Sub(h.at)
	if age >= queueReportLifetime {
		return 0
	}
	return time.Duration(float64(h.wait) * (1 - float64(age)/float64(queueReportLifetime)))
}
