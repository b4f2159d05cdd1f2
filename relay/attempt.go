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
	leastLeft = 20 * time.Millisecond
	// startWaits is how many times what is nearly always enough an answer may take to begin before another target is
	// asked: a second attempt costs as much work as the first, and takes as long.
	startWaits = 4
	// answerPrior is the time of a plain answer before the pool was observed.
	answerPrior = 60 * time.Millisecond
	// gapWaits is how many times the longest pause in time a stream may be silent before it is continued elsewhere; it
	// is late by then, and going on elsewhere has its prompt read again.
	gapWaits = 2.2
	// gapStarts is how many times what a first event nearly always takes such a silence lasts at the least.
	gapStarts = 3
	// attemptsMost bounds the attempts of one request, refused ones included.
	attemptsMost = 6
	// answerMost bounds an answer that is held until it is whole.
	answerMost = 16 << 20
	// restartGrace is how long after a target's next run is known an attempt at the last one goes on, so that what that
	// one sent before its end is still read: a way of some milliseconds, and a busy daemon's delay.
	restartGrace = 250 * time.Millisecond
	// waitBusy is when to come back to a pool whose targets refuse work.
	waitBusy = 300 * time.Millisecond
)

// Causes of an attempt's end by this daemon.
var (
	errSlowStart = errors.New("no answer began in time")
	errSilent    = errors.New("the stream was silent for too long")
	errTimeUp    = errors.New("the time for the request is over")
	errRestarted = errors.New("the target has started again")
)

// attemptEnd is what came of an attempt.
type attemptEnd struct {
	// done says that the whole answer went out.
	done bool
	// notRun says that the target certainly did not run the request; sent says that it reached the target.
	notRun, sent bool
	// lostInput says that the target did not run it since an input is gone.
	lostInput bool
	// answer is a whole failure answer of the target that may be passed on if nothing better comes.
	answer *wholeAnswer
	reason string
	// otherTarget says that another target has the address, and err is why the request was not sent or not answered.
	otherTarget bool
	// noTarget says that no target of the pool may get work now.
	noTarget bool
	err      error
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// runSelf makes attempts until one answers, or no other is allowed or sensible. lost says that inputs must be made
// anew first.
func (f *flow) runSelf(ctx context.Context) (fail *failure, lost bool) {
	s := f.server
	var last attemptEnd
	for n := 0; n < attemptsMost; n++ {
		if ctx.Err() != nil {
			return f.notRun(0, "the caller left"), false
		}
		if f.left() < leastLeft {
			return f.timedOut(last.reason), false
		}
		if fail := f.refuseCrashing(); fail != nil {
			f.keepReady(&last)
			if f.passReady() {
				return nil, false
			}
			return fail, false
		}
		if n > 0 && !f.mayRetry(&last) {
			break
		}
		if n > 0 && f.inputsFreed() {
			return f.withoutInputs(&last), true
		}
		end := f.attempt(ctx)
		if end.done {
			return nil, false
		}
		last = end
		if end.lostInput {
			return f.notRun(waitBusy, "an input of the request is gone"), true
		}
		if end.noTarget {
			break
		}
	}
	f.keepReady(&last)
	if f.passReady() {
		return nil, false
	}
	s.log.Debug("no further attempt", "request", f.req.ID, "reason", last.reason)
	if f.left() < leastLeft {
		return f.timedOut(last.reason), false
	}
	return f.notRun(f.waitForTarget(&last), last.reason), false
}

// withoutInputs is the failure of a request that another target may get, but whose inputs were given up; it stands
// unless they can be made anew.
func (f *flow) withoutInputs(last *attemptEnd) *failure {
	f.keepReady(last)
	return f.notRun(waitBusy, last.reason)
}

// keepReady keeps the failure answer of an attempt, if there is one.
func (f *flow) keepReady(last *attemptEnd) {
	if last.answer != nil {
		f.ready = last.answer
	}
}

// passReady passes on the failure answer of a target that nothing better came after, if there is one.
func (f *flow) passReady() bool {
	if f.ready == nil || f.committed {
		return false
	}
	f.passWhole(f.ready)
	return true
}

func (f *flow) timedOut(reason string) *failure {
	if reason == "" {
		reason = "its stages took too long"
	}
	if f.runs > 0 {
		return &failure{status: http.StatusGatewayTimeout, reason: "the time is over: " + reason}
	}
	return &failure{status: http.StatusServiceUnavailable, wait: retryFloor, reason: "the time is over: " + reason}
}

// mayRetry decides whether another target may get the request.
func (f *flow) mayRetry(last *attemptEnd) bool {
	s := f.server
	switch {
	case !last.notRun && !f.route.Repeatable():
		return false
	case !last.notRun && f.runs >= max(1, f.route.MaxTargets):
		f.note("no retry", "reason", "as many targets as allowed have run it", "runs", f.runs, "last", last.reason)
		return false
	case f.sent > 0 && !f.spendRetry(last):
		return false
	}
	s.counts.again.Add(1)
	f.note("retry", "sent", f.sent, "runs", f.runs, "last", last.reason, "left", brief(f.left()))
	return true
}

// spendRetry takes a further attempt out of the pool's budget, if there is one left.
func (f *flow) spendRetry(last *attemptEnd) bool {
	s := f.server
	share := s.peers.Share()
	budget, ok := s.budgetOf(f.pool).Spend(s.clock.Now(), share.Part)
	if !ok {
		f.note("no retry", "reason", "the retry budget of the pool is spent", "pool", f.pool, "spent", budget.Spent, "allowed", budget.Allowed,
			"share", share.Part, "counted", share.Counted, "noShare", share.Reason, "last", last.reason)
	}
	return ok
}

// Reasons for which no target is chosen.
const (
	reasonNoTarget = "the pool has no target that may get work"
	reasonHomes    = "the pool has no target in the regions that the request is bound to"
	reasonCrowded  = "each target of the pool has as many requests as it may have at a time"
	reasonCold     = "the targets of the pool are cold, and get no more for the moment"
)

func (f *flow) noTarget() string {
	if f.homes.Bound && f.server.fleet.Open(f.pool, f.homes) == 0 {
		return reasonHomes
	}
	if f.server.fleet.Crowded(f.server.clock.Now(), f.pool) {
		return reasonCrowded
	}
	if _, cold := f.server.fleet.WarmIn(f.server.clock.Now(), f.pool); cold {
		return reasonCold
	}
	return reasonNoTarget
}

// waitForTarget is when a caller should come back for whom no target took the request: where targets are cold, when the first
// of them is warm.
func (f *flow) waitForTarget(last *attemptEnd) time.Duration {
	in, cold := f.server.fleet.WarmIn(f.server.clock.Now(), f.pool)
	if !last.noTarget || !cold {
		return waitBusy
	}
	return max(waitBusy, min(in, f.left()/comeBackPart))
}

func (f *flow) want() Want {
	w := Want{Zone: f.server.zone, Tried: f.tried, Engine: f.spec.Engine != nil, OwnTokens: f.req.PromptTokens, Route: f.route.Name, Gap: f.route.Gap, Rank: f.rank, Homes: f.homes}
	if f.zone != "" {
		w.Zone, w.Inputs = f.zone, f.bulk
	}
	if n := len(f.req.Parts); n > 1 {
		w.Shared = f.req.Parts[:n-1]
		w.OwnTokens = f.req.Parts[n-1].Tokens
	}
	return w
}

// attempt sends the request to one target.
func (f *flow) attempt(ctx context.Context) attemptEnd {
	s := f.server
	now := s.clock.Now()
	w := f.want()
	placed := s.placer.Choose(ctx, f.pool, w)
	if placed == nil {
		return attemptEnd{notRun: true, noTarget: true, reason: f.noTarget()}
	}
	spec := placed.Spec
	f.tried[spec.ID] = true
	f.target = spec.ID
	ctx, span := otel.Tracer(tracer).Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("emberlead.target", spec.ID)))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	endTimer := s.clock.AfterFunc(f.left(), func() { cancel(errTimeUp) })
	defer endTimer.Stop()
	defer context.AfterFunc(placed.Target.running, func() {
		s.clock.AfterFunc(restartGrace, func() { cancel(errRestarted) })
	})()
	a := &attempt{flow: f, placed: placed, cancel: cancel, began: now}
	fwd := &Forward{Target: spec, Left: f.left(), Workspace: f.workspace, Inputs: f.handles, After: f.after, Priority: f.rank}
	out := &Outgoing{
		Method: f.req.Method, URI: f.req.URI, Host: f.req.Host, Header: s.dialect.Header(f.req, fwd), Body: f.req.Body,
		Once: !f.route.Repeatable(),
		Mine: func(h http.Header) bool { return s.dialect.ReadReply(0, h).Request == f.req.ID },
	}
	end := a.send(ctx, out)
	placed.Ended(a.verdict, a.load)
	a.noteEnd(ctx, &end)
	if !end.done {
		f.note("attempt failed", "target", spec.ID, "address", spec.Address, "zone", spec.Zone, "cold", placed.Cold, "sent", end.sent, "notRun", end.notRun,
			"targets", s.fleet.Version(), "took", brief(s.clock.Now().Sub(now)), "reason", end.reason)
	}
	return end
}

// attempt is one request to one target.
type attempt struct {
	flow    *flow
	placed  *Placed
	cancel  context.CancelCauseFunc
	verdict Verdict
	load    Load
	began   time.Time
	// first says that the first event has come, and answered that the whole answer did, which is no failure.
	first, answered bool
}

func (a *attempt) send(ctx context.Context, out *Outgoing) attemptEnd {
	f := a.flow
	s := f.server
	slow := s.clock.AfterFunc(a.firstWait(), func() { a.cancel(errSlowStart) })
	defer slow.Stop()
	defer a.freeOnceFetched()()
	in, err := s.sender.Send(ctx, a.placed.Spec.Address, out)
	if err != nil {
		return a.noAnswer(ctx, err)
	}
	defer in.Body.Close()
	f.sent++
	reply := s.dialect.ReadReply(in.Status, in.Header)
	a.load = reply.Load
	if reply.NotRun || reply.OtherTarget {
		return a.refused(in, reply)
	}
	f.runs++
	if in.Status/100 == 2 && (!reply.Stamped || reply.Encoded || reply.Request != f.req.ID) {
		a.verdict = VerdictBad
		return attemptEnd{sent: true, reason: "the answer is not that of the request"}
	}
	if f.route.Kind == routeStream && in.Status == http.StatusOK {
		return a.stream(ctx, in, slow)
	}
	return a.whole(ctx, in)
}

// freeOnceFetched gives the inputs up when the target has had the time to fetch them, unless it is stopped before.
func (a *attempt) freeOnceFetched() (stop func()) {
	f := a.flow
	if len(f.handles) == 0 {
		return func() {}
	}
	inputs := f.inputs
	timer := f.server.clock.AfterFunc(f.server.fetches.wait(f.pool), func() {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		go f.freeResults(inputs)
	})
	return func() { timer.Stop() }
}

// noteFetched learns whether inputs that were given up before the target answered were fetched by then.
func (f *flow) noteFetched(sent time.Time, fetched bool) {
	if !f.inputsFreed() {
		return
	}
	keep := f.server.fetches.done(f.server.clock.Now(), sent, f.pool, fetched)
	if !fetched {
		f.note("inputs were freed too early", "pool", f.pool, "target", f.target, "keepNext", brief(keep))
	}
}

// firstWait is how long the target may take to begin; when no other may run the request, as long as there is time.
func (a *attempt) firstWait() time.Duration {
	f := a.flow
	left := f.left()
	if !f.route.Repeatable() || f.runs+1 >= f.route.MaxTargets {
		return left
	}
	if f.route.Kind == routeStream {
		return min(left, max(startWaits*f.toFirstEvent(), f.route.Goal/2))
	}
	return min(left/2, max(startWaits*f.server.answers.most(f.pool, answerPrior), f.route.Goal))
}

func (a *attempt) noAnswer(ctx context.Context, err error) attemptEnd {
	f := a.flow
	end := attemptEnd{reason: err.Error(), err: err}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		end.notRun = true
	} else {
		end.sent = true
		f.sent++
		f.runs++
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errSlowStart), errors.Is(cause, errRestarted):
		a.verdict, end.reason = VerdictBad, cause.Error()
	case errors.Is(cause, errTimeUp):
		// Most of the time may have gone into the stages, so this alone says nothing of the target.
		end.reason = cause.Error()
	case ctx.Err() != nil:
		end.reason = "the caller left"
	default:
		a.verdict = VerdictBad
	}
	return end
}

func (a *attempt) refused(in *Incoming, reply Reply) attemptEnd {
	_, _ = io.Copy(io.Discard, io.LimitReader(in.Body, answerMost))
	end := attemptEnd{notRun: true, sent: true, lostInput: reply.LostInput, otherTarget: reply.OtherTarget}
	switch {
	case reply.OtherTarget:
		a.verdict = VerdictBad
		end.reason = "another target has the address"
	case reply.LostInput:
		end.reason = "an input is gone"
		a.flow.noteFetched(a.began, false)
	default:
		a.verdict = VerdictFull
		end.reason = "the target refused the request: " + http.StatusText(in.Status)
	}
	return end
}

// whole reads an answer to its end before anything of it is passed on, so that one that is cut never looks whole.
func (a *attempt) whole(ctx context.Context, in *Incoming) attemptEnd {
	body, err := io.ReadAll(io.LimitReader(in.Body, answerMost))
	if err != nil {
		if context.Cause(ctx) == nil {
			a.verdict = VerdictBad
		}
		return attemptEnd{sent: true, reason: "the answer broke off: " + err.Error()}
	}
	a.verdict = VerdictGood
	a.answered = in.Status/100 == http.StatusOK/100
	a.flow.server.answers.observe(a.flow.pool, answerPrior, a.flow.server.clock.Now().Sub(a.began))
	answer := &wholeAnswer{status: in.Status, header: in.Header, body: body}
	if in.Status >= http.StatusInternalServerError && a.flow.route.Repeatable() {
		return attemptEnd{sent: true, answer: answer, reason: "the target failed: " + http.StatusText(in.Status)}
	}
	a.flow.passWhole(answer)
	return attemptEnd{done: true, sent: true}
}
