package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// evacuation returns a start or an end of an evacuation of zone y at a revision.
func evacuation(version uint64, ended bool) []proto.Evacuation {
	return []proto.Evacuation{{Zone: "y", Version: rev(version), Ended: ended}}
}

// Picks a target in every way that requests and calls use, with all targets of the other zone failing, suspected or
// already tried: an unhealthy target is better than none, but not one that the operator has closed.
func TestEvacuatedZoneIsNotPicked(t *testing.T) {
	scenarios := []struct {
		testName string
		pick     func(f *Fleet) string
	}{
		{"plain request", func(f *Fleet) string { return f.Pick(start, "p", TargetCriteria{Zone: "y"}).Spec.ID }},
		{"prompt cached in the zone", func(f *Fleet) string { return f.Pick(start, "p", promptCriteria("part", 5000, 10)).Spec.ID }},
		{"all others failing", func(f *Fleet) string {
			other := f.Pick(start, "p", TargetCriteria{Zone: "z"})
			for range 9 {
				f.FinishAttempt(start, other, TargetCriteria{}, false, VerdictFailure, Load{})
			}
			return f.Pick(start, "p", TargetCriteria{Zone: "y"}).Spec.ID
		}},
		{"placed for another daemon", func(f *Fleet) string {
			all, _ := newPlacers(clockwork.NewFakeClockAt(start), f, engineFleet(4))
			return all["vm-1"].Choose(context.Background(), "p", promptCriteria("part", 5000, 10)).Spec.ID
		}},
		{"call for pieces", func(f *Fleet) string { return f.Usable(start, "p")[0].ID }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := engineFleet(4)
			f.Pick(start, "p", promptCriteria("part", 5000, 10))
			f.ApplyEvacuations(start, evacuation(50, false))
			for range 8 {
				if got := s.pick(f); got == "e00" || got == "e02" {
					t.Fatalf("%s is in the evacuated zone", got)
				}
			}
		})
	}
}

func TestPoolWithAllZonesEvacuated(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "y")))
	f.ApplyEvacuations(start, evacuation(2, false))
	if got := f.Pick(start, "p", TargetCriteria{}); got != nil || f.PickByID(start, "p", "a", TargetCriteria{}) != nil || len(f.Usable(start, "p")) > 0 {
		t.Errorf("the evacuated target was picked: %v", got)
	}
}

// Changes of an evacuation arrive in all orders, in whole and in part.
func TestNewestEvacuationWins(t *testing.T) {
	changes := []proto.Evacuation{{Zone: "y", Version: rev(10)}, {Zone: "y", Version: rev(20), Ended: true}, {Zone: "y", Version: rev(30)}}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		f := fleetWith(putChange(1, testTarget("a", "p", "y")), putChange(2, testTarget("b", "p", "z")))
		for _, i := range order {
			f.ApplyEvacuations(start, changes[i:i+1])
		}
		if got := usableIDs(f, "p"); got != "b " || f.EvacuationsVersion() != rev(30) {
			t.Errorf("order %v: usable %q as of %s", order, got, f.EvacuationsVersion())
		}
	}
}

// A new target is listed in the zone, and another one moves there.
func TestTargetsAddedDuringEvacuationAreClosed(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "z")), putChange(2, testTarget("b", "p", "z")))
	f.ApplyEvacuations(start, evacuation(5, false))
	f.ApplyChanges(start, []FleetChange{putChange(6, testTarget("new", "p", "y")), putChange(7, testTarget("a", "p", "y"))})
	if got := usableIDs(f, "p"); got != "b " {
		t.Errorf("usable: %q", got)
	}
	f.ApplyEvacuations(start, evacuation(8, true))
	if got := usableIDs(f, "p"); got != "a b new " {
		t.Errorf("usable after the evacuation: %q", got)
	}
}

func TestEvacuationsFromList(t *testing.T) {
	scenarios := []struct {
		testName string
		known    []proto.Evacuation
		asOf     uint64
		listed   []proto.Evacuation
		want     string
	}{
		{"row present", evacuation(5, false), 9, evacuation(5, false), "[y]"},
		{"row missing", evacuation(5, false), 9, nil, "[]"},
		{"list older than the evacuation", evacuation(5, false), 4, nil, "[y]"},
		{"requested again", evacuation(5, true), 9, evacuation(7, false), "[y]"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := fleetWith(putChange(1, testTarget("a", "p", "y")))
			f.ApplyEvacuations(start, s.known)
			f.ApplyEvacuations(start, f.EvacuationsFromList(rev(s.asOf), s.listed))
			if got := fmt.Sprint(f.EvacuatedZones()); got != s.want {
				t.Errorf("evacuated: %s, want %s", got, s.want)
			}
		})
	}
}

// An attempt and a call in the zone end as usual.
func TestEvacuationKeepsWorkInProgress(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("a", "p", "y")))
	attempt := f.Pick(start, "p", TargetCriteria{})
	b := NewBatcher(proto.BatchSpec{Slots: 1, MaxPieces: 2, CallCost: time.Millisecond, PieceCost: time.Millisecond, ResultLifetime: time.Second})
	b.SetTargets(f.Usable(start, "p"))
	b.Add(start, job("r", 2))
	calls, _ := b.NextCalls(start)
	f.ApplyEvacuations(start, evacuation(2, false))
	b.SetTargets(f.Usable(start, "p"))
	f.FinishAttempt(start, attempt, TargetCriteria{}, false, VerdictSuccess, Load{})
	ends, _ := b.CallDone(start, calls[0], []ItemResult{{Handle: "h0"}, {Handle: "h1"}})
	if len(ends) != 1 || ends[0].Answer.Outcome != proto.PiecesDone || attempt.runCtx.Err() != nil {
		t.Errorf("finished jobs %+v, context of the attempt's target %v", ends, attempt.runCtx.Err())
	}
	b.Add(start, job("s", 2))
	if calls, _ := b.NextCalls(start); len(calls) > 0 {
		t.Error("a call was made to the evacuated zone")
	}
}
