package core

import (
	"time"

	"emberlead/proto"
)

type claimState int

const (
	claimNone claimState = iota
	claimPending
	claimHeld
	claimSettled
)

// attempt is an attempt in progress at a target.
type attempt struct {
	id        proto.AttemptID
	pool      *pool
	target    *target
	startedAt time.Time
	expected  float64 // average service time in seconds
	prefix    string
	moving    bool
}

// request is the state of one request. It is guarded by the lock of its shard.
type request struct {
	id         proto.RequestID
	workspace  string
	weight     float64
	service    *proto.Service
	objective  proto.Objective
	generation proto.Generation
	key        proto.Key
	hasKey     bool
	repeatable bool
	arrived    time.Time
	deadline   time.Time
	prefix     string
	input      []byte
	wantStream bool

	stage          int
	failedAttempts int
	attemptCount   int
	attempts       map[int]*attempt
	ticket         *Ticket
	pools          []*pool
	claim          claimState
	// possibleStarts counts the attempts that may have started at a target.
	possibleStarts int
	// unsafeStarts counts those of them at stages that may run only once.
	unsafeStarts int
	done         bool
	// commitments holds the work that the pool of each stage still counts for this request.
	commitments []commitment
	// ran is set if at least one stage is known to have run.
	ran         bool
	hedged      bool
	exclude     string
	offset      int
	text        []byte
	cacheHandle string // handle of the KV cache that the next attempt imports
	lastStatus  AttemptStatus
	reason      string
}

func (r *request) stageSpec() *proto.Stage { return &r.service.Stages[r.stage] }

func (r *request) pool() *pool { return r.pools[r.stage] }

func (r *request) mayRepeat() bool {
	return r.stageSpec().MayRepeat(r.pool().kind, r.repeatable)
}

// runsOnce reports whether any stage of the request may run only once.
func (r *request) runsOnce() bool {
	for i := range r.service.Stages {
		if !r.service.Stages[i].MayRepeat(r.pools[i].kind, r.repeatable) {
			return true
		}
	}
	return false
}

func (r *request) isLastStage() bool { return r.stage == len(r.service.Stages)-1 }

// outcome returns what is known about a request that ends without an answer.
func (r *request) outcome() proto.Outcome {
	switch {
	case r.possibleStarts == 0:
		return proto.OutcomeNotRun
	case r.ran && r.stage == len(r.service.Stages)-1 && r.lastStatus == StatusFailed:
		return proto.OutcomeRan
	}
	return proto.OutcomeMayHaveRun
}

func removeIfDone(items map[proto.RequestID]*request, r *request) {
	if r.done {
		delete(items, r.id)
	}
}

// remaining returns the expected time from a free target at the given stage to the end, without queueing.
func (e *Engine) remaining(r *request, from int) time.Duration {
	sum := 0.0
	for i := from; i < len(r.service.Stages); i++ {
		mean, _, known := e.estimates.lookup(r.service.Name, r.service.Stages[i].Name)
		if known {
			sum += mean
		}
	}
	return seconds(sum)
}

// expectedWork returns the average slot time of each stage in seconds; 0 where it has not been learned.
func (e *Engine) expectedWork(r *request) []float64 {
	works := make([]float64, len(r.pools))
	for i := range r.pools {
		if mean, _, known := e.estimates.lookup(r.service.Name, r.service.Stages[i].Name); known {
			works[i] = mean
		}
	}
	return works
}

// commitWork registers the request's work with the pools. releaseCommitment removes the work of one stage.
func (e *Engine) commitWork(now time.Time, r *request, works []float64) {
	r.commitments = make([]commitment, len(works))
	for i, work := range works {
		if work > 0 {
			r.commitments[i] = r.pools[i].commit(now, r.deadline.Add(-e.remaining(r, i)), work)
		}
	}
}

func (r *request) releaseCommitment(now time.Time, stage int) {
	if r.commitments != nil && r.commitments[stage].work > 0 {
		r.pools[stage].release(now, r.commitments[stage])
		r.commitments[stage].work = 0
	}
}

// queueDelay returns the longest expected wait among the queues from the given stage on.
func (e *Engine) queueDelay(now time.Time, r *request, from int) time.Duration {
	longest := time.Duration(0)
	for i := from; i < len(r.pools); i++ {
		latest := r.deadline.Add(-e.remaining(r, i))
		longest = max(longest, r.pools[i].estimateWait(now, r.workspace, latest))
	}
	return longest
}
