package core

import (
	"encoding/binary"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"emberlead/proto"
	"emberlead/state"
)

// Engine makes the decisions of one entry daemon. Its methods are safe for concurrent use.
type Engine struct {
	zone       proto.Zone
	tuning     Tuning
	newChooser func(*rand.Rand) Chooser[*target]
	seed       uint64

	snapshot  atomic.Pointer[proto.Snapshot]
	requests  *state.ShardedMap[proto.RequestID, *request]
	estimates *estimates
	stats     *Stats

	poolsMu sync.RWMutex
	pools   map[string]*pool
	// poolList holds the same pools, sorted by name.
	poolList   atomic.Pointer[[]*pool]
	leavingVMs atomic.Pointer[map[proto.VM]bool]

	pauses   pauses
	timersMu sync.Mutex
	timers   *state.Heap[timer]
}

type timer struct {
	at      time.Time
	request proto.RequestID
	attempt int // 0 for the deadline of the request
}

// Option configures an Engine.
type Option func(*Engine)

// WithTuning replaces DefaultTuning.
func WithTuning(t Tuning) Option { return func(e *Engine) { e.tuning = t } }

// WithZone sets the availability zone of the daemon itself.
func WithZone(z proto.Zone) Option { return func(e *Engine) { e.zone = z } }

// WithSeed sets the seed of all random choices.
func WithSeed(seed uint64) Option { return func(e *Engine) { e.seed = seed } }

// RouterName is the name of a routing policy.
type RouterName string

// Routing policies.
const (
	RouterExpectedFinish   RouterName = "expectedFinish"
	RouterRandom           RouterName = "random"
	RouterRoundRobin       RouterName = "roundRobin"
	RouterLeastOutstanding RouterName = "leastOutstanding"
)

const expectedFinishSample = 5

// WithRouter replaces the default routing policy, RouterExpectedFinish.
func WithRouter(name RouterName) Option {
	return func(e *Engine) { e.newChooser = chooserFactory(name) }
}

func chooserFactory(name RouterName) func(*rand.Rand) Chooser[*target] {
	return func(r *rand.Rand) Chooser[*target] {
		switch name {
		case RouterRandom:
			return &Random[*target]{Rand: r}
		case RouterRoundRobin:
			return &RoundRobin[*target]{}
		case RouterLeastOutstanding:
			return &LeastOutstanding[*target]{Rand: r}
		default:
			return &ExpectedFinish[*target]{Rand: r, Sample: expectedFinishSample}
		}
	}
}

// New returns an engine with an empty configuration.
func New(options ...Option) *Engine {
	e := &Engine{
		tuning:     DefaultTuning(),
		newChooser: chooserFactory(RouterExpectedFinish),
		estimates:  newEstimates(),
		stats:      newStats(),
		pools:      map[string]*pool{},
		timers:     state.NewHeap(func(a, b timer) bool { return a.at.Before(b.at) }),
	}
	e.requests = state.NewShardedMap[proto.RequestID, *request](func(id proto.RequestID) uint64 {
		return binary.LittleEndian.Uint64(id[8:])
	})
	for _, option := range options {
		option(e)
	}
	e.snapshot.Store(proto.EmptySnapshot())
	return e
}

// Stats returns the statistics of the engine.
func (e *Engine) Stats() *Stats { return e.stats }

// OpenRequests returns the number of requests in progress.
func (e *Engine) OpenRequests() int { return e.requests.Len() }

// Snapshot returns the configuration for new requests.
func (e *Engine) Snapshot() *proto.Snapshot { return e.snapshot.Load() }

// Configure applies a snapshot. It ignores a snapshot that is not newer than the current one and then returns false.
func (e *Engine) Configure(s *proto.Snapshot, now time.Time, lead time.Duration) bool {
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	if s.Generation <= e.snapshot.Load().Generation && s.Generation != 0 {
		return false
	}
	e.snapshot.Store(s)
	leaving := e.leavingFunc(s, now, lead)
	// Pools are created in order of name, so that the same configuration gives each pool the same random source.
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		e.getOrCreatePoolLocked(name, s).configure(s.Pools[name], s.Workspaces, leaving)
	}
	for name, p := range e.pools {
		if s.Pools[name] == nil {
			p.configure(&proto.Pool{Name: name, Kind: p.kind}, s.Workspaces, leaving)
		}
	}
	return true
}

func (e *Engine) getOrCreatePoolLocked(name string, s *proto.Snapshot) *pool {
	p := e.pools[name]
	if p == nil {
		random := rand.New(rand.NewPCG(e.seed, uint64(len(e.pools)+1)))
		p = newPool(name, e.tuning.ForObjective(poolObjective(s, name)), e.newChooser(random))
		e.pools[name] = p
		e.publishPools()
	}
	return p
}

// poolObjective returns the objective with the largest attainment weight among the services that use the pool.
func poolObjective(s *proto.Snapshot, pool string) proto.Objective {
	var best proto.Objective
	for name, service := range s.Services {
		for _, stage := range service.Stages {
			if o := s.Objectives[name]; stage.Pool == pool && o.Attainment > best.Attainment {
				best = o
			}
		}
	}
	return best
}

// SetLeavingVMs sets the VMs that the platform lists as leaving.
func (e *Engine) SetLeavingVMs(vms map[proto.VM]bool) { e.leavingVMs.Store(&vms) }

func (e *Engine) leavingFunc(s *proto.Snapshot, now time.Time, lead time.Duration) leavingFunc {
	return func(vm proto.VM) (bool, time.Time) {
		stopAt, _ := s.StopOf(vm)
		if listed := e.leavingVMs.Load(); listed != nil && (*listed)[vm] {
			return true, stopAt
		}
		return s.Leaving(vm, now, lead), stopAt
	}
}

// publishPools rebuilds the list returned by allPools. A published list is never modified.
func (e *Engine) publishPools() {
	list := make([]*pool, 0, len(e.pools))
	for _, name := range slices.Sorted(maps.Keys(e.pools)) {
		list = append(list, e.pools[name])
	}
	e.poolList.Store(&list)
}

// allPools returns the pools, sorted by name.
func (e *Engine) allPools() []*pool {
	if list := e.poolList.Load(); list != nil {
		return *list
	}
	return nil
}

func (e *Engine) poolByName(name string) *pool {
	e.poolsMu.RLock()
	defer e.poolsMu.RUnlock()
	return e.pools[name]
}

// TakeUsage returns the time used by this daemon since the last call, to be reported to the other daemons.
func (e *Engine) TakeUsage() []UsageReported {
	var reports []UsageReported
	for _, p := range e.allPools() {
		taken := p.usage.takeUnreported()
		for _, workspace := range slices.Sorted(maps.Keys(taken)) {
			reports = append(reports, UsageReported{Pool: p.name, Workspace: workspace, Spent: taken[workspace]})
		}
	}
	return reports
}

// TakeDemand returns the time used by this daemon since the last call, by pool and model.
func (e *Engine) TakeDemand() []proto.DemandRow {
	var rows []proto.DemandRow
	for _, p := range e.allPools() {
		for model, spent := range p.usage.takeModelUsage() {
			rows = append(rows, proto.DemandRow{Pool: p.name, Model: model, Spent: spent})
		}
	}
	return rows
}

// eventResult collects the actions and grants that result from one event.
type eventResult struct {
	now     time.Time
	actions []Action
	grants  []grant
}

func (res *eventResult) emit(a Action) { res.actions = append(res.actions, a) }

// Handle processes an event and returns the resulting actions in order.
func (e *Engine) Handle(now time.Time, event Event) []Action {
	res := &eventResult{now: now}
	switch ev := event.(type) {
	case Arrival:
		e.handleArrival(res, &ev)
	case AttemptEnded:
		e.withRequest(ev.Attempt.Request, func(r *request) { e.handleAttemptEnd(res, r, &ev) }, func() { e.stats.countLate(ev.Busy) })
	case AttemptChunk:
		e.withRequest(ev.Attempt.Request, func(r *request) { e.forwardChunk(res, r, &ev) }, func() { e.stats.countLate(0) })
	case CallerLeft:
		e.withRequest(ev.Request, func(r *request) { e.handleCallerLeft(res, r, ev.Slow) }, nil)
	case ClaimAnswered:
		e.withRequest(ev.Request, func(r *request) { e.handleClaimAnswer(res, r, &ev) }, nil)
	case LoadReported:
		if p := e.poolByName(ev.Pool); p != nil {
			res.grants = append(res.grants, p.recordLoad(now, ev.Load)...)
		}
	case CacheReported:
		if p := e.poolByName(ev.Pool); p != nil {
			p.applyCacheEvent(ev.Event)
		}
	case UsageReported:
		if p := e.poolByName(ev.Pool); p != nil {
			p.usage.add(ev.Workspace, now, ev.Spent, false)
		}
	case StopCheck:
		e.checkStops(res, ev.Lead)
	case Exported:
		e.withRequest(ev.Attempt.Request, func(r *request) { e.handleExport(res, r, &ev) }, nil)
	case Tick:
		e.tick(res)
	}
	for len(res.grants) > 0 {
		g := res.grants[0]
		res.grants = res.grants[1:]
		e.handleGrant(res, g)
	}
	return res.actions
}

func (e *Engine) withRequest(id proto.RequestID, handle func(*request), notFound func()) {
	e.requests.With(id, func(items map[proto.RequestID]*request) {
		r := items[id]
		if r != nil {
			handle(r)
			removeIfDone(items, r)
			return
		}
		if notFound != nil {
			notFound()
		}
	})
}

func (e *Engine) addTimer(at time.Time, id proto.RequestID, number int) {
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	e.timers.Push(timer{at: at, request: id, attempt: number})
}

func (e *Engine) popDue(now time.Time) (timer, bool) {
	e.timersMu.Lock()
	defer e.timersMu.Unlock()
	next, ok := e.timers.Peek()
	if !ok || next.at.After(now) {
		return timer{}, false
	}
	return e.timers.Pop()
}

func (e *Engine) tick(res *eventResult) {
	e.pauses.tick(res.now)
	for {
		next, ok := e.popDue(res.now)
		if !ok {
			break
		}
		e.withRequest(next.request, func(r *request) { e.handleTimer(res, r, next.attempt) }, nil)
	}
	for _, p := range e.allPools() {
		expired, grants := p.poll(res.now)
		res.grants = append(res.grants, grants...)
		for _, ticket := range expired {
			e.withRequest(ticket.Request, func(r *request) { e.handleExpiredTicket(res, r, ticket) }, nil)
		}
	}
}

// NewRequestID returns a new ID. The time and the random source are parameters so that tests are reproducible.
func NewRequestID(now time.Time, r *rand.Rand) proto.RequestID {
	var random [10]byte
	binary.LittleEndian.PutUint64(random[:8], r.Uint64())
	binary.LittleEndian.PutUint16(random[8:], uint16(r.Uint32()))
	return uuid.UUID(proto.KeyAt(now, random))
}
