package coord

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/proto"
)

var (
	testShareTiming = ShareTiming{Window: 11 * time.Second, Lease: 10 * time.Minute, MaxReadAge: 45 * time.Second}
	shareTestStart  = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
)

// revisions returns the revisions of rows in a store without eras.
func revisions(versions map[proto.VM]uint64) map[proto.VM]proto.Revision {
	rows := map[proto.VM]proto.Revision{}
	for vm, version := range versions {
		rows[vm] = proto.Revision{Version: version}
	}
	return rows
}

// establishedTracker returns the tracker of a daemon that has run among others for an hour.
func establishedTracker(self proto.VM, others ...proto.VM) *ShareTracker {
	tracker := NewShareTracker(self, testShareTiming)
	early := shareTestStart.Add(-time.Hour)
	tracker.Start(early, true)
	for at := early; !at.After(shareTestStart); at = at.Add(time.Minute) {
		rows := map[proto.VM]uint64{self: uint64(at.Unix())}
		for _, vm := range others {
			rows[vm] = uint64(at.Unix())
		}
		tracker.RowWritten(at, 0)
		tracker.ObserveRows(at, at, 0, revisions(rows))
	}
	return tracker
}

func wantShare(t *testing.T, tracker *ShareTracker, at time.Time, counted int, reason ShareReason) {
	t.Helper()
	if s := tracker.Share(at); s.VMCount != counted || s.Reason != reason || s.Usable != (reason == ShareUsable) {
		t.Errorf("share %+v, want %d counted and reason %q", s, counted, reason)
	}
}

func TestRestartedDaemonWaitsForPreviousUsage(t *testing.T) {
	tracker := NewShareTracker("a", testShareTiming)
	tracker.Start(shareTestStart, true)
	tracker.RowWritten(shareTestStart, 0)
	tracker.ObserveRows(shareTestStart, shareTestStart, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, tracker, shareTestStart, 2, ShareStarting)
	wantShare(t, tracker, shareTestStart.Add(10*time.Second), 2, ShareStarting)
	wantShare(t, tracker, shareTestStart.Add(11*time.Second), 2, ShareUsable)
}

func TestUnknownDaemonWaitsUntilOthersReadItsRow(t *testing.T) {
	tracker := NewShareTracker("a", testShareTiming)
	tracker.Start(shareTestStart, false)
	tracker.RowWritten(shareTestStart, 0)
	for _, at := range []time.Duration{0, 20 * time.Second, 40 * time.Second} {
		tracker.ObserveRows(shareTestStart.Add(at), shareTestStart.Add(at), 0, revisions(map[proto.VM]uint64{"a": 1}))
	}
	wantShare(t, tracker, shareTestStart.Add(55*time.Second), 1, ShareStarting)
	wantShare(t, tracker, shareTestStart.Add(56*time.Second), 1, ShareUsable)
}

func TestNoShareWithoutStoreAccess(t *testing.T) {
	tracker := NewShareTracker("a", testShareTiming)
	wantShare(t, tracker, shareTestStart.Add(time.Hour), 1, ShareStarting)
	tracker.Start(shareTestStart, true)
	wantShare(t, tracker, shareTestStart.Add(time.Hour), 1, ShareRowExpired)
	tracker.RowWritten(shareTestStart.Add(time.Second), 0)
	wantShare(t, tracker, shareTestStart.Add(20*time.Second), 1, ShareReadExpired)
}

func TestSilentDaemonKeepsItsShare(t *testing.T) {
	tracker := establishedTracker("a", "b", "c")
	for at := shareTestStart; at.Before(shareTestStart.Add(10 * time.Minute)); at = at.Add(20 * time.Second) {
		tracker.RowWritten(at, 0)
		tracker.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": uint64(at.Unix()), "c": uint64(shareTestStart.Unix())}))
		wantShare(t, tracker, at, 3, ShareUsable)
	}
}

func TestVMWithExpiredLeaseIsNotCounted(t *testing.T) {
	tracker := establishedTracker("a", "b", "c")
	after := shareTestStart.Add(testShareTiming.Lease + testShareTiming.Window + time.Second)
	tracker.RowWritten(shareTestStart.Add(testShareTiming.Lease/3), 0)
	tracker.RowWritten(shareTestStart.Add(testShareTiming.Lease*2/3), 0)
	expired := tracker.ObserveRows(after, after, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 7, "c": uint64(shareTestStart.Unix())}))
	if len(expired) != 1 || expired[0] != "c" {
		t.Errorf("expired: %v", expired)
	}
	wantShare(t, tracker, after, 2, ShareUsable)
}

func TestShareIsLostWithoutStore(t *testing.T) {
	tracker := establishedTracker("a", "b")
	wantShare(t, tracker, shareTestStart.Add(45*time.Second), 2, ShareUsable)
	wantShare(t, tracker, shareTestStart.Add(46*time.Second), 2, ShareReadExpired)
	at := shareTestStart.Add(10*time.Minute + time.Second)
	tracker.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, tracker, at, 2, ShareRowExpired)
	// The other daemons may no longer count this one, so it starts like a new one.
	tracker.RowWritten(at, 0)
	wantShare(t, tracker, at, 2, ShareStarting)
	late := at.Add(56 * time.Second)
	tracker.ObserveRows(late, late, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 3}))
	wantShare(t, tracker, late, 2, ShareUsable)
}

func TestShareShrinksWhenVMIsObserved(t *testing.T) {
	tracker := establishedTracker("a", "b")
	wantShare(t, tracker, shareTestStart, 2, ShareUsable)
	tracker.ObserveVMs(shareTestStart, "d")
	wantShare(t, tracker, shareTestStart, 3, ShareUsable)
}

// shareSim simulates a deployment whose daemons start, die, are paused and are temporarily cut off from the store.
// Links between daemons carry nothing, so the daemons know only what the rows say.
type shareSim struct {
	random    *rand.Rand
	now       time.Time
	rows      map[proto.VM]uint64
	writtenAt map[proto.VM]time.Time
	marked    map[proto.VM]uint64
	next      uint64
	// era is the era of the store; copies holds its rows at earlier times, and it is occasionally restored from one of
	// them.
	era    uint64
	copies []shareRows
	// done counts how often a task was done.
	done    int
	daemons map[proto.VM]*shareDaemon
	// used holds, for each VM, the recent times at which its daemon could use a part of the limit, and that part.
	used map[proto.VM][]usedShare
	// owners holds, for each task, which VM did it last, and when.
	owners map[string]lastOwner
}

// shareRows holds the rows of the platform's store at one time.
type shareRows struct {
	rows      map[proto.VM]uint64
	writtenAt map[proto.VM]time.Time
	marked    map[proto.VM]uint64
}

// keepCopy copies the rows; the copies are taken seconds apart, and the last 15 are kept.
func (sim *shareSim) keepCopy() {
	sim.copies = append(sim.copies, shareRows{maps.Clone(sim.rows), maps.Clone(sim.writtenAt), maps.Clone(sim.marked)})
	if len(sim.copies) > 15 {
		sim.copies = sim.copies[1:]
	}
}

// restore restores the store from a copy that is up to half a minute old.
func (sim *shareSim) restore() {
	if len(sim.copies) == 0 {
		return
	}
	c := sim.copies[sim.random.IntN(len(sim.copies))]
	sim.rows, sim.writtenAt, sim.marked = maps.Clone(c.rows), maps.Clone(c.writtenAt), maps.Clone(c.marked)
	sim.copies = nil
	sim.era++
}

type lastOwner struct {
	vm proto.VM
	at time.Time
}

// taskSettle is the minimum time between two VMs doing the same task.
const taskSettle = 9 * time.Second

// doTasks lets each daemon do the tasks that it may do, and returns an error message if two VMs do the same one within
// the settle time.
func (sim *shareSim) doTasks() string {
	for i := range 6 {
		task := fmt.Sprint("task-", i)
		for vm, d := range sim.daemons {
			if sim.now.Before(d.pausedUntil) || !d.tracker.OwnsExclusively(sim.now, task, taskSettle) {
				continue
			}
			if last, done := sim.owners[task]; done && last.vm != vm && sim.now.Sub(last.at) < taskSettle {
				return fmt.Sprintf("after %s, %s does %s, which %s did %s earlier", sim.now.Sub(shareTestStart), vm, task, last.vm, sim.now.Sub(last.at))
			}
			sim.owners[task] = lastOwner{vm, sim.now}
			sim.done++
		}
	}
	return ""
}

type shareDaemon struct {
	tracker                  *ShareTracker
	readAt, writtenAt        time.Time
	era                      uint64
	marked                   bool
	cutOffUntil, pausedUntil time.Time
}

type usedShare struct {
	at    time.Time
	share float64
}

func newShareSim(seed uint64, vms int) *shareSim {
	sim := &shareSim{
		random: rand.New(rand.NewPCG(seed, 1)), now: shareTestStart, rows: map[proto.VM]uint64{}, writtenAt: map[proto.VM]time.Time{},
		marked: map[proto.VM]uint64{}, era: 1, daemons: map[proto.VM]*shareDaemon{}, used: map[proto.VM][]usedShare{}, owners: map[string]lastOwner{},
	}
	for i := range vms {
		sim.start(vmName(i))
	}
	return sim
}

func vmName(i int) proto.VM { return proto.VM(fmt.Sprintf("vm-%02d", i)) }

func (sim *shareSim) start(vm proto.VM) {
	sim.daemons[vm] = &shareDaemon{tracker: NewShareTracker(vm, testShareTiming)}
}

// syncRows does what a daemon does with the rows when it reaches the store.
func (sim *shareSim) syncRows(vm proto.VM, d *shareDaemon) {
	if sim.now.Before(d.cutOffUntil) || sim.now.Before(d.pausedUntil) {
		return
	}
	if d.readAt.IsZero() || sim.now.Sub(d.readAt) >= 20*time.Second {
		sim.observeEra(d)
		_, listed := sim.rows[vm]
		d.tracker.Start(sim.now, listed && sim.marked[vm] == sim.era && sim.now.Sub(sim.writtenAt[vm]) < testShareTiming.MaxRowAge())
		rows := map[proto.VM]uint64{}
		for other, version := range sim.rows {
			rows[other] = version
		}
		for _, gone := range d.tracker.ObserveRows(sim.now, sim.now, sim.era, revisions(rows)) {
			delete(sim.rows, gone)
		}
		d.readAt = sim.now
	}
	usable := d.tracker.Share(sim.now).Usable
	if d.writtenAt.IsZero() || sim.now.Sub(d.writtenAt) >= testShareTiming.Lease/3 || usable && !d.marked {
		sim.observeEra(d)
		usable = d.tracker.Share(sim.now).Usable
		sim.next++
		sim.rows[vm], sim.writtenAt[vm], sim.marked[vm] = sim.next, sim.now, 0
		if usable {
			sim.marked[vm] = sim.era
		}
		d.writtenAt, d.marked = sim.now, usable
		d.tracker.RowWritten(sim.now, sim.era)
	}
}

// observeEra lets a daemon learn the store's era from an answer.
func (sim *shareSim) observeEra(d *shareDaemon) {
	if d.era == sim.era {
		return
	}
	d.era = sim.era
	d.tracker.StoreRestored(sim.now, sim.era)
	d.writtenAt, d.marked = time.Time{}, false
}

func (sim *shareSim) injectFault(vms int) {
	vm := vmName(sim.random.IntN(2 * vms))
	d := sim.daemons[vm]
	length := time.Duration(sim.random.Int64N(int64(15 * time.Minute)))
	if sim.random.IntN(2) == 0 {
		length = time.Duration(sim.random.Int64N(int64(time.Minute)))
	}
	switch {
	case d == nil:
		sim.start(vm)
	case sim.random.IntN(3) == 0:
		delete(sim.daemons, vm)
	case sim.random.IntN(3) == 0:
		sim.start(vm)
	case sim.random.IntN(2) == 0:
		d.cutOffUntil = sim.now.Add(length)
	default:
		d.pausedUntil = sim.now.Add(length)
	}
}

// totalUsed records what each daemon may use now, and returns what all of them may have used within a window, as a
// fraction of the limit.
func (sim *shareSim) totalUsed() float64 {
	for vm, d := range sim.daemons {
		if s := d.tracker.Share(sim.now); s.Usable && !sim.now.Before(d.pausedUntil) {
			sim.used[vm] = append(sim.used[vm], usedShare{sim.now, 1 / float64(s.VMCount)})
		}
	}
	sum := 0.0
	for vm, shares := range sim.used {
		for len(shares) > 0 && sim.now.Sub(shares[0].at) >= testShareTiming.Window {
			shares = shares[1:]
		}
		sim.used[vm] = shares
		largest := 0.0
		for _, p := range shares {
			largest = max(largest, p.share)
		}
		sum += largest
	}
	return sum
}

// TestSharesNeverExceedLimit runs random histories, in half of which the store is restored from copies. The most that a
// daemon may use in a window is the largest share that it had in that window.
func TestSharesNeverExceedLimit(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(seed uint64, vms int, restores bool) string {
		sim := newShareSim(seed, vms)
		for end := shareTestStart.Add(2 * time.Hour); sim.now.Before(end); sim.now = sim.now.Add(2 * time.Second) {
			for vm, d := range sim.daemons {
				sim.syncRows(vm, d)
			}
			sim.keepCopy()
			if sim.random.IntN(30) == 0 {
				sim.injectFault(vms)
			}
			if restores && sim.random.IntN(200) == 0 {
				sim.restore()
			}
			if sum := sim.totalUsed(); sum > 1.000001 {
				return fmt.Sprintf("after %s the shares add up to %.3f", sim.now.Sub(shareTestStart), sum)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(2, 8), gen.Bool()))
	properties.TestingRun(t)
}

// TestTaskHasOneOwner runs the same histories and checks tasks that only one VM may do at a time.
func TestTaskHasOneOwner(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("tasks", prop.ForAll(func(seed uint64, vms int, restores bool) string {
		sim := newShareSim(seed, vms)
		for end := shareTestStart.Add(2 * time.Hour); sim.now.Before(end); sim.now = sim.now.Add(2 * time.Second) {
			for vm, d := range sim.daemons {
				sim.syncRows(vm, d)
			}
			sim.keepCopy()
			if sim.random.IntN(30) == 0 {
				sim.injectFault(vms)
			}
			if restores && sim.random.IntN(200) == 0 {
				sim.restore()
			}
			if fault := sim.doTasks(); fault != "" {
				return fault
			}
		}
		if sim.done == 0 {
			return "no task was ever done"
		}
		return ""
	}, gen.UInt64(), gen.IntRange(2, 8), gen.Bool()))
	properties.TestingRun(t)
}

// TestTasksAreDistributed runs all daemons undisturbed: each task must be done by exactly one of them, and all must
// have some.
func TestTasksAreDistributed(t *testing.T) {
	vms := []proto.VM{"a", "b", "c", "d"}
	counts := map[proto.VM]int{}
	for i := range 400 {
		task := fmt.Sprint("task-", i)
		owners := 0
		for _, vm := range vms {
			if establishedTracker(vm, vms...).OwnsExclusively(shareTestStart, task, taskSettle) {
				owners++
				counts[vm]++
			}
		}
		if owners != 1 {
			t.Fatalf("%d daemons do %s", owners, task)
		}
	}
	for _, vm := range vms {
		if counts[vm] < 70 || counts[vm] > 130 {
			t.Errorf("%s does %d of 400 tasks", vm, counts[vm])
		}
	}
}

// TestRestoredStoreInvalidatesOlderRows restores the store from a copy that lacks the row of a VM. Daemons that start
// after that do not know the VM, so it must not use its share before they do, and they must not use theirs while it may
// not have heard of the restore.
func TestRestoredStoreInvalidatesOlderRows(t *testing.T) {
	tracker := establishedTracker("a", "b")
	wantShare(t, tracker, shareTestStart, 2, ShareUsable)
	tracker.StoreRestored(shareTestStart, 2)
	wantShare(t, tracker, shareTestStart, 2, ShareStarting)
	tracker.RowWritten(shareTestStart.Add(-time.Second), 1)
	tracker.ObserveRows(shareTestStart, shareTestStart, 1, revisions(map[proto.VM]uint64{"a": 1}))
	past := shareTestStart.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	wantShare(t, tracker, past, 2, ShareRowExpired)
	rewritten := shareTestStart.Add(10 * time.Second)
	tracker.RowWritten(rewritten, 2)
	tracker.ObserveRows(rewritten, rewritten, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, tracker, past, 2, ShareStarting)
	usable := rewritten.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	tracker.ObserveRows(usable, usable, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, tracker, usable, 2, ShareUsable)
	tracker.StoreRestored(usable, 2)
	wantShare(t, tracker, usable, 2, ShareUsable)
	// A row may have been in flight when the store was restored.
	tracker.StoreRestored(usable, 3)
	tracker.RowWritten(usable.Add(-time.Second), 3)
	tracker.ObserveRows(usable, usable, 3, revisions(map[proto.VM]uint64{"a": 9}))
	next := usable.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	tracker.ObserveRows(next, next, 3, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, tracker, next.Add(-time.Millisecond), 2, ShareStarting)
	wantShare(t, tracker, next, 2, ShareUsable)
}

// TestRowMayBeWrittenBeforeStart writes the row of a daemon before it is known whether the others count its VM, as in the first start of all
// daemons and when a row of the previous run is kept. Such a daemon had no share of the retry budget for over two minutes.
func TestRowMayBeWrittenBeforeStart(t *testing.T) {
	for _, known := range []bool{true, false} {
		tracker := NewShareTracker("a", testShareTiming)
		tracker.RowWritten(shareTestStart, 0)
		at := shareTestStart.Add(time.Second)
		tracker.Start(at, known)
		tracker.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
		usableAt := at.Add(testShareTiming.Window)
		if !known {
			usableAt = usableAt.Add(testShareTiming.MaxReadAge)
		}
		wantShare(t, tracker, usableAt.Add(-time.Second), 2, ShareStarting)
		tracker.ObserveRows(usableAt, usableAt, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
		wantShare(t, tracker, usableAt, 2, ShareUsable)
	}
}

// TestRestoreBeforeStartDelaysShare restores the store from a copy before the daemon knows whether the others count its VM: daemons that
// rely on the earlier rows may still use their shares.
func TestRestoreBeforeStartDelaysShare(t *testing.T) {
	tracker := NewShareTracker("a", testShareTiming)
	tracker.StoreRestored(shareTestStart, 1)
	tracker.Start(shareTestStart, true)
	tracker.RowWritten(shareTestStart, 1)
	usableAt := shareTestStart.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	tracker.ObserveRows(usableAt, usableAt, 1, revisions(map[proto.VM]uint64{"a": 1}))
	wantShare(t, tracker, usableAt.Add(-time.Second), 1, ShareStarting)
	wantShare(t, tracker, usableAt, 1, ShareUsable)
}

// TestShareWaitsForARowThatIsTakenLate guards against a new VM whose row the store takes only after minutes: it used a share while others
// had not read its row yet and counted one VM less.
func TestShareWaitsForARowThatIsTakenLate(t *testing.T) {
	timing := ShareTiming{Window: 10 * time.Second, Lease: 10 * time.Minute, MaxReadAge: 2 * time.Minute}
	start := time.Unix(1000, 0)
	for _, taken := range []time.Duration{time.Second, time.Minute, 3 * time.Minute, 4 * time.Minute, 10 * time.Minute} {
		tracker := NewShareTracker("new", timing)
		tracker.Start(start, false)
		sent := start.Add(taken)
		tracker.RowWritten(sent, 0)
		// Another daemon that last read the rows just before may use its share for MaxReadAge.
		readByAll := sent.Add(timing.MaxReadAge)
		for at := sent; at.Before(readByAll.Add(timing.Window + time.Second)); at = at.Add(time.Second) {
			tracker.ObserveRows(at, at, 0, map[proto.VM]proto.Revision{"old": {Version: 1}})
			if usable := tracker.Share(at).Usable; usable && at.Before(readByAll) {
				t.Errorf("a row that was taken after %s: the share is used %s later, when others may not know it", taken, at.Sub(sent))
				break
			}
		}
		if !tracker.Share(readByAll.Add(timing.Window + time.Second)).Usable {
			t.Errorf("a row that was taken after %s: the share is not used after all have read it", taken)
		}
	}
}
