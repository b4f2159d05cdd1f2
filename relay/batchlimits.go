package relay

import (
	"time"

	"emberlead/proto"
)

// SetLimits takes over the limits that targets name, and the part of them that this batcher may use.
func (b *Batcher) SetLimits(limits []proto.TargetNotice, reach float64) {
	b.reach = reach
	for _, t := range b.targets {
		t.limited = false
	}
	for _, n := range limits {
		if t := b.targets[n.Target]; t != nil {
			t.limit, t.limited = n.Limit, true
		}
	}
}

// isOut tells whether a target gets no call for the moment.
func (b *Batcher) isOut(now time.Time, t *batchTarget) bool {
	return now.Before(t.outTo) || b.allowedIn(now, t) > 0
}

func (b *Batcher) rate(t *batchTarget) float64 { return limitRate(t.limit, b.reach) }

// allowedIn is how long it takes until the limit of a target allows a call.
func (b *Batcher) allowedIn(now time.Time, t *batchTarget) time.Duration {
	if !t.limited {
		return 0
	}
	return t.allowed.wait(now, b.rate(t))
}

// countSend counts a call within the limit of its target.
func (b *Batcher) countSend(now time.Time, t *batchTarget) {
	if t.limited {
		t.allowed.take(now, b.rate(t))
	}
}

// mayRepeat tells whether a call may be made again at its target, and counts it.
func (b *Batcher) mayRepeat(now time.Time, c *Call) bool {
	t := b.targets[c.Target.ID]
	return t == nil || !t.limited || t.allowed.take(now, b.rate(t))
}

// paceWithin is the pace of a target's calls, or that of its limit if that is slower.
func (b *Batcher) paceWithin(t *batchTarget) float64 {
	if !t.limited {
		return t.pace
	}
	return max(t.pace, float64(time.Second)/b.rate(t)/b.fullCall(0))
}
