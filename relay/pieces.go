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
	// silenceCheck is how often a daemon that waits for another's answer looks whether that one still lives.
	silenceCheck = 150 * time.Millisecond
	// freeEvery is how long results to be freed are gathered, since a call for each would cost more than their room.
	freeInterval = 20 * time.Millisecond
	// limitedFreeEvery is the same for targets that name a limit, which calls that free results must not use up.
	limitedFreeInterval = time.Second
	// expireEvery is how often a worker with jobs looks for those whose time is over.
	expireEvery = 50 * time.Millisecond
	// callSlack is how many times its expected time, or that of an empty call as configured if that is more, a call may
	// take before it is looked whether it is still waited for; slow targets stay below that.
	callSlack = 6
	// freeWait bounds a call that frees results.
	freeWait = time.Second
	// piecesMost bounds the answer to a call, in bytes.
	piecesMost = 1 << 20
	// batchTask begins the name of the task of batching for a pool.
	batchTaskPrefix = "batch/"
)

// PieceScheduler has the pieces of stages worked on: each shard of a pool has one daemon that fills the calls to its targets.
type PieceScheduler struct {
	self    proto.VM
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

	queueTimes queueTimes
	fetchTimes fetchTimes

	crashes *CrashTracker
	ends    *CrashDetector

	calls, items, failed atomic.Int64
}

// PieceSchedulerOption changes a Pieces at construction.
type PieceSchedulerOption func(*PieceScheduler)

// WithCrashDetection has no piece made of requests that crashes refuses, and ends told of calls that failed.
func WithCrashDetection(crashes *CrashTracker, ends *CrashDetector) PieceSchedulerOption {
	return func(p *PieceScheduler) { p.crashes, p.ends = crashes, ends }
}

// NewPieceScheduler returns a driver without work.
func NewPieceScheduler(self proto.VM, clock clockwork.Clock, log hclog.Logger, dialect Dialect, sender Sender, peers Peers, fleet *Fleet, tables *Tables, options ...PieceSchedulerOption) *PieceScheduler {
	p := &PieceScheduler{self: self, clock: clock, log: log, dialect: dialect, sender: newNoticeSender(sender, dialect, fleet, clock, log), peers: peers, fleet: fleet, tables: tables, workers: map[shard]*worker{}}
	p.freeQueue = &freeQueue{pieces: p, due: map[netip.AddrPort]*freeing{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Run has all pieces of a stage made, by the daemon that batches for the pool or, when that is silent, by another.
func (p *PieceScheduler) Run(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	ask.Shard = p.chooseShard(ask.Pool, ask.RequestID, ask.Rank)
	answer := p.run(ctx, ask, due, end)
	answer.Shard = ask.Shard
	if answer.Outcome == proto.PiecesDone || answer.Outcome == proto.PiecesRefused {
		p.queueTimes.record(p.clock.Now(), queueKey{shard{ask.Pool, ask.Shard}, ask.Rank}, answer.QueueDelay)
	}
	return answer
}

// QueueTime is how long a job of such a rank waits for its turn in a pool, as far as this daemon has lately heard: in the
// shard with the shortest queue, since it is one of two that gets the job.
func (p *PieceScheduler) QueueTime(pool string, rank int) time.Duration {
	now := p.clock.Now()
	least := p.queueTimes.estimate(now, queueKey{shard{pool, 0}, rank})
	for i := 1; i < shardCount(p.fleet.Size(pool)); i++ {
		least = min(least, p.queueTimes.estimate(now, queueKey{shard{pool, i}, rank}))
	}
	return least
}

func (p *PieceScheduler) run(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	skip := map[proto.VM]bool{}
	for ask.Attempt = 0; ctx.Err() == nil; ask.Attempt++ {
		owner := p.peers.Owner(shard{ask.Pool, ask.Shard}.taskName(), skip)
		if owner == p.self || owner == "" {
			return p.RunLocally(ctx, ask, due, end)
		}
		now := p.clock.Now()
		ask.DueIn, ask.TimeLeft = due.Sub(now), end.Sub(now)
		answer, err := p.runRemotely(ctx, owner, ask)
		if err == nil && answer.Outcome != proto.PiecesElsewhere {
			return answer
		}
		if ctx.Err() == nil {
			p.log.Warn("asking another daemon for pieces", "request", ask.RequestID, "stage", ask.Stage, "pool", ask.Pool, "silent", owner, "error", err)
		}
		skip[owner] = true
	}
	return proto.PiecesAnswer{Outcome: proto.PiecesLate, Detail: "the request ended"}
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
	ticker := p.clock.NewTicker(silenceCheck)
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

// RunLocally batches the pieces here and waits for their results.
func (p *PieceScheduler) RunLocally(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	w := p.workerFor(shard{ask.Pool, ask.Shard})
	if w == nil {
		return proto.PiecesAnswer{Outcome: proto.PiecesElsewhere, Detail: "the configuration in force here has no such pool of stages"}
	}
	if p.refuses(ask.Digest) {
		return proto.PiecesAnswer{Outcome: proto.PiecesFailed, Detail: "targets ended that worked on the request"}
	}
	j := &Job{Params: ask, Due: due, Deadline: end}
	answers, refused := w.add(j)
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

// refuses tells whether a request is not worked on, since targets ended that did.
func (p *PieceScheduler) refuses(request proto.RequestDigest) bool {
	_, refused := p.crashes.Blocks(request)
	return refused
}

// Free gives results of a shard of a pool up; the daemon that batches for it is told, since it counts their room.
func (p *PieceScheduler) Free(pool string, index int, handles []string) {
	if len(handles) == 0 {
		return
	}
	drop := proto.PiecesDrop{Pool: pool, Shard: index, Handles: handles}
	owner := p.peers.Owner(shard{pool, index}.taskName(), nil)
	if owner == p.self || owner == "" {
		p.Drop(drop)
		return
	}
	p.peers.Send(owner, drop)
}

// Drop frees results, or withdraws a stage that nobody waits for any more.
func (p *PieceScheduler) Drop(d proto.PiecesDrop) {
	w := p.workerFor(shard{d.Pool, d.Shard})
	if w == nil {
		p.freeQueue.enqueue(nil, d.Handles)
		return
	}
	w.drop(d)
}

// TargetsChanged lets the pool's batchers take over the targets that may get work.
func (p *PieceScheduler) TargetsChanged(pool string) {
	p.mu.Lock()
	workers := slices.Collect(maps.Values(p.workers))
	p.mu.Unlock()
	for _, w := range workers {
		if w.pool == pool {
			w.retarget()
		}
	}
}

// RoutingChanged lets the batchers take over changed descriptions of their pools.
func (p *PieceScheduler) RoutingChanged() {
	p.mu.Lock()
	workers := slices.Collect(maps.Values(p.workers))
	p.mu.Unlock()
	pools := p.tables.Current().Routing().Pools
	for _, w := range workers {
		if spec := pools[w.pool]; spec != nil && spec.Batch != nil {
			w.respec(*spec.Batch)
		}
	}
}

// PieceCounts are totals since the start.
type PieceCounts struct {
	Calls  int64 `json:"calls"`
	Pieces int64 `json:"pieces"`
	Failed int64 `json:"failedCalls"`
}

// Counts returns the totals.
func (p *PieceScheduler) Counts() PieceCounts {
	return PieceCounts{Calls: p.calls.Load(), Pieces: p.items.Load(), Failed: p.failed.Load()}
}

func (p *PieceScheduler) workerFor(of shard) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[of]; w != nil {
		return w
	}
	table := p.tables.Current()
	if table == nil {
		return nil
	}
	spec := table.Routing().Pools[of.pool]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	w := &worker{pieces: p, shard: of, batcher: NewBatcher(*spec.Batch, WithRefusals(p.refuses)), waiting: map[*Job]chan proto.PiecesAnswer{}}
	w.batcher.SetTargets(w.targets())
	w.terms = p.fleet.poolLimits(p.clock.Now(), of.pool)
	p.workers[of] = w
	return w
}
