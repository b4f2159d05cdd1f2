package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"emberlead/proto"
)

const (
	// responseMargin is how long before a request's deadline the final response is sent, so that it arrives in time.
	responseMargin = 15 * time.Millisecond
	// bodyReadTimeout limits the reading of a body; callers within the limits send theirs immediately.
	bodyReadTimeout = 5 * time.Second
	// unknownPoolRetryAfter is the Retry-After for a pool that the current configuration lacks.
	unknownPoolRetryAfter = 400 * time.Millisecond
	// outdatedRetryAfter is the Retry-After for a route or key that a configuration on its way may have.
	outdatedRetryAfter = 300 * time.Millisecond
	// unconfirmedRetryAfter is the Retry-After for a route or key that a newer configuration may have. A daemon whose configuration nobody
	// confirms checks it by itself within about that time.
	unconfirmedRetryAfter = time.Second
	// startupWait is how long a request waits for a daemon that is starting: a fraction of the shortest latency goals.
	startupWait = 100 * time.Millisecond
	// fullRetryAfter is the Retry-After of a daemon at its limit of open requests.
	fullRetryAfter = time.Second
	// streamAcceptTime is how long streams are accepted after the daemon was told to stop. The load balancer checks every second and
	// sends no new callers after two failed checks; those with open connections find another daemon once they are refused.
	streamAcceptTime = 2500 * time.Millisecond
	// minStreamTime and minRequestTime are the durations that streams and other requests are given at least before a
	// stopping daemon exits, even if those of the route have been shorter: one that is cut off costs its caller the
	// whole response, one that is refused only the trip to another daemon.
	minStreamTime  = 4500 * time.Millisecond
	minRequestTime = 1500 * time.Millisecond
	// stopMargin is how long before it exits a stopping daemon refuses requests with unfinished stages. The refusal
	// still reaches the caller, who goes to another daemon; later the request would end without a response.
	stopMargin = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a stopping daemon: another one can take the request at once.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = time.Minute
	tracerName     = "emberlead"
)

// Limits limits a daemon's own resources.
type Limits struct {
	// MaxOpen is the maximum number of requests in progress.
	MaxOpen int64
	// BufferedAnswerBytes is the maximum number of bytes of answers that are buffered for all requests together, apart
	// from the first 16 kB of each; 0 for no limit. Beyond it, answers are passed on as they arrive.
	BufferedAnswerBytes int64
	// RequestBodyBytes is the maximum number of bytes of the bodies of all requests in progress, which are held until
	// they end, however slowly targets read them; 0 for no limit. Beyond it, requests are refused.
	RequestBodyBytes int64
}

// Server forwards callers' requests to targets.
type Server struct {
	clock         clockwork.Clock
	log           hclog.Logger
	dialect       Dialect
	sender        Sender
	fleet         *Fleet
	tables        *Tables
	pieces        *PieceScheduler
	placer        *Placer
	peers         Peers
	limits        Limits
	zone          string
	handover      handoverPolicy
	answers       byteBudget
	bodies        byteBudget
	counts        RequestCounters
	crashTracker  *CrashTracker
	crashDetector *CrashDetector
	linkChecker   LinkChecker
	origins       *Origins
	intake        Intake
	routingAge    CopyAge
	maxRoutingAge time.Duration

	// firstEventTimes are the times to the first event of streams, by route and without the stages. responseTimes are those to
	// complete responses and callTimes those of calls for pieces, by pool. requestTimes are those of whole requests, by route.
	firstEventTimes, responseTimes, callTimes, requestTimes *durationEstimates[string]
	fetchTimes                                              fetchTimes

	// streams holds the requests in progress that callers may take up elsewhere.
	streams streamRequests

	budgetMu sync.Mutex
	budgets  map[string]*RetryBudget
	budget   RetryBudgetConfig

	started  <-chan struct{}
	open     atomic.Int64
	stopping atomic.Pointer[stopPlan]
	// stagesCtx is canceled, by cancelStages, when the stopping daemon refuses requests with unfinished stages, and
	// closeCtx, by close, when it answers those that targets still run.
	stagesCtx, closeCtx context.Context
	cancelStages, close context.CancelFunc
}

// stopPlan says when a daemon began to stop and when it exits.
type stopPlan struct{ startedAt, lastMoment time.Time }

// acceptUntil returns when the daemon stops accepting requests of a kind because its exit might cut them off. duration
// is the upper bound of the duration of the route's requests, 0 if unknown.
func (p *stopPlan) acceptUntil(kind proto.RouteKind, duration time.Duration) time.Time {
	if kind != proto.RouteStream {
		return p.lastMoment.Add(-max(minRequestTime, duration))
	}
	end := p.lastMoment.Add(-max(minStreamTime, duration))
	if streamsEnd := p.startedAt.Add(streamAcceptTime); streamsEnd.Before(end) {
		return streamsEnd
	}
	return end
}

// ServerConfig holds the dependencies and settings of a Server.
type ServerConfig struct {
	Clock   clockwork.Clock
	Log     hclog.Logger
	Dialect Dialect
	Sender  Sender
	Fleet   *Fleet
	Tables  *Tables
	Pieces  *PieceScheduler
	Placer  *Placer
	Peers   Peers
	Zone    string
	Budget  RetryBudgetConfig
	Limits  Limits
	// CrashTracker blocks requests that crash targets, and Ends is told about failed attempts. Both may be nil.
	CrashTracker  *CrashTracker
	CrashDetector *CrashDetector
	// LinkChecker may be nil if the links to targets never fail.
	LinkChecker LinkChecker
	// Origins knows where streams began; nil if no other daemon needs to know.
	Origins *Origins
	// Intake decides which requests are served; nil for all.
	Intake Intake
	// RoutingAge tells how current the configuration is; nil if it always is. Within MaxRoutingAge a new configuration must be in force; 0 for
	// no limit.
	RoutingAge    CopyAge
	MaxRoutingAge time.Duration
	// Started is closed once the daemon has the data to serve requests; nil if it has it already.
	Started <-chan struct{}
}

// NewServer returns a server. It refuses requests until a configuration is known.
func NewServer(c ServerConfig) *Server {
	s := &Server{
		handover: stopEarlier, clock: c.Clock, log: c.Log, dialect: c.Dialect, fleet: c.Fleet, tables: c.Tables,
		pieces: c.Pieces, placer: c.Placer, peers: c.Peers, zone: c.Zone, limits: c.Limits, started: c.Started, budget: c.Budget, budgets: map[string]*RetryBudget{},
		crashTracker: c.CrashTracker, crashDetector: c.CrashDetector, linkChecker: c.LinkChecker, origins: c.Origins, intake: c.Intake, routingAge: c.RoutingAge, maxRoutingAge: c.MaxRoutingAge,
	}
	if s.routingAge == nil {
		s.routingAge = func(time.Time) (time.Duration, bool) { return 0, true }
	}
	for _, times := range []**durationEstimates[string]{&s.firstEventTimes, &s.responseTimes, &s.callTimes, &s.requestTimes} {
		*times = newDurationEstimates[string](c.Clock)
	}
	if s.origins == nil {
		s.origins = NewOrigins(c.Clock, c.Log, nil)
	}
	s.sender = newNoticeSender(c.Sender, c.Dialect, c.Fleet, c.Clock, c.Log)
	s.answers.limit, s.bodies.limit = c.Limits.BufferedAnswerBytes, c.Limits.RequestBodyBytes
	s.stagesCtx, s.cancelStages = context.WithCancel(context.Background())
	s.closeCtx, s.close = context.WithCancel(context.Background())
	return s
}

// OpenRequests returns the number of requests in progress.
func (s *Server) OpenRequests() int64 { return s.open.Load() }

// Stop makes every response from now on close its connection, so that callers move to other daemons. Callers that keep one may send
// requests for a while. Those that might not finish before the last moment are refused as not run: at once, or shortly before that
// moment if their stages take longer than expected. Those that a target still runs at that moment are answered as possibly run.
func (s *Server) Stop(startedAt, lastMoment time.Time) {
	s.stopping.Store(&stopPlan{startedAt: startedAt, lastMoment: lastMoment})
	s.clock.AfterFunc(lastMoment.Sub(startedAt)-stopMargin, s.cancelStages)
	s.clock.AfterFunc(lastMoment.Sub(startedAt), s.close)
}

// Counts returns the counters since the start of the process.
func (s *Server) Counts() *RequestCounters { return &s.counts }

func (s *Server) budgetOf(pool string) *RetryBudget {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	b := s.budgets[pool]
	if b == nil {
		b = NewRetryBudget(s.clock.Now(), s.budget)
		s.budgets[pool] = b
	}
	return b
}

// flow is the state of one request, from its acceptance to its final response.
type flow struct {
	server        *Server
	w             http.ResponseWriter
	req           *Request
	route         *proto.Route
	pool          string
	poolSpec      *proto.RelayPool
	workspace     string
	workspaceSpec *proto.RelayWorkspace
	// digest identifies the request when its caller retries it, even under another id.
	digest proto.RequestDigest
	// parts are the digests of the parts of its prompt that others may share.
	parts []proto.RequestDigest
	// probe is the name of the probe that the request counts as, and probedPart the part of its prompt that may be sound.
	probe      proto.RunName
	probedPart proto.RequestDigest
	// origin is where the stream began, once it has: only targets of the same version may continue it.
	origin proto.StreamOrigin
	// allowedRegions may process the request and its pieces. The body is sent to no other daemon.
	allowedRegions proto.AllowedRegions
	// rank is the priority of the request among those for its pool; 0 is the highest.
	rank           int
	routingVersion uint64
	startedAt      time.Time
	// deadline is when the final response must be sent, due when it should arrive to meet the latency goal.
	deadline, due time.Time

	stageResults []stageResult
	// freeMu guards the flags of freed results, because a timer frees results too.
	freeMu sync.Mutex
	// inputHandles are the results that the request itself needs, in order. inputsMissing is set while they are being
	// made, and if that failed.
	inputHandles  []string
	inputsMissing bool
	// rebuilds counts how often the stages were run again, and expiredRebuilds how often because results had expired.
	rebuilds, expiredRebuilds int
	// inputZone is the zone with the largest part of the inputs, and inputBytes the size of that part.
	inputZone  string
	inputBytes int

	// sent counts the attempts that reached a target, and runs the targets that may have run the request.
	sent, runs int
	// target is the one that was tried last, or that delivered the response.
	target       string
	triedTargets map[string]bool
	// superseded are the targets whose attempts were canceled because another answered first.
	superseded  []string
	committed   bool
	lastEventID int
	// passing is set once the answer is passed on as it arrives, without being buffered until complete.
	passing bool
	// answers is what the request holds of the daemon's limit of buffered answers.
	answers reservation
	// bodies is what the body of the request takes of the daemon's limit of those.
	bodies             reservation
	writeDeadlineSetAt time.Time
	// fallback is a target's failure response, forwarded if no better one arrives.
	fallback *bufferedResponse
	// work records for each attempt when its target may have worked on the request.
	work []*workSpan
	// workMu guards work, which a takeover of the stream reads.
	workMu sync.Mutex
	// cancel ends the request with a cause.
	cancel context.CancelCauseFunc
	// stageLog describes the stages that have ended, including repeated ones.
	stageLog []stageLogEntry
	// firstSentAt is when something was first sent for the request.
	firstSentAt time.Time
	// stagesDoneAt is when the stages were done, and firstEventAt when the first event was forwarded.
	stagesDoneAt, firstEventAt time.Time
	// lastEventAt is when the last event was forwarded, and longestPause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
}

// failure is a final response that the daemon generates itself.
type failure struct {
	status     int
	retryAfter time.Duration
	reason     string
	// kind is the kind of the reason in the statistics of refusals.
	kind refusalKind
	// routingAge tells for an unknown route or key how long ago the configuration was known to be the newest one; nil otherwise.
	routingAge *routingAge
}

// ServeHTTP forwards one request, and returns when the response is complete or has failed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := s.clock.Now()
	if s.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if s.open.Add(1) > s.limits.MaxOpen {
		s.open.Add(-1)
		s.refuse(w, &failure{status: http.StatusServiceUnavailable, retryAfter: fullRetryAfter, reason: "too many requests are in progress", kind: refusedTooManyOpen}, nil, startedAt)
		return
	}
	defer s.open.Add(-1)
	if fail := s.refuseOverload(w, r); fail != nil {
		s.refuse(w, fail, nil, startedAt)
		return
	}
	s.waitForStartup(r.Context())
	f, fail := s.accept(w, r, startedAt)
	if f != nil {
		defer f.bodies.close()
	}
	if fail != nil {
		s.refuse(w, fail, f, startedAt)
		return
	}
	f.logInfo("request accepted", "route", f.route.Name, "workspace", f.workspace, "rank", f.rank, "pool", f.pool, "routing", f.routingVersion,
		"pieces", f.req.Pieces, "homes", f.allowedRegions.Regions, "digest", f.digest.String(), "body", len(f.req.Body), "prompt", f.promptID(), "sharedParts", f.sharedPartIDs(), "promptTokens", f.req.PromptTokens, "mostTokens", f.req.MaxTokens, "due", formatDuration(f.due.Sub(startedAt)), "left", formatDuration(f.timeLeft()), "after", f.req.After, "resumes", f.req.Resumes)
	ctx, span := otel.Tracer(tracerName).Start(r.Context(), "relay", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("emberlead.request", f.req.ID), attribute.String("emberlead.route", f.route.Name)))
	defer span.End()
	f.serve(ctx)
}

// serve runs an accepted request to its final response.
func (f *flow) serve(ctx context.Context) {
	ctx, f.cancel = context.WithCancelCause(ctx)
	defer f.cancel(nil)
	defer f.server.streams.add(f)()
	f.answers.budget = &f.server.answers
	defer f.answers.close()
	defer f.clearWriteDeadline()
	f.finish(ctx, f.run(ctx))
}

// waitForStartup delays a request that arrives during startup: the daemon has all its data within about ten
// milliseconds, but a refused caller comes back after hundreds.
func (s *Server) waitForStartup(ctx context.Context) {
	if s.started == nil {
		return
	}
	select {
	case <-s.started:
		return
	default:
	}
	select {
	case <-s.started:
	case <-s.clock.After(startupWait):
	case <-ctx.Done():
	}
}

func (f *flow) timeLeft() time.Duration { return f.deadline.Sub(f.server.clock.Now()) }

// run runs the stages and then the request itself. It returns nil if the complete response was sent.
func (f *flow) run(ctx context.Context) *failure {
	f.server.counts.received.Add(1)
	if f.poolSpec == nil {
		return f.notRunFailure(unknownPoolRetryAfter, "the configuration has no pool "+f.pool).as(refusedNoConfiguration)
	}
	if f.server.fleet.OpenCount(f.pool, f.allowedRegions) == 0 {
		// The results of the stages could not be used.
		kind, reason := f.noTargetCause()
		return f.notRunFailure(unknownPoolRetryAfter, reason).as(kind)
	}
	if wait, none := f.server.noneReached(); none && wait > 0 {
		return f.notRunFailure(f.limitRetryAfter(wait), reasonNoneReached).as(refusedNoTarget)
	}
	if pool, closed := f.closedStagePool(); closed {
		return f.notRunFailure(unknownPoolRetryAfter, "stage "+pool+": "+reasonNoTarget).as(refusedNoTarget)
	}
	if wait, reason := f.server.placer.signalWait(f.pool, f.allowedRegions); wait > f.timeToEngine() {
		f.logNoTarget(reason)
		return f.notRunFailure(f.limitRetryAfter(wait), reason).as(refusedLimits)
	}
	f.server.budgetOf(f.pool).RecordRequest(f.server.clock.Now())
	if fail := f.refuseNextStages(); fail != nil {
		return fail
	}
	if fail := f.admit(ctx); fail != nil {
		return fail
	}
	defer f.freeAllResults()
	fail, lost := f.runStagesUntilStop(ctx)
	for {
		if fail == nil {
			f.takeOver(ctx)
			f.stagesDoneAt = f.server.clock.Now()
			fail, lost = f.runAttempts(ctx)
		}
		if !lost || !f.mayRebuild() {
			if fail != nil && f.forwardFallback() {
				return nil
			}
			return fail
		}
		fail, lost = f.rebuild(ctx)
	}
}

// noneReached reports whether no target is reached at present, and when a request may try again.
func (s *Server) noneReached() (wait time.Duration, none bool) {
	if s.linkChecker == nil {
		return 0, false
	}
	return s.linkChecker.NoneReached()
}

// mayRebuild reports whether the stages may be run again. Results that expired in a queue are likely to expire again,
// and to make other requests late, unless there is time enough with the queues as they are.
func (f *flow) mayRebuild() bool {
	if f.rebuilds >= maxRebuilds || f.firstEventTimeLeft() < f.timeToFirstEvent() {
		return false
	}
	return !f.resultsExpired() || f.expiredRebuilds < maxExpiredRebuilds && !f.expectedFirstEvent(true).After(f.firstEventDeadline())
}

// rebuild runs the stages again, since results that the request needs are no longer available.
func (f *flow) rebuild(ctx context.Context) (fail *failure, lost bool) {
	f.prepareRebuild()
	return f.runStagesUntilStop(ctx)
}

// prepareRebuild counts that the stages are run again, and frees what is left of their results.
func (f *flow) prepareRebuild() {
	f.rebuilds++
	if f.resultsExpired() {
		f.expiredRebuilds++
		f.server.counts.expiredRebuilds.Add(1)
	}
	f.logInfo("inputs are made anew", "rebuilt", f.rebuilds, "left", formatDuration(f.timeLeft()))
	f.freeAllResults()
}

// runStagesUntilStop runs the stages, but cancels them if the daemon stops first.
func (f *flow) runStagesUntilStop(ctx context.Context) (fail *failure, lost bool) {
	stagesCtx := f.server.stagesCtx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stagesCtx, cancel)()
	fail, lost = f.runStages(ctx)
	if fail != nil && stagesCtx.Err() != nil {
		return f.notRunFailure(stoppingRetryAfter, "the daemon stops before the stages of the request are done").as(refusedStopping), false
	}
	return fail, lost
}

// promptID returns the id of the private part of the prompt, by which the log shows that a caller came back.
func (f *flow) promptID() string {
	if n := len(f.req.PromptParts); n > 0 {
		return f.req.PromptParts[n-1].ID
	}
	return ""
}

// sharedPartIDs returns the ids of the parts of the prompt that others may share.
func (f *flow) sharedPartIDs() []string {
	var ids []string
	for _, part := range f.req.PromptParts[:max(0, len(f.req.PromptParts)-1)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// notRunFailure returns the refusal of a request that no target will run. If one may have run it already, the status says so.
func (f *flow) notRunFailure(wait time.Duration, reason string) *failure {
	if f.runs > 0 {
		return &failure{status: http.StatusBadGateway, reason: reason}
	}
	return &failure{status: http.StatusServiceUnavailable, retryAfter: wait, reason: reason}
}

func (f *flow) logInfo(message string, fields ...any) {
	f.server.log.Info(message, append([]any{"request", f.req.ID}, fields...)...)
}

// finish sends the final response if the request failed, and logs the outcome.
func (f *flow) finish(ctx context.Context, fail *failure) {
	s := f.server
	now := s.clock.Now()
	if fail == nil {
		s.counts.recordDelivered(now.Sub(f.startedAt), f.onTime(now))
		s.requestTimes.observe(f.route.Name, minStreamTime, now.Sub(f.startedAt))
		s.log.Info("request delivered", append(f.logFields(now), "inTime", f.onTime(now))...)
		return
	}
	if ctx.Err() != nil && s.closeCtx.Err() != nil {
		s.counts.streamsBroken.Add(1)
		s.log.Warn("request cut off by the stop", append(f.logFields(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		s.counts.callerLeft.Add(1)
		if f.sent == 0 {
			s.counts.callerLeftUnsent.Add(1)
		}
		reason := fail.reason
		if cause := context.Cause(ctx); errors.Is(cause, errTakenOver) {
			reason = cause.Error()
		}
		s.log.Info("caller left", append(f.logFields(now), "reason", reason)...)
		panic(http.ErrAbortHandler)
	}
	if f.committed {
		s.counts.streamsBroken.Add(1)
		s.log.Warn("stream broken off", append(f.logFields(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	s.refuse(f.w, fail, f, f.startedAt)
}

func (f *flow) logFields(now time.Time) []any {
	return []any{
		"request", f.req.ID, "route", f.route.Name, "workspace", f.workspace, "routing", f.routingVersion, "targets", f.server.fleet.Version(),
		"rank", f.rank, "took", formatDuration(now.Sub(f.startedAt)), "own", formatDuration(elapsed(f.startedAt, f.firstSentAt)), "staged", formatDuration(elapsed(f.startedAt, f.stagesDoneAt)), "first", formatDuration(elapsed(f.startedAt, f.firstEventAt)), "goal", formatDuration(f.route.LatencyGoal), "pause", formatDuration(f.longestPause),
		"sent", f.sent, "runs", f.runs, "target", f.target, "attempts", f.workLog(), "stages", f.stageLog,
	}
}

// formatDuration formats a duration for the log, in whole microseconds with its unit.
func formatDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

// elapsed returns the time between two moments, or 0 if the second has not come.
func elapsed(from, to time.Time) time.Duration {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// onTime reports whether a response was delivered by its latency goal, and a stream without a pause longer than its route allows.
func (f *flow) onTime(now time.Time) bool {
	return !f.answeredAt(now).After(f.due) && (f.route.MaxPause == 0 || f.longestPause <= f.route.MaxPause)
}

// answeredAt returns when a delivered response counts as answered: for a stream, at its first event.
func (f *flow) answeredAt(now time.Time) time.Time {
	if f.firstEventAt.IsZero() {
		return now
	}
	return f.firstEventAt
}

func (s *Server) refuse(w http.ResponseWriter, fail *failure, f *flow, startedAt time.Time) {
	s.counts.recordRefused(fail.status)
	now := s.clock.Now()
	if fail.status == http.StatusServiceUnavailable {
		s.recordRefusal(fail, f, now.Sub(startedAt))
	}
	logFields := []any{"status", fail.status, "reason", fail.reason, "kind", fail.kind.String(), "comeBack", formatDuration(fail.retryAfter)}
	if f != nil && f.route != nil {
		logFields = append(logFields, f.logFields(now)...)
	} else if f != nil {
		logFields = append(logFields, "request", f.req.ID, "routing", f.routingVersion, "took", formatDuration(now.Sub(startedAt)))
	} else {
		logFields = append(logFields, "took", formatDuration(now.Sub(startedAt)))
	}
	if fail.routingAge != nil {
		s.counts.unknown.record(fail)
		logFields = append(logFields, "routingAge", fail.routingAge.String())
	}
	s.log.Info("request refused", logFields...)
	if fail.retryAfter > 0 {
		s.dialect.SetRetryAfter(w.Header(), fail.retryAfter)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(fail.status)
}
