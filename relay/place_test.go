package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// stubPeers is a network of daemons in one process; a daemon that is cut off answers nobody.
type stubPeers struct {
	self  proto.VM
	owner proto.VM
	cut   bool
	all   map[proto.VM]*Placer
}

func (p *stubPeers) OwnerInZone(_ proto.Zone, task string, skip map[proto.VM]bool) proto.VM {
	return p.Owner(task, skip)
}

func (p *stubPeers) Owner(string, map[proto.VM]bool) proto.VM   { return p.owner }
func (p *stubPeers) Silent(proto.VM) bool                       { return p.cut }
func (p *stubPeers) OwnsExclusively(string, time.Duration) bool { return !p.cut }

func (p *stubPeers) Share() Share {
	return Share{Fraction: 1 / float64(len(p.all)), VMCount: len(p.all)}
}

func (p *stubPeers) Send(to proto.VM, m proto.Message) {
	if n, ok := m.(proto.PlaceNote); ok && !p.cut {
		p.all[to].HandlePlaceNote(p.self, n)
	}
}

func (p *stubPeers) Call(_ context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	if ask, ok := m.(proto.AdmitAsk); ok && !p.cut {
		return p.all[to].DecideAdmission(ask), nil
	}
	ask, ok := m.(proto.PlaceAsk)
	if !ok || p.cut {
		return nil, errors.New("cut off")
	}
	return p.all[to].HandlePlaceAsk(ask), nil
}

// engineFleet returns a fleet of engines in two zones.
func engineFleet(n int) *Fleet {
	f := NewFleet(func(string) {})
	for i := range n {
		t := testTarget(fmt.Sprintf("e%02d", i), "p", []string{"y", "z"}[i%2])
		t.Slots = 128
		f.ApplyChanges(start, []FleetChange{putChange(uint64(i+1), t)})
	}
	return f
}

func newPlacers(clock clockwork.Clock, fleets ...*Fleet) (map[proto.VM]*Placer, []*stubPeers) {
	all := map[proto.VM]*Placer{}
	var nets []*stubPeers
	for i, f := range fleets {
		net := &stubPeers{self: proto.VM(fmt.Sprint("vm-", i)), owner: "vm-0", all: all}
		nets = append(nets, net)
		all[net.self] = NewPlacer(net.self, clock, hclog.NewNullLogger(), f, net)
	}
	return all, nets
}

func promptCriteria(shared string, sharedTokens, own int) TargetCriteria {
	return TargetCriteria{Engine: true, Route: "r", Zone: "y", OwnTokens: own, SharedParts: []proto.PromptPart{{ID: shared, Tokens: sharedTokens}}}
}

func TestPlacerBalancesRequestsOfAllDaemons(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(4), engineFleet(4), engineFleet(4))
	counts := map[string]int{}
	for i := range 8 {
		placed := all[proto.VM(fmt.Sprint("vm-", i%3))].Choose(context.Background(), "p", promptCriteria(fmt.Sprint("part", i), 0, 3000))
		counts[placed.Target.Spec.ID]++
	}
	for id, n := range counts {
		if n != 2 {
			t.Errorf("%s got %d of 8 prompts on 4 engines: %v", id, n, counts)
		}
	}
}

func TestPromptGoesToCachingEngine(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(6), engineFleet(6))
	var first string
	for i := range 6 {
		placed := all[proto.VM(fmt.Sprint("vm-", i%2))].Choose(context.Background(), "p", promptCriteria("part", 6000, 500))
		if first == "" {
			first = placed.Target.Spec.ID
		}
		if got := placed.Target.Spec.ID; got != first {
			t.Errorf("prompt %d went to %s, its part is cached at %s", i, got, first)
		}
		placed.RecordResponseStart()
		placed.Finish(VerdictSuccess, Load{})
	}
}

func TestBusyPreferredTargetIsAvoided(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(6))
	ids := map[string]bool{}
	for range 12 {
		ids[all["vm-0"].Choose(context.Background(), "p", promptCriteria("part", 3000, 6000)).Target.Spec.ID] = true
	}
	if len(ids) < 3 {
		t.Errorf("twelve long prompts at once went to %d engines", len(ids))
	}
}

func TestUnreachableOwnerIsBypassed(t *testing.T) {
	all, nets := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(4), engineFleet(4))
	nets[1].cut = true
	placed := all["vm-1"].Choose(context.Background(), "p", promptCriteria("part", 6000, 500))
	if placed == nil || placed.owner != "" {
		t.Fatalf("placed %+v", placed)
	}
	placed.Finish(VerdictSuccess, Load{})
}

func TestLeasesAreReleased(t *testing.T) {
	clock := clockwork.NewFakeClockAt(start)
	owner := engineFleet(2)
	all, nets := newPlacers(clock, owner, engineFleet(2))
	active := func() int {
		sum := 0
		for _, target := range owner.pools["p"].list {
			sum += target.active
		}
		return sum
	}
	placed := all["vm-1"].Choose(context.Background(), "p", promptCriteria("a", 0, 100))
	if active() != 1 {
		t.Fatalf("%d attempts active at the owner", active())
	}
	placed.RecordResponseStart()
	placed.Finish(VerdictSuccess, Load{})
	if active() != 0 || len(all["vm-0"].leases) != 0 {
		t.Errorf("%d attempts active after the end", active())
	}
	lost := all["vm-1"].Choose(context.Background(), "p", promptCriteria("b", 0, 100))
	nets[1].cut = true
	lost.Finish(VerdictSuccess, Load{})
	clock.Advance(maxLeaseAge + time.Second)
	all["vm-0"].Sweep()
	if active() != 0 {
		t.Errorf("%d attempts active long after a note was lost", active())
	}
	for _, target := range owner.pools["p"].list {
		if target.unreadTokens != 0 || len(target.unreadPrompts) != 0 {
			t.Errorf("%s has %d unread tokens", target.Spec.ID, target.unreadTokens)
		}
	}
}

func TestExcludedTargetIsNotPlaced(t *testing.T) {
	all, _ := newPlacers(clockwork.NewFakeClockAt(start), engineFleet(2), engineFleet(2))
	w := promptCriteria("part", 6000, 500)
	w.Tried = map[string]bool{"e00": true}
	for range 4 {
		if got := all["vm-1"].Choose(context.Background(), "p", w).Target.Spec.ID; got != "e01" {
			t.Errorf("placed at %s", got)
		}
	}
}

func TestLongAndShortPromptsAreSeparated(t *testing.T) {
	f := engineFleet(8)
	now := start
	long, short := map[string]int{}, map[string]int{}
	for i := range 400 {
		now = now.Add(30 * time.Millisecond)
		w := TargetCriteria{Engine: true, Route: "short", Zone: "y", OwnTokens: 300}
		into := short
		if i%2 == 0 {
			w, into = TargetCriteria{Engine: true, Route: "long", Zone: "y", OwnTokens: 3000}, long
		}
		target := f.Pick(now, "p", w)
		if i > 100 {
			into[target.Spec.ID]++
		}
		f.RecordResponseStart(now, target, w)
		f.FinishAttempt(now, target, w, true, VerdictSuccess, Load{})
	}
	for id := range short {
		if long[id] > 0 {
			t.Errorf("%s got both: long %v, short %v", id, long, short)
		}
	}
}

func TestPromptCacheIsBounded(t *testing.T) {
	var c promptCache
	for i := range 50 {
		c.record(start.Add(time.Duration(i)*time.Second), []proto.PromptPart{{ID: "root", Tokens: 100}, {ID: fmt.Sprint(i), Tokens: 1000}}, 5000)
	}
	if c.tokens > 5000 {
		t.Errorf("%d tokens are assumed to be cached", c.tokens)
	}
	if got := c.missingTokens([]proto.PromptPart{{ID: "root", Tokens: 100}, {ID: "49", Tokens: 1000}}); got != 0 {
		t.Errorf("%d tokens of the newest prompt are missing", got)
	}
	if got := c.missingTokens([]proto.PromptPart{{ID: "root", Tokens: 100}, {ID: "0", Tokens: 1000}}); got != 1000 {
		t.Errorf("%d tokens of the oldest prompt are missing, want those of its own part", got)
	}
	if got := c.missingTokens([]proto.PromptPart{{ID: "other", Tokens: 100}, {ID: "49", Tokens: 1000}}); got != 1100 {
		t.Errorf("%d tokens are missing: a part is useless without those before it", got)
	}
}

// Guards against a data race: the entry of a chosen target is read while the store's answer replaces it. Only the race
// detector sees the failure.
func TestEntryChangesDuringChoice(t *testing.T) {
	fleet := NewFleet(func(string) {})
	spec := testTarget("t", "p", "z")
	spec.Address = netip.MustParseAddrPort("10.0.0.1:80")
	fleet.ApplyChanges(start, []FleetChange{{ID: "t", Version: rev(1), Target: spec}})
	peers := &stubPeers{self: "one", owner: "one"}
	placer := NewPlacer("one", clockwork.NewFakeClock(), hclog.NewNullLogger(), fleet, peers)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := range uint64(200) {
			fleet.ApplyChanges(start, []FleetChange{{ID: "t", Version: rev(v + 2), Target: spec}})
		}
	}()
	for range 200 {
		placed := placer.Choose(context.Background(), "p", TargetCriteria{Zone: "z"})
		if placed == nil || placed.Spec.ID != "t" || !placed.Spec.Address.IsValid() {
			t.Fatalf("placed %+v", placed)
		}
		if a := placer.HandlePlaceAsk(proto.PlaceAsk{Pool: "p"}); a.Target != "t" {
			t.Fatalf("answer %+v", a)
		}
		placed.Finish(VerdictSuccess, Load{})
	}
	<-done
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{35, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := engineFleet(n)
			w := promptCriteria("part", 6000, 500)
			b.ReportAllocs()
			for b.Loop() {
				target := f.Pick(start, "p", w)
				f.RecordResponseStart(start, target, w)
				f.FinishAttempt(start, target, w, true, VerdictSuccess, Load{})
			}
		})
	}
}

// latePeers answer after a delay, and not at all if the asker's timeout has expired by then.
type latePeers struct {
	*stubPeers
	delay time.Duration
}

func (p *latePeers) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	answer, err := p.stubPeers.Call(ctx, to, m)
	select {
	case <-time.After(p.delay):
		return answer, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// The owner of a pool answers after the timeout. The asking daemon chooses alone, and the lease of the engine that was
// chosen for it is released.
func TestLatePlacementIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		all, nets := newPlacers(clock, engineFleet(4), engineFleet(4))
		asker := NewPlacer("vm-1", clock, hclog.NewNullLogger(), engineFleet(4), &latePeers{nets[1], 2 * placementTimeout})
		began := time.Now()
		placed := asker.Choose(t.Context(), "p", promptCriteria("part", 0, 3000))
		if placed == nil || placed.owner != "" || time.Since(began) != placementTimeout {
			t.Errorf("after %s: %+v", time.Since(began), placed)
		}
		time.Sleep(2 * placementTimeout)
		synctest.Wait()
		if n := len(all["vm-0"].leases); n > 0 {
			t.Errorf("%d leases of unsent requests remain", n)
		}
	})
}
