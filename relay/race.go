package relay

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// race runs the attempts of one request: usually one, and a hedging attempt if the first takes longer than usual. The
// first is not canceled before there is a connection to another target: the pool may have no other one, or none that is
// reached, and the first may go on meanwhile.
//
// Everything except the reading of responses is done by the goroutine of the request.
type race struct {
	flow *flow
	// ctx is the context of all attempts. It ends when the caller leaves, at the deadline of the request or of its first
	// event, and with the race.
	ctx           context.Context
	cancel        context.CancelCauseFunc
	deadlineTimer clockwork.Timer
	// stopCloseWatch stops the watch for the daemon's exit.
	stopCloseWatch func() bool
	// updates carries the updates of attempts. done is closed when nobody receives them any more.
	updates chan *attemptUpdate
	done    chan struct{}
	// onResponse is called when an attempt has a response while the race waits for something else.
	onResponse responseHook

	running []*attempt
	// started counts the attempts, and handovers those that were made beside a late one.
	started, handovers int
	// leader is the attempt that delivered the last forwarded events; nil before the first.
	leader   *attempt
	handover *handover
	// hedgeTimer fires at hedgeAt, when the running attempt has taken longer than delay. hedgeAt is zero if no hedging
	// attempt is scheduled.
	hedgeTimer clockwork.Timer
	hedgeAt    time.Time
	delay      hedgeDelay
	// noHedgeReason is the last logged reason for not making a hedging attempt.
	noHedgeReason string
	lastResult    attemptResult
}

const (
	// minHandoverTime is how long a target has at least that got the request in place of another one: it may have to read a prompt.
	minHandoverTime = 250 * time.Millisecond
	// handoverBackoff is by how much longer each further target has, since what the one before has done is lost.
	handoverBackoff = 2
)

// updateBuffer lets an attempt keep reading while one of its updates is handled.
const updateBuffer = 1

func newRace(parent context.Context, f *flow) *race {
	r := &race{flow: f, updates: make(chan *attemptUpdate, updateBuffer), done: make(chan struct{}), handover: newHandover(f.server.handover)}
	ctx, cancel := context.WithCancelCause(parent)
	r.ctx, r.cancel = ctx, cancel
	cause := errDeadlineReached
	if f.firstEventDeadline().Before(f.deadline) {
		cause = errNoFirstEvent
	}
	r.deadlineTimer = f.server.clock.AfterFunc(f.firstEventTimeLeft(), func() { cancel(cause) })
	r.stopCloseWatch = context.AfterFunc(f.server.closeCtx, func() { cancel(errClosing) })
	r.hedgeTimer = f.server.clock.NewTimer(f.timeLeft())
	r.hedgeTimer.Stop()
	return r
}

// stop cancels all running attempts.
func (r *race) stop() {
	for len(r.running) > 0 {
		r.cancelAttempt(r.running[0], "", "the request has ended")
	}
	close(r.done)
	r.stopCloseWatch()
	r.deadlineTimer.Stop()
	r.hedgeTimer.Stop()
	r.cancel(nil)
}

// run makes an attempt, and hedging attempts if it takes longer than usual, until one has answered or all have failed.
// It returns the last result.
func (r *race) run() attemptResult {
	first := r.nextAttempt()
	if first == nil {
		kind, reason := r.flow.noTargetCause()
		return attemptResult{notRun: true, noTarget: true, kind: kind, reason: reason}
	}
	r.startAttempt(first)
	blocked := r.flow.server.crashTracker.partsBlocked()
	for len(r.running) > 0 {
		select {
		case <-blocked:
			blocked = r.flow.server.crashTracker.partsBlocked()
			r.cancelBlocked()
		case update := <-r.updates:
			if r.handle(update) {
				return r.lastResult
			}
		case <-r.hedgeTimer.Chan():
			if len(r.updates) > 0 {
				// A response has just arrived, as many do together after this process was delayed.
				r.setHedgeTimer(r.delay)
				continue
			}
			r.onHedgeTimer()
		case <-r.handover.ended:
			r.removeSuperseded()
		}
	}
	return r.lastResult
}

// startAttempt sends the request to the target of an attempt.
func (r *race) startAttempt(a *attempt) {
	r.started++
	r.running = append(r.running, a)
	a.start()
	r.setHedgeTimer(r.handoverDelay(a.startDelay))
}

// handoverDelay returns the delay before the request is taken from its present target.
func (r *race) handoverDelay(delay hedgeDelay) hedgeDelay {
	if r.handovers == 0 {
		return delay
	}
	return delay.atLeast(minHandoverTime, basisMinimum).times(math.Pow(handoverBackoff, float64(r.handovers-1)))
}

// setHedgeTimer schedules a hedging attempt, unless an update arrives before.
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

// maxRuns returns how many targets may run the request.
func (f *flow) maxRuns() int { return max(1, f.route.MaxTargets) }

// possibleRuns returns how many targets have run the request or may be running it now.
func (r *race) possibleRuns() int {
	runs := r.flow.runs
	for _, a := range r.running {
		if !a.counted && !a.repeated {
			runs++
		}
	}
	return runs
}

// mayRunElsewhere reports whether the route allows another target to run the request concurrently, or an earlier one to run it again.
func (r *race) mayRunElsewhere() bool {
	return r.possibleRuns() < r.flow.maxRuns() || len(r.flow.superseded) > 0
}

// handle processes an update of an attempt, and reports whether the complete response was delivered.
func (r *race) handle(update *attemptUpdate) (done bool) {
	r.removeSuperseded()
	a := update.attempt
	if !slices.Contains(r.running, a) {
		// The attempt has been canceled meanwhile.
		return false
	}
	switch {
	case len(update.events) > 0:
		return r.handleEvents(a, update)
	case update.passing:
		r.handlePassing(a, update)
		return false
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

// handleFinal processes the final update of an attempt whose target ran the request.
func (r *race) handleFinal(a *attempt, update *attemptUpdate) attemptResult {
	switch {
	case update.mismatch:
		a.markFailed()
		return attemptResult{sent: true, reason: "the answer is not that of the request"}
	case update.oversized != "":
		a.markFailed()
		a.race.flow.server.counts.oversized.add(update.oversized)
		return attemptResult{sent: true, reason: update.oversized.reason()}
	case update.stream:
		return a.handleStreamEnd(update)
	case update.passed:
		return a.handlePassedEnd(update)
	case update.err != nil:
		return a.handleError(update.err, "the answer broke off: "+update.err.Error())
	}
	return a.handleResponse(&bufferedResponse{status: update.response.Status, header: update.response.Header, body: update.body})
}

// handleEvents forwards the events of a stream unless the caller has them from another target. An attempt with new
// events becomes the leader.
func (r *race) handleEvents(a *attempt, update *attemptUpdate) (done bool) {
	f := r.flow
	a.load = update.info.Load
	a.markRun()
	if !a.mayContinue() {
		a.markFailed()
		r.finishAttempt(a, attemptResult{sent: true, reason: reasonOtherVersion})
		return false
	}
	a.late = false
	if !a.streamStarted {
		a.handleStreamStart()
		r.recordOrigin(a)
	} else if !a.sound && f.server.clock.Now().Sub(a.beganAt) >= soundTime {
		a.proveSound()
	}
	if r.leader != a && f.committed && !f.hasNewEvents(update.events) {
		return false
	}
	r.leader = a
	f.target = a.placement.Spec.ID
	if !f.committed {
		// A stream that has begun has until the deadline of the request.
		r.deadlineTimer.Reset(f.timeLeft())
	}
	if err := f.forwardEvents(update.response.Header, update.events); err != nil {
		a.verdict = VerdictNone
		r.finishAttempt(a, attemptResult{sent: true, reason: "the caller does not take the stream: " + err.Error()})
		return false
	}
	r.setHedgeTimer(r.handoverDelay(f.silenceHedgeDelay()))
	return false
}

// handlePassing forwards a part of an answer that is passed on as it arrives. From its first part on no other attempt may
// answer. The caller may take it long after the deadline of the request, which therefore limits only the target's pauses.
func (r *race) handlePassing(a *attempt, update *attemptUpdate) {
	f := r.flow
	r.deadlineTimer.Stop()
	a.load = update.info.Load
	a.markRun()
	if !f.passing {
		r.supersede(a)
		r.leader = a
		r.hedgeTimer.Stop()
		r.hedgeAt = time.Time{}
		a.handlePassingStart(update)
	}
	if err := f.forwardBody(update.body); err != nil {
		a.verdict = VerdictNone
		r.finishAttempt(a, attemptResult{sent: true, reason: "the caller does not take the answer: " + err.Error()})
		return
	}
	r.deadlineTimer.Reset(max(f.timeLeft(), maxAnswerPause))
}

// supersede cancels all attempts but one.
func (r *race) supersede(winner *attempt) {
	for _, a := range r.running {
		if a != winner {
			a.cancel(errSuperseded)
		}
	}
	r.removeSuperseded()
}

// removeSuperseded removes the attempts that were canceled in favor of another. Their targets have not failed: the request
// may return to them.
func (r *race) removeSuperseded() {
	if !slices.ContainsFunc(r.running, (*attempt).isSuperseded) {
		return
	}
	winner := ""
	if i := slices.IndexFunc(r.running, func(a *attempt) bool { return !a.isSuperseded() }); i >= 0 {
		winner = r.running[i].placement.Spec.ID
	}
	for _, a := range slices.Clone(r.running) {
		if !a.isSuperseded() {
			continue
		}
		r.cancelAttempt(a, winner, errSuperseded.Error())
		if a.counted {
			r.flow.superseded = append(r.flow.superseded, a.placement.Spec.ID)
		} else {
			delete(r.flow.triedTargets, a.placement.Spec.ID)
		}
	}
	if r.leader != nil {
		r.setHedgeTimer(r.handoverDelay(r.flow.silenceHedgeDelay()))
	}
}

// finishAttempt records the result of an attempt and removes it. The complete response cancels the other attempts.
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

// cancelAttempt cancels a running attempt, in favor of winner if that is set.
func (r *race) cancelAttempt(a *attempt, winner, reason string) {
	f := r.flow
	a.cancel(errSuperseded)
	if a.work.isSent() {
		a.markRun()
	}
	r.removeAttempt(a, &attemptResult{sent: true, reason: reason})
	f.logInfo("attempt given up", "target", a.placement.Spec.ID, "for", winner, "took", formatDuration(f.server.clock.Now().Sub(a.startedAt)), "late", a.late,
		"mightTake", formatDuration(a.startDelay.delay), "basis", a.startDelay.basis, "usual", formatDuration(a.startDelay.typical), "reason", reason)
}

// removeAttempt releases the resources of a running attempt.
func (r *race) removeAttempt(a *attempt, result *attemptResult) {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if r.leader == a {
		r.leader = nil
	}
	r.handover.remove(a)
	a.stopWatching()
	a.cancelFreeing()
	a.placement.Finish(a.verdict, a.load)
	a.recordOutcome(result)
	a.work.end(result)
	a.cancel(nil)
	a.span.End()
}

// onHedgeTimer handles an attempt that takes longer than usual.
func (r *race) onHedgeTimer() {
	f := r.flow
	if r.hedgePending() {
		// The timer was reset just as it fired.
		r.hedgeTimer.Reset(r.hedgeAt.Sub(f.server.clock.Now()))
		return
	}
	if r.hedgeAt.IsZero() || len(r.running) == 0 {
		return
	}
	for _, a := range r.running {
		if !a.late {
			a.late = true
			a.reportSlow()
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

// hedgePending reports whether a hedging attempt is scheduled.
func (r *race) hedgePending() bool { return r.hedgeAt.After(r.flow.server.clock.Now()) }

// hedge makes a hedging attempt, or returns why it does not.
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
		return f.noTargetReason()
	}
	if !f.spendRetry("an attempt takes longer than usual") {
		a.placement.Finish(VerdictNone, Load{})
		return reasonBudget
	}
	// The new target needs the inputs as well.
	for _, other := range r.running {
		other.cancelFreeing()
	}
	f.server.counts.retried.Add(1)
	f.logInfo("attempt beside", "target", a.placement.Spec.ID, "late", late.placement.Spec.ID, "after", formatDuration(f.server.clock.Now().Sub(late.startedAt)),
		"mightTake", formatDuration(r.delay.delay), "basis", r.delay.basis, "usual", formatDuration(r.delay.typical), "lastEvent", f.lastEventID, "left", formatDuration(f.timeLeft()))
	r.handovers++
	r.startAttempt(a)
	return ""
}

// Reasons why no hedging attempt is made for a late one.
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

// hedgeBlocked returns why no hedging attempt is allowed, as far as is known without choosing a target.
func (r *race) hedgeBlocked() string {
	f := r.flow
	s := f.server
	now := s.clock.Now()
	switch _, _, crashing := f.crashing(); {
	case f.firstEventTimeLeft() < minAttemptTime:
		return reasonTimeUp
	case len(r.running) >= maxConcurrentAttempts:
		return reasonHedgeRunning
	case !r.mayRunElsewhere():
		return reasonMaxRuns
	case r.started >= maxAttempts:
		return reasonMaxAttempts
	case crashing || f.probe != "":
		return reasonCrashing
	case len(f.superseded) == 0 && !s.placer.HasAlternative(f.pool, f.criteria()):
		return f.noTargetReason()
	case !s.budgetOf(f.pool).Available(now, s.peers.Share().Fraction):
		return reasonBudget
	}
	return ""
}

// rebuildInputs runs the stages again for another target while the current attempts continue, or returns why it does not.
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
