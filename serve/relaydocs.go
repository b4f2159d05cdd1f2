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
type documentCache struct {
	mu      sync.Mutex
	routing []byte
	// targets holds removed entries too, from since on.
	targets       map[string]proto.TargetDocument
	completeSince proto.Revision
	// gave is when a daemon that knew nothing was given all of them last.
	lastFullSend time.Time
}

// giveEvery is how often a daemon that knows nothing is given the whole list of targets; others read it from the store. At
// 3,000 targets a list takes 7 ms of a whole core to make and to send, and where all daemons start together those that
// are in the settings of all would do nothing else, and hold many lists in memory.
const fullListInterval = 50 * time.Millisecond

// givesAll tells whether a daemon that knows nothing is given all now.
func (s *documentCache) allowFullSend(now time.Time) bool {
	if now.Sub(s.lastFullSend) < fullListInterval {
		return false
	}
	s.lastFullSend = now
	return true
}

// routingChanged takes in rows of the operator's table that changed.
func (d *Relay) handleRoutingChanges(rows platform.RowSet) {
	d.applyEvacuations(d.parseEvacuations(rows), "store")
	d.applyRoutingFrom(rows)
}

// adoptRoutingOf puts the configuration among rows in force, if it is there.
func (d *Relay) applyRoutingFrom(rows platform.RowSet) {
	for i := range rows.Rows {
		if rows.Rows[i].IsRouting() && !rows.Rows[i].Removed {
			d.applyRouting(rows.Rows[i].Body, "store")
		}
	}
}

// routingWhole takes in all rows of the operator's table; zones that have none are not evacuated.
func (d *Relay) handleRoutingTable(rows platform.RowSet) bool {
	d.applyEvacuations(d.fleet.EvacuationsFromList(rows.Version, d.parseEvacuations(rows)), "store")
	d.applyRoutingFrom(rows)
	return true
}

func (d *Relay) applyRouting(body []byte, from string) {
	r, err := platform.ParseRouting(body)
	if err != nil {
		d.log.Error("a configuration cannot be read", "from", from, "error", err)
		return
	}
	oldVersion := d.tables.Version()
	if !d.tables.ReplaceIfNewer(r) {
		d.log.Debug("configuration ignored", "from", from, "version", r.Version, "inForce", oldVersion)
		return
	}
	d.documents.mu.Lock()
	if r.Version == d.tables.Version() {
		d.documents.routing = body
	}
	d.documents.mu.Unlock()
	d.log.Info("configuration in force", "from", from, "version", r.Version, "before", oldVersion, "routes", len(r.Routes), "pools", len(r.Pools), "workspaces", len(r.Workspaces))
	for name, pool := range r.Pools {
		if pool.Engine != nil {
			d.fleet.SetCacheTokens(name, pool.Engine.CacheTokens)
		}
		d.fleet.SetColdSpec(name, pool.Cold)
	}
	d.pieces.RoutingChanged()
	d.peers.members.SendHeartbeats(d.clock.Now())
	d.startWhenReady()
}

// changeOf reads one entry of the targets' table. One that cannot be read names no target, and the others hold.
func (d *Relay) fleetChange(doc proto.TargetDocument, from string) relay.FleetChange {
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

func targetDocuments(rows platform.RowSet) []proto.TargetDocument {
	docs := make([]proto.TargetDocument, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		docs = append(docs, proto.TargetDocument{ID: row.Key, Body: row.Body, Version: row.Version, Removed: row.Removed})
	}
	return docs
}

// storeSeen tells the fleet how the store is, after what its answer brought was taken in.
func (d *Relay) recordStoreState(now time.Time, answered bool) {
	if answered {
		d.fleet.MarkStoreUp(now)
		return
	}
	d.fleet.MarkStoreDown(now)
}

func (d *Relay) handleTargetTable(rows platform.RowSet) bool {
	return d.replaceTargets(rows.Version, targetDocuments(rows), "store", false)
}

// takeTargets takes in a whole list; one of another daemon is complete up to its version.
func (d *Relay) replaceTargets(asOf proto.Revision, docs []proto.TargetDocument, from string, complete bool) bool {
	var entries []relay.FleetChange
	byID := map[string]proto.TargetDocument{}
	for _, doc := range docs {
		byID[doc.ID] = doc
		if c := d.fleetChange(doc, from); !c.Removed {
			entries = append(entries, c)
		}
	}
	events, replaced := d.fleet.Replace(d.clock.Now(), asOf, entries, complete)
	if !replaced {
		d.log.Info("list of targets ignored", "from", from, "asOf", asOf, "known", d.fleet.Version())
		return false
	}
	d.documents.mu.Lock()
	d.documents.targets, d.documents.completeSince = byID, d.fleet.Version()
	d.documents.mu.Unlock()
	d.handleFleetEvents(events, from)
	d.targetsKnown.Store(true)
	d.startWhenReady()
	return true
}

func (d *Relay) handleTargetChanges(rows platform.RowSet) {
	d.applyTargetChanges(targetDocuments(rows), "store", false)
}

// takeChanges takes in entries that changed.
func (d *Relay) applyTargetChanges(docs []proto.TargetDocument, from string, fromPeer bool) {
	var changes []relay.FleetChange
	for _, doc := range docs {
		c := d.fleetChange(doc, from)
		c.FromPeer = fromPeer
		changes = append(changes, c)
	}
	events := d.fleet.ApplyChanges(d.clock.Now(), changes)
	lapsed := map[string]bool{}
	for _, event := range events {
		lapsed[event.Target.ID] = event.Outcome == relay.OutcomeLapsed
	}
	d.documents.mu.Lock()
	for _, doc := range docs {
		doc.Lapsed = doc.Removed && lapsed[doc.ID]
		if !d.documents.targets[doc.ID].Version.After(doc.Version) {
			d.documents.targets[doc.ID] = doc
		}
	}
	d.documents.mu.Unlock()
	d.handleFleetEvents(events, from)
}

func (d *Relay) handleFleetEvents(events []relay.FleetEvent, from string) {
	for _, event := range events {
		if event.Outcome == relay.OutcomeEnded {
			d.transport.CloseIdle(event.Target.Address)
		}
		if event.Crashed() {
			d.crashDetector.RecordEnd(event.Target, "its entry is gone")
		}
		d.log.Info("target "+event.Outcome, "target", event.Target.ID, "pool", event.Target.Pool, "address", event.Target.Address, "zone", event.Target.Zone, "born", formatStartTime(event.Target.StartedAt), "coldFor", event.Target.ColdRemaining.String(), "version", d.fleet.Version(), "from", from)
	}
	if len(events) > 0 {
		d.peers.members.SendHeartbeats(d.clock.Now())
	}
	if ids, beforeVersion := d.fleet.LapsedTargets(events); len(ids) > 0 {
		go d.resolveLapsed(ids, beforeVersion)
	}
}

// bornText is how the log names the start of a target's run; empty if the target does not tell it.
func formatStartTime(startedAt time.Time) string {
	if startedAt.IsZero() {
		return ""
	}
	return startedAt.UTC().Format(time.RFC3339Nano)
}

// askOfLapsed asks the neighbours how they saw entries go that are held to have lapsed: a store that failed for
// some daemons only went on serving the others, and what went then has left.
func (d *Relay) resolveLapsed(ids []string, beforeVersion proto.Revision) {
	for range lapsedQueryRounds {
		for _, vm := range d.peers.members.Links() {
			go d.askPeerAboutLapsed(vm, ids, beforeVersion)
		}
		d.sleep(context.Background(), pullDelay)
	}
}

func (d *Relay) askPeerAboutLapsed(vm proto.VM, ids []string, beforeVersion proto.Revision) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	m, err := d.peers.Call(ctx, vm, proto.RoutingAsk{Routing: d.tables.Version(), Targets: beforeVersion, Evacuations: d.fleet.EvacuationsVersion()})
	a, ok := m.(proto.RoutingAnswer)
	if err != nil || !ok {
		d.log.Info("a neighbour did not say how lapsed targets went", "from", vm, "error", err)
		return
	}
	for _, doc := range a.TargetEntries {
		if doc.Removed && !doc.Lapsed && slices.Contains(ids, doc.ID) {
			d.handleFleetEvents(d.fleet.MarkSuspected(doc.ID), string(vm))
		}
	}
}

// answerAsk gives another daemon what it lacks: what changed since, or the whole list if that is not known.
func (d *Relay) answerRoutingAsk(ask proto.RoutingAsk) proto.RoutingAnswer {
	d.documents.mu.Lock()
	defer d.documents.mu.Unlock()
	a := proto.RoutingAnswer{Routing: d.tables.Version(), Targets: d.fleet.Version(), InvalidEntries: d.fleet.InvalidEntries(), Notices: d.fleet.Notices()}
	if d.fleet.EvacuationsVersion().After(ask.Evacuations) {
		a.Evacuations = d.fleet.Evacuations()
	}
	if ask == (proto.RoutingAsk{}) && !d.documents.allowFullSend(d.clock.Now()) {
		return a
	}
	if a.Routing > ask.Routing {
		a.RoutingBody = d.documents.routing
	}
	if !a.Targets.After(ask.Targets) {
		return a
	}
	a.HasTargets, a.Full = true, d.documents.completeSince.After(ask.Targets)
	for _, doc := range d.documents.targets {
		if a.Full && !doc.Removed || !a.Full && doc.Version.After(ask.Targets) {
			a.TargetEntries = append(a.TargetEntries, doc)
		}
	}
	return a
}

// pull asks another daemon for what it has newer, one at a time, since a list may be large and a link small.
func (d *Relay) pullFrom(from proto.VM) {
	if !d.pulling.CompareAndSwap(false, true) {
		return
	}
	defer d.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	m, err := d.peers.Call(ctx, from, proto.RoutingAsk{Routing: d.tables.Version(), Targets: d.fleet.Version(), Evacuations: d.fleet.EvacuationsVersion()})
	a, ok := m.(proto.RoutingAnswer)
	if err != nil || !ok {
		d.log.Info("another daemon gave nothing newer", "from", from, "error", err)
		return
	}
	d.handleFleetEvents(d.fleet.MergeInvalid(d.clock.Now(), a.InvalidEntries), string(from))
	d.applyEvacuations(a.Evacuations, string(from))
	d.mergeNotices(d.clock.Now(), a.Notices, from)
	if len(a.RoutingBody) > 0 {
		d.applyRouting(a.RoutingBody, string(from))
	}
	if !a.HasTargets {
		return
	}
	d.log.Info("targets taken from another daemon", "from", from, "version", a.Targets, "entries", len(a.TargetEntries), "whole", a.Full)
	if a.Full {
		d.replaceTargets(a.Targets, a.TargetEntries, string(from), true)
		return
	}
	d.applyTargetChanges(a.TargetEntries, string(from), true)
}
