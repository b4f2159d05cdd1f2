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
	pieces *PieceScheduler
	mu     sync.Mutex
	due    map[netip.AddrPort]*freeing
}

// freeing is the next batch of results to free at one target. The worker counts their storage until the target has
// freed them.
type freeing struct {
	worker  *worker
	handles []string
}

func (f *freeQueue) enqueue(w *worker, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range handles {
		maker, err := f.pieces.dialect.HandleAddress(h)
		if err != nil {
			f.pieces.log.Warn("a result cannot be freed", "handle", h, "error", err)
			continue
		}
		next := f.due[maker]
		if next == nil {
			next = &freeing{worker: w}
			f.due[maker] = next
			f.pieces.clock.AfterFunc(f.gather(maker), func() { f.flush(maker) })
		}
		next.handles = append(next.handles, h)
	}
}

// gather returns how long results to free at a target are collected.
func (f *freeQueue) gather(maker netip.AddrPort) time.Duration {
	limited, _ := f.pieces.fleet.signalsAt(maker)
	if limited {
		return limitedFreeInterval
	}
	return freeInterval
}

func (f *freeQueue) flush(maker netip.AddrPort) {
	if _, restUntil := f.pieces.fleet.signalsAt(maker); f.pieces.clock.Now().Before(restUntil) {
		f.pieces.clock.AfterFunc(f.pieces.clock.Until(restUntil), func() { f.flush(maker) })
		return
	}
	f.mu.Lock()
	next := f.due[maker]
	delete(f.due, maker)
	f.mu.Unlock()
	// AfterFunc may run in the clock's goroutine, which must not wait for a target.
	go f.send(maker, next)
}

func (f *freeQueue) send(maker netip.AddrPort, next *freeing) {
	err := f.call(maker, next.handles)
	if err != nil {
		// The results expire at the target, and their storage is counted until then.
		f.pieces.log.Info("results were not freed", "maker", maker, "results", len(next.handles), "error", err)
		return
	}
	if next.worker != nil {
		next.worker.freed(next.handles)
	}
}

func (f *freeQueue) call(maker netip.AddrPort, handles []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), freeWait)
	defer cancel()
	out, err := f.pieces.dialect.BuildFreeRequest(handles)
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
		return newError("free results", proto.KindUnknown, "the target answered with status %d", in.Status)
	}
	return nil
}

func (w *worker) freed(handles []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.pieces.clock.Now()
	for _, h := range handles {
		w.batcher.Freed(now, h)
	}
	w.turn()
}
