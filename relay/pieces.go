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
	freeEvery = 20 * time.Millisecond
	// limitedFreeEvery is the same for targets that name a limit, which calls that free results must not use up.
	limitedFreeEvery = time.Second
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
	batchTask = "batch/"
)

// Pieces has the pieces of stages worked on: each shard of a pool has one daemon that fills the calls to its targets.
type Pieces struct {
	self    proto.VM
	clock   clockwork.Clock
	log     hclog.Logger
	dialect Dialect
	sender  Sender
	peers   Peers
	fleet   *Fleet
	tables  *Tables

	mu      sync.Mutex
	workers map[shard]*worker
	frees   *frees

	queues  queues
	fetches fetches

	crashes *Crashes
	ends    *EndWatch

	calls, items, failed atomic.Int64
}

// PiecesOption changes a Pieces at construction.
type PiecesOption func(*Pieces)

// WithEnds has no piece made of requests that crashes refuses, and ends told of calls that failed.
func WithEnds(crashes *Crashes, ends *EndWatch) PiecesOption {
	return func(p *Pieces) { p.crashes, p.ends = crashes, ends }
}

// NewPieces returns a driver without work.
func NewPieces(self proto.VM, clock clockwork.Clock, log hclog.Logger, dialect Dialect, sender Sender, peers Peers, fleet *Fleet, tables *Tables, options ...PiecesOption) *Pieces {
	p := &Pieces{self: self, clock: clock, log: log, dialect: dialect, sender: newNoticingSender(sender, dialect, fleet, clock, log), peers: peers, fleet: fleet, tables: tables, workers: map[shard]*worker{}}
	p.frees = &frees{pieces: p, due: map[netip.AddrPort]*freeing{}}
	for _, option := range options {
		option(p)
	}
	return p
}

// Ask has all pieces of a stage made, by the daemon that batches for the pool or, when that is silent, by another.
func (p *Pieces) Ask(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	ask.Shard = p.chooseShard(ask.Pool, ask.Request, ask.Rank)
	answer := p.ask(ctx, ask, due, end)
	answer.Shard = ask.Shard
	if answer.Fate == proto.PiecesDone || answer.Fate == proto.PiecesRefused {
		p.queues.note(p.clock.Now(), queueKey{shard{ask.Pool, ask.Shard}, ask.Rank}, answer.Queue)
	}
	return answer
}

// Queue is how long a job of such a rank waits for its turn in a pool, as far as this daemon has lately heard: in the
// shard with the shortest queue, since it is one of two that gets the job.
func (p *Pieces) Queue(pool string, rank int) time.Duration {
	now := p.clock.Now()
	least := p.queues.read(now, queueKey{shard{pool, 0}, rank})
	for i := 1; i < shardsOf(p.fleet.Size(pool)); i++ {
		least = min(least, p.queues.read(now, queueKey{shard{pool, i}, rank}))
	}
	return least
}

func (p *Pieces) ask(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	skip := map[proto.VM]bool{}
	for ask.Trial = 0; ctx.Err() == nil; ask.Trial++ {
		owner := p.peers.Owner(shard{ask.Pool, ask.Shard}.task(), skip)
		if owner == p.self || owner == "" {
			return p.Work(ctx, ask, due, end)
		}
		now := p.clock.Now()
		ask.Due, ask.Left = due.Sub(now), end.Sub(now)
		answer, err := p.remote(ctx, owner, ask)
		if err == nil && answer.Fate != proto.PiecesElsewhere {
			return answer
		}
		if ctx.Err() == nil {
			p.log.Warn("asking another daemon for pieces", "request", ask.Request, "stage", ask.Stage, "pool", ask.Pool, "silent", owner, "error", err)
		}
		skip[owner] = true
	}
	return proto.PiecesAnswer{Fate: proto.PiecesLate, Detail: "the request ended"}
}

type remoteAnswer struct {
	answer proto.PiecesAnswer
	err    error
}

func (p *Pieces) remote(ctx context.Context, owner proto.VM, ask proto.PiecesAsk) (proto.PiecesAnswer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan remoteAnswer, 1)
	go func() {
		m, err := p.peers.Call(callCtx, owner, ask)
		answer, ok := m.(proto.PiecesAnswer)
		if err == nil && !ok {
			err = fault("ask for pieces", proto.KindInvalid, "%s answered with another message", owner)
		}
		answers <- remoteAnswer{answer, err}
	}()
	ticker := p.clock.NewTicker(silenceCheck)
	defer ticker.Stop()
	for {
		select {
		case a := <-answers:
			if a.err != nil && ctx.Err() != nil {
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, Request: ask.Request, Stage: ask.Stage})
			}
			return a.answer, a.err
		case <-ticker.Chan():
			if p.peers.Silent(owner) {
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, Request: ask.Request, Stage: ask.Stage})
				return proto.PiecesAnswer{}, fault("ask for pieces", proto.KindUnavailable, "%s is silent", owner)
			}
		}
	}
}

// Work batches the pieces here and waits for their results.
func (p *Pieces) Work(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	w := p.worker(shard{ask.Pool, ask.Shard})
	if w == nil {
		return proto.PiecesAnswer{Fate: proto.PiecesElsewhere, Detail: "the configuration in force here has no such pool of stages"}
	}
	if p.refuses(ask.Digest) {
		return proto.PiecesAnswer{Fate: proto.PiecesFailed, Detail: "targets ended that worked on the request"}
	}
	j := &Job{Ask: ask, Due: due, End: end}
	answers, refused := w.add(j)
	if refused != nil {
		p.log.Info("pieces refused", "request", ask.Request, "stage", ask.Stage, "pool", ask.Pool, "pieces", ask.Pieces, "due", brief(due.Sub(p.clock.Now())), "wait", brief(refused.Wait), "detail", refused.Detail)
		return *refused
	}
	select {
	case a := <-answers:
		return a
	case <-ctx.Done():
		p.Drop(proto.PiecesDrop{Pool: ask.Pool, Shard: ask.Shard, Request: ask.Request, Stage: ask.Stage})
		return proto.PiecesAnswer{Fate: proto.PiecesLate, Detail: "the request ended"}
	}
}

// refuses tells whether a request is not worked on, since targets ended that did.
func (p *Pieces) refuses(request proto.RequestDigest) bool {
	_, refused := p.crashes.Refuses(request)
	return refused
}

// Free gives results of a shard of a pool up; the daemon that batches for it is told, since it counts their room.
func (p *Pieces) Free(pool string, index int, handles []string) {
	if len(handles) == 0 {
		return
	}
	drop := proto.PiecesDrop{Pool: pool, Shard: index, Handles: handles}
	owner := p.peers.Owner(shard{pool, index}.task(), nil)
	if owner == p.self || owner == "" {
		p.Drop(drop)
		return
	}
	p.peers.Send(owner, drop)
}

// Drop frees results, or withdraws a stage that nobody waits for any more.
func (p *Pieces) Drop(d proto.PiecesDrop) {
	w := p.worker(shard{d.Pool, d.Shard})
	if w == nil {
		p.frees.add(nil, d.Handles)
		return
	}
	w.drop(d)
}

// TargetsChanged lets the pool's batchers take over the targets that may get work.
func (p *Pieces) TargetsChanged(pool string) {
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
func (p *Pieces) RoutingChanged() {
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
func (p *Pieces) Counts() PieceCounts {
	return PieceCounts{Calls: p.calls.Load(), Pieces: p.items.Load(), Failed: p.failed.Load()}
}

func (p *Pieces) worker(of shard) *worker {
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
	w := &worker{pieces: p, shard: of, batch: NewBatcher(*spec.Batch, WithRefusals(p.refuses)), waiting: map[*Job]chan proto.PiecesAnswer{}}
	w.batch.SetTargets(w.targets())
	w.terms = p.fleet.terms(p.clock.Now(), of.pool)
	p.workers[of] = w
	return w
}
