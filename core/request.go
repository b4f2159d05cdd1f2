package core

import (
	"time"

	"emberlead/proto"
)

type claimState int

const (
	claimNone claimState = iota
	claimAsked
	claimHeld
	claimSettled
)

// attempt is one attempt in progress at a target.
type attempt struct {
	id       proto.AttemptID
	pool     *pool
	target   *target
	began    time.Time
	expected float64 // seconds, on average
	prefix   string
	moving   bool
}

// request is the state of one request; the lock of its shard guards it.
type request struct {
	id         proto.RequestID
	workspace  string
	weight     float64
	service    *proto.Service
	objective  proto.Objective
	generation proto.Generation
	key        proto.Key
	keyed      bool
	repeatable bool
	arrived    time.Time
	deadline   time.Time
	prefix     string
	input      []byte
	wantStream bool

	stage   int
	tries   int
	numbers int
	live    map[int]*attempt
	ticket  *Ticket
	pools   []*pool
	claim   claimState
	// possible counts the attempts that may have started at a target.
	possible int
	// unsafe counts those of them at a stage that may run only once.
	unsafe int
	done   bool
	// promised is the work that each stage's pool still counts for this request.
	promised []promised
	// ran says that some stage is known to have run.
	ran      bool
	hedged   bool
	exclude  string
	offset   int
	text     []byte
	handle   string // of the KV cache that the next attempt imports
	lastFate AttemptStatus
	reason   string
}

func (r *request) spec() *proto.Stage { return &r.service.Stages[r.stage] }

func (r *request) pool() *pool { return r.pools[r.stage] }

func (r *request) mayRepeat() bool {
	return r.spec().MayRepeat(r.pool().kind, r.repeatable)
}

// runsOnce tells whether some stage of the request may run only once.
func (r *request) runsOnce() bool {
	for i := range r.service.Stages {
		if !r.service.Stages[i].MayRepeat(r.pools[i].kind, r.repeatable) {
			return true
		}
	}
	return false
}

func (r *request) last() bool { return r.stage == len(r.service.Stages)-1 }

// outcome is what is certain about a request that ends without an answer.
func (r *request) outcome() proto.Outcome {
	switch {
	case r.possible == 0:
		return proto.OutcomeNotRun
	case r.ran && r.stage == len(r.service.Stages)-1 && r.lastFate == StatusFailed:
		return proto.OutcomeRan
	}
	return proto.OutcomeMayHaveRun
}

func forgetDone(items map[proto.RequestID]*request, r *request) {
	if r.done {
		delete(items, r.id)
	}
}

// remaining is the expected time from a free target at a stage to the end, without queueing.
func (e *Engine) remaining(r *request, from int) time.Duration {
	sum := 0.0
	for i := from; i < len(r.service.Stages); i++ {
		mean, _, known := e.estimates.of(r.service.Name, r.service.Stages[i].Name)
		if known {
			sum += mean
		}
	}
	return seconds(sum)
}

// works returns the slot time in seconds that each stage takes on average, 0 where that is not learnt yet.
func (e *Engine) works(r *request) []float64 {
	works := make([]float64, len(r.pools))
	for i := range r.pools {
		if mean, _, known := e.estimates.of(r.service.Name, r.service.Stages[i].Name); known {
			works[i] = mean
		}
	}
	return works
}

// promise notes the request's work with the pools; settle takes off what a stage was promised.
func (e *Engine) promise(now time.Time, r *request, works []float64) {
	r.promised = make([]promised, len(works))
	for i, work := range works {
		if work > 0 {
			r.promised[i] = r.pools[i].promise(now, r.deadline.Add(-e.remaining(r, i)), work)
		}
	}
}

func (r *request) settle(now time.Time, stage int) {
	if r.promised != nil && r.promised[stage].work > 0 {
		r.pools[stage].settle(now, r.promised[stage])
		r.promised[stage].work = 0
	}
}

// queueing is the expected wait in the queues of the stages from one on.
func (e *Engine) queueing(now time.Time, r *request, from int) time.Duration {
	longest := time.Duration(0)
	for i := from; i < len(r.pools); i++ {
		latest := r.deadline.Add(-e.remaining(r, i))
		longest = max(longest, r.pools[i].wait(now, r.workspace, latest))
	}
	return longest
}
