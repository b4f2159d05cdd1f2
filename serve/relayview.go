package serve

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// staleMost is how old what a daemon knows of the store may be before the log says so: a change is to be in force
// everywhere two seconds after the store has it.
const maxStateAge = 2 * time.Second

// view says until when a daemon's copy of a table of the store is known to be right. It has all changes up to then.
type tableFreshness struct {
	mu sync.Mutex
	// confirmed is the latest moment as of which the store told this daemon what is in the table; zero if it never did.
	confirmed time.Time
	// relayed is the same, as told by another daemon that had no newer state than this one.
	confirmedByPeer time.Time
	// stale says that the log has a line about the age.
	loggedStale bool
}

// confirm notes that the store told what was in the table at a moment.
func (v *tableFreshness) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed = later(v.confirmed, at)
}

// relay notes that the store told another daemon what was in the table at a moment.
func (v *tableFreshness) confirmByPeer(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedByPeer = later(v.confirmedByPeer, at)
}

// asOf returns when the copy was last known to be right, zero if it never was.
func (v *tableFreshness) confirmedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return later(v.confirmed, v.confirmedByPeer)
}

// confirmedAfter tells whether the store has answered a question of this daemon that was sent after a moment.
func (v *tableFreshness) confirmedSince(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed.After(at)
}

// age returns how long ago the copy was last known to be right, and false if it never was.
func (v *tableFreshness) age(now time.Time) (time.Duration, bool) {
	at := v.confirmedAt()
	return now.Sub(at), !at.IsZero()
}

// ownAge returns what other daemons may count on: how long ago the store told this daemon itself, so that no daemon is
// confirmed by what it said before. It is at least a nanosecond, and 0 if the store never did.
func (v *tableFreshness) ownAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() {
		return 0
	}
	return max(now.Sub(v.confirmed), 1)
}

// report logs when the copy becomes too old, and when it is confirmed again.
func (v *tableFreshness) log(now time.Time, logger hclog.Logger, table string, version fmt.Stringer) {
	age, known := v.age(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case known && age > maxStateAge && !v.loggedStale:
		v.loggedStale = true
		logger.Warn("state of the store not confirmed", "table", table, "version", version, "age", age.String())
	case known && age <= maxStateAge && v.loggedStale:
		v.loggedStale = false
		logger.Info("state of the store confirmed again", "table", table, "version", version, "age", age.String())
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// tellReaders tells the other daemons that read the store what it said just now.
func (d *Relay) notifyReaders() {
	now := d.clock.Now()
	// The ages are taken before the versions: a version may only hold more than the age says.
	m := proto.Confirmed{RoutingAge: d.routingFreshness.ownAge(now), TargetsAge: d.targetsFreshness.ownAge(now)}
	m.Routing, m.Targets, m.Evacuations = d.tables.Version(), d.fleet.Version(), d.fleet.EvacuationsVersion()
	for _, vm := range d.peers.members.FirstPerZone(taskReadStore, readersPerZone) {
		if vm != d.self.VM {
			d.peers.Send(vm, m)
		}
	}
}

// takeRelayedViews takes over until when another daemon knows the store's tables, where this one has no older state.
func (d *Relay) applyPeerConfirmation(now time.Time, m proto.Confirmed) {
	if m.RoutingAge > 0 && m.Routing <= d.tables.Version() && !m.Evacuations.After(d.fleet.EvacuationsVersion()) {
		d.routingFreshness.confirmByPeer(now.Add(-m.RoutingAge))
	}
	if m.TargetsAge > 0 && !m.Targets.After(d.fleet.Version()) {
		d.targetsFreshness.confirmByPeer(now.Add(-m.TargetsAge))
	}
}

// Staleness returns how long ago the store confirmed, to this daemon or to one that told it, the older of the two tables as
// it is known here; false if it did not confirm both.
func (d *Relay) Staleness() (time.Duration, bool) {
	now := d.clock.Now()
	routing, routingKnown := d.routingFreshness.age(now)
	targets, targetsKnown := d.targetsFreshness.age(now)
	return max(routing, targets), routingKnown && targetsKnown
}

// reportViews has the log say when a daemon that reads the store does not know how the store is.
func (d *Relay) logFreshness() {
	if !d.isReader() {
		return
	}
	now := d.clock.Now()
	d.routingFreshness.log(now, d.log, "routing", proto.Revision{Version: d.tables.Version()})
	d.targetsFreshness.log(now, d.log, "targets", d.fleet.Version())
}
