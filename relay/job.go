package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Job holds the pieces of one stage of a request.
type Job struct {
	Params proto.PiecesAsk
	// Due is when the stage should end for the answer to be in time, and Deadline when its result becomes useless.
	Due, Deadline time.Time
	// InputsExpire is when the first of the inputs expires; zero if that is not known.
	InputsExpire time.Time

	queuedAt time.Time
	sortTime time.Time
	// pending holds the queued pieces, and missing is the number of pieces without a result.
	pending    []int
	missing    int
	failures   int
	handles    []string
	resultZone string
	// firstResultAt is when the first result was made.
	firstResultAt time.Time
	done          bool
	avoidTarget   string
	// callTime is the time of a call with the pieces of the job and a typical number of others, in nanoseconds.
	callTime float64
	// inputsFreed is set once the inputs were released, after which no piece can be made again.
	inputsFreed bool
	// late is set if the results can no longer be in time.
	late bool
	// lateOnArrival is set if that was so when the job was added.
	lateOnArrival bool
	// expiring is set for a late job that goes before the others because its inputs expire, which costs none of them its due time.
	expiring bool
	// separate is set if so many calls with its pieces failed that the next holds no other job.
	separate bool
}

func (j *Job) pendingCount() int { return len(j.pending) }

// isLate reports whether the results can no longer be in time even if the job starts now.
func (j *Job) isLate(now time.Time) bool {
	return !j.Params.AnswerStarted && now.Add(time.Duration(j.callTime)).After(j.Due)
}

// setResult stores the result of a piece and reports whether it was missing.
func (j *Job) setResult(piece int, handle string) bool {
	if j.handles[piece] != "" {
		return false
	}
	j.handles[piece] = handle
	j.missing--
	j.pending = slices.DeleteFunc(j.pending, func(p int) bool { return p == piece })
	return true
}

// clearResult removes a lost result and queues its piece again.
func (j *Job) clearResult(piece int) {
	j.handles[piece] = ""
	j.missing++
	j.requeue(piece)
}

// requeue queues the given pieces unless they have a result or are queued already.
func (j *Job) requeue(pieces ...int) {
	for _, piece := range pieces {
		if j.handles[piece] == "" && !slices.Contains(j.pending, piece) {
			j.pending = append(j.pending, piece)
		}
	}
}

// Call is a batch of pieces to send to a target.
type Call struct {
	Target    proto.RelayTarget
	Items     []CallItem
	StartedAt time.Time
	// Expected is the expected time of the call.
	Expected time.Duration
	// BaseTime is the configured time of an empty call.
	BaseTime time.Duration

	// overdue is set once the pieces were queued again since the call takes much longer than expected.
	overdue bool
	// stale is set if the target has restarted since the call started, so that its results are lost.
	stale bool
}

// CallItem is one piece of a job.
type CallItem struct {
	Job   *Job
	Piece int
}

// ItemResult is the result of one piece: its handle, or the reason why there is none.
type ItemResult struct {
	Handle  string
	Outcome proto.PieceOutcome
}

// FinishedJob is a job that ended, with its answer.
type FinishedJob struct {
	Job    *Job
	Answer proto.PiecesAnswer
	// InputsExpired is set if the job ended because its inputs expired in the queue.
	InputsExpired bool
}
