package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// CallDone records the results of a call, in the order of its items. It returns the jobs that ended and the handles of
// results that are no longer needed.
func (b *Batcher) CallDone(now time.Time, c *Call, results []ItemResult) (finished []FinishedJob, unused []string) {
	if c.stale {
		return nil, nil
	}
	t := b.releaseTarget(c)
	b.recordCallTime(t, c, results, now.Sub(c.StartedAt))
	for n, item := range c.Items {
		r := results[n]
		j := item.Job
		if r.Handle == "" {
			b.releaseRoom(t, j.Params.ResultBytes)
			if !j.done {
				finished = append(finished, b.handleMissing(now, t, c, item, r.Outcome)...)
			}
			continue
		}
		b.recordResult(now, t, r.Handle, j.Params.ResultBytes, c.StartedAt)
		if j.done || !j.setResult(item.Piece, r.Handle) {
			unused = append(unused, r.Handle)
			continue
		}
		j.resultZone = c.Target.Zone
		if j.firstResultAt.IsZero() {
			j.firstResultAt = now
		}
		if j.missing == 0 {
			finished = append(finished, b.finishJob(j, proto.PiecesAnswer{
				Outcome: proto.PiecesDone, Handles: j.handles, Zone: j.resultZone, QueuedFor: c.StartedAt.Sub(j.queuedAt), CallTime: now.Sub(c.StartedAt), ResultAge: now.Sub(j.firstResultAt),
			}))
		}
	}
	return finished, unused
}

// handleMissing queues a piece again that the target failed to make or had no room for, or ends its job if that is not possible.
func (b *Batcher) handleMissing(now time.Time, t *batchTarget, c *Call, item CallItem, outcome proto.PieceOutcome) []FinishedJob {
	j := item.Job
	if j.inputsFreed {
		return []FinishedJob{b.failWithoutInputs(j)}
	}
	switch outcome {
	case proto.PiecesLost, proto.PiecesLate:
		if c.overdue {
			return nil
		}
		return []FinishedJob{b.finishJob(j, proto.PiecesAnswer{Outcome: outcome, Detail: "a target could not make a piece: its input is gone or its time over"})}
	case proto.PiecesNoRoom:
		b.recordNoRoom(now, t)
	default:
		j.failures++
		j.avoidTarget = c.Target.ID
	}
	if j.failures < maxFailedCalls {
		j.requeue(item.Piece)
		return nil
	}
	if b.allInCalls(j, item.Piece) {
		return nil
	}
	return []FinishedJob{b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "several targets failed at a piece"})}
}

func (b *Batcher) releaseTarget(c *Call) *batchTarget {
	t := b.targets[c.Target.ID]
	if t == nil || t.call != c {
		return nil
	}
	t.call = nil
	if t.spec.Leaving {
		b.dropTarget(c.Target.ID, t)
	}
	return t
}

// CallFailed records a call without results. busy is set if the target refused it for want of a free slot. The pieces
// are queued again unless too many calls failed.
func (b *Batcher) CallFailed(now time.Time, c *Call, busy bool) []FinishedJob {
	if c.stale {
		return nil
	}
	t := b.releaseTarget(c)
	if t != nil {
		b.backOff(now, t, busy)
	}
	var finished []FinishedJob
	seen := map[*Job][]int{}
	for _, item := range c.Items {
		seen[item.Job] = append(seen[item.Job], item.Piece)
		b.releaseRoom(t, item.Job.Params.ResultBytes)
	}
	for j, pieces := range seen {
		if !c.overdue || j.inputsFreed || b.anyUnassigned(j, pieces) {
			finished = append(finished, b.requeue(j, pieces, c.Target.ID, busy)...)
		}
	}
	slices.SortFunc(finished, func(x, y FinishedJob) int { return cmp.Compare(x.Job.Params.RequestID, y.Job.Params.RequestID) })
	return finished
}

// requeueOverdue queues the pieces of overdue calls again. The first result of a piece counts.
func (b *Batcher) requeueOverdue(now time.Time) {
	for _, t := range b.targets {
		c := t.call
		if c == nil || c.overdue || now.Before(c.StartedAt.Add(time.Duration(overdueFactor*float64(c.Expected)))) {
			continue
		}
		c.overdue = true
		for _, item := range c.Items {
			if !item.Job.done && !item.Job.inputsFreed {
				item.Job.avoidTarget = t.spec.ID
				item.Job.requeue(item.Piece)
			}
		}
	}
}

func (b *Batcher) backOff(now time.Time, t *batchTarget, busy bool) {
	if busy {
		t.skippedUntil = now.Add(minCallBackoff / 2)
		return
	}
	t.consecutiveFailures++
	t.skippedUntil = now.Add(min(maxCallBackoff, minCallBackoff<<min(t.consecutiveFailures, 6)))
}

// requeue queues the pieces of a failed call.
func (b *Batcher) requeue(j *Job, pieces []int, target string, busy bool) []FinishedJob {
	if j.done {
		return nil
	}
	if j.inputsFreed {
		return []FinishedJob{b.failWithoutInputs(j)}
	}
	if !busy {
		j.failures++
	}
	if j.failures >= maxFailedCalls {
		if b.allInCalls(j, pieces...) {
			return nil
		}
		return []FinishedJob{b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "calls to several targets failed"})}
	}
	j.avoidTarget = target
	j.separate = j.failures >= separateAfterFailures
	j.requeue(pieces...)
	return nil
}

// failBlockedJobs fails the queued jobs of requests that must not be worked on any more.
func (b *Batcher) failBlockedJobs() []FinishedJob {
	var finished []FinishedJob
	for _, j := range b.jobs {
		if !j.done && j.pendingCount() > 0 && b.isBlocked(j.Params.Digest) {
			finished = append(finished, b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "targets ended that worked on the request"}))
		}
	}
	return finished
}
