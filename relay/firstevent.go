package relay

import "time"

// The caller of a stream leaves when its first event has not come after the longest of these: no goal or pause makes
// callers leave earlier than minCallerPatience.
const (
	minCallerPatience   = 2 * time.Second
	callerPatienceGoals = 4
	callerPatiencePause = 8
	// maxExpectedWorkShare is the fraction of the time until the first-event deadline that calls and the engine are expected to take at
	// most. Their times are learned from requests that run, so estimates that refuse all requests would never be corrected.
	maxExpectedWorkShare = 0.5
)

const reasonCallerLeaves = "the first event would come after the caller has left"

// callerPatience returns how long the caller of a stream waits for its first event.
func (f *flow) callerPatience() time.Duration {
	return max(minCallerPatience, callerPatienceGoals*f.route.LatencyGoal, callerPatiencePause*f.route.MaxPause)
}

// expectsFirstEvent reports whether the caller waits for the first event of a stream, and leaves without it. A caller
// that resumes a stream has a part of the answer already.
func (f *flow) expectsFirstEvent() bool {
	return f.route.Kind == routeStream && f.route.LatencyGoal > 0 && !f.committed && f.req.After == 0
}

// firstEventDeadline returns when the first event of a stream, or a refusal, must be sent to reach the caller before it
// leaves. For other requests, and for streams that have begun, it is the deadline of the request.
func (f *flow) firstEventDeadline() time.Time {
	if !f.expectsFirstEvent() {
		return f.deadline
	}
	leaves := f.startedAt.Add(f.callerPatience() - responseMargin)
	if leaves.Before(f.deadline) {
		return leaves
	}
	return f.deadline
}

// firstEventTimeLeft returns the time until the caller leaves without an answer.
func (f *flow) firstEventTimeLeft() time.Duration {
	return f.firstEventDeadline().Sub(f.server.clock.Now())
}

// pathTime is the expected time from the start of a stage, or of the engine's work, to the first event.
type pathTime struct{ queue, work time.Duration }

func (t pathTime) total() time.Duration { return t.queue + t.work }

// pathFrom returns the average time from the start of a stage to the first event, by the queues of late jobs or those of
// jobs in time.
func (f *flow) pathFrom(stage int, late bool) pathTime {
	longest := pathTime{}
	found := false
	for i := range f.route.Stages {
		if f.pieceCount(i) > 0 && contains(f.route.Stages[i].DependsOn, stage) {
			if next := f.pathFrom(i, late); !found || next.total() > longest.total() {
				longest, found = next, true
			}
		}
	}
	if !found {
		longest.work = f.meanTimeToFirstEvent()
	}
	pool := f.route.Stages[stage].Pool
	longest.queue += f.stageQueue(pool, late)
	longest.work += f.server.callTimes.mean(pool, f.stageCallTime(stage))
	return longest
}

// stageQueue returns the expected queueing time in a pool of stages. Late jobs wait behind those in time.
func (f *flow) stageQueue(pool string, late bool) time.Duration {
	queue := f.server.pieces.QueueDelay(pool, f.rank)
	if late {
		queue = max(queue, f.server.pieces.lateQueueDelay(pool))
	}
	return queue
}

// meanTimeToFirstEvent returns the average time to the first event once the stages are done.
func (f *flow) meanTimeToFirstEvent() time.Duration {
	return f.server.firstEventTimes.mean(f.route.Name, initialFirstEventTime) + f.ownPromptTime()
}

// remainingPath returns the average time to the first event through the stages that have not started. repeated counts
// all stages, as if none had run.
func (f *flow) remainingPath(late, repeated bool) pathTime {
	longest := pathTime{work: f.meanTimeToFirstEvent()}
	for i := range f.route.Stages {
		started := !repeated && i < len(f.stageResults) && f.stageResults[i].requested
		if f.pieceCount(i) == 0 || started {
			continue
		}
		path := f.pathFrom(i, late)
		if !repeated && f.anyStageDone() && f.dependenciesDone(i) {
			// The batcher knows its queue better than the last report, and refuses the stage by it.
			path.queue -= f.stageQueue(f.route.Stages[i].Pool, late)
		}
		if path.total() > longest.total() {
			longest = path
		}
	}
	longest.work = min(longest.work, time.Duration(maxExpectedWorkShare*float64(f.firstEventDeadline().Sub(f.startedAt))))
	return longest
}

// expectedFirstEvent returns when the first event is expected by the known queues and call times. A request that is late
// even with the queues of jobs in time waits behind them.
func (f *flow) expectedFirstEvent(repeated bool) time.Time {
	now := f.server.clock.Now()
	if expected := now.Add(f.remainingPath(false, repeated).total()); !expected.After(f.due) {
		return expected
	}
	return now.Add(f.remainingPath(true, repeated).total())
}

// refuseLeaving refuses a request whose first event would come after its caller has left, while no target has run it.
func (f *flow) refuseLeaving() *failure {
	if !f.expectsFirstEvent() || f.runs > 0 {
		return nil
	}
	expected := f.expectedFirstEvent(false)
	if !expected.After(f.firstEventDeadline()) {
		return nil
	}
	f.server.counts.leaving.Add(1)
	now := f.server.clock.Now()
	f.logInfo("request refused early", "reason", reasonCallerLeaves, "expected", formatDuration(expected.Sub(now)), "left", formatDuration(f.firstEventTimeLeft()),
		"queue", formatDuration(f.remainingPath(true, false).queue), "workspace", f.workspace, "rank", f.rank)
	return f.notRunFailure(f.queueRetryAfter(0, expected.Sub(f.firstEventDeadline())), reasonCallerLeaves)
}
