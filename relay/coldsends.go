package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldTaskPrefix is the prefix of the tasks of sending requests to a cold target, which only one daemon has at a time.
	coldTaskPrefix = "cold/"
	// coldHandoverDelay is how long this daemon waits after another daemon may have sent requests to a cold target. What that daemon
	// sent has arrived by then, since connections to targets are made within some hundred milliseconds or not at all.
	coldHandoverDelay = 2 * time.Second
	// coldReserve is the fraction of a cold target's quota that is reserved for the most urgent requests.
	coldReserve = 1.0 / 3
	// maxColdPicks is how often a target is picked again if other requests used up its quota.
	maxColdPicks = 3
)

// coldSendLimiter counts the requests to the cold targets that only this daemon may send to. The requests that arrive
// at a target within a second were either in flight when the second began or were sent within it. Each of the two is
// kept below half of the target's quota, so the quota holds however long requests are in flight.
type coldSendLimiter struct {
	mu           sync.Mutex
	targets      map[string]*coldTarget
	sent, denied atomic.Int64
}

type coldTarget struct {
	// sent holds when requests were sent within the last second.
	sent []time.Time
	// open is the number of requests that may still be in flight.
	open int
}

// left returns how many requests may be sent to a target now; quota is the number that it may get within a second.
func (c *coldSendLimiter) left(now time.Time, id string, quota int) int {
	t := c.targets[id]
	if t == nil {
		return quota / 2
	}
	t.sent = slices.DeleteFunc(t.sent, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	if len(t.sent) == 0 && t.open == 0 {
		delete(c.targets, id)
	}
	return quota/2 - max(len(t.sent), t.open)
}

// allows reports whether a request of a rank may be sent.
func (c *coldSendLimiter) allows(now time.Time, id string, quota, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	reserved := 0
	if rank > 0 {
		reserved = int(coldReserve * float64(quota/2))
	}
	return c.left(now, id, quota) > reserved
}

// take counts a request that is sent now, unless none is left.
func (c *coldSendLimiter) take(now time.Time, id string, quota int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left(now, id, quota) <= 0 {
		c.denied.Add(1)
		return false
	}
	t := c.targets[id]
	if t == nil {
		t = &coldTarget{}
		c.targets[id] = t
	}
	t.sent = append(t.sent, now)
	t.open++
	c.sent.Add(1)
	return true
}

// arrived records that a request has arrived at a target, or never will.
func (c *coldSendLimiter) arrived(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[id]; t != nil {
		t.open = max(0, t.open-1)
	}
}

// sweep forgets the targets without recent requests.
func (c *coldSendLimiter) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.targets {
		c.left(now, id, 0)
	}
}

// sendableCold returns the cold targets of a pool that this daemon may send a request of a rank to.
func (p *Placer) sendableCold(now time.Time, pool string, rank int) map[string]bool {
	ids, quota := p.fleet.Cold(now, pool)
	var sendable map[string]bool
	for _, id := range ids {
		if !p.peers.OwnsExclusively(coldTaskPrefix+id, coldHandoverDelay) || !p.coldLimiter.allows(now, id, quota, rank) {
			continue
		}
		if sendable == nil {
			sendable = map[string]bool{}
		}
		sendable[id] = true
	}
	return sendable
}

// countCold counts a request to a cold target, unless other requests have used up the quota.
func (p *Placer) countCold(now time.Time, placed *Placement) bool {
	_, quota := p.fleet.Cold(now, placed.pool)
	if quota == 0 {
		// All targets have become warm meanwhile.
		return true
	}
	placed.Cold = true
	placed.counted = p.coldLimiter.take(now, placed.Spec.ID, quota)
	return placed.counted
}

// arrived records that the request has arrived at its target, or never will.
func (p *Placement) arrived() {
	if p.counted {
		p.counted = false
		p.placer.coldLimiter.arrived(p.Spec.ID)
	}
}

// ColdStats are the totals of requests to cold targets since the start of the daemon.
type ColdStats struct {
	Sent int64 `json:"sent"`
	// Denied counts how often other requests had used up a target's quota.
	Denied int64 `json:"denied"`
}

// ColdStats returns the totals.
func (p *Placer) ColdStats() ColdStats {
	return ColdStats{Sent: p.coldLimiter.sent.Load(), Denied: p.coldLimiter.denied.Load()}
}
