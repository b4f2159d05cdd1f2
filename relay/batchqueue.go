package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// share returns the target time that a piece costs in a full call, or the share of the result storage that its result
// occupies if that is more.
func (b *Batcher) share(bytes int) float64 {
	work := b.model.callCost()/float64(max(1, b.spec.MaxPieces)) + b.model.pieceCost(bytes)
	if b.spec.MaxResultBytes == 0 {
		return work
	}
	return max(work, b.hold*float64(bytes)/float64(b.spec.MaxResultBytes))
}

// WaitTime estimates the time until a job at the given position in the queue would start, from the work ahead of it and
// the targets in service. A target in backoff counts from the end of that: a pool whose targets each refused one call
// is not out of service.
func (b *Batcher) WaitTime(now, turn time.Time) time.Duration {
	free := b.capacity(now)
	if len(free) == 0 {
		return time.Minute
	}
	work := 0.0
	for _, j := range b.jobs {
		if j.left() > 0 && !j.done && (!j.late || turn.Sub(now) >= allTurns) && !j.order.After(turn) {
			work += float64(j.left()) * b.share(j.Params.ResultBytes)
		}
	}
	return free.taken(work)
}

// freeTarget holds when a target can start a call, in nanoseconds from now, and how slow the target is.
type freeTarget struct{ in, pace float64 }

// capacity holds when the targets in service can start a call, earliest first.
type capacity []freeTarget

func (b *Batcher) capacity(now time.Time) capacity {
	free := make(capacity, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.spec.Leaving {
			free = append(free, freeTarget{b.freeIn(now, t), b.paceWithin(t)})
		}
	}
	slices.SortFunc(free, func(x, y freeTarget) int { return cmp.Compare(x.in, y.in) })
	return free
}

func (b *Batcher) freeIn(now time.Time, t *batchTarget) float64 {
	in := max(0, float64(t.outTo.Sub(now)), float64(t.restUntil.Sub(now)), float64(b.allowedIn(now, t)))
	if t.call != nil {
		in = max(in, float64(t.call.StartedAt.Add(t.call.Expected).Sub(now)))
	}
	return in
}

// taken returns the time after which the targets have done an amount of work, each starting when it is free.
func (c capacity) taken(work float64) time.Duration {
	at, speed := c[0].in, 0.0
	for i, f := range c {
		speed += 1 / f.pace
		if i+1 == len(c) || (c[i+1].in-at)*speed >= work {
			break
		}
		work -= (c[i+1].in - at) * speed
		at = c[i+1].in
	}
	return time.Duration(at + work/speed)
}

// QueueTime estimates how long a job like this one would wait in the queue if it were added now.
func (b *Batcher) QueueTime(now time.Time, j *Job) time.Duration {
	return b.WaitTime(now, now.Add(j.order.Sub(j.since)))
}

// length returns the time of a call with the pieces of a job and a typical number of others.
func (b *Batcher) length(j *Job) float64 {
	n := float64(min(j.Params.Pieces, b.spec.MaxPieces))
	own := b.model.callCost() + n*b.model.pieceCost(j.Params.ResultBytes)
	return (own + b.fullCall(j.Params.ResultBytes)) / 2
}

// canBeLate reports whether a job that will miss its due time is still made well before its deadline, even if as much
// work as is ahead of it now is added.
func (b *Batcher) canBeLate(now time.Time, j *Job) bool {
	ahead := b.WaitTime(now, now.Add(allTurns))
	return time.Duration(lateMargin*float64(ahead)+j.length) < time.Duration(latePart*float64(j.Deadline.Sub(now)))
}

// sort orders the jobs by urgency. Those that can no longer be in time come last, so that they do not make others late
// as well.
func (b *Batcher) sort(now time.Time) {
	for _, j := range b.jobs {
		late := !j.Params.AnswerStarted && now.Add(time.Duration(j.length)).After(j.Due)
		b.resort = b.resort || late != j.late
		j.late = late
	}
	if !b.resort {
		return
	}
	b.resort = false
	slices.SortStableFunc(b.jobs, func(x, y *Job) int {
		if x.late != y.late {
			if x.late {
				return 1
			}
			return -1
		}
		return x.order.Compare(y.order)
	})
}

// giveUp refuses the late jobs that cannot be made before their deadlines, so that their callers learn of it now. It
// relies on the jobs being sorted, with the late ones last.
func (b *Batcher) giveUp(now time.Time) []FinishedJob {
	if now.Sub(b.lastLook) < giveUpEvery {
		return nil
	}
	b.lastLook = now
	free := b.capacity(now)
	if len(free) == 0 {
		return nil
	}
	var ends []FinishedJob
	work := 0.0
	for _, j := range b.jobs {
		j.length = b.length(j)
		if j.done || j.left() == 0 {
			continue
		}
		if j.late && j.missing == j.Params.Pieces {
			if start := free.taken(work); now.Add(start + time.Duration(j.length)).After(j.Deadline) {
				ends = append(ends, b.end(j, proto.PiecesAnswer{
					Outcome: proto.PiecesRefused, QueuedFor: now.Sub(j.since), QueueDelay: start, RetryAfter: max(minRetryWait, start), Detail: "more urgent work leaves no time for the stage",
				}))
				continue
			}
		}
		work += float64(j.left()) * b.share(j.Params.ResultBytes)
	}
	return ends
}

func (b *Batcher) expire(now time.Time) []FinishedJob {
	var ends []FinishedJob
	b.jobs = slices.DeleteFunc(b.jobs, func(j *Job) bool {
		if j.done {
			return true
		}
		if !now.After(j.Deadline) {
			return false
		}
		ends = append(ends, b.end(j, proto.PiecesAnswer{Outcome: proto.PiecesLate, QueuedFor: now.Sub(j.since), Detail: "the time for the stage was over in the queue"}))
		return true
	})
	for _, t := range b.targets {
		t.leaves = slices.DeleteFunc(t.leaves, func(k keptResult) bool {
			if now.Before(k.until) {
				return false
			}
			t.room -= k.bytes
			delete(b.kept, k.handle)
			return true
		})
	}
	return ends
}
