package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

const (
	// leastLeft is the least time for which another attempt is worth making: the way there and back, and some work.
	minAttemptTime = 20 * time.Millisecond
	// startWaits is how many times what is nearly always enough an answer may take to begin before another target is
	// asked: a second attempt costs as much work as the first, and takes as long.
	startDelayFactor = 4
	// startLeast is how long an answer may take to begin however quick answers were so far: on a busy machine the daemon, and the
	// target, wait for their turn while others use up their slices, of some milliseconds each.
	minStartTimeout = 50 * time.Millisecond
	// answerPrior is the time of a plain answer before the pool was observed.
	initialResponseTime = 60 * time.Millisecond
	// gapWaits is how many times the longest pause in time a stream may be silent before another target is asked to go on with it;
	// it is late by then, and going on elsewhere has its prompt read again.
	silenceFactor = 2.2
	// gapStarts is how many times what a first event nearly always takes such a silence lasts at the least.
	minSilenceStarts = 3
	// attemptsMost bounds the attempts of one request, refused ones included, and besideMost those that are at work at a time.
	maxAttempts           = 6
	maxConcurrentAttempts = 2
	// answerMost bounds an answer that is held until it is whole.
	maxResponseBytes = 16 << 20
	// restartGrace is how long after a target's next run is known an attempt at the last one goes on, so that what that
	// one sent before its end is still read: a way of some milliseconds, and a busy daemon's delay.
	restartGrace = 250 * time.Millisecond
	// waitBusy is when to come back to a pool whose targets refuse work.
	busyRetryAfter = 300 * time.Millisecond
)

// Causes of an attempt's end by this daemon.
var (
	errSuperseded      = errors.New("another target answered first")
	errDeadlineReached = errors.New("the time for the request is over")
	errClosing         = errors.New("the daemon stops")
	errTargetRestarted = errors.New("the target has started again")
)

// attemptEnd is what came of an attempt.
type attemptResult struct {
	// done says that the whole answer went out.
	done bool
	// notRun says that the target certainly did not run the request; sent says that it reached the target.
	notRun, sent bool
	// lostInput says that the target did not run it since an input is gone.
	lostInput bool
	// answer is a whole failure answer of the target that may be passed on if nothing better comes.
	response *bufferedResponse
	reason   string
	// otherTarget says that another target has the address, and err is why the request was not sent or not answered.
	misdirected bool
	// noTarget says that no target of the pool may get work now.
	noTarget bool
	err      error
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// runSelf makes attempts until one answers, or no other is allowed or sensible. lost says that inputs must be made
// anew first.
func (f *flow) runAttempts(ctx context.Context) (fail *failure, lost bool) {
	s := f.server
	r := newRace(ctx, f)
	defer r.stop()
	var last attemptResult
	for n := 0; r.started < maxAttempts; n++ {
		if ctx.Err() != nil {
			return f.notRunFailure(0, "the caller left"), false
		}
		if f.timeLeft() < minAttemptTime {
			return f.timeoutFailure(last.reason), false
		}
		if s.closing.Err() != nil {
			return f.shutdownFailure(), false
		}
		if fail := f.refuseCrashing(); fail != nil {
			if f.forwardFallback() {
				return nil, false
			}
			return fail, false
		}
		if n > 0 && !f.mayRetry(&last) {
			break
		}
		if n > 0 && f.inputsFreed() {
			return f.notRunFailure(busyRetryAfter, last.reason), true
		}
		last = r.run()
		if last.done {
			return nil, false
		}
		if last.lostInput {
			return f.notRunFailure(busyRetryAfter, "an input of the request is gone"), true
		}
		if last.noTarget {
			f.logNoTarget(last.reason)
			break
		}
	}
	if f.forwardFallback() {
		return nil, false
	}
	s.log.Debug("no further attempt", "request", f.req.ID, "reason", last.reason)
	if f.timeLeft() < minAttemptTime {
		return f.timeoutFailure(last.reason), false
	}
	return f.notRunFailure(f.targetRetryAfter(&last), last.reason), false
}

// passReady passes on the failure answer of a target that nothing better came after, if there is one.
func (f *flow) forwardFallback() bool {
	if f.fallback == nil || f.committed {
		return false
	}
	f.forwardResponse(f.fallback)
	return true
}

func (f *flow) timeoutFailure(reason string) *failure {
	if reason == "" {
		reason = "its stages took too long"
	}
	if f.runs > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "the time is over: " + reason}
	}
	return &failure{status: http.StatusServiceUnavailable, wait: minRetryWait, reason: "the time is over: " + reason}
}

// cutShort is the answer to a request that has not ended when the daemon does.
func (f *flow) shutdownFailure() *failure {
	if f.runs > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "the daemon stops while a target runs the request"}
	}
	return &failure{status: http.StatusServiceUnavailable, wait: stoppingRetryAfter, reason: "the daemon stops before a target has run the request"}
}

// mayRetry decides whether another target may get the request.
func (f *flow) mayRetry(last *attemptResult) bool {
	s := f.server
	switch {
	case !last.notRun && !f.route.Repeatable():
		return false
	case !last.notRun && f.runs >= f.maxRuns() && len(f.superseded) == 0:
		f.logInfo("no retry", "reason", "as many targets as allowed have run it", "runs", f.runs, "last", last.reason)
		return false
	case f.sent > 0 && !f.spendRetry(last.reason):
		return false
	}
	s.counts.retried.Add(1)
	f.logInfo("retry", "sent", f.sent, "runs", f.runs, "last", last.reason, "left", formatDuration(f.timeLeft()))
	return true
}

// spendRetry takes a further attempt out of the pool's budget, if there is one left; last is why it is to be made.
func (f *flow) spendRetry(last string) bool {
	s := f.server
	share := s.peers.Share()
	budget, ok := s.budgetOf(f.pool).Spend(s.clock.Now(), share.Fraction)
	if !ok {
		f.logInfo("no retry", "reason", "the retry budget of the pool is spent", "pool", f.pool, "spent", budget.Spent, "allowed", budget.Allowed,
			"share", share.Fraction, "counted", share.Counted, "noShare", share.Reason, "last", last)
	}
	return ok
}

// Reasons for which no target is chosen.
const (
	reasonNoTarget          = "the pool has no target that may get work"
	reasonNoTargetInRegions = "the pool has no target in the regions that the request is bound to"
	reasonAtCapacity        = "each target of the pool has as many requests as it may have at a time"
	reasonCold              = "the targets of the pool are cold, and get no more for the moment"
	reasonBackoff           = "the targets of the pool want rest from this daemon"
	reasonRateLimited       = "what the targets of the pool take by the limits that they name is used up for the moment"
)

// noteNoTarget logs what the targets of the pool signal, if anything.
func (f *flow) logNoTarget(reason string) {
	if lines := f.server.placer.signalLogEntries(f.pool); len(lines) > 0 {
		f.logInfo("no target", "pool", f.pool, "reason", reason, "targetSignals", lines)
	}
}

func (f *flow) noTarget() string {
	if f.allowedRegions.Restricted && f.server.fleet.OpenCount(f.pool, f.allowedRegions) == 0 {
		return reasonNoTargetInRegions
	}
	if f.server.fleet.AtCapacity(f.server.clock.Now(), f.pool) {
		return reasonAtCapacity
	}
	if _, cold := f.server.fleet.TimeUntilWarm(f.server.clock.Now(), f.pool); cold {
		return reasonCold
	}
	if in, limited := f.server.placer.limitWait(f.pool); limited && in > 0 {
		return reasonRateLimited
	}
	if _, rests := f.server.fleet.backoffRemaining(f.server.clock.Now(), f.pool); rests {
		return reasonBackoff
	}
	return reasonNoTarget
}

// waitForTarget is when a caller should come back for whom no target took the request: where targets are cold, when the first
// of them is warm, and where they name limits or want rest, when one may get a request again.
func (f *flow) targetRetryAfter(last *attemptResult) time.Duration {
	if !last.noTarget {
		return busyRetryAfter
	}
	wait := time.Duration(0)
	sooner := func(in time.Duration, waits bool) {
		if waits && (wait == 0 || in < wait) {
			wait = in
		}
	}
	now := f.server.clock.Now()
	sooner(f.server.fleet.TimeUntilWarm(now, f.pool))
	sooner(f.server.fleet.backoffRemaining(now, f.pool))
	sooner(f.server.placer.limitWait(f.pool))
	return f.limitRetryAfter(wait)
}

// comeBackIn is when a caller should come back for whom there is room after a time, while it still waits for an answer.
func (f *flow) limitRetryAfter(wait time.Duration) time.Duration {
	return max(busyRetryAfter, min(wait, f.timeLeft()/retryAfterDivisor))
}

func (f *flow) criteria() TargetCriteria {
	w := TargetCriteria{Zone: f.server.zone, Tried: f.triedTargets, Engine: f.spec.Engine != nil, OwnTokens: f.req.PromptTokens, Route: f.route.Name, MaxPause: f.route.MaxPause, Rank: f.rank, AllowedRegions: f.allowedRegions}
	if f.inputZone != "" {
		w.Zone, w.InputBytes = f.inputZone, f.inputBytes
	}
	if n := len(f.req.PromptParts); n > 1 {
		w.SharedParts = f.req.PromptParts[:n-1]
		w.OwnTokens = f.req.PromptParts[n-1].Tokens
	}
	return w
}

// attempt is one request to one target. A goroutine of its own sends it and reads the answer; all else is up to the goroutine of its
// request, to which it tells what came.
type attempt struct {
	race      *race
	placement *Placement
	// ctx ends the attempt; its cause says why, if this daemon ended it.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	span      trace.Span
	startedAt time.Time
	// starting is how long it may take to begin before another one is made beside it.
	startDelay hedgeDelay
	// keepInputs stops the timer that gives the inputs up, and release stops the watch for the end of the target's run.
	cancelFreeing, stopWatching func()

	verdict HealthVerdict
	load    Load
	// late says that it has taken longer than it should, which was held against its target already.
	late bool
	// returns says that its target may have run the request already.
	repeated bool
	// counted says that it is among the runs of the request, first that its first event has come, and answered that the whole answer
	// did, which is no failure.
	counted, first, answered bool
}

// lateBound is how long an attempt may take to begin, and what that rests on.
type hedgeDelay struct {
	delay time.Duration
	// usual is what is nearly always enough.
	typical time.Duration
	// basis is what the wait rests on.
	basis string
}

// What a lateBound may rest on.
const (
	basisTypical = "what is usual"
	basisGoal    = "the goal of the route"
	basisLeast   = "the least that is waited for"
	basisLeft    = "the time that is left"
	basisGap     = "the pause that the route allows"
)

// startBound is how long a target may take to begin before another is asked to run the request too.
func (f *flow) startHedgeDelay() hedgeDelay {
	timeLeft := f.timeLeft()
	if f.route.Kind == routeStream {
		usual := f.timeToFirstEvent()
		return hedgeDelayFor(usual, startDelayFactor).atLeast(f.route.LatencyGoal/2, basisGoal).atMost(timeLeft)
	}
	usual := f.server.responseTimes.upperBound(f.pool, initialResponseTime)
	return hedgeDelayFor(usual, startDelayFactor).atLeast(f.route.LatencyGoal, basisGoal).atMost(timeLeft / 2)
}

// silenceBound is how long a stream that has begun may be silent before another target is asked to go on with it.
func (f *flow) silenceHedgeDelay() hedgeDelay {
	return hedgeDelayFor(f.timeToFirstEvent(), minSilenceStarts).atLeast(time.Duration(silenceFactor*float64(f.route.MaxPause)), basisGap)
}

// lateAfter is a multiple of what is usual, and the least that is waited for.
func hedgeDelayFor(typical time.Duration, times int) hedgeDelay {
	w := hedgeDelay{delay: time.Duration(times) * typical, typical: typical, basis: basisTypical}
	return w.atLeast(minStartTimeout, basisLeast)
}

// orLater is the bound, or a later one that rests on something else.
func (w hedgeDelay) atLeast(delay time.Duration, basis string) hedgeDelay {
	if delay > w.delay {
		w.delay, w.basis = delay, basis
	}
	return w
}

// within is the bound, or an earlier one for want of time.
func (w hedgeDelay) atMost(limit time.Duration) hedgeDelay {
	if limit < w.delay {
		w.delay, w.basis = limit, basisLeft
	}
	return w
}

// nextAttempt chooses a target for an attempt: a new one as long as the route allows one, and else one whose attempt was given up for
// another, which has failed or is late; nil if there is none.
func (r *race) nextAttempt() *attempt {
	if r.possibleRuns() < r.flow.maxRuns() {
		if a := r.newAttempt(); a != nil {
			return a
		}
	}
	return r.repeatAttempt()
}

// newAttempt chooses a target that was not tried yet; nil if there is none.
func (r *race) newAttempt() *attempt {
	f := r.flow
	return r.attemptAt(f.server.placer.Choose(r.ctx, f.pool, f.criteria()))
}

// returningAttempt chooses a target whose attempt was given up, each once; nil if there is none.
func (r *race) repeatAttempt() *attempt {
	f := r.flow
	for len(f.superseded) > 0 {
		id := f.superseded[0]
		f.superseded = f.superseded[1:]
		a := r.attemptAt(f.server.placer.ChooseByID(r.ctx, f.pool, id, f.criteria()))
		f.logInfo("return to a target", "target", id, "runs", f.runs, "lastEvent", f.lastEventID, "taken", a != nil)
		if a != nil {
			a.repeated = true
			return a
		}
	}
	return nil
}

func (r *race) attemptAt(placement *Placement) *attempt {
	if placement == nil {
		return nil
	}
	f := r.flow
	return &attempt{race: r, placement: placement, startedAt: f.server.clock.Now(), startDelay: f.startHedgeDelay()}
}

// start sends the request.
func (a *attempt) start() {
	f := a.race.flow
	s := f.server
	spec := a.placement.Spec
	f.triedTargets[spec.ID] = true
	f.target = spec.ID
	ctx, span := otel.Tracer(tracer).Start(a.race.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("emberlead.target", spec.ID)))
	a.span = span
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	cancel := a.cancel
	stop := context.AfterFunc(a.placement.Target.runCtx, func() {
		s.clock.AfterFunc(restartGrace, func() { cancel(errTargetRestarted) })
	})
	a.stopWatching = func() { stop() }
	a.cancelFreeing = a.freeInputsAfterFetch()
	fwd := &ForwardInfo{Target: spec, TimeLeft: f.timeLeft(), Workspace: f.workspace, Inputs: f.inputHandles, After: f.lastEventID, Priority: f.rank}
	out := &TargetRequest{
		Target: spec, Method: f.req.Method, URI: f.req.URI, Host: f.req.Host, Header: s.dialect.Header(f.req, fwd), Body: f.req.Body,
		NonIdempotent: !f.route.Repeatable(),
		Matches:       func(h http.Header) bool { return s.dialect.ParseResponse(0, h).RequestID == f.req.ID },
	}
	x := &exchange{attempt: a, ctx: a.ctx, server: s, to: spec.Address, requestID: f.req.ID, stream: f.route.Kind == routeStream}
	go x.run(out)
}

// freeOnceFetched gives the inputs up when the target has had the time to fetch them, unless it is stopped before.
func (a *attempt) freeInputsAfterFetch() (stop func()) {
	f := a.race.flow
	if len(f.inputHandles) == 0 {
		return func() {}
	}
	stageResults := f.stageResults
	timer := f.server.clock.AfterFunc(f.server.fetches.keepTime(f.pool), func() {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		go f.freeResults(stageResults)
	})
	return func() { timer.Stop() }
}

// noteFetched learns whether inputs that were given up before the target answered were fetched by then.
func (f *flow) recordFetch(sent time.Time, fetched bool) {
	if !f.inputsFreed() {
		return
	}
	keep := f.server.fetches.observe(f.server.clock.Now(), sent, f.pool, fetched)
	if !fetched {
		f.logInfo("inputs were freed too early", "pool", f.pool, "target", f.target, "keepNext", formatDuration(keep))
	}
}

// ran counts the attempt among those that reached a target and may have run there.
func (a *attempt) markRun() {
	if a.counted {
		return
	}
	a.counted = true
	a.race.flow.sent++
	if !a.repeated {
		a.race.flow.runs++
	}
}

// bad holds a failure against the target, once for each attempt.
func (a *attempt) markFailed() {
	if !a.late {
		a.verdict = VerdictFailure
	}
}

// failed takes in that no answer, or no whole one, came.
func (a *attempt) handleError(err error, reason string) attemptResult {
	result := attemptResult{reason: reason, err: err}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		result.notRun = true
	} else {
		result.sent = true
		a.markRun()
	}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errTargetRestarted):
		a.markFailed()
		result.reason = cause.Error()
	case errors.Is(cause, errDeadlineReached), errors.Is(cause, errClosing):
		// Most of the time may have gone into the stages, so this alone says nothing of the target.
		result.reason = cause.Error()
	case a.ctx.Err() != nil:
		result.reason = "the caller left"
	default:
		a.markFailed()
	}
	return result
}

// refused takes in that the target did not run the request.
func (a *attempt) handleRefusal(status int, reply ResponseInfo) attemptResult {
	a.race.flow.sent++
	result := attemptResult{notRun: true, sent: true, lostInput: reply.LostInput, misdirected: reply.Misdirected}
	switch {
	case reply.Misdirected:
		a.markFailed()
		result.reason = "another target has the address"
	case reply.LostInput:
		result.reason = "an input is gone"
		a.race.flow.recordFetch(a.startedAt, false)
	default:
		a.verdict = VerdictOverloaded
		result.reason = "the target refused the request: " + http.StatusText(status)
	}
	return result
}

// whole takes in an answer of which nothing was passed on before its end, so that one that is cut never looks whole.
func (a *attempt) handleResponse(response *bufferedResponse) attemptResult {
	f := a.race.flow
	a.verdict = VerdictSuccess
	a.answered = response.status/100 == http.StatusOK/100
	f.server.responseTimes.observe(f.pool, initialResponseTime, f.server.clock.Now().Sub(a.startedAt))
	if response.status >= http.StatusInternalServerError && f.route.Repeatable() {
		f.fallback = response
		return attemptResult{sent: true, response: response, reason: "the target failed: " + http.StatusText(response.status)}
	}
	f.forwardResponse(response)
	return attemptResult{done: true, sent: true}
}

// streamBegins takes in the first events.
func (a *attempt) handleStreamStart() {
	f := a.race.flow
	a.first = true
	a.placement.RecordResponseStart()
	f.recordFirstEvent(f.server.clock.Now().Sub(a.startedAt))
	// An engine has fetched all inputs before it reads the prompt.
	f.recordFetch(a.startedAt, true)
	f.freeAllResults()
}

// streamEnded takes in the end of a stream, which is whole if the target ended it after a whole event.
func (a *attempt) handleStreamEnd(update *attemptUpdate) attemptResult {
	f := a.race.flow
	if errors.Is(update.err, io.EOF) && !update.cut {
		a.verdict, a.answered = VerdictSuccess, true
		if !f.committed {
			f.copyHeader(update.response.Header)
			f.w.WriteHeader(http.StatusOK)
			f.committed = true
		}
		return attemptResult{done: true, sent: true}
	}
	if f.committed && f.route.Repeatable() {
		f.server.counts.streamsResumed.Add(1)
	}
	return a.handleError(update.err, "the stream broke off: "+update.err.Error())
}
