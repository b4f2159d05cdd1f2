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
	answerMargin = 15 * time.Millisecond
	// bodyWait bounds the reading of a body; callers that are within the limits send theirs at once.
	bodyWait = 5 * time.Second
	// waitUnknown is when to come back for a pool that the configuration in force does not have yet.
	unknownPoolRetryAfter = 400 * time.Millisecond
	// startWait is how long a request waits for a daemon that is starting, which is a part of the shortest goals.
	startWait = 100 * time.Millisecond
	// waitFull is when to come back to a daemon that has as many open requests as it may.
	waitFull = time.Second
	// streamsTaken is how long after the request to stop streams are taken: the balancer asks each second and sends no
	// new callers after two misses, and those who kept a connection find another daemon as soon as they are refused.
	streamsTaken = 2500 * time.Millisecond
	// streamsLength and othersLength are the least times that streams and other requests are given before the end, also
	// where those of the route were shorter so far: cutting one off costs its caller the whole answer, and refusing it
	// one way to another daemon.
	streamsLength = 4500 * time.Millisecond
	othersLength  = 1500 * time.Millisecond
	// stopAnswer is how long before the last moment of a stopping daemon requests are refused whose stages are not done:
	// what is refused then still reaches its caller, who goes to another daemon, and what is not would end without an
	// answer.
	stopAnswer = 300 * time.Millisecond
	// waitStopping is when to come back to a deployment of which one daemon stops: at once, to another.
	waitStopping = 50 * time.Millisecond
	// noTimeout stands in for the bound of requests that have none.
	noTimeout = time.Minute
	tracer    = "emberlead"
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
	firstEvents, answers, callTimes, lengths typicals[string]
	fetches                                  fetchTimes

	budgetMu sync.Mutex
	budgets  map[string]*RetryBudget
	budget   RetryBudgetConfig

	started  <-chan struct{}
	open     atomic.Int64
	stopping atomic.Pointer[stopPlan]
	// ending ends, by end, when requests that no target has are refused since the daemon stops, and closing, by close, when those that
	// targets still run are answered.
	ending, closing context.Context
	end, close      context.CancelFunc
}

// stopPlan is how a daemon that stops goes on for a while: from began on, until the last moment.
type stopPlan struct{ began, last time.Time }

// until is when a request of a kind is no longer taken, since it might be cut off at the end; length is how long those
// of its route nearly always take, as far as that is known.
func (p *stopPlan) until(kind proto.RouteKind, length time.Duration) time.Time {
	if kind != proto.RouteStream {
		return p.last.Add(-max(othersLength, length))
	}
	end := p.last.Add(-max(streamsLength, length))
	if taken := p.began.Add(streamsTaken); taken.Before(end) {
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
	s.ending, s.end = context.WithCancel(context.Background())
	s.closing, s.close = context.WithCancel(context.Background())
	return s
}

// Open returns the number of requests in progress.
func (s *Server) Open() int64 { return s.open.Load() }

// Stop makes each answer from now on close its connection, so that callers go to other daemons. Callers that keep a
// connection may send for a while; what might not end before the last moment is refused as not run, at once or, if its
// stages take longer than expected, shortly before that moment; what a target still runs by then is answered as such.
func (s *Server) Stop(began, last time.Time) {
	s.stopping.Store(&stopPlan{began: began, last: last})
	s.clock.AfterFunc(last.Sub(began)-stopAnswer, s.end)
	s.clock.AfterFunc(last.Sub(began), s.close)
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
	server    *Server
	w         http.ResponseWriter
	req       *Request
	route     *proto.Route
	pool      string
	spec      *proto.RelayPool
	workspace string
	owner     *proto.RelayWorkspace
	// digest is the same for each try of the request, under whatever id.
	digest proto.RequestDigest
	// homes are the regions that the request and its pieces may be worked on in. Its body goes to no other daemon.
	homes proto.AllowedRegions
	// rank is the request's urgency among those for its pool; 0 is the highest.
	rank      int
	version   uint64
	startedAt time.Time
	// end is when the final answer must go out, and due when it should be there.
	end, due time.Time

	stageResults []stageResult
	// freeing guards what says which results are freed: a timer frees them too.
	freeMu sync.Mutex
	// handles are the inputs that the request itself needs, in order; lacking says that they are being made, or could not be.
	handles []string
	lacking bool
	// rebuilt is how often the stages were done anew.
	rebuilt int
	// zone is where most bytes of these lie, and bulk how many.
	zone string
	bulk int

	// sent counts the attempts that reached a target, and runs the targets that may have run the request.
	sent, runs int
	// target is the last target that was tried.
	target       string
	triedTargets map[string]bool
	// overtaken are the targets whose attempts were given up for one that answered earlier.
	overtaken []string
	committed bool
	after     int
	// ready is a target's failure answer that is passed on if nothing better comes.
	ready *bufferedResponse
	// stages are how those that have ended went, also such as were done anew.
	stages []stageNote
	// staged and first are when the stages were done and when the first event went out.
	staged, first time.Time
	// passed is when the last event went out, and pause the longest time between two.
	passed time.Time
	pause  time.Duration
}

// failure is a final answer that the daemon gives itself.
type failure struct {
	status int
	wait   time.Duration
	reason string
}

// ServeHTTP passes one request on and returns when its answer is whole or has failed.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := s.clock.Now()
	if s.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	if s.open.Add(1) > s.limits.MaxOpen {
		s.open.Add(-1)
		s.refuse(w, &failure{status: http.StatusServiceUnavailable, wait: waitFull, reason: "too many requests are in progress"}, nil, began)
		return
	}
	defer s.open.Add(-1)
	s.awaitStart(r.Context())
	f, fail := s.accept(w, r, began)
	if fail != nil {
		s.refuse(w, fail, f, began)
		return
	}
	f.note("request accepted", "route", f.route.Name, "workspace", f.workspace, "rank", f.rank, "pool", f.pool, "routing", f.version,
		"pieces", f.req.Pieces, "homes", f.homes.Regions, "digest", f.digest.String(), "body", len(f.req.Body), "prompt", f.prompt(), "promptTokens", f.req.PromptTokens, "mostTokens", f.req.MaxTokens, "due", formatDuration(f.due.Sub(began)), "left", formatDuration(f.left()))
	ctx, span := otel.Tracer(tracer).Start(r.Context(), "relay", trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(attribute.String("emberlead.request", f.req.ID), attribute.String("emberlead.route", f.route.Name)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.finish(ctx, f.run(ctx))
}

// awaitStart holds a request that comes while the daemon is starting: it knows all it needs within some ten
// milliseconds, and a caller who is sent away comes back after hundreds.
func (s *Server) awaitStart(ctx context.Context) {
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
	case <-s.clock.After(startWait):
	case <-ctx.Done():
	}
}

func (f *flow) left() time.Duration { return f.end.Sub(f.server.clock.Now()) }

// run has the stages done and then the request itself; nil means that the whole answer went out.
func (f *flow) run(ctx context.Context) *failure {
	f.server.counts.received.Add(1)
	if f.spec == nil {
		return f.notRun(unknownPoolRetryAfter, "the configuration has no pool "+f.pool)
	}
	if f.server.fleet.OpenCount(f.pool, f.homes) == 0 {
		// Its stages would be made in vain.
		return f.notRun(unknownPoolRetryAfter, f.noTarget())
	}
	if in, reason := f.server.placer.signalWait(f.pool, f.homes); in > f.untilEngine() {
		f.noteNoTarget(reason)
		return f.notRun(f.comeBackIn(in), reason)
	}
	f.server.budgetOf(f.pool).RecordRequest(f.server.clock.Now())
	if fail := f.admit(ctx); fail != nil {
		return fail
	}
	defer f.freeAllResults()
	fail, lost := f.runStagesUntilTheEnd(ctx)
	for {
		if fail == nil {
			f.staged = f.server.clock.Now()
			fail, lost = f.runAttempts(ctx)
		}
		if !lost || !f.mayRebuild() {
			if fail != nil && f.passReady() {
				return nil
			}
			return fail
		}
		fail, lost = f.rebuild(ctx)
	}
}

// mayRebuild tells whether the stages may be done anew.
func (f *flow) mayRebuild() bool { return f.rebuilt < stageRebuilds && f.left() >= f.toFirstEvent() }

// rebuild has the stages done anew.
func (f *flow) rebuild(ctx context.Context) (fail *failure, lost bool) {
	f.rebuilt++
	f.note("inputs are made anew", "rebuilt", f.rebuilt, "left", formatDuration(f.left()))
	f.freeAllResults()
	return f.runStagesUntilTheEnd(ctx)
}

// runStagesUntilTheEnd has the stages done, unless the daemon ends before they are.
func (f *flow) runStagesUntilTheEnd(ctx context.Context) (fail *failure, lost bool) {
	ending := f.server.ending
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ending, cancel)()
	fail, lost = f.runStages(ctx)
	if fail != nil && ending.Err() != nil {
		return f.notRun(waitStopping, "the daemon stops before the stages of the request are done"), false
	}
	return fail, lost
}

// prompt names the part of the prompt that is the request's own, by which the log shows that a caller came back.
func (f *flow) prompt() string {
	if n := len(f.req.PromptParts); n > 0 {
		return f.req.PromptParts[n-1].ID
	}
	return ""
}

// notRun is the refusal of a request that no target has run or will run.
func (f *flow) notRun(wait time.Duration, reason string) *failure {
	if f.runs > 0 {
		return &failure{status: http.StatusBadGateway, reason: reason}
	}
	return &failure{status: http.StatusServiceUnavailable, wait: wait, reason: reason}
}

func (f *flow) note(message string, pairs ...any) {
	f.server.log.Info(message, append([]any{"request", f.req.ID}, pairs...)...)
}

// finish gives the final answer and logs how the request ended.
func (f *flow) finish(ctx context.Context, fail *failure) {
	s := f.server
	now := s.clock.Now()
	if fail == nil {
		s.counts.recordDelivered(now.Sub(f.startedAt), f.inTime(now))
		s.lengths.observe(f.route.Name, streamsLength, now.Sub(f.startedAt))
		s.log.Info("request delivered", append(f.facts(now), "inTime", f.inTime(now))...)
		return
	}
	if ctx.Err() != nil && s.closing.Err() != nil {
		s.counts.streamsBroken.Add(1)
		s.log.Warn("request cut off by the stop", append(f.facts(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		s.counts.callerLeft.Add(1)
		s.log.Info("caller left", append(f.facts(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	if f.committed {
		s.counts.streamsBroken.Add(1)
		s.log.Warn("stream broken off", append(f.facts(now), "reason", fail.reason)...)
		panic(http.ErrAbortHandler)
	}
	s.refuse(f.w, fail, f, f.startedAt)
}

func (f *flow) facts(now time.Time) []any {
	return []any{
		"request", f.req.ID, "route", f.route.Name, "workspace", f.workspace, "routing", f.version, "targets", f.server.fleet.Version(),
		"rank", f.rank, "took", formatDuration(now.Sub(f.startedAt)), "staged", formatDuration(since(f.startedAt, f.staged)), "first", formatDuration(since(f.startedAt, f.first)), "goal", formatDuration(f.route.LatencyGoal), "pause", formatDuration(f.pause),
		"sent", f.sent, "runs", f.runs, "target", f.target, "stages", f.stages,
	}
}

// brief is how a time is logged: whole microseconds with their unit.
func formatDuration(d time.Duration) string { return d.Round(time.Microsecond).String() }

// since is the time between two moments, 0 if the second has not come.
func since(from, to time.Time) time.Duration {
	if to.IsZero() {
		return 0
	}
	return to.Sub(from)
}

// inTime tells whether a delivered answer was there by its goal, and a stream without a pause that its route calls late.
func (f *flow) inTime(now time.Time) bool {
	return !f.answered(now).After(f.due) && (f.route.MaxPause == 0 || f.pause <= f.route.MaxPause)
}

// answered is when a delivered answer counts as there: a stream by its first event.
func (f *flow) answered(now time.Time) time.Time {
	if f.first.IsZero() {
		return now
	}
	return f.first
}

func (s *Server) refuse(w http.ResponseWriter, fail *failure, f *flow, began time.Time) {
	s.counts.recordRefused(fail.status)
	now := s.clock.Now()
	facts := []any{"status", fail.status, "reason", fail.reason, "comeBack", formatDuration(fail.wait)}
	if f != nil && f.route != nil {
		facts = append(facts, f.facts(now)...)
	} else if f != nil {
		facts = append(facts, "request", f.req.ID, "routing", f.version, "took", formatDuration(now.Sub(began)))
	}
	s.log.Info("request refused", facts...)
	if fail.wait > 0 {
		s.dialect.SetRetryAfter(w.Header(), fail.wait)
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(fail.status)
}
