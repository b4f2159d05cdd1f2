package relay

import (
	"slices"
	"time"
)

// callStanding says what becomes of a call that takes much longer than expected.
type overdueAction uint8

const (
	// callWaited is a call some of whose pieces nobody else has made yet.
	overdueWait overdueAction = iota
	// callAlone is one some of whose pieces no other target can make now.
	overdueRepeat
	// callOver is one whose pieces are all made elsewhere, not needed any more, or to be asked for again.
	overdueAbandon
)

// standing tells whether a call that takes much longer than expected is still waited for. A call is not given up for one that is not
// made: what its target has done by then would be lost, and its pieces would wait as before.
func (b *Batcher) checkOverdue(now time.Time, c *Call) overdueAction {
	if c.void {
		return overdueAbandon
	}
	needed, alone := false, false
	for _, item := range c.Items {
		j := item.Job
		if j.done || j.handles[item.Piece] != "" {
			continue
		}
		if j.inputsFreed {
			// Who asked for the piece has its inputs made anew, and asks again.
			continue
		}
		needed = true
		alone = alone || !b.hasOther(now, c, j)
	}
	switch {
	case alone && b.mayRepeat(now, c):
		return overdueRepeat
	case needed:
		return overdueWait
	}
	return overdueAbandon
}

// hasOther tells whether a target other than that of a call can make pieces of a job; one that hangs in a call of its own cannot.
func (b *Batcher) hasOther(now time.Time, c *Call, j *Job) bool {
	for id, t := range b.targets {
		hangs := t.call != nil && t.call.overdue
		if id != c.Target.ID && !hangs && !t.spec.Leaving && !b.isOut(now, t) && j.Params.AllowedRegions.Allows(t.spec.Region) {
			return true
		}
	}
	return false
}

// atWork tells whether each piece is in a call that is at work, so that its job is not over by what failed elsewhere.
func (b *Batcher) atWork(j *Job, pieces ...int) bool {
	for _, piece := range pieces {
		if !b.inCall(CallItem{j, piece}) {
			return false
		}
	}
	return true
}

func (b *Batcher) inCall(item CallItem) bool {
	for _, t := range b.targets {
		if t.call != nil && slices.Contains(t.call.Items, item) {
			return true
		}
	}
	return false
}

// unattended tells whether a piece without a result neither waits nor is in a call.
func (b *Batcher) unattended(j *Job, pieces []int) bool {
	return slices.ContainsFunc(pieces, func(piece int) bool {
		return j.handles[piece] == "" && !slices.Contains(j.todo, piece) && !b.inCall(CallItem{j, piece})
	})
}
