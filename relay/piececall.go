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
	in, err := p.sender.Send(ctx, c.Target.Address, &out)
	if err != nil {
		return nil, err
	}
	defer in.Body.Close()
	body, err := io.ReadAll(io.LimitReader(in.Body, maxPiecesResponseBytes))
	if err != nil {
		return nil, &Error{Op: "read pieces", Kind: proto.KindUnknown, Err: err}
	}
	if in.Status == http.StatusServiceUnavailable {
		return nil, errBusy
	}
	if in.Status != http.StatusOK {
		return nil, newError("call for pieces", proto.KindUnknown, "the target answered with status %d", in.Status)
	}
	return p.dialect.ParsePiecesResponse(body, len(c.Items))
}
