package serve

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"

	"emberlead/platform"
	"emberlead/proto"
)

const (
	// watchWait is how long the store holds a watch without news. Each call counts against the store's rate; a watch that
	// hangs is found out by checks, long before it ends.
	watchHold = 10 * time.Second
	// watchSlack is how much later than that an answer may come; the store may be slow by a factor of some tens.
	watchGrace = 1500 * time.Millisecond
	// readWait bounds a write.
	writeTimeout = 1500 * time.Millisecond
	// wholeWait bounds a read of a whole table, of which each page has a bound of its own: one that takes longer is better
	// begun anew, since what it has is old.
	tableReadTimeout = 10 * time.Second
	// probeWait is how long the store holds a watch that is to be answered soon: a check beside a long watch, and each
	// watch that follows a call without an answer. A store that is away may take a watch in and never answer it, and no
	// news is to be late by as much as a long watch may hang.
	probeHold = 50 * time.Millisecond
	// probeLimit bounds a call that is to be answered soon. One that was lost in an outage must end, and the next one be
	// answered, well within the three seconds after which daemons count as reached again: 1 s and a pause of up to 1.2 s.
	// An answer takes some milliseconds, and hundreds where the store is slow.
	probeTimeout = time.Second
	// checkAfter is how old a daemon's view of a table may become before it checks it beside its watch, and checkSpread by
	// how much more this differs from check to check, so that one daemon checks and tells the others, instead of all.
	// News that a hanging watch holds back is known after 1.3 s and an answer, which leaves 0.7 s of two seconds for
	// the way to other daemons (0.25 s) and for work that was assigned before. It costs all readers together one to one
	// and a half calls a second for each table, as their own counters tell of calm deployments of 6 to 74 daemons.
	checkAfter  = time.Second
	checkJitter = 300 * time.Millisecond
	// watchPace is the least time between two watches of the targets, so that many small changes come together;
	// a target that leaves must be known well within two seconds.
	minWatchInterval = 250 * time.Millisecond
	// retryFirst and retryMost bound the pause after a call that failed.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// followWait is how long a loop of a daemon that has just started waits for another one to reach the store.
	maxFollowWait = 2 * time.Second
	// readerCheck is how often a daemon looks whether it has to read the store itself.
	readerCheckInterval = 500 * time.Millisecond
	// readersPerZone is how many daemons of a zone watch the store and tell the others: with two, one may fail or be
	// turned away, and a deployment of some daemons has no other ones.
	readersPerZone = 2
	// taskReadStore names the task by which the readers of each zone are picked.
	taskReadStore = "read the store"
	// lapseAsks is how often neighbours are asked how a lapsed entry went: the first time some may not know of it yet.
	lapsedQueryRounds = 2
)

// storeTable is one table of the store, as a watcher reads it.
type storeTable interface {
	// Read returns all rows; it fails with KindUnavailable.
	Read(ctx context.Context) (platform.RowSet, error)
	// Watch returns the rows that changed after a version, as soon as there is one or the wait is over. It fails with
	// KindNotFound when the store has forgotten that version, and else like Read.
	Watch(ctx context.Context, after proto.Revision, wait time.Duration) (platform.RowSet, error)
}

// watcher keeps up with one table of the store.
type watcher struct {
	daemon      *Relay
	name        string
	table       storeTable
	minInterval time.Duration
	// whole takes in all rows and reports whether they were new enough; change takes in rows that changed.
	replace func(platform.RowSet) bool
	apply   func(platform.RowSet)
	// follows is the watcher that asks first whether the store is back, if it is not this one.
	leader *watcher
	// reached says that the store answered this watcher last.
	reached atomic.Bool
	// seen is told after each step whether the store answered.
	onStep func(now time.Time, answered bool)
	// view is told as of when the store's answers hold.
	freshness *tableFreshness
	// reads tells whether this daemon is to ask the store, and checked is told after a check that found the view right,
	// so that other daemons hear of it.
	isReader    func() bool
	onConfirmed func()

	storeUp bool
	// asked is when the last call that ended was sent.
	lastSent time.Time
}

// run reads the table whole and then watches it, until the context ends.
func (w *watcher) run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = initialRetryDelay, maxRetryDelay
	var version proto.Revision
	for ctx.Err() == nil {
		if w.daemon.hasTables() && !w.daemon.isReader() {
			version = proto.Revision{}
			w.daemon.sleep(ctx, readerCheckInterval)
			continue
		}
		next, err := w.step(ctx, version)
		w.recordResult(err)
		if err != nil {
			if proto.KindOf(err) == proto.KindNotFound {
				version = proto.Revision{}
			}
			w.backOff(ctx, err, retryDelay.NextBackOff())
			continue
		}
		retryDelay.Reset()
		if next.After(version) {
			version = next
		}
	}
}

// rest waits after a call that failed. Of the daemons that have just started, those that read for others have one of their
// loops ask a store that is out; the other loops and daemons wait for that, or for the time after which a table may be out
// by itself, or the store away for some daemons. A call that got no answer is no sign of that: when all start together, many
// connections are not made at once.
func (w *watcher) backOff(ctx context.Context, err error, delay time.Duration) {
	if errors.Is(err, platform.ErrRefused) && !w.daemon.hasTables() && (w.leader != nil && !w.leader.reached.Load() || !w.daemon.isReader()) {
		w.daemon.waitForStore(ctx, maxFollowWait)
		return
	}
	w.daemon.sleep(ctx, delay)
}

// awaitStore waits until the store has answered a watcher of this daemon, or another one told what it holds, but not for
// long.
func (d *Relay) waitForStore(ctx context.Context, maxWait time.Duration) {
	startedAt, hadTables := d.clock.Now(), d.hasTables()
	for now := startedAt; now.Sub(startedAt) < maxWait && ctx.Err() == nil; now = d.clock.Now() {
		if d.routingFreshness.confirmedSince(startedAt) || d.targetsFreshness.confirmedSince(startedAt) || !hadTables && d.hasTables() {
			return
		}
		d.sleep(ctx, initialRetryDelay)
	}
}

// known tells whether the daemon has both tables from somewhere.
func (d *Relay) hasTables() bool { return d.tables.Current() != nil && d.targetsKnown.Load() }

// isReader tells whether this daemon is one of those in its zone that watch the store. Daemons that it does not hear
// read for themselves alone, and one that hears nobody at all is told nothing.
func (d *Relay) isReader() bool {
	members := d.peers.members
	return members.IsAmongFirst(taskReadStore, readersPerZone, d.peers.isSilentPeer) || members.AllSilent(d.clock.Now(), peerSilenceTimeout)
}

// reply is what became of one watch of the table.
type watchResult struct {
	sentAt  time.Time
	endedAt time.Time
	rows    platform.RowSet
	err     error
}

// step makes one call, or a watch with checks beside it, and returns the version to go on from.
func (w *watcher) step(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	if version.IsZero() {
		return w.readTable(ctx)
	}
	w.daemon.sleep(ctx, w.minInterval)
	if !w.storeUp {
		return w.handleResult(<-w.startWatch(ctx, version, probeHold, probeTimeout), version)
	}
	return w.watch(ctx, version)
}

func (w *watcher) readTable(ctx context.Context) (proto.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, tableReadTimeout)
	defer cancel()
	w.lastSent = w.daemon.clock.Now()
	rows, err := w.table.Read(ctx)
	if err != nil {
		return proto.Revision{}, err
	}
	if !w.replace(rows) {
		return proto.Revision{}, newError("read "+w.name, proto.KindUnavailable, "the store's answer is older than what is known")
	}
	w.freshness.confirm(w.lastSent)
	return rows.Version, nil
}

// watch waits for news. A watch may hang for as long as it is waited for while the store answers all else, so the view
// is checked by calls of their own whenever nobody has confirmed it for a while.
func (w *watcher) watch(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := w.startWatch(ctx, version, watchHold, watchHold+watchGrace)
	var checkResult <-chan watchResult
	lastCheck := w.daemon.clock.Now()
	for {
		var checkTimer <-chan time.Time
		if checkResult == nil {
			next := later(w.freshness.confirmedAt(), lastCheck).Add(checkAfter + rand.N(checkJitter))
			checkTimer = w.daemon.clock.After(next.Sub(w.daemon.clock.Now()))
		}
		select {
		case r := <-result:
			return w.finishWatch(r, version)
		case r := <-checkResult:
			if r.err != nil || len(r.rows.Rows) > 0 {
				w.logCheck(r, version)
				return w.handleResult(r, version)
			}
			checkResult = nil
			version = proto.Latest(version, r.rows.Version)
			w.freshness.confirm(r.sentAt)
			w.onConfirmed()
		case <-checkTimer:
			lastCheck = w.daemon.clock.Now()
			if w.checkDue(lastCheck) {
				checkResult = w.startWatch(ctx, version, probeHold, probeTimeout)
			}
		}
	}
}

// mustCheck tells whether this daemon is to ask now; others may have confirmed the view since the time was set.
func (w *watcher) checkDue(now time.Time) bool {
	age, _ := w.freshness.age(now)
	return age >= checkAfter && w.isReader()
}

// endWatch takes in the answer of a watch, or ends one that hung as if it had brought no news.
func (w *watcher) finishWatch(r watchResult, version proto.Revision) (proto.Revision, error) {
	if w.hung(r) {
		w.daemon.log.Info("a watch of the store was not answered, but checks were", "table", w.name, "version", version)
		return version, nil
	}
	return w.handleResult(r, version)
}

// hung tells whether a watch ended without an answer although the store has answered this daemon since it was sent: then
// nothing is wrong with the store.
func (w *watcher) hung(r watchResult) bool {
	return errors.Is(r.err, context.DeadlineExceeded) && w.freshness.confirmedSince(r.sentAt)
}

// ask sends a call that the store holds for a time, and gives it up after a limit.
func (w *watcher) startWatch(ctx context.Context, version proto.Revision, hold, timeout time.Duration) <-chan watchResult {
	sentAt := w.daemon.clock.Now()
	result := make(chan watchResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		rows, err := w.table.Watch(ctx, version, hold)
		result <- watchResult{sentAt: sentAt, endedAt: w.daemon.clock.Now(), rows: rows, err: err}
	}()
	return result
}

// take takes in what an answer brought, and returns the version to go on from.
func (w *watcher) handleResult(r watchResult, version proto.Revision) (proto.Revision, error) {
	w.lastSent = r.sentAt
	if r.err != nil {
		return version, r.err
	}
	if len(r.rows.Rows) > 0 {
		w.apply(r.rows)
	}
	w.freshness.confirm(r.endedAt)
	return r.rows.Version, nil
}

// noteCheck logs what a check found that the watch beside it had not.
func (w *watcher) logCheck(r watchResult, version proto.Revision) {
	age, _ := w.freshness.age(w.daemon.clock.Now())
	w.daemon.log.Info("a check of the store found what its watch had not", "table", w.name, "version", version,
		"age", age.String(), "changes", len(r.rows.Rows), "error", r.err)
}

// note logs when the store is lost or regained.
func (w *watcher) recordResult(err error) {
	now := w.daemon.clock.Now()
	if w.onStep != nil {
		w.onStep(now, err == nil || proto.KindOf(err) == proto.KindNotFound)
	}
	switch {
	case err != nil && w.storeUp:
		age, known := w.freshness.age(now)
		w.daemon.log.Warn("store lost", "table", w.name, "asked", now.Sub(w.lastSent).String(), "known", known, "age", age.String(), "error", err)
	case err == nil && !w.storeUp:
		w.daemon.log.Info("store reached", "table", w.name)
	}
	w.storeUp = err == nil
	w.reached.Store(w.storeUp)
}
