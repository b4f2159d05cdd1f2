package core

import (
	"fmt"
	"time"

	"emberlead/proto"
)

const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	minHedgeDelay = 20 * time.Millisecond
)

func (e *Engine) handleArrival(res *eventResult, a *Arrival) {
	s := e.snapshot.Load()
	service := s.Services[a.Service]
	workspace := s.Workspaces[a.Workspace]
	if service == nil || workspace == nil || !mayCall(service, a.Workspace) {
		res.emit(Finish{Request: a.ID, Generation: s.Generation, Failure: &proto.Failure{
			Kind: proto.FailureNotFound, Outcome: proto.OutcomeNotRun,
			Detail: fmt.Sprintf("workspace %q has no service %q", a.Workspace, a.Service),
		}})
		return
	}
	deadline := service.Deadline.Std()
	if a.Timeout > 0 {
		deadline = min(deadline, a.Timeout)
	}
	r := &request{
		id:         a.ID,
		workspace:  a.Workspace,
		weight:     workspace.Weight,
		service:    service,
		objective:  s.Objectives[a.Service],
		generation: s.Generation,
		key:        a.Key,
		hasKey:     a.Key != proto.Key{},
		repeatable: a.Repeatable && service.MayRepeat(),
		arrived:    res.now,
		deadline:   e.pauses.earliestArrival(res.now).Add(deadline),
		prefix:     a.Prefix,
		input:      a.Input,
		wantStream: a.Stream,
		attempts:   map[int]*attempt{},
	}
	for i := range service.Stages {
		r.pools = append(r.pools, e.poolByName(service.Stages[i].Pool))
	}
	e.stats.countRequest(a.Workspace)
	if refusal := e.admit(res, r, a.QuorumLost); refusal != nil {
		e.stats.recordEnd(r, res.now, refusal)
		res.emit(Finish{Request: a.ID, Failure: refusal, Generation: r.generation})
		return
	}
	e.requests.With(r.id, func(items map[proto.RequestID]*request) {
		items[r.id] = r
		e.addTimer(r.deadline, r.id, 0)
		e.begin(res, r)
		removeIfDone(items, r)
	})
}

func mayCall(s *proto.Service, workspace string) bool {
	if len(s.Workspaces) == 0 {
		return true
	}
	for _, w := range s.Workspaces {
		if w == workspace {
			return true
		}
	}
	return false
}

// admit rejects requests that cannot finish in time as early as possible: that costs no target time, and the caller can react at once.
func (e *Engine) admit(res *eventResult, r *request, quorumLost bool) *proto.Failure {
	if !res.now.Before(r.deadline) {
		return &proto.Failure{
			Kind: proto.FailureTooLate, Outcome: proto.OutcomeNotRun, RetryAfter: minRetryAfter,
			Detail: "the daemon was paused, and the request may have waited beyond its deadline",
		}
	}
	if quorumLost && r.hasKey && r.runsOnce() {
		return &proto.Failure{
			Kind: proto.FailureNoQuorum, Outcome: proto.OutcomeNotRun, RetryAfter: maxRetryAfter,
			Detail: "too few replicas are live to tell whether the key was used",
		}
	}
	if !e.tuning.Admission {
		return nil
	}
	queueDelay := e.queueDelay(res.now, r, 0)
	work := e.remaining(r, 0)
	if res.now.Add(queueDelay + work).Before(r.deadline) {
		return e.admitToPools(res, r, queueDelay)
	}
	kind := proto.FailureOverloaded
	if queueDelay == 0 {
		kind = proto.FailureTooLate
	}
	return &proto.Failure{
		Kind: kind, Outcome: proto.OutcomeNotRun,
		Detail:     fmt.Sprintf("expected %s of waiting and %s of work do not fit into %s", queueDelay.Round(time.Millisecond), work.Round(time.Millisecond), r.deadline.Sub(res.now)),
		RetryAfter: retryAfter(queueDelay),
	}
}

// admitToPools rejects a request that needs more of an overloaded pool than other requests waiting for it.
func (e *Engine) admitToPools(res *eventResult, r *request, queueDelay time.Duration) *proto.Failure {
	works := e.expectedWork(r)
	for i, p := range r.pools {
		if !p.admits(res.now, r.deadline.Add(-e.remaining(r, i)), r.workspace, works[i]) {
			return &proto.Failure{
				Kind: proto.FailureOverloaded, Outcome: proto.OutcomeNotRun,
				Detail:     fmt.Sprintf("pool %s is overloaded and others need less of it", p.name),
				RetryAfter: retryAfter(queueDelay + bucketWidth),
			}
		}
	}
	e.commitWork(res.now, r, works)
	return nil
}

func retryAfter(queueDelay time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, queueDelay))
}

// begin first claims the key if a stage may run only once, so that a rejected key is known before any stage runs.
func (e *Engine) begin(res *eventResult, r *request) {
	if r.hasKey && r.runsOnce() {
		r.claim = claimPending
		res.emit(Claim{Request: r.id, Key: r.key})
		return
	}
	e.enqueue(res, r)
}

func (e *Engine) enqueue(res *eventResult, r *request) {
	spec := r.stageSpec()
	mean, _, known := e.estimates.lookup(r.service.Name, spec.Name)
	if !known {
		mean = defaultServiceTime.Seconds()
	}
	r.ticket = &Ticket{
		Request:   r.id,
		Workspace: r.workspace,
		Weight:    r.weight,
		Deadline:  r.deadline,
		Remaining: e.remaining(r, r.stage),
		Need: Need{
			Prefix:      r.cachePrefix(),
			Zone:        e.zone,
			Model:       spec.Model,
			ServiceTime: mean,
			Exclude:     r.exclude, Deadline: r.deadline,
		},
	}
	res.grants = append(res.grants, r.pool().offer(res.now, r.ticket)...)
}

// cachePrefix returns the prefix of the request for engine pools, since only engines have a prefix cache.
func (r *request) cachePrefix() string {
	if r.pool().kind != proto.PoolEngine {
		return ""
	}
	return r.prefix
}

// handleGrant starts an attempt, unless the request has ended while its ticket was queued.
func (e *Engine) handleGrant(res *eventResult, g grant) {
	taken := false
	e.withRequest(g.ticket.Request, func(r *request) {
		if r.ticket != g.ticket || g.ticket.withdrawn {
			return
		}
		r.ticket = nil
		if !res.now.Before(r.deadline) {
			e.fail(res, r, proto.FailureDeadline, "the deadline has passed", 0)
			return
		}
		taken = true
		e.start(res, r, g)
	}, nil)
	if !taken {
		res.grants = append(res.grants, g.pool.returnGrant(res.now, g.target, g.ticket.Need.ServiceTime)...)
	}
}

func (e *Engine) start(res *eventResult, r *request, g grant) {
	r.attemptCount++
	spec := r.stageSpec()
	a := &attempt{
		id:        proto.AttemptID{Request: r.id, Stage: r.stage, Number: r.attemptCount},
		pool:      g.pool,
		target:    g.target,
		startedAt: res.now,
		expected:  g.ticket.Need.ServiceTime,
		prefix:    g.ticket.Need.Prefix,
	}
	r.attempts[r.attemptCount] = a
	defer func() { r.cacheHandle = "" }()
	r.releaseCommitment(res.now, r.stage)
	r.possibleStarts++
	if !r.mayRepeat() {
		r.unsafeStarts++
	}
	e.stats.countAttempt(r.service.Name, spec.Name)
	if at, ok := e.hedgeAt(res.now, r); ok {
		e.addTimer(at, r.id, a.id.Number)
	}
	res.emit(Start{
		ID: a.id, Pool: g.pool.name, Target: g.target.spec, Workspace: r.workspace, Service: r.service.Name,
		Stage: *spec, Input: r.input, Prefix: g.ticket.Need.Prefix, Priority: priority(r.deadline.Sub(res.now)),
		Deadline: r.deadline, Stream: spec.Stream, Offset: r.offset, Delivered: string(r.text), CacheHandle: r.cacheHandle, MayRepeat: r.mayRepeat(),
	})
}

// priority maps the time left to the priority scale of the engines; 0 is the most urgent.
func priority(left time.Duration) int {
	const step = 250 * time.Millisecond
	return int(min(9, max(0, left/step)))
}

// hedgeAt returns the time from which an attempt is slow enough that a second one may be worth its cost.
func (e *Engine) hedgeAt(now time.Time, r *request) (time.Time, bool) {
	if !r.mayRepeat() || r.stageSpec().Stream {
		return time.Time{}, false
	}
	mean, deviation, known := e.estimates.lookup(r.service.Name, r.stageSpec().Name)
	if !known {
		return time.Time{}, false
	}
	wait := max(minHedgeDelay, seconds(mean+e.tuning.HedgeDeviations*deviation))
	return now.Add(wait), now.Add(wait).Before(r.deadline)
}

func (e *Engine) handleTimer(res *eventResult, r *request, number int) {
	if number == 0 {
		e.fail(res, r, proto.FailureDeadline, "the deadline has passed", e.queueDelay(res.now, r, r.stage))
		return
	}
	a := r.attempts[number]
	if a == nil || a.id.Stage != r.stage {
		return
	}
	if e.pauses.overlaps(a.startedAt, res.now) {
		return
	}
	a.pool.recordSlow(a.target, res.now.Sub(a.startedAt).Seconds()/a.expected)
	if r.hedged || r.ticket != nil || !a.pool.takeHedge() {
		return
	}
	r.hedged = true
	r.exclude = a.target.spec.Name
	e.stats.countHedge(r.service.Name, r.stageSpec().Name)
	e.enqueue(res, r)
}

// handleExpiredTicket ends a request whose ticket stayed queued until the deadline could no longer be met.
func (e *Engine) handleExpiredTicket(res *eventResult, r *request, ticket *Ticket) {
	if r.ticket != ticket {
		return
	}
	r.ticket = nil
	if len(r.attempts) > 0 {
		return
	}
	e.fail(res, r, proto.FailureOverloaded, "waited until the deadline could no longer be met", res.now.Sub(ticket.Since))
}

func (e *Engine) handleCallerLeft(res *eventResult, r *request, slow bool) {
	kind := proto.FailureCallerLeft
	if slow {
		kind = proto.FailureSlowCaller
	}
	e.fail(res, r, kind, "the caller left before the answer", 0)
}

func (e *Engine) handleClaimAnswer(res *eventResult, r *request, ev *ClaimAnswered) {
	if r.claim != claimPending {
		return
	}
	switch ev.Result {
	case ClaimGranted:
		r.claim = claimHeld
		e.enqueue(res, r)
	case ClaimDone:
		r.claim = claimSettled
		e.replay(res, r, ev.Answer)
	case ClaimTaken:
		r.claim = claimSettled
		e.conflict(res, r, proto.FailureKeyTaken, proto.OutcomeMayHaveRun, "the key was used before and its request may have run")
	case ClaimMismatch:
		r.claim = claimSettled
		e.conflict(res, r, proto.FailureKeyMismatch, r.outcome(), "the key was used for another request")
	case ClaimTooOld:
		r.claim = claimSettled
		e.conflict(res, r, proto.FailureKeyTooOld, proto.OutcomeMayHaveRun, "the key is older than what is remembered, so its request may have run")
	case ClaimTooNew:
		r.claim = claimSettled
		e.conflict(res, r, proto.FailureKeyInvalid, r.outcome(), "the key's time lies in the future")
	default:
		r.claim = claimSettled
		e.conflict(res, r, proto.FailureNoQuorum, r.outcome(), "too few replicas could be asked whether the key was used")
	}
}

// replay returns the stored answer to a caller that repeated its key.
func (e *Engine) replay(res *eventResult, r *request, answer []byte) {
	if answer == nil {
		e.conflict(res, r, proto.FailureKeyTaken, proto.OutcomeRan, "the key's request ran, and its answer is no longer kept")
		return
	}
	e.finish(res, r, answer, nil)
}

func (e *Engine) conflict(res *eventResult, r *request, kind proto.FailureKind, outcome proto.Outcome, detail string) {
	e.finish(res, r, nil, &proto.Failure{Kind: kind, Outcome: outcome, Detail: detail, RetryAfter: time.Second})
}

// fail ends a request with a failure whose outcome tells what is known about the request.
func (e *Engine) fail(res *eventResult, r *request, kind proto.FailureKind, detail string, queueDelay time.Duration) {
	outcome := r.outcome()
	if r.reason != "" {
		detail += ": " + r.reason
	}
	failure := &proto.Failure{Kind: kind, Outcome: outcome, Detail: detail}
	if outcome == proto.OutcomeNotRun {
		failure.RetryAfter = retryAfter(queueDelay)
	}
	e.finish(res, r, nil, failure)
}

// finish is the only way to end a request. The request is removed from its shard after the event has been handled.
func (e *Engine) finish(res *eventResult, r *request, output []byte, failure *proto.Failure) {
	if r.done {
		return
	}
	r.done = true
	e.dropWork(res, r)
	for stage := range r.pools {
		r.releaseCommitment(res.now, stage)
	}
	if r.claim == claimHeld {
		r.claim = claimSettled
		res.emit(Settle{Request: r.id, Key: r.key, Released: r.unsafeStarts == 0, Answer: output})
	}
	e.stats.recordEnd(r, res.now, failure)
	res.emit(Finish{Request: r.id, Output: output, Failure: failure, Generation: r.generation})
}

// dropWork withdraws the request's ticket and cancels its attempts.
func (e *Engine) dropWork(res *eventResult, r *request) {
	if r.ticket != nil {
		r.ticket.withdrawn = true
		r.ticket = nil
	}
	for number, a := range r.attempts {
		delete(r.attempts, number)
		e.abandon(res, r, a)
	}
}

// abandon cancels an attempt whose result is no longer needed. Any later answers of the attempt are dropped.
func (e *Engine) abandon(res *eventResult, r *request, a *attempt) {
	spent := res.now.Sub(a.startedAt)
	if e.pauses.overlaps(a.startedAt, res.now) {
		spent = seconds(a.expected)
	}
	res.emit(Cancel{Attempt: a.id})
	e.stats.recordWasted(r.service.Name, r.service.Stages[a.id.Stage].Name, spent)
	res.grants = append(res.grants, a.pool.abandoned(res.now, a, r.workspace, spent)...)
}
