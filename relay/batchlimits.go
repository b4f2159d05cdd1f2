package relay

import "time"

// setTerms takes over what targets have said of the work that they take, and the part of their limits that this batcher may use.
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

// isOut tells whether a target gets no call for the moment.
func (b *Batcher) isOut(now time.Time, t *batchTarget) bool {
	return now.Before(t.outTo) || now.Before(t.restUntil) || b.allowedIn(now, t) > 0
}

func (b *Batcher) rate(t *batchTarget) float64 { return limitRate(t.limit, b.liveShare) }

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
	switch {
	case t == nil:
		return true
	case t.spec.Leaving || now.Before(t.restUntil):
		return false
	}
	return !t.limited || t.allowed.take(now, b.rate(t))
}

// paceWithin is the pace of a target's calls, or that of its limit if that is slower.
func (b *Batcher) paceWithin(t *batchTarget) float64 {
	if !t.limited {
		return t.pace
	}
	return max(t.pace, float64(time.Second)/b.rate(t)/b.fullCall(0))
}
