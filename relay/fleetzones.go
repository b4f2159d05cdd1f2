package relay

import (
	"maps"
	"slices"
	"time"

	"emberlead/proto"
)

// isEvacuated tells whether a zone is to get nothing more; the fleet is locked.
func (f *Fleet) isEvacuated(zone string) bool {
	e, ok := f.evacuations[zone]
	return ok && !e.Over
}

// Evacuate takes in evacuations and ends of them, of which the newest of a zone holds, and returns those that changed whether a
// zone gets new work. Work in progress goes on.
func (f *Fleet) Evacuate(now time.Time, list []proto.Evacuation) []proto.Evacuation {
	f.mu.Lock()
	var changed []proto.Evacuation
	pools := map[string]bool{}
	for _, e := range list {
		if known, ok := f.evacuations[e.Zone]; ok && !e.Version.After(known.Version) {
			continue
		}
		before := f.isEvacuated(e.Zone)
		f.evacuations[e.Zone] = e
		f.evacuatedAt = proto.Latest(f.evacuatedAt, e.Version)
		if before == e.Over {
			changed = append(changed, e)
			f.markZone(now, e, pools)
		}
	}
	f.mu.Unlock()
	for pool := range pools {
		f.changed(pool)
	}
	return changed
}

// markZone opens or closes the targets of a zone, and notes their pools. Those that come back count as cold: they may have
// lost what they kept, and would draw all work at once since they have none.
func (f *Fleet) markZone(now time.Time, e proto.Evacuation, pools map[string]bool) {
	for _, t := range f.where {
		t.pool.mu.Lock()
		if t.Spec.Zone == e.Zone {
			t.evacuated = !e.Over
			if e.Over {
				t.warmsIn(now, t.pool.cold.For)
			}
			pools[t.Spec.Pool] = true
		}
		t.pool.mu.Unlock()
	}
}

// EvacuationsMissing returns the ends of the evacuations that are known here and of which a whole list, as of a revision of
// the store, has none.
func (f *Fleet) EvacuationsMissing(asOf proto.Revision, list []proto.Evacuation) []proto.Evacuation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var ends []proto.Evacuation
	for zone, known := range f.evacuations {
		if known.Over || slices.ContainsFunc(list, func(e proto.Evacuation) bool { return e.Zone == zone }) {
			continue
		}
		ends = append(ends, proto.Evacuation{Zone: zone, Version: asOf, Over: true})
	}
	return ends
}

// Evacuations returns what is known of each zone that ever was evacuated.
func (f *Fleet) Evacuations() []proto.Evacuation {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Collect(maps.Values(f.evacuations))
}

// EvacuationsVersion returns the store's revision of the newest evacuation, or end of one, that is known.
func (f *Fleet) EvacuationsVersion() proto.Revision {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.evacuatedAt
}

// Evacuated returns the zones that get no new work, in order of name.
func (f *Fleet) Evacuated() []string {
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

// InZone returns the number of targets that a zone has.
func (f *Fleet) InZone(zone string) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, t := range f.where {
		t.pool.mu.Lock()
		if t.Spec.Zone == zone {
			count++
		}
		t.pool.mu.Unlock()
	}
	return count
}
