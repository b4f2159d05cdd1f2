package relay

import "time"

// setTargetLimits sets the rate limits and backoffs that targets asked for, and the fraction of the limits for this batcher.
func (b *Batcher) setTargetLimits(limits []targetLimits, liveShare float64) {
	b.liveShare = liveShare
	for _, t := range b.targets {
		t.hasLimit = false
	}
	for _, reported := range limits {
		if t := b.targets[reported.id]; t != nil {
			t.limit, t.hasLimit = reported.limit, reported.limit != noLimit
			t.backoffUntil = reported.backoffUntil
		}
	}
}

// isSkipped reports whether a target gets no call for now.
func (b *Batcher) isSkipped(now time.Time, t *batchTarget) bool {
	return now.Before(t.skippedUntil) || now.Before(t.backoffUntil) || b.limitWait(now, t) > 0
}

func (b *Batcher) rate(t *batchTarget) float64 { return limitRate(t.limit, b.liveShare) }

// limitWait returns the time until the rate limit of a target allows a call.
func (b *Batcher) limitWait(now time.Time, t *batchTarget) time.Duration {
	if !t.hasLimit {
		return 0
	}
	return t.bucket.wait(now, b.rate(t))
}

// countSend counts a call against the rate limit of its target.
func (b *Batcher) countSend(now time.Time, t *batchTarget) {
	if t.hasLimit {
		t.bucket.take(now, b.rate(t))
	}
}

// mayRepeat reports whether a call may be repeated at its target, and counts it against the rate limit.
func (b *Batcher) mayRepeat(now time.Time, c *Call) bool {
	t := b.targets[c.Target.ID]
	switch {
	case t == nil:
		return true
	case t.spec.Leaving || now.Before(t.backoffUntil):
		return false
	}
	return !t.hasLimit || t.bucket.take(now, b.rate(t))
}

// limitedSlowdown returns the slowdown of a target, or that of its rate limit if that is slower.
func (b *Batcher) limitedSlowdown(t *batchTarget) float64 {
	if !t.hasLimit {
		return t.slowdown
	}
	return max(t.slowdown, float64(time.Second)/b.rate(t)/b.fullCall(0))
}
