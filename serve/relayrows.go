package serve

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"emberlead/coord"
	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/state"
)

const (
	// rowReadInterval is how often the table of the daemons is read, to find daemons that no other daemon knows. All
	// daemons do so, which for some hundred daemons means several calls a second.
	rowReadInterval = time.Minute
	// maxRowRetryWait is the longest time that the table is not read after a failed call, unless another call to the store succeeds:
	// without it, daemons that all start during an outage would each call in vain several times a second.
	maxRowRetryWait = 3 * time.Second
	// rowLease is how long a daemon may use its share of common limits after writing its row, and about how long others
	// still count a VM that is gone for good. Until then the share of each is smaller, by one in the number of VMs.
	rowLease = 10 * time.Minute
	// rowWriteInterval is how often a daemon rewrites its row. With three writes per lease, two may fail. At 2,000
	// daemons this comes to ten writes a second.
	rowWriteInterval = rowLease / 3
	// shareDelay is how much longer than the window of the retry budget a started daemon waits before it uses a share,
	// to cover attempts of its previous run that are still on their way.
	shareDelay = time.Second
	// maxReadAge is how old the last read of the daemons' rows may be: two read intervals, and an outage of the store of 5 s.
	maxReadAge = 2*rowReadInterval + 5*time.Second
	// maxRelayedRowsAge is how old the table may be that a daemon takes from another, and maxFreshRowsAge the same where all rows that
	// were just written must be in it. The readers of the store read the table for the others at most once in that time.
	maxRelayedRowsAge, maxFreshRowsAge = 10 * time.Second, time.Second
	// rowsAskTimeout limits how long another daemon may take to begin its answer with the table.
	rowsAskTimeout = 2 * time.Second
	// firstWriteSpread is the fraction of the retry budget's window over which daemons that all start for the first time write their rows,
	// since a part of a table takes some hundred writes a second, and firstReadAt the one after which they read the table. None uses a
	// share before the window is over.
	firstWriteSpread, firstReadAt = 0.5, 0.8
	// firstStartStagger is the longest time between the starts of two daemons in the first start of all.
	firstStartStagger = 500 * time.Millisecond
	// maxWallStep is how far the wall clock of a VM may have been set back between two runs without a row counting as younger
	// than it is. Time services set clocks by seconds at most; a longer step back is noticed unless the row is older still.
	maxWallStep = 30 * time.Second
	// taskRemoveOldRows names the task of removing the rows of VMs that are gone.
	taskRemoveOldRows = "remove old rows"
)

// daemonRow is what a daemon stores about itself, for daemons that start when all seeds are gone.
type daemonRow struct {
	Zone        proto.Zone        `json:"zone"`
	Peer        netip.AddrPort    `json:"peer"`
	Incarnation proto.Incarnation `json:"incarnation"`
	// Written is when the row was written, by the clock of its VM.
	Written time.Time `json:"written"`
	// Era is the era of the store in which the row was written: only a row of the present era counts for others.
	Era uint64 `json:"era,omitempty"`
	// Counted is set if all other daemons count this VM when they divide the limits that all daemons share.
	Counted bool `json:"counted,omitempty"`
	// Protocol is the version of the messages that the daemon understands.
	Protocol proto.PeerProtocol `json:"protocol,omitempty"`
}

// maintainRow renews this daemon's row in the table of the daemons, and reads the rows of others.
func (d *Relay) maintainRow(ctx context.Context) {
	l := &rowMaintainer{daemon: d}
	for ctx.Err() == nil {
		select {
		case <-d.clock.After(l.step(ctx)):
		case <-d.eraChanged:
		case <-ctx.Done():
		}
	}
}

// rowMaintainer is the state of the loop that renews this daemon's row and reads those of others.
type rowMaintainer struct {
	daemon *Relay
	// writtenAt is when the row that the store has was sent, and writtenCounted the value of Counted in it.
	writtenAt      time.Time
	writtenCounted bool
	// knownToOthers is set if the others knew this VM when the daemon started.
	knownToOthers bool
	// era is the era of the store in which this daemon's row was last checked.
	era uint64
	// startedAt is when this daemon started in the first start of all, and reread is set once the table was read after all had time to write
	// their rows.
	startedAt time.Time
	reread    bool
}

// step reads the rows, writes this daemon's row if it is due, and returns how long to wait afterwards.
func (l *rowMaintainer) step(ctx context.Context) time.Duration {
	d := l.daemon
	l.resetOnNewEra(d.store.Era())
	if d.settings.FirstStart && !l.reread {
		return l.firstStart(ctx)
	}
	if !d.rowsRead.Load() {
		d.waitForMembers(ctx)
	}
	read := l.read(ctx, maxRelayedRowsAge)
	if written := !l.writeDue() || l.write(ctx); !read || !written {
		d.waitForStore(ctx, maxRowRetryWait)
		return initialRetryDelay
	}
	return rowReadInterval
}

// waitForMembers gives a daemon that has just started a moment to hear from another one, which may have the table.
func (d *Relay) waitForMembers(ctx context.Context) {
	for end := d.clock.Now().Add(rowsWait); d.peers.Count() == 1 && len(d.settings.Seeds) > 0 && d.clock.Now().Before(end) && ctx.Err() == nil; {
		d.sleep(ctx, rowsWait/20)
	}
}

// firstStart writes the row of a daemon that starts together with all others, and reads the table once all have written theirs; none
// uses a share before that. Until then the daemons learn of each other over the links.
func (l *rowMaintainer) firstStart(ctx context.Context) time.Duration {
	d := l.daemon
	window := float64(d.settings.RetryWindow)
	if l.startedAt.IsZero() {
		l.startedAt, l.knownToOthers = d.clock.Now(), true
		return rand.N(time.Duration(firstWriteSpread * window))
	}
	readAt := l.startedAt.Add(time.Duration(firstReadAt * window))
	if l.writtenAt.IsZero() && !l.write(ctx) {
		d.waitForStore(ctx, maxRowRetryWait)
		return initialRetryDelay
	}
	now := d.clock.Now()
	// Rows that the store has by then are in every table that is read after it.
	if inTime := now.Before(readAt.Add(-maxFreshRowsAge - firstStartStagger)); inTime {
		d.shareTracker.Start(l.startedAt, true)
	} else {
		d.shareTracker.Start(now, false)
	}
	if now.Before(readAt) {
		return readAt.Sub(now) + rand.N(maxFreshRowsAge)
	}
	if !l.read(ctx, maxFreshRowsAge) {
		d.waitForStore(ctx, maxRowRetryWait)
		return initialRetryDelay
	}
	l.reread = true
	return rowReadInterval
}

// resetOnNewEra forgets what was known about this daemon's row in an earlier era of the store.
func (l *rowMaintainer) resetOnNewEra(era uint64) {
	if era == l.era {
		return
	}
	l.era = era
	l.writtenAt, l.writtenCounted, l.knownToOthers = time.Time{}, false, false
}

func (l *rowMaintainer) writeDue() bool {
	now := l.daemon.clock.Now()
	return l.writtenAt.IsZero() || now.Sub(l.writtenAt) >= rowWriteInterval || l.isCounted(now) && !l.writtenCounted
}

// rowAge returns how old a row of this VM is at most, or a negative duration if it is dated in the future. Its writer and
// this run read the wall clock, which may have been set back in between by maxWallStep.
func (d *Relay) rowAge(row daemonRow) time.Duration {
	age := state.WallTime(d.clock).Sub(row.Written)
	if age < 0 {
		return age
	}
	return age + maxWallStep
}

// adoptPreviousRow keeps the row of this VM's previous run if it is not due to be rewritten and says the same about the
// VM. Other daemons learn of the new run over their links.
func (l *rowMaintainer) adoptPreviousRow(now time.Time, row daemonRow) {
	d := l.daemon
	age := d.rowAge(row)
	if !l.writtenAt.IsZero() || row.Zone != d.self.Zone || row.Peer != d.self.Peer || age < 0 || age >= rowWriteInterval || row.Era != l.era {
		return
	}
	l.writtenAt, l.writtenCounted = now.Add(-age), row.Counted
	d.shareTracker.RowWritten(l.writtenAt, l.era)
}

// isCounted reports whether the others know this VM.
func (l *rowMaintainer) isCounted(now time.Time) bool {
	return l.knownToOthers || l.daemon.shareTracker.Share(now).Usable
}

func (l *rowMaintainer) write(ctx context.Context) bool {
	d := l.daemon
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	sentAt := d.clock.Now()
	row := daemonRow{
		Zone: d.self.Zone, Peer: d.self.Peer, Incarnation: d.peers.announcement().Incarnation, Protocol: d.self.Protocol,
		Written: state.WallTime(d.clock).UTC().Round(0), Counted: l.isCounted(sentAt), Era: l.era,
	}
	body, err := json.Marshal(row)
	era := l.era
	if err == nil {
		era, err = d.store.Daemons().Put(ctx, string(d.self.VM), body)
	}
	if err == nil && era != l.era {
		// The row names an earlier era than the one in which the store holds it.
		err = newError("write row", proto.KindConflict, "the store was restored meanwhile: era %d, before %d", era, l.era)
	}
	if err != nil {
		d.log.Debug("cannot write this daemon's row", "error", err)
		return false
	}
	l.writtenAt, l.writtenCounted = sentAt, row.Counted
	d.shareTracker.RowWritten(sentAt, era)
	return true
}

// read reads the table of the daemons as it was at most the given time ago.
func (l *rowMaintainer) read(ctx context.Context, maxAge time.Duration) bool {
	d := l.daemon
	ctx, cancel := context.WithTimeout(ctx, d.tableReadTimeout())
	defer cancel()
	rows, sentAt, err := d.daemonRows(ctx, maxAge)
	if err != nil {
		d.log.Debug("cannot read the list of daemons", "error", err)
		return false
	}
	l.resetOnNewEra(rows.Version.Era)
	now := d.clock.Now()
	versions := map[proto.VM]proto.Revision{}
	isKnown := d.settings.FirstStart
	var ownRow daemonRow
	for _, entry := range rows.Rows {
		vm := proto.VM(entry.Key)
		versions[vm] = entry.Version
		if row, ok := d.handleRow(now, entry); ok && vm == d.self.VM {
			ownRow = row
		}
	}
	isKnown = isKnown || ownRow.Counted && ownRow.Era == l.era && d.rowAge(ownRow) < shareTiming(d.settings).MaxRowAge()
	l.knownToOthers = l.knownToOthers || isKnown && !d.rowsRead.Load()
	l.adoptPreviousRow(now, ownRow)
	d.shareTracker.Start(now, isKnown)
	d.removeExpiredRows(d.shareTracker.ObserveRows(sentAt, now, rows.Version.Era, versions), versions)
	d.rowsRead.Store(true)
	d.startWhenReady()
	return true
}

// handleRow learns of a daemon from its row. This daemon's row may still be that of its previous run, whose incarnation must be lower.
func (d *Relay) handleRow(now time.Time, entry platform.Row) (daemonRow, bool) {
	var row daemonRow
	if err := json.Unmarshal(entry.Body, &row); err != nil {
		d.log.Warn("cannot decode a daemon's row", "vm", entry.Key, "error", err)
		return row, false
	}
	d.peers.members.HandleAlive(now, proto.Alive{VM: proto.VM(entry.Key), Zone: row.Zone, Peer: row.Peer, Incarnation: row.Incarnation, Protocol: row.Protocol}, "")
	return row, true
}

// removeExpiredRows removes the rows of VMs whose leases have expired; one daemon does this for all.
func (d *Relay) removeExpiredRows(expired []proto.VM, versions map[proto.VM]proto.Revision) {
	for _, vm := range expired {
		d.log.Info("the lease of a daemon's row expired", "vm", vm, "version", versions[vm], "lease", rowLease.String())
		if versions[vm].IsZero() || d.peers.Owner(taskRemoveOldRows, nil) != d.self.VM {
			continue
		}
		go d.removeRow(vm, versions[vm])
	}
}

func (d *Relay) removeRow(vm proto.VM, version proto.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	err := d.store.Daemons().Remove(ctx, string(vm), version)
	d.log.Info("removing an expired daemon row", "vm", vm, "version", version, "error", err)
}

func shareTiming(s platform.Settings) coord.ShareTiming {
	return coord.ShareTiming{Window: s.RetryWindow + shareDelay, Lease: rowLease, MaxReadAge: maxReadAge}
}

// Share returns this daemon's share of the limits that all daemons share.
func (p *relayPeers) Share() relay.Share {
	tracked := p.shareTracker.Share(p.clock.Now())
	share := relay.Share{VMCount: tracked.VMCount, Live: p.Count(), Reason: string(tracked.Reason)}
	if tracked.Usable {
		share.Fraction = 1 / float64(tracked.VMCount)
	}
	return share
}

// OwnsExclusively reports whether this daemon may now do what only one daemon may do at a time.
func (p *relayPeers) OwnsExclusively(task string, settle time.Duration) bool {
	return p.shareTracker.OwnsExclusively(p.clock.Now(), task, settle)
}

// updateShare adds newly known daemons to the count, and logs when this daemon's share changes.
func (d *Relay) updateShare() {
	now := d.clock.Now()
	if version := d.peers.members.Version(); version != d.peers.countedVersion {
		d.peers.countedVersion = version
		for _, alive := range d.peers.members.Live() {
			d.shareTracker.ObserveVMs(now, alive.VM)
		}
	}
	share := d.shareTracker.Share(now)
	if share.VMCount == d.loggedShare.VMCount && share.Reason == d.loggedShare.Reason {
		return
	}
	d.loggedShare = share
	d.log.Info("share of common limits changed", "counted", share.VMCount, "usable", share.Usable, "reason", share.Reason,
		"rowAge", share.RowAge.String(), "readAge", share.ReadAge.String(), "members", d.peers.Count())
}
