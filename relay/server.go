package relay

import (
	"context"
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
	// answerMargin is how long before a request's time is over its final answer goes out, so that it still arrives.
	responseMargin = 15 * time.Millisecond
	// bodyWait bounds the reading of a body; callers that are within the limits send theirs at once.
	bodyReadTimeout = 5 * time.Second
	// waitUnknown is when to come back for a pool that the configuration in force does not have yet.
	unknownPoolRetryAfter = 400 * time.Millisecond
	// startWait is how long a request waits for a daemon that is starting, which is a part of the shortest goals.
	startupWait = 100 * time.Millisecond
	// waitFull is when to come back to a daemon that has as many open requests as it may.
	fullRetryAfter = time.Second
	// streamsTaken is how long after the request to stop streams are taken: the balancer asks each second and sends no
	// new callers after two misses, and those who kept a connection find another daemon as soon as they are refused.
	streamAcceptTime = 2500 * time.Millisecond
	// streamsLength and othersLength are the least times that streams and other requests are given before the end, also
	// where those of the route were shorter so far: cutting one off costs its caller the whole answer, and refusing it
	// one way to another daemon.
	minStreamTime  = 4500 * time.Millisecond
	minRequestTime = 1500 * time.Millisecond
	// stopAnswer is how long before the last moment of a stopping daemon requests are refused whose stages are not done:
	// what is refused then still reaches its caller, who goes to another daemon, and what is not would end without an
	// answer.
	stopMargin = 300 * time.Millisecond
	// waitStopping is when to come back to a deployment of which one daemon stops: at once, to another.
	stoppingRetryAfter = 50 * time.Millisecond
	// noTimeout stands in for the bound of requests that have none.
	defaultTimeout = time.Minute
	tracer         = "emberlead"
)

// Limits bound a daemon's own resources.
type Limits struct {
	// Open is the most requests in progress.
	MaxOpen int64
}

// Server passes callers' requests on to targets.
type Server struct {
	clock   clockwork.Clock
	log     hclog.Logger
	dialect Dialect
	sender  Sender
	fleet   *Fleet
	tables  *Tables
	pieces  *PieceScheduler
	placer  *Placer
	peers   Peers
	limits  Limits
	zone    string
	counts  Counts
	crashes *CrashTracker
	ends    *CrashDetector

	// firstEvents are the times to the first events of a route's requests at their targets, answers those to the whole
	// answers of a pool, callTimes those of a pool's calls for pieces, and lengths those of whole requests of a route.
	firstEventTimes, responseTimes, callTimes, requestTimes durationEstimates[string]
	fetches                                                 fetchTimes

	budgetMu sync.Mutex
	budgets  map[string]*RetryBudget
	budget   RetryBudgetConfig

	started  <-chan struct{}
	open     atomic.Int64
	stopping atomic.Pointer[stopPlan]
	// ending ends, by end, when requests that no target has are refused since the daemon stops, and closing, by close, when those that
	// targets still run are answered.
	stagesCtx, closing  context.Context
	cancelStages, close context.CancelFunc
}

// stopPlan is how a daemon that stops goes on for a while: from began on, until the last moment.
type stopPlan struct{ startedAt, lastMoment time.Time }

// until is when a request of a kind is no longer taken, since it might be cut off at the end; length is how long those
// of its route nearly always take, as far as that is known.
func (p *stopPlan) acceptUntil(kind proto.RouteKind, length time.Duration) time.Time {
	if kind != proto.RouteStream {
		return p.lastMoment.Add(-max(minRequestTime, length))
	}
	end := p.lastMoment.Add(-max(minStreamTime, length))
	if taken := p.startedAt.Add(streamAcceptTime); taken.Before(end) {
		return taken
	}
	return end
}

// ServerConfig is what a Server is made from.
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
	// Crashes says which requests are run no more, and Ends is told of attempts that failed; both may be nil.
	CrashTracker *CrashTracker
	Ends         *CrashDetector
	// Started is closed once the daemon knows what it needs to serve; nil if it does from the beginning.
	Started <-chan struct{}
}

// NewServer returns a server; it refuses requests until a configuration is known.
func NewServer(c ServerConfig) *Server {
	s := &Server{
		clock: c.Clock, log: c.Log, dialect: c.Dialect, fleet: c.Fleet, tables: c.Tables,
		pieces: c.Pieces, placer: c.Placer, peers: c.Peers, zone: c.Zone, limits: c.Limits, started: c.Started, budget: c.Budget, budgets: map[string]*RetryBudget{},
		crashes: c.CrashTracker, ends: c.Ends,
	}
	s.sender = newNoticeSender(c.Sender, c.Dialect, c.Fleet, c.Clock, c.Log)
	s.stagesCtx, s.cancelStages = context.WithCancel(context.Background())
	s.closing, s.close = context.WithCancel(context.Background())
	return s
}

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// Stop makes each answer from now on close its connection, so that callers go to other daemons. Callers that keep a
// connection may send for a while; what might not end before the last moment is refused as not run, at once or, if its
// stages take longer than expected, shortly before that moment; what a target still runs by then is answered as such.
func (s *Server) Stop(startedAt, lastMoment time.Time) {
	s.stopping.Store(&stopPlan{startedAt: startedAt, lastMoment: lastMoment})
	s.clock.AfterFunc(lastMoment.Sub(startedAt)-stopMargin, s.cancelStages)
	s.clock.AfterFunc(lastMoment.Sub(startedAt), s.close)
}

// Counts returns the totals since the start.
func (s *Server) Counts() *Counts { return &s.counts }

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

// flow is one request on its way.
type flow struct {
	server        *Server
	w             http.ResponseWriter
	req           *Request
	route         *proto.Route
	pool          string
	spec          *proto.RelayPool
	workspace     string
	workspaceSpec *proto.RelayWorkspace
	// digest is the same for each try of the request, under whatever id.
	digest proto.RequestDigest
	// homes are the regions that the request and its pieces may be worked on in. Its body goes to no other daemon.
	allowedRegions proto.AllowedRegions
	// rank is the request's urgency among those for its pool; 0 is the highest.
	rank           int
	routingVersion uint64
	startedAt      time.Time
	// end is when the final answer must go out, and due when it should be there.
	deadline, due time.Time

	stageResults []stageResult
	// freeing guards what says which results are freed: a timer frees them too.
	freeMu sync.Mutex
	// handles are the inputs that the request itself needs, in order; lacking says that they are being made, or could not be.
	inputHandles  []string
	inputsMissing bool
	// rebuilt is how often the stages were done anew.
	rebuilds int
	// zone is where most bytes of these lie, and bulk how many.
	inputZone  string
	inputBytes int

	// sent counts the attempts that reached a target, and runs the targets that may have run the request.
	sent, runs int
	// target is the last target that was tried.
	target       string
	triedTargets map[string]bool
	// overtaken are the targets whose attempts were given up for one that answered earlier.
	superseded  []string
	committed   bool
	lastEventID int
	// ready is a target's failure answer that is passed on if nothing better comes.
	fallback *bufferedResponse
	// stages are how those that have ended went, also such as were done anew.
	stageLog []stageLogEntry
	// staged and first are when the stages were done and when the first event went out.
	stagesDoneAt, firstEventAt time.Time
	// passed is when the last event went out, and pause the longest time between two.
	lastEventAt  time.Time
	longestPause time.Duration
}

// failure is a final answer that the daemon gives itself.
type failure struct {
	status int
	wait   time.Duration
	reason string
}

// ServeHTTP passes one request on and returns when its answer is whole or has failed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	startedAt := s.clock.Now()
	if s.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if s.open.Add(1) > s.limits.MaxOpen {
		s.open.Add(-1)
		s.refuse(w, &failure{status: http.StatusServiceUnavailable, wait: fullRetryAfter, reason: "too many requests are in progress"}, nil, startedAt)
		return
	}
	defer s.open.Add(-1)
	s.waitForStartup(r.Context())
	f, fail := s.accept(w, r, startedAt)
	if fail != nil {
		s.refuse(w, fail, f, startedAt)
		return
	}
	f.logInfo("request accepted", "route", f.route.Name, "workspace", f.workspace, "rank", f.rank, "pool", f.pool, "routing", f.routingVersion,
		"pieces", f.req.Pieces, "homes", f.allowedRegions.Regions, "digest", f.digest.String(), "body", len(f.req.Body), "prompt", f.promptID(), "promptTokens", f.req.PromptTokens, "mostTokens", f.req.MaxTokens, "due", formatDuration(f.due.Sub(startedAt)), "left", formatDuration(f.timeLeft()))
	ctx, span := otel.Tracer(tracer).Start(r.Context(), "relay", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("emberlead.request", f.req.ID), attribute.String("emberlead.route", f.route.Name)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.finish(ctx, f.run(ctx))
}

// awaitStart holds a request that comes while the daemon is starting: it knows all it needs within some ten
// milliseconds, and a caller who is sent away comes back after hundreds.
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

// run has the stages done and then the request itself; nil means that the whole answer went out.
func (f *flow) run(ctx context.Context) *failure {
	f.server.counts.received.Add(1)
	if f.spec == nil {
		return f.notRunFailure(unknownPoolRetryAfter, "the configuration has no pool "+f.pool)
	}
	if f.server.fleet.OpenCount(f.pool, f.allowedRegions) == 0 {
		// Its stages would be made in vain.
		return f.notRunFailure(unknownPoolRetryAfter, f.noTarget())
	}
	if in, reason := f.server.placer.signalWait(f.pool, f.allowedRegions); in > f.timeToEngine() {
		f.logNoTarget(reason)
		return f.notRunFailure(f.limitRetryAfter(in), reason)
	}
	f.server.budgetOf(f.pool).RecordRequest(f.server.clock.Now())
	if fail := f.admit(ctx); fail != nil {
		return fail
	}
	defer f.freeAllResults()
	fail, lost := f.runStagesUntilStop(ctx)
	for {
		if fail == nil {
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

// mayRebuild tells whether the stages may be done anew.
func (f *flow) mayRebuild() bool {
	return f.rebuilds < maxRebuilds && f.timeLeft() >= f.timeToFirstEvent()
}

// rebuild has the stages done anew.
func (f *flow) rebuild(ctx context.Context) (fail *failure, lost bool) {
	f.rebuilds++
	f.logInfo("inputs are made anew", "rebuilt", f.rebuilds, "left", formatDuration(f.timeLeft()))
	f.freeAllResults()
	return f.runStagesUntilStop(ctx)
}

// runStagesUntilTheEnd has the stages done, unless the daemon ends before they are.
func (f *flow) runStagesUntilStop(ctx context.Context) (fail *failure, lost bool) {
	stagesCtx := f.server.stagesCtx
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(stagesCtx, cancel)()
	fail, lost = f.runStages(ctx)
	if fail != nil && stagesCtx.Err() != nil {
		return f.notRunFailure(stoppingRetryAfter, "the daemon stops before the stages of the request are done"), false
	}
	return fail, lost
}

// prompt names the part of the prompt that is the request's own, by which the log shows that a caller came back.
func (f *flow) promptID() string {
	if n := len(f.req.PromptParts); n > 0 {
		return f.req.PromptParts[n-1].ID
	}
	return ""
}

// notRun is the refusal of a request that no target has run or will run.
func (f *flow) notRunFailure(wait time.Duration, reason string) *failure {
	if f.runs > 0 {
		return &failure{status: http.StatusBadGateway, reason: reason}
	}
	return &failure{status: http.StatusServiceUnavailable, wait: wait, reason: reason}
}

func (f *flow) logInfo(message string, pairs ...any) {
	f.server.log.Info(message, append([]any{"request", f.req.ID}, pairs...)...)
}

// finish gives the final answer and logs how the request ended.
func (f *flow) finish(ctx context.Context, fail *failure) {
	s := f.server
	now := s.clock.Now()
	if fail == nil {
		s.counts.recordDelivered(now.Sub(f.startedAt), f.onTime(now))
		s.requestTimes.observe(f.route.Name, minStreamTime, now.Sub(f.startedAt))
		s.log.Info("request delivered", append(f.logFields(now), "inTime", f.onTime(now))...)
		return
	}
	if ctx.Err() != nil && s.closing.Err() != nil {
		s.counts.streamsBroken.Add(1)
		s.log.Warn("request cut off by the stop", append(f.logFields(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		s.counts.callerLeft.Add(1)
		s.log.Info("caller left", append(f.logFields(now), "reason", fail.reason)...)
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
		"rank", f.rank, "took", formatDuration(now.Sub(f.startedAt)), "staged", formatDuration(elapsed(f.startedAt, f.stagesDoneAt)), "first", formatDuration(elapsed(f.startedAt, f.firstEventAt)), "goal", formatDuration(f.route.LatencyGoal), "pause", formatDuration(f.longestPause),
		"sent", f.sent, "runs", f.runs, "target", f.target, "stages", f.stageLog,
	}
}

// brief is how a time is logged: whole microseconds with their unit.
func formatDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

// since is the time between two moments, 0 if the second has not come.
func elapsed(from, to time.Time) time.Duration {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// inTime tells whether a delivered answer was there by its goal, and a stream without a pause that its route calls late.
func (f *flow) onTime(now time.Time) bool {
	return !f.answeredAt(now).After(f.due) && (f.route.MaxPause == 0 || f.longestPause <= f.route.MaxPause)
}

// answered is when a delivered answer counts as there: a stream by its first event.
func (f *flow) answeredAt(now time.Time) time.Time {
	if f.firstEventAt.IsZero() {
		return now
	}
	return f.firstEventAt
}

func (s *Server) refuse(w http.ResponseWriter, fail *failure, f *flow, startedAt time.Time) {
	s.counts.recordRefused(fail.status)
	now := s.clock.Now()
	logFields := []any{"status", fail.status, "reason", fail.reason, "comeBack", formatDuration(fail.wait)}
	if f != nil && f.route != nil {
		logFields = append(logFields, f.logFields(now)...)
	} else if f != nil {
		logFields = append(logFields, "request", f.req.ID, "routing", f.routingVersion, "took", formatDuration(now.Sub(startedAt)))
	}
	s.log.Info("request refused", logFields...)
	if fail.wait > 0 {
		s.dialect.SetRetryAfter(w.Header(), fail.wait)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(fail.status)
}
