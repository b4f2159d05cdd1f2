package core

import (
	"fmt"
	"time"

	"emberlead/proto"
)

const (
	retryFloor   = 250 * time.Millisecond
	retryCeiling = 5 * time.Second
	hedgeFloor   = 20 * time.Millisecond
)

func (e *Engine) arrive(t *turn, a *Arrival) {
	s := e.snapshot.Load()
	service := s.Services[a.Service]
	workspace := s.Workspaces[a.Workspace]
	if service == nil || workspace == nil || !mayCall(service, a.Workspace) {
		t.act(Finish{Request: a.ID, Generation: s.Generation, Failure: &proto.Failure{
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
		keyed:      a.Key != proto.Key{},
		repeatable: a.Repeatable && service.MayRepeat(),
		arrived:    t.now,
		deadline:   e.pauses.arrived(t.now).Add(deadline),
		prefix:     a.Prefix,
		input:      a.Input,
		wantStream: a.Stream,
		live:       map[int]*attempt{},
	}
	for i := range service.Stages {
		r.pools = append(r.pools, e.poolOf(service.Stages[i].Pool))
	}
	e.stats.asked(a.Workspace)
	if refusal := e.admit(t, r, a.QuorumLost); refusal != nil {
		e.stats.ended(r, t.now, refusal)
		t.act(Finish{Request: a.ID, Failure: refusal, Generation: r.generation})
		return
	}
	e.requests.With(r.id, func(items map[proto.RequestID]*request) {
		items[r.id] = r
		e.arm(r.deadline, r.id, 0)
		e.begin(t, r)
		forgetDone(items, r)
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

// admit refuses at once what could not be in time, because that costs nothing and the caller learns it early.
func (e *Engine) admit(t *turn, r *request, keyLost bool) *proto.Failure {
	if !t.now.Before(r.deadline) {
		return &proto.Failure{
			Kind: proto.FailureTooLate, Outcome: proto.OutcomeNotRun, RetryAfter: retryFloor,
			Detail: "the daemon was paused, and the request may have waited beyond its deadline",
		}
	}
	if keyLost && r.keyed && r.runsOnce() {
		return &proto.Failure{
			Kind: proto.FailureNoQuorum, Outcome: proto.OutcomeNotRun, RetryAfter: retryCeiling,
			Detail: "too few replicas are live to tell whether the key was used",
		}
	}
	if !e.tuning.Admission {
		return nil
	}
	queueing := e.queueing(t.now, r, 0)
	work := e.remaining(r, 0)
	if t.now.Add(queueing + work).Before(r.deadline) {
		return e.afford(t, r, queueing)
	}
	kind := proto.FailureOverloaded
	if queueing == 0 {
		kind = proto.FailureTooLate
	}
	return &proto.Failure{
		Kind: kind, Outcome: proto.OutcomeNotRun,
		Detail:     fmt.Sprintf("expected %s of waiting and %s of work do not fit into %s", queueing.Round(time.Millisecond), work.Round(time.Millisecond), r.deadline.Sub(t.now)),
		RetryAfter: retryAfter(queueing),
	}
}

// afford refuses what needs more of an overloaded pool than others that wait for it.
func (e *Engine) afford(t *turn, r *request, queueing time.Duration) *proto.Failure {
	works := e.works(r)
	for i, p := range r.pools {
		if !p.takes(t.now, r.deadline.Add(-e.remaining(r, i)), r.workspace, works[i]) {
			return &proto.Failure{
				Kind: proto.FailureOverloaded, Outcome: proto.OutcomeNotRun,
				Detail:     fmt.Sprintf("pool %s is overloaded and others need less of it", p.name),
				RetryAfter: retryAfter(queueing + backlogStep),
			}
		}
	}
	e.promise(t.now, r, works)
	return nil
}

func retryAfter(queueing time.Duration) time.Duration {
	return min(retryCeiling, max(retryFloor, queueing))
}

// begin claims the key first if some stage may run only once, so that a refusal is known before anything runs.
func (e *Engine) begin(t *turn, r *request) {
	if r.keyed && r.runsOnce() {
		r.claim = claimAsked
		t.act(Claim{Request: r.id, Key: r.key})
		return
	}
	e.enqueue(t, r)
}

func (e *Engine) enqueue(t *turn, r *request) {
	spec := r.spec()
	mean, _, known := e.estimates.of(r.service.Name, spec.Name)
	if !known {
		mean = defaultService.Seconds()
	}
	r.ticket = &Ticket{
		Request:   r.id,
		Workspace: r.workspace,
		Weight:    r.weight,
		Deadline:  r.deadline,
		Remaining: e.remaining(r, r.stage),
		Need: Need{
			Prefix:  r.prefixFor(),
			Zone:    e.zone,
			Model:   spec.Model,
			Service: mean,
			Exclude: r.exclude, Deadline: r.deadline,
		},
	}
	t.grants = append(t.grants, r.pool().offer(t.now, r.ticket)...)
}

// Only engines hold a prefix cache.
func (r *request) prefixFor() string {
	if r.pool().kind != proto.PoolEngine {
		return ""
	}
	return r.prefix
}

// granted starts an attempt, unless the request ended while its ticket waited.
func (e *Engine) granted(t *turn, g grant) {
	taken := false
	e.withRequest(g.ticket.Request, func(r *request) {
		if r.ticket != g.ticket || g.ticket.withdrawn {
			return
		}
		r.ticket = nil
		if !t.now.Before(r.deadline) {
			e.fail(t, r, proto.FailureDeadline, "the deadline has passed", 0)
			return
		}
		taken = true
		e.start(t, r, g)
	}, nil)
	if !taken {
		t.grants = append(t.grants, g.pool.giveBack(t.now, g.target, g.ticket.Need.Service)...)
	}
}

func (e *Engine) start(t *turn, r *request, g grant) {
	r.numbers++
	spec := r.spec()
	a := &attempt{
		id:       proto.AttemptID{Request: r.id, Stage: r.stage, Number: r.numbers},
		pool:     g.pool,
		target:   g.target,
		began:    t.now,
		expected: g.ticket.Need.Service,
		prefix:   g.ticket.Need.Prefix,
	}
	r.live[r.numbers] = a
	defer func() { r.handle = "" }()
	r.settle(t.now, r.stage)
	r.possible++
	if !r.mayRepeat() {
		r.unsafe++
	}
	e.stats.attempt(r.service.Name, spec.Name)
	if at, ok := e.hedgeAt(t.now, r); ok {
		e.arm(at, r.id, a.id.Number)
	}
	t.act(Start{
		ID: a.id, Pool: g.pool.name, Target: g.target.spec, Workspace: r.workspace, Service: r.service.Name,
		Stage: *spec, Input: r.input, Prefix: g.ticket.Need.Prefix, Priority: priority(r.deadline.Sub(t.now)),
		Deadline: r.deadline, Stream: spec.Stream, Offset: r.offset, Delivered: string(r.text), CacheHandle: r.handle, MayRepeat: r.mayRepeat(),
	})
}

// priority maps the time left to the engines' scale, 0 for the most urgent.
func priority(left time.Duration) int {
	const step = 250 * time.Millisecond
	return int(min(9, max(0, left/step)))
}

// hedgeAt is when an attempt has taken so long that a second one may be worth its cost.
func (e *Engine) hedgeAt(now time.Time, r *request) (time.Time, bool) {
	if !r.mayRepeat() || r.spec().Stream {
		return time.Time{}, false
	}
	mean, deviation, known := e.estimates.of(r.service.Name, r.spec().Name)
	if !known {
		return time.Time{}, false
	}
	wait := max(hedgeFloor, seconds(mean+e.tuning.HedgeAfter*deviation))
	return now.Add(wait), now.Add(wait).Before(r.deadline)
}

func (e *Engine) timerFired(t *turn, r *request, number int) {
	if number == 0 {
		e.fail(t, r, proto.FailureDeadline, "the deadline has passed", e.queueing(t.now, r, r.stage))
		return
	}
	a := r.live[number]
	if a == nil || a.id.Stage != r.stage {
		return
	}
	if e.pauses.overlapped(a.began, t.now) {
		return
	}
	a.pool.slow(a.target, t.now.Sub(a.began).Seconds()/a.expected)
	if r.hedged || r.ticket != nil || !a.pool.takeHedge() {
		return
	}
	r.hedged = true
	r.exclude = a.target.spec.Name
	e.stats.hedge(r.service.Name, r.spec().Name)
	e.enqueue(t, r)
}

// expired ends a request whose ticket waited until the deadline could no longer be met.
func (e *Engine) expired(t *turn, r *request, ticket *Ticket) {
	if r.ticket != ticket {
		return
	}
	r.ticket = nil
	if len(r.live) > 0 {
		return
	}
	e.fail(t, r, proto.FailureOverloaded, "waited until the deadline could no longer be met", t.now.Sub(ticket.Since))
}

func (e *Engine) callerLeft(t *turn, r *request, slow bool) {
	kind := proto.FailureCallerLeft
	if slow {
		kind = proto.FailureSlowCaller
	}
	e.fail(t, r, kind, "the caller left before the answer", 0)
}

func (e *Engine) claimAnswered(t *turn, r *request, ev *ClaimAnswered) {
	if r.claim != claimAsked {
		return
	}
	switch ev.Result {
	case ClaimGranted:
		r.claim = claimHeld
		e.enqueue(t, r)
	case ClaimDone:
		r.claim = claimSettled
		e.replay(t, r, ev.Answer)
	case ClaimTaken:
		r.claim = claimSettled
		e.conflict(t, r, proto.FailureKeyTaken, proto.OutcomeMayHaveRun, "the key was used before and its request may have run")
	case ClaimMismatch:
		r.claim = claimSettled
		e.conflict(t, r, proto.FailureKeyMismatch, r.outcome(), "the key was used for another request")
	case ClaimTooOld:
		r.claim = claimSettled
		e.conflict(t, r, proto.FailureKeyTooOld, proto.OutcomeMayHaveRun, "the key is older than what is remembered, so its request may have run")
	case ClaimTooNew:
		r.claim = claimSettled
		e.conflict(t, r, proto.FailureKeyInvalid, r.outcome(), "the key's time lies in the future")
	default:
		r.claim = claimSettled
		e.conflict(t, r, proto.FailureNoQuorum, r.outcome(), "too few replicas could be asked whether the key was used")
	}
}

// replay gives a caller that sent its key again the answer that was kept.
func (e *Engine) replay(t *turn, r *request, answer []byte) {
	if answer == nil {
		e.conflict(t, r, proto.FailureKeyTaken, proto.OutcomeRan, "the key's request ran, and its answer is no longer kept")
		return
	}
	e.finish(t, r, answer, nil)
}

func (e *Engine) conflict(t *turn, r *request, kind proto.FailureKind, outcome proto.Outcome, detail string) {
	e.finish(t, r, nil, &proto.Failure{Kind: kind, Outcome: outcome, Detail: detail, RetryAfter: time.Second})
}

// fail ends a request with what is certain about it.
func (e *Engine) fail(t *turn, r *request, kind proto.FailureKind, detail string, queueing time.Duration) {
	outcome := r.outcome()
	if r.reason != "" {
		detail += ": " + r.reason
	}
	failure := &proto.Failure{Kind: kind, Outcome: outcome, Detail: detail}
	if outcome == proto.OutcomeNotRun {
		failure.RetryAfter = retryAfter(queueing)
	}
	e.finish(t, r, nil, failure)
}

// finish is the only way that a request ends; its shard forgets it once the event is handled.
func (e *Engine) finish(t *turn, r *request, output []byte, failure *proto.Failure) {
	if r.done {
		return
	}
	r.done = true
	e.dropWork(t, r)
	for stage := range r.pools {
		r.settle(t.now, stage)
	}
	if r.claim == claimHeld {
		r.claim = claimSettled
		t.act(Settle{Request: r.id, Key: r.key, Released: r.unsafe == 0, Answer: output})
	}
	e.stats.ended(r, t.now, failure)
	t.act(Finish{Request: r.id, Output: output, Failure: failure, Generation: r.generation})
}

// dropWork withdraws the request's ticket and cancels its attempts.
func (e *Engine) dropWork(t *turn, r *request) {
	if r.ticket != nil {
		r.ticket.withdrawn = true
		r.ticket = nil
	}
	for number, a := range r.live {
		delete(r.live, number)
		e.abandon(t, r, a)
	}
}

// abandon cancels an attempt whose result is no longer wanted; what it delivers later is dropped.
func (e *Engine) abandon(t *turn, r *request, a *attempt) {
	spent := t.now.Sub(a.began)
	if e.pauses.overlapped(a.began, t.now) {
		spent = seconds(a.expected)
	}
	t.act(Cancel{Attempt: a.id})
	e.stats.wasted(r.service.Name, r.service.Stages[a.id.Stage].Name, spent)
	t.grants = append(t.grants, a.pool.dropped(t.now, a, r.workspace, spent)...)
}
