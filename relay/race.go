package relay

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// race holds the attempts of one request that are at work: one as a rule, and a further one beside it where the first takes longer than
// usual. The first is not given up for the second before that answers: the pool may have no other target, and if it has one, nobody knows
// which of the two answers first. Once one has begun to answer, the others go on for a moment and are then given up: what they have sent
// is on its way, and makes up for one that breaks off at once.
//
// All but the reading of answers is done in the goroutine of the request.
type race struct {
	flow *flow
	// ctx ends all attempts: when the caller leaves, when the time for the request is over, and at the end of the race.
	ctx           context.Context
	cancel        context.CancelCauseFunc
	deadlineTimer clockwork.Timer
	// released ends the watch for the end of the daemon.
	stopCloseWatch func() bool
	// news is what attempts tell, and over is closed when nobody takes it any more.
	updates chan *attemptUpdate
	done    chan struct{}
	// onAnswer runs when an attempt has an answer while the race waits for something else.
	onResponse responseHook

	running []*attempt
	// begun counts the attempts.
	started int
	// leader is the attempt that brought the last events that were passed on; nil before the first. settled fires when the others
	// are given up for it.
	leader       *attempt
	overlapTimer clockwork.Timer
	// slow fires when the attempt at work takes longer than usual, at due, after waiting for wait; due is zero if nothing is waited for.
	hedgeTimer clockwork.Timer
	hedgeAt    time.Time
	delay      hedgeDelay
	// alone is why no other attempt was made beside the one at work, as last logged.
	noHedgeReason string
	lastResult    attemptResult
}

// overlap is how long other attempts go on once one has begun to answer: longer than an answer that was given waits to be read on a busy
// machine.
const overlap = minStartTimeout

// newsHeld is how many messages of attempts wait for the race, so that an attempt can go on reading while one is passed on.
const updateBuffer = 1

func newRace(caller context.Context, f *flow) *race {
	r := &race{flow: f, updates: make(chan *attemptUpdate, updateBuffer), done: make(chan struct{})}
	ctx, cancel := context.WithCancelCause(caller)
	r.ctx, r.cancel = ctx, cancel
	r.deadlineTimer = f.server.clock.AfterFunc(f.timeLeft(), func() { cancel(errDeadlineReached) })
	r.stopCloseWatch = context.AfterFunc(f.server.closing, func() { cancel(errClosing) })
	r.hedgeTimer = f.server.clock.NewTimer(f.timeLeft())
	r.hedgeTimer.Stop()
	r.overlapTimer = f.server.clock.NewTimer(f.timeLeft())
	r.overlapTimer.Stop()
	return r
}

// stop gives up all attempts that are at work.
func (r *race) stop() {
	for len(r.running) > 0 {
		r.cancelAttempt(r.running[0], "", "the request has ended")
	}
	close(r.done)
	r.stopCloseWatch()
	r.deadlineTimer.Stop()
	r.hedgeTimer.Stop()
	r.overlapTimer.Stop()
	r.cancel(nil)
}

// run makes an attempt, and others beside it where it takes longer than usual, until one has answered or all have failed; it returns the
// end of the last one.
func (r *race) run() attemptResult {
	first := r.nextAttempt()
	if first == nil {
		return attemptResult{notRun: true, noTarget: true, reason: r.flow.noTarget()}
	}
	r.startAttempt(first)
	for len(r.running) > 0 {
		select {
		case update := <-r.updates:
			if r.handle(update) {
				return r.lastResult
			}
		case <-r.hedgeTimer.Chan():
			if len(r.updates) > 0 {
				// An answer has arrived just now, as many do together after this process was held up.
				r.setHedgeTimer(r.delay)
				continue
			}
			r.onHedgeTimer()
		case <-r.overlapTimer.Chan():
			if r.leader != nil {
				r.supersede(r.leader)
				r.setHedgeTimer(r.flow.silenceHedgeDelay())
			}
		}
	}
	return r.lastResult
}

// begin sends the request to the target of an attempt.
func (r *race) startAttempt(a *attempt) {
	r.started++
	r.running = append(r.running, a)
	a.start()
	r.setHedgeTimer(a.startDelay)
}

// expect has the race look for another target after a time, unless something comes before.
func (r *race) setHedgeTimer(delay hedgeDelay) {
	r.delay = delay
	if !r.flow.route.Repeatable() || !r.mayRunElsewhere() {
		r.hedgeTimer.Stop()
		r.hedgeAt = time.Time{}
		return
	}
	r.hedgeAt = r.flow.server.clock.Now().Add(delay.delay)
	r.hedgeTimer.Reset(delay.delay)
}

// mostRuns is how many targets may run the request.
func (f *flow) maxRuns() int { return max(1, f.route.MaxTargets) }

// runsAtMost is how many targets have run the request, or may be running it now.
func (r *race) possibleRuns() int {
	runs := r.flow.runs
	for _, a := range r.running {
		if !a.counted && !a.repeated {
			runs++
		}
	}
	return runs
}

// mayRunElsewhere tells whether the route allows another target to run the request beside those at work, or one to run it again.
func (r *race) mayRunElsewhere() bool {
	return r.possibleRuns() < r.flow.maxRuns() || len(r.flow.superseded) > 0
}

// take takes in what an attempt tells, and tells whether the request has its whole answer.
func (r *race) handle(update *attemptUpdate) (done bool) {
	a := update.attempt
	if !slices.Contains(r.running, a) {
		// It was given up meanwhile.
		return false
	}
	switch {
	case len(update.events) > 0:
		return r.handleEvents(a, update)
	case update.response == nil:
		r.finishAttempt(a, a.handleError(update.err, update.err.Error()))
	case update.info.NotRun || update.info.Misdirected:
		a.load = update.info.Load
		r.finishAttempt(a, a.handleRefusal(update.response.Status, update.info))
	default:
		a.load = update.info.Load
		a.markRun()
		r.finishAttempt(a, r.handleFinal(a, update))
	}
	return r.lastResult.done
}

// answered takes in the last message of an attempt that a target ran.
func (r *race) handleFinal(a *attempt, update *attemptUpdate) attemptResult {
	switch {
	case update.mismatch:
		a.markFailed()
		return attemptResult{sent: true, reason: "the answer is not that of the request"}
	case update.oversized:
		a.markFailed()
		return attemptResult{sent: true, reason: "an event has no end"}
	case update.stream:
		return a.handleStreamEnd(update)
	case update.err != nil:
		return a.handleError(update.err, "the answer broke off: "+update.err.Error())
	}
	return a.handleResponse(&bufferedResponse{status: update.response.Status, header: update.response.Header, body: update.body})
}

// passOn passes events on, unless the caller has them from another target. The attempt that brings new ones leads from then on.
func (r *race) handleEvents(a *attempt, update *attemptUpdate) (done bool) {
	f := r.flow
	a.load = update.info.Load
	a.markRun()
	a.late = false
	if !a.first {
		a.handleStreamStart()
	}
	if r.leader != a && f.committed && !f.hasNewEvents(update.events) {
		return false
	}
	if r.leader != a && len(r.running) > 1 {
		r.overlapTimer.Reset(overlap)
	}
	r.leader = a
	f.target = a.placement.Spec.ID
	if err := f.forwardEvents(update.response.Header, update.events); err != nil {
		a.verdict = VerdictNone
		r.finishAttempt(a, attemptResult{sent: true, reason: "the caller does not take the stream: " + err.Error()})
		return false
	}
	r.setHedgeTimer(f.silenceHedgeDelay())
	return false
}

// overtake gives up all attempts but one. Their targets have not failed: the request may return to them.
func (r *race) supersede(by *attempt) {
	for _, a := range slices.Clone(r.running) {
		if a != by {
			r.cancelAttempt(a, by.placement.Spec.ID, errSuperseded.Error())
			r.flow.superseded = append(r.flow.superseded, a.placement.Spec.ID)
		}
	}
}

// ended takes an attempt out that has ended. One that has the whole answer ends the others.
func (r *race) finishAttempt(a *attempt, result attemptResult) {
	if result.done {
		r.flow.target = a.placement.Spec.ID
		r.supersede(a)
	}
	r.lastResult = result
	r.removeAttempt(a, &result)
	if result.done {
		return
	}
	f, spec := r.flow, a.placement.Spec
	f.logInfo("attempt failed", "target", spec.ID, "address", spec.Address, "zone", spec.Zone, "cold", a.placement.Cold, "sent", result.sent, "notRun", result.notRun,
		"targets", f.server.fleet.Version(), "took", formatDuration(f.server.clock.Now().Sub(a.startedAt)), "reason", result.reason, "atWork", len(r.running))
	if len(r.running) > 0 && !r.hedgePending() {
		r.setHedgeTimer(r.delay)
	}
}

// giveUp ends an attempt that is still at work, for another one if there is one.
func (r *race) cancelAttempt(a *attempt, winner, reason string) {
	f := r.flow
	a.markRun()
	a.cancel(errSuperseded)
	r.removeAttempt(a, &attemptResult{sent: true, reason: reason})
	f.logInfo("attempt given up", "target", a.placement.Spec.ID, "for", winner, "took", formatDuration(f.server.clock.Now().Sub(a.startedAt)), "late", a.late,
		"mightTake", formatDuration(a.startDelay.delay), "basis", a.startDelay.basis, "usual", formatDuration(a.startDelay.typical), "reason", reason)
}

// leave undoes what goes with an attempt at work.
func (r *race) removeAttempt(a *attempt, result *attemptResult) {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if r.leader == a {
		r.leader = nil
	}
	a.stopWatching()
	a.cancelFreeing()
	a.placement.Finish(a.verdict, a.load)
	a.recordOutcome(result)
	a.cancel(nil)
	a.span.End()
}

// tooSlow takes in that the attempt at work takes longer than usual.
func (r *race) onHedgeTimer() {
	f := r.flow
	if r.hedgePending() {
		// The timer was set anew just as it fired.
		r.hedgeTimer.Reset(r.hedgeAt.Sub(f.server.clock.Now()))
		return
	}
	if r.hedgeAt.IsZero() || len(r.running) == 0 {
		return
	}
	for _, a := range r.running {
		if !a.late {
			a.late = true
			a.placement.ReportSlow()
		}
	}
	waited := r.delay
	r.hedgeAt = time.Time{}
	if noHedgeReason := r.hedge(); noHedgeReason != "" && noHedgeReason != r.noHedgeReason {
		r.noHedgeReason = noHedgeReason
		f.logInfo("no attempt beside", "target", f.target, "mightTake", formatDuration(waited.delay), "basis", waited.basis, "usual", formatDuration(waited.typical),
			"reason", noHedgeReason, "left", formatDuration(f.timeLeft()))
	}
	if len(r.running) > 0 && !r.hedgePending() {
		r.setHedgeTimer(waited)
	}
}

// slowSet tells whether the race looks for another target some time from now.
func (r *race) hedgePending() bool { return r.hedgeAt.After(r.flow.server.clock.Now()) }

// beside makes an attempt beside those at work, or returns why there is none.
func (r *race) hedge() (blocked string) {
	f := r.flow
	if blocked := r.hedgeBlocked(); blocked != "" {
		return blocked
	}
	late := r.running[0]
	if f.inputsFreed() {
		if blocked := r.rebuildInputs(); blocked != "" {
			return blocked
		}
	}
	a := r.nextAttempt()
	if a == nil {
		return f.noTarget()
	}
	if !f.spendRetry("an attempt takes longer than usual") {
		a.placement.Finish(VerdictNone, Load{})
		return reasonBudget
	}
	// The inputs are for the new target as well.
	for _, other := range r.running {
		other.cancelFreeing()
	}
	f.server.counts.retried.Add(1)
	f.logInfo("attempt beside", "target", a.placement.Spec.ID, "late", late.placement.Spec.ID, "after", formatDuration(f.server.clock.Now().Sub(late.startedAt)),
		"mightTake", formatDuration(r.delay.delay), "basis", r.delay.basis, "usual", formatDuration(r.delay.typical), "lastEvent", f.lastEventID, "left", formatDuration(f.timeLeft()))
	r.startAttempt(a)
	return ""
}

// reasonBudget and the others are why no attempt is made beside one that is late.
const (
	reasonBudget        = "the retry budget of the pool is spent"
	reasonMaxRuns       = "as many targets as allowed run the request"
	reasonHedgeRunning  = "another attempt is at work beside it"
	reasonMaxAttempts   = "there were as many attempts as allowed"
	reasonTimeUp        = "the time that is left is too short"
	reasonCrashing      = "targets ended that ran the request"
	reasonInputsFreed   = "the inputs of the request are given up, and are not made anew"
	reasonAnswerStarted = "the answer has begun meanwhile"
)

// mustWait returns why no attempt may be made beside those at work, as far as that is known without asking for a target.
func (r *race) hedgeBlocked() string {
	f := r.flow
	s := f.server
	now := s.clock.Now()
	switch _, crashing := s.crashes.Blocks(f.digest); {
	case f.timeLeft() < minAttemptTime:
		return reasonTimeUp
	case len(r.running) >= maxConcurrentAttempts:
		return reasonHedgeRunning
	case !r.mayRunElsewhere():
		return reasonMaxRuns
	case r.started >= maxAttempts:
		return reasonMaxAttempts
	case crashing:
		return reasonCrashing
	case len(f.superseded) == 0 && !s.placer.HasAlternative(f.pool, f.criteria()):
		return f.noTarget()
	case !s.budgetOf(f.pool).Available(now, s.peers.Share().Fraction):
		return reasonBudget
	}
	return ""
}

// makeInputsAnew has the stages done again for another target, while those at work go on; it returns why that was not done.
func (r *race) rebuildInputs() (blocked string) {
	f := r.flow
	if !f.mayRebuild() {
		return reasonInputsFreed
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.onResponse.set(cancel)
	defer r.onResponse.set(nil)
	if len(r.updates) > 0 {
		return reasonAnswerStarted
	}
	fail, _ := f.rebuild(ctx)
	if fail == nil {
		return ""
	}
	f.freeAllResults()
	if len(r.updates) > 0 {
		return reasonAnswerStarted
	}
	return fail.reason
}
