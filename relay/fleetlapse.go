package relay

import (
	"time"

	"emberlead/proto"
)

// lapseDetectWindow is how soon after the store is up again an entry must be missing to count as lapsed. Those that
// disappeared during the outage are missing in the first answer; one that disappears later has left.
const lapseDetectWindow = 300 * time.Millisecond

// lapseGracePeriod is how long after the store is up again an entry that disappeared during the outage may come back:
// about two seconds according to the platform, and the propagation to this daemon.
const lapseGracePeriod = 2300 * time.Millisecond

// MarkStoreDown records that the store did not answer.
func (f *Fleet) MarkStoreDown(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDownAt = now
}

// MarkStoreUp records that the store answered.
func (f *Fleet) MarkStoreUp(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeUpAt.Before(f.storeDownAt) || f.storeUpAt.IsZero() {
		f.storeUpAt = now
	}
}

// mayHaveLapsed reports whether an entry that disappears now may only have expired while the store was down.
func (f *Fleet) mayHaveLapsed(now time.Time) bool {
	if f.storeDownAt.IsZero() {
		return false
	}
	return f.storeUpAt.Before(f.storeDownAt) || now.Before(f.storeUpAt.Add(lapseDetectWindow))
}

// LapsedTargets returns the IDs of targets that count as lapsed, and the version before the first of them disappeared.
// A lapse reported by another daemon may come from one whose requests the store rejected.
func (f *Fleet) LapsedTargets(events []FleetEvent) (ids []string, before proto.Revision) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, event := range events {
		t := f.byID[event.Target.ID]
		if event.Outcome != OutcomeLapsed || t == nil {
			continue
		}
		last := proto.Revision{Era: event.Version.Era, Version: event.Version.Version - 1}
		if len(ids) == 0 || before.After(last) {
			before = last
		}
		ids = append(ids, event.Target.ID)
	}
	return ids, before
}

// MarkSuspected records that another daemon saw a lapsed entry disappear while the store was up for it.
func (f *Fleet) MarkSuspected(id string) []FleetEvent {
	f.mu.Lock()
	t := f.byID[id]
	var events []FleetEvent
	if t != nil {
		t.pool.mu.Lock()
		if !t.lapsedAt.IsZero() && !t.suspected {
			t.suspected = true
			events = append(events, FleetEvent{Target: t.Spec, Outcome: outcomeSuspected, Version: t.version})
		}
		t.pool.mu.Unlock()
	}
	f.mu.Unlock()
	f.notifyChanged(events)
	return events
}

// Sweep removes lapsed entries that did not come back, and detects targets that have become warm; it is called several times a second.
func (f *Fleet) Sweep(now time.Time) []FleetEvent {
	f.mu.Lock()
	own := !f.mayHaveLapsed(now)
	var events []FleetEvent
	warmed := map[string]bool{}
	f.forgetDepartures(now)
	f.forgetNotices(now)
	f.markListedSignals(now)
	for t := range f.watched {
		t.pool.mu.Lock()
		if !t.unlisted && !t.lapsedAt.IsZero() && (own || t.lapseFromPeer) && now.Sub(t.lapsedAt) >= lapseGracePeriod {
			f.recordDeparture(now, t, t.version)
			events = append(events, f.unlist(t))
		}
		if !t.unlisted && t.warmed(now) {
			warmed[t.Spec.Pool] = true
		}
		if t.unlisted || t.lapsedAt.IsZero() && t.coldUntil.IsZero() {
			delete(f.watched, t)
		}
		t.pool.mu.Unlock()
	}
	f.mu.Unlock()
	f.notifyChanged(events)
	for pool := range warmed {
		f.changed(pool)
	}
	return events
}

// watch makes Sweep check a target that has lapsed or is cold. Most targets are neither, and visiting all of them several times a second
// would cost a daemon more than its requests. The fleet is locked.
func (f *Fleet) watch(t *Target) {
	if !t.lapsedAt.IsZero() || !t.coldUntil.IsZero() {
		f.watched[t] = struct{}{}
	}
}
