package relay

import (
	"time"

	"emberlead/proto"
	"emberlead/state"
)

const (
	// leftKept is how long targets that have left are remembered: a copy of the store that is some seconds old shows them again.
	leftKept = time.Minute
	// restoredDoubt is how long an entry that came back with a copy of the store, after its target had left, is not used. Targets write
	// again what the store has lost, and the entry of one that is gone goes after three missed heartbeats, which are 4 s where they
	// come each 1.2 s; one that is still listed after this time is there after all.
	restoredDoubt = 15 * time.Second
)

// voidEntry is a revision of an entry that names no target to use although it reads as if it did.
type voidEntry struct {
	version proto.Revision
	// until is when an entry that came back with a copy of the store is judged anew; zero if it never is.
	until time.Time
}

// leftTarget is a run of a target that has left.
type leftTarget struct {
	born time.Time
	// said tells that it had said that it leaves.
	said    bool
	version proto.Revision
	at      time.Time
}

// noteLeft remembers a target that has left as of a revision.
func (f *Fleet) noteLeft(now time.Time, t *Target, version proto.Revision) {
	f.left[t.Spec.ID] = leftTarget{born: t.Spec.StartedAt, said: t.leaves(), version: version, at: now}
}

func (f *Fleet) forgetLeft(now time.Time) {
	for id, l := range f.left {
		if now.Sub(l.at) > leftKept {
			delete(f.left, id)
		}
	}
}

// isLeftOver tells whether an entry of a target that is not known shows a run that has left, since the store was restored from a copy of
// before that. An entry that was written since is right, unless the run had said that it leaves.
func (f *Fleet) isLeftOver(now time.Time, c FleetChange) bool {
	l, known := f.left[c.ID]
	switch {
	case !known || c.Version.Era <= l.version.Era || c.Target.StartedAt.After(l.born):
		return false
	case f.judged[c.ID] == c.Version || !l.said && c.Version.After(f.copied):
		delete(f.left, c.ID)
		return false
	}
	f.voidRestored(now, c)
	return true
}

func (f *Fleet) voidRestored(now time.Time, c FleetChange) {
	f.void[c.ID] = voidEntry{version: c.Version, until: now.Add(restoredDoubt)}
}

// isVoid tells whether a change brings a void entry. A newer entry of the target is judged anew.
func (f *Fleet) isVoid(c FleetChange) bool {
	if c.Version.After(f.judged[c.ID]) {
		delete(f.judged, c.ID)
	}
	known, ok := f.void[c.ID]
	if !ok || known.version.After(c.Version) {
		return false
	}
	if c.Version.After(known.version) {
		delete(f.void, c.ID)
		return false
	}
	return !c.Removed
}

// dropVoid forgets the void entries that a whole list as of a revision lacks.
func (f *Fleet) dropVoid(asOf proto.Revision, listed map[string]bool) {
	for id, v := range f.void {
		if !listed[id] && asOf.After(v.version) {
			delete(f.void, id)
		}
	}
}

// ExpireInvalid returns the targets whose entries came back with a copy of the store so long ago that they are to be judged anew.
func (f *Fleet) ExpireInvalid(now time.Time) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, v := range f.void {
		if v.until.IsZero() || now.Before(v.until) {
			continue
		}
		ids = append(ids, id)
		f.judged[id] = v.version
		delete(f.void, id)
		delete(f.left, id)
	}
	return ids
}

// InvalidEntries returns the void entries that this daemon knows of.
func (f *Fleet) InvalidEntries() []proto.InvalidEntry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []proto.InvalidEntry
	for id, v := range f.void {
		list = append(list, proto.InvalidEntry{ID: id, Version: v.version, Restored: !v.until.IsZero()})
	}
	return list
}

// InvalidDigest returns a digest of the void entries, which is the same at daemons that know the same ones; 0 if none.
func (f *Fleet) InvalidDigest() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	digest := uint64(0)
	for id, v := range f.void {
		digest ^= state.Hash(id + "@" + v.version.String())
	}
	return digest
}

// MergeInvalid takes in void entries that another daemon knows of: a target that is known by one is not used any more, and
// one that is read later never is.
func (f *Fleet) MergeInvalid(now time.Time, list []proto.InvalidEntry) []FleetEvent {
	f.mu.Lock()
	var notes []FleetEvent
	for _, v := range list {
		t := f.byID[v.ID]
		if t != nil && t.version.After(v.Version) || !v.Version.After(f.void[v.ID].version) || f.judged[v.ID] == v.Version {
			continue
		}
		known := voidEntry{version: v.Version}
		if v.Restored {
			known.until = now.Add(restoredDoubt)
		}
		f.void[v.ID] = known
		if t != nil && t.version == v.Version {
			notes = append(notes, f.dropUnusable(now, t, FleetChange{ID: v.ID, Version: v.Version})...)
		}
	}
	f.mu.Unlock()
	f.announce(notes)
	return notes
}
