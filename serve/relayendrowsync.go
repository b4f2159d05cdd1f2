package serve

import (
	"context"
	"sync"
	"time"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/state"
)

const (
	// endRowInterval is how often a daemon that cannot reach all others checks whether its row of ends has to be written.
	endRowInterval = 250 * time.Millisecond
	// endRowWriteSpacing is the time between two writes of one daemon per daemon in the deployment. When many targets end at once, all
	// daemons together make some three hundred writes a second, of the several hundred that the store accepts.
	endRowWriteSpacing = 3 * time.Millisecond
	// endRowTTL is how long a row is kept that its daemon has not rewritten; its ends no longer count by then.
	endRowTTL = 2 * time.Hour
	// endRowRetryDelay is the wait after a write or read that failed.
	endRowRetryDelay = time.Second
	// endRowWatchHold is how long the store holds a watch of the rows. It limits how long a watch goes on for nothing
	// after all daemons reach each other again.
	endRowWatchHold = 5 * time.Second
	// maxEndRowRequests is the number of requests at ended targets that a row holds, the newest ones. They take some
	// twenty kilobytes of the 64 that a row may have.
	maxEndRowRequests = 2000
)

// endRowSync exchanges ends of targets through the store, with daemons that this one cannot reach. A daemon that sees ends counts as
// in touch even if it reaches only the store. While all daemons reach each other, nothing is written or read.
type endRowSync struct {
	daemon *Relay
	table  platform.Table

	mu sync.Mutex
	// ownEnds holds the ends that this daemon saw itself, oldest first.
	ownEnds []pendingEnd
	// dirty is set while the row lacks some of them.
	dirty bool
	// partitioned is set if not all daemons were reachable at the last check; the row is not written again before nextWrite.
	partitioned bool
	nextWrite   time.Time
}

func newEndRowSync(d *Relay) *endRowSync { return &endRowSync{daemon: d, table: d.store.TargetEnds()} }

// recordOwn records ends that this daemon saw itself.
func (r *endRowSync) recordOwn(m proto.TargetEnds) {
	now := r.daemon.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range m.Ends {
		r.ownEnds = append(r.ownEnds, pendingEnd{end, now})
	}
	r.ownEnds = newestEnds(r.ownEnds, maxEndRowRequests)
	r.dirty = true
}

// newestEnds returns the newest ends of a list whose requests together do not exceed a maximum.
func newestEnds(ends []pendingEnd, maxRequests int) []pendingEnd {
	requests := 0
	for i := len(ends) - 1; i >= 0; i-- {
		if requests += len(ends[i].end.Requests); requests > maxRequests {
			return ends[i+1:]
		}
	}
	return ends
}

// partitioned reports whether this daemon cannot reach one that may be serving: one that the store lists, and that either died so
// recently that it is still counted, or is cut off from this one. It also returns how many daemons there may be.
func (d *Relay) partitioned() (partitioned bool, daemons int) {
	counts := d.peers.members.Counts()
	daemons = d.shareTracker.Share(d.clock.Now()).VMCount
	return daemons > counts.Known-counts.Dead, daemons
}

// writeIfDue writes this daemon's row if it is due.
func (r *endRowSync) writeIfDue() {
	d := r.daemon
	now := d.clock.Now()
	partitioned, daemons := d.partitioned()
	m, due := r.takeDue(now, partitioned, max(endRowInterval, time.Duration(daemons)*endRowWriteSpacing))
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	body, err := proto.Encode(m, 0, false, "")
	if err == nil {
		_, err = r.table.Put(ctx, string(d.self.VM), body)
	}
	d.log.Info("writing the row of target ends, because some daemons are unreachable", "ends", len(m.Ends), "bytes", len(body), "error", err)
	if err != nil {
		r.recordFailure(now)
	}
}

// takeDue returns the content of the row if it has to be written now; the next write is due after the given interval.
func (r *endRowSync) takeDue(now time.Time, partitioned bool, interval time.Duration) (proto.TargetEnds, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partitioned && !r.partitioned {
		// Ends that were sent over links a moment ago may not have arrived.
		r.dirty = len(r.ownEnds) > 0
	}
	r.partitioned = partitioned
	if !partitioned || !r.dirty || now.Before(r.nextWrite) {
		return proto.TargetEnds{}, false
	}
	r.dirty, r.nextWrite = false, now.Add(interval)
	m := proto.TargetEnds{AsOf: state.WallTime(r.daemon.clock).UTC()}
	for _, queued := range r.ownEnds {
		queued.end.Age += now.Sub(queued.asOf)
		m.Ends = append(m.Ends, queued.end)
	}
	return m, true
}

// handleRestore makes the row due to be rewritten, since the store may have lost it.
func (r *endRowSync) handleRestore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = len(r.ownEnds) > 0
}

func (r *endRowSync) recordFailure(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty, r.nextWrite = true, now.Add(endRowRetryDelay)
}

// watch reads the rows of other daemons while not all daemons are reachable, until the context ends. Among daemons that
// hear each other, those that read the store do so and tell the others.
func (r *endRowSync) watch(ctx context.Context) {
	d := r.daemon
	var version proto.Revision
	for ctx.Err() == nil {
		if partitioned, _ := d.partitioned(); !partitioned || !d.isReader() {
			version = proto.Revision{}
			d.sleep(ctx, readerCheckInterval)
			continue
		}
		next, err := r.readNext(ctx, version)
		if err != nil {
			d.log.Debug("cannot read the rows of target ends", "version", version, "error", err)
			next = proto.Revision{}
			d.sleep(ctx, endRowRetryDelay)
		}
		version = next
	}
}

// readNext reads all rows, or waits for rows that change after a version, and returns the version to continue from.
func (r *endRowSync) readNext(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	hold := endRowWatchHold
	if version.IsZero() {
		hold = 0
	}
	ctx, _, cancel := proto.WithProgress(ctx, hold+watchGrace)
	defer cancel()
	rows, err := r.fetch(ctx, version, hold)
	if err != nil {
		return proto.Revision{}, err
	}
	for _, row := range rows.Rows {
		if proto.VM(row.Key) != r.daemon.self.VM && !row.Removed {
			r.merge(row)
		}
	}
	return proto.Latest(version, rows.Version), nil
}

func (r *endRowSync) fetch(ctx context.Context, version proto.Revision, hold time.Duration) (platform.RowSet, error) {
	if version.IsZero() {
		return r.table.Read(ctx)
	}
	return r.table.Watch(ctx, version, hold)
}

// merge merges the row of another daemon. The ages in it are relative to that daemon's wall clock, which may differ
// somewhat from the local one: they only determine when an end is forgotten.
func (r *endRowSync) merge(row platform.Row) {
	d := r.daemon
	_, message, err := proto.Decode(row.Body)
	m, ok := message.(proto.TargetEnds)
	if err != nil || !ok {
		d.log.Warn("cannot decode a row of target ends", "vm", row.Key, "version", row.Version, "error", err)
		return
	}
	age := max(0, state.WallTime(d.clock).Sub(m.AsOf))
	if age > endRowTTL {
		r.removeExpired(row)
		return
	}
	for i := range m.Ends {
		m.Ends[i].Age += age
	}
	d.crashTracker.Merge(m, proto.VM("store: "+row.Key))
}

// removeExpired removes the row of a daemon that has been gone for a long time; one daemon does this for all.
func (r *endRowSync) removeExpired(row platform.Row) {
	d := r.daemon
	if d.peers.Owner(taskRemoveOldRows, nil) != d.self.VM {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := r.table.Remove(ctx, row.Key, row.Version)
	d.log.Info("removing an expired row of target ends", "vm", row.Key, "version", row.Version, "error", err)
}

// handleEnds handles newly learned ends of targets, from this daemon or from others, and forwards them.
func (d *Relay) handleEnds(m proto.TargetEnds, from proto.VM) {
	d.endGossip.add(m)
	if from == d.self.VM {
		d.endRowSync.recordOwn(m)
	}
}
