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
	censusTiming = ShareTiming{Window: 11 * time.Second, Lease: 10 * time.Minute, MaxReadAge: 45 * time.Second}
	censusStart  = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
)

// revisions are those of rows of a store that tells of no eras.
func revisions(versions map[proto.VM]uint64) map[proto.VM]proto.Revision {
	rows := map[proto.VM]proto.Revision{}
	for vm, version := range versions {
		rows[vm] = proto.Revision{Version: version}
	}
	return rows
}

// settledCensus is that of a daemon which has run for long among others.
func settledCensus(self proto.VM, others ...proto.VM) *ShareTracker {
	c := NewShareTracker(self, censusTiming)
	early := censusStart.Add(-time.Hour)
	c.Start(early, true)
	for at := early; !at.After(censusStart); at = at.Add(time.Minute) {
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
	if s := c.Share(at); s.VMCount != counted || s.Reason != reason || s.Usable != (reason == ShareFull) {
		t.Errorf("share %+v, want %d counted and reason %q", s, counted, reason)
	}
}

func TestAStartedDaemonHasNoShareUntilWhatItSpentIsOver(t *testing.T) {
	c := NewShareTracker("a", censusTiming)
	c.Start(censusStart, true)
	c.RowWritten(censusStart, 0)
	c.ObserveRows(censusStart, censusStart, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, c, censusStart, 2, ShareStarting)
	wantShare(t, c, censusStart.Add(10*time.Second), 2, ShareStarting)
	wantShare(t, c, censusStart.Add(11*time.Second), 2, ShareFull)
}

func TestADaemonThatNobodyKnowsWaitsUntilAllHaveReadOfIt(t *testing.T) {
	c := NewShareTracker("a", censusTiming)
	c.Start(censusStart, false)
	c.RowWritten(censusStart, 0)
	for _, at := range []time.Duration{0, 20 * time.Second, 40 * time.Second} {
		c.ObserveRows(censusStart.Add(at), censusStart.Add(at), 0, revisions(map[proto.VM]uint64{"a": 1}))
	}
	wantShare(t, c, censusStart.Add(55*time.Second), 1, ShareStarting)
	wantShare(t, c, censusStart.Add(56*time.Second), 1, ShareFull)
}

func TestADaemonThatHasMetNobodyHasNoShare(t *testing.T) {
	c := NewShareTracker("a", censusTiming)
	wantShare(t, c, censusStart.Add(time.Hour), 1, ShareStarting)
	c.Start(censusStart, true)
	wantShare(t, c, censusStart.Add(time.Hour), 1, ShareUnlisted)
	c.RowWritten(censusStart.Add(time.Second), 0)
	wantShare(t, c, censusStart.Add(20*time.Second), 1, ShareUnread)
}

func TestSilenceDoesNotGiveTheShareOfTheDead(t *testing.T) {
	c := settledCensus("a", "b", "c")
	for at := censusStart; at.Before(censusStart.Add(10 * time.Minute)); at = at.Add(20 * time.Second) {
		c.RowWritten(at, 0)
		c.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": uint64(at.Unix()), "c": uint64(censusStart.Unix())}))
		wantShare(t, c, at, 3, ShareFull)
	}
}

func TestAVMWhoseLeaseIsOverIsNotCounted(t *testing.T) {
	c := settledCensus("a", "b", "c")
	after := censusStart.Add(censusTiming.Lease + censusTiming.Window + time.Second)
	c.RowWritten(censusStart.Add(censusTiming.Lease/3), 0)
	c.RowWritten(censusStart.Add(censusTiming.Lease*2/3), 0)
	over := c.ObserveRows(after, after, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 7, "c": uint64(censusStart.Unix())}))
	if len(over) != 1 || over[0] != "c" {
		t.Errorf("over: %v", over)
	}
	wantShare(t, c, after, 2, ShareFull)
}

func TestADaemonThatTheStoreTurnsAwayGivesItsShareUp(t *testing.T) {
	c := settledCensus("a", "b")
	wantShare(t, c, censusStart.Add(45*time.Second), 2, ShareFull)
	wantShare(t, c, censusStart.Add(46*time.Second), 2, ShareUnread)
	at := censusStart.Add(10*time.Minute + time.Second)
	c.ObserveRows(at, at, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 2}))
	wantShare(t, c, at, 2, ShareUnlisted)
	// The others may have ceased to count it, so it starts like a new one.
	c.RowWritten(at, 0)
	wantShare(t, c, at, 2, ShareStarting)
	late := at.Add(56 * time.Second)
	c.ObserveRows(late, late, 0, revisions(map[proto.VM]uint64{"a": 1, "b": 3}))
	wantShare(t, c, late, 2, ShareFull)
}

func TestAShareShrinksAtOnceWhenSomebodyIsMet(t *testing.T) {
	c := settledCensus("a", "b")
	wantShare(t, c, censusStart, 2, ShareFull)
	c.ObserveVMs(censusStart, "d")
	wantShare(t, c, censusStart, 3, ShareFull)
}

// censusWorld plays a deployment whose daemons start, die, are paused and are cut off from the store for a time. Links
// between daemons carry nothing, so that all they know is what the rows say.
type censusWorld struct {
	random *rand.Rand
	now    time.Time
	rows   map[proto.VM]uint64
	wrote  map[proto.VM]time.Time
	marked map[proto.VM]uint64
	next   uint64
	// era is that of the store, and copies are of its rows at earlier moments, from one of which it is restored now and then.
	era    uint64
	copies []censusRows
	// done is how often a task was done.
	done  int
	alive map[proto.VM]*censusDaemon
	// held are the latest moments at which each VM's daemon could use a part of the limit, with the part.
	used map[proto.VM][]usedPart
	// sole holds for each task who did it last, and when.
	sole map[string]lastSole
}

// censusRows are the rows of the platform's store as of a moment.
type censusRows struct {
	rows   map[proto.VM]uint64
	wrote  map[proto.VM]time.Time
	marked map[proto.VM]uint64
}

// keepCopy copies the rows; copies are some seconds apart, and a few are kept.
func (w *censusWorld) keepCopy() {
	w.copies = append(w.copies, censusRows{maps.Clone(w.rows), maps.Clone(w.wrote), maps.Clone(w.marked)})
	if len(w.copies) > 15 {
		w.copies = w.copies[1:]
	}
}

// restore brings the store back from a copy of up to half a minute before.
func (w *censusWorld) restore() {
	if len(w.copies) == 0 {
		return
	}
	c := w.copies[w.random.IntN(len(w.copies))]
	w.rows, w.wrote, w.marked = maps.Clone(c.rows), maps.Clone(c.wrote), maps.Clone(c.marked)
	w.copies = nil
	w.era++
}

type lastSole struct {
	vm proto.VM
	at time.Time
}

// taskSettle is how long a task of the histories rests between two VMs that do it.
const taskSettle = 9 * time.Second

// doTasks has each daemon that may do a task do it, and tells of two VMs that do so within the settling time.
func (w *censusWorld) doTasks() string {
	for i := range 6 {
		task := fmt.Sprint("task-", i)
		for vm, d := range w.alive {
			if w.now.Before(d.pausing) || !d.census.OwnsExclusively(w.now, task, taskSettle) {
				continue
			}
			if last, done := w.sole[task]; done && last.vm != vm && w.now.Sub(last.at) < taskSettle {
				return fmt.Sprintf("after %s %s does %s, which %s did %s before", w.now.Sub(censusStart), vm, task, last.vm, w.now.Sub(last.at))
			}
			w.sole[task] = lastSole{vm, w.now}
			w.done++
		}
	}
	return ""
}

type censusDaemon struct {
	census          *ShareTracker
	read, wrote     time.Time
	era             uint64
	marked          bool
	cutOff, pausing time.Time
}

type usedPart struct {
	at   time.Time
	part float64
}

func newCensusWorld(seed uint64, vms int) *censusWorld {
	w := &censusWorld{
		random: rand.New(rand.NewPCG(seed, 1)), now: censusStart, rows: map[proto.VM]uint64{}, wrote: map[proto.VM]time.Time{},
		marked: map[proto.VM]uint64{}, era: 1, alive: map[proto.VM]*censusDaemon{}, used: map[proto.VM][]usedPart{}, sole: map[string]lastSole{},
	}
	for i := range vms {
		w.start(vmName(i))
	}
	return w
}

func vmName(i int) proto.VM { return proto.VM(fmt.Sprintf("vm-%02d", i)) }

func (w *censusWorld) start(vm proto.VM) {
	w.alive[vm] = &censusDaemon{census: NewShareTracker(vm, censusTiming)}
}

// list does what a daemon does with the rows when it reaches the store.
func (w *censusWorld) list(vm proto.VM, d *censusDaemon) {
	if w.now.Before(d.cutOff) || w.now.Before(d.pausing) {
		return
	}
	if d.read.IsZero() || w.now.Sub(d.read) >= 20*time.Second {
		w.seesEra(d)
		_, listed := w.rows[vm]
		d.census.Start(w.now, listed && w.marked[vm] == w.era && w.now.Sub(w.wrote[vm]) < censusTiming.MaxRowAge())
		rows := map[proto.VM]uint64{}
		for other, version := range w.rows {
			rows[other] = version
		}
		for _, gone := range d.census.ObserveRows(w.now, w.now, w.era, revisions(rows)) {
			delete(w.rows, gone)
		}
		d.read = w.now
	}
	usable := d.census.Share(w.now).Usable
	if d.wrote.IsZero() || w.now.Sub(d.wrote) >= censusTiming.Lease/3 || usable && !d.marked {
		w.seesEra(d)
		usable = d.census.Share(w.now).Usable
		w.next++
		w.rows[vm], w.wrote[vm], w.marked[vm] = w.next, w.now, 0
		if usable {
			w.marked[vm] = w.era
		}
		d.wrote, d.marked = w.now, usable
		d.census.RowWritten(w.now, w.era)
	}
}

// seesEra has a daemon learn of the store's era by an answer.
func (w *censusWorld) seesEra(d *censusDaemon) {
	if d.era == w.era {
		return
	}
	d.era = w.era
	d.census.StoreRestored(w.now, w.era)
	d.wrote, d.marked = time.Time{}, false
}

func (w *censusWorld) disturb(vms int) {
	vm := vmName(w.random.IntN(2 * vms))
	d := w.alive[vm]
	length := time.Duration(w.random.Int64N(int64(15 * time.Minute)))
	if w.random.IntN(2) == 0 {
		length = time.Duration(w.random.Int64N(int64(time.Minute)))
	}
	switch {
	case d == nil:
		w.start(vm)
	case w.random.IntN(3) == 0:
		delete(w.alive, vm)
	case w.random.IntN(3) == 0:
		w.start(vm)
	case w.random.IntN(2) == 0:
		d.cutOff = w.now.Add(length)
	default:
		d.pausing = w.now.Add(length)
	}
}

// share notes what each daemon may use now, and returns what all may have used within a window, in parts of the limit.
func (w *censusWorld) share() float64 {
	for vm, d := range w.alive {
		if s := d.census.Share(w.now); s.Usable && !w.now.Before(d.pausing) {
			w.used[vm] = append(w.used[vm], usedPart{w.now, 1 / float64(s.VMCount)})
		}
	}
	sum := 0.0
	for vm, parts := range w.used {
		for len(parts) > 0 && w.now.Sub(parts[0].at) >= censusTiming.Window {
			parts = parts[1:]
		}
		w.used[vm] = parts
		most := 0.0
		for _, p := range parts {
			most = max(most, p.part)
		}
		sum += most
	}
	return sum
}

// TestTheSharesNeverComeToMoreThanTheLimit plays random histories, in half of which the store is restored from copies. What a daemon may use in a window is the largest
// share that it had then.
func TestTheSharesNeverComeToMoreThanTheLimit(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("shares", prop.ForAll(func(seed uint64, vms int, restores bool) string {
		w := newCensusWorld(seed, vms)
		for end := censusStart.Add(2 * time.Hour); w.now.Before(end); w.now = w.now.Add(2 * time.Second) {
			for vm, d := range w.alive {
				w.list(vm, d)
			}
			w.keepCopy()
			if w.random.IntN(30) == 0 {
				w.disturb(vms)
			}
			if restores && w.random.IntN(200) == 0 {
				w.restore()
			}
			if sum := w.share(); sum > 1.000001 {
				return fmt.Sprintf("after %s the shares come to %.3f", w.now.Sub(censusStart), sum)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(2, 8), gen.Bool()))
	properties.TestingRun(t)
}

// TestATaskForOneIsDoneByOne plays such histories of tasks that one VM may do at a time.
func TestATaskForOneIsDoneByOne(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("tasks", prop.ForAll(func(seed uint64, vms int, restores bool) string {
		w := newCensusWorld(seed, vms)
		for end := censusStart.Add(2 * time.Hour); w.now.Before(end); w.now = w.now.Add(2 * time.Second) {
			for vm, d := range w.alive {
				w.list(vm, d)
			}
			w.keepCopy()
			if w.random.IntN(30) == 0 {
				w.disturb(vms)
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

// TestTheTasksAreDividedBetweenAll has all daemons run undisturbed: each task is done by one of them, and all have some.
func TestTheTasksAreDividedBetweenAll(t *testing.T) {
	vms := []proto.VM{"a", "b", "c", "d"}
	counts := map[proto.VM]int{}
	for i := range 400 {
		task := fmt.Sprint("task-", i)
		doing := 0
		for _, vm := range vms {
			if settledCensus(vm, vms...).OwnsExclusively(censusStart, task, taskSettle) {
				doing++
				counts[vm]++
			}
		}
		if doing != 1 {
			t.Fatalf("%d daemons do %s", doing, task)
		}
	}
	for _, vm := range vms {
		if counts[vm] < 70 || counts[vm] > 130 {
			t.Errorf("%s does %d of 400 tasks", vm, counts[vm])
		}
	}
}

// TestARestoredStoreProvesNothingOfBefore has a VM whose row was written after the copy was made: others that start now do not know
// of it, so it must not use its share before they do, nor they theirs while it may not have heard of the restoration.
func TestARestoredStoreProvesNothingOfBefore(t *testing.T) {
	c := settledCensus("a", "b")
	wantShare(t, c, censusStart, 2, ShareFull)
	c.StoreRestored(censusStart, 2)
	wantShare(t, c, censusStart, 2, ShareStarting)
	c.RowWritten(censusStart.Add(-time.Second), 1)
	c.ObserveRows(censusStart, censusStart, 1, revisions(map[proto.VM]uint64{"a": 1}))
	past := censusStart.Add(censusTiming.MaxReadAge + censusTiming.Window)
	wantShare(t, c, past, 2, ShareUnlisted)
	rewritten := censusStart.Add(10 * time.Second)
	c.RowWritten(rewritten, 2)
	c.ObserveRows(rewritten, rewritten, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, past, 2, ShareStarting)
	usable := rewritten.Add(censusTiming.MaxReadAge + censusTiming.Window)
	c.ObserveRows(usable, usable, 2, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, usable, 2, ShareFull)
	c.StoreRestored(usable, 2)
	wantShare(t, c, usable, 2, ShareFull)
	// A row may have been on its way when the store came back.
	c.StoreRestored(usable, 3)
	c.RowWritten(usable.Add(-time.Second), 3)
	c.ObserveRows(usable, usable, 3, revisions(map[proto.VM]uint64{"a": 9}))
	next := usable.Add(censusTiming.MaxReadAge + censusTiming.Window)
	c.ObserveRows(next, next, 3, revisions(map[proto.VM]uint64{"a": 9}))
	wantShare(t, c, next.Add(-time.Millisecond), 2, ShareStarting)
	wantShare(t, c, next, 2, ShareFull)
}
