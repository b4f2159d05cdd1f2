package relay

import (
	"slices"
	"sync"
	"time"
)

// queueFade is how long a pool's queue counts after it was heard of: a full one drains within a second or two, and a
// busy pool is heard of several times a second.
const queueFade = 1500 * time.Millisecond

// queueKey is a pool as jobs of one rank see it.
type queueKey struct {
	pool string
	rank int
}

type heardQueue struct {
	wait time.Duration
	at   time.Time
}

// queues is what a daemon knows of the queues of pools, whichever daemon batches for them: what their answers said, and
// for how long its own jobs have waited for one.
type queues struct {
	mu    sync.Mutex
	heard map[queueKey]heardQueue
	// open are the jobs without an answer, the one that was asked for first at the front.
	open map[queueKey][]openJob
}

// openJob is a job that waits for its answer.
type openJob struct{ asked, due time.Time }

// asked notes a job that waits for its answer from now on.
func (q *queues) asked(now, due time.Time, key queueKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.open == nil {
		q.open = map[queueKey][]openJob{}
	}
	q.open[key] = append(q.open[key], openJob{now, due})
}

// answered ends the waiting of a job that was asked for at a time.
func (q *queues) answered(at time.Time, key queueKey) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.IndexFunc(q.open[key], func(j openJob) bool { return j.asked.Equal(at) }); i >= 0 {
		q.open[key] = slices.Delete(q.open[key], i, i+1)
	}
	if len(q.open[key]) == 0 {
		delete(q.open, key)
	}
}

func (q *queues) note(now time.Time, key queueKey, wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heard == nil {
		q.heard = map[queueKey]heardQueue{}
	}
	q.heard[key] = heardQueue{wait, now}
}

// read returns the queue that was heard of last, less the older that is, or the longest time that a job has waited
// beyond the length of a call if that is more: a pool that is stuck says nothing. Jobs that are late already wait behind
// all others, so theirs is not the queue of one that comes now.
func (q *queues) read(now time.Time, key queueKey, length time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	waited := time.Duration(0)
	if i := slices.IndexFunc(q.open[key], func(j openJob) bool { return now.Add(length).Before(j.due) }); i >= 0 {
		waited = now.Sub(q.open[key][i].asked) - length
	}
	h := q.heard[key]
	age := now.Sub(h.at)
	if age >= queueFade {
		return max(0, waited)
	}
	return max(waited, time.Duration(float64(h.wait)*(1-float64(age)/float64(queueFade))))
}
