package relay

import (
	"math"
	"slices"
	"time"

	"emberlead/proto"
)

const (
	// coldSpan is the span in which the requests that arrive at a cold target are counted, whatever its beginning.
	coldWindow = time.Second
	// coldCost is what a cold target adds to the expected time of an attempt: it is slow, and some seconds later it will not
	// be, so that a queue of less than this at a warm one is better.
	coldPenalty = float64(400 * time.Millisecond)
)

// ColdConfig bound how many requests all daemons together may send to a cold target within a second: Over times what the
// target works through, plus Slack.
type ColdConfig struct{ Factor, Slack float64 }

// WithColdConfig sets the terms; without them a cold target gets what it works through.
func WithColdConfig(terms ColdConfig) FleetOption { return func(f *Fleet) { f.coldTerms = terms } }

// most is how many requests a cold target of a pool may get within a second; 0 if there is no bound.
func (t ColdConfig) maxRequests(spec proto.ColdSpec) int {
	if spec.RequestsPerSecond <= 0 {
		return 0
	}
	return max(1, int(math.Floor(t.Factor*spec.RequestsPerSecond+t.Slack)))
}

// SetColdSpec takes over how the targets of a pool warm up.
func (f *Fleet) SetColdSpec(pool string, spec proto.ColdSpec) {
	f.mu.Lock()
	p := f.ensurePool(pool)
	f.mu.Unlock()
	p.lock()
	defer p.mu.Unlock()
	p.coldSpec, p.coldLimit = spec, f.coldTerms.maxRequests(spec)
}

// warmsIn notes that the target is cold for so long, or warm; its pool is locked.
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

// warmed tells whether a target that was cold has become warm since that was last asked.
func (t *Target) warmed(now time.Time) bool {
	if t.coldUntil.IsZero() || now.Before(t.coldUntil) {
		return false
	}
	t.coldUntil = time.Time{}
	return t.pool.coldLimit > 0
}

// isCold tells whether a target is cold and the requests for it are bounded by that.
func (p *targetPool) isCold(now time.Time, t *Target) bool {
	return p.coldLimit > 0 && now.Before(t.coldUntil)
}

// crowded tells whether a target was chosen so often within the last second that it would get too many if it were cold. A
// target may become cold at any moment, and that is not known before it has written its entry anew, one or two seconds later.
func (p *targetPool) atCapacity(now time.Time, t *Target) bool {
	if p.coldLimit == 0 {
		return false
	}
	// Where a cold target may get one request, a warm one gets one too, or the pool would serve nobody.
	most := max(1, p.coldLimit-1)
	return len(t.recentPicks) >= most && now.Sub(t.recentPicks[len(t.recentPicks)-most]) <= coldWindow
}

// noteChosen notes that a target gets a request; its pool is locked.
func (t *Target) recordChosen(now time.Time) {
	if t.pool.coldLimit == 0 {
		return
	}
	t.recentPicks = slices.DeleteFunc(t.recentPicks, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	t.recentPicks = append(t.recentPicks, now)
}

// Cold returns the targets of a pool that are cold and may get work otherwise, and how many requests one of them may get
// within a second from all daemons.
func (f *Fleet) Cold(now time.Time, pool string) (ids []string, most int) {
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

// TimeUntilWarm returns how long it takes until a target of a pool that is cold now is warm, and false if none is cold.
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

// OpenCount returns the number of a pool's targets in some regions that are not closed, in whatever health.
func (f *Fleet) OpenCount(pool string, homes proto.AllowedRegions) int {
	p := f.pool(pool)
	if p == nil {
		return 0
	}
	p.lock()
	defer p.mu.Unlock()
	open := 0
	for _, t := range p.list {
		if !t.closed() && homes.Allows(t.Spec.Region) {
			open++
		}
	}
	return open
}
