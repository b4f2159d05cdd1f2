package serve

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/platform"
	"emberlead/proto"
)

// heldTable answers its long watch when told to, and no other call.
type heldTable struct{ answer chan platform.RowSet }

func (h *heldTable) Read(ctx context.Context) (platform.RowSet, error) {
	<-ctx.Done()
	return platform.RowSet{}, ctx.Err()
}

func (h *heldTable) Watch(ctx context.Context, _ proto.Revision, wait time.Duration) (platform.RowSet, error) {
	if wait == watchHold {
		select {
		case rows := <-h.answer:
			return rows, nil
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return platform.RowSet{}, ctx.Err()
}

// TestAnswersConfirmNothingAfterTheirCall guards against an answer of the store that waited, in the network or at a suspended daemon, and
// then counts as the state at the time when it was read: what changed in between would be unknown at a daemon that takes its copy for
// current.
func TestAnswersConfirmNothingAfterTheirCall(t *testing.T) {
	clock, table := clockwork.NewFakeClock(), &heldTable{make(chan platform.RowSet, 1)}
	sentAt := clock.Now()
	applied := make(chan int, 1)
	w := &watcher{
		daemon: &Relay{clock: clock, log: hclog.NewNullLogger()}, name: "routing", table: table, freshness: &tableFreshness{}, storeUp: true,
		isReader: func() bool { return true }, apply: func(rows platform.RowSet) { applied <- len(rows.Rows) },
	}
	w.freshness.confirm(sentAt)
	ended := make(chan error, 1)
	go func() {
		_, err := w.step(t.Context(), proto.Revision{Version: 7})
		ended <- err
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(5 * time.Second)
	table.answer <- platform.RowSet{Version: proto.Revision{Version: 8}, Rows: []platform.Row{{Key: "config", Version: proto.Revision{Version: 8}}}}
	if err := <-ended; err != nil || <-applied != 1 {
		t.Fatalf("the watch ended with %v", err)
	}
	if at := w.freshness.confirmedAt(); at.After(sentAt) {
		t.Errorf("the copy counts as current as of %s after the call was sent", at.Sub(sentAt))
	}
}
