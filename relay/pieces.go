package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
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
	// expireEvery is how often a worker with jobs looks for those whose time is over.
	expireEvery = 50 * time.Millisecond
	// callSlack is how much longer than expected a call may take before its target is held to be hung: slow
	// targets take up to five times as long.
	callSlack = 6
	// callLeast is the least time that a call is given.
	callLeast = 1500 * time.Millisecond
	// freeWait bounds a call that frees results.
	freeWait = time.Second
	// piecesMost bounds the answer to a call, in bytes.
	piecesMost = 1 << 20
	// batchTask begins the name of the task of batching for a pool.
	batchTask = "batch/"
)

// Pieces has the pieces of stages worked on: each pool has one daemon that fills the calls to its targets.
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
	workers map[string]*worker
	frees   *frees

	queues queues

	calls, items, failed atomic.Int64
}

// NewPieces returns a driver without work.
func NewPieces(self proto.VM, clock clockwork.Clock, log hclog.Logger, dialect Dialect, sender Sender, peers Peers, fleet *Fleet, tables *Tables) *Pieces {
	p := &Pieces{self: self, clock: clock, log: log, dialect: dialect, sender: sender, peers: peers, fleet: fleet, tables: tables, workers: map[string]*worker{}}
	p.frees = &frees{pieces: p, due: map[netip.AddrPort]*freeing{}}
	return p
}

// Ask has all pieces of a stage made, by the daemon that batches for the pool or, when that is silent, by another.
func (p *Pieces) Ask(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	answer := p.ask(ctx, ask, due, end)
	if answer.Fate == proto.PiecesDone || answer.Fate == proto.PiecesRefused {
		p.queues.note(p.clock.Now(), queueKey{ask.Pool, ask.Rank}, answer.Queue)
	}
	return answer
}

// Queue is how long a job of such a rank waits for its turn in a pool, as far as this daemon has lately heard.
func (p *Pieces) Queue(pool string, rank int) time.Duration {
	return p.queues.read(p.clock.Now(), queueKey{pool, rank})
}

func (p *Pieces) ask(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	skip := map[proto.VM]bool{}
	for ask.Trial = 0; ctx.Err() == nil; ask.Trial++ {
		owner := p.peers.Owner(batchTask+ask.Pool, skip)
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
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Request: ask.Request, Stage: ask.Stage})
			}
			return a.answer, a.err
		case <-ticker.Chan():
			if p.peers.Silent(owner) {
				p.peers.Send(owner, proto.PiecesDrop{Pool: ask.Pool, Request: ask.Request, Stage: ask.Stage})
				return proto.PiecesAnswer{}, fault("ask for pieces", proto.KindUnavailable, "%s is silent", owner)
			}
		}
	}
}

// Work batches the pieces here and waits for their results.
func (p *Pieces) Work(ctx context.Context, ask proto.PiecesAsk, due, end time.Time) proto.PiecesAnswer {
	w := p.worker(ask.Pool)
	if w == nil {
		return proto.PiecesAnswer{Fate: proto.PiecesElsewhere, Detail: "the configuration in force here has no such pool of stages"}
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
		p.Drop(proto.PiecesDrop{Pool: ask.Pool, Request: ask.Request, Stage: ask.Stage})
		return proto.PiecesAnswer{Fate: proto.PiecesLate, Detail: "the request ended"}
	}
}

// Free gives results up; the daemon that batches for the pool is told, since it counts their room.
func (p *Pieces) Free(pool string, handles []string) {
	if len(handles) == 0 {
		return
	}
	owner := p.peers.Owner(batchTask+pool, nil)
	if owner == p.self || owner == "" {
		p.Drop(proto.PiecesDrop{Pool: pool, Handles: handles})
		return
	}
	p.peers.Send(owner, proto.PiecesDrop{Pool: pool, Handles: handles})
}

// Drop frees results, or withdraws a stage that nobody waits for any more.
func (p *Pieces) Drop(d proto.PiecesDrop) {
	w := p.worker(d.Pool)
	if w == nil {
		p.frees.add(nil, d.Handles)
		return
	}
	w.drop(d)
}

// TargetsChanged lets the pool's batcher take over the targets that may get work.
func (p *Pieces) TargetsChanged(pool string) {
	p.mu.Lock()
	w := p.workers[pool]
	p.mu.Unlock()
	if w != nil {
		w.retarget()
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

func (p *Pieces) worker(pool string) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.workers[pool]; w != nil {
		return w
	}
	table := p.tables.Current()
	if table == nil {
		return nil
	}
	spec := table.Routing().Pools[pool]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	w := &worker{pieces: p, pool: pool, batch: NewBatcher(*spec.Batch), waiting: map[*Job]chan proto.PiecesAnswer{}}
	w.batch.SetTargets(p.fleet.Usable(pool))
	p.workers[pool] = w
	return w
}

// worker drives the batcher of one pool, under a lock of its own.
type worker struct {
	pieces *Pieces
	pool   string

	mu      sync.Mutex
	batch   *Batcher
	waiting map[*Job]chan proto.PiecesAnswer
	armed   bool
}

func (w *worker) add(j *Job) (chan proto.PiecesAnswer, *proto.PiecesAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refused := w.batch.Add(w.pieces.clock.Now(), j); refused != nil {
		return nil, refused
	}
	answers := make(chan proto.PiecesAnswer, 1)
	w.waiting[j] = answers
	w.turn()
	return answers, nil
}

func (w *worker) drop(d proto.PiecesDrop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	handles := d.Handles
	if d.Request != "" {
		handles = append(handles, w.batch.Withdraw(d.Request, d.Stage)...)
	}
	w.pieces.frees.add(w, handles)
	w.turn()
}

func (w *worker) retarget() {
	targets := w.pieces.fleet.Usable(w.pool)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batch.SetTargets(targets)
	w.turn()
}

// turn sends the calls that are due; the lock is held.
func (w *worker) turn() {
	calls, ends := w.batch.Next(w.pieces.clock.Now())
	w.settle(ends)
	for _, c := range calls {
		go w.send(c)
	}
	if w.batch.Busy() && !w.armed {
		w.armed = true
		w.pieces.clock.AfterFunc(expireEvery, w.due)
	}
}

func (w *worker) due() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.turn()
}

func (w *worker) settle(ends []JobEnd) {
	for _, e := range ends {
		if answers := w.waiting[e.Job]; answers != nil {
			e.Answer.Queue = w.batch.Queue(w.pieces.clock.Now(), e.Job)
			answers <- e.Answer
			delete(w.waiting, e.Job)
		}
		if e.Answer.Fate != proto.PiecesDone {
			w.pieces.frees.add(w, e.Job.results())
		}
	}
}

func (j *Job) results() []string {
	var made []string
	for _, h := range j.handles {
		if h != "" {
			made = append(made, h)
		}
	}
	return made
}

func (w *worker) send(c *Call) {
	p := w.pieces
	p.calls.Add(1)
	p.items.Add(int64(len(c.Items)))
	results, err := p.call(c)
	now := p.clock.Now()
	if err != nil {
		p.failed.Add(1)
		p.log.Warn("a call for pieces failed", "pool", w.pool, "target", c.Target.ID, "address", c.Target.Address, "pieces", len(c.Items), "took", brief(now.Sub(c.Began)), "error", err)
	} else {
		p.log.Info("pieces made", "pool", w.pool, "target", c.Target.ID, "pieces", len(c.Items), "took", brief(now.Sub(c.Began)), "expected", brief(c.Expected))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.settle(w.batch.Failed(now, c, errors.Is(err, errBusy)))
	} else {
		ends, unused := w.batch.Done(now, c, results)
		w.settle(ends)
		p.frees.add(w, unused)
	}
	w.turn()
}

// errBusy says that a target had no slot for a call.
var errBusy = errors.New("the target has no free slot")

func (p *Pieces) call(c *Call) ([]ItemResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), max(callLeast, callSlack*c.Expected))
	defer cancel()
	out, err := p.dialect.PiecesCall(c, p.clock.Now())
	if err != nil {
		return nil, err
	}
	in, err := p.sender.Send(ctx, c.Target.Address, &out)
	if err != nil {
		return nil, err
	}
	defer in.Body.Close()
	body, err := io.ReadAll(io.LimitReader(in.Body, piecesMost))
	if err != nil {
		return nil, &Error{Op: "read pieces", Kind: proto.KindUnknown, Err: err}
	}
	if in.Status == http.StatusServiceUnavailable {
		return nil, errBusy
	}
	if in.Status != http.StatusOK {
		return nil, fault("call for pieces", proto.KindUnknown, "the target answered with status %d", in.Status)
	}
	return p.dialect.PiecesResult(body, len(c.Items))
}

// frees gathers results to be freed by the target that holds them.
type frees struct {
	pieces *Pieces
	mu     sync.Mutex
	due    map[netip.AddrPort]*freeing
}

// freeing is what one target is to free next; a worker counts the room of its results until that is done.
type freeing struct {
	worker  *worker
	handles []string
}

func (f *frees) add(w *worker, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		maker, err := f.pieces.dialect.Maker(h)
		if err != nil {
			f.pieces.log.Warn("a result cannot be freed", "handle", h, "error", err)
			continue
		}
		next := f.due[maker]
		if next == nil {
			next = &freeing{worker: w}
			f.due[maker] = next
			f.pieces.clock.AfterFunc(freeEvery, func() { f.flush(maker) })
		}
		next.handles = append(next.handles, h)
	}
}

func (f *frees) flush(maker netip.AddrPort) {
	f.mu.Lock()
	next := f.due[maker]
	delete(f.due, maker)
	f.mu.Unlock()
	// AfterFunc may run in the goroutine of the clock, which must not wait for a target.
	go f.send(maker, next)
}

func (f *frees) send(maker netip.AddrPort, next *freeing) {
	err := f.call(maker, next.handles)
	if err != nil {
		// The target drops results by itself after a time, and their room is counted until then.
		f.pieces.log.Info("results were not freed", "maker", maker, "results", len(next.handles), "error", err)
		return
	}
	if next.worker != nil {
		next.worker.freed(next.handles)
	}
}

func (f *frees) call(maker netip.AddrPort, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeWait)
	defer cancel()
	out, err := f.pieces.dialect.FreeCall(handles)
	if err != nil {
		return err
	}
	in, err := f.pieces.sender.Send(ctx, maker, &out)
	if err != nil {
		return err
	}
	defer in.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(in.Body, piecesMost)); err != nil {
		return &Error{Op: "free results", Kind: proto.KindUnknown, Err: err}
	}
	if in.Status != http.StatusOK {
		return fault("free results", proto.KindUnknown, "the target answered with status %d", in.Status)
	}
	return nil
}

func (w *worker) freed(handles []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pieces.clock.Now()
	for _, h := range handles {
		w.batch.Freed(now, h)
	}
	w.turn()
}
