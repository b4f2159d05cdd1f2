package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// CallDone records the results of a call, in the order of its items. It returns the jobs that ended and the handles of
// results that are no longer needed.
func (b *Batcher) CallDone(now time.Time, c *Call, results []ItemResult) (ends []FinishedJob, unused []string) {
	if c.void {
		return nil, nil
	}
	t := b.finish(c)
	b.learn(t, c, results, now.Sub(c.StartedAt))
	for n, item := range c.Items {
		r := results[n]
		j := item.Job
		if r.Handle == "" {
			b.giveBack(t, j.Params.ResultBytes)
			if !j.done {
				ends = append(ends, b.lacking(now, t, c, item, r.Outcome)...)
			}
			continue
		}
		b.keep(now, t, r.Handle, j.Params.ResultBytes, c.StartedAt)
		if j.done || !j.set(item.Piece, r.Handle) {
			unused = append(unused, r.Handle)
			continue
		}
		j.zone = c.Target.Zone
		if j.missing == 0 {
			ends = append(ends, b.end(j, proto.PiecesAnswer{
				Outcome: proto.PiecesDone, Handles: j.handles, Zone: j.zone, QueuedFor: c.StartedAt.Sub(j.since), CallTime: now.Sub(c.StartedAt),
			}))
		}
	}
	return ends, unused
}

// lacking queues a piece again that the target failed to make or had no room for, or ends its job if that is not
// possible.
func (b *Batcher) lacking(now time.Time, t *batchTarget, c *Call, item CallItem, fate proto.PieceOutcome) []FinishedJob {
	j := item.Job
	if j.inputsFreed {
		return []FinishedJob{b.withoutInputs(j)}
	}
	switch fate {
	case proto.PiecesLost, proto.PiecesLate:
		if c.overdue {
			return nil
		}
		return []FinishedJob{b.end(j, proto.PiecesAnswer{Outcome: fate, Detail: "a target could not make a piece: its input is gone or its time over"})}
	case proto.PiecesNoRoom:
		b.learnRoom(now, t)
	default:
		j.tries++
		j.exclude = c.Target.ID
	}
	if j.tries < pieceTries {
		j.again(item.Piece)
		return nil
	}
	if b.atWork(j, item.Piece) {
		return nil
	}
	return []FinishedJob{b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "several targets failed at a piece"})}
}

func (b *Batcher) finish(c *Call) *batchTarget {
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

// CallFailed records a call that returned no results. busy is set if the target refused it because it has no free slot.
// The pieces are queued again unless too many calls failed.
func (b *Batcher) CallFailed(now time.Time, c *Call, busy bool) []FinishedJob {
	if c.void {
		return nil
	}
	t := b.finish(c)
	if t != nil {
		b.leaveOut(now, t, busy)
	}
	var ends []FinishedJob
	seen := map[*Job][]int{}
	for _, item := range c.Items {
		seen[item.Job] = append(seen[item.Job], item.Piece)
		b.giveBack(t, item.Job.Params.ResultBytes)
	}
	for j, pieces := range seen {
		if !c.overdue || j.inputsFreed || b.unattended(j, pieces) {
			ends = append(ends, b.again(j, pieces, c.Target.ID, busy)...)
		}
	}
	slices.SortFunc(ends, func(x, y FinishedJob) int { return cmp.Compare(x.Job.Params.RequestID, y.Job.Params.RequestID) })
	return ends
}

// requeue queues the pieces of overdue calls again. The first result of a piece counts.
func (b *Batcher) requeue(now time.Time) {
	for _, t := range b.targets {
		c := t.call
		if c == nil || c.overdue || now.Before(c.StartedAt.Add(time.Duration(overdueAt*float64(c.Expected)))) {
			continue
		}
		c.overdue = true
		for _, item := range c.Items {
			if !item.Job.done && !item.Job.inputsFreed {
				item.Job.exclude = t.spec.ID
				item.Job.again(item.Piece)
			}
		}
	}
}

func (b *Batcher) leaveOut(now time.Time, t *batchTarget, busy bool) {
	if busy {
		t.outTo = now.Add(outBase / 2)
		return
	}
	t.inRow++
	t.outTo = now.Add(min(outMost, outBase<<min(t.inRow, 6)))
}

// again queues the pieces of a failed call.
func (b *Batcher) again(j *Job, pieces []int, target string, busy bool) []FinishedJob {
	if j.done {
		return nil
	}
	if j.inputsFreed {
		return []FinishedJob{b.withoutInputs(j)}
	}
	if !busy {
		j.tries++
	}
	if j.tries >= pieceTries {
		if b.atWork(j, pieces...) {
			return nil
		}
		return []FinishedJob{b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "calls to several targets failed"})}
	}
	j.exclude = target
	j.alone = j.tries >= aloneAfter
	j.again(pieces...)
	return nil
}

// refuseJobs fails the queued jobs of requests that must not be worked on any more.
func (b *Batcher) refuseJobs() []FinishedJob {
	var ends []FinishedJob
	for _, j := range b.jobs {
		if !j.done && j.left() > 0 && b.refuses(j.Params.Digest) {
			ends = append(ends, b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "targets ended that worked on the request"}))
		}
	}
	return ends
}
