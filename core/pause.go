package core

import (
	"sync"
	"time"
)

const (
	// pauseThreshold is the gap between ticks above which the daemon is assumed to have been paused.
	pauseThreshold = 250 * time.Millisecond
	// pauseGrace is how long after a pause newly read requests may still have waited through it.
	pauseGrace = 250 * time.Millisecond
)

// pauses records the last pause of the daemon. A request read shortly after a pause may have waited in a socket for all
// of it, so its deadline counts from the start of the pause. Otherwise a push could be sent too late.
type pauses struct {
	mu       sync.Mutex
	lastTick time.Time
	from     time.Time
	until    time.Time
}

func (p *pauses) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	p.lastTick = now
}

func (p *pauses) detect(now time.Time) {
	if !p.lastTick.IsZero() && now.Sub(p.lastTick) > pauseThreshold && now.After(p.until) {
		p.from, p.until = p.lastTick, now.Add(pauseGrace)
	}
}

// earliestArrival returns the earliest time at which a request that is read now may have arrived.
func (p *pauses) earliestArrival(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	if now.Before(p.until) {
		return p.from
	}
	return now
}

// overlaps reports whether an operation that began at the given time went through the last pause, which makes its
// measured duration meaningless.
func (p *pauses) overlaps(began, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	return began.Before(p.until)
}
