package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// Target is a target of a pool together with this daemon's state of it.
type Target struct {
	Spec proto.RelayTarget

	pool *targetPool
	// idHash is the hash of the target's ID.
	idHash uint64
	health health
	// active counts this daemon's attempts in progress.
	active int
	// unreadTokens is the sum of prompt tokens of attempts without a response yet, and unreadPrompts holds these prompts.
	unreadTokens  int
	unreadPrompts []unreadPrompt
	cache         promptCache
	// pauseWeight is the cost of a pause of one millisecond, summed over all streams in progress.
	pauseWeight float64
	// otherLoad is the number of attempts by other daemons as of the latest response.
	otherLoad   float64
	otherLoadAt time.Time
	// slowdown is the ratio of the time attempts take to the expected time.
	slowdown float64
	// lapsedAt is when the entry disappeared while the store was down; zero if the target is listed.
	lapsedAt      time.Time
	lapseFromPeer bool
	// suspected is set if another daemon, which reached the store throughout, saw the entry of a lapsed target
	// disappear: it has more likely left than lapsed, and only gets work if its pool has no other target.
	suspected bool
	// version is the store revision of the entry's latest change.
	version  proto.Revision
	unlisted bool
	// runCtx is canceled by cancelRun once a newer run of the target is known.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// longPrompts is set on engines that serve the routes with long prompts.
	longPrompts bool
	// evacuated is set if the target's zone must not get new work.
	evacuated bool
	// coldUntil is when the target is warm; zero if it is warm already.
	coldUntil time.Time
	// notice holds what the target's run has reported in its responses.
	notice proto.TargetNotice
	// backoffUntil is the time before which the target accepts no requests from this daemon.
	backoffUntil time.Time
	// brittle is set if the latest response says so, which arrived at brittleAt.
	brittle   bool
	brittleAt time.Time
	// fullUntil is until when a brittle target gets nothing, since it rejected a request of this daemon or one that this daemon placed.
	fullUntil time.Time
	// sending is the number of active attempts that this daemon sends, without those that it placed for others.
	sending int
	// unreachedUntil is until when this daemon prefers other targets, since its link to this one may have failed.
	unreachedUntil time.Time
	// recentPicks holds when the target was picked within the last second, in pools whose targets may be cold.
	recentPicks []time.Time
}

// leaves reports whether the target has announced that it leaves, in its entry or in a response.
func (t *Target) leaves() bool { return t.Spec.Leaving || t.notice.Leaving }

// unreached reports whether this daemon could not reach the target a moment ago.
func (t *Target) unreached(now time.Time) bool { return now.Before(t.unreachedUntil) }

// full reports whether a brittle target rejected a request a moment ago.
func (t *Target) full(now time.Time) bool { return now.Before(t.fullUntil) }

// closed reports whether the target must not get new work, regardless of its health.
func (t *Target) closed() bool { return t.leaves() || t.evacuated }

type targetPool struct {
	mu      sync.Mutex
	targets map[string]*Target
	list    []*Target
	// listStale is set if list no longer matches targets.
	listStale bool
	// listVersion counts the rebuilds of list, and sortedVersion is that of sortedByHash.
	listVersion, sortedVersion uint64
	sortedByHash               []*Target
	// layout divides the targets of listVersion layoutVersion into shards.
	layout        *shardLayout
	layoutVersion uint64
	// groups divides the engines of listVersion groupsVersion into groups, and groupLists holds the engines of each.
	groups        *shardLayout
	groupsVersion uint64
	groupLists    map[int][]*Target
	prompts       map[string]*promptStats
	rotation      int
	dividedAt     time.Time
	allPrompts    promptStats
	model         engineModel
	slowdowns     []float64
	// tokenCost and streamCost are the milliseconds that a prompt token and a concurrent stream add to the time to the
	// first event, as of the latest pick.
	tokenCost, streamCost float64
	zones                 ZoneCosts
	// recentReadTokens is the decaying sum of the prompt tokens that engines have read.
	recentReadTokens state.DecayingSum
	// cacheTokens is the number of tokens that an engine of the pool caches; 0 if unknown.
	cacheTokens int
	// coldSpec describes how targets warm up, and coldLimit is the number of requests per second that a cold target may
	// get from all daemons.
	coldSpec  proto.ColdSpec
	coldLimit int
	// mayHaveLimits is set if a target may have reported a limit.
	mayHaveLimits bool
	// brittleAt is when a target of the pool last said that it is brittle.
	brittleAt time.Time
	// lastColdUntil is when the last known cold target becomes warm.
	lastColdUntil time.Time
}

// lock locks the pool and rebuilds its list if stale, so that many changes cost one rebuild.
func (p *targetPool) lock() {
	p.mu.Lock()
	if p.listStale {
		p.listStale = false
		p.rebuildList()
	}
}

func (p *targetPool) rebuildList() {
	p.listVersion++
	p.list = p.list[:0]
	for _, t := range p.targets {
		p.list = append(p.list, t)
	}
	slices.SortFunc(p.list, func(a, b *Target) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
}

// Fleet holds all targets by pool. Each pool has its own lock.
type Fleet struct {
	mu    sync.RWMutex
	pools map[string]*targetPool
	byID  map[string]*Target
	// storeDownAt is when the store was last found unavailable, and storeUpAt when it first answered after that.
	storeDownAt, storeUpAt time.Time
	// version is the revision of the newest change of any entry, equal at daemons with the same knowledge.
	version proto.Revision
	changed func(pool string)
	zones   ZoneCosts
	// invalid holds the revisions of entries that name no usable target although they parse as if they did, and
	// revalidated those that reappeared with a restored copy of the store and count again, since their entries stayed.
	invalid     map[string]invalidEntry
	revalidated map[string]proto.Revision
	// departed holds the targets that left recently, and restoredAsOf is the revision of the first list read in the store's era.
	departed     map[string]departedTarget
	restoredAsOf proto.Revision
	// removals holds the entries that were removed recently.
	removals map[string]removedEntry
	// evacuations holds the zones that are or were evacuated, and evacuationsVersion is the revision of the newest change.
	evacuations        map[string]proto.Evacuation
	evacuationsVersion proto.Revision
	// evacuationRowVersions holds the versions of the rows that last evacuated zones, and heldSince is since when
	// evacuations that a restored store lacks have been kept.
	evacuationRowVersions map[string]uint64
	heldSince             map[string]time.Time
	coldConfig            ColdConfig
	// signals holds what runs of targets have reported in responses.
	signals map[proto.RunName]*targetSignals
	// watched holds the targets that Sweep has to check.
	watched   map[*Target]struct{}
	onNotices func([]proto.TargetNotice)
	addresses addressSet
}

// FleetOption configures a Fleet.
type FleetOption func(*Fleet)

// WithZoneCosts sets the costs of crossing zones instead of DefaultZoneCosts.
func WithZoneCosts(costs ZoneCosts) FleetOption { return func(f *Fleet) { f.zones = costs } }

// WithNoticeHandler sets a function that passes the notices of targets on to other daemons once they are known here.
func WithNoticeHandler(onNotices func([]proto.TargetNotice)) FleetOption {
	return func(f *Fleet) { f.onNotices = onNotices }
}

// NewFleet returns an empty fleet. It calls changed, without holding a lock, for each pool whose targets change.
func NewFleet(changed func(pool string), options ...FleetOption) *Fleet {
	f := &Fleet{
		pools: map[string]*targetPool{}, byID: map[string]*Target{}, invalid: map[string]invalidEntry{}, revalidated: map[string]proto.Revision{},
		departed: map[string]departedTarget{}, removals: map[string]removedEntry{}, evacuations: map[string]proto.Evacuation{}, evacuationRowVersions: map[string]uint64{}, heldSince: map[string]time.Time{},
		changed: changed, zones: DefaultZoneCosts(), signals: map[proto.RunName]*targetSignals{}, watched: map[*Target]struct{}{}, onNotices: func([]proto.TargetNotice) {},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Version returns the store revision of the newest change that the fleet knows.
func (f *Fleet) Version() proto.Revision {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.version
}

// FleetChange is an entry of the store's list that was put or removed.
type FleetChange struct {
	ID string
	// Version is the store revision of the change.
	Version proto.Revision
	Removed bool
	// FromPeer is set if the change comes from another daemon, which knows the state of the store. Lapsed is set if
	// that one saw the entry disappear while the store was down, so that it may come back.
	FromPeer, Lapsed bool
	// LostInRestore is set if the copy that the store was restored from lacks the entry, which may come back.
	LostInRestore bool
	// Unusable is set if the entry names no target: another writer overwrote it, or it cannot be parsed.
	Unusable bool
	Target   proto.RelayTarget
}

// ApplyChanges applies changes and returns what was done with each. Changes older than the known state are ignored.
func (f *Fleet) ApplyChanges(now time.Time, changes []FleetChange) []FleetEvent {
	f.mu.Lock()
	var events []FleetEvent
	for _, c := range changes {
		f.version = proto.Latest(f.version, c.Version)
		events = append(events, f.applyChange(now, c)...)
	}
	f.mu.Unlock()
	f.notifyChanged(events)
	return events
}

// Replace applies the whole list as of a version, and removes the entries that it lacks. A list older than the known
// state is refused. One from another daemon that has all changes up to that version is complete.
func (f *Fleet) Replace(now time.Time, asOf proto.Revision, entries []FleetChange, complete bool) ([]FleetEvent, bool) {
	f.mu.Lock()
	if f.version.After(asOf) {
		f.mu.Unlock()
		return nil, false
	}
	listed := map[string]bool{}
	var events []FleetEvent
	restored := asOf.Era > f.version.Era
	if restored {
		f.restoredAsOf = asOf
	}
	for _, c := range entries {
		f.version = proto.Latest(f.version, c.Version)
		listed[c.ID] = true
		events = append(events, f.applyChange(now, c)...)
	}
	for id, t := range f.byID {
		switch {
		case listed[id]:
		case complete:
			f.recordDeparture(now, t, asOf)
			f.recordRemoval(now, id, asOf)
			events = append(events, f.drop(t))
		default:
			events = append(events, f.applyChange(now, FleetChange{ID: id, Removed: true, Version: asOf, LostInRestore: restored})...)
		}
	}
	f.pruneInvalid(asOf, listed)
	if complete {
		f.version = proto.Latest(f.version, asOf)
	}
	f.mu.Unlock()
	f.notifyChanged(events)
	return events, true
}

// FleetEvent describes what was done with an entry, for the log.
type FleetEvent struct {
	Target  proto.RelayTarget
	Outcome string
	// Version is the store revision of the change; zero if no change of the store caused the event.
	Version proto.Revision
}

// Crashed reports whether a run ended without having announced that it leaves.
func (e *FleetEvent) Crashed() bool {
	return !e.Target.Leaving && (e.Outcome == outcomeRemoved || e.Outcome == OutcomeEnded)
}

// Outcomes of changes to the fleet.
const (
	outcomeAdded   = "added"
	outcomeLeaving = "leaving"
	outcomeRemoved = "removed"
	// OutcomeLapsed means that the entry disappeared while the store was down or restored, and may come back.
	OutcomeLapsed = "lapsed"
	// outcomeSuspected means that another daemon considers a lapsed target to have left.
	outcomeSuspected = "doubted"
	outcomeUpdated   = "updated"
	// outcomeCold means that a warm target became cold.
	outcomeCold = "cold"
	// OutcomeEnded means that the run ended: the target restarted or moved to another pool.
	OutcomeEnded = "ended its run"
	// outcomeStale means that the entry was written by an earlier run and is ignored.
	outcomeStale = "told of an earlier run"
	// outcomeDeparted means that the entry reappeared with a restored copy of the store after its target left.
	outcomeDeparted = "left before the store was restored"
	// outcomeUnusable means that the entry no longer names a target.
	outcomeUnusable = "has an entry that cannot be used"
)

func (f *Fleet) notifyChanged(events []FleetEvent) {
	pools := map[string]bool{}
	for _, event := range events {
		pools[event.Target.Pool] = true
	}
	for pool := range pools {
		f.changed(pool)
	}
}

func (f *Fleet) ensurePool(name string) *targetPool {
	p := f.pools[name]
	if p == nil {
		p = &targetPool{targets: map[string]*Target{}, model: newEngineModel(), zones: f.zones}
		f.pools[name] = p
	}
	return p
}

func (f *Fleet) applyChange(now time.Time, c FleetChange) []FleetEvent {
	t := f.byID[c.ID]
	if t != nil && t.version.After(c.Version) || f.isOutdated(c) {
		return nil
	}
	if c.Removed {
		f.recordRemoval(now, c.ID, c.Version)
	}
	switch {
	case c.Unusable || f.isInvalid(c):
		return f.dropUnusable(now, t, c)
	case c.Removed:
		return f.removeEntry(now, t, c)
	case t == nil && f.restoredAfterDeparture(now, c):
		return []FleetEvent{{Target: c.Target, Outcome: outcomeDeparted, Version: c.Version}}
	case t == nil:
		return []FleetEvent{f.add(now, c, health{})}
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	old := t.Spec
	switch {
	case c.Target.StartedAt.IsZero() && !old.StartedAt.IsZero():
		// A target that reports the start of its run always does. Daemons that did not know this run must be told.
		f.invalid[c.ID] = invalidEntry{version: c.Version}
		return f.dropAsUnusable(t, c)
	case c.Target.StartedAt.Before(old.StartedAt):
		t.version = c.Version
		return []FleetEvent{{Target: c.Target, Outcome: outcomeStale, Version: c.Version}}
	case c.Target.StartedAt.After(old.StartedAt) || c.Target.Pool != old.Pool || c.Target.Software != old.Software:
		return f.restart(now, t, c)
	case old.Leaving && !c.Target.Leaving && c.Version.Era > t.version.Era:
		// The store was restored from a copy from before the target announced that it leaves.
		t.version = c.Version
		f.quarantineRestored(now, c)
		return []FleetEvent{{Target: old, Outcome: outcomeDeparted, Version: c.Version}}
	}
	if c.Version.After(t.version) {
		t.setWarmUp(now, c.Target.ColdRemaining)
		f.watch(t)
	}
	t.Spec, t.version, t.evacuated = c.Target, c.Version, f.isEvacuated(c.Target.Zone)
	t.lapsedAt, t.suspected = time.Time{}, false
	switch {
	case c.Target.Leaving && !old.Leaving:
		return []FleetEvent{{Target: c.Target, Outcome: outcomeLeaving}}
	case old.Leaving != c.Target.Leaving || old.Address != c.Target.Address || old.Slots != c.Target.Slots:
		return []FleetEvent{{Target: c.Target, Outcome: outcomeUpdated}}
	case c.Target.ColdRemaining > 0 && old.ColdRemaining == 0:
		return []FleetEvent{{Target: c.Target, Outcome: outcomeCold}}
	}
	return nil
}

// add lists a target with no known state but its health.
func (f *Fleet) add(now time.Time, c FleetChange, known health) FleetEvent {
	p := f.ensurePool(c.Target.Pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.addTo(now, p, c, known)
}

func (f *Fleet) addTo(now time.Time, p *targetPool, c FleetChange, known health) FleetEvent {
	t := &Target{Spec: c.Target, pool: p, idHash: state.Hash(c.Target.ID), slowdown: 1, version: c.Version, health: known, evacuated: f.isEvacuated(c.Target.Zone)}
	t.runCtx, t.cancelRun = context.WithCancel(context.Background())
	t.setWarmUp(now, c.Target.ColdRemaining)
	f.watch(t)
	t.apply(f.signals[t.Spec.RunName()])
	p.targets[c.ID] = t
	f.byID[c.ID] = t
	p.listStale = true
	return FleetEvent{Target: c.Target, Outcome: outcomeAdded}
}

// restart replaces a target by its next run, or by its entry in another pool, keeping only that the previous run ended. The pool of
// the previous run is locked. All state about a target is in its Target, so it is dropped here at once, and work in progress ends.
func (f *Fleet) restart(now time.Time, t *Target, c FleetChange) []FleetEvent {
	ended := f.unlist(t)
	ended.Outcome, ended.Version = OutcomeEnded, c.Version
	delete(f.signals, t.Spec.RunName())
	t.cancelRun()
	if c.Target.Pool != t.Spec.Pool {
		return []FleetEvent{ended, f.add(now, c, health{})}
	}
	return []FleetEvent{ended, f.addTo(now, t.pool, c, t.health.afterRestart(now))}
}

// dropUnusable removes a target whose entry no longer names a target, regardless of the state of the store.
func (f *Fleet) dropUnusable(now time.Time, t *Target, c FleetChange) []FleetEvent {
	if t == nil {
		return nil
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if v, invalid := f.invalid[c.ID]; t.leaves() || invalid && !v.until.IsZero() {
		f.recordDeparture(now, t, c.Version)
	}
	return f.dropAsUnusable(t, c)
}

func (f *Fleet) dropAsUnusable(t *Target, c FleetChange) []FleetEvent {
	event := f.unlist(t)
	event.Outcome, event.Version = outcomeUnusable, c.Version
	return []FleetEvent{event}
}

// drop removes a target regardless of the state of the store.
func (f *Fleet) drop(t *Target) FleetEvent {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return f.unlist(t)
}

func (f *Fleet) removeEntry(now time.Time, t *Target, c FleetChange) []FleetEvent {
	if t == nil {
		return nil
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	lapsed := c.Lapsed
	if !c.FromPeer {
		lapsed = c.LostInRestore || f.mayHaveLapsed(now)
	}
	if !t.leaves() && lapsed {
		if !t.lapsedAt.IsZero() {
			return nil
		}
		t.lapsedAt, t.lapseFromPeer = now, c.FromPeer
		f.watch(t)
		return []FleetEvent{{Target: t.Spec, Outcome: OutcomeLapsed, Version: c.Version}}
	}
	f.recordDeparture(now, t, c.Version)
	return []FleetEvent{f.unlist(t)}
}

func (f *Fleet) unlist(t *Target) FleetEvent {
	t.unlisted = true
	delete(t.pool.targets, t.Spec.ID)
	delete(f.byID, t.Spec.ID)
	t.pool.listStale = true
	ended := t.Spec
	ended.Leaving = t.leaves()
	return FleetEvent{Target: ended, Outcome: outcomeRemoved}
}

// Size returns the number of a pool's targets, including leaving and suspected ones.
func (f *Fleet) Size(pool string) int {
	p := f.pool(pool)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// Usable returns the targets of a pool that may get new work at a time, without cold ones if the pool limits them.
// Suspected targets are returned only if there are no others.
func (f *Fleet) Usable(now time.Time, pool string) []proto.RelayTarget {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var specs, suspected []proto.RelayTarget
	for _, t := range p.list {
		switch {
		case t.closed() || p.isCold(now, t):
		case t.suspected:
			suspected = append(suspected, t.Spec)
		default:
			specs = append(specs, t.Spec)
		}
	}
	if len(specs) == 0 {
		return suspected
	}
	return specs
}

func (f *Fleet) pool(name string) *targetPool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.pools[name]
}
