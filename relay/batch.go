package relay

import (
	"time"

	"emberlead/proto"
)

// Limits and weights of batching.
const (
	// maxFailedCalls is the number of failed calls after which the pieces of a stage are given up: three targets that
	// fail one after the other have a common cause, and the request's deadline has passed by then.
	maxFailedCalls = 3
	// separateAfterFailures is the number of failed calls after which a job's pieces get a call of their own. A piece that crashes its
	// target then fails alone, and the jobs that shared its calls succeed on their third one. After the first failure pieces are still
	// batched with others: most targets fail for reasons of their own, and calls with few pieces take as long as full ones.
	separateAfterFailures = maxFailedCalls - 1
	// zoneWaitCalls is for how many full calls a job waits for a target in the zone of its inputs: one becomes idle
	// within one call, and traffic between zones costs money.
	zoneWaitCalls = 1.2
	// minSpareCalls is how many call times a less urgent job must have left to leave the last idle target to others.
	minSpareCalls = 2
	// minBulkInputBytes is the size of inputs from which their zone affects placement.
	minBulkInputBytes = 50_000
	// maxWholeJobShare is the fraction of a target's result storage up to which a job starts only with room for all of
	// its pieces. Larger jobs would wait too long.
	maxWholeJobShare = 0.5
	// rankDelayShare is the fraction of its latency goal by which a job is moved back in the queue per step of rank.
	// With much more the least urgent would wait until their deadlines in a burst.
	rankDelayShare = 0.4
	// startedLeadCalls is by how many empty calls a job is moved ahead in the queue if work was already done for its
	// request. What the request holds, above all result storage, is then released sooner.
	startedLeadCalls = 1.5
	// overdueFactor is how many times its expected time a call may take before its pieces are queued again: beyond
	// twice, a second call finishes first more often than not.
	overdueFactor = 2.2
	// unknownExpiryShare is the fraction of the lifetime of results after which unknown ones no longer count: most are
	// freed long before they expire.
	unknownExpiryShare = 0.5
	// initialHoldCalls is the initial estimate, in full calls, of how long a result occupies storage: its own call and
	// that of the next stage. holdWeight is the weight of one observation.
	initialHoldCalls = 2
	holdWeight       = 0.05
	// rankReserveShare is the fraction of its time that a job must have to spare per step of rank to be admitted.
	rankReserveShare = 0.1
	// lateWorkFactor and lateTimeShare decide whether a late job is accepted: with lateWorkFactor times the work ahead
	// of it, since more urgent work keeps arriving, it must be done within lateTimeShare of the time until its
	// deadline. A refused caller would have to wait for at least as long, and half of those that retry late fail.
	lateWorkFactor = 2
	lateTimeShare  = 0.5
	// refuseLateInterval is how often the queue is searched for jobs that cannot meet their deadlines, which takes time
	// proportional to its length. Callers learn of a refusal that much later.
	refuseLateInterval = 50 * time.Millisecond
	// queueEnd is a position behind all other jobs, late ones included.
	queueEnd = time.Hour
	// minRetryWait is the shortest retry time that a refusal names.
	minRetryWait = 300 * time.Millisecond
	// noRoomBackoff is how long a target without room for results is skipped: results are freed every 20 ms.
	noRoomBackoff = 100 * time.Millisecond
	// remeasureInterval is after what time without a call a target is tried again although others seem to be faster: its slowdown may
	// date from a disturbance that is over. remeasureSlack is how many times the expected time of that call a job must have left.
	remeasureInterval = 5 * time.Second
	remeasureSlack    = 2
	// minCallBackoff and maxCallBackoff limit how long a target is skipped after a failed call.
	minCallBackoff = 250 * time.Millisecond
	maxCallBackoff = 3 * time.Second
)

type batchTarget struct {
	spec     proto.RelayTarget
	call     *Call
	slowdown float64
	// calledAt is when the latest call started; zero before the first.
	calledAt            time.Time
	consecutiveFailures int
	skippedUntil        time.Time
	// backoffUntil is the end of the backoff that the target asked for.
	backoffUntil time.Time
	// limit is the number of requests per second that the target accepts, if limited, and bucket counts them.
	limit    float64
	hasLimit bool
	bucket   tokenBucket
	// usedBytes are the bytes of results that are kept or being made, and unknownBytes those of other results found at unknownSince.
	usedBytes    int64
	unknownBytes int64
	unknownSince time.Time
	keptResults  []keptResult
}

type keptResult struct {
	handle    string
	bytes     int64
	expiresAt time.Time
	// startedAt is when the call that made the result started.
	startedAt time.Time
}

// Batcher fills the calls to the targets of one pool from the jobs of all requests. It does no I/O: its caller sends
// the calls and reports their outcomes.
type Batcher struct {
	spec          proto.BatchSpec
	targets       map[string]*batchTarget
	jobs          []*Job
	model         *callModel
	resultTargets map[string]*batchTarget
	// lastRefuseLate is when the queue was last searched for jobs that cannot meet their deadlines. needsSort is set if
	// the order of the jobs may have changed.
	lastRefuseLate time.Time
	needsSort      bool
	// startedAt is when the first job was added.
	startedAt time.Time
	// urgentWork is the work of jobs that could be in time when they arrived.
	urgentWork arrivalRate
	// meanHoldTime is the mean time from the start of a result's call until the result is freed.
	meanHoldTime float64
	// isBlocked reports whether a request must not be worked on.
	isBlocked func(proto.RequestDigest) bool
	// liveShare is the fraction of the rate limits of targets that this batcher may use.
	liveShare float64
}

// BatcherOption configures a Batcher.
type BatcherOption func(*Batcher)

// WithBlockedRequests makes the batcher fail the jobs of requests that must not be worked on.
func WithBlockedRequests(isBlocked func(proto.RequestDigest) bool) BatcherOption {
	return func(b *Batcher) { b.isBlocked = isBlocked }
}

// NewBatcher returns a batcher without targets.
func NewBatcher(spec proto.BatchSpec, options ...BatcherOption) *Batcher {
	b := &Batcher{spec: spec, liveShare: 1, targets: map[string]*batchTarget{}, model: newCallModel(spec), resultTargets: map[string]*batchTarget{}}
	b.meanHoldTime = initialHoldCalls * b.fullCall(0)
	b.isBlocked = func(proto.RequestDigest) bool { return false }
	for _, option := range options {
		option(b)
	}
	return b
}

// fullCall returns the time of a call full of pieces with results of the given size.
func (b *Batcher) fullCall(bytes int) float64 {
	return b.model.callCost() + float64(b.spec.MaxPieces)*b.model.pieceCost(bytes)
}

// SetSpec replaces the specification of the pool.
func (b *Batcher) SetSpec(spec proto.BatchSpec) {
	b.spec = spec
	b.model.updateSpec(spec)
}

// SetTargets replaces the targets that may get new calls. Calls at other targets continue, except those at a target
// that has restarted. It returns the jobs that end as a result.
func (b *Batcher) SetTargets(specs []proto.RelayTarget) []FinishedJob {
	var finished []FinishedJob
	listed := map[string]bool{}
	for _, s := range specs {
		listed[s.ID] = true
		t := b.targets[s.ID]
		if t != nil && s.StartedAt.After(t.spec.StartedAt) {
			finished = append(finished, b.discardRun(t)...)
			t = nil
		}
		if t != nil {
			t.spec = s
			continue
		}
		b.targets[s.ID] = &batchTarget{spec: s, slowdown: 1}
	}
	for id, t := range b.targets {
		if !listed[id] && t.call == nil {
			b.dropTarget(id, t)
		}
		t.spec.Leaving = !listed[id]
	}
	return finished
}

func (b *Batcher) dropTarget(id string, t *batchTarget) {
	delete(b.targets, id)
	for _, k := range t.keptResults {
		delete(b.resultTargets, k.handle)
	}
}

// Add queues a job, or returns the refusal if its results would not be ready in time.
func (b *Batcher) Add(now time.Time, j *Job) *proto.PiecesAnswer {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	j.queuedAt = now
	j.sortTime = j.Due.Add(time.Duration(rankDelayShare * float64(j.Params.Rank) * float64(j.Params.LatencyGoal)))
	if !j.Params.NoWorkDone {
		j.sortTime = j.sortTime.Add(-time.Duration(startedLeadCalls * b.model.callCost()))
	}
	j.handles, j.missing = make([]string, j.Params.Pieces), j.Params.Pieces
	for piece := range j.Params.Pieces {
		j.pending = append(j.pending, piece)
	}
	j.callTime = b.callTime(j)
	if b.noAllowedTarget(j) {
		return &proto.PiecesAnswer{Outcome: proto.PiecesRefused, RetryAfter: unknownPoolRetryAfter, Detail: reasonNoTargetInRegions}
	}
	wait := b.EstimateWait(now, j.sortTime)
	if j.lateOnArrival = j.isLate(now); j.lateOnArrival {
		wait = b.estimateLateWait(now, j.sortTime)
	}
	finish := now.Add(wait + time.Duration(j.callTime))
	limit := j.Deadline
	if j.Params.NoWorkDone {
		reserve := rankReserveShare * float64(j.Params.Rank) * float64(j.Due.Sub(now))
		limit = j.Due.Add(-time.Duration(reserve))
	}
	if j.isLate(now) && j.expiresBefore(now.Add(wait)) {
		return &proto.PiecesAnswer{Outcome: proto.PiecesRefused, QueueDelay: wait, RetryAfter: max(minRetryWait, wait), Detail: reasonInputsWouldExpire}
	}
	if finish.After(limit) && !(wait == 0 && j.Deadline.After(finish)) && !b.mayBeLate(now, j) {
		return &proto.PiecesAnswer{Outcome: proto.PiecesRefused, QueueDelay: wait, RetryAfter: max(minRetryWait, finish.Sub(limit)), Detail: "the queue of the pool is longer than the time left"}
	}
	if !j.lateOnArrival {
		b.urgentWork.add(now, float64(j.pendingCount())*b.effectivePieceCost(j.Params.ResultBytes))
	}
	b.jobs = append(b.jobs, j)
	b.needsSort = true
	return nil
}

// noAllowedTarget reports whether no target is in the regions that a job is restricted to.
func (b *Batcher) noAllowedTarget(j *Job) bool {
	for _, t := range b.targets {
		if !t.spec.Leaving && j.Params.AllowedRegions.Allows(t.spec.Region) {
			return false
		}
	}
	return j.Params.AllowedRegions.Restricted
}

// NextCalls returns the calls to send now and the jobs that ended.
func (b *Batcher) NextCalls(now time.Time) ([]*Call, []FinishedJob) {
	finished := b.expireJobs(now)
	finished = append(finished, b.failBlockedJobs()...)
	b.requeueOverdue(now)
	b.sortJobs(now)
	finished = append(finished, b.refuseLateJobs(now)...)
	var calls []*Call
	for {
		c := b.nextCall(now)
		if c == nil {
			return calls, finished
		}
		calls = append(calls, c)
	}
}

func (b *Batcher) finishJob(j *Job, a proto.PiecesAnswer) FinishedJob {
	j.done = true
	a.InputsFreed = j.inputsFreed
	return FinishedJob{Job: j, Answer: a}
}

// Withdraw cancels the jobs of a request because nobody waits for them, and returns the results that were already made.
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

// Queued returns the number of jobs and of pieces in the queue.
func (b *Batcher) Queued() (jobs, pieces int) {
	for _, j := range b.jobs {
		if !j.done && j.pendingCount() > 0 {
			jobs++
			pieces += j.pendingCount()
		}
	}
	return jobs, pieces
}

// Busy reports whether there are jobs, so that NextCalls must be called again later.
func (b *Batcher) Busy() bool { return len(b.jobs) > 0 }
