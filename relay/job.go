package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Job holds the pieces of one stage of a request.
type Job struct {
	Params proto.PiecesAsk
	// Due is when the stage should end for the answer to be in time, and Deadline is when its result becomes useless.
	Due, Deadline time.Time

	since time.Time
	order time.Time
	// todo holds the queued pieces, and missing is the number of pieces without a result.
	todo    []int
	missing int
	tries   int
	handles []string
	zone    string
	done    bool
	exclude string
	// length is the time of a call with the pieces of the job and a typical number of others, in nanoseconds.
	length float64
	// inputsFreed is set once the inputs were released, after which no piece can be made again.
	inputsFreed bool
	// late is set if the results can no longer be in time.
	late bool
	// alone is set if so many calls with its pieces failed that the next one holds no other job.
	alone bool
}

func (j *Job) left() int { return len(j.todo) }

// set stores the result of a piece and reports whether it was missing.
func (j *Job) set(piece int, handle string) bool {
	if j.handles[piece] != "" {
		return false
	}
	j.handles[piece] = handle
	j.missing--
	j.todo = slices.DeleteFunc(j.todo, func(p int) bool { return p == piece })
	return true
}

// unset removes a lost result and queues its piece again.
func (j *Job) unset(piece int) {
	j.handles[piece] = ""
	j.missing++
	j.again(piece)
}

// again queues the given pieces unless they have a result or are queued already.
func (j *Job) again(pieces ...int) {
	for _, piece := range pieces {
		if j.handles[piece] == "" && !slices.Contains(j.todo, piece) {
			j.todo = append(j.todo, piece)
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

	// overdue is set once the pieces were queued again because the call takes much longer than expected.
	overdue bool
	// void is set if the target has restarted since the call started, so that its results are lost.
	void bool
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
}
