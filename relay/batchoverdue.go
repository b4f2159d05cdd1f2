package relay

import (
	"slices"
	"time"
)

// overdueAction says what to do with an overdue call.
type overdueAction uint8

const (
	// overdueWait is for a call with pieces that no other call has made yet.
	overdueWait overdueAction = iota
	// overdueRepeat is for a call with pieces that no other target can make now.
	overdueRepeat
	// overdueAbandon is for a call whose pieces were all made elsewhere, are no longer needed, or will be requested again.
	overdueAbandon
)

// checkOverdue decides what to do with an overdue call. It is not abandoned before other calls have made its pieces:
// the work done by its target would be lost, and the pieces would have to wait again.
func (b *Batcher) checkOverdue(now time.Time, c *Call) overdueAction {
	if c.stale {
		return overdueAbandon
	}
	needed, noAlternative := false, false
	for _, item := range c.Items {
		j := item.Job
		if j.done || j.handles[item.Piece] != "" {
			continue
		}
		if j.inputsFreed {
			// The requester has the inputs made again, then requests the piece again.
			continue
		}
		needed = true
		noAlternative = noAlternative || !b.hasAlternative(now, c, j)
	}
	switch {
	case noAlternative && b.mayRepeat(now, c):
		return overdueRepeat
	case needed:
		return overdueWait
	}
	return overdueAbandon
}

// hasAlternative reports whether another target can make the pieces of a job, which one with an overdue call cannot.
func (b *Batcher) hasAlternative(now time.Time, c *Call, j *Job) bool {
	for id, t := range b.targets {
		overdue := t.call != nil && t.call.overdue
		if id != c.Target.ID && !overdue && !t.spec.Leaving && !b.isSkipped(now, t) && j.Params.AllowedRegions.Allows(t.spec.Region) {
			return true
		}
	}
	return false
}

// allInCalls reports whether each piece is in a call in progress, so that a failure elsewhere does not end its job.
func (b *Batcher) allInCalls(j *Job, pieces ...int) bool {
	for _, piece := range pieces {
		if !b.isInCall(CallItem{j, piece}) {
			return false
		}
	}
	return true
}

func (b *Batcher) isInCall(item CallItem) bool {
	for _, t := range b.targets {
		if t.call != nil && slices.Contains(t.call.Items, item) {
			return true
		}
	}
	return false
}

// anyUnassigned reports whether a piece without a result is neither queued nor in a call in progress.
func (b *Batcher) anyUnassigned(j *Job, pieces []int) bool {
	return slices.ContainsFunc(pieces, func(piece int) bool {
		return j.handles[piece] == "" && !slices.Contains(j.pending, piece) && !b.isInCall(CallItem{j, piece})
	})
}
