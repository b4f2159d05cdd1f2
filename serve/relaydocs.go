package serve

import (
	"context"
	"slices"
	"sync"
	"time"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
)

// documents keeps the platform's own form of what is in force, for daemons that the store does not answer.
type documents struct {
	mu      sync.Mutex
	routing []byte
	// targets holds removed entries too, from since on.
	targets map[string]proto.TargetDocument
	since   proto.Revision
	// gave is when a daemon that knew nothing was given all of them last.
	gave time.Time
}

// giveEvery is how often a daemon that knows nothing is given the whole list of targets; others read it from the store. At
// 3,000 targets a list takes 7 ms of a whole core to make and to send, and where all daemons start together those that
// are in the settings of all would do nothing else, and hold many lists in memory.
const giveEvery = 50 * time.Millisecond

// givesAll tells whether a daemon that knows nothing is given all now.
func (s *documents) givesAll(now time.Time) bool {
	if now.Sub(s.gave) < giveEvery {
		return false
	}
	s.gave = now
	return true
}

// routingChanged takes in rows of the operator's table that changed.
func (d *Relay) routingChanged(e platform.RowSet) {
	d.takeEvacuations(d.evacuationsOf(e), "store")
	d.adoptRoutingOf(e)
}

// adoptRoutingOf puts the configuration among rows in force, if it is there.
func (d *Relay) adoptRoutingOf(e platform.RowSet) {
	for i := range e.Rows {
		if e.Rows[i].IsRouting() && !e.Rows[i].Removed {
			d.adoptRouting(e.Rows[i].Body, "store")
		}
	}
}

// routingWhole takes in all rows of the operator's table; zones that have none are not evacuated.
func (d *Relay) routingWhole(e platform.RowSet) bool {
	d.takeEvacuations(d.fleet.EvacuationsFromList(e.Version, d.evacuationsOf(e)), "store")
	d.adoptRoutingOf(e)
	return true
}

func (d *Relay) adoptRouting(body []byte, from string) {
	r, err := platform.ParseRouting(body)
	if err != nil {
		d.log.Error("a configuration cannot be read", "from", from, "error", err)
		return
	}
	old := d.tables.Version()
	if !d.tables.ReplaceIfNewer(r) {
		d.log.Debug("configuration ignored", "from", from, "version", r.Version, "inForce", old)
		return
	}
	d.docs.mu.Lock()
	if r.Version == d.tables.Version() {
		d.docs.routing = body
	}
	d.docs.mu.Unlock()
	d.log.Info("configuration in force", "from", from, "version", r.Version, "before", old, "routes", len(r.Routes), "pools", len(r.Pools), "workspaces", len(r.Workspaces))
	for name, pool := range r.Pools {
		if pool.Engine != nil {
			d.fleet.SetCacheTokens(name, pool.Engine.CacheTokens)
		}
		d.fleet.SetColdSpec(name, pool.Cold)
	}
	d.pieces.RoutingChanged()
	d.peers.members.SendHeartbeats(d.clock.Now())
	d.noteStart()
}

// changeOf reads one entry of the targets' table. One that cannot be read names no target, and the others hold.
func (d *Relay) changeOf(doc proto.TargetDocument, from string) relay.FleetChange {
	c := relay.FleetChange{ID: doc.ID, Version: doc.Version, Removed: doc.Removed, Lapsed: doc.Lapsed}
	if doc.Removed {
		return c
	}
	t, err := platform.ParseTarget(doc.ID, doc.Body)
	if err != nil {
		d.log.Warn("an entry names no target", "target", doc.ID, "version", doc.Version, "bytes", len(doc.Body), "from", from, "error", err)
		c.Unusable = true
		return c
	}
	t.Region = d.settings.ZoneRegions[t.Zone]
	c.Target = t
	return c
}

func documentsOf(e platform.RowSet) []proto.TargetDocument {
	docs := make([]proto.TargetDocument, 0, len(e.Rows))
	for _, entry := range e.Rows {
		docs = append(docs, proto.TargetDocument{ID: entry.Key, Body: entry.Body, Version: entry.Version, Removed: entry.Removed})
	}
	return docs
}

// storeSeen tells the fleet how the store is, after what its answer brought was taken in.
func (d *Relay) storeSeen(now time.Time, answered bool) {
	if answered {
		d.fleet.MarkStoreUp(now)
		return
	}
	d.fleet.MarkStoreDown(now)
}

func (d *Relay) targetsWhole(e platform.RowSet) bool {
	return d.takeTargets(e.Version, documentsOf(e), "store", false)
}

// takeTargets takes in a whole list; one of another daemon is complete up to its version.
func (d *Relay) takeTargets(asOf proto.Revision, docs []proto.TargetDocument, from string, complete bool) bool {
	var entries []relay.FleetChange
	kept := map[string]proto.TargetDocument{}
	for _, doc := range docs {
		kept[doc.ID] = doc
		if c := d.changeOf(doc, from); !c.Removed {
			entries = append(entries, c)
		}
	}
	notes, taken := d.fleet.Replace(d.clock.Now(), asOf, entries, complete)
	if !taken {
		d.log.Info("list of targets ignored", "from", from, "asOf", asOf, "known", d.fleet.Version())
		return false
	}
	d.docs.mu.Lock()
	d.docs.targets, d.docs.since = kept, d.fleet.Version()
	d.docs.mu.Unlock()
	d.noteFleet(notes, from)
	d.targetsKnown.Store(true)
	d.noteStart()
	return true
}

func (d *Relay) targetsChanged(e platform.RowSet) { d.takeChanges(documentsOf(e), "store", false) }

// takeChanges takes in entries that changed.
func (d *Relay) takeChanges(docs []proto.TargetDocument, from string, told bool) {
	var changes []relay.FleetChange
	for _, doc := range docs {
		c := d.changeOf(doc, from)
		c.FromPeer = told
		changes = append(changes, c)
	}
	notes := d.fleet.ApplyChanges(d.clock.Now(), changes)
	lapsed := map[string]bool{}
	for _, n := range notes {
		lapsed[n.Target.ID] = n.Outcome == relay.OutcomeLapsed
	}
	d.docs.mu.Lock()
	for _, doc := range docs {
		doc.Lapsed = doc.Removed && lapsed[doc.ID]
		if !d.docs.targets[doc.ID].Version.After(doc.Version) {
			d.docs.targets[doc.ID] = doc
		}
	}
	d.docs.mu.Unlock()
	d.noteFleet(notes, from)
}

func (d *Relay) noteFleet(notes []relay.FleetEvent, from string) {
	for _, n := range notes {
		if n.Outcome == relay.OutcomeEnded {
			d.exchange.CloseIdle(n.Target.Address)
		}
		if n.Crashed() {
			d.ends.RecordEnd(n.Target, "its entry is gone")
		}
		d.log.Info("target "+n.Outcome, "target", n.Target.ID, "pool", n.Target.Pool, "address", n.Target.Address, "zone", n.Target.Zone, "born", bornText(n.Target.StartedAt), "coldFor", n.Target.ColdRemaining.String(), "version", d.fleet.Version(), "from", from)
	}
	if len(notes) > 0 {
		d.peers.members.SendHeartbeats(d.clock.Now())
	}
	if ids, before := d.fleet.LapsedTargets(notes); len(ids) > 0 {
		go d.askOfLapsed(ids, before)
	}
}

// bornText is how the log names the start of a target's run; empty if the target does not tell it.
func bornText(born time.Time) string {
	if born.IsZero() {
		return ""
	}
	return born.UTC().Format(time.RFC3339Nano)
}

// askOfLapsed asks the neighbours how they saw entries go that are held to have lapsed: a store that failed for
// some daemons only went on serving the others, and what went then has left.
func (d *Relay) askOfLapsed(ids []string, before proto.Revision) {
	for range lapseAsks {
		for _, vm := range d.peers.members.Links() {
			go d.askNeighbourOfLapsed(vm, ids, before)
		}
		d.pause(context.Background(), pullAfter)
	}
}

func (d *Relay) askNeighbourOfLapsed(vm proto.VM, ids []string, before proto.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), pullWait)
	defer cancel()
	m, err := d.peers.Call(ctx, vm, proto.RoutingAsk{Routing: d.tables.Version(), Targets: before, Evacuations: d.fleet.EvacuationsVersion()})
	a, ok := m.(proto.RoutingAnswer)
	if err != nil || !ok {
		d.log.Info("a neighbour did not say how lapsed targets went", "from", vm, "error", err)
		return
	}
	for _, doc := range a.TargetEntries {
		if doc.Removed && !doc.Lapsed && slices.Contains(ids, doc.ID) {
			d.noteFleet(d.fleet.MarkSuspected(doc.ID), string(vm))
		}
	}
}

// answerAsk gives another daemon what it lacks: what changed since, or the whole list if that is not known.
func (d *Relay) answerAsk(ask proto.RoutingAsk) proto.RoutingAnswer {
	d.docs.mu.Lock()
	defer d.docs.mu.Unlock()
	a := proto.RoutingAnswer{Routing: d.tables.Version(), Targets: d.fleet.Version(), InvalidEntries: d.fleet.InvalidEntries(), Notices: d.fleet.Notices()}
	if d.fleet.EvacuationsVersion().After(ask.Evacuations) {
		a.Evacuations = d.fleet.Evacuations()
	}
	if ask == (proto.RoutingAsk{}) && !d.docs.givesAll(d.clock.Now()) {
		return a
	}
	if a.Routing > ask.Routing {
		a.RoutingBody = d.docs.routing
	}
	if !a.Targets.After(ask.Targets) {
		return a
	}
	a.HasTargets, a.Full = true, d.docs.since.After(ask.Targets)
	for _, doc := range d.docs.targets {
		if a.Full && !doc.Removed || !a.Full && doc.Version.After(ask.Targets) {
			a.TargetEntries = append(a.TargetEntries, doc)
		}
	}
	return a
}

// pull asks another daemon for what it has newer, one at a time, since a list may be large and a link small.
func (d *Relay) pull(from proto.VM) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	defer d.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullWait)
	defer cancel()
	m, err := d.peers.Call(ctx, from, proto.RoutingAsk{Routing: d.tables.Version(), Targets: d.fleet.Version(), Evacuations: d.fleet.EvacuationsVersion()})
	a, ok := m.(proto.RoutingAnswer)
	if err != nil || !ok {
		d.log.Info("another daemon gave nothing newer", "from", from, "error", err)
		return
	}
	d.noteFleet(d.fleet.MergeInvalid(d.clock.Now(), a.InvalidEntries), string(from))
	d.takeEvacuations(a.Evacuations, string(from))
	d.learnNotices(d.clock.Now(), a.Notices, from)
	if len(a.RoutingBody) > 0 {
		d.adoptRouting(a.RoutingBody, string(from))
	}
	if !a.HasTargets {
		return
	}
	d.log.Info("targets taken from another daemon", "from", from, "version", a.Targets, "entries", len(a.TargetEntries), "whole", a.Full)
	if a.Full {
		d.takeTargets(a.Targets, a.TargetEntries, string(from), true)
		return
	}
	d.takeChanges(a.TargetEntries, string(from), true)
}
