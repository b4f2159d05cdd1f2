package relay

import (
	"sync"
	"time"
)

// Figures of how long a target takes to fetch its inputs, which no answer tells. A target does that before it works, so
// its inputs can be given up well before its answer shows that it has them; until then they take up room that the
// stages of other requests wait for.
const (
	// fetchPrior is the time that is allowed at first: some megabytes take milliseconds over any link of a platform.
	initialKeepTime = 150 * time.Millisecond
	// fetchLeast and fetchMost bound what is allowed: a request's way there, and longer than any target works.
	fetchLeast = 40 * time.Millisecond
	fetchMost  = 4 * time.Second
	// fetchShrink is what is left of the time after a target had its inputs, and fetchGrow what becomes of it when they
	// were gone too early, which costs the request its stages: once in some 70 requests at most.
	fetchShrink = 0.99
	fetchGrow   = 2
)

// fetches learns for each pool how long after a request was sent its target has fetched the inputs.
type fetchTimes struct {
	mu    sync.Mutex
	waits map[string]time.Duration
	// grown is when the time of a pool was last made longer.
	grown map[string]time.Time
}

// wait is how long to keep the inputs of a request that was just sent.
func (f *fetchTimes) keepTime(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(pool)
}

func (f *fetchTimes) of(pool string) time.Duration {
	if wait, ok := f.waits[pool]; ok {
		return wait
	}
	return initialKeepTime
}

// done takes in what came of a request that was sent at a time, and whose inputs were freed before its target showed that it has
// them; it returns how long those of the next one are kept. Requests that were sent before the time was last made longer say nothing of
// the longer one: when a target ends, all that read its results find them gone at once, and the time would go to its bound, with
// results kept until the ends of calls, and too little room for new ones.
func (f *fetchTimes) observe(now, sent time.Time, pool string, fetched bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits == nil {
		f.waits, f.grown = map[string]time.Duration{}, map[string]time.Time{}
	}
	factor := fetchShrink
	if !fetched {
		if sent.Before(f.grown[pool]) {
			return f.of(pool)
		}
		factor = fetchGrow
		f.grown[pool] = now
	}
	keep := max(fetchLeast, min(fetchMost, time.Duration(factor*float64(f.of(pool)))))
	f.waits[pool] = keep
	return keep
}
