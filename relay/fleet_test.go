package relay

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

func testTarget(id, pool, zone string) proto.RelayTarget {
	return proto.RelayTarget{ID: id, Pool: pool, Zone: zone, Slots: 4}
}

// rev is a revision of a store without eras.
func rev(version uint64) proto.Revision { return proto.Revision{Version: version} }

func putChange(version uint64, t proto.RelayTarget) FleetChange {
	return FleetChange{ID: t.ID, Version: rev(version), Target: t}
}

func removeChange(version uint64, id string) FleetChange {
	return FleetChange{ID: id, Version: rev(version), Removed: true}
}

func fleetWith(changes ...FleetChange) *Fleet {
	f := NewFleet(func(string) {})
	f.ApplyChanges(start, changes)
	return f
}

func usableIDs(f *Fleet, pool string) string {
	all := ""
	for _, t := range f.Usable(start, pool) {
		all += t.ID + " "
	}
	return all
}

func TestLeavingAndRemovedTargetsAreNotPicked(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	leaving := testTarget("a", "p", "z")
	leaving.Leaving = true
	f.ApplyChanges(start, []FleetChange{putChange(3, leaving)})
	for range 10 {
		if got := f.Pick(start, "p", TargetCriteria{}); got.Spec.ID != "b" {
			t.Fatalf("a leaving target was picked: %s", got.Spec.ID)
		}
	}
	f.ApplyChanges(start, []FleetChange{removeChange(4, "b")})
	if got := f.Pick(start, "p", TargetCriteria{}); got != nil {
		t.Errorf("%s was picked from a pool without targets", got.Spec.ID)
	}
}

func TestOutdatedChangesAreIgnored(t *testing.T) {
	f := fleetWith(putChange(5, testTarget("a", "p", "z")), putChange(6, testTarget("b", "p", "z")))
	leaving := testTarget("a", "p", "z")
	leaving.Leaving = true
	f.ApplyChanges(start, []FleetChange{putChange(9, leaving)})
	f.ApplyChanges(start, []FleetChange{putChange(5, testTarget("a", "p", "z"))})
	if got := usableIDs(f, "p"); got != "b " {
		t.Errorf("usable after an older entry: %q", got)
	}
	if _, taken := f.Replace(start, rev(8), []FleetChange{putChange(5, testTarget("a", "p", "z"))}, false); taken {
		t.Error("a list older than the newest change was applied")
	}
	if got := usableIDs(f, "p"); got != "b " {
		t.Errorf("usable after an older list: %q", got)
	}
	if _, taken := f.Replace(start, rev(9), []FleetChange{putChange(9, leaving)}, false); !taken || usableIDs(f, "p") != "" {
		t.Errorf("usable after a list without b: %q", usableIDs(f, "p"))
	}
}

func TestFleetVersionDependsOnKnownChanges(t *testing.T) {
	changes := []FleetChange{putChange(3, testTarget("a", "p", "z")), putChange(7, testTarget("b", "p", "z")), removeChange(11, "a")}
	byWatch, byList := fleetWith(changes...), NewFleet(func(string) {})
	byList.Replace(start, rev(40), []FleetChange{putChange(7, testTarget("b", "p", "z"))}, false)
	byList.ApplyChanges(start, []FleetChange{removeChange(11, "a")})
	if byWatch.Version() != byList.Version() {
		t.Errorf("versions %s and %s", byWatch.Version(), byList.Version())
	}
}

func TestEntriesLapseWhileStoreIsDown(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(f *Fleet, now time.Time)
		want string
	}
	storeDown := func(f *Fleet, now time.Time) { f.MarkStoreDown(now) }
	storeUp := func(f *Fleet, now time.Time) { f.MarkStoreUp(now) }
	remove := func(f *Fleet, now time.Time) { f.ApplyChanges(now, []FleetChange{removeChange(5, "a")}) }
	putAgain := func(f *Fleet, now time.Time) {
		f.ApplyChanges(now, []FleetChange{putChange(6, testTarget("a", "p", "z"))})
	}
	sweep := func(f *Fleet, now time.Time) { f.Sweep(now) }
	scenarios := []struct {
		name  string
		steps []step
	}{
		{"store is up", []step{{0, remove, "b "}}},
		{"lapsed and back", []step{
			{0, storeDown, "a b "},
			{4 * time.Second, storeUp, "a b "},
			{4 * time.Second, remove, "a b "},
			{5 * time.Second, putAgain, "a b "},
			{7 * time.Second, sweep, "a b "},
		}},
		{"lapsed and removed", []step{
			{0, storeDown, "a b "},
			{4 * time.Second, storeUp, "a b "},
			{4 * time.Second, remove, "a b "},
			{5 * time.Second, sweep, "a b "},
			{4*time.Second + lapseGracePeriod, sweep, "b "},
		}},
		{"lapse reported by another daemon", []step{
			{0, func(f *Fleet, now time.Time) {
				f.ApplyChanges(now, []FleetChange{{ID: "a", Version: rev(5), Removed: true, FromPeer: true, Lapsed: true}})
			}, "a b "},
			{time.Second, sweep, "a b "},
			{lapseGracePeriod, sweep, "b "},
		}},
		{"removed after the store is up", []step{{0, storeDown, "a b "}, {4 * time.Second, storeUp, "a b "}, {4*time.Second + lapseDetectWindow, remove, "b "}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
			for i, step := range s.steps {
				step.do(f, start.Add(step.at))
				if got := usableIDs(f, "p"); got != step.want {
					t.Fatalf("step %d: usable %q, want %q", i, got, step.want)
				}
			}
		})
	}
}

// A daemon that reaches the store learns of a removal first from one that does not.
func TestLapseReportedByPeerIsChecked(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	reported := removeChange(5, "a")
	reported.FromPeer, reported.Lapsed = true, true
	ids, before := f.LapsedTargets(f.ApplyChanges(start, []FleetChange{reported}))
	if fmt.Sprint(ids) != "[a]" || before != rev(4) {
		t.Fatalf("targets to check: %v after version %s", ids, before)
	}
	if f.MarkSuspected("a"); usableIDs(f, "p") != "b " {
		t.Errorf("usable %q, though another daemon saw it leave", usableIDs(f, "p"))
	}
}

// Simulates a daemon whose requests were rejected by a store that served others.
func TestSuspectedTargetIsAvoided(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	f.MarkStoreDown(start)
	events := f.ApplyChanges(start, []FleetChange{removeChange(5, "a")})
	ids, before := f.LapsedTargets(events)
	if fmt.Sprint(ids) != "[a]" || before != rev(4) {
		t.Fatalf("lapsed %v after version %s", ids, before)
	}
	if events := f.MarkSuspected("a"); len(events) != 1 || usableIDs(f, "p") != "b " {
		t.Errorf("usable %q, events %v", usableIDs(f, "p"), events)
	}
	if events := f.MarkSuspected("a"); len(events) != 0 {
		t.Errorf("suspected twice: %v", events)
	}
	for range 4 {
		if got := f.Pick(start, "p", TargetCriteria{}); got.Spec.ID != "b" {
			t.Fatalf("picked %s", got.Spec.ID)
		}
	}
	f.ApplyChanges(start, []FleetChange{removeChange(6, "b")})
	if got := f.Pick(start, "p", TargetCriteria{}); got == nil || usableIDs(f, "p") != "a b " && usableIDs(f, "p") != "b " {
		t.Errorf("without any other target: %v, usable %q", got, usableIDs(f, "p"))
	}
	f.ApplyChanges(start, []FleetChange{putChange(7, testTarget("a", "p", "z"))})
	if usableIDs(f, "p") != "a b " {
		t.Errorf("usable after the entry is back: %q", usableIDs(f, "p"))
	}
}

func TestLeavingTargetIgnoresOlderEntries(t *testing.T) {
	leaving := testTarget("a", "p", "z")
	leaving.Leaving = true
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")), putChange(5, leaving))
	f.MarkStoreDown(start)
	f.ApplyChanges(start, []FleetChange{putChange(3, testTarget("a", "p", "z"))})
	f.Replace(start, rev(4), []FleetChange{putChange(1, testTarget("a", "p", "z"))}, false)
	f.MarkStoreUp(start)
	if usableIDs(f, "p") != "b " {
		t.Errorf("usable %q", usableIDs(f, "p"))
	}
}

func TestLeavingEntryDoesNotLapse(t *testing.T) {
	leaving := testTarget("a", "p", "z")
	leaving.Leaving = true
	f := fleetWith(putChange(1, leaving))
	f.MarkStoreDown(start)
	events := f.ApplyChanges(start, []FleetChange{removeChange(2, "a")})
	if len(events) != 1 || events[0].Outcome != outcomeRemoved {
		t.Errorf("events %v", events)
	}
}

func TestFailingTargetsAreEjectedAndReturn(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	fail := func(now time.Time, id string) {
		target := f.PickByID(now, "p", id, TargetCriteria{})
		f.FinishAttempt(now, target, TargetCriteria{}, false, VerdictFailure, Load{})
	}
	fail(start, "a")
	for range 5 {
		if got := f.Pick(start, "p", TargetCriteria{}); got.Spec.ID != "b" {
			t.Fatal("a target was picked just after it failed")
		}
	}
	fail(start, "b")
	if f.Pick(start, "p", TargetCriteria{}) == nil {
		t.Error("none was picked with all targets failing: an unhealthy one is better than none")
	}
	if out := f.ExcludedTargets(start.Add(maxEjection), "p", BrittleQuota{}); len(out) != 0 {
		t.Errorf("%v stay ejected", out)
	}
	for i := range 6 {
		fail(start.Add(time.Duration(i)*time.Millisecond), "a")
	}
	if out := f.ExcludedTargets(start.Add(maxEjection-time.Second), "p", BrittleQuota{}); fmt.Sprint(out) != "[a]" {
		t.Errorf("ejected after consecutive failures: %v", out)
	}
}

func TestTriedTargetsAreNotPickedAgain(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	if got := f.Pick(start, "p", TargetCriteria{Tried: map[string]bool{"a": true}}); got.Spec.ID != "b" {
		t.Errorf("picked %s", got.Spec.ID)
	}
	if got := f.Pick(start, "p", TargetCriteria{Tried: map[string]bool{"a": true, "b": true}}); got != nil {
		t.Errorf("picked %s, which was already tried", got.Spec.ID)
	}
}

func TestPickBalancesLoadAndZone(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("far", "p", "y")), putChange(2, testTarget("near", "p", "z")))
	if got := f.Pick(start, "p", TargetCriteria{Zone: "z"}); got.Spec.ID != "near" {
		t.Errorf("the first attempt went to %s", got.Spec.ID)
	}
	counts := map[string]int{}
	for range 7 {
		counts[f.Pick(start, "p", TargetCriteria{Zone: "z"}).Spec.ID]++
	}
	if counts["near"] == 0 || counts["far"] == 0 {
		t.Errorf("picked %v: a busy target nearby costs more than an idle one in another zone", counts)
	}
}

// Requests are sent one at a time, so that all targets are idle at each choice.
func TestPickRotatesEqualTargets(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")), putChange(3, testTarget("c", "p", "z")))
	counts := map[string]int{}
	for range 30 {
		target := f.Pick(start, "p", TargetCriteria{Zone: "z"})
		counts[target.Spec.ID]++
		f.FinishAttempt(start, target, TargetCriteria{}, true, VerdictSuccess, Load{})
	}
	if counts["a"] != 10 || counts["b"] != 10 || counts["c"] != 10 {
		t.Errorf("picked %v", counts)
	}
}

func TestCompleteListIsAppliedWhileStoreIsDown(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	f.MarkStoreDown(start)
	if _, taken := f.Replace(start, rev(9), []FleetChange{putChange(2, testTarget("b", "p", "z"))}, true); !taken || usableIDs(f, "p") != "b " {
		t.Errorf("usable %q", usableIDs(f, "p"))
	}
	if f.Version() != rev(9) {
		t.Errorf("version %s: the daemon would request the same list repeatedly", f.Version())
	}
}

// BenchmarkFleetStart measures a daemon that takes over the targets of a large deployment one by one.
func BenchmarkFleetStart(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := NewFleet(func(string) {})
				for i := range n {
					t := testTarget(fmt.Sprint("t-", i), "p", "z")
					f.ApplyChanges(start, []FleetChange{{ID: t.ID, Version: rev(uint64(i + 1)), Target: t}})
				}
				f.Usable(start, "p")
			}
		})
	}
}

// TestSweepDoesNotVisitCalmTargets states that the periodic check of the fleet costs the same at any size while no target is cold or has
// lapsed: it runs several times a second at each daemon.
func TestSweepDoesNotVisitCalmTargets(t *testing.T) {
	for _, targets := range []int{300, 3000} {
		var changes []FleetChange
		for i := range targets {
			changes = append(changes, putChange(uint64(i+1), testTarget(fmt.Sprint("t-", i), "p", "z")))
		}
		f := fleetWith(changes...)
		if allocations := testing.AllocsPerRun(10, func() { f.Sweep(start.Add(time.Second)) }); len(f.watched) > 0 || allocations > 4 {
			t.Errorf("%d targets: %d are checked, with %.0f allocations", targets, len(f.watched), allocations)
		}
	}
}

// TestOlderAnswerListsNoRemovedTarget guards against an answer of another daemon that arrives after the removal of a target that it still
// lists: the target was used again, though its address may be another's by then.
func TestOlderAnswerListsNoRemovedTarget(t *testing.T) {
	put3, put7, remove6 := putChange(3, testTarget("a", "p", "z")), putChange(7, testTarget("a", "p", "z")), removeChange(6, "a")
	whole := func(asOf uint64, complete bool) func(*Fleet) {
		return func(f *Fleet) {
			f.Replace(start, rev(asOf), []FleetChange{putChange(2, testTarget("b", "p", "z"))}, complete)
		}
	}
	apply := func(changes ...FleetChange) func(*Fleet) {
		return func(f *Fleet) { f.ApplyChanges(start, changes) }
	}
	wait := func(f *Fleet) { f.Sweep(start.Add(departedRetention / 2)) }
	scenarios := []struct {
		name  string
		steps []func(*Fleet)
		want  string
	}{
		{"an older state after the removal", []func(*Fleet){apply(put3), apply(remove6), apply(put3)}, ""},
		{"an older state of a target that was never listed", []func(*Fleet){apply(remove6), apply(put3)}, ""},
		{"an older state after a while", []func(*Fleet){apply(put3), apply(remove6), wait, apply(put3)}, ""},
		{"an older state after a whole list without it", []func(*Fleet){apply(put3), whole(6, true), apply(put3)}, "b "},
		{"an older state after the list of the store", []func(*Fleet){apply(put3), whole(6, false), apply(put3)}, "b "},
		{"an older state in the same answer", []func(*Fleet){apply(remove6, put3)}, ""},
		{"a later state", []func(*Fleet){apply(put3), apply(remove6), apply(put7)}, "a "},
		{"a later state, and then an older one", []func(*Fleet){apply(put3), apply(remove6), apply(put7), apply(put3)}, "a "},
		{"a later state and a removal before it", []func(*Fleet){apply(put7), apply(remove6)}, "a "},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := NewFleet(func(string) {})
			for _, step := range s.steps {
				step(f)
			}
			if got := usableIDs(f, "p"); got != s.want {
				t.Errorf("usable: %q, want %q", got, s.want)
			}
		})
	}
}
