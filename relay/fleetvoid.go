package relay

import (
	"emberlead/proto"
	"emberlead/state"
)

// isVoid tells whether a change brings a void entry. A newer entry of the target is judged anew.
func (f *Fleet) isVoid(c FleetChange) bool {
	known, ok := f.void[c.ID]
	if !ok || known.After(c.Version) {
		return false
	}
	if c.Version.After(known) {
		delete(f.void, c.ID)
		return false
	}
	return !c.Removed
}

// dropVoid forgets the void entries that a whole list as of a revision lacks.
func (f *Fleet) dropVoid(asOf proto.Revision, listed map[string]bool) {
	for id, version := range f.void {
		if !listed[id] && asOf.After(version) {
			delete(f.void, id)
		}
	}
}

// Void returns the void entries that this daemon knows of.
func (f *Fleet) Void() []proto.VoidEntry {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []proto.VoidEntry
	for id, version := range f.void {
		list = append(list, proto.VoidEntry{ID: id, Version: version})
	}
	return list
}

// VoidDigest returns a digest of the void entries, which is the same at daemons that know the same ones; 0 if none.
func (f *Fleet) VoidDigest() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	digest := uint64(0)
	for id, version := range f.void {
		digest ^= state.Hash(id + "@" + version.String())
	}
	return digest
}

// LearnVoid takes in void entries that another daemon knows of: a target that is known by one is not used any more, and
// one that is read later never is.
func (f *Fleet) LearnVoid(list []proto.VoidEntry) []FleetNote {
	f.mu.Lock()
	var notes []FleetNote
	for _, v := range list {
		t := f.where[v.ID]
		if t != nil && t.version.After(v.Version) || !v.Version.After(f.void[v.ID]) {
			continue
		}
		f.void[v.ID] = v.Version
		if t != nil && t.version == v.Version {
			notes = append(notes, f.dropUnusable(t, FleetChange{ID: v.ID, Version: v.Version})...)
		}
	}
	f.mu.Unlock()
	f.announce(notes)
	return notes
}
