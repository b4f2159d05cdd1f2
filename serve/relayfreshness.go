package serve

import (
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/proto"
)

// maxStateAge is how old a daemon's copy of the store's state may be before this is logged: a change must be in force
// everywhere two seconds after the store has it.
const maxStateAge = 2 * time.Second

// tableFreshness tracks up to which moment a daemon's copy of a store table is known to be current. The copy has all
// changes up to then.
type tableFreshness struct {
	mu sync.Mutex
	// confirmed is the latest moment for which the store told this daemon the contents of the table; zero if it never did.
	confirmed time.Time
	// confirmedByPeer is the same, as reported by another daemon that had no newer state than this one.
	confirmedByPeer time.Time
	// loggedStale is set while the last log line about the age says that the copy is too old.
	loggedStale bool
}

// confirm records that the store told this daemon the contents of the table as of a moment.
func (v *tableFreshness) confirm(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed = later(v.confirmed, at)
}

// confirmByPeer records that the store told another daemon the contents of the table as of a moment.
func (v *tableFreshness) confirmByPeer(at time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedByPeer = later(v.confirmedByPeer, at)
}

// confirmedAt returns when the copy was last known to be current, zero if it never was.
func (v *tableFreshness) confirmedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return later(v.confirmed, v.confirmedByPeer)
}

// confirmedSince reports whether the store has answered a call that this daemon sent after a moment.
func (v *tableFreshness) confirmedSince(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed.After(at)
}

// age returns how long ago the copy was last known to be current, and false if it never was.
func (v *tableFreshness) age(now time.Time) (time.Duration, bool) {
	at := v.confirmedAt()
	return now.Sub(at), !at.IsZero()
}

// ownAge returns the age that other daemons may rely on: how long ago the store told this daemon itself. Confirmations by peers do not
// count, so that no daemon is confirmed by what it said earlier. It is at least a nanosecond, and 0 if the store never answered.
func (v *tableFreshness) ownAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmed.IsZero() {
		return 0
	}
	return max(now.Sub(v.confirmed), 1)
}

// log logs when the copy becomes too old, and when it is confirmed again.
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

// notifyReaders tells the other daemons that read the store that it has just confirmed the tables.
func (d *Relay) notifyReaders() {
	now := d.clock.Now()
	// The ages are taken before the versions, because a version may only include more than the age states.
	m := proto.Confirmed{RoutingAge: d.routingFreshness.ownAge(now), TargetsAge: d.targetsFreshness.ownAge(now)}
	m.Routing, m.Targets, m.Evacuations = d.tables.Version(), d.fleet.Version(), d.fleet.EvacuationsVersion()
	for _, vm := range d.peers.members.FirstPerZone(taskReadStore, readersPerZone) {
		if vm != d.self.VM {
			d.peers.Send(vm, m)
		}
	}
}

// applyPeerConfirmation takes over the confirmation of another daemon for the tables of which this daemon has no older state.
func (d *Relay) applyPeerConfirmation(now time.Time, m proto.Confirmed) {
	if m.RoutingAge > 0 && m.Routing <= d.tables.Version() && !m.Evacuations.After(d.fleet.EvacuationsVersion()) {
		d.routingFreshness.confirmByPeer(now.Add(-m.RoutingAge))
	}
	if m.TargetsAge > 0 && !m.Targets.After(d.fleet.Version()) {
		d.targetsFreshness.confirmByPeer(now.Add(-m.TargetsAge))
	}
}

// Staleness returns how long ago the store confirmed, to this daemon or to one that told it, the older of the local
// copies of the two tables; false if it did not confirm both.
func (d *Relay) Staleness() (time.Duration, bool) {
	now := d.clock.Now()
	routing, routingKnown := d.routingFreshness.age(now)
	targets, targetsKnown := d.targetsFreshness.age(now)
	return max(routing, targets), routingKnown && targetsKnown
}

// logFreshness logs when the configuration is behind that of other daemons, and when a daemon that reads the store does not know the
// store's present state.
func (d *Relay) logFreshness() {
	now, isReader := d.clock.Now(), d.isReader()
	d.versionLag.log(now, d.log, d.tables.Version(), isReader)
	if !isReader {
		return
	}
	d.routingFreshness.log(now, d.log, "routing", proto.Revision{Version: d.tables.Version()})
	d.targetsFreshness.log(now, d.log, "targets", d.fleet.Version())
}
