package serve

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
)

// countingTable never answers long watches, like a store that lost them in an outage, and answers all other calls at
// once.
type countingTable struct {
	mu      sync.Mutex
	checks  int
	changed []platform.Row
	down    bool
}

func (c *countingTable) Read(context.Context) (platform.RowSet, error) {
	return platform.RowSet{Version: proto.Revision{Version: 7}}, nil
}

func (c *countingTable) Watch(ctx context.Context, _ proto.Revision, wait time.Duration) (platform.RowSet, error) {
	if wait == watchHold {
		<-ctx.Done()
		return platform.RowSet{}, &platform.Error{Op: "watch", Kind: proto.KindUnavailable, Err: ctx.Err()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checks++
	if c.down {
		return platform.RowSet{}, &platform.Error{Op: "watch", Kind: proto.KindUnavailable, Err: errors.New("refused")}
	}
	return platform.RowSet{Version: proto.Revision{Version: 7}, Rows: c.changed}, nil
}

func (c *countingTable) checked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checks
}

func (c *countingTable) set(fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fn()
}

// checkedWatch runs a watcher whose watch hangs.
type checkedWatch struct {
	table         *countingTable
	clock         *clockwork.FakeClock
	watcher       *watcher
	confirmations chan struct{}
	changes       chan int
	ended         chan error
}

func startCheckedWatch(t *testing.T, reads bool) *checkedWatch {
	c := &checkedWatch{
		table: &countingTable{}, clock: clockwork.NewFakeClock(), confirmations: make(chan struct{}, 100), changes: make(chan int, 100), ended: make(chan error, 1),
	}
	c.watcher = &watcher{
		daemon: &Relay{clock: c.clock, log: hclog.NewNullLogger()}, name: "routing", table: c.table, freshness: &tableFreshness{}, storeUp: true,
		isReader: func() bool { return reads }, onConfirmed: func() { c.confirmations <- struct{}{} },
		apply: func(e platform.RowSet) { c.changes <- len(e.Rows) },
	}
	c.watcher.freshness.confirm(c.clock.Now())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, err := c.watcher.watch(ctx, proto.Revision{Version: 7})
		c.ended <- err
	}()
	t.Cleanup(cancel)
	return c
}

// pass advances the clock once the watcher waits for the next check.
func (c *checkedWatch) pass(t *testing.T, length time.Duration) {
	t.Helper()
	if err := c.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	c.clock.Advance(length)
}

func TestHangingWatchIsChecked(t *testing.T) {
	c := startCheckedWatch(t, true)
	for range 3 {
		c.pass(t, checkAfter+checkJitter)
		<-c.confirmations
	}
	if got := c.table.checked(); got != 3 {
		t.Errorf("%d checks, want 3", got)
	}
	c.table.set(func() { c.table.changed = []platform.Row{{Key: "config", Version: proto.Revision{Version: 9}}} })
	c.pass(t, checkAfter+checkJitter)
	if got := <-c.changes; got != 1 {
		t.Errorf("%d changes, want 1", got)
	}
	if err := <-c.ended; err != nil {
		t.Errorf("the watch ended with %v, want a new one", err)
	}
}

// TestCopyConfirmedByPeerIsNotChecked has another daemon report repeatedly that the store has nothing newer.
func TestCopyConfirmedByPeerIsNotChecked(t *testing.T) {
	c := startCheckedWatch(t, true)
	for range 10 {
		c.watcher.freshness.confirmByPeer(c.clock.Now().Add(checkAfter))
		c.pass(t, checkAfter+checkJitter)
	}
	if err := c.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got := c.table.checked(); got != 0 {
		t.Errorf("%d checks, want none", got)
	}
}

// TestOnlyReadersCheck has a daemon that is no longer a reader finish its last watch.
func TestOnlyReadersCheck(t *testing.T) {
	c := startCheckedWatch(t, false)
	for range 3 {
		c.pass(t, checkAfter+checkJitter)
	}
	if err := c.clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	if got := c.table.checked(); got != 0 {
		t.Errorf("%d checks, want none", got)
	}
}

// TestFailedCheckEndsWatch has the store refuse a check: the result of the concurrent watch cannot be relied on, and
// the store is called again until it answers.
func TestFailedCheckEndsWatch(t *testing.T) {
	c := startCheckedWatch(t, true)
	c.table.set(func() { c.table.down = true })
	c.pass(t, checkAfter+checkJitter)
	if err := <-c.ended; err == nil {
		t.Error("the watch continues")
	}
}

// TestHungWatchIsNotAnOutage distinguishes a watch that timed out from a store that is down: entries that are removed
// after the first are considered to have left, and after the second, to come back.
func TestHungWatchIsNotAnOutage(t *testing.T) {
	began := time.Unix(1000, 0)
	late := &platform.Error{Err: context.DeadlineExceeded}
	refused := &platform.Error{Err: errors.New("refused")}
	scenarios := []struct {
		testName  string
		confirmed time.Time
		relayed   time.Time
		err       error
		want      bool
	}{
		{"a check was answered meanwhile", began.Add(time.Second), time.Time{}, late, true},
		{"no call was answered meanwhile", began.Add(-time.Second), time.Time{}, late, false},
		{"a check of another daemon was answered", began.Add(-time.Second), began.Add(time.Second), late, false},
		{"the store refused the watch", began.Add(time.Second), time.Time{}, refused, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := &watcher{daemon: &Relay{log: hclog.NewNullLogger()}, freshness: &tableFreshness{confirmed: s.confirmed, confirmedByPeer: s.relayed}}
			version, err := w.finishWatch(watchResult{sentAt: began, err: s.err}, proto.Revision{Version: 7})
			if got := err == nil; got != s.want || version != (proto.Revision{Version: 7}) {
				t.Errorf("hung: %t, continuing from %s, want %t and 7", got, version, s.want)
			}
		})
	}
}

func TestOnlyOwnConfirmationsAreForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	v := &tableFreshness{}
	if got := v.ownAge(now); got != 0 {
		t.Errorf("age %s before the store answered, want none", got)
	}
	v.confirmByPeer(now)
	if got := v.ownAge(now); got != 0 {
		t.Errorf("age %s after a confirmation by a peer, want none", got)
	}
	v.confirm(now.Add(-time.Second))
	if got := v.ownAge(now); got != time.Second {
		t.Errorf("age %s, want 1s", got)
	}
	if got, known := v.age(now); got != 0 || !known {
		t.Errorf("age %s, known %t, want the age that the peer confirmed", got, known)
	}
}

func TestStaleStateIsLoggedOnce(t *testing.T) {
	var text strings.Builder
	log := hclog.New(&hclog.LoggerOptions{Output: &text})
	at := time.Unix(1000, 0)
	v := &tableFreshness{}
	v.log(at, log, "routing", proto.Revision{Version: 3})
	v.confirm(at)
	for _, age := range []time.Duration{0, maxStateAge, maxStateAge + 1, 2 * maxStateAge} {
		v.log(at.Add(age), log, "routing", proto.Revision{Version: 3})
	}
	v.confirmByPeer(at.Add(2 * maxStateAge))
	v.log(at.Add(2*maxStateAge), log, "routing", proto.Revision{Version: 4})
	v.log(at.Add(2*maxStateAge), log, "routing", proto.Revision{Version: 4})
	if lost, back := strings.Count(text.String(), "not confirmed"), strings.Count(text.String(), "confirmed again"); lost != 1 || back != 1 {
		t.Errorf("%d log lines about stale state and %d about its end, want one of each:\n%s", lost, back, &text)
	}
}

// TestPeerConfirmsOnlyKnownVersions has another daemon report when the store confirmed its state, which this daemon
// already has or does not have yet.
func TestPeerConfirmsOnlyKnownVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	scenarios := []struct {
		testName         string
		confirmation     proto.Confirmed
		routing, targets bool
	}{
		{"the same version", proto.Confirmed{Routing: 5, RoutingAge: time.Second}, true, false},
		{"an older version", proto.Confirmed{Routing: 4, RoutingAge: time.Second}, true, false},
		{"a newer version", proto.Confirmed{Routing: 6, RoutingAge: time.Second}, false, false},
		{"a version that the store never confirmed", proto.Confirmed{Routing: 5}, false, false},
		{"no targets, like this daemon", proto.Confirmed{TargetsAge: time.Second}, false, true},
		{"newer targets", proto.Confirmed{Targets: proto.Revision{Version: 1}, TargetsAge: time.Second}, false, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			d := &Relay{tables: &relay.Tables{}, fleet: relay.NewFleet(func(string) {})}
			d.tables.ReplaceIfNewer(&proto.Routing{Version: 5})
			d.applyPeerConfirmation(now, s.confirmation)
			if got := d.routingFreshness.confirmedAt().Equal(now.Add(-time.Second)); got != s.routing {
				t.Errorf("configuration confirmed: %t, want %t", got, s.routing)
			}
			if got := d.targetsFreshness.confirmedAt().Equal(now.Add(-time.Second)); got != s.targets {
				t.Errorf("targets confirmed: %t, want %t", got, s.targets)
			}
		})
	}
}
