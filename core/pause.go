package core

import (
	"sync"
	"time"
)

const (
	// pauseThreshold is how late a tick may be before the daemon takes itself to have been paused.
	pauseThreshold = 250 * time.Millisecond
	// pauseGrace is how long after a pause requests may still be ones that waited through it.
	pauseGrace = 250 * time.Millisecond
)

// pauses remembers the daemon's last pause. A request that was read after one may have waited for all of it in
// a socket, so its deadline counts from the beginning of the pause: a push must not go out late.
type pauses struct {
	mu       sync.Mutex
	lastTick time.Time // of the last tick
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

// arrived returns since when a request that is read now may have waited.
func (p *pauses) arrived(now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	if now.Before(p.until) {
		return p.from
	}
	return now
}

// overlapped tells whether what began then went through the last pause, so that how long it took tells nothing.
func (p *pauses) overlapped(began, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detect(now)
	return began.Before(p.until)
}
