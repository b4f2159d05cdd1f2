package serve

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"emberlead/platform"
	"emberlead/proto"
)

const (
	// watchWait is how long the store holds a watch without news. Each call counts against the store's rate, and a watch
	// that hangs is noticed only after it.
	watchWait = 5 * time.Second
	// watchSlack is how much later than that an answer may come; the store may be slow by a factor of some tens.
	watchSlack = 1500 * time.Millisecond
	// readWait bounds a single read of the store.
	readWait = 1500 * time.Millisecond
	// probeWait is how long the store holds a watch that follows a call without an answer. A store that is away may take
	// a watch in and never answer it, and a long one would be noticed seconds after the store's return; a configuration
	// must be in force two seconds after that.
	probeWait = 50 * time.Millisecond
	// watchPace is the least time between two watches of the targets, so that many small changes come together;
	// a target that leaves must be known well within two seconds.
	watchPace = 250 * time.Millisecond
	// retryFirst and retryMost bound the pause after a call that failed.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// readerCheck is how often a daemon looks whether it has to read the store itself.
	readerCheck = 500 * time.Millisecond
	// readersPerZone is how many daemons of a zone watch the store and tell the others: with two, one may fail or be
	// turned away, and a deployment of some daemons has no other ones.
	readersPerZone = 2
	// lapseAsks is how often neighbours are asked how a lapsed entry went: the first time some may not know of it yet.
	lapseAsks = 2
	// listEvery is how often the daemons' table is read, for daemons that no other knows.
	listEvery = 20 * time.Second
)

// watcher keeps up with one table of the store.
type watcher struct {
	daemon *Relay
	name   string
	table  platform.Table
	pace   time.Duration
	// whole takes in all rows and reports whether they were new enough; change takes in rows that changed.
	whole  func(platform.Entries) bool
	change func(platform.Entries)
	// seen is told after each call whether the store answered.
	seen func(now time.Time, answered bool)
	// view is told as of when the store's answers hold.
	view *view

	up bool
	// asked is when the last call was sent.
	asked time.Time
}

// run reads the table whole and then watches it, until the context ends.
func (w *watcher) run(ctx context.Context) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = retryFirst, retryMost
	version := uint64(0)
	for ctx.Err() == nil {
		if w.daemon.known() && !w.daemon.isReader() {
			version = 0
			w.daemon.pause(ctx, readerCheck)
			continue
		}
		next, err := w.step(ctx, version)
		w.note(err)
		if err != nil {
			if proto.KindOf(err) == proto.KindNotFound {
				version = 0
			}
			w.daemon.pause(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
		if next > version {
			version = next
		}
	}
}

// known tells whether the daemon has both tables from somewhere.
func (d *Relay) known() bool { return d.tables.Current() != nil && d.targetsKnown.Load() }

// isReader tells whether this daemon is one of those in its zone that watch the store. Daemons that it does not hear
// read for themselves alone, and one that hears nobody at all is told nothing.
func (d *Relay) isReader() bool {
	members := d.peers.members
	return members.Among("read the store", readersPerZone, d.peers.silent) || members.Alone(d.clock.Now(), peerSilence)
}

// step makes one call and returns the version to go on from.
func (w *watcher) step(ctx context.Context, version uint64) (uint64, error) {
	if version == 0 {
		w.asked = w.daemon.clock.Now()
		ctx, cancel := context.WithTimeout(ctx, readWait)
		defer cancel()
		all, err := w.table.Read(ctx)
		if err != nil {
			return 0, err
		}
		if !w.whole(all) {
			return 0, fault("read "+w.name, proto.KindUnavailable, "the store's answer is older than what is known")
		}
		w.view.confirm(w.asked)
		return all.Version, nil
	}
	w.daemon.pause(ctx, w.pace)
	wait, limit := watchWait, watchWait+watchSlack
	if !w.up {
		wait, limit = probeWait, readWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.asked = w.daemon.clock.Now()
	changed, err := w.table.Watch(ctx, version, wait)
	if err != nil {
		return version, err
	}
	if len(changed.List) > 0 {
		w.change(changed)
	}
	w.view.confirm(w.daemon.clock.Now())
	return changed.Version, nil
}

// note logs when the store is lost or regained.
func (w *watcher) note(err error) {
	now := w.daemon.clock.Now()
	if w.seen != nil {
		w.seen(now, err == nil || proto.KindOf(err) == proto.KindNotFound)
	}
	switch {
	case err != nil && w.up:
		age, known := w.view.age(now)
		w.daemon.log.Warn("store lost", "table", w.name, "asked", now.Sub(w.asked).String(), "known", known, "age", age.String(), "error", err)
	case err == nil && !w.up:
		w.daemon.log.Info("store reached", "table", w.name)
	}
	w.up = err == nil
}
