package relay

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"emberlead/proto"
)

// freeQueue collects results to free, by the target that holds them.
type freeQueue struct {
	pieces  *PieceScheduler
	mu      sync.Mutex
	pending map[netip.AddrPort]*freeBatch
}

// freeBatch is the next batch of results to free at one target. The worker counts their storage until the target has freed them.
type freeBatch struct {
	worker  *worker
	handles []string
}

func (f *freeQueue) enqueue(w *worker, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		address, err := f.pieces.dialect.HandleAddress(h)
		if err != nil {
			f.pieces.log.Warn("cannot determine the target of a result to free", "handle", h, "error", err)
			continue
		}
		batch := f.pending[address]
		if batch == nil {
			batch = &freeBatch{worker: w}
			f.pending[address] = batch
			f.pieces.clock.AfterFunc(f.collectFor(address), func() { f.flush(address) })
		}
		batch.handles = append(batch.handles, h)
	}
}

// collectFor returns how long results to free at a target are collected.
func (f *freeQueue) collectFor(address netip.AddrPort) time.Duration {
	limited, _ := f.pieces.fleet.signalsAt(address)
	if limited {
		return limitedFreeInterval
	}
	return freeInterval
}

func (f *freeQueue) flush(address netip.AddrPort) {
	if _, backoffUntil := f.pieces.fleet.signalsAt(address); f.pieces.clock.Now().Before(backoffUntil) {
		f.pieces.clock.AfterFunc(f.pieces.clock.Until(backoffUntil), func() { f.flush(address) })
		return
	}
	f.mu.Lock()
	batch := f.pending[address]
	delete(f.pending, address)
	f.mu.Unlock()
	// AfterFunc may run in the clock's goroutine, which must not wait for a target.
	go f.send(address, batch)
}

func (f *freeQueue) send(address netip.AddrPort, batch *freeBatch) {
	err := f.call(address, batch.handles)
	if err != nil {
		// The results expire at the target, and their storage is counted until then.
		f.pieces.log.Info("failed to free results", "maker", address, "results", len(batch.handles), "error", err)
		return
	}
	if batch.worker != nil {
		batch.worker.resultsFreed(batch.handles)
	}
}

func (f *freeQueue) call(address netip.AddrPort, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	out, err := f.pieces.dialect.BuildFreeRequest(handles)
	if err != nil {
		return err
	}
	in, err := f.pieces.sender.Send(ctx, address, &out)
	if err != nil {
		return err
	}
	defer in.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxRefusalBytes)); err != nil {
		return &Error{Op: "free results", Kind: proto.KindUnknown, Err: err}
	}
	if in.Status != http.StatusOK {
		return newError("free results", proto.KindUnknown, "the target answered with status %d", in.Status)
	}
	return nil
}

func (w *worker) resultsFreed(handles []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pieces.clock.Now()
	for _, h := range handles {
		w.batcher.ResultFreed(now, h)
	}
	w.schedule()
}
