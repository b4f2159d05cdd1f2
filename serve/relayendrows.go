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
	endRowEvery = 250 * time.Millisecond
	// endRowShare is the time between two writes of one daemon for each daemon that there is: in waves of ends they come to
	// some three hundred writes a second together, of the several hundred that the store takes.
	endRowShare = 3 * time.Millisecond
	// endRowKept is how long a row is kept whose daemon has not written it anew; its ends have ceased to count by then.
	endRowKept = 2 * time.Hour
	// endRowRetry is how long it waits after a write or read that failed.
	endRowRetry = time.Second
	// endRowWait is how long the store holds a watch of the rows; it bounds how long one is made in vain after all daemons
	// reach each other again.
	endRowWait = 5 * time.Second
	// endRowMost is how many requests at ended targets a row holds, the newest ones; they take some twenty kilobytes of
	// the 64 that a row may have.
	endRowMost = 2000
)

// endRows tells ends of targets by the store, to daemons that this one does not reach. Each daemon that sees some counts as in
// touch by its path to the store alone. While all reach each other nothing is written or read.
type endRows struct {
	daemon *Relay
	table  platform.Table

	mu sync.Mutex
	// own are what this daemon saw itself, oldest first.
	own []waitingEnd
	// dirty says that the row lacks some of it.
	dirty bool
	// apart says that not all daemons were reached when that was last looked at, and after when the store is asked again.
	apart bool
	after time.Time
}

func newEndRows(d *Relay) *endRows { return &endRows{daemon: d, table: d.store.TargetEnds()} }

// saw takes in what this daemon saw itself.
func (r *endRows) saw(m proto.TargetEnds) {
	now := r.daemon.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, end := range m.Ends {
		r.own = append(r.own, waitingEnd{end, now})
	}
	r.own = newestEnds(r.own, endRowMost)
	r.dirty = true
}

// newestEnds returns the last ends of a list that are under so many requests together.
func newestEnds(list []waitingEnd, most int) []waitingEnd {
	requests := 0
	for i := len(list) - 1; i >= 0; i-- {
		if requests += len(list[i].end.Requests); requests > most {
			return list[i+1:]
		}
	}
	return list
}

// apart tells whether this daemon does not reach one that may be serving: one that the store lists, and that died not long
// enough ago to be counted out, or is cut off from this one. It also returns how many daemons there may be.
func (d *Relay) apart() (apart bool, counted int) {
	c := d.peers.members.Counts()
	counted = d.census.Share(d.clock.Now()).VMCount
	return counted > c.Known-c.Dead, counted
}

// write writes the own row if that is due.
func (r *endRows) write() {
	d := r.daemon
	now := d.clock.Now()
	apart, counted := d.apart()
	m, due := r.due(now, apart, max(endRowEvery, time.Duration(counted)*endRowShare))
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	body, err := proto.Encode(m, 0, false, "")
	if err == nil {
		_, err = r.table.Put(ctx, string(d.self.VM), body)
	}
	d.log.Info("the row of ends of targets is written, since not all daemons are reached", "ends", len(m.Ends), "bytes", len(body), "error", err)
	if err != nil {
		r.failed(now)
	}
}

// due returns what the row is to hold, if it is to be written now; it is not written anew for a pace after that.
func (r *endRows) due(now time.Time, apart bool, pace time.Duration) (proto.TargetEnds, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if apart && !r.apart {
		// What was told over links a moment ago may not have arrived.
		r.dirty = len(r.own) > 0
	}
	r.apart = apart
	if !apart || !r.dirty || now.Before(r.after) {
		return proto.TargetEnds{}, false
	}
	r.dirty, r.after = false, now.Add(pace)
	m := proto.TargetEnds{AsOf: now.UTC()}
	for _, w := range r.own {
		w.end.Age += now.Sub(w.at)
		m.Ends = append(m.Ends, w.end)
	}
	return m, true
}

// restored has the row written anew, since the store may have lost it.
func (r *endRows) restored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty = len(r.own) > 0
}

func (r *endRows) failed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirty, r.after = true, now.Add(endRowRetry)
}

// read keeps up with the rows of others while not all daemons are reached, until the context ends. Of those that hear each
// other, the ones that read the store do so and tell the others.
func (r *endRows) read(ctx context.Context) {
	d := r.daemon
	var version proto.Revision
	for ctx.Err() == nil {
		if apart, _ := d.apart(); !apart || !d.isReader() {
			version = proto.Revision{}
			d.pause(ctx, readerCheck)
			continue
		}
		next, err := r.next(ctx, version)
		if err != nil {
			d.log.Debug("the rows of ends of targets are not read", "version", version, "error", err)
			next = proto.Revision{}
			d.pause(ctx, endRowRetry)
		}
		version = next
	}
}

// next reads all rows, or waits for those that change after a version, and returns the version to go on from.
func (r *endRows) next(ctx context.Context, version proto.Revision) (proto.Revision, error) {
	wait := endRowWait
	if version.IsZero() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	rows, err := r.rows(ctx, version, wait)
	if err != nil {
		return proto.Revision{}, err
	}
	for _, row := range rows.Rows {
		if proto.VM(row.Key) != r.daemon.self.VM && !row.Removed {
			r.take(row)
		}
	}
	return proto.Latest(version, rows.Version), nil
}

func (r *endRows) rows(ctx context.Context, version proto.Revision, wait time.Duration) (platform.RowSet, error) {
	if version.IsZero() {
		return r.table.Read(ctx)
	}
	return r.table.Watch(ctx, version, wait)
}

// take takes in the row of another daemon. Its ages hold as of that daemon's time of day, which may differ somewhat from this
// one's: they only decide when an end is forgotten.
func (r *endRows) take(row platform.Row) {
	d := r.daemon
	_, message, err := proto.Decode(row.Body)
	m, ok := message.(proto.TargetEnds)
	if err != nil || !ok {
		d.log.Warn("a row of ends of targets cannot be read", "vm", row.Key, "version", row.Version, "error", err)
		return
	}
	age := max(0, d.clock.Now().Sub(m.AsOf))
	if age > endRowKept {
		r.remove(row)
		return
	}
	for i := range m.Ends {
		m.Ends[i].Age += age
	}
	d.crashes.Merge(m, proto.VM("store: "+row.Key))
}

// remove removes the row of a daemon that is gone for long, which one daemon does for all.
func (r *endRows) remove(row platform.Row) {
	d := r.daemon
	if d.peers.Owner(taskOldRows, nil) != d.self.VM {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), readWait)
	defer cancel()
	err := r.table.Remove(ctx, row.Key, row.Version)
	d.log.Info("an old row of ends of targets is removed", "vm", row.Key, "version", row.Version, "error", err)
}

// ended takes in what the daemon learnt of ends of targets, from itself or from others, and passes it on.
func (d *Relay) ended(m proto.TargetEnds, from proto.VM) {
	d.endNews.add(m)
	if from == d.self.VM {
		d.endRows.saw(m)
	}
}
