package relay

import (
	"time"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// departedRetention is how long targets that have left are remembered: a restored copy of the store that is some
	// seconds old lists them again.
	departedRetention = time.Minute
	// restoredQuarantine is how long an entry that reappeared with a restored copy of the store, after its target left,
	// is not used. Targets rewrite what the store lost, and the entry of a dead one disappears after three missed
	// heartbeats, which is 4 s with heartbeats every 1.2 s. A target still listed after this time is alive.
	restoredQuarantine = 15 * time.Second
)

// invalidEntry is a revision of an entry that names no usable target although it parses as if it did.
type invalidEntry struct {
	version proto.Revision
	// until is when an entry that reappeared with a restored copy of the store is evaluated again; zero for never.
	until time.Time
}

// departedTarget is a run of a target that has left.
type departedTarget struct {
	startedAt time.Time
	// announced is set if the run had announced that it leaves.
	announced bool
	version   proto.Revision
	at        time.Time
}

// recordDeparture records that a target has left as of a revision.
func (f *Fleet) recordDeparture(now time.Time, t *Target, version proto.Revision) {
	f.departed[t.Spec.ID] = departedTarget{startedAt: t.Spec.StartedAt, announced: t.leaves(), version: version, at: now}
}

// removedEntry is an entry that the store no longer had as of a revision.
type removedEntry struct {
	version proto.Revision
	at      time.Time
}

func (f *Fleet) recordRemoval(now time.Time, id string, version proto.Revision) {
	f.removals[id] = removedEntry{version: proto.Latest(f.removals[id].version, version), at: now}
}

// isOutdated reports whether a change was made before the entry was removed: answers of other daemons may overtake each other. Versions of
// an earlier era of the store cannot be compared.
func (f *Fleet) isOutdated(c FleetChange) bool {
	removed, known := f.removals[c.ID]
	return known && !c.Removed && removed.version.Era == c.Version.Era && removed.version.After(c.Version)
}

func (f *Fleet) forgetDepartures(now time.Time) {
	for id, removed := range f.removals {
		if now.Sub(removed.at) > departedRetention {
			delete(f.removals, id)
		}
	}
	for id, departure := range f.departed {
		if now.Sub(departure.at) > departedRetention {
			delete(f.departed, id)
		}
	}
}

// restoredAfterDeparture reports whether an entry of an unknown target describes a run that has left, since the store
// was restored from an older copy. An entry written since then is valid, unless the run had announced that it leaves.
func (f *Fleet) restoredAfterDeparture(now time.Time, c FleetChange) bool {
	departure, known := f.departed[c.ID]
	switch {
	case !known || c.Version.Era <= departure.version.Era || c.Target.StartedAt.After(departure.startedAt):
		return false
	case f.revalidated[c.ID] == c.Version || !departure.announced && c.Version.After(f.restoredAsOf):
		delete(f.departed, c.ID)
		return false
	}
	f.quarantineRestored(now, c)
	return true
}

func (f *Fleet) quarantineRestored(now time.Time, c FleetChange) {
	f.invalid[c.ID] = invalidEntry{version: c.Version, until: now.Add(restoredQuarantine)}
}

// isInvalid reports whether a change contains an invalidated entry. A newer entry of the target is evaluated again.
func (f *Fleet) isInvalid(c FleetChange) bool {
	if c.Version.After(f.revalidated[c.ID]) {
		delete(f.revalidated, c.ID)
	}
	known, ok := f.invalid[c.ID]
	if !ok || known.version.After(c.Version) {
		return false
	}
	if c.Version.After(known.version) {
		delete(f.invalid, c.ID)
		return false
	}
	return !c.Removed
}

// pruneInvalid forgets the invalid entries that are missing in a whole list as of a revision.
func (f *Fleet) pruneInvalid(asOf proto.Revision, listed map[string]bool) {
	for id, v := range f.invalid {
		if !listed[id] && asOf.After(v.version) {
			delete(f.invalid, id)
		}
	}
}

// ExpireInvalid returns the targets whose entries reappeared with a restored copy of the store so long ago that they
// must be evaluated again.
func (f *Fleet) ExpireInvalid(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, v := range f.invalid {
		if v.until.IsZero() || now.Before(v.until) {
			continue
		}
		ids = append(ids, id)
		f.revalidated[id] = v.version
		delete(f.invalid, id)
		delete(f.departed, id)
	}
	return ids
}

// InvalidEntries returns the invalid entries that this daemon knows.
func (f *Fleet) InvalidEntries() []proto.InvalidEntry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []proto.InvalidEntry
	for id, v := range f.invalid {
		list = append(list, proto.InvalidEntry{ID: id, Version: v.version, Restored: !v.until.IsZero()})
	}
	return list
}

// InvalidDigest returns a digest of the invalid entries, equal at daemons that know the same ones; 0 if there are none.
func (f *Fleet) InvalidDigest() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	digest := uint64(0)
	for id, v := range f.invalid {
		digest ^= state.Hash(id + "@" + v.version.String())
	}
	return digest
}

// MergeInvalid merges the invalid entries that another daemon knows. Targets that use one are dropped, and the entry is
// ignored if it is read later.
func (f *Fleet) MergeInvalid(now time.Time, list []proto.InvalidEntry) []FleetEvent {
	f.mu.Lock()
	var events []FleetEvent
	for _, v := range list {
		t := f.byID[v.ID]
		if t != nil && t.version.After(v.Version) || !v.Version.After(f.invalid[v.ID].version) || f.revalidated[v.ID] == v.Version {
			continue
		}
		known := invalidEntry{version: v.Version}
		if v.Restored {
			known.until = now.Add(restoredQuarantine)
		}
		f.invalid[v.ID] = known
		if t != nil && t.version == v.Version {
			events = append(events, f.dropUnusable(now, t, FleetChange{ID: v.ID, Version: v.Version})...)
		}
	}
	f.mu.Unlock()
	f.notifyChanged(events)
	return events
}
