package serve

import (
	"math/rand/v2"
	"sync"
	"time"

	"emberlead/sched"
)

// connectionRush closes new connections unread while most of them come to this daemon and it cannot serve them.
type connectionRush struct {
	mu   sync.Mutex
	rush sched.Rush
	// observedAt is when the load was last observed, and refused the number of requests refused for own limits by then.
	observedAt time.Time
	refused    int64
	closed     int64
	closing    bool
}

// rushStats tells how many new connections were closed unread, as the metrics endpoint shows it.
type rushStats struct {
	// Closed counts the connections since the start, and Share is the share that is closed now.
	Closed int64   `json:"closed"`
	Share  float64 `json:"share"`
}

// observe records the load of this daemon every interval, and returns whether it began or stopped to close connections.
func (c *connectionRush) observe(now time.Time, interval time.Duration, load sched.RushLoad, refused int64) (changed, closing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.observedAt.IsZero() {
		load.Lag = max(0, now.Sub(c.observedAt)-interval)
	}
	load.Refused = refused - c.refused
	c.observedAt, c.refused = now, refused
	c.rush.Observe(load)
	closing = c.rush.Share() > 0
	changed = closing != c.closing
	c.closing = closing
	return changed, closing
}

func (c *connectionRush) closes(now time.Time, open int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.rush.Closes(now, open, rand.Float64()) {
		return false
	}
	c.closed++
	return true
}

func (c *connectionRush) stats() rushStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return rushStats{Closed: c.closed, Share: c.rush.Share()}
}

// observeRush records the load of this daemon and of those that it hears.
func (d *Relay) observeRush() {
	usage := d.loadMeter.read(d.clock.Now())
	load := sched.RushLoad{Open: d.server.OpenRequests(), MaxOpen: d.limits.MaxOpen, OthersOpen: d.peers.meanLoad()}
	changed, closing := d.rush.observe(d.clock.Now(), rushInterval, load, d.server.Counts().OwnLimitRefusals())
	if changed {
		d.log.Info("new connections are closed unread, or no longer", "closing", closing, "open", load.Open, "openMost", load.MaxOpen, "othersOpen", load.OthersOpen, "usage", usage)
	}
}

// meanLoad returns the mean number of open requests of the other daemons that were heard; -1 if none was.
func (p *relayPeers) meanLoad() float64 {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	sum, n := 0, 0
	for _, load := range p.loads {
		if now.Sub(load.at) <= peerSilenceTimeout {
			sum += load.open
			n++
		}
	}
	if n == 0 {
		return -1
	}
	return float64(sum) / float64(n)
}
