package relay

import (
	"math"
	"slices"
	"time"

	"emberlead/proto"
)

const (
	// coldWindow is the sliding window in which the requests that arrive at a cold target are counted.
	coldWindow = time.Second
	// coldPenalty is added to the expected time of an attempt on a cold target: it is slow now but warm some seconds
	// later, so a queue shorter than this at a warm target is preferable.
	coldPenalty = float64(400 * time.Millisecond)
)

// ColdConfig bounds the number of requests per second that all daemons together may send to a cold target: Factor times
// the target's throughput, plus Slack.
type ColdConfig struct{ Factor, Slack float64 }

// WithColdConfig sets the bounds for cold targets; without them a cold target gets its throughput.
func WithColdConfig(config ColdConfig) FleetOption { return func(f *Fleet) { f.coldConfig = config } }

// maxRequests returns how many requests a cold target of a pool may get within a second; 0 if there is no bound.
func (c ColdConfig) maxRequests(spec proto.ColdSpec) int {
	if spec.RequestsPerSecond <= 0 {
		return 0
	}
	return max(1, int(math.Floor(c.Factor*spec.RequestsPerSecond+c.Slack)))
}

// SetColdSpec sets how the targets of a pool warm up.
func (f *Fleet) SetColdSpec(pool string, spec proto.ColdSpec) {
	f.mu.Lock()
	p := f.ensurePool(pool)
	f.mu.Unlock()
	p.lock()
	defer p.mu.Unlock()
	p.coldSpec, p.coldLimit = spec, f.coldConfig.maxRequests(spec)
}

// setWarmUp records for how long the target stays cold, or that it is warm if left is not positive. The pool is locked.
func (t *Target) setWarmUp(now time.Time, left time.Duration) {
	t.coldUntil = time.Time{}
	if left <= 0 {
		return
	}
	t.coldUntil = now.Add(left)
	if t.coldUntil.After(t.pool.lastColdUntil) {
		t.pool.lastColdUntil = t.coldUntil
	}
}

// warmed reports whether a cold target has become warm since the last call.
func (t *Target) warmed(now time.Time) bool {
	if t.coldUntil.IsZero() || now.Before(t.coldUntil) {
		return false
	}
	t.coldUntil = time.Time{}
	return t.pool.coldLimit > 0
}

// isCold reports whether a target is cold and its requests are limited for that reason.
func (p *targetPool) isCold(now time.Time, t *Target) bool {
	return p.coldLimit > 0 && now.Before(t.coldUntil)
}

// atCapacity reports whether a target was picked so often within the last second that it would get too many requests if it were cold.
// A target may become cold at any moment, and that is known only when it has rewritten its entry, one or two seconds later.
func (p *targetPool) atCapacity(now time.Time, t *Target) bool {
	if p.coldLimit == 0 {
		return false
	}
	// If a cold target may get one request, a warm one may too, or the pool would serve nobody.
	limit := max(1, p.coldLimit-1)
	return len(t.recentPicks) >= limit && now.Sub(t.recentPicks[len(t.recentPicks)-limit]) <= coldWindow
}

// recordChosen records that a target was picked; its pool is locked.
func (t *Target) recordChosen(now time.Time) {
	if t.pool.coldLimit == 0 {
		return
	}
	t.recentPicks = slices.DeleteFunc(t.recentPicks, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	t.recentPicks = append(t.recentPicks, now)
}

// Cold returns the cold targets of a pool that may otherwise get work, and how many requests each of them may get
// within a second from all daemons.
func (f *Fleet) Cold(now time.Time, pool string) (ids []string, quota int) {
	p := f.pool(pool)
	if p == nil {
		return nil, 0
	}
	p.lock()
	defer p.mu.Unlock()
	if p.coldLimit == 0 || !now.Before(p.lastColdUntil) {
		return nil, 0
	}
	for _, t := range p.list {
		if !t.closed() && p.isCold(now, t) {
			ids = append(ids, t.Spec.ID)
		}
	}
	return ids, p.coldLimit
}

// TimeUntilWarm returns how long it takes until a cold target of a pool is warm, and false if none is cold.
func (f *Fleet) TimeUntilWarm(now time.Time, pool string) (in time.Duration, cold bool) {
	p := f.pool(pool)
	if p == nil {
		return 0, false
	}
	p.lock()
	defer p.mu.Unlock()
	for _, t := range p.list {
		if t.closed() || !p.isCold(now, t) {
			continue
		}
		if left := t.coldUntil.Sub(now); !cold || left < in {
			in, cold = left, true
		}
	}
	return in, cold
}

// OpenCount returns the number of a pool's targets in the allowed regions that are not closed, regardless of their health.
func (f *Fleet) OpenCount(pool string, regions proto.AllowedRegions) int {
	p := f.pool(pool)
	if p == nil {
		return 0
	}
	p.lock()
	defer p.mu.Unlock()
	open := 0
	for _, t := range p.list {
		if !t.closed() && regions.Allows(t.Spec.Region) {
			open++
		}
	}
	return open
}
