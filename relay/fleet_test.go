package relay

import (
	"fmt"
	"testing"
	"time"

	"emberlead/proto"
)

func listed(id, pool, zone string) proto.RelayTarget {
	return proto.RelayTarget{ID: id, Pool: pool, Zone: zone, Slots: 4}
}

// rev is a revision of a store that tells of no eras.
func rev(version uint64) proto.Revision { return proto.Revision{Version: version} }

func put(version uint64, t proto.RelayTarget) FleetChange {
	return FleetChange{ID: t.ID, Version: rev(version), Target: t}
}

func removed(version uint64, id string) FleetChange {
	return FleetChange{ID: id, Version: rev(version), Removed: true}
}

func newFleet(changes ...FleetChange) *Fleet {
	f := NewFleet(func(string) {})
	f.Change(start, changes)
	return f
}

func names(f *Fleet, pool string) string {
	all := ""
	for _, t := range f.Usable(start, pool) {
		all += t.ID + " "
	}
	return all
}

func TestLeavingAndRemovedTargetsGetNoNewWork(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	leaving := listed("a", "p", "z")
	leaving.Leaving = true
	f.Change(start, []FleetChange{put(3, leaving)})
	for range 10 {
		if got := f.Pick(start, "p", Want{}); got.Spec.ID != "b" {
			t.Fatalf("a leaving target was picked: %s", got.Spec.ID)
		}
	}
	f.Change(start, []FleetChange{removed(4, "b")})
	if got := f.Pick(start, "p", Want{}); got != nil {
		t.Errorf("%s was picked from a pool without targets", got.Spec.ID)
	}
}

func TestOlderEntriesAndListsAreIgnored(t *testing.T) {
	f := newFleet(put(5, listed("a", "p", "z")), put(6, listed("b", "p", "z")))
	leaving := listed("a", "p", "z")
	leaving.Leaving = true
	f.Change(start, []FleetChange{put(9, leaving)})
	f.Change(start, []FleetChange{put(5, listed("a", "p", "z"))})
	if got := names(f, "p"); got != "b " {
		t.Errorf("usable after an older entry: %q", got)
	}
	if _, taken := f.Replace(start, rev(8), []FleetChange{put(5, listed("a", "p", "z"))}, false); taken {
		t.Error("a list from before the newest change was taken")
	}
	if got := names(f, "p"); got != "b " {
		t.Errorf("usable after an older list: %q", got)
	}
	if _, taken := f.Replace(start, rev(9), []FleetChange{put(9, leaving)}, false); !taken || names(f, "p") != "" {
		t.Errorf("a list that lacks b leaves %q", names(f, "p"))
	}
}

func TestTwoDaemonsThatKnowTheSameShowTheSameVersion(t *testing.T) {
	changes := []FleetChange{put(3, listed("a", "p", "z")), put(7, listed("b", "p", "z")), removed(11, "a")}
	byWatch, byList := newFleet(changes...), NewFleet(func(string) {})
	byList.Replace(start, rev(40), []FleetChange{put(7, listed("b", "p", "z"))}, false)
	byList.Change(start, []FleetChange{removed(11, "a")})
	if byWatch.Version() != byList.Version() {
		t.Errorf("versions %s and %s", byWatch.Version(), byList.Version())
	}
}

func TestEntriesThatGoWhileTheStoreIsAwayStayForATime(t *testing.T) {
	type step struct {
		at   time.Duration
		do   func(f *Fleet, now time.Time)
		want string
	}
	away := func(f *Fleet, now time.Time) { f.StoreAway(now) }
	back := func(f *Fleet, now time.Time) { f.StoreBack(now) }
	gone := func(f *Fleet, now time.Time) { f.Change(now, []FleetChange{removed(5, "a")}) }
	again := func(f *Fleet, now time.Time) { f.Change(now, []FleetChange{put(6, listed("a", "p", "z"))}) }
	sweep := func(f *Fleet, now time.Time) { f.Sweep(now) }
	scenarios := []struct {
		name  string
		steps []step
	}{
		{"the store is well", []step{{0, gone, "b "}}},
		{"lapsed and back", []step{
			{0, away, "a b "},
			{4 * time.Second, back, "a b "},
			{4 * time.Second, gone, "a b "},
			{5 * time.Second, again, "a b "},
			{7 * time.Second, sweep, "a b "},
		}},
		{"lapsed and gone for good", []step{
			{0, away, "a b "},
			{4 * time.Second, back, "a b "},
			{4 * time.Second, gone, "a b "},
			{5 * time.Second, sweep, "a b "},
			{4*time.Second + lapseWait, sweep, "b "},
		}},
		{"lapsed by the word of another daemon", []step{
			{0, func(f *Fleet, now time.Time) {
				f.Change(now, []FleetChange{{ID: "a", Version: rev(5), Removed: true, Told: true, Lapsed: true}})
			}, "a b "},
			{time.Second, sweep, "a b "},
			{lapseWait, sweep, "b "},
		}},
		{"gone after the return", []step{{0, away, "a b "}, {4 * time.Second, back, "a b "}, {4*time.Second + lapseSeen, gone, "b "}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
			for i, step := range s.steps {
				step.do(f, start.Add(step.at))
				if got := names(f, "p"); got != step.want {
					t.Fatalf("step %d: usable %q, want %q", i, got, step.want)
				}
			}
		})
	}
}

// TestALapseThatWasToldIsAskedAbout has a daemon that reaches the store hear of a removal first from one that does not.
func TestALapseThatWasToldIsAskedAbout(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	told := removed(5, "a")
	told.Told, told.Lapsed = true, true
	ids, before := f.Lapsed(f.Change(start, []FleetChange{told}))
	if fmt.Sprint(ids) != "[a]" || before != rev(4) {
		t.Fatalf("to be asked about are %v after version %s", ids, before)
	}
	if f.Doubt("a"); names(f, "p") != "b " {
		t.Errorf("usable %q, though another daemon saw it leave", names(f, "p"))
	}
}

// TestALapsedTargetThatAnotherDaemonSawLeaveIsLeftOut is a daemon that was turned away by a store which served others.
func TestALapsedTargetThatAnotherDaemonSawLeaveIsLeftOut(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	f.StoreAway(start)
	notes := f.Change(start, []FleetChange{removed(5, "a")})
	ids, before := f.Lapsed(notes)
	if fmt.Sprint(ids) != "[a]" || before != rev(4) {
		t.Fatalf("lapsed %v after version %s", ids, before)
	}
	if notes := f.Doubt("a"); len(notes) != 1 || names(f, "p") != "b " {
		t.Errorf("usable %q, notes %v", names(f, "p"), notes)
	}
	if notes := f.Doubt("a"); len(notes) != 0 {
		t.Errorf("doubted twice: %v", notes)
	}
	for range 4 {
		if got := f.Pick(start, "p", Want{}); got.Spec.ID != "b" {
			t.Fatalf("picked %s", got.Spec.ID)
		}
	}
	f.Change(start, []FleetChange{removed(6, "b")})
	if got := f.Pick(start, "p", Want{}); got == nil || names(f, "p") != "a b " && names(f, "p") != "b " {
		t.Errorf("without any other target: %v, usable %q", got, names(f, "p"))
	}
	f.Change(start, []FleetChange{put(7, listed("a", "p", "z"))})
	if names(f, "p") != "a b " {
		t.Errorf("an entry that is back leaves %q", names(f, "p"))
	}
}

func TestALeavingTargetStaysSoWhateverOlderAnswersSay(t *testing.T) {
	leaving := listed("a", "p", "z")
	leaving.Leaving = true
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")), put(5, leaving))
	f.StoreAway(start)
	f.Change(start, []FleetChange{put(3, listed("a", "p", "z"))})
	f.Replace(start, rev(4), []FleetChange{put(1, listed("a", "p", "z"))}, false)
	f.StoreBack(start)
	if names(f, "p") != "b " {
		t.Errorf("usable %q", names(f, "p"))
	}
}

func TestAnEntryThatWasLeavingDoesNotLapse(t *testing.T) {
	leaving := listed("a", "p", "z")
	leaving.Leaving = true
	f := newFleet(put(1, leaving))
	f.StoreAway(start)
	notes := f.Change(start, []FleetChange{removed(2, "a")})
	if len(notes) != 1 || notes[0].Outcome != outcomeRemoved {
		t.Errorf("notes %v", notes)
	}
}

func TestFailingTargetsAreLeftOutAndComeBack(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	fail := func(now time.Time, id string) {
		target := f.Take(now, "p", id, Want{})
		f.Ended(now, target, Want{}, false, VerdictBad, Load{})
	}
	fail(start, "a")
	for range 5 {
		if got := f.Pick(start, "p", Want{}); got.Spec.ID != "b" {
			t.Fatal("a target was picked just after it failed")
		}
	}
	fail(start, "b")
	if f.Pick(start, "p", Want{}) == nil {
		t.Error("with all targets failing, none was picked: a bad one is better than none")
	}
	if out := f.Out(start.Add(ejectMost), "p"); len(out) != 0 {
		t.Errorf("%v are out for ever", out)
	}
	for i := range 6 {
		fail(start.Add(time.Duration(i)*time.Millisecond), "a")
	}
	if out := f.Out(start.Add(ejectMost-time.Second), "p"); fmt.Sprint(out) != "[a]" {
		t.Errorf("out after failures in a row: %v", out)
	}
}

func TestTriedTargetsAreNotPickedAgain(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	if got := f.Pick(start, "p", Want{Tried: map[string]bool{"a": true}}); got.Spec.ID != "b" {
		t.Errorf("picked %s", got.Spec.ID)
	}
	if got := f.Pick(start, "p", Want{Tried: map[string]bool{"a": true, "b": true}}); got != nil {
		t.Errorf("picked %s, which was tried", got.Spec.ID)
	}
}

func TestPlainWorkGoesToTheLeastLoadedTargetNearby(t *testing.T) {
	f := newFleet(put(1, listed("far", "p", "y")), put(2, listed("near", "p", "z")))
	if got := f.Pick(start, "p", Want{Zone: "z"}); got.Spec.ID != "near" {
		t.Errorf("the first attempt went to %s", got.Spec.ID)
	}
	counts := map[string]int{}
	for range 7 {
		counts[f.Pick(start, "p", Want{Zone: "z"}).Spec.ID]++
	}
	if counts["near"] == 0 || counts["far"] == 0 {
		t.Errorf("picked %v: a busy target nearby costs more than an idle one in another zone", counts)
	}
}

// TestEqualTargetsShareTheWork asks one at a time, so that all are idle at each choice.
func TestEqualTargetsShareTheWork(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")), put(3, listed("c", "p", "z")))
	counts := map[string]int{}
	for range 30 {
		target := f.Pick(start, "p", Want{Zone: "z"})
		counts[target.Spec.ID]++
		f.Ended(start, target, Want{}, true, VerdictGood, Load{})
	}
	if counts["a"] != 10 || counts["b"] != 10 || counts["c"] != 10 {
		t.Errorf("picked %v", counts)
	}
}

func TestACompleteListIsBelievedWhileTheStoreIsAway(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")), put(2, listed("b", "p", "z")))
	f.StoreAway(start)
	if _, taken := f.Replace(start, rev(9), []FleetChange{put(2, listed("b", "p", "z"))}, true); !taken || names(f, "p") != "b " {
		t.Errorf("usable %q", names(f, "p"))
	}
	if f.Version() != rev(9) {
		t.Errorf("version %s: the daemon would ask for the same list again and again", f.Version())
	}
}

// BenchmarkFleetStart is a daemon that takes over the targets of a large deployment one after the other.
func BenchmarkFleetStart(b *testing.B) {
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				f := NewFleet(func(string) {})
				for i := range n {
					t := listed(fmt.Sprint("t-", i), "p", "z")
					f.Change(start, []FleetChange{{ID: t.ID, Version: rev(uint64(i + 1)), Target: t}})
				}
				f.Usable(start, "p")
			}
		})
	}
}
