package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// newThreeRegionFleet returns a fleet with two engines in each of three regions that are equally near.
func newThreeRegionFleet() *Fleet {
	f := NewFleet(func(string) {})
	for i := range 6 {
		t := testTarget(fmt.Sprintf("e%02d", i), "p", "z")
		t.Region = []string{"north", "south", "east"}[i%3]
		f.ApplyChanges(start, []FleetChange{putChange(uint64(i+1), t)})
	}
	return f
}

// TestOnlyTargetsInAllowedRegionsAreChosen requests a target in all ways in use, also if all targets in the region fail
// or were tried.
func TestOnlyTargetsInAllowedRegionsAreChosen(t *testing.T) {
	allowed := proto.AllowRegions([]string{"south"})
	restricted := func(w TargetCriteria) TargetCriteria {
		w.AllowedRegions = allowed
		return w
	}
	scenarios := []struct {
		testName string
		pick     func(f *Fleet, i int) *Target
	}{
		{"a plain request", func(f *Fleet, _ int) *Target { return f.Pick(start, "p", restricted(TargetCriteria{Zone: "z"})) }},
		{"many prompts", func(f *Fleet, i int) *Target {
			return f.Pick(start, "p", restricted(promptCriteria(fmt.Sprint(i), 5000, 9000)))
		}},
		{"all targets in the region fail", func(f *Fleet, _ int) *Target {
			got := f.Pick(start, "p", restricted(TargetCriteria{}))
			f.FinishAttempt(start, got, TargetCriteria{}, false, VerdictFailure, Load{})
			return got
		}},
		{"a retry", func(f *Fleet, _ int) *Target {
			first := f.Pick(start, "p", restricted(TargetCriteria{}))
			return f.Pick(start, "p", restricted(TargetCriteria{Tried: map[string]bool{first.Spec.ID: true}}))
		}},
		{"a retry after all targets in the region were tried", func(f *Fleet, _ int) *Target {
			return f.Pick(start, "p", restricted(TargetCriteria{Tried: map[string]bool{"e01": true, "e04": true}}))
		}},
		{"chosen by another daemon that does not know the restriction", func(f *Fleet, _ int) *Target { return f.PickByID(start, "p", "e00", restricted(TargetCriteria{})) }},
		{"placed for another daemon", func(f *Fleet, i int) *Target {
			all, _ := newPlacers(clockwork.NewFakeClockAt(start), f, newThreeRegionFleet())
			placed := all["vm-1"].Choose(context.Background(), "p", restricted(promptCriteria(fmt.Sprint(i), 5000, 9000)))
			return placed.Target
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newThreeRegionFleet()
			for i := range 12 {
				if got := s.pick(f, i); got != nil && got.Spec.Region != "south" {
					t.Fatalf("%s of region %s was chosen", got.Spec.ID, got.Spec.Region)
				}
			}
		})
	}
}

func TestRouteAndWorkspaceRegionsIntersect(t *testing.T) {
	route, workspace := proto.AllowRegions([]string{"north", "south"}), proto.AllowRegions([]string{"south", "east"})
	scenarios := []struct {
		testName string
		homes    proto.AllowedRegions
		open     int
	}{
		{"no restriction", proto.AllowedRegions{}.Intersect(proto.AllowedRegions{}), 6},
		{"route only", route.Intersect(proto.AllowedRegions{}), 4},
		{"workspace only", proto.AllowedRegions{}.Intersect(workspace), 4},
		{"route and workspace", route.Intersect(workspace), 2},
		{"route and workspace without a common region", route.Intersect(proto.AllowRegions([]string{"east"})), 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			if got := newThreeRegionFleet().OpenCount("p", s.homes); got != s.open {
				t.Errorf("%d targets may get the request, want %d", got, s.open)
			}
		})
	}
}

// TestPiecesStayInAllowedRegions puts jobs that are restricted to a region beside others, in a pool with a target in
// each region. No call for the former may go elsewhere, and without a target in the region they are refused at once.
func TestPiecesStayInAllowedRegions(t *testing.T) {
	spec := proto.BatchSpec{Slots: 1, MaxPieces: 4, CallCost: 10 * time.Millisecond, PieceCost: time.Millisecond, ResultLifetime: time.Second}
	targets := func(regions ...string) []proto.RelayTarget {
		var list []proto.RelayTarget
		for _, region := range regions {
			target := testTarget("t-"+region, "p", "z")
			target.Region = region
			list = append(list, target)
		}
		return list
	}
	b := NewBatcher(spec)
	b.SetTargets(targets("north", "south"))
	for i := range 6 {
		bound := job(fmt.Sprint("bound-", i), 2)
		bound.Params.AllowedRegions = proto.AllowRegions([]string{"south"})
		if refused := b.Add(start, bound); refused != nil {
			t.Fatalf("refused: %s", refused.Detail)
		}
		b.Add(start, job(fmt.Sprint("free-", i), 2))
	}
	made := 0
	for range 20 {
		calls, _ := b.NextCalls(start)
		for _, c := range calls {
			for _, item := range c.Items {
				made++
				if item.Job.Params.AllowedRegions.Restricted && c.Target.Region != "south" {
					t.Fatalf("a piece of %s goes to %s", item.Job.Params.RequestID, c.Target.ID)
				}
			}
			results := make([]ItemResult, len(c.Items))
			for i := range results {
				results[i].Handle = fmt.Sprint(c.Target.ID, made, i)
			}
			b.CallDone(start, c, results)
		}
	}
	if made != 24 {
		t.Errorf("%d pieces were made, want 24", made)
	}
	b.SetTargets(targets("north"))
	away := job("away", 2)
	away.Params.AllowedRegions = proto.AllowRegions([]string{"south"})
	if refused := b.Add(start, away); refused == nil || refused.Outcome != proto.PiecesRefused {
		t.Errorf("a job without a target in its region is not refused: %+v", refused)
	}
}
