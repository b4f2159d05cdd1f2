package relay

import (
	"maps"
	"slices"
	"time"

	"emberlead/proto"
)

// evacuationRewriteWait is how long an evacuation that a restored store lacks stays in force. The operator rewrites
// what the store lost, evacuations too. If this one was revoked meanwhile, the zone is out of service that long.
const evacuationRewriteWait = 10 * time.Second

// isEvacuated reports whether a zone must not get new work; the fleet is locked.
func (f *Fleet) isEvacuated(zone string) bool {
	e, ok := f.evacuations[zone]
	return ok && !e.Ended
}

// ApplyEvacuations applies starts and ends of evacuations, of which the newest of each zone wins, and returns those
// that changed whether a zone gets new work. Work in progress continues.
func (f *Fleet) ApplyEvacuations(now time.Time, list []proto.Evacuation) []proto.Evacuation {
	f.mu.Lock()
	var changed []proto.Evacuation
	pools := map[string]bool{}
	for _, e := range list {
		if known, ok := f.evacuations[e.Zone]; ok && !supersedes(e, known) {
			continue
		}
		before := f.isEvacuated(e.Zone)
		f.recordEvacuation(now, e)
		f.evacuationsVersion = proto.Latest(f.evacuationsVersion, e.Version)
		if before == e.Ended {
			changed = append(changed, e)
			f.markZoneTargets(now, e, pools)
		}
	}
	f.mu.Unlock()
	for pool := range pools {
		f.changed(pool)
	}
	return changed
}

// supersedes reports whether e replaces the known state of a zone. At the same revision the end of an evacuation wins,
// since it is detected last.
func supersedes(e, known proto.Evacuation) bool {
	return e.Version.After(known.Version) || e.Version == known.Version && e.Ended && !known.Ended
}

// recordEvacuation stores the new state of a zone.
func (f *Fleet) recordEvacuation(now time.Time, e proto.Evacuation) {
	delete(f.heldSince, e.Zone)
	switch {
	case e.LostInRestore:
		f.heldSince[e.Zone] = now
	case !e.Ended:
		f.evacuationRowVersions[e.Zone] = e.Version.Version
	}
	f.evacuations[e.Zone] = e
}

// markZoneTargets opens or closes the targets of a zone and adds their pools to pools. Reopened ones count as cold:
// they may have lost their caches, and would attract all work at once since they have no load.
func (f *Fleet) markZoneTargets(now time.Time, e proto.Evacuation, pools map[string]bool) {
	for _, t := range f.byID {
		t.pool.mu.Lock()
		if t.Spec.Zone == e.Zone {
			t.evacuated = !e.Ended
			if e.Ended {
				t.setWarmUp(now, t.pool.coldSpec.WarmUpTime)
				f.watch(t)
			}
			pools[t.Spec.Pool] = true
		}
		t.pool.mu.Unlock()
	}
}

// EvacuationsFromList derives the state of each zone from a whole list of evacuations as of a store revision: listed
// zones are evacuated, others are not. A store that was restored from a copy lacks the operator's later changes. An
// evacuation that it lacks stays in force until the operator has had time to request it again; one that had ended stays
// ended if the restored row is the old one.
func (f *Fleet) EvacuationsFromList(asOf proto.Revision, list []proto.Evacuation) []proto.Evacuation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var all []proto.Evacuation
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.Zone] = true
		known := f.evacuations[e.Zone]
		if known.Ended && asOf.Era > known.Version.Era && e.Version.Version == f.evacuationRowVersions[e.Zone] {
			e = proto.Evacuation{Zone: e.Zone, Version: asOf, Ended: true}
		}
		all = append(all, e)
	}
	for zone, known := range f.evacuations {
		if listed[zone] || known.Ended {
			continue
		}
		restored := asOf.Era > known.Version.Era
		if restored || !known.LostInRestore {
			all = append(all, proto.Evacuation{Zone: zone, Version: asOf, Ended: !restored, LostInRestore: restored})
		}
	}
	return all
}

// ExpiredEvacuations returns the ends of the evacuations that a restored store lacks and that the operator has not
// requested again in time.
func (f *Fleet) ExpiredEvacuations(now time.Time) []proto.Evacuation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ends []proto.Evacuation
	for zone, since := range f.heldSince {
		if now.Sub(since) >= evacuationRewriteWait {
			ends = append(ends, proto.Evacuation{Zone: zone, Version: f.evacuations[zone].Version, Ended: true})
		}
	}
	return ends
}

// Evacuations returns the state of each zone that was ever evacuated.
func (f *Fleet) Evacuations() []proto.Evacuation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Collect(maps.Values(f.evacuations))
}

// EvacuationsVersion returns the store revision of the newest known start or end of an evacuation.
func (f *Fleet) EvacuationsVersion() proto.Revision {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.evacuationsVersion
}

// EvacuatedZones returns the zones that get no new work, sorted by name.
func (f *Fleet) EvacuatedZones() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var zones []string
	for zone := range f.evacuations {
		if f.isEvacuated(zone) {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// CountInZone returns the number of targets in a zone.
func (f *Fleet) CountInZone(zone string) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, t := range f.byID {
		t.pool.mu.Lock()
		if t.Spec.Zone == zone {
			count++
		}
		t.pool.mu.Unlock()
	}
	return count
}
