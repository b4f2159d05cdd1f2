package serve

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
)

// documentCache keeps the targets in force in the platform's format, for daemons that the store does not answer.
type documentCache struct {
	// mu is held while both the fleet and the documents change, so that a version of the fleet has its documents.
	mu sync.Mutex
	// targets also holds entries that were removed after completeSince.
	targets map[string]proto.TargetDocument
	// targetLog orders targets by version.
	targetLog     documentLog
	completeSince proto.Revision
	// lastFullSend is when a daemon without any state was last sent everything.
	lastFullSend time.Time
}

// fullListInterval is how often a daemon without any state is sent the whole list of targets; the others read it from
// the store. At 3,000 targets, building and sending a list takes a whole core for 7 ms. Where all daemons start
// together, the ones in everyone's settings would do nothing else, and hold many lists in memory.
const fullListInterval = 50 * time.Millisecond

// allowFullSend reports whether a daemon without any state may be sent everything now.
func (s *documentCache) allowFullSend(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastFullSend) < fullListInterval {
		return false
	}
	s.lastFullSend = now
	return true
}

// handleRoutingChanges applies rows of the operator's table that changed.
func (d *Relay) handleRoutingChanges(rows platform.RowSet) {
	d.applyEvacuations(d.parseEvacuations(rows), "store")
	d.applyRoutingFrom(rows)
}

// applyRoutingFrom applies the configuration among the rows, if there is one.
func (d *Relay) applyRoutingFrom(rows platform.RowSet) {
	for i := range rows.Rows {
		if rows.Rows[i].IsRouting() && !rows.Rows[i].Removed {
			d.applyRouting(rows.Rows[i].Body, fromStore, 0)
		}
	}
}

// handleRoutingTable applies all rows of the operator's table; zones without a row are not evacuated.
func (d *Relay) handleRoutingTable(rows platform.RowSet) bool {
	d.applyEvacuations(d.fleet.EvacuationsFromList(rows.Version, d.parseEvacuations(rows)), "store")
	d.applyRoutingFrom(rows)
	return true
}

// applyRouting puts a configuration in force if it is newer; age is how long ago a daemon first got it from the store.
func (d *Relay) applyRouting(body []byte, from string, age time.Duration) {
	r, err := d.routingParser.Parse(body)
	if err != nil {
		d.log.Error("cannot parse a configuration", "from", from, "error", err)
		return
	}
	oldVersion := d.tables.Version()
	// Other daemons ask for the document as soon as they hear of its version.
	d.routingDocument.set(r.Version, body)
	if !d.tables.ReplaceIfNewer(r) {
		d.log.Debug("ignoring a configuration that is not newer", "from", from, "version", r.Version, "inForce", oldVersion)
		return
	}
	how := d.versionLag.adopted(d.clock.Now(), r.Version, from, len(body), age)
	d.log.Info("configuration in force", "from", from, "version", r.Version, "before", oldVersion, "routes", len(r.Routes), "pools", len(r.Pools), "workspaces", len(r.Workspaces),
		"bytes", how.Bytes, "asked", how.Asked, "failed", how.Failed, "behindMs", how.Behind, "storeAgeMs", how.StoreAge)
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

// fleetChange decodes one entry of the targets' table. An entry that cannot be decoded is marked as unusable, and the
// others are still applied.
func (d *Relay) fleetChange(doc proto.TargetDocument, from string) relay.FleetChange {
	change := relay.FleetChange{ID: doc.ID, Version: doc.Version, Removed: doc.Removed, Lapsed: doc.Lapsed}
	if doc.Removed {
		return change
	}
	target, err := platform.ParseTarget(doc.ID, doc.Body)
	if err != nil {
		d.log.Warn("an entry names no target", "target", doc.ID, "version", doc.Version, "bytes", len(doc.Body), "from", from, "error", err)
		change.Unusable = true
		return change
	}
	target.Region = d.settings.ZoneRegions[target.Zone]
	change.Target = target
	return change
}

func targetDocuments(rows platform.RowSet) []proto.TargetDocument {
	docs := make([]proto.TargetDocument, 0, len(rows.Rows))
	for _, row := range rows.Rows {
		docs = append(docs, proto.TargetDocument{ID: row.Key, Body: row.Body, Version: row.Version, Removed: row.Removed})
	}
	return docs
}

// recordStoreState tells the fleet whether the store answered, after the contents of its answer were applied.
func (d *Relay) recordStoreState(now time.Time, answered bool) {
	if answered {
		d.fleet.MarkStoreUp(now)
		return
	}
	d.fleet.MarkStoreDown(now)
}

func (d *Relay) handleTargetTable(rows platform.RowSet) bool {
	return d.replaceTargets(rows.Version, targetDocuments(rows), "store", false, proto.Revision{})
}

// adoptTargets applies the whole list of targets that another daemon sent.
func (d *Relay) adoptTargets(answer *proto.RoutingAnswer, from string) {
	d.replaceTargets(answer.Targets, answer.TargetEntries, from, true, answer.CompleteSince)
}

// replaceTargets applies a whole list of targets; one that another daemon sent is complete up to its version. The list has the removed
// entries after completeSince, or none if that is zero.
func (d *Relay) replaceTargets(asOf proto.Revision, docs []proto.TargetDocument, from string, complete bool, completeSince proto.Revision) bool {
	var entries []relay.FleetChange
	byID := map[string]proto.TargetDocument{}
	for _, doc := range docs {
		byID[doc.ID] = doc
		if change := d.fleetChange(doc, from); !change.Removed {
			entries = append(entries, change)
		}
	}
	events, replaced := d.replaceFleet(asOf, entries, complete, byID, completeSince)
	if !replaced {
		d.log.Info("ignoring an outdated list of targets", "from", from, "asOf", asOf, "known", d.fleet.Version())
		return false
	}
	d.handleFleetEvents(events, from)
	d.targetsKnown.Store(true)
	d.startWhenReady()
	return true
}

// replaceFleet replaces the targets in use and their documents.
func (d *Relay) replaceFleet(asOf proto.Revision, entries []relay.FleetChange, complete bool, byID map[string]proto.TargetDocument, completeSince proto.Revision) ([]relay.FleetEvent, bool) {
	d.documents.mu.Lock()
	defer d.documents.mu.Unlock()
	events, replaced := d.fleet.Replace(d.clock.Now(), asOf, entries, complete)
	if !replaced {
		return nil, false
	}
	d.documents.targets, d.documents.completeSince = byID, d.fleet.Version()
	if !completeSince.IsZero() {
		d.documents.completeSince = completeSince
	}
	d.documents.targetLog.rebuild(byID)
	return events, true
}

func (d *Relay) handleTargetChanges(rows platform.RowSet) {
	d.applyTargetChanges(targetDocuments(rows), "store", false)
}

// applyTargetChanges applies entries that changed.
func (d *Relay) applyTargetChanges(docs []proto.TargetDocument, from string, fromPeer bool) {
	var changes []relay.FleetChange
	for _, doc := range docs {
		change := d.fleetChange(doc, from)
		change.FromPeer = fromPeer
		changes = append(changes, change)
	}
	d.handleFleetEvents(d.changeFleet(changes, docs), from)
}

// changeFleet applies changes to the targets in use and to their documents.
func (d *Relay) changeFleet(changes []relay.FleetChange, docs []proto.TargetDocument) []relay.FleetEvent {
	d.documents.mu.Lock()
	defer d.documents.mu.Unlock()
	events := d.fleet.ApplyChanges(d.clock.Now(), changes)
	lapsed := map[string]bool{}
	for _, event := range events {
		lapsed[event.Target.ID] = event.Outcome == relay.OutcomeLapsed
	}
	for _, doc := range docs {
		doc.Lapsed = doc.Removed && lapsed[doc.ID]
		known, exists := d.documents.targets[doc.ID]
		if known.Version.After(doc.Version) {
			continue
		}
		d.documents.targets[doc.ID] = doc
		if !exists || known.Version != doc.Version {
			d.documents.targetLog.add(doc)
		}
	}
	d.documents.targetLog.compact(d.documents.targets)
	return events
}

func (d *Relay) handleFleetEvents(events []relay.FleetEvent, from string) {
	for _, event := range events {
		if event.Outcome == relay.OutcomeEnded {
			d.transport.CloseIdle(event.Target.Address)
		}
		if event.Crashed() {
			d.crashDetector.RecordEnd(event.Target, "its entry is gone")
		}
	}
	d.logFleetEvents(events, from)
	if len(events) > 0 {
		d.peers.members.SendHeartbeats(d.clock.Now())
	}
	if ids, beforeVersion := d.fleet.LapsedTargets(events); len(ids) > 0 {
		go d.resolveLapsed(ids, beforeVersion)
	}
}

// Targets are logged one by one as long as few change. A daemon that starts would otherwise log a line for each target of the fleet, and
// lines for single targets are those that explain a request.
const (
	eventLinesPerSecond = 8
	maxEventLines       = 64
)

func newEventLimiter() *rate.Limiter { return rate.NewLimiter(eventLinesPerSecond, maxEventLines) }

// fleetEventGroup identifies the targets of a pool to which the same happened.
type fleetEventGroup struct{ pool, outcome string }

// logFleetEvents logs a line for each target, or one for each group of targets if there are too many.
func (d *Relay) logFleetEvents(events []relay.FleetEvent, from string) {
	if len(events) == 0 {
		return
	}
	version := d.fleet.Version()
	if d.eventLimiter.AllowN(d.clock.Now(), len(events)) {
		for _, event := range events {
			d.log.Info("target "+event.Outcome, "target", event.Target.ID, "pool", event.Target.Pool, "address", event.Target.Address, "zone", event.Target.Zone, "born", formatStartTime(event.Target.StartedAt), "coldFor", event.Target.ColdRemaining.String(), "version", version, "from", from)
		}
		return
	}
	counts := map[fleetEventGroup]int{}
	for _, event := range events {
		counts[fleetEventGroup{event.Target.Pool, event.Outcome}]++
	}
	for group, count := range counts {
		d.log.Info("targets "+group.outcome, "pool", group.pool, "targets", count, "version", version, "from", from)
	}
}

// formatStartTime formats the start time of a target's run for the log; empty if the target does not report it.
func formatStartTime(startedAt time.Time) string {
	if startedAt.IsZero() {
		return ""
	}
	return startedAt.UTC().Format(time.RFC3339Nano)
}

// resolveLapsed asks the linked daemons how entries were removed that are considered lapsed. A store that failed for
// some daemons only continued to serve the others, and a target that was removed meanwhile has left.
func (d *Relay) resolveLapsed(ids []string, beforeVersion proto.Revision) {
	for range lapsedQueryRounds {
		for _, vm := range d.peers.members.Links() {
			go d.askPeerAboutLapsed(vm, ids, beforeVersion)
		}
		d.sleep(context.Background(), pullDelay)
	}
}

func (d *Relay) askPeerAboutLapsed(vm proto.VM, ids []string, beforeVersion proto.Revision) {
	ctx, _, cancel := proto.WithProgress(context.Background(), pullTimeout)
	defer cancel()
	// Only targets are asked for, and no configuration is newer than the one that is named.
	m, err := d.peers.Call(ctx, vm, proto.RoutingAsk{Routing: math.MaxUint64, Targets: beforeVersion, Evacuations: d.fleet.EvacuationsVersion()})
	answer, ok := m.(proto.RoutingAnswer)
	if err != nil || !ok {
		d.log.Info("a linked daemon did not answer how lapsed targets were removed", "from", vm, "error", err)
		return
	}
	for _, doc := range answer.TargetEntries {
		if doc.Removed && !doc.Lapsed && slices.Contains(ids, doc.ID) {
			d.handleFleetEvents(d.fleet.MarkSuspected(doc.ID), string(vm))
		}
	}
}

// answerRoutingAsk returns to another daemon what it lacks: the changes since its version, or the whole list if they are not known.
func (d *Relay) answerRoutingAsk(ask proto.RoutingAsk) proto.RoutingAnswer {
	answer := proto.RoutingAnswer{
		Routing: d.tables.Version(), Targets: d.fleet.Version(), InvalidEntries: d.fleet.InvalidEntries(), Notices: d.fleet.Notices(),
		RoutingAge: d.versionLag.storeAge(d.clock.Now()),
	}
	if d.fleet.EvacuationsVersion().After(ask.Evacuations) {
		answer.Evacuations = d.fleet.Evacuations()
	}
	if ask.Targets.IsZero() && !d.documents.allowFullSend(d.clock.Now()) {
		return answer
	}
	if answer.Routing > ask.Routing {
		d.addRouting(&answer, ask)
	}
	if answer.Targets.After(ask.Targets) {
		d.addTargets(&answer, ask.Targets)
	}
	return answer
}

// addTargets adds the entries that changed after a version to an answer, or all of them if the changes are not known.
func (d *Relay) addTargets(answer *proto.RoutingAnswer, after proto.Revision) {
	s := &d.documents
	s.mu.Lock()
	defer s.mu.Unlock()
	answer.Targets = d.fleet.Version()
	answer.HasTargets, answer.Full = true, s.completeSince.After(after)
	if !answer.Full {
		answer.TargetEntries = s.targetLog.after(after, s.targets)
		return
	}
	answer.CompleteSince = s.completeSince
	answer.TargetEntries = slices.Collect(maps.Values(s.targets))
}
