package coord

import (
	"slices"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// ShareTiming holds the time limits of a ShareTracker.
type ShareTiming struct {
	// Window is the period over which the shared limits are counted.
	Window time.Duration
	// Lease is how long a daemon may use its share after the last write of its row that the platform acknowledged.
	Lease time.Duration
	// MaxReadAge is how old the last read of the rows may be for this daemon to use its share. A daemon on a new VM
	// waits as long before using one, so that by then every other daemon has read its row or uses no share itself.
	MaxReadAge time.Duration
}

// ShareTracker counts the VMs that may be using a share of a limit that all daemons share. It never counts too few:
// silence proves nothing, because a daemon that is not heard may still use its share. So a VM is counted until a read
// of the platform's rows shows that its lease is over, and that its use of the last window is over as well.
type ShareTracker struct {
	mu     sync.Mutex
	timing ShareTiming
	self   proto.VM
	others map[proto.VM]*trackedVM
	// rowSent is when the last acknowledged write of this daemon's row was sent, and readAsked is when the last read of
	// all rows was requested; both are zero before the first one.
	rowSent, readAsked time.Time
	// lastListed is when this daemon's row was last known to announce this VM to the others.
	lastListed time.Time
	// establishedAt is since when all other daemons count this VM and this daemon counts all of them, as far as they use anything;
	// zero while that is unknown. The daemon uses its share only a window later, because it does not know what its previous run used.
	establishedAt time.Time
	// notBefore is the earliest value of establishedAt after the platform's store was restored.
	notBefore time.Time
	// era is the era of the platform's store; rows of an earlier era prove nothing.
	era uint64
	// ranksFirst caches for which tasks this VM ranks first among the counted ones.
	ranksFirst map[string]bool
}

// trackedVM is a VM known to the tracker.
type trackedVM struct {
	// version is the version of its row, zero before the first read, and since is when this daemon first saw that version.
	version proto.Revision
	since   time.Time
}

// NewShareTracker returns a tracker that counts only its own VM, which has no share yet.
func NewShareTracker(self proto.VM, timing ShareTiming) *ShareTracker {
	return &ShareTracker{self: self, timing: timing, others: map[proto.VM]*trackedVM{}, ranksFirst: map[string]bool{}}
}

// ObserveVMs counts VMs whose daemons have announced themselves.
func (t *ShareTracker) ObserveVMs(now time.Time, vms ...proto.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range vms {
		t.observe(now, vm)
	}
}

func (t *ShareTracker) observe(now time.Time, vm proto.VM) *trackedVM {
	s := t.others[vm]
	if s == nil && vm != t.self {
		s = &trackedVM{since: now}
		t.others[vm] = s
		clear(t.ranksFirst)
	}
	return s
}

// Start sets since when this run can have a share. A daemon that has just started does not know what its previous run used, so it has
// no share until that is out of the window. On a VM that the others may not know, it also waits until all of them have read its row.
func (t *ShareTracker) Start(now time.Time, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.establishedAt.IsZero() {
		return
	}
	t.establishedAt = now
	if known {
		t.lastListed = latest(t.lastListed, now)
	} else {
		// The others count this VM only once they have read its row, whenever the store takes that.
		t.establishedAt = now.Add(t.timing.MaxReadAge)
	}
	t.establishedAt = latest(t.establishedAt, t.notBefore)
}

// MaxRowAge returns how old the row of a VM may be for its next run to count as known to the others: they count the VM
// for as long again.
func (t ShareTiming) MaxRowAge() time.Duration { return t.Lease / 2 }

// StoreRestored records that the platform's store is in a newer era because it was restored from a copy. Rows written
// after that copy are gone, possibly including the row of this daemon and those of VMs that this daemon has never read,
// and not all daemons know that yet. So this daemon has no share until its row is written again and until every daemon
// that relies on rows of the earlier era has gone without a read for too long to use its share.
func (t *ShareTracker) StoreRestored(now time.Time, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	t.era = era
	t.rowSent, t.readAsked, t.lastListed = time.Time{}, time.Time{}, time.Time{}
	t.notBefore = now.Add(t.timing.MaxReadAge)
	if !t.establishedAt.IsZero() {
		t.establishedAt = latest(t.establishedAt, t.notBefore)
	}
}

// RowWritten records that the platform acknowledged this daemon's row in an era of its store; sent is when the row was sent.
func (t *ShareTracker) RowWritten(sent time.Time, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return
	}
	if !t.establishedAt.IsZero() && sent.Sub(t.lastListed) > t.timing.MaxRowAge() {
		// Others may no longer count this VM, so they have to read its row first. Before Start it is not known whether they do.
		t.establishedAt = latest(t.establishedAt, sent.Add(t.timing.MaxReadAge))
	}
	t.rowSent, t.lastListed = sent, sent
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ObserveRows takes all rows with their versions, as of a moment after asked, in an era of the store. It returns the
// VMs that are no longer counted: their rows have not changed for so long that their leases are over.
func (t *ShareTracker) ObserveRows(asked, now time.Time, era uint64, rows map[proto.VM]proto.Revision) (expired []proto.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return nil
	}
	t.readAsked = asked
	for vm, version := range rows {
		if s := t.observe(now, vm); s != nil && s.version != version {
			s.version, s.since = version, now
		}
	}
	for vm, s := range t.others {
		// The row was not written between the two reads, and the lease of a write before the first read is over.
		if asked.Sub(s.since) > t.timing.Lease+t.timing.Window {
			expired = append(expired, vm)
		}
	}
	slices.Sort(expired)
	for _, vm := range expired {
		delete(t.others, vm)
		clear(t.ranksFirst)
	}
	return expired
}

// Share is a daemon's part of a limit that all daemons share.
type Share struct {
	// VMCount is the number of counted VMs, including this daemon's own.
	VMCount int
	// Usable says that this daemon may use its part, one of VMCount equal ones; if not, Reason says why.
	Usable bool
	Reason ShareReason
	// RowAge and ReadAge are how long ago this daemon's row was written and all rows were read.
	RowAge, ReadAge time.Duration
}

// ShareReason is why a daemon may not use its share now.
type ShareReason string

// Reasons why a share may not be used.
const (
	// ShareUsable means that the share may be used.
	ShareUsable ShareReason = ""
	// ShareStarting means that usage of the VM's previous run may still count, or that other daemons may not know the VM.
	ShareStarting ShareReason = "the daemon has started too lately"
	// ShareRowExpired means that this daemon's row could not be written for too long.
	ShareRowExpired ShareReason = "the own row was not written for too long"
	// ShareReadExpired means that the rows could not be read for too long.
	ShareReadExpired ShareReason = "the rows of the daemons were not read for too long"
)

// Share returns this daemon's part of a shared limit.
func (t *ShareTracker) Share(now time.Time) Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Share{VMCount: len(t.others) + 1, RowAge: now.Sub(t.rowSent), ReadAge: now.Sub(t.readAsked), Reason: t.reason(now, t.timing.Window)}
	s.Usable = s.Reason == ShareUsable
	return s
}

// reason returns why this daemon may not use now what is counted over the given window.
func (t *ShareTracker) reason(now time.Time, window time.Duration) ShareReason {
	switch {
	case t.establishedAt.IsZero() || now.Before(t.establishedAt.Add(window)):
		return ShareStarting
	case t.rowSent.IsZero() || now.Sub(t.rowSent) > t.timing.Lease:
		return ShareRowExpired
	case t.readAsked.IsZero() || now.Sub(t.readAsked) > t.timing.MaxReadAge:
		return ShareReadExpired
	}
	return ShareUsable
}

// maxCachedTasks bounds the tasks whose ownership is cached; there is one task for each cold target.
const maxCachedTasks = 20_000

// OwnsExclusively reports whether this daemon may now do what only one daemon may do at a time, even while it cannot reach the others:
// its VM ranks first for the task among all counted ones. Each daemon that may use anything is counted by all others that may, so two
// daemons never own a task at the same time, and at least the settle time passes between two owners. A VM that is gone for good keeps
// its tasks until its lease is over, and nobody does them until then.
func (t *ShareTracker) OwnsExclusively(now time.Time, task string, settle time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reason(now, settle) != ShareUsable {
		return false
	}
	ranksFirst, known := t.ranksFirst[task]
	if !known {
		if len(t.ranksFirst) >= maxCachedTasks {
			clear(t.ranksFirst)
		}
		ranksFirst = t.computeRanksFirst(task)
		t.ranksFirst[task] = ranksFirst
	}
	return ranksFirst
}

func (t *ShareTracker) computeRanksFirst(task string) bool {
	hash := state.Hash(task)
	own := state.RendezvousScore(hash, state.Hash(string(t.self)))
	for vm := range t.others {
		other := state.RendezvousScore(hash, state.Hash(string(vm)))
		if other > own || other == own && vm < t.self {
			return false
		}
	}
	return true
}
