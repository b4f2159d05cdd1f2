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
	// watchHold is how long the store holds a watch without changes. Each call counts against the store's rate limit. A
	// watch that hangs is detected by checks long before it ends.
	watchHold = 10 * time.Second
	// watchGrace is how much later than watchHold an answer may come; the store may be slowed down by a factor of some tens.
	watchGrace = 1500 * time.Millisecond
	// writeTimeout limits a write.
	writeTimeout = 1500 * time.Millisecond
	// minTableReadTimeout limits the read of a whole table, in addition to the limit of each page, where the store keeps changes for a
	// shorter time.
	minTableReadTimeout = 10 * time.Second
	// probeHold is how long the store holds a watch that should be answered soon: a check during a long watch, and each
	// watch after a call without an answer. A store that is down may accept a watch and never answer it, and a change
	// must not be delayed for as long as a long watch may hang.
	probeHold = 50 * time.Millisecond
	// probeTimeout limits a call that should be answered soon. A call that was lost in an outage must end, and the next
	// one be answered, well within the three seconds after which daemons count as reachable again: 1 s and a pause of
	// up to 1.2 s. An answer takes some milliseconds, and hundreds of milliseconds if the store is slow.
	probeTimeout = time.Second
	// checkAfter is how old a daemon's copy of a table may become before the daemon checks it during its watch. checkJitter is the
	// maximum random time added to it for each check, so that one daemon checks and tells the others, instead of all daemons checking.
	// A change that a hanging watch holds back is known after 1.3 s and one answer, which leaves 0.7 s of two seconds for the way to
	// other daemons (0.25 s) and for work that was already assigned. All readers together make one to one and a half calls a second
	// per table, according to their own counters in idle deployments of 6 to 74 daemons.
	checkAfter  = time.Second
	checkJitter = 300 * time.Millisecond
	// minWatchInterval is the minimum time between two watches of the targets, so that many small changes arrive
	// together. A target that leaves must be known well within two seconds.
	minWatchInterval = 250 * time.Millisecond
	// initialRetryDelay and maxRetryDelay limit the pause after a failed call.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// maxRequestedDelay limits how long the store may ask a daemon to wait: a call must be answered well within the three seconds after which
	// the daemon counts as reachable again.
	maxRequestedDelay = 1500 * time.Millisecond
	// maxFollowWait is how long a loop of a daemon that has just started waits for another loop to reach the store.
	maxFollowWait = 2 * time.Second
	// readerCheckInterval is how often a daemon checks whether it has to read the store itself.
	readerCheckInterval = 500 * time.Millisecond
	// readersPerZone is how many daemons of a zone watch the store and tell the others. With two, one may fail or be
	// refused; a deployment of a few daemons has no others.
	readersPerZone = 2
	// readerDoublingInterval is how long daemons without the tables wait for those that read them before twice as many read. A list of
	// thousands of targets takes a second or two to reach all daemons over links of small VMs.
	readerDoublingInterval = 2 * time.Second
	// restartReadTime is the time in which all daemons may read the tables at once when they restart together: callers are refused until
	// their daemon knows the configuration, and the way over the links takes longer.
	restartReadTime = 250 * time.Millisecond
	// restartCalls is the number of calls that a restarting daemon makes for short tables. typicalTargetsPerDaemon and targetsPerCall tell
	// how many more a long list of targets takes.
	restartCalls, typicalTargetsPerDaemon, targetsPerCall = 3, 10, 500
	// maxReaderDoublings makes all daemons of a zone readers, whatever their number.
	maxReaderDoublings = 20
	// membersWait is how long a daemon waits until it knows the others, from which it knows whether it should read: from the list of
	// daemons or, in the first start of all, over the links.
	membersWait = time.Second
	// taskReadStore names the task by which the readers of each zone are chosen.
	taskReadStore = "read the store"
	// lapsedQueryRounds is how often peers are asked how a lapsed entry was removed; in the first round, some may not know of it yet.
	lapsedQueryRounds = 2
)

// storeTable is one table of the store, as a watcher reads it.
type storeTable interface {
	// Read returns all rows; it fails with KindUnavailable.
	Read(ctx context.Context) (platform.RowSet, error)
	// Watch returns the rows that changed after a version, as soon as there is one or the wait is over. It fails with
	// KindNotFound if the store no longer has the changes since that version, and otherwise like Read.
	Watch(ctx context.Context, after proto.Revision, wait time.Duration) (platform.RowSet, error)
}

// watcher keeps a local copy of one table of the store up to date.
type watcher struct {
	daemon      *Relay
	name        string
	table       storeTable
	minInterval time.Duration
	// replace handles all rows and reports whether they were recent enough; apply handles rows that changed.
	replace func(platform.RowSet) bool
	apply   func(platform.RowSet)
	// leader is the watcher that first probes whether the store is back, if it is not this one.
	leader *watcher
	// reached is set if the last call of this watcher was answered.
	reached atomic.Bool
	// onStep is called after each step with whether the store answered.
	onStep func(now time.Time, answered bool)
	// freshness records as of when the store's answers hold.
	freshness *tableFreshness
	// isReader reports whether this daemon should call the store. onConfirmed is called after a check that confirmed
	// the copy, so that other daemons learn of it, and onResult after each step; isFirst is set unless the step before was answered.
	isReader    func() bool
	onConfirmed func()
	onResult    func(now time.Time, err error, isFirst bool)

	storeUp bool
	// lastSent is when the last finished call was sent.
	lastSent time.Time
	// lastCheck is when the last check of a watch was due.
	lastCheck time.Time
}

// run reads the whole table and then watches it, until the context ends.
func (w *watcher) run(ctx context.Context) {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval, retryDelay.MaxInterval = initialRetryDelay, maxRetryDelay
	var version proto.Revision
	startedAt := w.daemon.clock.Now()
	for ctx.Err() == nil {
		waited := w.daemon.clock.Now().Sub(startedAt)
		if !w.daemon.hasTables() && !w.daemon.mayReadFirst(waited) && !w.daemon.isAsked(w.freshness) || waited < membersWait && !w.daemon.rowsRead.Load() {
			w.daemon.sleep(ctx, rowsWait/20)
			continue
		}
		if w.daemon.hasTables() && !w.isReader() {
			version, w.storeUp = proto.Revision{}, false
			w.daemon.waitToRead(ctx, w.freshness, readerCheckInterval)
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

// backOff waits after a failed call. Among daemons that have just started, only one loop of each reader probes a store
// that is down. The other loops and daemons wait for that loop, or for maxFollowWait, since a single table may be down
// by itself, or the store unreachable for some daemons only. A call without an answer does not mean that the store is
// down: when all daemons start together, many connections are not established at once.
func (w *watcher) backOff(ctx context.Context, err error, delay time.Duration) {
	if errors.Is(err, platform.ErrRefused) && !w.daemon.hasTables() && (w.leader != nil && !w.leader.reached.Load() || !w.daemon.isReader()) {
		w.daemon.waitForStore(ctx, maxFollowWait)
		return
	}
	w.daemon.sleep(ctx, max(delay, min(platform.RetryAfter(err), maxRequestedDelay)))
}

// waitForStore waits until the store has answered a watcher of this daemon, or another daemon sent its contents, but no
// longer than the given maximum.
func (d *Relay) waitForStore(ctx context.Context, maxWait time.Duration) {
	startedAt, hadTables := d.clock.Now(), d.hasTables()
	for now := startedAt; now.Sub(startedAt) < maxWait && ctx.Err() == nil; now = d.clock.Now() {
		if d.routingFreshness.confirmedSince(startedAt) || d.targetsFreshness.confirmedSince(startedAt) || !hadTables && d.hasTables() {
			return
		}
		d.sleep(ctx, initialRetryDelay)
	}
}

// hasTables reports whether the daemon has both tables, from any source.
func (d *Relay) hasTables() bool { return d.tables.Current() != nil && d.targetsKnown.Load() }

// mayReadFirst reports whether a daemon without the tables, which started to need them a time ago, should read them from the store. Where
// all daemons start together the readers of each zone do so, and the others get the tables over the links, unless the store can answer
// all of them within a moment. Should that fail, the number of those that read doubles in each interval, so that the load of the store
// grows slowly.
func (d *Relay) mayReadFirst(waited time.Duration) bool {
	members := d.peers.members
	if members.AllSilent(d.clock.Now(), peerSilenceTimeout) || !d.settings.FirstStart && canAllRead(d.peers.Count(), d.settings.StoreReadRate) {
		return true
	}
	limit := readersPerZone << min(int(waited/readerDoublingInterval), maxReaderDoublings)
	return members.IsAmongFirst(taskReadStore, limit, d.peers.isSilentPeer)
}

// canAllRead reports whether the store can answer a number of daemons that all read its tables at once, by the rate of its reads.
func canAllRead(daemons int, readRate float64) bool {
	calls := restartCalls + float64(daemons*typicalTargetsPerDaemon)/targetsPerCall
	return float64(daemons)*calls <= readRate*restartReadTime.Seconds()
}

// watchCall is a watch of the table, or a check, that has been sent.
type watchCall struct {
	result   chan watchResult
	progress *proto.Progress
}

// watchResult is the result of one watch of the table.
type watchResult struct {
	sentAt time.Time
	rows   platform.RowSet
	err    error
}

// step makes one call, or a watch with checks during it, and returns the version to continue from.
func (w *watcher) step(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	if version.IsZero() {
		return w.readTable(ctx)
	}
	w.daemon.sleep(ctx, w.minInterval)
	if !w.storeUp {
		return w.handleResult(<-w.startWatch(ctx, version, probeHold, probeTimeout).result, version)
	}
	return w.watch(ctx, version)
}

// tableReadTimeout returns how long a whole table may be read. The changes since a read that takes longer are no longer kept.
func (d *Relay) tableReadTimeout() time.Duration {
	return max(minTableReadTimeout, d.settings.HistoryRetention)
}

func (w *watcher) readTable(ctx context.Context) (proto.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, w.daemon.tableReadTimeout())
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

// watch waits for changes. A watch may hang for its whole duration although the store answers all other calls, so the
// copy is checked by separate calls whenever nothing has confirmed it for a while.
func (w *watcher) watch(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := w.startWatch(ctx, version, watchHold, watchHold+watchGrace)
	var checkResult <-chan watchResult
	for {
		var checkTimer <-chan time.Time
		if checkResult == nil {
			now := w.daemon.clock.Now()
			next := later(w.freshness.checkFrom(now), w.lastCheck).Add(checkAfter + rand.N(checkJitter))
			checkTimer = w.daemon.clock.After(next.Sub(now))
		}
		select {
		case r := <-call.result:
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
			w.lastCheck = w.daemon.clock.Now()
			// An answer that is arriving needs no check, which would bring the same changes again over the same link.
			if !call.progress.Began() && w.checkDue(w.lastCheck) {
				checkResult = w.startWatch(ctx, version, probeHold, probeTimeout).result
			}
		}
	}
}

// checkDue reports whether this daemon should check now; others may have confirmed the copy since the timer was set.
func (w *watcher) checkDue(now time.Time) bool {
	return now.Sub(w.freshness.checkFrom(now)) >= checkAfter && w.isReader()
}

// finishWatch handles the answer of a watch. A watch that hung is treated as if it had brought no changes.
func (w *watcher) finishWatch(r watchResult, version proto.Revision) (proto.Revision, error) {
	if w.hung(r) {
		w.daemon.log.Info("a store watch timed out, but checks were answered", "table", w.name, "version", version)
		return version, nil
	}
	return w.handleResult(r, version)
}

// hung reports whether a watch ended without an answer although the store has answered this daemon since the watch was
// sent, in which case nothing is wrong with the store.
func (w *watcher) hung(r watchResult) bool {
	return errors.Is(r.err, context.DeadlineExceeded) && w.freshness.confirmedSince(r.sentAt)
}

// startWatch starts a call that the store holds for a time, and cancels it if its answer does not begin within a limit.
func (w *watcher) startWatch(ctx context.Context, version proto.Revision, hold, limit time.Duration) watchCall {
	sentAt := w.daemon.clock.Now()
	ctx, progress, cancel := proto.WithProgress(ctx, limit)
	call := watchCall{result: make(chan watchResult, 1), progress: progress}
	go func() {
		defer cancel()
		rows, err := w.table.Watch(ctx, version, hold)
		call.result <- watchResult{sentAt: sentAt, rows: rows, err: err}
	}()
	return call
}

// handleResult applies the rows of an answer and returns the version to continue from.
func (w *watcher) handleResult(r watchResult, version proto.Revision) (proto.Revision, error) {
	w.lastSent = r.sentAt
	if r.err != nil {
		return version, r.err
	}
	if len(r.rows.Rows) > 0 {
		w.apply(r.rows)
	}
	// The answer may have waited anywhere on its way, so only changes from before the call are known to be in it.
	w.freshness.confirm(r.sentAt)
	return r.rows.Version, nil
}

// logCheck logs that a check found something that the concurrent watch had not.
func (w *watcher) logCheck(r watchResult, version proto.Revision) {
	age, _ := w.freshness.age(w.daemon.clock.Now())
	w.daemon.log.Info("a check of the store found what its watch had not", "table", w.name, "version", version,
		"age", age.String(), "changes", len(r.rows.Rows), "error", r.err)
}

// recordResult records the result of a step and logs when the store is lost or reached again.
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
	isFirst := !w.storeUp
	w.storeUp = err == nil
	w.reached.Store(w.storeUp)
	if w.onResult != nil {
		w.onResult(now, err, isFirst)
	}
}
