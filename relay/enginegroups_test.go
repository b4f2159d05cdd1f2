package relay

import (
	"fmt"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// zonedEngines returns a fleet of three zones with the given number of engines each.
func zonedEngines(perZone int) *Fleet {
	f := NewFleet(func(string) {})
	var changes []FleetChange
	for i := range 3 * perZone {
		target := testTarget(fmt.Sprint("e-", i), "p", []string{"a", "b", "c"}[i%3])
		target.Region, target.Slots = "r", 64
		changes = append(changes, putChange(uint64(i+1), target))
	}
	f.ApplyChanges(start, changes)
	return f
}

func zonedCriteria(zone string, prompt int) TargetCriteria {
	return TargetCriteria{Engine: true, Zone: zone, Route: "r", OwnTokens: 100, SharedParts: []proto.PromptPart{{ID: "common", Tokens: 100}, {ID: fmt.Sprint("prompt-", prompt), Tokens: 1000}}}
}

// TestChoiceInLargePoolsVisitsOneGroup places prompts of one zone in pools that grow from a few hundred to thousands of engines: a choice
// looks at about as many engines at any size, all of them in the zone, and the same ones for the same prompt, which they then have cached.
func TestChoiceInLargePoolsVisitsOneGroup(t *testing.T) {
	for _, perZone := range []int{engineGroupSize, 4 * engineGroupSize, 8 * engineGroupSize} {
		f := zonedEngines(perZone)
		groups := map[int]bool{}
		for prompt := range 200 {
			w := zonedCriteria("b", prompt)
			w.Group = f.engineGroups("p", &w)[0].index
			groups[w.Group] = true
			if again := f.engineGroups("p", &w)[0].index; again != w.Group {
				t.Fatalf("%d engines a zone: the same prompt goes to groups %d and %d", perZone, w.Group, again)
			}
			p := f.pool("p")
			p.lock()
			visited := p.candidates(w.Group)
			p.mu.Unlock()
			if len(visited) < engineGroupSize/2 || len(visited) > 2*engineGroupSize {
				t.Fatalf("%d engines a zone: a choice visits %d", perZone, len(visited))
			}
			if got := f.Pick(start, "p", w); got.Spec.Zone != "b" {
				t.Fatalf("%d engines a zone: a request of zone b goes to zone %s", perZone, got.Spec.Zone)
			}
		}
		if want := perZone / engineGroupSize; len(groups) != want {
			t.Errorf("%d engines a zone: the prompts go to %d groups, want %d", perZone, len(groups), want)
		}
	}
}

// TestSmallPoolsAreNotDivided states that pools whose zones are smaller than a group are placed as one, in which each engine can stand in
// for any other.
func TestSmallPoolsAreNotDivided(t *testing.T) {
	for _, perZone := range []int{1, 30, engineGroupSize - 1} {
		f := zonedEngines(perZone)
		w := zonedCriteria("b", 1)
		if groups := f.engineGroups("p", &w); len(groups) != 1 || groups[0].index != 0 {
			t.Errorf("%d engines a zone: groups %v", perZone, groups)
		}
	}
}

// TestBusyGroupsAndClosedZonesLoseNoRequest has the group of a prompt be busy and then all engines of the zone leave: requests go to
// another group of the zone, and then elsewhere.
func TestBusyGroupsAndClosedZonesLoseNoRequest(t *testing.T) {
	f := zonedEngines(2 * engineGroupSize)
	clock := clockwork.NewFakeClockAt(start)
	p := NewPlacer("self", clock, hclog.NewNullLogger(), f, &coldPeers{self: "self"})
	w := zonedCriteria("b", 1)
	first := p.groupFor("p", &w)
	p.recordBusy(first.key(), true)
	second := p.groupFor("p", &w)
	if r := f.groupRange(second); second == first || r.zone != "b" {
		t.Errorf("beside the busy group %v the request goes to %v of zone %q", first, second, r.zone)
	}
	var leaving []FleetChange
	for i := 1; i < 6*engineGroupSize; i += 3 {
		target := testTarget(fmt.Sprint("e-", i), "p", "b")
		target.Region, target.Leaving = "r", true
		leaving = append(leaving, putChange(uint64(10_000+i), target))
	}
	f.ApplyChanges(start, leaving)
	w.Group = p.groupFor("p", &w).index
	if got := f.Pick(start, "p", w); got == nil || got.Spec.Zone == "b" {
		t.Errorf("with all engines of the zone leaving, the choice is %v", got)
	}
}

// TestPromptGoesWhereItsFirstPartIsCached sends prompts that begin alike and go on differently, one after another, to an idle pool: they
// must not be spread over all engines, each of which would have to read the common part.
func TestPromptGoesWhereItsFirstPartIsCached(t *testing.T) {
	f := zonedEngines(10)
	engines := map[string]bool{}
	for prompt := range 60 {
		w := zonedCriteria("b", prompt)
		w.SharedParts[0].Tokens, w.SharedParts[1].Tokens = 2500, 3800
		target := f.Pick(start, "p", w)
		engines[target.Spec.ID] = true
		f.RecordResponseStart(start, target, w)
		f.FinishAttempt(start, target, w, true, VerdictSuccess, Load{})
	}
	if len(engines) > 3 {
		t.Errorf("60 prompts with a common first part were read by %d engines", len(engines))
	}
}
