package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// effectivePieceCost returns the target time that a piece costs in a full call, or the share of the result storage that
// its result occupies, in time, if that is more.
func (b *Batcher) effectivePieceCost(bytes int) float64 {
	work := b.model.callCost()/float64(max(1, b.spec.MaxPieces)) + b.model.pieceCost(bytes)
	if b.spec.MaxResultBytes == 0 {
		return work
	}
	return max(work, b.meanHoldTime*float64(bytes)/float64(b.spec.MaxResultBytes))
}

// Load returns the state of the queue, with the cost of a piece whose result has the given size.
func (b *Batcher) Load(now time.Time, resultBytes int) proto.StageLoad {
	load := proto.StageLoad{QueueDelay: b.EstimateWait(now, now.Add(queueEnd)), PieceCost: time.Duration(b.effectivePieceCost(resultBytes))}
	for _, t := range b.targets {
		if b.inService(now, t) {
			load.Capacity += 1 / b.limitedSlowdown(t)
		}
	}
	backlog := 0.0
	for _, j := range b.jobs {
		if !j.done {
			backlog += float64(j.pendingCount()) * b.effectivePieceCost(j.Params.ResultBytes)
		}
	}
	load.Backlog = time.Duration(backlog)
	return load
}

// inService reports whether a target counts for the capacity of the pool. One that has no free slot or no room for a
// moment does: it is at work.
func (b *Batcher) inService(now time.Time, t *batchTarget) bool {
	failing := t.consecutiveFailures > 0 && now.Before(t.skippedUntil)
	return !t.spec.Leaving && !failing && !now.Before(t.backoffUntil)
}

// EstimateWait estimates the time until a job at a position in the queue would start, from the work ahead of it and the targets in
// service. Targets in backoff count from its end: a pool whose targets each refused one call is not out of service.
func (b *Batcher) EstimateWait(now, position time.Time) time.Duration {
	atEnd := position.Sub(now) >= queueEnd
	return b.waitBehind(now, func(j *Job) bool { return (!j.late || atEnd) && !j.sortTime.After(position) })
}

// estimateLateWait estimates the time until a late job at a position would start: behind all jobs that can be in time,
// and the late ones before the position.
func (b *Batcher) estimateLateWait(now, position time.Time) time.Duration {
	wait := b.waitBehind(now, func(j *Job) bool { return !j.late || !j.sortTime.After(position) })
	return b.stretched(now, wait)
}

// waitBehind returns the time until the targets have done the queued work of the jobs that are ahead.
func (b *Batcher) waitBehind(now time.Time, isAhead func(*Job) bool) time.Duration {
	free := b.availability(now)
	if len(free) == 0 {
		return time.Minute
	}
	work := 0.0
	for _, j := range b.jobs {
		if j.pendingCount() > 0 && !j.done && isAhead(j) {
			work += float64(j.pendingCount()) * b.effectivePieceCost(j.Params.ResultBytes)
		}
	}
	return free.timeFor(work)
}

// targetAvailability is when a target can start a call, in nanoseconds from now, and its slowdown.
type targetAvailability struct{ delay, slowdown float64 }

// availability lists the targets in service, those that can start a call first at the front.
type availability []targetAvailability

func (b *Batcher) availability(now time.Time) availability {
	free := make(availability, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.spec.Leaving {
			free = append(free, targetAvailability{b.idleIn(now, t), b.limitedSlowdown(t)})
		}
	}
	slices.SortFunc(free, func(x, y targetAvailability) int { return cmp.Compare(x.delay, y.delay) })
	return free
}

func (b *Batcher) idleIn(now time.Time, t *batchTarget) float64 {
	delay := max(0, float64(t.skippedUntil.Sub(now)), float64(t.backoffUntil.Sub(now)), float64(b.limitWait(now, t)))
	if t.call != nil {
		delay = max(delay, float64(t.call.StartedAt.Add(t.call.Expected).Sub(now)))
	}
	return delay
}

// timeFor returns the time after which the targets have done an amount of work, each starting when it is free.
func (a availability) timeFor(work float64) time.Duration {
	at, speed := a[0].delay, 0.0
	for i, f := range a {
		speed += 1 / f.slowdown
		if i+1 == len(a) || (a[i+1].delay-at)*speed >= work {
			break
		}
		work -= (a[i+1].delay - at) * speed
		at = a[i+1].delay
	}
	return time.Duration(at + work/speed)
}

// EstimateWaitFor estimates how long a job like this one would wait in the queue if it were added now. One that became
// late in the queue would wait behind the others again.
func (b *Batcher) EstimateWaitFor(now time.Time, j *Job) time.Duration {
	if j.late && !j.lateOnArrival {
		return b.stretched(now, b.EstimateWait(now, now.Add(queueEnd)))
	}
	return b.EstimateWait(now, now.Add(j.sortTime.Sub(j.queuedAt)))
}

// callTime returns the time of a call with the pieces of a job and a typical number of others.
func (b *Batcher) callTime(j *Job) float64 {
	n := float64(min(j.Params.Pieces, b.spec.MaxPieces))
	own := b.model.callCost() + n*b.model.pieceCost(j.Params.ResultBytes)
	return (own + b.fullCall(j.Params.ResultBytes)) / 2
}

// mayBeLate reports whether a job that will miss its due time is made well before its deadline even if as much work is
// added as is ahead of it now.
func (b *Batcher) mayBeLate(now time.Time, j *Job) bool {
	ahead := b.EstimateWait(now, now.Add(queueEnd))
	return time.Duration(lateWorkFactor*float64(ahead)+j.callTime) < time.Duration(lateTimeShare*float64(j.Deadline.Sub(now)))
}

// sortJobs orders the jobs by urgency. Those that can no longer be in time come last, so as not to make others late.
func (b *Batcher) sortJobs(now time.Time) {
	for _, j := range b.jobs {
		late := j.isLate(now) && !j.expiring
		b.needsSort = b.needsSort || late != j.late
		j.late = late
	}
	if !b.needsSort {
		return
	}
	b.needsSort = false
	slices.SortStableFunc(b.jobs, func(x, y *Job) int {
		if x.late != y.late {
			if x.late {
				return 1
			}
			return -1
		}
		return x.sortTime.Compare(y.sortTime)
	})
}

// refuseLateJobs refuses the late jobs that cannot be made before their deadlines, so that their callers learn of it
// now. The jobs must be sorted, with the late ones last.
func (b *Batcher) refuseLateJobs(now time.Time) []FinishedJob {
	if now.Sub(b.lastRefuseLate) < refuseLateInterval {
		return nil
	}
	b.lastRefuseLate = now
	free := b.availability(now)
	if len(free) == 0 {
		return nil
	}
	var finished []FinishedJob
	work, spare := 0.0, b.newSpareTime(free)
	for _, j := range b.jobs {
		j.callTime = b.callTime(j)
		if j.done || j.pendingCount() == 0 {
			continue
		}
		start := free.timeFor(work)
		if j.late {
			start = b.stretched(now, start)
		}
		cost := float64(j.pendingCount()) * b.effectivePieceCost(j.Params.ResultBytes)
		if !j.late {
			spare.limit(j, now.Add(start+time.Duration(j.callTime)))
		}
		if j.late && j.missing == j.Params.Pieces {
			if spare.takeExpiring(now.Add(start), j, cost) {
				b.needsSort = true
			} else if reason := j.missesStart(now.Add(start)); reason != "" {
				finished = append(finished, b.finishJob(j, proto.PiecesAnswer{
					Outcome: proto.PiecesRefused, QueuedFor: now.Sub(j.queuedAt), QueueDelay: start, RetryAfter: max(minRetryWait, start), Detail: reason,
				}))
				continue
			}
		}
		work += cost
	}
	return finished
}

func (b *Batcher) expireJobs(now time.Time) []FinishedJob {
	var finished []FinishedJob
	b.jobs = slices.DeleteFunc(b.jobs, func(j *Job) bool {
		if j.done {
			return true
		}
		if b.inputsExpired(now, j) {
			finished = append(finished, b.failExpired(now, j))
			return true
		}
		if !now.After(j.Deadline) {
			return false
		}
		finished = append(finished, b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesLate, QueuedFor: now.Sub(j.queuedAt), Detail: "the time for the stage was over in the queue"}))
		return true
	})
	for _, t := range b.targets {
		t.keptResults = slices.DeleteFunc(t.keptResults, func(k keptResult) bool {
			if now.Before(k.expiresAt) {
				return false
			}
			t.usedBytes -= k.bytes
			delete(b.resultTargets, k.handle)
			return true
		})
	}
	return finished
}
