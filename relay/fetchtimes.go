package relay

import (
	"sync"
	"time"
)

// Parameters for how long a target takes to fetch its inputs, which no response tells. A target fetches them before it
// works, so they can be released well before its response shows that it has them. Until then they occupy storage that
// stages of other requests wait for.
const (
	// initialKeepTime is the initial time allowed: a few megabytes take milliseconds over any link of a platform.
	initialKeepTime = 150 * time.Millisecond
	// minKeepTime and maxKeepTime bound the time: the transfer of a request takes at least the one, and no target works
	// for longer than the other.
	minKeepTime = 40 * time.Millisecond
	maxKeepTime = 4 * time.Second
	// keepTimeDecay is the factor applied to the time after a target had its inputs, and keepTimeGrowth the one applied when they were
	// released too early, which makes the request repeat its stages. At most one request in about 70 does.
	keepTimeDecay  = 0.99
	keepTimeGrowth = 2
)

// fetchTimes estimates for each pool how long after a request was sent its target has fetched the inputs.
type fetchTimes struct {
	mu        sync.Mutex
	keepTimes map[string]time.Duration
	// raisedAt is when the time of a pool was last increased.
	raisedAt map[string]time.Time
}

// keepTime returns how long to keep the inputs of a request that was just sent.
func (f *fetchTimes) keepTime(pool string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current(pool)
}

func (f *fetchTimes) current(pool string) time.Duration {
	if wait, ok := f.keepTimes[pool]; ok {
		return wait
	}
	return initialKeepTime
}

// observe records whether the target of a request had fetched its inputs when they were freed, and returns how long to
// keep the inputs of the next one. Failures of requests that were sent before the last increase are ignored: when a
// target ends, all requests that read its results fail at once. Counting each would raise the time to its maximum, so
// that results would be kept until their calls end and leave too little room for new ones.
func (f *fetchTimes) observe(now, sent time.Time, pool string, fetched bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keepTimes == nil {
		f.keepTimes, f.raisedAt = map[string]time.Duration{}, map[string]time.Time{}
	}
	factor := keepTimeDecay
	if !fetched {
		if sent.Before(f.raisedAt[pool]) {
			return f.current(pool)
		}
		factor = keepTimeGrowth
		f.raisedAt[pool] = now
	}
	keep := max(minKeepTime, min(maxKeepTime, time.Duration(factor*float64(f.current(pool)))))
	f.keepTimes[pool] = keep
	return keep
}
