package relay

import (
	"testing"
	"time"

	"emberlead/proto"
)

var (
	firstRunStart  = start.Add(-time.Minute)
	secondRunStart = start.Add(time.Minute)
)

// targetRun returns a target of pool "p" whose process started at the given time.
func targetRun(id string, startedAt time.Time) proto.RelayTarget {
	t := testTarget(id, "p", "z")
	t.StartedAt = startedAt
	return t
}

func outcomes(events []FleetEvent) string {
	all := ""
	for _, event := range events {
		all += event.Outcome + "; "
	}
	return all
}

// TestRestartedTargetStartsWithoutHistory gives a target a history in every respect and restarts it under the same id.
func TestRestartedTargetStartsWithoutHistory(t *testing.T) {
	f := fleetWith(putChange(1, targetRun("a", firstRunStart)))
	old := f.Pick(start, "p", engineCriteria)
	f.FinishAttempt(start, old, engineCriteria, false, VerdictFailure, Load{})
	old = f.PickByID(start, "p", "a", engineCriteria)
	old.otherLoad, old.otherLoadAt, old.slowdown = 3, start, 2.5
	if old.cache.missingTokens(engineCriteria.SharedParts) != 0 || old.active == 0 || !old.health.ejected(start) {
		t.Fatal("the first run has no history")
	}
	notes := f.ApplyChanges(start, []FleetChange{putChange(2, targetRun("a", secondRunStart))})
	if got := outcomes(notes); got != OutcomeEnded+"; "+outcomeAdded+"; " {
		t.Errorf("outcomes %q", got)
	}
	select {
	case <-old.runCtx.Done():
	default:
		t.Error("work at the ended run was not canceled")
	}
	next := f.byID["a"]
	if next == old || f.AcceptsWork(old) {
		t.Fatal("the ended run is still listed")
	}
	if next.cache.missingTokens(engineCriteria.SharedParts) == 0 {
		t.Error("the new run is assumed to have cached prompts")
	}
	if next.active != 0 || next.unreadTokens != 0 || next.pauseWeight != 0 || next.otherLoad != 0 || next.slowdown != 1 {
		t.Errorf("the new run has a load: %d attempts, %d tokens, pause weight %g, other load %g, slowdown %g", next.active, next.unreadTokens, next.pauseWeight, next.otherLoad, next.slowdown)
	}
	if next.health.ejected(start) {
		t.Error("the new run is ejected for failures of the ended one")
	}
	// The attempt at the previous run ends now, which must not count for the new one.
	f.FinishAttempt(start, old, engineCriteria, false, VerdictFailure, Load{Known: true, Running: 9, Slots: 4})
	if next.active != 0 || next.otherLoad != 0 || next.health.ejected(start) {
		t.Error("an attempt at the ended run was counted for the new one")
	}
}

var engineCriteria = TargetCriteria{Engine: true, Route: "r", SharedParts: []proto.PromptPart{{ID: "a", Tokens: 5000}}, OwnTokens: 100, Zone: "z"}

func TestFrequentlyRestartedTargetIsChosenLess(t *testing.T) {
	f := fleetWith(putChange(1, targetRun("often", firstRunStart)), putChange(2, targetRun("never", firstRunStart)))
	version := uint64(3)
	for i := range 8 {
		f.ApplyChanges(start, []FleetChange{putChange(version, targetRun("often", secondRunStart.Add(time.Duration(i)*time.Second)))})
		version++
	}
	for range 4 {
		if got := f.Pick(start, "p", TargetCriteria{Zone: "z"}); got.Spec.ID != "never" {
			t.Fatalf("%s was chosen", got.Spec.ID)
		}
	}
	later := start.Add(5 * time.Minute)
	f.Pick(later, "p", TargetCriteria{Zone: "z"})
	if got := f.Pick(later, "p", TargetCriteria{Zone: "z"}); got.Spec.ID != "often" {
		t.Errorf("%s was chosen although the other target has run for long and is idle", got.Spec.ID)
	}
}

func TestTargetRestartedOnceIsChosenLikeOthers(t *testing.T) {
	f := fleetWith(putChange(1, targetRun("once", firstRunStart)), putChange(2, targetRun("never", firstRunStart)))
	f.ApplyChanges(start, []FleetChange{putChange(3, targetRun("once", secondRunStart))})
	chosen := map[string]int{}
	for range 4 {
		chosen[f.Pick(start, "p", TargetCriteria{Zone: "z"}).Spec.ID]++
	}
	if chosen["once"] != 2 {
		t.Errorf("chosen: %v", chosen)
	}
}

func TestUpdatesOfEarlierRunAreIgnored(t *testing.T) {
	leaving := targetRun("a", firstRunStart)
	leaving.Leaving = true
	scenarios := []struct {
		name    string
		take    func(f *Fleet) []FleetEvent
		outcome string
	}{
		{"late write of the ended run", func(f *Fleet) []FleetEvent {
			return f.ApplyChanges(start, []FleetChange{putChange(9, leaving)})
		}, outcomeStale},
		{"change from another daemon", func(f *Fleet) []FleetEvent {
			c := putChange(9, leaving)
			c.FromPeer = true
			return f.ApplyChanges(start, []FleetChange{c})
		}, outcomeStale},
		{"in a full list", func(f *Fleet) []FleetEvent {
			notes, _ := f.Replace(start, rev(9), []FleetChange{putChange(9, leaving)}, false)
			return notes
		}, outcomeStale},
		{"older store version", func(f *Fleet) []FleetEvent {
			return f.ApplyChanges(start, []FleetChange{putChange(1, leaving)})
		}, ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := fleetWith(putChange(1, targetRun("a", firstRunStart)), putChange(2, targetRun("a", secondRunStart)))
			want := s.outcome
			if want != "" {
				want += "; "
			}
			if got := outcomes(s.take(f)); got != want {
				t.Errorf("outcomes %q, want %q", got, want)
			}
			if got := usableIDs(f, "p"); got != "a " {
				t.Errorf("usable: %q", got)
			}
		})
	}
}

func TestMovedTargetIsOnlyInNewPool(t *testing.T) {
	f := fleetWith(putChange(1, targetRun("a", firstRunStart)))
	moved := targetRun("a", firstRunStart)
	moved.Pool = "q"
	f.ApplyChanges(start, []FleetChange{putChange(2, moved)})
	if usableIDs(f, "p") != "" || usableIDs(f, "q") != "a " {
		t.Errorf("usable in p: %q, in q: %q", usableIDs(f, "p"), usableIDs(f, "q"))
	}
}

func TestUnusableEntryDoesNotAffectOthers(t *testing.T) {
	unusable := FleetChange{ID: "a", Version: rev(9), Unusable: true}
	scenarios := []struct {
		name string
		take func(f *Fleet)
	}{
		{"single change", func(f *Fleet) { f.ApplyChanges(start, []FleetChange{unusable}) }},
		{"while the store is down", func(f *Fleet) {
			f.MarkStoreDown(start)
			f.ApplyChanges(start, []FleetChange{unusable})
		}},
		{"in a full list", func(f *Fleet) {
			f.MarkStoreDown(start)
			f.Replace(start, rev(9), []FleetChange{unusable, putChange(2, targetRun("b", firstRunStart))}, false)
		}},
		{"entry without start time", func(f *Fleet) {
			f.ApplyChanges(start, []FleetChange{putChange(9, testTarget("a", "p", "z"))})
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			f := fleetWith(putChange(1, targetRun("a", firstRunStart)), putChange(2, targetRun("b", firstRunStart)))
			s.take(f)
			if got := usableIDs(f, "p"); got != "b " || f.Version() != rev(9) {
				t.Errorf("usable %q as of %s", got, f.Version())
			}
			f.ApplyChanges(start, []FleetChange{putChange(10, targetRun("a", firstRunStart))})
			if got := usableIDs(f, "p"); got != "a b " {
				t.Errorf("usable once the entry is back: %q", got)
			}
		})
	}
}

func TestTargetsWithoutStartTimeCountAsOneRun(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")))
	before := f.byID["a"]
	changed := testTarget("a", "p", "z")
	changed.Slots = 9
	f.ApplyChanges(start, []FleetChange{putChange(2, changed)})
	if f.byID["a"] != before {
		t.Error("a changed entry was treated as a new run")
	}
}

// TestCallToEndedRunIsRepeated has a target restart during a call, whose answer arrives after that.
func TestCallToEndedRunIsRepeated(t *testing.T) {
	b := batcher(targetRun("t1", firstRunStart))
	add(t, b, job("a", 2))
	call := next(b, start)[0]
	if finished := b.SetTargets([]proto.RelayTarget{targetRun("t1", secondRunStart)}); len(finished) != 0 {
		t.Fatalf("%d jobs ended", len(finished))
	}
	again := next(b, start)
	if len(again) != 1 || pieces(again[0]) != "a0 a1 " || !again[0].Target.StartedAt.Equal(secondRunStart) {
		t.Fatalf("calls to the new run: %v", again)
	}
	if finished, unused := b.CallDone(start, call, results(call)); len(finished) != 0 || len(unused) != 0 {
		t.Errorf("the answer of the ended run was accepted: %d jobs ended, unused %v", len(finished), unused)
	}
	if finished := b.CallFailed(start, call, false); len(finished) != 0 {
		t.Errorf("the failure of the ended run ended %d jobs", len(finished))
	}
	finished, _ := b.CallDone(start, again[0], results(again[0]))
	if len(finished) != 1 || finished[0].Answer.Outcome != proto.PiecesDone {
		t.Errorf("finished jobs %+v", finished)
	}
}

// TestCallMayOutliveLastTargetOfPool removes the only target, as when its entry becomes unusable, during a call.
func TestCallMayOutliveLastTargetOfPool(t *testing.T) {
	b := batcher(targetRun("t1", firstRunStart))
	add(t, b, job("a", 2))
	call := next(b, start)[0]
	b.SetTargets(nil)
	finished, _ := b.CallDone(start.Add(time.Second), call, results(call))
	if len(finished) != 1 || finished[0].Answer.Outcome != proto.PiecesDone {
		t.Errorf("finished jobs %+v", finished)
	}
}

// TestResultsOfEndedRunAreMadeAgain has a job wait for its last piece when the target that made the others
// restarts.
func TestResultsOfEndedRunAreMadeAgain(t *testing.T) {
	b := batcher(targetRun("t1", firstRunStart), targetRun("t2", firstRunStart))
	j := job("a", 12)
	add(t, b, j)
	calls := next(b, start)
	if len(calls) != 2 {
		t.Fatalf("%d calls", len(calls))
	}
	first := calls[0]
	b.CallDone(start, first, results(first))
	made := j.missing
	born := map[string]time.Time{"t1": firstRunStart, "t2": firstRunStart}
	born[first.Target.ID] = secondRunStart
	b.SetTargets([]proto.RelayTarget{targetRun("t1", born["t1"]), targetRun("t2", born["t2"])})
	if j.missing != made+len(first.Items) || j.missing != 12 {
		t.Errorf("%d pieces are missing, want all 12", j.missing)
	}
	if again := next(b, start); len(again) != 1 || len(again[0].Items) != len(first.Items) {
		t.Errorf("the lost pieces were not made again: %v", again)
	}
}
