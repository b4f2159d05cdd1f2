package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"emberlead/proto"
)

// errBusy means that the target had no free slot for a call. errCallAbandoned means that the call was abandoned because
// it took too long and other calls made its pieces.
var (
	errBusy          = errors.New("the target has no free slot")
	errCallAbandoned = errors.New("the call took too long, and its pieces are made elsewhere")
)

// maxConcurrentCalls is the maximum number of concurrent calls to one target for the same pieces.
const maxConcurrentCalls = 2

type callResult struct {
	results []ItemResult
	err     error
}

// call sends a call and waits for its results. An overdue call is abandoned once other calls have made its pieces; until then its
// target may still be working on it. If no other target can make them, the call is repeated over another connection, since the first
// one may have failed silently. A target that is working on the first call refuses the second.
func (w *worker) call(c *Call) ([]ItemResult, error) {
	p := w.pieces
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan callResult, maxConcurrentCalls)
	start := func() {
		results, err := p.sendCall(ctx, c)
		done <- callResult{results, err}
	}
	running := 1
	go start()
	overdue := p.clock.NewTimer(overdueCheckFactor * max(c.Expected, c.BaseTime))
	defer overdue.Stop()
	for {
		select {
		case result := <-done:
			running--
			if result.err == nil || running == 0 {
				return result.results, result.err
			}
		case <-overdue.Chan():
			switch action := w.checkOverdue(c); {
			case action == overdueAbandon:
				return nil, errCallAbandoned
			case action == overdueRepeat && running < maxConcurrentCalls:
				p.log.Warn("call for pieces is overdue, repeating it on another connection", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "pieces", len(c.Items),
					"took", formatDuration(p.clock.Now().Sub(c.StartedAt)), "expected", formatDuration(c.Expected), "reason", "no other target may make them")
				running++
				go start()
			}
			overdue.Reset(max(c.Expected, c.BaseTime, minStartTimeout))
		}
	}
}

func (w *worker) checkOverdue(c *Call) overdueAction {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.batcher.checkOverdue(w.pieces.clock.Now(), c)
}

// sendCall sends a call once and reads its response.
func (p *PieceScheduler) sendCall(ctx context.Context, c *Call) ([]ItemResult, error) {
	out, err := p.dialect.BuildPiecesRequest(c, p.clock.Now())
	if err != nil {
		return nil, err
	}
	out.Target = c.Target
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in, err := p.sender.Send(ctx, c.Target.Address, &out)
	if err != nil {
		return nil, err
	}
	defer in.Body.Close()
	if in.Status != http.StatusOK {
		return nil, p.refusedCall(c, in, cancel)
	}
	limit := maxPiecesResponseBytes(len(c.Items))
	body, err := io.ReadAll(io.LimitReader(in.Body, limit+1))
	if err != nil {
		return nil, &Error{Op: "read pieces", Kind: proto.KindUnknown, Err: err}
	}
	if int64(len(body)) > limit {
		p.oversized.Add(1)
		return nil, newError("read pieces", proto.KindTooLarge, "the answer has more than %d bytes", limit)
	}
	results, err := p.dialect.ParsePiecesResponse(body, len(c.Items))
	if err == nil && !p.handles.addOwn(c, results) {
		err = newError("read pieces", proto.KindMismatch, "the answer is that of an earlier call")
	}
	if err != nil {
		// The answer to this call may still arrive, so the connection must not be used again.
		cancel()
		return nil, err
	}
	return results, nil
}

// refusedCall returns the error of a call without results, which its status tells. The body is read so that the connection can be
// used again, unless it is large or late.
func (p *PieceScheduler) refusedCall(c *Call, in *TargetResponse, cancel context.CancelFunc) error {
	timer := p.clock.AfterFunc(refusalBodyTime, cancel)
	defer timer.Stop()
	if n, _ := io.Copy(io.Discard, io.LimitReader(in.Body, maxRefusalBytes+1)); n > maxRefusalBytes {
		p.oversized.Add(1)
		p.log.Warn("the body of a refusal is too large", "target", c.Target.ID, "address", c.Target.Address, "status", in.Status)
	}
	if in.Status == http.StatusServiceUnavailable {
		return errBusy
	}
	return newError("call for pieces", proto.KindUnknown, "the target answered with status %d", in.Status)
}

// maxPiecesResponseBytes returns the maximum size of the response to a call for n pieces.
func maxPiecesResponseBytes(n int) int64 {
	const (
		responseBytes = 64 << 10
		itemBytes     = 1 << 10
	)
	return responseBytes + int64(n)*itemBytes
}
