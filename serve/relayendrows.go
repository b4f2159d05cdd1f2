package serve

import (
	"context"
	"sync"
	"time"

	"emberlead/platform"
	"emberlead/proto"
)

const (
	// endRowEvery is how often a daemon that cannot reach all others looks whether its row of ends is to be written.
	endRowInterval = 250 * time.Millisecond
	// endRowShare is the time between two writes of one daemon for each daemon that there is: in waves of ends they come to
	// some three hundred writes a second together, of the several hundred that the store takes.
	endRowWriteSpacing = 3 * time.Millisecond
	// endRowKept is how long a row is kept whose daemon has not written it anew; its ends have ceased to count by then.
	endRowTTL = 2 * time.Hour
	// endRowRetry is how long it waits after a write or read that failed.
	endRowRetryDelay = time.Second
	// endRowWait is how long the store holds a watch of the rows; it bounds how long one is made in vain after all daemons
	// reach each other again.
	endRowWatchHold = 5 * time.Second
	// endRowMost is how many requests at ended targets a row holds, the newest ones; they take some twenty kilobytes of
	// the 64 that a row may have.
	maxEndRowRequests = 2000
)

// endRows tells ends of targets by the store, to daemons that this one does not reach. Each daemon that sees some counts as in
// touch by its path to the store alone. While all reach each other nothing is written or read.
type endRowSync struct {
	daemon *Relay
	table  platform.Table

	mu sync.Mutex
	// own are what this daemon saw itself, oldest first.
	ownEnds []pendingEnd
	// dirty says that the row lacks some of it.
	dirty bool
	// apart says that not all daemons were reached when that was last looked at, and after when the store is asked again.
	partitioned bool
	nextWrite   time.Time
}

func newEndRowSync(d *Relay) *endRowSync { return &endRowSync{daemon: d, table: d.store.TargetEnds()} }

// saw takes in what this daemon saw itself.
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

// newestEnds returns the last ends of a list that are under so many requests together.
func newestEnds(ends []pendingEnd, maxRequests int) []pendingEnd {
	requests := 0
	for i := len(ends) - 1; i >= 0; i-- {
		if requests += len(ends[i].end.Requests); requests > maxRequests {
			return ends[i+1:]
		}
	}
	return ends
}

// apart tells whether this daemon does not reach one that may be serving: one that the store lists, and that died not long
// enough ago to be counted out, or is cut off from this one. It also returns how many daemons there may be.
func (d *Relay) partitioned() (partitioned bool, daemons int) {
	counts := d.peers.members.Counts()
	daemons = d.shareTracker.Share(d.clock.Now()).VMCount
	return daemons > counts.Known-counts.Dead, daemons
}

// write writes the own row if that is due.
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
	d.log.Info("the row of ends of targets is written, since not all daemons are reached", "ends", len(m.Ends), "bytes", len(body), "error", err)
	if err != nil {
		r.recordFailure(now)
	}
}

// due returns what the row is to hold, if it is to be written now; it is not written anew for a pace after that.
func (r *endRowSync) takeDue(now time.Time, partitioned bool, interval time.Duration) (proto.TargetEnds, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if partitioned && !r.partitioned {
		// What was told over links a moment ago may not have arrived.
		r.dirty = len(r.ownEnds) > 0
	}
	r.partitioned = partitioned
	if !partitioned || !r.dirty || now.Before(r.nextWrite) {
		return proto.TargetEnds{}, false
	}
	r.dirty, r.nextWrite = false, now.Add(interval)
	m := proto.TargetEnds{AsOf: now.UTC()}
	for _, w := range r.ownEnds {
		w.end.Age += now.Sub(w.at)
		m.Ends = append(m.Ends, w.end)
	}
	return m, true
}

// restored has the row written anew, since the store may have lost it.
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

// read keeps up with the rows of others while not all daemons are reached, until the context ends. Of those that hear each
// other, the ones that read the store do so and tell the others.
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
			d.log.Debug("the rows of ends of targets are not read", "version", version, "error", err)
			next = proto.Revision{}
			d.sleep(ctx, endRowRetryDelay)
		}
		version = next
	}
}

// next reads all rows, or waits for those that change after a version, and returns the version to go on from.
func (r *endRowSync) readNext(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	hold := endRowWatchHold
	if version.IsZero() {
		hold = 0
	}
	ctx, cancel := context.WithTimeout(ctx, hold+watchGrace)
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

// take takes in the row of another daemon. Its ages hold as of that daemon's time of day, which may differ somewhat from this
// one's: they only decide when an end is forgotten.
func (r *endRowSync) merge(row platform.Row) {
	d := r.daemon
	_, message, err := proto.Decode(row.Body)
	m, ok := message.(proto.TargetEnds)
	if err != nil || !ok {
		d.log.Warn("a row of ends of targets cannot be read", "vm", row.Key, "version", row.Version, "error", err)
		return
	}
	age := max(0, d.clock.Now().Sub(m.AsOf))
	if age > endRowTTL {
		r.removeExpired(row)
		return
	}
	for i := range m.Ends {
		m.Ends[i].Age += age
	}
	d.crashTracker.Merge(m, proto.VM("store: "+row.Key))
}

// remove removes the row of a daemon that is gone for long, which one daemon does for all.
func (r *endRowSync) removeExpired(row platform.Row) {
	d := r.daemon
	if d.peers.Owner(taskRemoveOldRows, nil) != d.self.VM {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := r.table.Remove(ctx, row.Key, row.Version)
	d.log.Info("an old row of ends of targets is removed", "vm", row.Key, "version", row.Version, "error", err)
}

// ended takes in what the daemon learnt of ends of targets, from itself or from others, and passes it on.
func (d *Relay) handleEnds(m proto.TargetEnds, from proto.VM) {
	d.endGossip.add(m)
	if from == d.self.VM {
		d.endRowSync.recordOwn(m)
	}
}
