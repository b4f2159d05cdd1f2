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
	ctx    context.Context
	cancel context.CancelCauseFunc
	timeUp clockwork.Timer
	// released ends the watch for the end of the daemon.
	released func() bool
	// news is what attempts tell, and over is closed when nobody takes it any more.
	news chan *attemptNews
	over chan struct{}
	// onAnswer runs when an attempt has an answer while the race waits for something else.
	onAnswer answerHook

	running []*attempt
	// begun counts the attempts.
	begun int
	// leader is the attempt that brought the last events that were passed on; nil before the first. settled fires when the others
	// are given up for it.
	leader  *attempt
	settled clockwork.Timer
	// slow fires when the attempt at work takes longer than usual, at due, after waiting for wait; due is zero if nothing is waited for.
	slow clockwork.Timer
	due  time.Time
	wait lateBound
	// alone is why no other attempt was made beside the one at work, as last logged.
	alone string
	last  attemptResult
}

// overlap is how long other attempts go on once one has begun to answer: longer than an answer that was given waits to be read on a busy
// machine.
const overlap = minStartTimeout

// newsHeld is how many messages of attempts wait for the race, so that an attempt can go on reading while one is passed on.
const newsHeld = 1

func newRace(caller context.Context, f *flow) *race {
	r := &race{flow: f, news: make(chan *attemptNews, newsHeld), over: make(chan struct{})}
	ctx, cancel := context.WithCancelCause(caller)
	r.ctx, r.cancel = ctx, cancel
	r.timeUp = f.server.clock.AfterFunc(f.left(), func() { cancel(errDeadlineReached) })
	r.released = context.AfterFunc(f.server.closing, func() { cancel(errClosing) })
	r.slow = f.server.clock.NewTimer(f.left())
	r.slow.Stop()
	r.settled = f.server.clock.NewTimer(f.left())
	r.settled.Stop()
	return r
}

// stop gives up all attempts that are at work.
func (r *race) stop() {
	for len(r.running) > 0 {
		r.giveUp(r.running[0], "", "the request has ended")
	}
	close(r.over)
	r.released()
	r.timeUp.Stop()
	r.slow.Stop()
	r.settled.Stop()
	r.cancel(nil)
}

// run makes an attempt, and others beside it where it takes longer than usual, until one has answered or all have failed; it returns the
// end of the last one.
func (r *race) run() attemptResult {
	first := r.nextAttempt()
	if first == nil {
		return attemptResult{notRun: true, noTarget: true, reason: r.flow.noTarget()}
	}
	r.begin(first)
	for len(r.running) > 0 {
		select {
		case news := <-r.news:
			if r.take(news) {
				return r.last
			}
		case <-r.slow.Chan():
			if len(r.news) > 0 {
				// An answer has arrived just now, as many do together after this process was held up.
				r.expect(r.wait)
				continue
			}
			r.tooSlow()
		case <-r.settled.Chan():
			if r.leader != nil {
				r.overtake(r.leader)
				r.expect(r.flow.silenceBound())
			}
		}
	}
	return r.last
}

// begin sends the request to the target of an attempt.
func (r *race) begin(a *attempt) {
	r.begun++
	r.running = append(r.running, a)
	a.start()
	r.expect(a.starting)
}

// expect has the race look for another target after a time, unless something comes before.
func (r *race) expect(wait lateBound) {
	r.wait = wait
	if !r.flow.route.Repeatable() || !r.mayRunElsewhere() {
		r.slow.Stop()
		r.due = time.Time{}
		return
	}
	r.due = r.flow.server.clock.Now().Add(wait.wait)
	r.slow.Reset(wait.wait)
}

// mostRuns is how many targets may run the request.
func (f *flow) mostRuns() int { return max(1, f.route.MaxTargets) }

// runsAtMost is how many targets have run the request, or may be running it now.
func (r *race) runsAtMost() int {
	runs := r.flow.runs
	for _, a := range r.running {
		if !a.counted && !a.returns {
			runs++
		}
	}
	return runs
}

// mayRunElsewhere tells whether the route allows another target to run the request beside those at work, or one to run it again.
func (r *race) mayRunElsewhere() bool {
	return r.runsAtMost() < r.flow.mostRuns() || len(r.flow.overtaken) > 0
}

// take takes in what an attempt tells, and tells whether the request has its whole answer.
func (r *race) take(news *attemptNews) (done bool) {
	a := news.attempt
	if !slices.Contains(r.running, a) {
		// It was given up meanwhile.
		return false
	}
	switch {
	case len(news.events) > 0:
		return r.passOn(a, news)
	case news.in == nil:
		r.ended(a, a.failed(news.err, news.err.Error()))
	case news.reply.NotRun || news.reply.Misdirected:
		a.load = news.reply.Load
		r.ended(a, a.refused(news.in.Status, news.reply))
	default:
		a.load = news.reply.Load
		a.ran()
		r.ended(a, r.answered(a, news))
	}
	return r.last.done
}

// answered takes in the last message of an attempt that a target ran.
func (r *race) answered(a *attempt, news *attemptNews) attemptResult {
	switch {
	case news.mismatch:
		a.bad()
		return attemptResult{sent: true, reason: "the answer is not that of the request"}
	case news.endless:
		a.bad()
		return attemptResult{sent: true, reason: "an event has no end"}
	case news.stream:
		return a.streamEnded(news)
	case news.err != nil:
		return a.failed(news.err, "the answer broke off: "+news.err.Error())
	}
	return a.whole(&bufferedResponse{status: news.in.Status, header: news.in.Header, body: news.body})
}

// passOn passes events on, unless the caller has them from another target. The attempt that brings new ones leads from then on.
func (r *race) passOn(a *attempt, news *attemptNews) (done bool) {
	f := r.flow
	a.load = news.reply.Load
	a.ran()
	a.late = false
	if !a.first {
		a.streamBegins()
	}
	if r.leader != a && f.committed && !f.bringsNew(news.events) {
		return false
	}
	if r.leader != a && len(r.running) > 1 {
		r.settled.Reset(overlap)
	}
	r.leader = a
	f.target = a.placement.Spec.ID
	if err := f.passEvents(news.in.Header, news.events); err != nil {
		a.verdict = VerdictNone
		r.ended(a, attemptResult{sent: true, reason: "the caller does not take the stream: " + err.Error()})
		return false
	}
	r.expect(f.silenceBound())
	return false
}

// overtake gives up all attempts but one. Their targets have not failed: the request may return to them.
func (r *race) overtake(by *attempt) {
	for _, a := range slices.Clone(r.running) {
		if a != by {
			r.giveUp(a, by.placement.Spec.ID, errSuperseded.Error())
			r.flow.overtaken = append(r.flow.overtaken, a.placement.Spec.ID)
		}
	}
}

// ended takes an attempt out that has ended. One that has the whole answer ends the others.
func (r *race) ended(a *attempt, end attemptResult) {
	if end.done {
		r.flow.target = a.placement.Spec.ID
		r.overtake(a)
	}
	r.last = end
	r.leave(a, &end)
	if end.done {
		return
	}
	f, spec := r.flow, a.placement.Spec
	f.note("attempt failed", "target", spec.ID, "address", spec.Address, "zone", spec.Zone, "cold", a.placement.Cold, "sent", end.sent, "notRun", end.notRun,
		"targets", f.server.fleet.Version(), "took", formatDuration(f.server.clock.Now().Sub(a.began)), "reason", end.reason, "atWork", len(r.running))
	if len(r.running) > 0 && !r.slowSet() {
		r.expect(r.wait)
	}
}

// giveUp ends an attempt that is still at work, for another one if there is one.
func (r *race) giveUp(a *attempt, winner, reason string) {
	f := r.flow
	a.ran()
	a.cancel(errSuperseded)
	r.leave(a, &attemptResult{sent: true, reason: reason})
	f.note("attempt given up", "target", a.placement.Spec.ID, "for", winner, "took", formatDuration(f.server.clock.Now().Sub(a.began)), "late", a.late,
		"mightTake", formatDuration(a.starting.wait), "basis", a.starting.basis, "usual", formatDuration(a.starting.usual), "reason", reason)
}

// leave undoes what goes with an attempt at work.
func (r *race) leave(a *attempt, end *attemptResult) {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == a })
	if r.leader == a {
		r.leader = nil
	}
	a.release()
	a.keepInputs()
	a.placement.Finish(a.verdict, a.load)
	a.recordOutcome(end)
	a.cancel(nil)
	a.span.End()
}

// tooSlow takes in that the attempt at work takes longer than usual.
func (r *race) tooSlow() {
	f := r.flow
	if r.slowSet() {
		// The timer was set anew just as it fired.
		r.slow.Reset(r.due.Sub(f.server.clock.Now()))
		return
	}
	if r.due.IsZero() || len(r.running) == 0 {
		return
	}
	for _, a := range r.running {
		if !a.late {
			a.late = true
			a.placement.ReportSlow()
		}
	}
	waited := r.wait
	r.due = time.Time{}
	if alone := r.beside(); alone != "" && alone != r.alone {
		r.alone = alone
		f.note("no attempt beside", "target", f.target, "mightTake", formatDuration(waited.wait), "basis", waited.basis, "usual", formatDuration(waited.usual),
			"reason", alone, "left", formatDuration(f.left()))
	}
	if len(r.running) > 0 && !r.slowSet() {
		r.expect(waited)
	}
}

// slowSet tells whether the race looks for another target some time from now.
func (r *race) slowSet() bool { return r.due.After(r.flow.server.clock.Now()) }

// beside makes an attempt beside those at work, or returns why there is none.
func (r *race) beside() (alone string) {
	f := r.flow
	if alone := r.mustWait(); alone != "" {
		return alone
	}
	late := r.running[0]
	if f.inputsFreed() {
		if alone := r.makeInputsAnew(); alone != "" {
			return alone
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
		other.keepInputs()
	}
	f.server.counts.retried.Add(1)
	f.note("attempt beside", "target", a.placement.Spec.ID, "late", late.placement.Spec.ID, "after", formatDuration(f.server.clock.Now().Sub(late.began)),
		"mightTake", formatDuration(r.wait.wait), "basis", r.wait.basis, "usual", formatDuration(r.wait.usual), "lastEvent", f.after, "left", formatDuration(f.left()))
	r.begin(a)
	return ""
}

// reasonBudget and the others are why no attempt is made beside one that is late.
const (
	reasonBudget   = "the retry budget of the pool is spent"
	reasonRuns     = "as many targets as allowed run the request"
	reasonBeside   = "another attempt is at work beside it"
	reasonAttempts = "there were as many attempts as allowed"
	reasonTimeUp   = "the time that is left is too short"
	reasonCrashing = "targets ended that ran the request"
	reasonInputs   = "the inputs of the request are given up, and are not made anew"
	reasonBegun    = "the answer has begun meanwhile"
)

// mustWait returns why no attempt may be made beside those at work, as far as that is known without asking for a target.
func (r *race) mustWait() string {
	f := r.flow
	s := f.server
	now := s.clock.Now()
	switch _, crashing := s.crashes.Blocks(f.digest); {
	case f.left() < leastLeft:
		return reasonTimeUp
	case len(r.running) >= besideMost:
		return reasonBeside
	case !r.mayRunElsewhere():
		return reasonRuns
	case r.begun >= maxAttempts:
		return reasonAttempts
	case crashing:
		return reasonCrashing
	case len(f.overtaken) == 0 && !s.placer.HasAlternative(f.pool, f.want()):
		return f.noTarget()
	case !s.budgetOf(f.pool).Available(now, s.peers.Share().Fraction):
		return reasonBudget
	}
	return ""
}

// makeInputsAnew has the stages done again for another target, while those at work go on; it returns why that was not done.
func (r *race) makeInputsAnew() (alone string) {
	f := r.flow
	if !f.mayRebuild() {
		return reasonInputs
	}
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	r.onAnswer.set(cancel)
	defer r.onAnswer.set(nil)
	if len(r.news) > 0 {
		return reasonBegun
	}
	fail, _ := f.rebuild(ctx)
	if fail == nil {
		return ""
	}
	f.freeAllResults()
	if len(r.news) > 0 {
		return reasonBegun
	}
	return fail.reason
}
