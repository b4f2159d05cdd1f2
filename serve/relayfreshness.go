package serve

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/coord"
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
	// gossiped is the same, as heartbeats tell it, and gossipHops through how many daemons.
	gossiped   time.Time
	gossipHops int
	// awaited is what a heartbeat told of a version that this daemon did not have yet.
	awaited awaitedGossip
	// failure tells why the last call of this daemon failed; empty once one is answered.
	failure string
	// loggedStale is set while the last log line about the age says that the copy is too old.
	loggedStale bool
	// loggedReason is why this daemon read the table according to the last log line about it.
	loggedReason coord.ReadReason
	// reader decides whether this daemon reads the table, and woken receives a value when another daemon asks for it.
	reader *coord.TableReader
	woken  chan struct{}
}

// awaitedGossip says that the copy was current as of a moment for daemons that have a version.
type awaitedGossip struct {
	version proto.Revision
	asOf    time.Time
	hops    int
}

// Names of the store's tables in log lines and metrics.
const (
	tableRouting = "routing"
	tableTargets = "targets"
)

func (v *tableFreshness) init(now time.Time) {
	v.reader, v.woken = coord.NewTableReader(now, coord.DefaultReaderTiming()), make(chan struct{}, 1)
}

func (v *tableFreshness) confirmReader(at time.Time, byStore bool) {
	switch {
	case v.reader == nil:
	case byStore:
		v.reader.Confirm(at)
	default:
		v.reader.ConfirmByOthers(at)
	}
}

// wake has the loop that reads the table check at once whether it should.
func (v *tableFreshness) wake() {
	select {
	case v.woken <- struct{}{}:
	default:
	}
}

// confirmByGossip records that other daemons know the contents of the table as of a moment.
func (v *tableFreshness) confirmByGossip(at time.Time, hops int) {
	v.confirmReader(at, false)
	v.mu.Lock()
	defer v.mu.Unlock()
	if at.After(v.gossiped) {
		v.gossiped, v.gossipHops = at, hops
	}
}

// awaitGossip is confirmByGossip for daemons that have a version; it takes effect once this daemon has it too.
func (v *tableFreshness) awaitGossip(version proto.Revision, at time.Time, hops int, own proto.Revision) {
	v.mu.Lock()
	awaited := v.awaited
	switch {
	case !version.After(own):
		awaited = awaitedGossip{version, at, hops}
		v.awaited = awaitedGossip{}
	case awaited.asOf.IsZero() || !awaited.version.After(own):
		v.awaited = awaitedGossip{version, at, hops}
	}
	v.mu.Unlock()
	if !awaited.asOf.IsZero() && !awaited.version.After(own) {
		v.confirmByGossip(awaited.asOf, awaited.hops)
	}
}

// gossip returns the latest moment as of which this daemon knows its copy to be current, and through how many daemons it does.
func (v *tableFreshness) gossip() (at time.Time, hops int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	at = v.confirmed
	if v.confirmedByPeer.After(at) {
		at, hops = v.confirmedByPeer, 1
	}
	if v.gossiped.After(at) {
		at, hops = v.gossiped, v.gossipHops
	}
	return at, hops
}

// recordCall records whether the store answered a call of this daemon.
func (v *tableFreshness) recordCall(now time.Time, s coord.Standing, err error) {
	v.mu.Lock()
	v.failure = ""
	if err != nil {
		v.failure = err.Error()
	}
	v.mu.Unlock()
	if err != nil {
		v.reader.Failed(now, s)
		return
	}
	v.reader.Answered(now, s)
}

// lastFailure returns why the last call of this daemon failed; empty if it was answered or there was none.
func (v *tableFreshness) lastFailure() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.failure
}

// confirm records that the store told this daemon the contents of the table as of a moment.
func (v *tableFreshness) confirm(at time.Time) {
	v.confirmReader(at, true)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed = later(v.confirmed, at)
}

// confirmByPeer records that the store told another daemon the contents of the table as of a moment.
func (v *tableFreshness) confirmByPeer(at time.Time) {
	v.confirmReader(at, false)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmedByPeer = later(v.confirmedByPeer, at)
}

// confirmedAt returns when the copy was last known to be current from the store or a daemon that reads it, zero if it never was.
func (v *tableFreshness) confirmedAt() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return later(v.confirmed, v.confirmedByPeer)
}

// checkFrom returns from when on the time to the next check counts. While others read in place of this daemon, only its own reads tell them
// that they need not.
func (v *tableFreshness) checkFrom(now time.Time) time.Time {
	if v.reader != nil && len(v.reader.StandIns(now)) > 0 {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.confirmed
	}
	return v.confirmedAt()
}

// confirmedSince reports whether the store has answered a call that this daemon sent after a moment.
func (v *tableFreshness) confirmedSince(at time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.confirmed.After(at)
}

// age returns how long ago the copy was last known to be current, and false if it never was.
func (v *tableFreshness) age(now time.Time) (time.Duration, bool) {
	at, _ := v.gossip()
	// A confirmation may have come since the time was read.
	return max(now.Sub(at), 0), !at.IsZero()
}

// describeAge returns the age as log lines tell it.
func (v *tableFreshness) describeAge(now time.Time) string {
	age, known := v.age(now)
	if !known {
		return "unknown"
	}
	return age.String()
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

// log logs when the copy becomes too old, since when and why, and when it is confirmed again.
func (v *tableFreshness) log(now time.Time, logger hclog.Logger, table string, version fmt.Stringer) {
	age, known := v.age(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case known && age > maxStateAge && !v.loggedStale:
		v.loggedStale = true
		logger.Warn("state of the store not confirmed", "table", table, "version", version, "age", age.String(), "since", now.Add(-age).UTC(), "why", v.whyUnconfirmed())
	case known && age <= maxStateAge && v.loggedStale:
		v.loggedStale = false
		logger.Info("state of the store confirmed again", "table", table, "version", version, "age", age.String())
	}
}

// logReason logs when this daemon begins or stops to read the table, and why.
func (v *tableFreshness) logReason(now time.Time, reason coord.ReadReason, logger hclog.Logger, table string) {
	v.mu.Lock()
	before := v.loggedReason
	v.loggedReason = reason
	v.mu.Unlock()
	if reason == before {
		return
	}
	logger.Info("who reads the store changed", "table", table, "reads", reason, "before", before, "age", v.describeAge(now), "failed", v.lastFailure())
}

// whyUnconfirmed tells why the copy is not confirmed; the lock must be held.
func (v *tableFreshness) whyUnconfirmed() string {
	if v.failure != "" {
		return v.failure
	}
	return "no answer of the store, and no daemon that reads it confirms the copy"
}

// CopyStats tells how current the copy of a table of the store is.
type CopyStats struct {
	// Age is how long ago the copy was last known to be current, in milliseconds; -1 if it never was.
	Age int64 `json:"ageMs"`
	// UnconfirmedSince is as of when the copy is known to be current if that is too long ago, and Why tells the reason.
	UnconfirmedSince string `json:"unconfirmedSince,omitempty"`
	Why              string `json:"why,omitempty"`
	// Reads is why this daemon reads the table: rank, asked or stale copy; empty if others do. Failing is for how long its calls have failed,
	// in milliseconds.
	Reads   coord.ReadReason `json:"reads,omitempty"`
	Failing int64            `json:"failingMs,omitempty"`
}

func (v *tableFreshness) stats(now time.Time, s coord.Standing) CopyStats {
	reads := v.reader.Reason(now, s)
	stats := CopyStats{Age: ageMillis(v, now), Reads: reads, Failing: v.reader.FailedFor(now).Milliseconds()}
	age, known := v.age(now)
	v.mu.Lock()
	defer v.mu.Unlock()
	if known && age > staleAge(reads) {
		stats.UnconfirmedSince, stats.Why = now.Add(-age).UTC().Format(time.RFC3339Nano), v.whyUnconfirmed()
	}
	return stats
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
	m := proto.Confirmed{SentAt: time.Duration(now.UnixNano()), RoutingAge: d.routingFreshness.ownAge(now), TargetsAge: d.targetsFreshness.ownAge(now)}
	m.Routing, m.Targets, m.Evacuations = d.tables.Version(), d.fleet.Version(), d.fleet.EvacuationsVersion()
	told := d.peers.members.FirstPerZone(taskReadStore, readersPerZone)
	// Daemons that read in place of this one stop when they hear that the store serves it again.
	told = append(told, d.routingFreshness.reader.StandIns(now)...)
	told = append(told, d.targetsFreshness.reader.StandIns(now)...)
	slices.Sort(told)
	for _, vm := range slices.Compact(told) {
		if vm != d.self.VM {
			d.peers.Send(vm, m)
		}
	}
}

// recordStandIn records that the store serves a daemon of this zone that is not one of its readers by rank.
func (d *Relay) recordStandIn(now time.Time, from proto.VM, m proto.Confirmed) {
	if alive, known := d.peers.members.Lookup(from); !known || alive.Zone != d.self.Zone || d.peers.members.IsFirst(taskReadStore, readersPerZone, from) {
		return
	}
	if 0 < m.RoutingAge && m.RoutingAge < checkAfter+checkJitter {
		d.routingFreshness.reader.HandleStandIn(now, from)
	}
	if 0 < m.TargetsAge && m.TargetsAge < checkAfter+checkJitter {
		d.targetsFreshness.reader.HandleStandIn(now, from)
	}
}

// recordServedReader records that the store serves a daemon that reads by its rank, as it told at a moment.
func (d *Relay) recordServedReader(sentAt time.Time, from proto.VM, m proto.Confirmed) {
	if !d.peers.members.IsFirst(taskReadStore, readersPerZone, from) {
		return
	}
	if m.RoutingAge > 0 {
		d.routingFreshness.reader.HandleServedReader(sentAt.Add(-m.RoutingAge))
	}
	if m.TargetsAge > 0 {
		d.targetsFreshness.reader.HandleServedReader(sentAt.Add(-m.TargetsAge))
	}
}

// applyPeerConfirmation takes over the confirmation that another daemon sent at a moment, for the tables of which this daemon has no older
// state.
func (d *Relay) applyPeerConfirmation(sentAt time.Time, m proto.Confirmed) {
	if m.RoutingAge > 0 && m.Routing <= d.tables.Version() && !m.Evacuations.After(d.fleet.EvacuationsVersion()) {
		d.routingFreshness.confirmByPeer(sentAt.Add(-m.RoutingAge))
	}
	if m.TargetsAge > 0 && !m.Targets.After(d.fleet.Version()) {
		d.targetsFreshness.confirmByPeer(sentAt.Add(-m.TargetsAge))
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

// logFreshness logs when the configuration is behind that of other daemons, and when this daemon does not know the store's present state.
func (d *Relay) logFreshness() {
	now, s := d.clock.Now(), d.standing()
	d.versionLag.log(now, d.log, d.tables.Version(), d.isReader())
	for _, table := range []struct {
		freshness *tableFreshness
		name      string
		version   fmt.Stringer
	}{{&d.routingFreshness, tableRouting, proto.Revision{Version: d.tables.Version()}}, {&d.targetsFreshness, tableTargets, d.fleet.Version()}} {
		reads := table.freshness.reader.Reason(now, s)
		if age, _ := table.freshness.age(now); age > staleAge(reads) || age <= maxStateAge {
			table.freshness.log(now, d.log.With("reads", reads), table.name, table.version)
		}
	}
}

// staleAge returns how old the copy of a daemon may be before this is logged. Those that do not read hear of it later.
func staleAge(reads coord.ReadReason) time.Duration {
	if reads == coord.ReadNone {
		return coord.DefaultReaderTiming().MaxAge
	}
	return maxStateAge
}
