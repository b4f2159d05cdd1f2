package coord

import (
	"slices"
	"sync"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// ShareTiming holds the times by which a census counts.
type ShareTiming struct {
	// Window is the span over which the common limits are counted.
	Window time.Duration
	// Lease is how long a daemon may use its share after the last write of its row that the platform has acknowledged.
	Lease time.Duration
	// MaxReadAge is how old the last read of the rows may be for this daemon to use its share. A daemon whose VM is new waits
	// for as long before it uses one, so that all others have read its row by then or use none themselves.
	MaxReadAge time.Duration
}

// ShareTracker counts the VMs that may be using a share of a limit that all daemons keep together. It never counts too few:
// silence proves nothing, since a daemon that is not heard may go on using its share, so a VM is counted until a read
// of the platform's rows shows that its lease is over, and its use of the last window with it.
type ShareTracker struct {
	mu     sync.Mutex
	timing ShareTiming
	self   proto.VM
	others map[proto.VM]*trackedVM
	// rowSent is when the own row that the platform acknowledged last was sent, read when the rows that were read last were
	// asked for; both zero before.
	rowSent, readAsked time.Time
	// lastListed is when the own row was last known to tell the others of this VM.
	lastListed time.Time
	// establishedAt is since when all others count this VM, and this daemon all of them, as far as both use anything; zero as long as
	// that is open. What this daemon may use it does so a while later, since it knows nothing of what its last run used.
	establishedAt time.Time
	// era is that of the platform's store: what the rows of an earlier one proved, they prove no more.
	era uint64
	// ranksFirst holds for which tasks this VM comes first of those that are counted.
	ranksFirst map[string]bool
}

// trackedVM is a VM as the census knows it.
type trackedVM struct {
	// version is that of its row, zero before one was read, and since is when this daemon first saw that version.
	version proto.Revision
	since   time.Time
}

// NewShareTracker returns a census that counts only the own VM, which has no share yet.
func NewShareTracker(self proto.VM, timing ShareTiming) *ShareTracker {
	return &ShareTracker{self: self, timing: timing, others: map[proto.VM]*trackedVM{}, ranksFirst: map[string]bool{}}
}

// ObserveVMs notes VMs whose daemons have announced themselves.
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

// Start says since when this run could have a share. A daemon that has just started knows nothing of what its last run
// used, so it has none until that is out of the window; on a VM that the others may not know, it also waits until all of
// them have read of it.
func (t *ShareTracker) Start(now time.Time, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.establishedAt.IsZero() {
		return
	}
	t.establishedAt = now
	t.lastListed = now
	if !known {
		t.establishedAt = now.Add(t.timing.MaxReadAge)
	}
}

// MaxRowAge returns how old the row of a VM may be for its next run to count as known to the others: they count the VM for
// as long again.
func (t ShareTiming) MaxRowAge() time.Duration { return t.Lease / 2 }

// StoreRestored notes that the platform's store is in a newer era: it was restored from a copy. Rows that were written since the copy
// are gone, the own one and those of VMs that were never read here among them, and not all daemons know that yet. So this one has no
// share until its row was written anew, and until all that rely on rows of the earlier era have read none for too long.
func (t *ShareTracker) StoreRestored(now time.Time, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era <= t.era {
		return
	}
	t.era = era
	t.rowSent, t.readAsked, t.lastListed = time.Time{}, time.Time{}, time.Time{}
	if !t.establishedAt.IsZero() {
		t.establishedAt = latest(t.establishedAt, now.Add(t.timing.MaxReadAge))
	}
}

// RowWritten notes that the platform acknowledged the own row in an era of its store; the row was sent at a time.
func (t *ShareTracker) RowWritten(sent time.Time, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era < t.era {
		return
	}
	if sent.Sub(t.lastListed) > t.timing.MaxRowAge() {
		// Others may have ceased to count this VM, and have to read of it first.
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

// ObserveRows takes in all rows, with their versions, as of a moment after asked in an era of the store, and returns the VMs that are counted no more:
// their rows have not changed for so long that their leases are over.
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
		// The row was not written between the two reads; a write before the first one gave a lease that is over.
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

// Share is a daemon's part of a limit that all daemons keep together.
type Share struct {
	// VMCount is the number of VMs that are counted, the own one included.
	VMCount int
	// Usable says that this daemon may use its part, one of Counted equal ones; Reason says why not.
	Usable bool
	Reason ShareReason
	// RowAge and ReadAge are how long ago the own row was written and all rows were read.
	RowAge, ReadAge time.Duration
}

// ShareReason tells why a daemon may not use its share now.
type ShareReason string

// Reasons for which a share may not be used.
const (
	// ShareUsable means that the share may be used.
	ShareUsable ShareReason = ""
	// ShareStarting means that what the last run on the VM used may still count, or that others may not know of the VM.
	ShareStarting ShareReason = "the daemon has started too lately"
	// ShareRowExpired means that the own row could not be written for too long.
	ShareRowExpired ShareReason = "the own row was not written for too long"
	// ShareReadExpired means that the rows could not be read for too long.
	ShareReadExpired ShareReason = "the rows of the daemons were not read for too long"
)

// Share returns the own part of a common limit.
func (t *ShareTracker) Share(now time.Time) Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Share{VMCount: len(t.others) + 1, RowAge: now.Sub(t.rowSent), ReadAge: now.Sub(t.readAsked), Reason: t.reason(now, t.timing.Window)}
	s.Usable = s.Reason == ShareUsable
	return s
}

// reason tells why this daemon may not use now what is counted over a window.
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

// maxCachedTasks bounds for how many tasks it is remembered whether the own VM comes first; a task is named for each cold target.
const maxCachedTasks = 20_000

// OwnsExclusively tells whether this daemon may do now what only one of all daemons may do at a time, in touch with the others or not: its
// VM comes first for the task of all that are counted. Each daemon that may use anything is counted by all others that may, so
// two never hold this at once; and after another one held it, at least the settling time passes. A VM that has died for good keeps
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
