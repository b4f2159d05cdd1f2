package relay

import (
	"math"
	"time"

	"emberlead/proto"
)

const (
	// inputFetchTime is how long before its inputs expire a job must start: its target fetches them when the call
	// arrives, a few milliseconds after it was sent, or tens on a busy VM.
	inputFetchTime = 50 * time.Millisecond
	// minReaderShare is the fraction of the lifetime of results up to which the next stage's queue is never too long, as
	// its calls may be expected to take longer than results live.
	minReaderShare = 0.5
	// maxExpiredRebuilds is how many times the stages of a request are run again after results have expired.
	maxExpiredRebuilds = 1
)

// Reasons why inputs that expire end a job or a request.
const (
	reasonInputsExpired     = "its inputs expired in the queue"
	reasonInputsWouldExpire = "its inputs would expire in the queue"
	reasonResultsWouldLapse = "the results of a stage would expire in the queue of the next one"
	reasonNoTimeLeft        = "more urgent work leaves no time for the stage"
)

// expiresBefore reports whether the inputs of a job can no longer be fetched by a call that starts at the given time.
func (j *Job) expiresBefore(startAt time.Time) bool {
	return !j.InputsExpire.IsZero() && startAt.After(j.InputsExpire.Add(-inputFetchTime))
}

// missesStart returns why a late job that would start at the given time is refused now, or "".
func (j *Job) missesStart(startAt time.Time) string {
	switch {
	case startAt.Add(time.Duration(j.callTime)).After(j.Deadline):
		return reasonNoTimeLeft
	case j.expiresBefore(startAt):
		return reasonInputsWouldExpire
	}
	return ""
}

// inputsExpired reports whether a job has pieces that no call can make any more, since their inputs have expired.
func (b *Batcher) inputsExpired(now time.Time, j *Job) bool {
	return j.pendingCount() > 0 && j.expiresBefore(now) && !b.allInCalls(j, j.pending...)
}

func (b *Batcher) failExpired(now time.Time, j *Job) FinishedJob {
	finished := b.finishJob(j, proto.PiecesAnswer{Outcome: proto.PiecesLost, QueuedFor: now.Sub(j.queuedAt), Detail: reasonInputsExpired})
	finished.InputsExpired = true
	return finished
}

// spareTime is how much later all jobs that can be in time may start.
type spareTime struct {
	left  float64
	speed float64
}

func (b *Batcher) newSpareTime(free availability) *spareTime {
	s := &spareTime{left: math.Inf(1)}
	for _, f := range free {
		s.speed += 1 / f.slowdown
	}
	return s
}

// limit takes into account a job that can be in time and is expected to end at the given time.
func (s *spareTime) limit(j *Job, end time.Time) {
	if !j.Params.AnswerStarted && !j.expiring {
		s.left = min(s.left, float64(j.Due.Sub(end)))
	}
}

// takeExpiring moves a late job, which would start at the given time, before the others if its inputs expire until then
// and no other job misses its due time for it. cost is the target time of its pieces.
func (s *spareTime) takeExpiring(startAt time.Time, j *Job, cost float64) bool {
	delay := cost / s.speed
	if !j.expiresBefore(startAt) || delay > s.left {
		return false
	}
	s.left -= delay
	j.expiring = true
	return true
}

// resultLifetime returns how long targets keep the results of a stage; 0 if it is not limited.
func (f *flow) resultLifetime(stage int) time.Duration {
	table := f.server.tables.Current()
	if table == nil {
		return 0
	}
	spec := table.Routing().Pools[f.route.Stages[stage].Pool]
	if spec == nil || spec.Batch == nil {
		return 0
	}
	return spec.Batch.ResultLifetime
}

// resultsExpireAt returns when the results of a stage expire of which the first was made some time ago.
func (f *flow) resultsExpireAt(stage int, age time.Duration) time.Time {
	lifetime := f.resultLifetime(stage)
	if lifetime == 0 {
		return time.Time{}
	}
	return f.server.clock.Now().Add(lifetime - age)
}

// resultsExpired reports whether results that the request still needs have expired.
func (f *flow) resultsExpired() bool {
	f.freeMu.Lock()
	defer f.freeMu.Unlock()
	now := f.server.clock.Now()
	for i := range f.stageResults {
		r := &f.stageResults[i]
		if r.done && !r.freed && !r.expiresAt.IsZero() && !now.Before(r.expiresAt.Add(-inputFetchTime)) {
			return true
		}
	}
	return false
}

// refuseNextStages refuses a request before its next stages if its first event would come too late, or if the results
// would expire before they are read. The stages run in vain otherwise. A caller that has a part of the stream would lose it.
func (f *flow) refuseNextStages() *failure {
	if fail := f.refuseLeaving(); fail != nil {
		return fail
	}
	if f.committed || f.runs > 0 || f.req.After > 0 {
		return nil
	}
	late := f.expectedFirstEvent(false).After(f.due)
	for i := range f.route.Stages {
		if f.pieceCount(i) == 0 || i < len(f.stageResults) && f.stageResults[i].requested {
			continue
		}
		if pool, queue := f.tooSlowReader(i, late); pool != "" {
			f.server.counts.nextStageSlow.Add(1)
			f.logInfo("request refused early", "reason", reasonResultsWouldLapse, "pool", pool, "queue", formatDuration(queue), "kept", formatDuration(f.resultLifetime(i)),
				"workspace", f.workspace, "rank", f.rank)
			return f.notRunFailure(f.queueRetryAfter(0, queue-f.resultLifetime(i)), reasonResultsWouldLapse).as(refusedStageQueue)
		}
	}
	return nil
}

// tooSlowReader returns the pool that reads the results of a stage after they have expired, by its queue, or "".
func (f *flow) tooSlowReader(stage int, late bool) (pool string, queue time.Duration) {
	lifetime := f.resultLifetime(stage)
	if lifetime == 0 {
		return "", 0
	}
	for i := range f.route.Stages {
		if f.pieceCount(i) == 0 || !contains(f.route.Stages[i].DependsOn, stage) {
			continue
		}
		pool := f.route.Stages[i].Pool
		longest := max(time.Duration(minReaderShare*float64(lifetime)), lifetime-f.stageCallTime(i))
		if queue := f.stageQueue(pool, late); queue > longest {
			return pool, queue
		}
	}
	return "", 0
}
