package relay

import (
	"cmp"
	"slices"
	"time"

	"emberlead/proto"
)

// Figures of batching.
const (
	// pieceTries is how often the pieces of one stage are sent anew after a call that failed.
	pieceTries = 3
	// crossCalls is for how many full calls' time a job waits for a target in the zone of its inputs: one of them is free
	// again within a call's length, and what crosses zones is paid for.
	crossCalls = 1.2
	// spareCalls is how many calls' time a less urgent job must have left to leave the last idle target to others. With
	// two, each kind of request of a customer whose shortest goal is three calls' time earned 0.005 to 0.012 more of its
	// worth on days of faults.
	spareCalls = 2
	// bulkInputs is from how many bytes of inputs on their zone matters.
	bulkInputs = 50_000
	// wholeRoom is the part of a target's room up to which a job is begun with all of its pieces or not at all: a larger
	// one would wait for long. Between a half and nine tenths the worth of all requests is the same.
	wholeRoom = 0.5
	// rankShare is the part of its goal by which a job's turn comes later for each step of rank. Between a fifth and a
	// half the worth of all requests changes by under a hundredth; with more, the least urgent wait to their end in a
	// burst, and with less the most urgent are late beside them.
	rankShare = 0.4
	// begunLead is by how many empty calls' time the turn of a request comes earlier for which work was done before: what
	// it has taken up so far, room above all, is given back sooner.
	begunLead = 1.5
	// overdueAt is how many times its expected time a call may take before its pieces are queued again.
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
	retryFloor = 300 * time.Millisecond
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
	// hold is how long a result takes up room on average, from its call's start until it is freed.
	hold float64
}

// NewBatcher returns a batcher without targets.
func NewBatcher(spec proto.BatchSpec) *Batcher {
	b := &Batcher{spec: spec, targets: map[string]*batchTarget{}, model: newCallModel(spec), kept: map[string]*batchTarget{}}
	b.hold = holdCalls * b.fullCall(0)
	return b
}

// fullCall is the time of a call full of pieces with results of such a size.
func (b *Batcher) fullCall(bytes int) float64 {
	return b.model.callCost() + float64(b.spec.Most)*b.model.pieceCost(bytes)
}

// SetSpec takes over a changed description of the pool.
func (b *Batcher) SetSpec(spec proto.BatchSpec) {
	b.spec = spec
	b.model.respec(spec)
}

// SetTargets takes over the targets that may get new work; calls at work elsewhere go on.
func (b *Batcher) SetTargets(specs []proto.RelayTarget) {
	listed := map[string]bool{}
	for _, s := range specs {
		listed[s.ID] = true
		if t := b.targets[s.ID]; t != nil {
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
}

func (b *Batcher) dropTarget(id string, t *batchTarget) {
	delete(b.targets, id)
	for _, k := range t.leaves {
		delete(b.kept, k.handle)
	}
}

// share is the target time that a piece costs in a full call, or that its result takes of the target's room if that
// is more.
func (b *Batcher) share(bytes int) float64 {
	work := b.model.callCost()/float64(max(1, b.spec.Most)) + b.model.pieceCost(bytes)
	if b.spec.Room == 0 {
		return work
	}
	return max(work, b.hold*float64(bytes)/float64(b.spec.Room))
}

// Wait is the time until a job with such a turn would begin, from the work ahead of it and the targets in service. One
// that is left out for a while counts from then on: a pool that refused one call each is not out of service.
func (b *Batcher) Wait(now, turn time.Time) time.Duration {
	free := b.capacity(now)
	if len(free) == 0 {
		return time.Minute
	}
	work := 0.0
	for _, j := range b.jobs {
		if j.left() > 0 && !j.done && (!j.late || turn.Sub(now) >= allTurns) && !j.order.After(turn) {
			work += float64(j.left()) * b.share(j.Ask.Bytes)
		}
	}
	return free.taken(work)
}

// freeTarget is when a target can begin a call, in nanoseconds from now, and its pace.
type freeTarget struct{ in, pace float64 }

// capacity is when the targets in service can begin a call, the first one at the front.
type capacity []freeTarget

func (b *Batcher) capacity(now time.Time) capacity {
	free := make(capacity, 0, len(b.targets))
	for _, t := range b.targets {
		if !t.spec.Leaving {
			free = append(free, freeTarget{b.freeIn(now, t), t.pace})
		}
	}
	slices.SortFunc(free, func(x, y freeTarget) int { return cmp.Compare(x.in, y.in) })
	return free
}

func (b *Batcher) freeIn(now time.Time, t *batchTarget) float64 {
	in := max(0, float64(t.outTo.Sub(now)))
	if t.call != nil {
		in = max(in, float64(t.call.Began.Add(t.call.Expected).Sub(now)))
	}
	return in
}

// taken is after what time the targets have taken up an amount of work, each from when it is free.
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

// Queue is how long a job like this one would wait for its turn if it came now.
func (b *Batcher) Queue(now time.Time, j *Job) time.Duration {
	return b.Wait(now, now.Add(j.order.Sub(j.since)))
}

// length is how long a call with a job's pieces and a usual share of others takes.
func (b *Batcher) length(j *Job) float64 {
	n := float64(min(j.Ask.Pieces, b.spec.Most))
	own := b.model.callCost() + n*b.model.pieceCost(j.Ask.Bytes)
	return (own + b.fullCall(j.Ask.Bytes)) / 2
}

// Add queues a job, or returns the answer that refuses it because its results would not come in time.
func (b *Batcher) Add(now time.Time, j *Job) *proto.PiecesAnswer {
	j.since = now
	j.order = j.Due.Add(time.Duration(rankShare * float64(j.Ask.Rank) * float64(j.Ask.Goal)))
	if !j.Ask.First {
		j.order = j.order.Add(-time.Duration(begunLead * b.model.callCost()))
	}
	j.handles, j.missing = make([]string, j.Ask.Pieces), j.Ask.Pieces
	for piece := range j.Ask.Pieces {
		j.todo = append(j.todo, piece)
	}
	j.length = b.length(j)
	wait := b.Wait(now, j.order)
	finish := now.Add(wait + time.Duration(j.length))
	limit := j.End
	if j.Ask.First {
		reserve := rankReserve * float64(j.Ask.Rank) * float64(j.Due.Sub(now))
		limit = j.Due.Add(-time.Duration(reserve))
	}
	if finish.After(limit) && !(wait == 0 && j.End.After(finish)) && !b.canBeLate(now, j) {
		return &proto.PiecesAnswer{Fate: proto.PiecesRefused, Queue: wait, Wait: max(retryFloor, finish.Sub(limit)), Detail: "the queue of the pool is longer than the time left"}
	}
	b.jobs = append(b.jobs, j)
	b.resort = true
	return nil
}

// canBeLate tells whether a job that will not be in time is still made well before its result is of no use: with all
// that waits ahead of it, and as much again that may come.
func (b *Batcher) canBeLate(now time.Time, j *Job) bool {
	ahead := b.Wait(now, now.Add(allTurns))
	return time.Duration(lateMargin*float64(ahead)+j.length) < time.Duration(latePart*float64(j.End.Sub(now)))
}

// Next returns the calls to send now, and the jobs whose time is over.
func (b *Batcher) Next(now time.Time) ([]*Call, []JobEnd) {
	ends := b.expire(now)
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

// sort puts the jobs in their turn. Those that can no longer be in time come last, so that they do not make others
// late as well.
func (b *Batcher) sort(now time.Time) {
	for _, j := range b.jobs {
		late := !j.Ask.Begun && now.Add(time.Duration(j.length)).After(j.Due)
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

// giveUp ends the late jobs that will not be made in the time for which their results are of use, so that their callers
// hear of it now. The jobs are in the order of their turns, so the late ones come last.
func (b *Batcher) giveUp(now time.Time) []JobEnd {
	if now.Sub(b.lastLook) < giveUpEvery {
		return nil
	}
	b.lastLook = now
	free := b.capacity(now)
	if len(free) == 0 {
		return nil
	}
	var ends []JobEnd
	work := 0.0
	for _, j := range b.jobs {
		j.length = b.length(j)
		if j.done || j.left() == 0 {
			continue
		}
		if j.late && j.missing == j.Ask.Pieces {
			if start := free.taken(work); now.Add(start + time.Duration(j.length)).After(j.End) {
				ends = append(ends, b.end(j, proto.PiecesAnswer{
					Fate: proto.PiecesRefused, Queued: now.Sub(j.since), Queue: start, Wait: max(retryFloor, start), Detail: "more urgent work leaves no time for the stage",
				}))
				continue
			}
		}
		work += float64(j.left()) * b.share(j.Ask.Bytes)
	}
	return ends
}

func (b *Batcher) expire(now time.Time) []JobEnd {
	var ends []JobEnd
	b.jobs = slices.DeleteFunc(b.jobs, func(j *Job) bool {
		if j.done {
			return true
		}
		if !now.After(j.End) {
			return false
		}
		ends = append(ends, b.end(j, proto.PiecesAnswer{Fate: proto.PiecesLate, Queued: now.Sub(j.since), Detail: "the time for the stage was over in the queue"}))
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

func (b *Batcher) end(j *Job, a proto.PiecesAnswer) JobEnd {
	j.done = true
	return JobEnd{Job: j, Answer: a}
}

// Withdraw ends a request's jobs because nobody waits for them, and returns the results that were made already.
func (b *Batcher) Withdraw(request string, stage int) []string {
	var unused []string
	for _, j := range b.jobs {
		if j.Ask.Request != request || j.Ask.Stage != stage || j.done {
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
