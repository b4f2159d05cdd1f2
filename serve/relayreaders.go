package serve

import (
	"context"
	"math"
	"time"

	"emberlead/coord"
	"emberlead/proto"
)

const (
	// standInInterval is how often a daemon that reads in place of others tells them that the store serves it.
	standInInterval = 500 * time.Millisecond
	// copyAgeUnit is the unit of the age in heartbeats, and maxCopyHops through how many daemons it is told.
	copyAgeUnit, maxCopyHops = 100 * time.Millisecond, 8
)

// standing tells whether this daemon is one of the readers of its zone by rank. Daemons that this one does not hear read only for
// themselves, and a daemon that hears no other daemon is told nothing, so it reads too.
func (d *Relay) standing() coord.Standing {
	members := d.peers.members
	first := members.IsAmongFirst(taskReadStore, readersPerZone, d.peers.isSilentPeer) || members.AllSilent(d.clock.Now(), peerSilenceTimeout)
	return coord.Standing{First: first, Count: members.ZoneCount()}
}

// readsTable returns a function that reports whether this daemon reads a table.
func (d *Relay) readsTable(freshness *tableFreshness, table string) func() bool {
	return func() bool {
		now := d.clock.Now()
		reason := freshness.reader.Reason(now, d.standing())
		freshness.logReason(now, reason, d.log, table)
		return reason != coord.ReadNone
	}
}

// isAsked reports whether another daemon asked this one to read a table. A daemon without the tables reads only then or when mayReadFirst
// allows it: copies that nobody has yet are no reason for all to read at once.
func (d *Relay) isAsked(freshness *tableFreshness) bool {
	return freshness.reader.Reason(d.clock.Now(), d.standing()) == coord.ReadAsked
}

// recordCall returns a function that records whether the store answered a call for a table.
func (d *Relay) recordCall(freshness *tableFreshness) func(now time.Time, err error, isFirst bool) {
	return func(now time.Time, err error, isFirst bool) {
		s := d.standing()
		// A version that the store has forgotten is an answer.
		if proto.KindOf(err) == proto.KindNotFound {
			err = nil
		}
		freshness.recordCall(now, s, err)
		switch {
		case err != nil:
			d.renewLeases(freshness)
		case isFirst:
			d.notifyReaders()
		}
	}
}

// isReader reports whether this daemon reads a table of the store, by its rank or in place of others.
func (d *Relay) isReader() bool {
	now, s := d.clock.Now(), d.standing()
	return s.First || d.routingFreshness.reader.Reason(now, s) != coord.ReadNone || d.targetsFreshness.reader.Reason(now, s) != coord.ReadNone
}

// isServedReader reports whether this daemon reads the store and its calls are answered.
func (d *Relay) isServedReader() bool {
	now := d.clock.Now()
	return d.isReader() && d.routingFreshness.reader.FailedFor(now) == 0 && d.targetsFreshness.reader.FailedFor(now) == 0
}

// ReadReasons returns why this daemon reads the configuration and the targets from the store.
func (d *Relay) ReadReasons() (routing, targets coord.ReadReason) {
	now, s := d.clock.Now(), d.standing()
	return d.routingFreshness.reader.Reason(now, s), d.targetsFreshness.reader.Reason(now, s)
}

// isStandIn reports whether this daemon reads in place of others.
func (d *Relay) isStandIn() bool { return !d.standing().First && d.isServedReader() }

// askReaders asks other daemons of the zone to read if nobody confirms this reader's copies.
func (d *Relay) askReaders() {
	s := d.standing()
	if !s.First {
		return
	}
	now := d.clock.Now()
	routingFirst, routingEnd := d.routingFreshness.reader.NextAsked(now, s)
	targetsFirst, targetsEnd := d.targetsFreshness.reader.NextAsked(now, s)
	if routingFirst == routingEnd && targetsFirst == targetsEnd {
		return
	}
	ranked := d.peers.members.RankedInZone(taskReadStore, d.peers.isSilentPeer)
	asked := 0
	for position, vm := range ranked {
		m := proto.ReadAsk{Routing: routingFirst <= position && position < routingEnd, Targets: targetsFirst <= position && position < targetsEnd}
		if m.Routing || m.Targets {
			asked += d.sendReadAsk(vm, m)
		}
	}
	d.log.Warn("asking other daemons to read the store", "daemons", asked, "routingAge", d.routingFreshness.describeAge(now), "targetsAge", d.targetsFreshness.describeAge(now),
		"routingFailed", d.routingFreshness.lastFailure(), "targetsFailed", d.targetsFreshness.lastFailure())
}

func (d *Relay) sendReadAsk(vm proto.VM, m proto.ReadAsk) int {
	if alive, _ := d.peers.members.Lookup(vm); vm == d.self.VM || alive.Protocol < proto.PeerProtocolReadAsk {
		return 0
	}
	d.peers.Send(vm, m)
	return 1
}

// renewLeases has the daemons that read in place of this one go on.
func (d *Relay) renewLeases(freshness *tableFreshness) {
	m := proto.ReadAsk{Routing: freshness == &d.routingFreshness, Targets: freshness == &d.targetsFreshness}
	for _, vm := range freshness.reader.Renewals(d.clock.Now(), d.standing()) {
		d.sendReadAsk(vm, m)
	}
}

// handleReadAsk reads the tables that a reader of this zone cannot read.
func (d *Relay) handleReadAsk(now time.Time, from proto.VM, m proto.ReadAsk) {
	for _, ask := range []struct {
		wanted    bool
		table     string
		freshness *tableFreshness
	}{{m.Routing, tableRouting, &d.routingFreshness}, {m.Targets, tableTargets, &d.targetsFreshness}} {
		if !ask.wanted || !ask.freshness.reader.HandleAsk(now, from) {
			continue
		}
		d.log.Info("reading the store in place of another daemon", "table", ask.table, "from", from, "age", ask.freshness.describeAge(now))
		ask.freshness.wake()
	}
}

// tellReadersWhileStandIn tells the readers that the store serves this daemon, which reads in their place.
func (d *Relay) tellReadersWhileStandIn() {
	if d.isStandIn() {
		d.notifyReaders()
	}
}

// fillCopyAge adds to a heartbeat how old the copies of this daemon are.
func (d *Relay) fillCopyAge(now time.Time, h *proto.Heartbeat) {
	routing, routingHops := d.routingFreshness.gossip()
	targets, targetsHops := d.targetsFreshness.gossip()
	hops := max(routingHops, targetsHops)
	if routing.IsZero() || targets.IsZero() || hops > maxCopyHops {
		return
	}
	age := max(now.Sub(routing), now.Sub(targets))
	if units := (age + copyAgeUnit - 1) / copyAgeUnit; units < math.MaxUint16 {
		h.CopyAge, h.CopyHops = uint16(max(units, 1)), uint8(hops)
	}
}

// handleCopyAge takes over what a heartbeat, sent at a moment, tells of the age of its sender's copies, for the tables of which this daemon
// has no older state.
func (d *Relay) handleCopyAge(sentAt time.Time, h *proto.Heartbeat) {
	if h.CopyAge == 0 || h.CopyHops >= maxCopyHops {
		return
	}
	asOf, hops := sentAt.Add(-time.Duration(h.CopyAge)*copyAgeUnit), int(h.CopyHops)+1
	if h.Routing <= d.tables.Version() && !h.Evacuations.After(d.fleet.EvacuationsVersion()) {
		d.routingFreshness.confirmByGossip(asOf, hops)
	}
	d.targetsFreshness.awaitGossip(h.Targets, asOf, hops, d.fleet.Version())
}

// waitToRead waits until this daemon may have to read a table, or was asked to.
func (d *Relay) waitToRead(ctx context.Context, freshness *tableFreshness, duration time.Duration) {
	select {
	case <-d.clock.After(duration):
	case <-freshness.woken:
	case <-ctx.Done():
	}
}
