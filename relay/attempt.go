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
	// minAttemptTime is the minimum remaining time for another attempt: one round trip and some work.
	minAttemptTime = 20 * time.Millisecond
	// startDelayFactor is the multiple of the typical upper bound of the time to the first event or the response after
	// which another target is tried: a second attempt costs as much work as the first, and takes as long.
	startDelayFactor = 4
	// minStartTimeout is the minimum of that delay: on a busy machine the daemon and the target wait for their turn
	// while others use up time slices of a few milliseconds.
	minStartTimeout = 50 * time.Millisecond
	// initialResponseTime is the upper bound of the time to a response before any was observed for the pool.
	initialResponseTime = 60 * time.Millisecond
	// silenceFactor is the multiple of the route's MaxPause for which a stream may be silent before another target is
	// asked to resume it. By then it is late, and resuming it requires the prompt to be read again.
	silenceFactor = 2.2
	// minSilenceStarts is the minimum of that silence, as a multiple of the upper bound of the time to the first event.
	minSilenceStarts = 3
	// maxAttempts limits the attempts of one request, refused ones included, and maxConcurrentAttempts those in progress.
	maxAttempts           = 6
	maxConcurrentAttempts = 2
	// maxResponseBytes limits what is buffered of one response; the rest of a larger one is passed on as it arrives.
	maxResponseBytes = 16 << 20
	// maxAnswerPause is how long a target may pause in an answer that is passed on after the deadline of the request. The
	// caller may still be reading the last part, so that the pauses of routes without streams say nothing about it.
	maxAnswerPause = 5 * time.Second
	// restartGrace is how long an attempt continues once the target's next run is known, so that what the previous run
	// sent is still read: a network delay of a few milliseconds, and the delay of a busy daemon.
	restartGrace = 250 * time.Millisecond
	// busyRetryAfter is the Retry-After for a pool whose targets refuse requests.
	busyRetryAfter = 300 * time.Millisecond
)

// Causes with which this daemon cancels an attempt.
var (
	errSuperseded      = errors.New("another target goes on with the request")
	errDeadlineReached = errors.New("the time for the request is over")
	errNoFirstEvent    = errors.New("the caller leaves, as no first event has come")
	errClosing         = errors.New("the daemon stops")
	errTargetRestarted = errors.New("the target has started again")
	errRefusalBody     = errors.New("the body of a refusal is late")
)

// attemptResult is the outcome of an attempt.
type attemptResult struct {
	// done is set if the complete response was forwarded.
	done bool
	// notRun is set if the target certainly did not run the request, and sent if the request reached the target.
	notRun, sent bool
	// lostInput is set if the target did not run the request because an input no longer exists.
	lostInput bool
	// response is a complete failure response of the target, which is forwarded if no better response arrives.
	response *bufferedResponse
	reason   string
	// kind is the kind of refusal if no target gets the request after this attempt.
	kind refusalKind
	// misdirected is set if another target has the address, and err is why the request was not sent or not answered.
	misdirected bool
	// noTarget is set if no target of the pool may get the request now.
	noTarget bool
	err      error
}

type bufferedResponse struct {
	status int
	header http.Header
	body   *answerBody
}

// runAttempts makes attempts until one succeeds or no further one is allowed or useful. lost is set if the inputs must
// be rebuilt first.
func (f *flow) runAttempts(ctx context.Context) (fail *failure, lost bool) {
	s := f.server
	r := newRace(ctx, f)
	defer r.stop()
	var last attemptResult
	for n := 0; r.started < maxAttempts; n++ {
		if ctx.Err() != nil {
			return f.notRunFailure(0, "the caller left"), false
		}
		if f.firstEventTimeLeft() < minAttemptTime {
			return f.timeoutFailure(last.reason), false
		}
		if s.closeCtx.Err() != nil {
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
			return f.notRunFailure(busyRetryAfter, last.reason).as(refusedInputsExpired), true
		}
		f.startProbe()
		last = r.run()
		f.finishProbe()
		if last.done {
			return nil, false
		}
		if last.lostInput {
			return f.notRunFailure(busyRetryAfter, "an input of the request is gone").as(refusedInputsExpired), true
		}
		if last.noTarget {
			f.logNoTarget(last.reason)
			break
		}
		if wait, none := s.noneReached(); none && wait > 0 && last.notRun {
			return f.notRunFailure(f.limitRetryAfter(wait), reasonNoneReached).as(refusedNoTarget), false
		}
	}
	if f.forwardFallback() {
		return nil, false
	}
	s.log.Debug("no further attempt for the request", "request", f.req.ID, "reason", last.reason)
	if f.firstEventTimeLeft() < minAttemptTime {
		return f.timeoutFailure(last.reason), false
	}
	return f.notRunFailure(f.targetRetryAfter(&last), last.reason).as(last.kind), false
}

// forwardFallback forwards the failure response of a target, if there is one and the caller got nothing yet.
func (f *flow) forwardFallback() bool {
	if f.fallback == nil || f.committed {
		return false
	}
	f.forwardResponse(f.fallback)
	return true
}

func (f *flow) timeoutFailure(reason string) *failure {
	kind := refusedCallerLeaving
	if reason == "" {
		reason, kind = "its stages took too long", refusedStageLate
	}
	if f.runs > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "the time is over: " + reason}
	}
	return &failure{status: http.StatusServiceUnavailable, retryAfter: minRetryWait, reason: "the time is over: " + reason, kind: kind}
}

// shutdownFailure is the response to a request that is unfinished when the daemon exits.
func (f *flow) shutdownFailure() *failure {
	if f.runs > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "the daemon stops while a target runs the request"}
	}
	return &failure{status: http.StatusServiceUnavailable, retryAfter: stoppingRetryAfter, reason: "the daemon stops before a target has run the request", kind: refusedStopping}
}

// mayRetry decides whether another target may get the request.
func (f *flow) mayRetry(previous *attemptResult) bool {
	s := f.server
	switch {
	case f.passing, !previous.notRun && !f.route.Repeatable():
		return false
	case !previous.notRun && f.runs >= f.maxRuns() && len(f.superseded) == 0:
		f.logInfo("no retry", "reason", "as many targets as allowed have run it", "runs", f.runs, "last", previous.reason)
		return false
	case f.sent > 0 && !f.spendRetry(previous.reason):
		return false
	}
	s.counts.retried.Add(1)
	f.logInfo("retry", "sent", f.sent, "runs", f.runs, "last", previous.reason, "left", formatDuration(f.timeLeft()))
	return true
}

// spendRetry takes an attempt from the pool's retry budget, if any is left. reason is why the attempt is made.
func (f *flow) spendRetry(reason string) bool {
	s := f.server
	share := s.peers.Share()
	budget, ok := s.budgetOf(f.pool).Spend(s.clock.Now(), share.Fraction)
	if !ok {
		f.logInfo("no retry", "reason", "the retry budget of the pool is spent", "pool", f.pool, "spent", budget.Spent, "allowed", budget.Allowed,
			"share", share.Fraction, "counted", share.VMCount, "noShare", share.Reason, "last", reason)
	}
	return ok
}

// Reasons why no target was chosen.
const (
	reasonNoTarget          = "the pool has no target that may get work"
	reasonNoTargetInRegions = "the pool has no target in the regions that the request is bound to"
	reasonVersionGone       = "the pool has no target of the software version at which the stream began"
	reasonAtCapacity        = "each target of the pool has as many requests as it may have at a time"
	reasonCold              = "the targets of the pool are cold, and get no more for the moment"
	reasonBackoff           = "the targets of the pool want rest from this daemon"
	reasonBrittle           = "the targets of the pool are brittle and have as many requests of this daemon as they may"
	reasonNoneReached       = "no target is reached at present, neither from here nor through other daemons"
	reasonRateLimited       = "what the targets of the pool take by the limits that they name is used up for the moment"
)

// logNoTarget logs what the targets of the pool signal, if anything.
func (f *flow) logNoTarget(reason string) {
	if lines := f.server.placer.signalLogEntries(f.pool); len(lines) > 0 {
		f.logInfo("no target", "pool", f.pool, "reason", reason, "targetSignals", lines)
	}
}

// noTargetReason returns why no target can be chosen.
func (f *flow) noTargetReason() string {
	_, reason := f.noTargetCause()
	return reason
}

// noTargetCause returns why no target can be chosen, and the kind of that reason.
func (f *flow) noTargetCause() (kind refusalKind, reason string) {
	if f.versionGone() {
		return refusedVersionGone, reasonVersionGone
	}
	if f.allowedRegions.Restricted && f.server.fleet.OpenCount(f.pool, f.allowedRegions) == 0 {
		return refusedNoTarget, reasonNoTargetInRegions
	}
	if f.server.fleet.AtCapacity(f.server.clock.Now(), f.pool) {
		return refusedLimits, reasonAtCapacity
	}
	if _, cold := f.server.fleet.TimeUntilWarm(f.server.clock.Now(), f.pool); cold {
		return refusedLimits, reasonCold
	}
	if wait, limited := f.server.placer.limitWait(f.pool); limited && wait > 0 {
		return refusedLimits, reasonRateLimited
	}
	if f.server.placer.brittleExhausted(f.pool) {
		return refusedLimits, reasonBrittle
	}
	if _, backingOff := f.server.fleet.backoffRemaining(f.server.clock.Now(), f.pool); backingOff {
		return refusedLimits, reasonBackoff
	}
	return refusedNoTarget, reasonNoTarget
}

// targetRetryAfter returns when a caller should come back whose request no target accepted: when the first cold target
// is warm, or when a target with a rate limit or in backoff may get a request again.
func (f *flow) targetRetryAfter(last *attemptResult) time.Duration {
	if !last.noTarget {
		return busyRetryAfter
	}
	wait := time.Duration(0)
	keepEarliest := func(remaining time.Duration, applies bool) {
		if applies && (wait == 0 || remaining < wait) {
			wait = remaining
		}
	}
	now := f.server.clock.Now()
	keepEarliest(f.server.fleet.TimeUntilWarm(now, f.pool))
	keepEarliest(f.server.fleet.backoffRemaining(now, f.pool))
	keepEarliest(f.server.placer.limitWait(f.pool))
	return f.limitRetryAfter(wait)
}

// limitRetryAfter limits a wait to the fraction of the remaining time for which callers wait.
func (f *flow) limitRetryAfter(wait time.Duration) time.Duration {
	return max(busyRetryAfter, min(wait, f.firstEventTimeLeft()/retryAfterDivisor))
}

func (f *flow) criteria() TargetCriteria {
	criteria := TargetCriteria{Zone: f.server.zone, Tried: f.triedTargets, Engine: f.poolSpec.Engine != nil, OwnTokens: f.req.PromptTokens, Route: f.route.Name, MaxPause: f.route.MaxPause, Rank: f.rank, AllowedRegions: f.allowedRegions, Software: f.origin.Software}
	if f.inputZone != "" {
		criteria.Zone, criteria.InputBytes = f.inputZone, f.inputBytes
	}
	if n := len(f.req.PromptParts); n > 1 {
		criteria.SharedParts = f.req.PromptParts[:n-1]
		criteria.OwnTokens = f.req.PromptParts[n-1].Tokens
	}
	return criteria
}

// attempt is one request to one target. Its own goroutine sends the request and reads the response; all else is done by
// the goroutine of the request, which receives its updates.
type attempt struct {
	race      *race
	placement *Placement
	// ctx is canceled with a cause if this daemon ends the attempt.
	ctx       context.Context
	cancel    context.CancelCauseFunc
	span      trace.Span
	startedAt time.Time
	// work records when the target may have worked on the request.
	work *workSpan
	// startDelay is how long the attempt may take to start answering before a hedging attempt.
	startDelay hedgeDelay
	// cancelFreeing stops the timer that frees the inputs, and stopWatching the watch for the end of the target's run.
	cancelFreeing, stopWatching func()

	verdict HealthVerdict
	load    Load
	// late is set if the attempt took too long, which was already reported as a failure of its target.
	late bool
	// repeated is set if the target may have run the request before.
	repeated bool
	// counted is set if the attempt is counted in the runs of the request, streamStarted once its first event has
	// arrived, and answered once the complete response has arrived and is no failure.
	counted, streamStarted, answered bool
	// beganAt is when the target began to answer, and sound is set once it has lived on for long enough after that.
	beganAt time.Time
	sound   bool
}

// hedgeDelay is how long an attempt may be silent before a hedging attempt, and the basis of that time.
type hedgeDelay struct {
	delay time.Duration
	// typical is the upper bound that is nearly always sufficient.
	typical time.Duration
	// basis names the rule that determined the delay.
	basis string
}

// Values of hedgeDelay.basis.
const (
	basisTypical  = "what is usual"
	basisGoal     = "the goal of the route"
	basisMinimum  = "the least that is waited for"
	basisTimeLeft = "the time that is left"
	basisMaxPause = "the pause that the route allows"
)

// startHedgeDelay returns how long a target may take to start answering before a hedging attempt.
func (f *flow) startHedgeDelay() hedgeDelay {
	timeLeft := f.firstEventTimeLeft()
	if f.route.Kind == routeStream {
		typical := f.timeToFirstEvent()
		return hedgeDelayFor(typical, startDelayFactor).atLeast(f.route.LatencyGoal/2, basisGoal).atMost(timeLeft)
	}
	typical := f.server.responseTimes.upperBound(f.pool, initialResponseTime)
	return hedgeDelayFor(typical, startDelayFactor).atLeast(f.route.LatencyGoal, basisGoal).atMost(timeLeft / 2)
}

// silenceHedgeDelay returns how long a started stream may be silent before another target is asked to resume it.
func (f *flow) silenceHedgeDelay() hedgeDelay {
	return hedgeDelayFor(f.timeToFirstEvent(), minSilenceStarts).atLeast(time.Duration(silenceFactor*float64(f.route.MaxPause)), basisMaxPause)
}

// hedgeDelayFor returns a multiple of the typical upper bound, but at least minStartTimeout.
func hedgeDelayFor(typical time.Duration, factor int) hedgeDelay {
	d := hedgeDelay{delay: time.Duration(factor) * typical, typical: typical, basis: basisTypical}
	return d.atLeast(minStartTimeout, basisMinimum)
}

// times returns a multiple of the delay.
func (d hedgeDelay) times(factor float64) hedgeDelay {
	d.delay = time.Duration(factor * float64(d.delay))
	return d
}

// atLeast returns the delay, or a longer one with another basis.
func (d hedgeDelay) atLeast(delay time.Duration, basis string) hedgeDelay {
	if delay > d.delay {
		d.delay, d.basis = delay, basis
	}
	return d
}

// atMost returns the delay, or a shorter one if less time is left.
func (d hedgeDelay) atMost(limit time.Duration) hedgeDelay {
	if limit < d.delay {
		d.delay, d.basis = limit, basisTimeLeft
	}
	return d
}

// nextAttempt chooses a target: a new one while the route allows one, otherwise one whose attempt was canceled in favor
// of another that has failed or is late since. It returns nil if there is none.
func (r *race) nextAttempt() *attempt {
	if r.possibleRuns() < r.flow.maxRuns() {
		if a := r.newAttempt(); a != nil {
			return a
		}
	}
	return r.repeatAttempt()
}

// newAttempt chooses a target that was not tried yet, or returns nil.
func (r *race) newAttempt() *attempt {
	f := r.flow
	return r.newAttemptAt(f.server.placer.Choose(r.ctx, f.pool, f.criteria()))
}

// repeatAttempt chooses a target whose attempt was canceled, each one once, or returns nil.
func (r *race) repeatAttempt() *attempt {
	f := r.flow
	for len(f.superseded) > 0 {
		id := f.superseded[0]
		f.superseded = f.superseded[1:]
		a := r.newAttemptAt(f.server.placer.ChooseByID(r.ctx, f.pool, id, f.criteria()))
		f.logInfo("return to a target", "target", id, "runs", f.runs, "lastEvent", f.lastEventID, "taken", a != nil)
		if a != nil {
			a.repeated = true
			return a
		}
	}
	return nil
}

func (r *race) newAttemptAt(placement *Placement) *attempt {
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
	f.recordFirstSend()
	f.triedTargets[spec.ID] = true
	f.target = spec.ID
	ctx, span := otel.Tracer(tracerName).Start(a.race.ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("emberlead.target", spec.ID)))
	a.span = span
	a.work = f.addWork(spec.ID)
	attemptCtx, cancelCtx := context.WithCancelCause(ctx)
	cancel := func(cause error) {
		a.work.stop()
		cancelCtx(cause)
	}
	a.ctx, a.cancel = attemptCtx, cancel
	stop := context.AfterFunc(a.placement.Target.runCtx, func() {
		s.clock.AfterFunc(restartGrace, func() { cancel(errTargetRestarted) })
	})
	a.stopWatching = func() { stop() }
	a.cancelFreeing = a.freeInputsAfterFetch()
	fwd := &ForwardInfo{Target: spec, TimeLeft: f.timeLeft(), Workspace: f.workspace, Inputs: f.inputHandles, After: f.lastEventID, Priority: f.rank}
	out := &TargetRequest{
		Target: spec, ID: f.req.ID, Method: f.req.Method, URI: f.req.URI, Host: f.req.Host, Header: s.dialect.Header(f.req, fwd), Body: f.req.Body,
		NonIdempotent: !f.route.Repeatable(),
		Matches:       func(h http.Header) bool { return s.dialect.ParseResponse(0, h).RequestID == f.req.ID },
	}
	x := &exchange{attempt: a, ctx: a.ctx, server: s, to: spec.Address, requestID: f.req.ID, stream: f.route.Kind == routeStream, answers: &f.answers, span: a.work}
	out.Observer = x
	context.AfterFunc(a.ctx, a.work.stop)
	a.race.handover.add()
	go x.run(out)
}

// freeInputsAfterFetch frees the inputs once the target has had time to fetch them, unless stop is called before.
func (a *attempt) freeInputsAfterFetch() (stop func()) {
	f := a.race.flow
	if len(f.inputHandles) == 0 {
		return func() {}
	}
	stageResults := f.stageResults
	timer := f.server.clock.AfterFunc(f.server.fetchTimes.keepTime(f.pool), func() {
		// AfterFunc may run in the goroutine of the clock, which must not block on a lock.
		go f.freeResults(stageResults)
	})
	return func() { timer.Stop() }
}

// recordFetch records whether inputs that were freed before the target answered had been fetched by then.
func (f *flow) recordFetch(sent time.Time, fetched bool) {
	if !f.inputsFreed() {
		return
	}
	keep := f.server.fetchTimes.observe(f.server.clock.Now(), sent, f.pool, fetched)
	if !fetched {
		f.logInfo("inputs were freed too early", "pool", f.pool, "target", f.target, "keepNext", formatDuration(keep))
	}
}

// markRun counts the attempt among those that reached a target and may have run there.
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

// markFailed reports a failure of the target, once per attempt.
func (a *attempt) markFailed() {
	if !a.late {
		a.verdict = VerdictFailure
	}
}

// reportSlow reports that the attempt takes long, unless the daemon's link to the target may be the cause.
func (a *attempt) reportSlow() {
	checker, placement, since := a.race.flow.server.linkChecker, a.placement, a.startedAt
	if checker == nil {
		placement.ReportSlow()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(a.ctx, probeTimeout)
		defer cancel()
		if checker.CheckTarget(ctx, placement.Spec.Address, since) {
			placement.ReportSlow()
		}
	}()
}

// handleError handles a missing or truncated response.
func (a *attempt) handleError(err error, reason string) attemptResult {
	result := attemptResult{reason: reason, err: err}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		result.notRun, result.kind = true, refusedNoTarget
	} else {
		result.sent = true
		a.markRun()
	}
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errTargetRestarted):
		a.markFailed()
		result.reason = cause.Error()
	case errors.Is(cause, errDeadlineReached), errors.Is(cause, errNoFirstEvent), errors.Is(cause, errClosing):
		// Most of the time may have gone into the stages, so this alone says nothing about the target.
		result.reason = cause.Error()
	case a.ctx.Err() != nil:
		result.reason = "the caller left"
	case mayBeLink(err):
		a.verdict = VerdictUnreached
	default:
		a.markFailed()
	}
	return result
}

// handleRefusal handles a response of a target that did not run the request.
func (a *attempt) handleRefusal(status int, info ResponseInfo) attemptResult {
	a.race.flow.sent++
	result := attemptResult{notRun: true, sent: true, lostInput: info.LostInput, misdirected: info.Misdirected}
	switch {
	case info.Misdirected:
		a.markFailed()
		result.reason, result.kind = "another target has the address", refusedNoTarget
	case info.LostInput:
		result.reason, result.kind = "an input is gone", refusedInputsExpired
		a.race.flow.recordFetch(a.startedAt, false)
	default:
		a.verdict = VerdictOverloaded
		result.reason, result.kind = "the target refused the request: "+http.StatusText(status), refusedLimits
	}
	return result
}

// handleResponse handles a complete response. Nothing of it was forwarded before its end, so that a truncated one never
// looks complete.
func (a *attempt) handleResponse(response *bufferedResponse) attemptResult {
	f := a.race.flow
	a.verdict, a.beganAt = VerdictSuccess, f.server.clock.Now()
	a.answered = response.status/100 == http.StatusOK/100
	f.server.responseTimes.observe(f.pool, initialResponseTime, f.server.clock.Now().Sub(a.startedAt))
	if response.status >= http.StatusInternalServerError && f.route.Repeatable() {
		f.fallback = response
		return attemptResult{sent: true, response: response, reason: "the target failed: " + http.StatusText(response.status)}
	}
	f.forwardResponse(response)
	return attemptResult{done: true, sent: true}
}

// handlePassingStart sends the head of an answer that is passed on as it arrives.
func (a *attempt) handlePassingStart(update *attemptUpdate) {
	f := a.race.flow
	f.passing, a.beganAt = true, f.server.clock.Now()
	f.target = a.placement.Spec.ID
	f.server.counts.passedOn.Add(1)
	f.recordFetch(a.startedAt, true)
	f.freeAllResults()
	f.logInfo("answer passed on as it arrives", "target", f.target, "status", update.response.Status, "buffered", update.body.size(), "bufferedByAll", f.server.answers.used.Load())
	f.copyHeader(update.response.Header)
	if length := update.response.Header.Get("Content-Length"); length != "" {
		f.w.Header().Set("Content-Length", length)
	}
	f.w.WriteHeader(update.response.Status)
	f.committed = true
}

// handlePassedEnd handles the end of an answer that was passed on as it arrived.
func (a *attempt) handlePassedEnd(update *attemptUpdate) attemptResult {
	if update.err != nil {
		return a.handleError(update.err, "the answer broke off: "+update.err.Error())
	}
	a.verdict, a.answered = VerdictSuccess, update.response.Status/100 == http.StatusOK/100
	if err := a.race.flow.forwardBody(update.body); err != nil {
		a.race.flow.logInfo("failed to write the response to the caller", "error", err)
	}
	return attemptResult{done: true, sent: true}
}

// handleStreamStart handles the first events of a stream.
func (a *attempt) handleStreamStart() {
	f := a.race.flow
	a.streamStarted, a.beganAt = true, f.server.clock.Now()
	f.logInfo("stream begins at a target", "target", a.placement.Spec.ID, "software", a.placement.Spec.Software, "lastEvent", f.lastEventID, "committed", f.committed, "resumes", f.req.Resumes)
	a.placement.RecordResponseStart()
	f.recordFirstEvent(f.server.clock.Now().Sub(a.startedAt))
	// An engine fetches all inputs before it reads the prompt.
	f.recordFetch(a.startedAt, true)
	f.freeAllResults()
}

// handleStreamEnd handles the end of a stream, which is complete if the target ended it after a complete event.
func (a *attempt) handleStreamEnd(update *attemptUpdate) attemptResult {
	f := a.race.flow
	if errors.Is(update.err, io.EOF) && !update.truncated {
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
