package relay

import (
	"slices"
	"time"

	"emberlead/proto"
)

// Job is all pieces of one stage of one request.
type Job struct {
	Params proto.PiecesAsk
	// Due is when the stage should end for the answer to be in time, and End when its result is of no use any more.
	Due, Deadline time.Time

	since time.Time
	order time.Time
	// todo are the pieces that wait, and missing is how many have no result yet.
	todo    []int
	missing int
	tries   int
	handles []string
	zone    string
	done    bool
	exclude string
	// length is how long a call with its pieces and a usual share of others takes, in nanoseconds.
	length float64
	// inputsFreed says that the inputs were given up, so that no piece can be made again.
	inputsFreed bool
	// late says that the results can no longer be in time.
	late bool
	// alone says that calls with its pieces failed so often that the next one holds no other job's.
	alone bool
}

func (j *Job) left() int { return len(j.todo) }

// set takes a result and tells whether it was still missing.
func (j *Job) set(piece int, handle string) bool {
	if j.handles[piece] != "" {
		return false
	}
	j.handles[piece] = handle
	j.missing--
	j.todo = slices.DeleteFunc(j.todo, func(p int) bool { return p == piece })
	return true
}

// unset takes back a result that is lost, and queues its piece again.
func (j *Job) unset(piece int) {
	j.handles[piece] = ""
	j.missing++
	j.again(piece)
}

// again queues pieces that have no result.
func (j *Job) again(pieces ...int) {
	for _, piece := range pieces {
		if j.handles[piece] == "" && !slices.Contains(j.todo, piece) {
			j.todo = append(j.todo, piece)
		}
	}
}

// Call is one batch to be sent to a target.
type Call struct {
	Target    proto.RelayTarget
	Items     []CallItem
	StartedAt time.Time
	// Expected is how long the call should take.
	Expected time.Duration
	// Least is the time of an empty call as the configuration states it.
	BaseTime time.Duration

	// overdue says that its pieces were queued again, since it takes much longer than expected.
	overdue bool
	// void says that the target has started again since: whatever the call brings is of a run that is over.
	void bool
}

// CallItem is one piece of a job.
type CallItem struct {
	Job   *Job
	Piece int
}

// ItemResult is what a target said of one piece: a handle, or why there is none.
type ItemResult struct {
	Handle  string
	Outcome proto.PieceOutcome
}

// FinishedJob is a job that ended with its answer.
type FinishedJob struct {
	Job    *Job
	Answer proto.PiecesAnswer
}
