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

// Target is one target with what this daemon knows of it.
type Target struct {
	Spec proto.RelayTarget

	pool *targetPool
	// hash is that of the id.
	idHash uint64
	health health
	// active are this daemon's attempts in progress.
	active int
	// unread are the prompt tokens of attempts that have not begun to answer, and reads these attempts.
	unreadTokens  int
	unreadPrompts []unreadPrompt
	cache         promptCache
	// strain is how much a pause of a millisecond counts for all streams in progress.
	pauseWeight float64
	// others is how many attempts of other daemons the last answer showed.
	otherLoad   float64
	otherLoadAt time.Time
	// pace is how long attempts take against what was expected.
	slowdown float64
	// lapsedAt is when the entry went while the store was away; zero if it is listed.
	lapsedAt      time.Time
	lapseFromPeer bool
	// doubted says that another daemon, which reached the store all the time, saw the entry of a lapsed target go: it
	// has more likely left than lapsed, and gets work only where its pool has no other target.
	suspected bool
	// version is the store's version at which the entry last changed.
	version  proto.Revision
	unlisted bool
	// running ends when another run of the target is known, and end ends it.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// long engines take the routes with long prompts.
	longPrompts bool
	// evacuated targets are in a zone that is to get nothing more.
	evacuated bool
	// coldUntil is until when the target is cold; zero if it is warm.
	coldUntil time.Time
	// notice is what the target's run has said of itself in answers.
	notice proto.TargetNotice
	// restUntil is until when the target wants nothing from this daemon.
	backoffUntil time.Time
	// lately is when the target was chosen within the last second, in pools whose targets may be cold.
	recentPicks []time.Time
}

// leaves tells whether the target has said that it leaves, by its entry or in an answer.
func (t *Target) leaves() bool { return t.Spec.Leaving || t.notice.Leaving }

// closed tells whether the target is to get no new work, whatever its health.
func (t *Target) closed() bool { return t.leaves() || t.evacuated }

type targetPool struct {
	mu      sync.Mutex
	targets map[string]*Target
	list    []*Target
	// stale says that the list is not that of the targets any more.
	listStale bool
	// listed counts the changes of the list, and orderedOf is that of the list in order of hash.
	listVersion, sortedVersion uint64
	sortedByHash               []*Target
	prompts                    map[string]*promptStats
	rotation                   int
	dividedAt                  time.Time
	allPrompts                 promptStats
	model                      engineModel
	slowdowns                  []float64
	// token and stream are what a prompt token and a stream beside it add to a first event, in milliseconds, as of the
	// last choice.
	tokenCost, streamCost float64
	zones                 ZoneCosts
	// read is how many prompt tokens engines have lately read.
	recentReadTokens state.DecayingSum
	// memory is how many tokens an engine of the pool keeps; 0 if that is not known.
	cacheTokens int
	// cold says how targets warm up, and coldMost how many requests a cold one may get within a second from all daemons.
	coldSpec  proto.ColdSpec
	coldLimit int
	// mayLimit says that a target may name a limit.
	mayHaveLimits bool
	// coldTo is when the last of the targets that are known to be cold is warm.
	lastColdUntil time.Time
}

// lock locks the pool with its list as it should be; the list is made anew once after many changes.
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

// Fleet holds all targets by pool, each pool under its own lock.
type Fleet struct {
	mu    sync.RWMutex
	pools map[string]*targetPool
	byID  map[string]*Target
	// awayAt and backAt are when the store was last found away, and when it answered again after that.
	storeDownAt, storeUpAt time.Time
	// version is that of the newest change of any entry, which is the same at all daemons that know as much.
	version proto.Revision
	changed func(pool string)
	zones   ZoneCosts
	// void holds the revisions of entries that name no target to use although they read as if they did, and judged those that came
	// back with a copy of the store and count again, since they stayed.
	invalid     map[string]invalidEntry
	revalidated map[string]proto.Revision
	// left holds the targets that left lately, and copied is the revision as of which the store's list was first read in its era.
	departed     map[string]departedTarget
	restoredAsOf proto.Revision
	// evacuations holds the zones that are or were evacuated, and evacuatedAt is the revision of the newest change.
	evacuations        map[string]proto.Evacuation
	evacuationsVersion proto.Revision
	// evacuationRows are the versions of the rows that evacuated zones last, and heldSince is since when evacuations are in force
	// that a restored store lacks.
	evacuationRowVersions map[string]uint64
	heldSince             map[string]time.Time
	coldTerms             ColdConfig
	// signals are those that runs of targets gave in answers.
	signals   map[proto.RunName]*targetSignals
	onNotices func([]proto.TargetNotice)
}

// FleetOption changes a Fleet at construction.
type FleetOption func(*Fleet)

// WithZoneCosts sets what other zones count for instead of DefaultZoneCosts.
func WithZoneCosts(costs ZoneCosts) FleetOption { return func(f *Fleet) { f.zones = costs } }

// WithNoticeHandler has what targets say told to other daemons, as it becomes known here.
func WithNoticeHandler(onNotices func([]proto.TargetNotice)) FleetOption {
	return func(f *Fleet) { f.onNotices = onNotices }
}

// NewFleet returns an empty fleet; changed is told of each pool whose list of targets changes, without a lock held.
func NewFleet(changed func(pool string), options ...FleetOption) *Fleet {
	f := &Fleet{
		pools: map[string]*targetPool{}, byID: map[string]*Target{}, invalid: map[string]invalidEntry{}, revalidated: map[string]proto.Revision{},
		departed: map[string]departedTarget{}, evacuations: map[string]proto.Evacuation{}, evacuationRowVersions: map[string]uint64{}, heldSince: map[string]time.Time{},
		changed: changed, zones: DefaultZoneCosts(), signals: map[proto.RunName]*targetSignals{}, onNotices: func([]proto.TargetNotice) {},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Version returns the store's version of the newest change that the fleet knows.
func (f *Fleet) Version() proto.Revision {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.version
}

// FleetChange is one entry of the store's list that was put or removed.
type FleetChange struct {
	ID string
	// Version is the store's revision of the change.
	Version proto.Revision
	Removed bool
	// Told changes come from another daemon, which knows how the store is; Lapsed says that it saw the entry go while
	// the store was away, so that it may come back.
	FromPeer, Lapsed bool
	// Restored says that the entry is missing in a copy that the store was restored from, so that it may come back.
	LostInRestore bool
	// Unusable entries name no target: another writer left them, or they cannot be read.
	Unusable bool
	Target   proto.RelayTarget
}

// ApplyChanges takes in changes and returns what it did with each; one that is older than what is known is ignored.
func (f *Fleet) ApplyChanges(now time.Time, changes []FleetChange) []FleetEvent {
	f.mu.Lock()
	var notes []FleetEvent
	for _, c := range changes {
		f.version = proto.Latest(f.version, c.Version)
		notes = append(notes, f.applyChange(now, c)...)
	}
	f.mu.Unlock()
	f.notifyChanged(notes)
	return notes
}

// Replace takes in the whole list as of a version; entries that it lacks are removed. A list that is older than what
// is known is refused.
// A list of another daemon that has all changes up to that version is complete.
func (f *Fleet) Replace(now time.Time, asOf proto.Revision, entries []FleetChange, complete bool) ([]FleetEvent, bool) {
	f.mu.Lock()
	if f.version.After(asOf) {
		f.mu.Unlock()
		return nil, false
	}
	listed := map[string]bool{}
	var notes []FleetEvent
	restored := asOf.Era > f.version.Era
	if restored {
		f.restoredAsOf = asOf
	}
	for _, c := range entries {
		f.version = proto.Latest(f.version, c.Version)
		listed[c.ID] = true
		notes = append(notes, f.applyChange(now, c)...)
	}
	for id, t := range f.byID {
		switch {
		case listed[id]:
		case complete:
			f.recordDeparture(now, t, asOf)
			notes = append(notes, f.drop(t))
		default:
			notes = append(notes, f.applyChange(now, FleetChange{ID: id, Removed: true, Version: asOf, LostInRestore: restored})...)
		}
	}
	f.pruneInvalid(asOf, listed)
	if complete {
		f.version = proto.Latest(f.version, asOf)
	}
	f.mu.Unlock()
	f.notifyChanged(notes)
	return notes, true
}

// FleetEvent says what became of one entry, for the log.
type FleetEvent struct {
	Target  proto.RelayTarget
	Outcome string
	// Version is the store's revision of the change, zero if no change of the store brought it.
	Version proto.Revision
}

// Crashed tells whether the note says that a run is over which had not said that it would leave.
func (n *FleetEvent) Crashed() bool {
	return !n.Target.Leaving && (n.Outcome == outcomeRemoved || n.Outcome == OutcomeEnded)
}

// Outcomes of changes to the fleet.
const (
	outcomeAdded   = "added"
	outcomeLeaving = "leaving"
	outcomeRemoved = "removed"
	// OutcomeLapsed means that the entry went, and may come back.
	OutcomeLapsed = "lapsed"
	// outcomeDoubted means that another daemon holds a lapsed target to have left.
	outcomeSuspected = "doubted"
	outcomeUpdated   = "updated"
	// outcomeCold means that a target that was warm has become cold.
	outcomeCold = "cold"
	// OutcomeEnded means that the run ended: the target has started again, or is in another pool.
	OutcomeEnded = "ended its run"
	// outcomeStale means that the entry was written by an earlier run, and is not taken in.
	outcomeStale = "told of an earlier run"
	// outcomeLeftOver means that the entry came back with a copy of the store, after its target had left.
	outcomeDeparted = "left before the store was restored"
	// outcomeUnusable means that the entry names no target any more.
	outcomeUnusable = "has an entry that cannot be used"
)

func (f *Fleet) notifyChanged(notes []FleetEvent) {
	pools := map[string]bool{}
	for _, n := range notes {
		pools[n.Target.Pool] = true
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
	if t != nil && t.version.After(c.Version) {
		return nil
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
		// A target that tells when its run started always does. Daemons that did not know it then must be told.
		f.invalid[c.ID] = invalidEntry{version: c.Version}
		return f.dropAsUnusable(t, c)
	case c.Target.StartedAt.Before(old.StartedAt):
		t.version = c.Version
		return []FleetEvent{{Target: c.Target, Outcome: outcomeStale, Version: c.Version}}
	case c.Target.StartedAt.After(old.StartedAt) || c.Target.Pool != old.Pool:
		return f.restart(now, t, c)
	case old.Leaving && !c.Target.Leaving && c.Version.Era > t.version.Era:
		// The store was restored from a copy of before the target said that it leaves.
		t.version = c.Version
		f.quarantineRestored(now, c)
		return []FleetEvent{{Target: old, Outcome: outcomeDeparted, Version: c.Version}}
	}
	if c.Version.After(t.version) {
		t.setWarmUp(now, c.Target.ColdRemaining)
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

// add lists a target of which nothing is known but its health.
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
	t.apply(f.signals[t.Spec.RunName()])
	p.targets[c.ID] = t
	f.byID[c.ID] = t
	p.listStale = true
	return FleetEvent{Target: c.Target, Outcome: outcomeAdded}
}

// restart replaces a target by its next run, or by what it is in another pool, of which nothing is known but that the last
// one ended; the pool of the last one is locked. All that is believed of a target is in its Target, so it goes here at
// once, and work in progress ends.
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

// dropUnusable removes a target whose entry names no target any more, whatever the state of the store.
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
	note := f.unlist(t)
	note.Outcome, note.Version = outcomeUnusable, c.Version
	return []FleetEvent{note}
}

// drop removes a target whatever the state of the store.
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

// Size returns the number of a pool's targets, leaving and doubted ones included.
func (f *Fleet) Size(pool string) int {
	p := f.pool(pool)
	if p == nil {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// Usable returns the targets of a pool that may get new work at a moment, without cold ones where these have a bound.
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
