package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"emberlead/proto"
)

// errBusy means that the target had no free slot for a call. errCallGivenUp means that the call was abandoned because
// it took too long and other calls made its pieces.
var (
	errBusy        = errors.New("the target has no free slot")
	errCallGivenUp = errors.New("the call took too long, and its pieces are made elsewhere")
)

// callsBeside is the maximum number of concurrent calls to one target for the same pieces.
const callsBeside = 2

type callEnd struct {
	results []ItemResult
	err     error
}

// call sends a call and waits for its results. An overdue call is abandoned once other calls have made its pieces;
// until then its target may still be working on it. If no other target can make them, the call is repeated over another
// connection, since the first one may have failed silently. A target that is working on the first call refuses the
// second.
func (w *worker) call(c *Call) ([]ItemResult, error) {
	p := w.pieces
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := make(chan callEnd, callsBeside)
	begin := func() {
		results, err := p.call(ctx, c)
		ends <- callEnd{results, err}
	}
	open := 1
	go begin()
	overdue := p.clock.NewTimer(callSlack * max(c.Expected, c.BaseTime))
	defer overdue.Stop()
	for {
		select {
		case end := <-ends:
			open--
			if end.err == nil || open == 0 {
				return end.results, end.err
			}
		case <-overdue.Chan():
			switch standing := w.standing(c); {
			case standing == overdueAbandon:
				return nil, errCallGivenUp
			case standing == overdueRepeat && open < callsBeside:
				p.log.Warn("a call for pieces takes long and is made again beside", "pool", w.pool, "shard", w.index, "target", c.Target.ID, "pieces", len(c.Items),
					"took", formatDuration(p.clock.Now().Sub(c.StartedAt)), "expected", formatDuration(c.Expected), "reason", "no other target may make them")
				open++
				go begin()
			}
			overdue.Reset(max(c.Expected, c.BaseTime, minStartTimeout))
		}
	}
}

func (w *worker) standing(c *Call) overdueAction {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.batcher.checkOverdue(w.pieces.clock.Now(), c)
}

// call sends a call once and reads its response.
func (p *PieceScheduler) call(ctx context.Context, c *Call) ([]ItemResult, error) {
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
	body, err := io.ReadAll(io.LimitReader(in.Body, piecesMost))
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
