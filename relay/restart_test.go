package relay

import (
	"testing"
	"time"

	"emberlead/proto"
)

var (
	firstBorn  = start.Add(-time.Minute)
	secondBorn = start.Add(time.Minute)
)

// run is a target of pool "p" whose run started at a moment.
func run(id string, born time.Time) proto.RelayTarget {
	t := listed(id, "p", "z")
	t.Born = born
	return t
}

func outcomes(notes []FleetNote) string {
	all := ""
	for _, n := range notes {
		all += n.Outcome + "; "
	}
	return all
}

// TestANewRunKnowsNothingOfTheLast gives a target a past in every respect, and starts it again under its id.
func TestANewRunKnowsNothingOfTheLast(t *testing.T) {
	f := newFleet(put(1, run("a", firstBorn)))
	old := f.Pick(start, "p", engineWant)
	f.Ended(start, old, engineWant, false, VerdictBad, Load{})
	old = f.Take(start, "p", "a", engineWant)
	old.others, old.othersAt, old.pace = 3, start, 2.5
	if old.cache.missing(engineWant.Shared) != 0 || old.active == 0 || !old.health.out(start) {
		t.Fatal("the first run has no past")
	}
	notes := f.Change(start, []FleetChange{put(2, run("a", secondBorn))})
	if got := outcomes(notes); got != OutcomeEnded+"; "+outcomeAdded+"; " {
		t.Errorf("outcomes %q", got)
	}
	select {
	case <-old.running.Done():
	default:
		t.Error("work at the last run goes on")
	}
	next := f.where["a"]
	if next == old || f.Listed(old) {
		t.Fatal("the last run is still listed")
	}
	if next.cache.missing(engineWant.Shared) == 0 {
		t.Error("the new run is thought to keep prompts")
	}
	if next.active != 0 || next.unread != 0 || next.strain != 0 || next.others != 0 || next.pace != 1 {
		t.Errorf("the new run has a load: %d attempts, %d tokens, strain %g, others %g, pace %g", next.active, next.unread, next.strain, next.others, next.pace)
	}
	if next.health.out(start) {
		t.Error("the new run is left out for what the last one did")
	}
	// The attempt at the last run ends after that, which must not be counted for the new one.
	f.Ended(start, old, engineWant, false, VerdictBad, Load{Known: true, Running: 9, Slots: 4})
	if next.active != 0 || next.others != 0 || next.health.out(start) {
		t.Error("the end of an attempt at the last run counts for the new one")
	}
}

var engineWant = Want{Engine: true, Route: "r", Shared: []proto.PromptShare{{ID: "a", Tokens: 5000}}, OwnTokens: 100, Zone: "z"}

func TestATargetThatStartsAgainAndAgainIsChosenLess(t *testing.T) {
	f := newFleet(put(1, run("often", firstBorn)), put(2, run("never", firstBorn)))
	version := uint64(3)
	for i := range 8 {
		f.Change(start, []FleetChange{put(version, run("often", secondBorn.Add(time.Duration(i)*time.Second)))})
		version++
	}
	for range 4 {
		if got := f.Pick(start, "p", Want{Zone: "z"}); got.Spec.ID != "never" {
			t.Fatalf("%s was chosen", got.Spec.ID)
		}
	}
	later := start.Add(5 * time.Minute)
	f.Pick(later, "p", Want{Zone: "z"})
	if got := f.Pick(later, "p", Want{Zone: "z"}); got.Spec.ID != "often" {
		t.Errorf("%s was chosen, though the other has not ended for long and is idle", got.Spec.ID)
	}
}

func TestATargetThatStartedAgainOnceIsChosenLikeOthers(t *testing.T) {
	f := newFleet(put(1, run("once", firstBorn)), put(2, run("never", firstBorn)))
	f.Change(start, []FleetChange{put(3, run("once", secondBorn))})
	chosen := map[string]int{}
	for range 4 {
		chosen[f.Pick(start, "p", Want{Zone: "z"}).Spec.ID]++
	}
	if chosen["once"] != 2 {
		t.Errorf("chosen: %v", chosen)
	}
}

func TestStatementsOfAnEarlierRunAreNotTakenIn(t *testing.T) {
	leaving := run("a", firstBorn)
	leaving.Leaving = true
	scenarios := []struct {
		name    string
		take    func(f *Fleet) []FleetNote
		outcome string
	}{
		{"a late write of the last run", func(f *Fleet) []FleetNote {
			return f.Change(start, []FleetChange{put(9, leaving)})
		}, outcomeStale},
		{"told by another daemon", func(f *Fleet) []FleetNote {
			c := put(9, leaving)
			c.Told = true
			return f.Change(start, []FleetChange{c})
		}, outcomeStale},
		{"in a whole list", func(f *Fleet) []FleetNote {
			notes, _ := f.Replace(start, rev(9), []FleetChange{put(9, leaving)}, false)
			return notes
		}, outcomeStale},
		{"an older version of the store", func(f *Fleet) []FleetNote {
			return f.Change(start, []FleetChange{put(1, leaving)})
		}, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(put(1, run("a", firstBorn)), put(2, run("a", secondBorn)))
			want := s.outcome
			if want != "" {
				want += "; "
			}
			if got := outcomes(s.take(f)); got != want {
				t.Errorf("outcomes %q, want %q", got, want)
			}
			if got := names(f, "p"); got != "a " {
				t.Errorf("usable: %q", got)
			}
		})
	}
}

func TestATargetThatMovesIsOnlyInItsNewPool(t *testing.T) {
	f := newFleet(put(1, run("a", firstBorn)))
	moved := run("a", firstBorn)
	moved.Pool = "q"
	f.Change(start, []FleetChange{put(2, moved)})
	if names(f, "p") != "" || names(f, "q") != "a " {
		t.Errorf("usable in p: %q, in q: %q", names(f, "p"), names(f, "q"))
	}
}

func TestAnEntryThatNamesNoTargetIsNotUsedAndTheOthersHold(t *testing.T) {
	unusable := FleetChange{ID: "a", Version: rev(9), Unusable: true}
	scenarios := []struct {
		name string
		take func(f *Fleet)
	}{
		{"a change", func(f *Fleet) { f.Change(start, []FleetChange{unusable}) }},
		{"while the store is away", func(f *Fleet) {
			f.StoreAway(start)
			f.Change(start, []FleetChange{unusable})
		}},
		{"in a whole list", func(f *Fleet) {
			f.StoreAway(start)
			f.Replace(start, rev(9), []FleetChange{unusable, put(2, run("b", firstBorn))}, false)
		}},
		{"without the start that its target always tells", func(f *Fleet) {
			f.Change(start, []FleetChange{put(9, listed("a", "p", "z"))})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := newFleet(put(1, run("a", firstBorn)), put(2, run("b", firstBorn)))
			s.take(f)
			if got := names(f, "p"); got != "b " || f.Version() != rev(9) {
				t.Errorf("usable %q as of %s", got, f.Version())
			}
			f.Change(start, []FleetChange{put(10, run("a", firstBorn))})
			if got := names(f, "p"); got != "a b " {
				t.Errorf("usable when the entry is back: %q", got)
			}
		})
	}
}

func TestTargetsThatDoNotTellTheirStartGoOnAsOneRun(t *testing.T) {
	f := newFleet(put(1, listed("a", "p", "z")))
	before := f.where["a"]
	changed := listed("a", "p", "z")
	changed.Slots = 9
	f.Change(start, []FleetChange{put(2, changed)})
	if f.where["a"] != before {
		t.Error("a change of the entry was taken for a new run")
	}
}

// TestACallToARunThatEndedIsMadeElsewhere has a target start again during a call, and the call answer after that.
func TestACallToARunThatEndedIsMadeElsewhere(t *testing.T) {
	b := batcher(run("t1", firstBorn))
	add(t, b, job("a", 2))
	call := next(b, start)[0]
	if ends := b.SetTargets([]proto.RelayTarget{run("t1", secondBorn)}); len(ends) != 0 {
		t.Fatalf("%d jobs ended", len(ends))
	}
	again := next(b, start)
	if len(again) != 1 || pieces(again[0]) != "a0 a1 " || !again[0].Target.Born.Equal(secondBorn) {
		t.Fatalf("calls to the new run: %v", again)
	}
	if ends, unused := b.Done(start, call, results(call)); len(ends) != 0 || len(unused) != 0 {
		t.Errorf("the answer of the last run was taken: %d ends, unused %v", len(ends), unused)
	}
	if ends := b.Failed(start, call, false); len(ends) != 0 {
		t.Errorf("the failure of the last run ended %d jobs", len(ends))
	}
	ends, _ := b.Done(start, again[0], results(again[0]))
	if len(ends) != 1 || ends[0].Answer.Fate != proto.PiecesDone {
		t.Errorf("ends %+v", ends)
	}
}

// TestACallMayOutliveTheLastTargetOfItsPool has the only target go, or its entry become unusable, during a call.
func TestACallMayOutliveTheLastTargetOfItsPool(t *testing.T) {
	b := batcher(run("t1", firstBorn))
	add(t, b, job("a", 2))
	call := next(b, start)[0]
	b.SetTargets(nil)
	ends, _ := b.Done(start.Add(time.Second), call, results(call))
	if len(ends) != 1 || ends[0].Answer.Fate != proto.PiecesDone {
		t.Errorf("ends %+v", ends)
	}
}

// TestResultsOfARunThatEndedAreMadeAgain has a job wait for its last piece when the target that made the others starts
// again.
func TestResultsOfARunThatEndedAreMadeAgain(t *testing.T) {
	b := batcher(run("t1", firstBorn), run("t2", firstBorn))
	j := job("a", 12)
	add(t, b, j)
	calls := next(b, start)
	if len(calls) != 2 {
		t.Fatalf("%d calls", len(calls))
	}
	first := calls[0]
	b.Done(start, first, results(first))
	made := j.missing
	born := map[string]time.Time{"t1": firstBorn, "t2": firstBorn}
	born[first.Target.ID] = secondBorn
	b.SetTargets([]proto.RelayTarget{run("t1", born["t1"]), run("t2", born["t2"])})
	if j.missing != made+len(first.Items) || j.missing != 12 {
		t.Errorf("%d pieces are missing, want all 12", j.missing)
	}
	if again := next(b, start); len(again) != 1 || len(again[0].Items) != len(first.Items) {
		t.Errorf("the lost pieces are not made again: %v", again)
	}
}
