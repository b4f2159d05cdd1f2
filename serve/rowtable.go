package serve

import (
	"context"
	"sync"
	"time"

	"emberlead/platform"
	"emberlead/proto"
)

// rowTable holds the table of the daemons as it was last read from the store, for all daemons of the zone that ask for it.
type rowTable struct {
	mu     sync.Mutex
	rows   platform.RowSet
	sentAt time.Time
}

// daemonRows returns the table of the daemons and a time at which the store held it, at most maxAge ago. The readers of a zone read the
// table for all of its daemons: read by each of them, its size times their number would grow with the square of the fleet.
func (d *Relay) daemonRows(ctx context.Context, maxAge time.Duration) (platform.RowSet, time.Time, error) {
	if rows, asOf, ok := d.relayedRows(ctx, maxAge); ok {
		return rows, asOf, nil
	}
	return d.readRows(ctx, maxAge)
}

// readRows returns the table as this daemon read it itself, now if its last read is older than maxAge. Callers that come during a read
// share its result.
func (d *Relay) readRows(ctx context.Context, maxAge time.Duration) (platform.RowSet, time.Time, error) {
	t := &d.rowTable
	t.mu.Lock()
	defer t.mu.Unlock()
	now := d.clock.Now()
	if !t.rows.Version.IsZero() && t.rows.Version.Era == d.store.Era() && now.Sub(t.sentAt) <= maxAge {
		return t.rows, t.sentAt, nil
	}
	rows, err := d.store.Daemons().Read(ctx)
	if err != nil {
		return platform.RowSet{}, time.Time{}, err
	}
	t.rows, t.sentAt = rows, now
	return rows, now, nil
}

// relayedRows asks a reader of this daemon's zone for the table, or one of those that may read in its place. It returns false if this daemon
// has to read it itself.
func (d *Relay) relayedRows(ctx context.Context, maxAge time.Duration) (platform.RowSet, time.Time, bool) {
	for _, vm := range d.peers.members.FirstInZone(taskReadStore, 2*readersPerZone) {
		if vm == d.self.VM {
			return platform.RowSet{}, time.Time{}, false
		}
		if alive, _ := d.peers.members.Lookup(vm); alive.Protocol < proto.PeerProtocolRows || d.peers.Silent(vm) {
			continue
		}
		sentAt := d.clock.Now()
		m, err := d.askDaemonRows(ctx, vm, maxAge)
		answer, ok := m.(proto.DaemonRowsAnswer)
		if err != nil || !ok || !answer.Known || answer.Version.Era < d.store.Era() {
			d.log.Info("another daemon did not send the list of daemons", "from", vm, "error", err)
			continue
		}
		d.store.ObserveEra(answer.Version.Era)
		// The other daemon began its read at least that long after the question was sent, less the age of what it answered with.
		return rowSet(answer), sentAt.Add(-answer.Age), true
	}
	return platform.RowSet{}, time.Time{}, false
}

func (d *Relay) askDaemonRows(ctx context.Context, vm proto.VM, maxAge time.Duration) (proto.Message, error) {
	ctx, _, cancel := proto.WithProgress(ctx, rowsAskTimeout)
	defer cancel()
	return d.peers.Call(ctx, vm, proto.DaemonRowsAsk{MaxAge: maxAge})
}

func rowSet(answer proto.DaemonRowsAnswer) platform.RowSet {
	rows := platform.RowSet{Version: answer.Version}
	for _, row := range answer.Rows {
		rows.Rows = append(rows.Rows, platform.Row{Key: string(row.VM), Version: row.Version, Body: row.Body})
	}
	return rows
}

// answerDaemonRowsAsk sends the table of the daemons to another daemon.
func (d *Relay) answerDaemonRowsAsk(ctx context.Context, ask proto.DaemonRowsAsk) proto.DaemonRowsAnswer {
	ctx, cancel := context.WithTimeout(ctx, d.tableReadTimeout())
	defer cancel()
	// Another daemon must not wait for a call that the store is unlikely to answer.
	if d.routingFreshness.reader.FailedFor(d.clock.Now()) > 0 {
		return proto.DaemonRowsAnswer{}
	}
	rows, sentAt, err := d.readRows(ctx, min(ask.MaxAge, maxRelayedRowsAge))
	if err != nil {
		d.log.Debug("cannot read the list of daemons for another daemon", "error", err)
		return proto.DaemonRowsAnswer{}
	}
	answer := proto.DaemonRowsAnswer{Known: true, Age: d.clock.Now().Sub(sentAt), Version: rows.Version}
	for _, row := range rows.Rows {
		answer.Rows = append(answer.Rows, proto.DaemonRow{VM: proto.VM(row.Key), Version: row.Version, Body: row.Body})
	}
	return answer
}
