package relay

import (
	"time"

	"emberlead/proto"
)

// Figures of batching.
const (
	// pieceTries is how often the pieces of one stage are sent anew after a call that failed: three targets that fail one
	// after the other have a common cause, and the request's time is over by then.
	pieceTries = 3
	// aloneAfter is after how many failed calls a job's pieces go in a call of their own. What ends targets by one of its
	// pieces fails then by itself, and those that were in the call with it are served by their third one. After the first
	// failure all go together again: most targets end by themselves, and calls for few pieces take as long as full ones.
	aloneAfter = pieceTries - 1
	// crossCalls is for how many full calls' time a job waits for a target in the zone of its inputs: one of them is free
	// again within a call's length, and what crosses zones is paid for.
	crossCalls = 1.2
	// spareCalls is how many calls' time a less urgent job must have left to leave the last idle target to others.
	spareCalls = 2
	// bulkInputs is from how many bytes of inputs on their zone matters.
	minBulkInputBytes = 50_000
	// wholeRoom is the part of a target's room up to which a job is begun with all of its pieces or not at all: a larger
	// one would wait for long.
	wholeRoom = 0.5
	// rankShare is the part of its goal by which a job's turn comes later for each step of rank; with much more the least
	// urgent would wait to their end in a burst.
	rankShare = 0.4
	// begunLead is by how many empty calls' time the turn of a request comes earlier for which work was done before: what
	// it has taken up so far, room above all, is given back sooner.
	begunLead = 1.5
	// overdueAt is how many times its expected time a call may take before its pieces are queued again: past twice, a
	// second call ends before the first one more often than not.
	overdueAt = 2.2
	// hiddenShare is the part of the time that results are kept unless they are freed, after which unknown ones count
	// for nothing: most are freed long before.
	hiddenShare = 0.5
	// holdCalls is for how many full calls' time a result takes up room before that is learnt: that of its own call, and
	// that of the next stage's. holdWeight is the weight of one result.
	holdCalls  = 2
	holdWeight = 0.05
	// rankReserve is the part of its time that a job must leave free for each step of priority to be admitted.
	rankReserve = 0.1
	// lateMargin and latePart bound what is taken although it will be late: with the work ahead of it so many times
	// over, as more urgent work goes on coming, it must be made within that part of the time for which its result is of
	// use. Its caller would be sent away for at least as long, and half of those who come back late fail.
	lateMargin = 2
	latePart   = 0.5
	// giveUpEvery is how often the queue is searched for jobs that wait in vain, which takes as long as the queue; a
	// caller hears of it that much later.
	giveUpEvery = 50 * time.Millisecond
	// allTurns is a turn after all others, late ones included.
	allTurns = time.Hour
	// retryFloor is the least time to come back that a refusal names.
	minRetryWait = 300 * time.Millisecond
	// roomWait is how long a target that had no room is left out: results are freed every 20 ms.
	roomWait = 100 * time.Millisecond
	// outBase and outMost bound how long a stage target is left out after a failed call.
	outBase = 250 * time.Millisecond
	outMost = 3 * time.Second
)

type batchTarget struct {
	spec  proto.RelayTarget
	call  *Call
	pace  float64
	inRow int
	outTo time.Time
	// restUntil is until when the target wants no call.
	restUntil time.Time
	// limit is how many requests a second the target takes, if it is limited, and allowed counts those.
	limit   float64
	limited bool
	allowed tokenBucket
	// room are the bytes of results that are kept or being made, and hidden those found to be kept beside at hiddenAt.
	room     int64
	hidden   int64
	hiddenAt time.Time
	leaves   []keptResult
}

type keptResult struct {
	handle string
	bytes  int64
	until  time.Time
	// since is when the call that made it began.
	since time.Time
}

// Batcher fills the calls to the targets of one pool from the jobs of all requests. It makes decisions only: a
// driver sends the calls and reports what came of them.
type Batcher struct {
	spec    proto.BatchSpec
	targets map[string]*batchTarget
	jobs    []*Job
	model   *callModel
	kept    map[string]*batchTarget
	// lastLook is when the queue was last searched for jobs that wait in vain, and resort says that the order of the
	// jobs may have changed.
	lastLook time.Time
	resort   bool
	// began is when the first job came.
	began time.Time
	// hold is how long a result takes up room on average, from its call's start until it is freed.
	hold float64
	// refuses tells which requests are not worked on.
	refuses func(proto.RequestDigest) bool
	// liveShare is the part of a target's limit that this batcher may use.
	liveShare float64
}

// BatcherOption changes a Batcher at construction.
type BatcherOption func(*Batcher)

// WithRefusals has the batcher end the jobs of requests that are not to be worked on.
func WithRefusals(refuses func(proto.RequestDigest) bool) BatcherOption {
	return func(b *Batcher) { b.refuses = refuses }
}

// NewBatcher returns a batcher without targets.
func NewBatcher(spec proto.BatchSpec, options ...BatcherOption) *Batcher {
	b := &Batcher{spec: spec, liveShare: 1, targets: map[string]*batchTarget{}, model: newCallModel(spec), kept: map[string]*batchTarget{}}
	b.hold = holdCalls * b.fullCall(0)
	b.refuses = func(proto.RequestDigest) bool { return false }
	for _, option := range options {
		option(b)
	}
	return b
}

// fullCall is the time of a call full of pieces with results of such a size.
func (b *Batcher) fullCall(bytes int) float64 {
	return b.model.callCost() + float64(b.spec.MaxPieces)*b.model.pieceCost(bytes)
}

// SetSpec takes over a changed description of the pool.
func (b *Batcher) SetSpec(spec proto.BatchSpec) {
	b.spec = spec
	b.model.respec(spec)
}

// SetTargets takes over the targets that may get new work; calls at work elsewhere go on, but for those to a target that
// has started again. It returns the jobs that end by that.
func (b *Batcher) SetTargets(specs []proto.RelayTarget) []FinishedJob {
	var ends []FinishedJob
	listed := map[string]bool{}
	for _, s := range specs {
		listed[s.ID] = true
		t := b.targets[s.ID]
		if t != nil && s.StartedAt.After(t.spec.StartedAt) {
			ends = append(ends, b.endRun(t)...)
			t = nil
		}
		if t != nil {
			t.spec = s
			continue
		}
		b.targets[s.ID] = &batchTarget{spec: s, pace: 1}
	}
	for id, t := range b.targets {
		if !listed[id] && t.call == nil {
			b.dropTarget(id, t)
		}
		t.spec.Leaving = !listed[id]
	}
	return ends
}

func (b *Batcher) dropTarget(id string, t *batchTarget) {
	delete(b.targets, id)
	for _, k := range t.leaves {
		delete(b.kept, k.handle)
	}
}

// Add queues a job, or returns the answer that refuses it because its results would not come in time.
func (b *Batcher) Add(now time.Time, j *Job) *proto.PiecesAnswer {
	if b.began.IsZero() {
		b.began = now
	}
	j.since = now
	j.order = j.Due.Add(time.Duration(rankShare * float64(j.Params.Rank) * float64(j.Params.LatencyGoal)))
	if !j.Params.NoWorkDone {
		j.order = j.order.Add(-time.Duration(begunLead * b.model.callCost()))
	}
	j.handles, j.missing = make([]string, j.Params.Pieces), j.Params.Pieces
	for piece := range j.Params.Pieces {
		j.todo = append(j.todo, piece)
	}
	j.length = b.length(j)
	if b.homeless(j) {
		return &proto.PiecesAnswer{Outcome: proto.PiecesRefused, RetryAfter: unknownPoolRetryAfter, Detail: reasonNoTargetInRegions}
	}
	wait := b.WaitTime(now, j.order)
	finish := now.Add(wait + time.Duration(j.length))
	limit := j.Deadline
	if j.Params.NoWorkDone {
		reserve := rankReserve * float64(j.Params.Rank) * float64(j.Due.Sub(now))
		limit = j.Due.Add(-time.Duration(reserve))
	}
	if finish.After(limit) && !(wait == 0 && j.Deadline.After(finish)) && !b.canBeLate(now, j) {
		return &proto.PiecesAnswer{Outcome: proto.PiecesRefused, QueueDelay: wait, RetryAfter: max(minRetryWait, finish.Sub(limit)), Detail: "the queue of the pool is longer than the time left"}
	}
	b.jobs = append(b.jobs, j)
	b.resort = true
	return nil
}

// homeless tells whether no target is in the regions that a job is bound to.
func (b *Batcher) homeless(j *Job) bool {
	for _, t := range b.targets {
		if !t.spec.Leaving && j.Params.AllowedRegions.Allows(t.spec.Region) {
			return false
		}
	}
	return j.Params.AllowedRegions.Restricted
}

// NextCalls returns the calls to send now, and the jobs whose time is over.
func (b *Batcher) NextCalls(now time.Time) ([]*Call, []FinishedJob) {
	ends := b.expire(now)
	ends = append(ends, b.refuseJobs()...)
	b.requeue(now)
	b.sort(now)
	ends = append(ends, b.giveUp(now)...)
	var calls []*Call
	for {
		c := b.fill(now)
		if c == nil {
			return calls, ends
		}
		calls = append(calls, c)
	}
}

func (b *Batcher) end(j *Job, a proto.PiecesAnswer) FinishedJob {
	j.done = true
	a.InputsFreed = j.inputsFreed
	return FinishedJob{Job: j, Answer: a}
}

// Withdraw ends a request's jobs because nobody waits for them, and returns the results that were made already.
func (b *Batcher) Withdraw(request string, stage int) []string {
	var unused []string
	for _, j := range b.jobs {
		if j.Params.RequestID != request || j.Params.Stage != stage || j.done {
			continue
		}
		j.done = true
		for _, h := range j.handles {
			if h != "" {
				unused = append(unused, h)
			}
		}
	}
	return unused
}

// Queued returns the number of jobs and of pieces that wait.
func (b *Batcher) Queued() (jobs, pieces int) {
	for _, j := range b.jobs {
		if !j.done && j.left() > 0 {
			jobs++
			pieces += j.left()
		}
	}
	return jobs, pieces
}

// Busy tells whether there are jobs, so that time can bring something to do.
func (b *Batcher) Busy() bool { return len(b.jobs) > 0 }
