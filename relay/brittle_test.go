package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/state"
)

// groupPeers is the view of a daemon that hears only its own group.
type groupPeers struct {
	stubPeers
	group   []proto.VM
	counted int
}

func (p *groupPeers) Owner(task string, skip map[proto.VM]bool) proto.VM {
	var owner proto.VM
	var best uint64
	for _, vm := range p.group {
		if rank := state.RendezvousScore(state.Hash(task), state.Hash(string(vm))); !skip[vm] && (owner == "" || rank > best) {
			owner, best = vm, rank
		}
	}
	return owner
}

func (p *groupPeers) Share() Share { return Share{VMCount: p.counted, Live: len(p.group)} }

// TestBrittleTargetIsNeverOversubscribed plays fleets that are cut into groups and take every request that they may send at once to a
// brittle target: never more than it has slots.
func TestBrittleTargetIsNeverOversubscribed(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		daemons, slots := 1+r.IntN(40), 1+r.IntN(64)
		groups := make([][]proto.VM, 1+r.IntN(3))
		for i := range daemons {
			g := r.IntN(len(groups))
			groups[g] = append(groups[g], proto.VM(fmt.Sprint("vm-", i)))
		}
		// Daemons that ended a moment ago are still counted.
		counted := daemons + r.IntN(3)
		clock := clockwork.NewFakeClockAt(start)
		sent, whole := 0, len(groups) == 1 && counted == daemons
		for _, group := range groups {
			for _, vm := range group {
				f := engineFleet(0)
				target := testTarget("b", "p", "z")
				target.Slots = slots
				f.ApplyChanges(start, []FleetChange{putChange(1, target)})
				f.recordBrittle(start, &signal{target: target, Notice: Notice{Brittle: true, MaxRejections: 2}, sent: start})
				p := NewPlacer(vm, clock, hclog.NewNullLogger(), f, &groupPeers{group: group, counted: counted, stubPeers: stubPeers{all: map[proto.VM]*Placer{}}})
				for p.Choose(t.Context(), "p", TargetCriteria{Zone: "z"}) != nil {
					sent++
				}
			}
		}
		if sent > slots {
			t.Errorf("seed %d: %d requests at a target with %d slots, by %d daemons in %d groups", seed, sent, slots, daemons, len(groups))
		}
		if want := max(1, slots-daemons); whole && sent < min(want, slots) {
			t.Errorf("seed %d: %d requests at a target with %d slots by %d daemons, want at least %d", seed, sent, slots, daemons, want)
		}
	}
}

// TestBrittlenessEndsWithItsTargetsWord covers how a target becomes brittle, and is no longer.
func TestBrittlenessEndsWithItsTargetsWord(t *testing.T) {
	f := engineFleet(0)
	a, b := testTarget("a", "p", "z"), testTarget("b", "p", "z")
	f.ApplyChanges(start, []FleetChange{putChange(1, a), putChange(2, b)})
	quota := BrittleQuota{Daemons: 1000}
	limited := func(now time.Time) int { return len(f.ExcludedTargets(now, "p", quota)) }
	if n := limited(start); n != 0 {
		t.Errorf("%d targets are limited before any is brittle", n)
	}
	f.recordBrittle(start, &signal{target: a, Notice: Notice{Brittle: true}, sent: start})
	if n := limited(start); n != 2 {
		t.Errorf("%d targets are limited, want also the one that was not heard yet", n)
	}
	if n := limited(start.Add(brittleMemory + time.Second)); n != 1 {
		t.Errorf("%d targets are limited once the pool's word is old, want the one that said so", n)
	}
	f.recordBrittle(start.Add(time.Second), &signal{target: a, sent: start.Add(time.Second)})
	f.recordBrittle(start.Add(time.Second), &signal{target: b, sent: start.Add(time.Second)})
	if n := limited(start.Add(time.Second)); n != 0 {
		t.Errorf("%d targets are limited after they said otherwise", n)
	}
}

// TestBrittleTargetThatRejectsIsPausedForAll guards against each daemon being rejected once: the daemon that places for the pool pauses the
// target when another one is.
func TestBrittleTargetThatRejectsIsPausedForAll(t *testing.T) {
	fleets := []*Fleet{engineFleet(1), engineFleet(1), engineFleet(1)}
	for _, f := range fleets {
		f.recordBrittle(start, &signal{target: testTarget("e00", "p", "y"), Notice: Notice{Brittle: true, MaxRejections: 2}, sent: start})
	}
	clock := clockwork.NewFakeClockAt(start)
	placers, _ := newPlacers(clock, fleets...)
	w := promptCriteria("a", 100, 10)
	placed := placers["vm-1"].Choose(t.Context(), "p", w)
	if placed == nil {
		t.Fatal("no target")
	}
	placed.Finish(VerdictOverloaded, Load{})
	if other := placers["vm-2"].placeRemotely(t, "vm-0", w); other != "" {
		t.Errorf("%s is placed for another daemon although it has just rejected a request", other)
	}
	clock.Advance(brittlePause)
	if other := placers["vm-2"].placeRemotely(t, "vm-0", w); other != "e00" {
		t.Errorf("placed %q after the pause", other)
	}
}

// placeRemotely returns the target that the owner places for this daemon.
func (p *Placer) placeRemotely(t *testing.T, owner proto.VM, w TargetCriteria) string {
	t.Helper()
	a, _, err := p.ask(t.Context(), owner, proto.PlaceAsk{Pool: "p", Route: w.Route, SharedParts: w.SharedParts, OwnTokens: w.OwnTokens, Zone: w.Zone})
	if err != nil {
		t.Fatal(err)
	}
	return a.Target
}
