package relay

import (
	"errors"
	"slices"
	"sync"
	"syscall"

	"emberlead/proto"
)

// worker drives the batcher of one shard of a pool.
type worker struct {
	shard
	pieces *PieceScheduler

	mu      sync.Mutex
	batcher *Batcher
	waiting map[*Job]chan proto.PiecesAnswer
	armed   bool
	// terms holds the rate limits and backoffs that targets of the pool asked for.
	terms []targetLimits
}

func (w *worker) add(j *Job) (chan proto.PiecesAnswer, *proto.PiecesAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if refused := w.batcher.Add(w.pieces.clock.Now(), j); refused != nil {
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
	if d.RequestID != "" {
		handles = append(handles, w.batcher.Withdraw(d.RequestID, d.Stage)...)
	}
	w.pieces.freeQueue.enqueue(w, handles)
	w.turn()
}

// targets returns the targets of the shard that may get work.
func (w *worker) targets() []proto.RelayTarget {
	shards := shardCount(w.pieces.fleet.Size(w.pool))
	return targetsInShard(w.pieces.fleet.Usable(w.pieces.clock.Now(), w.pool), w.index, shards)
}

func (w *worker) retarget() {
	targets, terms := w.targets(), w.pieces.fleet.poolLimits(w.pieces.clock.Now(), w.pool)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.batcher.SetTargets(targets))
	w.terms = terms
	w.turn()
}

func (w *worker) respec(spec proto.BatchSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batcher.SetSpec(spec)
	w.turn()
}

// turn sends the calls that are due. The caller holds the lock.
func (w *worker) turn() {
	w.batcher.setTargetLimits(w.terms, w.liveShare())
	calls, ends := w.batcher.NextCalls(w.pieces.clock.Now())
	w.settle(ends)
	for _, c := range calls {
		go w.send(c)
	}
	if w.batcher.Busy() && !w.armed {
		w.armed = true
		w.pieces.clock.AfterFunc(expireEvery, w.due)
	}
}

// nonOwnerShare is the fraction of the rate limits for a daemon that sends calls although another daemon owns the
// shard: it took over from an owner that it considers silent, or still has jobs from when it was the owner.
const nonOwnerShare = 0.25

// liveShare returns the fraction of the rate limits that this daemon may use.
func (w *worker) liveShare() float64 {
	if len(w.terms) == 0 {
		return 1
	}
	share := w.pieces.peers.Share()
	if owner := w.pieces.peers.Owner(w.taskName(), nil); owner != "" && owner != w.pieces.self {
		return nonOwnerShare * share.liveShare()
	}
	return share.liveShare()
}

func (w *worker) due() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.turn()
}

func (w *worker) settle(ends []FinishedJob) {
	for _, e := range ends {
		if answers := w.waiting[e.Job]; answers != nil {
			e.Answer.QueueDelay = w.batcher.QueueTime(w.pieces.clock.Now(), e.Job)
			answers <- e.Answer
			delete(w.waiting, e.Job)
		}
		if e.Answer.Outcome != proto.PiecesDone {
			w.pieces.freeQueue.enqueue(w, e.Job.results())
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
	// AfterFunc may run in the clock's goroutine, which must not wait for a lock.
	fetched := p.clock.AfterFunc(p.fetchTimes.keepTime(w.pool), func() { go w.freeFetched(c) })
	results, err := w.call(c)
	fetched.Stop()
	now := p.clock.Now()
	if err != nil {
		p.failed.Add(1)
		w.noteFailed(c, err)
		p.log.Warn("a call for pieces failed", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "address", c.Target.Address, "pieces", len(c.Items), "took", formatDuration(now.Sub(c.StartedAt)), "error", err)
	} else {
		p.log.Info("pieces made", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "pieces", len(c.Items), "took", formatDuration(now.Sub(c.StartedAt)), "expected", formatDuration(c.Expected))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.settle(w.batcher.CallFailed(now, c, errors.Is(err, errBusy)))
	} else {
		w.learnFetch(c, results)
		ends, unused := w.batcher.CallDone(now, c, results)
		w.settle(ends)
		p.freeQueue.enqueue(w, unused)
	}
	w.turn()
}

// noteFailed reports that a target may have ended while it worked on a call.
func (w *worker) noteFailed(c *Call, err error) {
	p := w.pieces
	silent := errors.Is(err, errCallGivenUp)
	if errors.Is(err, errBusy) || !silent && !p.fleet.InService(c.Target) {
		return
	}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		if errors.Is(err, syscall.ECONNREFUSED) {
			p.ends.RecordEnd(c.Target, err.Error())
		}
		return
	}
	var requests []proto.RequestDigest
	for _, item := range c.Items {
		requests = append(requests, item.Job.Params.Digest)
	}
	slices.Sort(requests)
	p.ends.RecordFailure(c.Target, !silent, slices.Compact(requests)...)
}

// freeFetched releases the inputs of a call that its target has fetched by now.
func (w *worker) freeFetched(c *Call) {
	w.mu.Lock()
	given := w.batcher.fetched(w.pieces.clock.Now(), c)
	w.mu.Unlock()
	for of, handles := range given {
		w.pieces.Free(of.pool, of.index, handles)
	}
}

// learnFetch records whether the target of a call had fetched the inputs that were released during the call.
func (w *worker) learnFetch(c *Call, results []ItemResult) {
	gave, fetched := false, true
	for n, item := range c.Items {
		if !item.Job.inputsFreed {
			continue
		}
		gave = true
		fetched = fetched && results[n].Outcome != proto.PiecesLost
	}
	if !gave {
		return
	}
	keep := w.pieces.fetchTimes.observe(w.pieces.clock.Now(), c.StartedAt, w.pool, fetched)
	if !fetched {
		w.pieces.log.Info("inputs were freed too early", "pool", w.pool, "target", c.Target.ID, "keepNext", formatDuration(keep))
	}
}
