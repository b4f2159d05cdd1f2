package relay

import (
	"errors"
	"slices"
	"sync"
	"syscall"

	"emberlead/proto"
)

// worker drives the batcher of one shard of a pool. Its own lock guards the batcher.
type worker struct {
	shard
	pieces *PieceScheduler

	mu       sync.Mutex
	batcher  *Batcher
	waiters  map[*Job]chan proto.PiecesAnswer
	timerSet bool
	// limits holds the rate limits and backoffs that targets of the pool asked for.
	limits []targetLimits
}

func (w *worker) addJob(j *Job) (chan proto.PiecesAnswer, *proto.PiecesAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pieces.clock.Now()
	if refused := w.batcher.Add(now, j); refused != nil {
		load := w.batcher.Load(now, j.Params.ResultBytes)
		refused.Load = &load
		return nil, refused
	}
	answers := make(chan proto.PiecesAnswer, 1)
	w.waiters[j] = answers
	w.schedule()
	return answers, nil
}

func (w *worker) handleDrop(d proto.PiecesDrop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	handles := d.Handles
	if d.RequestID != "" {
		handles = append(handles, w.batcher.Withdraw(d.RequestID, d.Stage)...)
		w.answerWithdrawn(d.RequestID, d.Stage)
	}
	w.pieces.freeQueue.enqueue(w, handles)
	w.schedule()
}

// answerWithdrawn answers the withdrawn jobs of a request, for which another daemon may still wait.
func (w *worker) answerWithdrawn(request string, stage int) {
	for j, answers := range w.waiters {
		if j.done && j.Params.RequestID == request && j.Params.Stage == stage {
			answers <- proto.PiecesAnswer{Outcome: proto.PiecesLate, Detail: "the request ended"}
			delete(w.waiters, j)
		}
	}
}

// targets returns the targets of the shard that may get work.
func (w *worker) targets() []proto.RelayTarget {
	return w.pieces.fleet.shardLayout(w.pool).targetsOf(w.index, w.pieces.fleet.Usable(w.pieces.clock.Now(), w.pool))
}

func (w *worker) updateTargets() {
	// The targets are read under the lock, so that of two updates at once the later one has the later targets.
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deliver(w.batcher.SetTargets(w.targets()))
	w.limits = w.pieces.fleet.poolLimits(w.pieces.clock.Now(), w.pool)
	w.schedule()
}

func (w *worker) updateSpec(spec proto.BatchSpec) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batcher.SetSpec(spec)
	w.schedule()
}

// schedule sends the calls that are due. The caller holds the lock.
func (w *worker) schedule() {
	w.batcher.setTargetLimits(w.limits, w.liveShare())
	calls, finished := w.batcher.NextCalls(w.pieces.clock.Now())
	w.deliver(finished)
	for _, c := range calls {
		go w.runCall(c)
	}
	if w.batcher.Busy() && !w.timerSet {
		w.timerSet = true
		w.pieces.clock.AfterFunc(expireInterval, w.onTimer)
	}
}

// nonOwnerShare is the fraction of the rate limits for a daemon that sends calls although another owns the shard: it
// took over from an owner that it considers silent, or still has jobs from when it was the owner.
const nonOwnerShare = 0.25

// liveShare returns the fraction of the rate limits that this daemon may use.
func (w *worker) liveShare() float64 {
	if len(w.limits) == 0 {
		return 1
	}
	share := w.pieces.peers.Share()
	if owner := w.pieces.owner(w.shard, nil); owner != "" && owner != w.pieces.self {
		return nonOwnerShare * share.liveShare()
	}
	return share.liveShare()
}

func (w *worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timerSet = false
	w.schedule()
}

func (w *worker) deliver(finished []FinishedJob) {
	for _, e := range finished {
		if answers := w.waiters[e.Job]; answers != nil {
			now := w.pieces.clock.Now()
			load := w.batcher.Load(now, e.Job.Params.ResultBytes)
			e.Answer.QueueDelay, e.Answer.Load = w.batcher.EstimateWaitFor(now, e.Job), &load
			answers <- e.Answer
			delete(w.waiters, e.Job)
		}
		if e.InputsExpired {
			w.pieces.inputsExpired.Add(1)
			w.pieces.log.Info("a job is lost, as "+reasonInputsExpired, "request", e.Job.Params.RequestID, "stage", e.Job.Params.Stage, "pool", w.pool, "queued", formatDuration(e.Answer.QueuedFor))
		}
		if e.Answer.Outcome != proto.PiecesDone {
			w.pieces.freeQueue.enqueue(w, e.Job.resultHandles())
		}
	}
}

func (j *Job) resultHandles() []string {
	var made []string
	for _, h := range j.handles {
		if h != "" {
			made = append(made, h)
		}
	}
	return made
}

func (w *worker) runCall(c *Call) {
	p := w.pieces
	p.callCount.Add(1)
	p.pieceCount.Add(int64(len(c.Items)))
	// AfterFunc may run in the clock's goroutine, which must not wait for a lock.
	fetched := p.clock.AfterFunc(p.fetchTimes.keepTime(w.pool), func() { go w.releaseFetchedInputs(c) })
	results, err := w.call(c)
	fetched.Stop()
	now := p.clock.Now()
	if err != nil {
		p.failedCalls.Add(1)
		w.reportFailure(c, err)
		p.log.Warn("a call for pieces failed", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "address", c.Target.Address, "pieces", len(c.Items), "took", formatDuration(now.Sub(c.StartedAt)), "error", err)
	} else {
		p.log.Info("pieces made", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "pieces", len(c.Items), "took", formatDuration(now.Sub(c.StartedAt)), "expected", formatDuration(c.Expected))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.deliver(w.batcher.CallFailed(now, c, errors.Is(err, errBusy)))
	} else {
		w.recordFetch(c, results)
		finished, unused := w.batcher.CallDone(now, c, results)
		w.deliver(finished)
		p.freeQueue.enqueue(w, unused)
	}
	w.schedule()
}

// reportFailure reports that a target may have ended while it worked on a call.
func (w *worker) reportFailure(c *Call, err error) {
	p := w.pieces
	silent := errors.Is(err, errCallAbandoned)
	if errors.Is(err, errBusy) || !silent && !p.fleet.InService(c.Target) {
		return
	}
	var sendErr *SendError
	if errors.As(err, &sendErr) && !sendErr.Written {
		if errors.Is(err, syscall.ECONNREFUSED) && !mayBeLink(err) {
			p.crashDetector.RecordEnd(c.Target, err.Error())
		}
		return
	}
	var requests []proto.RequestDigest
	for _, item := range c.Items {
		requests = append(requests, item.Job.Params.Digest)
	}
	slices.Sort(requests)
	p.crashDetector.RecordFailure(c.Target, !silent, slices.Compact(requests)...)
}

// releaseFetchedInputs releases the inputs of a call that its target has fetched by now.
func (w *worker) releaseFetchedInputs(c *Call) {
	w.mu.Lock()
	released := w.batcher.releaseInputs(w.pieces.clock.Now(), c)
	w.mu.Unlock()
	for source, handles := range released {
		w.pieces.Free(source.pool, source.index, handles)
	}
}

// recordFetch records whether the target of a call had fetched the inputs that were released during the call.
func (w *worker) recordFetch(c *Call, results []ItemResult) {
	released, fetched := false, true
	for n, item := range c.Items {
		if !item.Job.inputsFreed {
			continue
		}
		released = true
		fetched = fetched && results[n].Outcome != proto.PiecesLost
	}
	if !released {
		return
	}
	keep := w.pieces.fetchTimes.observe(w.pieces.clock.Now(), c.StartedAt, w.pool, fetched)
	if !fetched {
		w.pieces.log.Info("inputs were freed too early", "pool", w.pool, "target", c.Target.ID, "keepNext", formatDuration(keep))
	}
}
