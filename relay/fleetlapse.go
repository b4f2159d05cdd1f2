package relay

import (
	"time"

	"emberlead/proto"
)

// lapseSeen is how soon after the store's return an entry must be found gone to count as lapsed: what went while the
// store was away shows in the first answer, and one that goes later has left.
const lapseSeen = 300 * time.Millisecond

// lapseWait is how long after the store's return an entry that went while the store was away may come back.
// The platform states about two seconds; a little is added for the way to this daemon.
const lapseWait = 2300 * time.Millisecond

// StoreAway notes that the store did not answer.
func (f *Fleet) StoreAway(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.awayAt = now
}

// StoreBack notes that the store answered.
func (f *Fleet) StoreBack(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backAt.Before(f.awayAt) || f.backAt.IsZero() {
		f.backAt = now
	}
}

// mayHaveLapsed tells whether an entry that goes now may only have run out while the store was away.
func (f *Fleet) mayHaveLapsed(now time.Time) bool {
	if f.awayAt.IsZero() {
		return false
	}
	return f.backAt.Before(f.awayAt) || now.Before(f.backAt.Add(lapseSeen))
}

// Lapsed returns the ids of targets that are held to have lapsed, and the version before the first of them went. A
// daemon that was told so may have been told by one that the store had turned away.
func (f *Fleet) Lapsed(notes []FleetNote) (ids []string, before proto.Revision) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, n := range notes {
		t := f.where[n.Target.ID]
		if n.Outcome != OutcomeLapsed || t == nil {
			continue
		}
		last := proto.Revision{Era: n.Version.Era, Version: n.Version.Version - 1}
		if len(ids) == 0 || before.After(last) {
			before = last
		}
		ids = append(ids, n.Target.ID)
	}
	return ids, before
}

// Doubt notes that another daemon saw a lapsed entry go while the store was well there.
func (f *Fleet) Doubt(id string) []FleetNote {
	f.mu.Lock()
	t := f.where[id]
	var notes []FleetNote
	if t != nil {
		t.pool.mu.Lock()
		if !t.lapsedAt.IsZero() && !t.doubted {
			t.doubted = true
			notes = append(notes, FleetNote{Target: t.Spec, Outcome: outcomeDoubted, Version: t.version})
		}
		t.pool.mu.Unlock()
	}
	f.mu.Unlock()
	f.announce(notes)
	return notes
}

// Sweep removes entries that lapsed and did not come back, and notes which targets have become warm; it comes several times a second.
func (f *Fleet) Sweep(now time.Time) []FleetNote {
	f.mu.Lock()
	own := !f.mayHaveLapsed(now)
	var notes []FleetNote
	warmed := map[string]bool{}
	f.forgetLeft(now)
	f.forgetNotices(now)
	for _, t := range f.where {
		t.pool.mu.Lock()
		if k := f.signals[t.Spec.RunName()]; k != nil {
			k.listedAt = now
		}
		if !t.lapsedAt.IsZero() && (own || t.lapseTold) && now.Sub(t.lapsedAt) >= lapseWait {
			f.noteLeft(now, t, t.version)
			notes = append(notes, f.forget(t))
		}
		if t.warmed(now) {
			warmed[t.Spec.Pool] = true
		}
		t.pool.mu.Unlock()
	}
	f.mu.Unlock()
	f.announce(notes)
	for pool := range warmed {
		f.changed(pool)
	}
	return notes
}
