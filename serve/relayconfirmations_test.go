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

// newsClock is a clock by which something happens whenever it is read.
type newsClock struct {
	clockwork.Clock
	news func()
}

func (c *newsClock) Now() time.Time {
	c.news()
	return c.Clock.Now()
}

// TestHeartbeatsConfirmTheVersionThatTheyTell guards against a heartbeat that tells of one version and of the confirmation of the next one,
// which came into force while it was made: daemons that have the first version would take it for the newest.
func TestHeartbeatsConfirmTheVersionThatTheyTell(t *testing.T) {
	clock := &newsClock{Clock: clockwork.NewFakeClock(), news: func() {}}
	steady := clock.Clock.(*clockwork.FakeClock)
	d := newIdleRelay(t, clock)
	const stale = 5 * time.Second
	confirm := func(version uint64) {
		d.tables.ReplaceIfNewer(&proto.Routing{Version: version})
		d.routingFreshness.confirm(steady.Now())
		d.targetsFreshness.confirm(steady.Now())
	}
	confirm(5)
	steady.Advance(stale)
	if h := d.heartbeat(); h.Routing != 5 || h.CopyAge != uint16(stale/copyAgeUnit) {
		t.Fatalf("the heartbeat tells version %d and age %d", h.Routing, h.CopyAge)
	}
	clock.news = func() { confirm(6) }
	if h := d.heartbeat(); h.Routing != 6 && h.CopyAge < uint16(stale/copyAgeUnit) {
		t.Errorf("the heartbeat tells that version %d was confirmed %d00 ms ago, when only version 6 was", h.Routing, h.CopyAge)
	}
}
