package relay

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// silenceCheckInterval is how often a daemon that waits for another's answer checks that the other is alive.
	silenceCheckInterval = 150 * time.Millisecond
	// freeInterval is how long results to free are collected: one call for each would cost more than the storage that it releases.
	freeInterval = 20 * time.Millisecond
	// limitedFreeInterval is the same for targets with a rate limit, which calls that free results must not use up.
	limitedFreeInterval = time.Second
	// expireInterval is how often a worker checks its jobs for expired ones.
	expireInterval = 50 * time.Millisecond
	// overdueCheckFactor is after what time a call is checked for whether its results are still needed, as a multiple
	// of its expected time or of the configured time of an empty call, if longer. Slow targets stay below it.
	overdueCheckFactor = 6
	// freeTimeout is the timeout of a call that frees results.
	freeTimeout = time.Second
	// batchTaskPrefix is the prefix of the names of batching tasks.
	batchTaskPrefix = "batch/"
)

// PieceScheduler runs the pieces of stages. Each shard of a pool has one daemon that batches the calls to its targets.
type PieceScheduler struct {
	self proto.VM
	// zone is the daemon's availability zone; empty if it does not matter.
	zone    string
	clock   clockwork.Clock
	log     hclog.Logger
	dialect Dialect
	sender  Sender
	peers   Peers
	fleet   *Fleet
	tables  *Tables

	mu        sync.Mutex
	workers   map[shard]*worker
	freeQueue *freeQueue
	// handles are those of known results.
	handles handleSet

	queueDelays queueDelays
	stageLoads  stageLoads
	fetchTimes  fetchTimes

	crashes       *CrashTracker
	crashDetector *CrashDetector

	callCount, pieceCount, failedCalls, inputsExpired, oversized atomic.Int64
}

// PieceSchedulerOption configures a PieceScheduler.
type PieceSchedulerOption func(*PieceScheduler)

// WithCrashDetection refuses the requests that crashes blocks, and reports failed calls to the crash detector.
func WithCrashDetection(crashes *CrashTracker, crashDetector *CrashDetector) PieceSchedulerOption {
	return func(p *PieceScheduler) { p.crashes, p.crashDetector = crashes, crashDetector }
}

// WithOwnZone makes the scheduler prefer targets in the daemon's own availability zone, which is given by its name.
func WithOwnZone(zone string) PieceSchedulerOption {
	return func(p *PieceScheduler) { p.zone = zone }
}

// NewPieceScheduler returns a scheduler without jobs.
func NewPieceScheduler(self proto.VM, clock clockwork.Clock, log hclog.Logger, dialect Dialect, sender Sender, peers Peers, fleet *Fleet, tables *Tables, options ...PieceSchedulerOption) *PieceScheduler {
	p := &PieceScheduler{self: self, clock: clock, log: log, dialect: dialect, sender: newNoticeSender(sender, dialect, fleet, clock, log), peers: peers, fleet: fleet, tables: tables, workers: map[shard]*worker{}}
	p.freeQueue = &freeQueue{pieces: p, pending: map[netip.AddrPort]*freeBatch{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run makes all pieces of a stage, on the daemon that batches for the pool or, if that is silent, on another.
func (p *PieceScheduler) Run(ctx context.Context, ask proto.PiecesAsk, due, deadline time.Time) proto.PiecesAnswer {
	askedAt := p.clock.Now()
	ask.Shard = p.chooseShard(&ask)
	answer := p.runInShard(ctx, ask, due, deadline)
	if answer.Outcome != proto.PiecesRefused {
		return answer
	}
	// The refusal tells how long the queue is; another shard may have a shorter one, or the only targets in service.
	if next := p.chooseShard(&ask); next != ask.Shard {
		ask.Shard = next
		ask.InputsLiveFor = remainingLife(ask.InputsLiveFor, p.clock.Since(askedAt))
		return p.runInShard(ctx, ask, due, deadline)
	}
	return answer
}

func (p *PieceScheduler) runInShard(ctx context.Context, ask proto.PiecesAsk, due, deadline time.Time) proto.PiecesAnswer {
	answer := p.run(ctx, ask, due, deadline)
	answer.Shard = ask.Shard
	p.recordReports(&ask, &answer)
	return answer
}

// recordReports keeps what an answer says about the queue of the shard that was asked.
func (p *PieceScheduler) recordReports(ask *proto.PiecesAsk, answer *proto.PiecesAnswer) {
	now, key := p.clock.Now(), shard{ask.Pool, ask.Shard}
	if answer.Outcome == proto.PiecesDone || answer.Outcome == proto.PiecesRefused {
		p.queueDelays.record(now, queueKey{key, ask.Rank}, answer.QueueDelay)
	}
	if answer.Load != nil {
		p.stageLoads.record(now, key, ask.ResultBytes, *answer.Load)
	}
}

// QueueDelay returns the last known queueing time of a job of a rank in a pool: that of its shortest shard, since each
// job goes to the shorter of two.
func (p *PieceScheduler) QueueDelay(pool string, rank int) time.Duration {
	now := p.clock.Now()
	layout := p.fleet.shardLayout(pool)
	shortest := p.queueDelays.estimate(now, queueKey{shard{pool, layout.at(0)}, rank})
	for n := 1; n < layout.count() && shortest > 0; n++ {
		shortest = min(shortest, p.queueDelays.estimate(now, queueKey{shard{pool, layout.at(n)}, rank}))
	}
	return shortest
}

func (p *PieceScheduler) run(ctx context.Context, ask proto.PiecesAsk, due, deadline time.Time) proto.PiecesAnswer {
	skip := map[proto.VM]bool{}
	askedAt, inputsLiveFor := p.clock.Now(), ask.InputsLiveFor
	for ask.Attempt = 0; ctx.Err() == nil; ask.Attempt++ {
		ask.InputsLiveFor = remainingLife(inputsLiveFor, p.clock.Since(askedAt))
		owner := p.owner(shard{ask.Pool, ask.Shard}, skip)
		if owner == p.self || owner == "" {
			return p.RunLocally(ctx, ask, due, deadline)
		}
		now := p.clock.Now()
		ask.DueIn, ask.TimeLeft = due.Sub(now), deadline.Sub(now)
		answer, err := p.runRemotely(ctx, owner, ask)
		if err == nil && answer.Outcome != proto.PiecesElsewhere {
			return answer
		}
		if ctx.Err() == nil {
			p.log.Warn("daemon did not run the pieces, trying another one", "request", ask.RequestID, "stage", ask.Stage, "pool", ask.Pool, "silent", owner, "error", err)
		}
		skip[owner] = true
	}
	return proto.PiecesAnswer{Outcome: proto.PiecesLate, Detail: "the request ended"}
}

// remainingLife returns how long inputs live after a time has passed. It is positive, since 0 means that it is not known.
func remainingLife(liveFor, passed time.Duration) time.Duration {
	if liveFor == 0 {
		return 0
	}
	return max(1, liveFor-passed)
}

type remoteAnswer struct {
	answer proto.PiecesAnswer
	err    error
}

func (p *PieceScheduler) runRemotely(ctx context.Context, owner proto.VM, ask proto.PiecesAsk) (proto.PiecesAnswer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan remoteAnswer, 1)
	go func() {
		m, err := p.peers.Call(callCtx, owner, ask)
		answer, ok := m.(proto.PiecesAnswer)
		if err == nil && !ok {
			err = newError("ask for pieces", proto.KindInvalid, "%s answered with another message", owner)
		}
		answers <- remoteAnswer{answer, err}
	}()
	ticker := p.clock.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case a := <-answers:
			if a.err != nil && ctx.Err() != nil {
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, RequestID: ask.RequestID, Stage: ask.Stage})
			}
			return a.answer, a.err
		case <-ticker.Chan():
			if p.peers.Silent(owner) {
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, RequestID: ask.RequestID, Stage: ask.Stage})
				return proto.PiecesAnswer{}, newError("ask for pieces", proto.KindUnavailable, "%s is silent", owner)
			}
		}
	}
}

// RunLocally batches the pieces on this daemon and waits for their results.
func (p *PieceScheduler) RunLocally(ctx context.Context, ask proto.PiecesAsk, due, deadline time.Time) proto.PiecesAnswer {
	w := p.workerFor(shard{ask.Pool, ask.Shard})
	if w == nil {
		return proto.PiecesAnswer{Outcome: proto.PiecesElsewhere, Detail: "the configuration in force here has no such pool of stages"}
	}
	if p.isBlocked(ask.Digest) {
		return proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "targets ended that worked on the request"}
	}
	j := &Job{Params: ask, Due: due, Deadline: deadline}
	if ask.InputsLiveFor > 0 {
		j.InputsExpire = p.clock.Now().Add(ask.InputsLiveFor)
	}
	answers, refused := w.addJob(j)
	if refused != nil {
		p.log.Info("pieces refused", "request", ask.RequestID, "stage", ask.Stage, "pool", ask.Pool, "pieces", ask.Pieces, "due", formatDuration(due.Sub(p.clock.Now())), "wait", formatDuration(refused.RetryAfter), "detail", refused.Detail)
		return *refused
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		p.Drop(proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, RequestID: ask.RequestID, Stage: ask.Stage})
		return proto.PiecesAnswer{Outcome: proto.PiecesLate, Detail: "the request ended"}
	}
}

// isBlocked reports whether a request must not be worked on because targets that did have ended.
func (p *PieceScheduler) isBlocked(request proto.RequestDigest) bool {
	_, refused := p.crashes.Blocks(request)
	return refused
}

// Free releases results of a shard of a pool. The daemon that batches for it is told, since it counts their storage.
func (p *PieceScheduler) Free(pool string, index int, handles []string) {
	if len(handles) == 0 {
		return
	}
	drop := proto.PiecesDrop{Pool: pool, Shard: index, Handles: handles}
	owner := p.owner(shard{pool, index}, nil)
	if owner == p.self || owner == "" {
		p.Drop(drop)
		return
	}
	p.peers.Send(owner, drop)
}

// Drop frees results, or cancels a stage that is no longer needed.
func (p *PieceScheduler) Drop(d proto.PiecesDrop) {
	w := p.workerFor(shard{d.Pool, d.Shard})
	if w == nil {
		p.freeQueue.enqueue(nil, d.Handles)
		return
	}
	w.handleDrop(d)
}

// TargetsChanged updates the targets of the batchers of a pool.
func (p *PieceScheduler) TargetsChanged(pool string) {
	p.mu.Lock()
	workers := slices.Collect(maps.Values(p.workers))
	p.mu.Unlock()
	for _, w := range workers {
		if w.pool == pool {
			w.updateTargets()
		}
	}
}

// RoutingChanged updates the pool specifications of the batchers.
func (p *PieceScheduler) RoutingChanged() {
	p.mu.Lock()
	workers := slices.Collect(maps.Values(p.workers))
	p.mu.Unlock()
	pools := p.tables.Current().Routing().Pools
	for _, w := range workers {
		if spec := pools[w.pool]; spec != nil && spec.Batch != nil {
			w.updateSpec(*spec.Batch)
		}
	}
}

// PieceStats holds totals since the start.
type PieceStats struct {
	Calls  int64 `json:"calls"`
	Pieces int64 `json:"pieces"`
	Failed int64 `json:"failedCalls"`
	// InputsExpired counts stages that ended because their inputs expired in the queue.
	InputsExpired int64 `json:"inputsExpired"`
	// Oversized counts answers to calls that were given up because of their size.
	Oversized int64 `json:"oversized"`
}

// Stats returns the totals.
func (p *PieceScheduler) Stats() PieceStats {
	return PieceStats{Calls: p.callCount.Load(), Pieces: p.pieceCount.Load(), Failed: p.failedCalls.Load(), InputsExpired: p.inputsExpired.Load(), Oversized: p.oversized.Load()}
}

func (p *PieceScheduler) workerFor(key shard) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[key]; w != nil {
		return w
	}
	table := p.tables.Current()
	if table == nil {
		return nil
	}
	spec := table.Routing().Pools[key.pool]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	w := &worker{pieces: p, shard: key, batcher: NewBatcher(*spec.Batch, WithBlockedRequests(p.isBlocked)), waiters: map[*Job]chan proto.PiecesAnswer{}}
	w.batcher.SetTargets(w.targets())
	w.limits = p.fleet.poolLimits(p.clock.Now(), key.pool)
	p.workers[key] = w
	return w
}
