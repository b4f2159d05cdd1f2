package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// coldTask begins the names of the tasks of sending requests to a cold target, which only one daemon does at a time.
	coldTaskPrefix = "cold/"
	// coldSettle is how long after another daemon may have sent requests to a cold target this one begins: what that one sent
	// has arrived by then, since connections to targets are made within some hundred milliseconds or not at all.
	coldHandoverDelay = 2 * time.Second
	// coldReserve is the part of a cold target's allowance that is left to the most urgent requests.
	coldReserve = 1.0 / 3
	// coldTries is how often a target is chosen anew when other requests took the allowance meanwhile.
	maxColdPicks = 3
)

// coldSends counts what this daemon sends to the cold targets that it alone may send to. What arrives at a target within a second
// was either on its way when the second began or was sent within it; each of the two is kept below half of what the target may get,
// so the bound holds however long requests are on their way.
type coldSendLimiter struct {
	mu           sync.Mutex
	targets      map[string]*coldTarget
	sent, denied atomic.Int64
}

type coldTarget struct {
	// sent is when requests were sent within the last second.
	sent []time.Time
	// open is how many requests may still be on their way.
	open int
}

// left is how many requests may be sent to a target now; most is what it may get within a second.
func (c *coldSendLimiter) left(now time.Time, id string, most int) int {
	t := c.targets[id]
	if t == nil {
		return most / 2
	}
	t.sent = slices.DeleteFunc(t.sent, func(at time.Time) bool { return now.Sub(at) > coldWindow })
	if len(t.sent) == 0 && t.open == 0 {
		delete(c.targets, id)
	}
	return most/2 - max(len(t.sent), t.open)
}

// allows tells whether a request of a rank may be sent.
func (c *coldSendLimiter) allows(now time.Time, id string, most, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := 0
	if rank > 0 {
		kept = int(coldReserve * float64(most/2))
	}
	return c.left(now, id, most) > kept
}

// take counts a request that is sent now, unless none is left.
func (c *coldSendLimiter) take(now time.Time, id string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left(now, id, most) <= 0 {
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

// arrived notes that a request has arrived at a target, or never will.
func (c *coldSendLimiter) arrived(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.targets[id]; t != nil {
		t.open = max(0, t.open-1)
	}
}

// sweep forgets the targets that nothing was sent to for a while.
func (c *coldSendLimiter) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.targets {
		c.left(now, id, 0)
	}
}

// mayBeSent returns the cold targets of a pool that a request of a rank may be sent to from here.
func (p *Placer) sendableCold(now time.Time, pool string, rank int) map[string]bool {
	ids, most := p.fleet.Cold(now, pool)
	var may map[string]bool
	for _, id := range ids {
		if !p.peers.IsSoleOwner(coldTaskPrefix+id, coldHandoverDelay) || !p.coldLimiter.allows(now, id, most, rank) {
			continue
		}
		if may == nil {
			may = map[string]bool{}
		}
		may[id] = true
	}
	return may
}

// countCold counts a request to a cold target, unless others have taken what was left.
func (p *Placer) countCold(now time.Time, placed *Placement) bool {
	_, most := p.fleet.Cold(now, placed.pool)
	if most == 0 {
		// All have become warm meanwhile.
		return true
	}
	placed.Cold = true
	placed.counted = p.coldLimiter.take(now, placed.Spec.ID, most)
	return placed.counted
}

// arrived notes that the request has arrived at its target, or never will.
func (p *Placement) arrived() {
	if p.counted {
		p.counted = false
		p.placer.coldLimiter.arrived(p.Spec.ID)
	}
}

// ColdStats are totals of requests for cold targets since the start.
type ColdStats struct {
	Sent int64 `json:"sent"`
	// Denied counts how often other requests had taken what was left of a target's allowance.
	Denied int64 `json:"denied"`
}

// ColdStats returns the totals.
func (p *Placer) ColdStats() ColdStats {
	return ColdStats{Sent: p.coldLimiter.sent.Load(), Denied: p.coldLimiter.denied.Load()}
}
