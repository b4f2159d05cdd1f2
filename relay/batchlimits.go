package relay

import "time"

// setTargetLimits sets the rate limits and backoffs that targets asked for, and the fraction of the limits that this
// batcher may use.
func (b *Batcher) setTargetLimits(terms []targetLimits, liveShare float64) {
	b.liveShare = liveShare
	for _, t := range b.targets {
		t.limited = false
	}
	for _, said := range terms {
		if t := b.targets[said.id]; t != nil {
			t.limit, t.limited = said.limit, said.limit != noLimit
			t.restUntil = said.backoffUntil
		}
	}
}

// isOut reports whether a target gets no call for now.
func (b *Batcher) isOut(now time.Time, t *batchTarget) bool {
	return now.Before(t.outTo) || now.Before(t.restUntil) || b.allowedIn(now, t) > 0
}

func (b *Batcher) rate(t *batchTarget) float64 { return limitRate(t.limit, b.liveShare) }

// allowedIn returns the time until the rate limit of a target allows a call.
func (b *Batcher) allowedIn(now time.Time, t *batchTarget) time.Duration {
	if !t.limited {
		return 0
	}
	return t.allowed.wait(now, b.rate(t))
}

// countSend counts a call against the rate limit of its target.
func (b *Batcher) countSend(now time.Time, t *batchTarget) {
	if t.limited {
		t.allowed.take(now, b.rate(t))
	}
}

// mayRepeat reports whether a call may be repeated at its target, and counts it against the rate limit.
func (b *Batcher) mayRepeat(now time.Time, c *Call) bool {
	t := b.targets[c.Target.ID]
	switch {
	case t == nil:
		return true
	case t.spec.Leaving || now.Before(t.restUntil):
		return false
	}
	return !t.limited || t.allowed.take(now, b.rate(t))
}

// paceWithin returns the slowdown of a target, or that of its rate limit if that is slower.
func (b *Batcher) paceWithin(t *batchTarget) float64 {
	if !t.limited {
		return t.pace
	}
	return max(t.pace, float64(time.Second)/b.rate(t)/b.fullCall(0))
}
