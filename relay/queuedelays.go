package relay

import (
	"sync"
	"time"
)

// queueReportLifetime is how long a report on the queue of a pool is used: a full queue drains within a second or two,
// and a busy pool sends several reports per second.
const queueReportLifetime = 1500 * time.Millisecond

// queueKey identifies the queue of a shard for jobs of one rank.
type queueKey struct {
	shard shard
	rank  int
}

type queueReport struct {
	delay      time.Duration
	receivedAt time.Time
}

// queueTimes holds the last report on the queue of each pool, from whichever daemon batches for it.
type queueDelays struct {
	mu      sync.Mutex
	reports map[queueKey]queueReport
}

func (q *queueDelays) record(now time.Time, key queueKey, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.reports == nil {
		q.reports = map[queueKey]queueReport{}
	}
	q.reports[key] = queueReport{wait, now}
}

// estimate returns the last reported queueing time, decreasing linearly with the age of the report.
func (q *queueDelays) estimate(now time.Time, key queueKey) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	h := q.reports[key]
	age := now.Sub(h.receivedAt)
	if age >= queueReportLifetime {
		return 0
	}
	return time.Duration(float64(h.delay) * (1 - float64(age)/float64(queueReportLifetime)))
}
