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
	c := NewShareTracker(self, testShareTiming)
	early := shareTestStart.Add(-time.Hour)
	c.Start(early, true)
	for at := early; !at.After(shareTestStart); at = at.Add(time.Minute) {
		rows := map[proto.VM]uint64{self: uint64(at.Unix())}
		for _, vm := range others {
			rows[vm] = uint64(at.Unix())
		}
		c.RowWritten(at, 0)
		c.ObserveRows(at, at, 0, revisions(rows))
	}
	return c
}

func wantShare(t *testing.T, c *ShareTracker, at time.Time, counted int, reason ShareReason) {
	t.Helper()
	if s := c.Share(at); s.VMCount != counted || s.Reason != reason || s.Usable != (reason == ShareUsable) {
		t.Errorf("share %+v, want %d counted and reason %q", s, counted, reason)
	}
}

func TestRestartedDaemonWaitsForPreviousUsage(t *testing.T) {
	c := NewShareTracker("a", testShareTiming)
	c.Start(shareTestStart, true)
	c.RowWritten(shareTestStart, 0)
	c.ObserveRows(shareTestStart, shareTestStart, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, c, shareTestStart, 2, ShareStarting)
	wantShare(t, c, shareTestStart.Add(10*time.Second), 2, ShareStarting)
	wantShare(t, c, shareTestStart.Add(11*time.Second), 2, ShareUsable)
}

func TestUnknownDaemonWaitsUntilOthersReadItsRow(t *testing.T) {
	c := NewShareTracker("a", testShareTiming)
	c.Start(shareTestStart, false)
	c.RowWritten(shareTestStart, 0)
	for _, at := range []time.Duration{0, 20 * time.Second, 40 * time.Second} {
		c.ObserveRows(shareTestStart.Add(at), shareTestStart.Add(at), 0, revisions(map[proto.VM]uint64{"a": 1}))
	}
	wantShare(t, c, shareTestStart.Add(55*time.Second), 1, ShareStarting)
	wantShare(t, c, shareTestStart.Add(56*time.Second), 1, ShareUsable)
}

func TestNoShareWithoutStoreAccess(t *testing.T) {
	c := NewShareTracker("a", testShareTiming)
	wantShare(t, c, shareTestStart.Add(time.Hour), 1, ShareStarting)
	c.Start(shareTestStart, true)
	wantShare(t, c, shareTestStart.Add(time.Hour), 1, ShareRowExpired)
	c.RowWritten(shareTestStart.Add(time.Second), 0)
	wantShare(t, c, shareTestStart.Add(20*time.Second), 1, ShareReadExpired)
}

func TestSilentDaemonKeepsItsShare(t *testing.T) {
	c := establishedTracker("a", "b", "c")
	for at := shareTestStart; at.Before(shareTestStart.Add(10 * time.Minute)); at = at.Add(20 * time.Second) {
		c.RowWritten(at, 0)
		c.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": uint64(at.Unix()), "c": uint64(shareTestStart.Unix())}))
		wantShare(t, c, at, 3, ShareUsable)
	}
}

func TestVMWithExpiredLeaseIsNotCounted(t *testing.T) {
	c := establishedTracker("a", "b", "c")
	after := shareTestStart.Add(testShareTiming.Lease + testShareTiming.Window + time.Second)
	c.RowWritten(shareTestStart.Add(testShareTiming.Lease/3), 0)
	c.RowWritten(shareTestStart.Add(testShareTiming.Lease*2/3), 0)
	over := c.ObserveRows(after, after, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 7, "c": uint64(shareTestStart.Unix())}))
	if len(over) != 1 || over[0] != "c" {
		t.Errorf("expired: %v", over)
	}
	wantShare(t, c, after, 2, ShareUsable)
}

func TestShareIsLostWithoutStore(t *testing.T) {
	c := establishedTracker("a", "b")
	wantShare(t, c, shareTestStart.Add(45*time.Second), 2, ShareUsable)
	wantShare(t, c, shareTestStart.Add(46*time.Second), 2, ShareReadExpired)
	at := shareTestStart.Add(10*time.Minute + time.Second)
	c.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, c, at, 2, ShareRowExpired)
	// The other daemons may no longer count this one, so it starts like a new one.
	c.RowWritten(at, 0)
	wantShare(t, c, at, 2, ShareStarting)
	late := at.Add(56 * time.Second)
	c.ObserveRows(late, late, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 3}))
	wantShare(t, c, late, 2, ShareUsable)
}

func TestShareShrinksWhenVMIsObserved(t *testing.T) {
	c := establishedTracker("a", "b")
	wantShare(t, c, shareTestStart, 2, ShareUsable)
	c.ObserveVMs(shareTestStart, "d")
	wantShare(t, c, shareTestStart, 3, ShareUsable)
}

// shareSim simulates a deployment whose daemons start, die, are paused and are temporarily cut off from the store.
// Links between daemons carry nothing, so the daemons know only what the rows say.
type shareSim struct {
	random *rand.Rand
	now    time.Time
	rows   map[proto.VM]uint64
	wrote  map[proto.VM]time.Time
	marked map[proto.VM]uint64
	next   uint64
	// era is the era of the store; copies holds its rows at earlier times, and it is occasionally restored from one of
	// them.
	era    uint64
	copies []shareRows
	// done counts how often a task was done.
	done    int
	daemons map[proto.VM]*shareDaemon
	// used holds, for each VM, the recent times at which its daemon could use a part of the limit, and that part.
	used map[proto.VM][]usedPart
	// owners holds, for each task, which VM did it last, and when.
	owners map[string]lastOwner
}

// shareRows holds the rows of the platform's store at one time.
type shareRows struct {
	rows   map[proto.VM]uint64
	wrote  map[proto.VM]time.Time
	marked map[proto.VM]uint64
}

// keepCopy copies the rows; the copies are taken seconds apart, and the last 15 are kept.
func (w *shareSim) keepCopy() {
	w.copies = append(w.copies, shareRows{maps.Clone(w.rows), maps.Clone(w.wrote), maps.Clone(w.marked)})
	if len(w.copies) > 15 {
		w.copies = w.copies[1:]
	}
}

// restore restores the store from a copy that is up to half a minute old.
func (w *shareSim) restore() {
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[w.random.IntN(len(w.copies))]
	w.rows, w.wrote, w.marked = maps.Clone(c.rows), maps.Clone(c.wrote), maps.Clone(c.marked)
	w.copies = nil
	w.era++
}

type lastOwner struct {
	vm proto.VM
	at time.Time
}

// taskSettle is the minimum time between two VMs doing the same task.
const taskSettle = 9 * time.Second

// doTasks lets each daemon do the tasks that it may do, and returns an error message if two VMs do the same one within
// the settle time.
func (w *shareSim) doTasks() string {
	for i := range 6 {
		task := fmt.Sprint("task-", i)
		for vm, d := range w.daemons {
			if w.now.Before(d.pausedUntil) || !d.tracker.OwnsExclusively(w.now, task, taskSettle) {
				continue
			}
			if last, done := w.owners[task]; done && last.vm != vm && w.now.Sub(last.at) < taskSettle {
				return fmt.Sprintf("after %s, %s does %s, which %s did %s earlier", w.now.Sub(shareTestStart), vm, task, last.vm, w.now.Sub(last.at))
			}
			w.owners[task] = lastOwner{vm, w.now}
			w.done++
		}
	}
	return ""
}

type shareDaemon struct {
	tracker                  *ShareTracker
	read, wrote              time.Time
	era                      uint64
	marked                   bool
	cutOffUntil, pausedUntil time.Time
}

type usedPart struct {
	at   time.Time
	part float64
}

func newShareSim(seed uint64, vms int) *shareSim {
	w := &shareSim{
		random: rand.New(rand.NewPCG(seed, 1)), now: shareTestStart, rows: map[proto.VM]uint64{}, wrote: map[proto.VM]time.Time{},
		marked: map[proto.VM]uint64{}, era: 1, daemons: map[proto.VM]*shareDaemon{}, used: map[proto.VM][]usedPart{}, owners: map[string]lastOwner{},
	}
	for i := range vms {
		w.start(vmName(i))
	}
	return w
}

func vmName(i int) proto.VM { return proto.VM(fmt.Sprintf("vm-%02d", i)) }

func (w *shareSim) start(vm proto.VM) {
	w.daemons[vm] = &shareDaemon{tracker: NewShareTracker(vm, testShareTiming)}
}

// syncRows does what a daemon does with the rows when it reaches the store.
func (w *shareSim) syncRows(vm proto.VM, d *shareDaemon) {
	if w.now.Before(d.cutOffUntil) || w.now.Before(d.pausedUntil) {
		return
	}
	if d.read.IsZero() || w.now.Sub(d.read) >= 20*time.Second {
		w.observeEra(d)
		_, listed := w.rows[vm]
		d.tracker.Start(w.now, listed && w.marked[vm] == w.era && w.now.Sub(w.wrote[vm]) < testShareTiming.MaxRowAge())
		rows := map[proto.VM]uint64{}
		for other, version := range w.rows {
			rows[other] = version
		}
		for _, gone := range d.tracker.ObserveRows(w.now, w.now, w.era, revisions(rows)) {
			delete(w.rows, gone)
		}
		d.read = w.now
	}
	usable := d.tracker.Share(w.now).Usable
	if d.wrote.IsZero() || w.now.Sub(d.wrote) >= testShareTiming.Lease/3 || usable && !d.marked {
		w.observeEra(d)
		usable = d.tracker.Share(w.now).Usable
		w.next++
		w.rows[vm], w.wrote[vm], w.marked[vm] = w.next, w.now, 0
		if usable {
			w.marked[vm] = w.era
		}
		d.wrote, d.marked = w.now, usable
		d.tracker.RowWritten(w.now, w.era)
	}
}

// observeEra lets a daemon learn the store's era from an answer.
func (w *shareSim) observeEra(d *shareDaemon) {
	if d.era == w.era {
		return
	}
	d.era = w.era
	d.tracker.StoreRestored(w.now, w.era)
	d.wrote, d.marked = time.Time{}, false
}

func (w *shareSim) injectFault(vms int) {
	vm := vmName(w.random.IntN(2 * vms))
	d := w.daemons[vm]
	length := time.Duration(w.random.Int64N(int64(15 * time.Minute)))
	if w.random.IntN(2) == 0 {
		length = time.Duration(w.random.Int64N(int64(time.Minute)))
	}
	switch {
	case d == nil:
		w.start(vm)
	case w.random.IntN(3) == 0:
		delete(w.daemons, vm)
	case w.random.IntN(3) == 0:
		w.start(vm)
	case w.random.IntN(2) == 0:
		d.cutOffUntil = w.now.Add(length)
	default:
		d.pausedUntil = w.now.Add(length)
	}
}

// totalUsed records what each daemon may use now, and returns what all of them may have used within a window, as a
// fraction of the limit.
func (w *shareSim) totalUsed() float64 {
	for vm, d := range w.daemons {
		if s := d.tracker.Share(w.now); s.Usable && !w.now.Before(d.pausedUntil) {
			w.used[vm] = append(w.used[vm], usedPart{w.now, 1 / float64(s.VMCount)})
		}
	}
	sum := 0.0
	for vm, parts := range w.used {
		for len(parts) > 0 && w.now.Sub(parts[0].at) >= testShareTiming.Window {
			parts = parts[1:]
		}
		w.used[vm] = parts
		largest := 0.0
		for _, p := range parts {
			largest = max(largest, p.part)
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
		w := newShareSim(seed, vms)
		for end := shareTestStart.Add(2 * time.Hour); w.now.Before(end); w.now = w.now.Add(2 * time.Second) {
			for vm, d := range w.daemons {
				w.syncRows(vm, d)
			}
			w.keepCopy()
			if w.random.IntN(30) == 0 {
				w.injectFault(vms)
			}
			if restores && w.random.IntN(200) == 0 {
				w.restore()
			}
			if sum := w.totalUsed(); sum > 1.000001 {
				return fmt.Sprintf("after %s the shares add up to %.3f", w.now.Sub(shareTestStart), sum)
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
		w := newShareSim(seed, vms)
		for end := shareTestStart.Add(2 * time.Hour); w.now.Before(end); w.now = w.now.Add(2 * time.Second) {
			for vm, d := range w.daemons {
				w.syncRows(vm, d)
			}
			w.keepCopy()
			if w.random.IntN(30) == 0 {
				w.injectFault(vms)
			}
			if restores && w.random.IntN(200) == 0 {
				w.restore()
			}
			if fault := w.doTasks(); fault != "" {
				return fault
			}
		}
		if w.done == 0 {
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
	c := establishedTracker("a", "b")
	wantShare(t, c, shareTestStart, 2, ShareUsable)
	c.StoreRestored(shareTestStart, 2)
	wantShare(t, c, shareTestStart, 2, ShareStarting)
	c.RowWritten(shareTestStart.Add(-time.Second), 1)
	c.ObserveRows(shareTestStart, shareTestStart, 1, revisions(map[proto.VM]uint64{"a": 1}))
	past := shareTestStart.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	wantShare(t, c, past, 2, ShareRowExpired)
	rewritten := shareTestStart.Add(10 * time.Second)
	c.RowWritten(rewritten, 2)
	c.ObserveRows(rewritten, rewritten, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, past, 2, ShareStarting)
	usable := rewritten.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	c.ObserveRows(usable, usable, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, usable, 2, ShareUsable)
	c.StoreRestored(usable, 2)
	wantShare(t, c, usable, 2, ShareUsable)
	// A row may have been in flight when the store was restored.
	c.StoreRestored(usable, 3)
	c.RowWritten(usable.Add(-time.Second), 3)
	c.ObserveRows(usable, usable, 3, revisions(map[proto.VM]uint64{"a": 9}))
	next := usable.Add(testShareTiming.MaxReadAge + testShareTiming.Window)
	c.ObserveRows(next, next, 3, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, next.Add(-time.Millisecond), 2, ShareStarting)
	wantShare(t, c, next, 2, ShareUsable)
}
