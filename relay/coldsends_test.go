package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
	"emberlead/state"
)

// A cold target has a throughput of 6.7 requests per second. All daemons together may send it half as many again, plus
// five.
var (
	coldSpec        = proto.ColdSpec{WarmUpTime: 3 * time.Second, RequestsPerSecond: 6.7}
	testColdConfig  = ColdConfig{Factor: 1.5, Slack: 5}
	coldMaxRequests = testColdConfig.maxRequests(coldSpec)
)

// coldPeers simulates daemons that cannot reach each other, and divide the targets as daemons do that count each other.
type coldPeers struct {
	self proto.VM
	all  []proto.VM
}

func (p *coldPeers) OwnerInZone(_ proto.Zone, task string, skip map[proto.VM]bool) proto.VM {
	return p.Owner(task, skip)
}

func (p *coldPeers) Owner(string, map[proto.VM]bool) proto.VM { return p.self }
func (p *coldPeers) Silent(proto.VM) bool                     { return true }
func (p *coldPeers) Share() Share                             { return Share{} }
func (p *coldPeers) Send(proto.VM, proto.Message)             {}
func (p *coldPeers) Call(context.Context, proto.VM, proto.Message) (proto.Message, error) {
	return nil, fmt.Errorf("cut off")
}

func (p *coldPeers) OwnsExclusively(task string, _ time.Duration) bool {
	best := slices.MaxFunc(p.all, func(a, b proto.VM) int {
		ra, rb := state.RendezvousScore(state.Hash(task), state.Hash(string(a))), state.RendezvousScore(state.Hash(task), state.Hash(string(b)))
		if ra < rb {
			return -1
		}
		return 1
	})
	return best == p.self
}

// newColdFleet returns a fleet of engines, the first of which are cold.
func newColdFleet(engines, cold int) *Fleet {
	f := NewFleet(func(string) {}, WithColdConfig(testColdConfig))
	f.SetColdSpec("p", coldSpec)
	for i := range engines {
		t := testTarget(fmt.Sprintf("e%03d", i), "p", "z")
		t.Slots = 24
		if i < cold {
			t.ColdRemaining = coldSpec.WarmUpTime
		}
		f.ApplyChanges(start, []FleetChange{putChange(uint64(i+1), t)})
	}
	return f
}

// maxWithinWindow returns the largest number of arrivals within any span of one second.
func maxWithinWindow(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, from := 0, 0
	for to := range arrivals {
		for arrivals[to].Sub(arrivals[from]) > coldWindow {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Requests are sent as often as allowed and take up to some seconds to arrive, sometimes many at once. The bound
// applies to arrivals.
func TestColdSendLimiterBoundsArrivals(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := coldSendLimiter{targets: map[string]*coldTarget{}}
		type transit struct{ until time.Time }
		var inFlight []transit
		var arrivals []time.Time
		stuckUntil := start
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(time.Duration(random.Int64N(int64(30 * time.Millisecond)))) {
			inFlight = slices.DeleteFunc(inFlight, func(w transit) bool {
				if now.Before(w.until) {
					return false
				}
				arrivals = append(arrivals, w.until)
				c.arrived("t")
				return true
			})
			if random.IntN(200) == 0 {
				stuckUntil = now.Add(time.Duration(random.Int64N(int64(4 * time.Second))))
			}
			if c.take(now, "t", coldMaxRequests) {
				until := now.Add(time.Duration(random.Int64N(int64(5 * time.Millisecond))))
				if until.Before(stuckUntil) {
					until = stuckUntil
				}
				inFlight = append(inFlight, transit{until})
			}
		}
		if got := maxWithinWindow(arrivals); got > coldMaxRequests || got == 0 {
			t.Fatalf("seed %d: %d requests arrived within a second, limit %d", seed, got, coldMaxRequests)
		}
	}
}

// Simulates the load after a zone or a pool came back at once: 120 engines, all cold, and 20 daemons that do not hear
// from each other, each with an equal part of four times what cold engines may get. The figures are those of a pool of
// model engines in production: seven requests per second for each engine while cold.
func TestColdLimitWithPartitionedDaemons(t *testing.T) {
	const engineCount, daemons, perSecond = 120, 20, 3400
	clock := clockwork.NewFakeClockAt(start)
	random := rand.New(rand.NewPCG(5, 5))
	var all []proto.VM
	for i := range daemons {
		all = append(all, proto.VM(fmt.Sprint("vm-", i)))
	}
	var placers []*Placer
	for _, vm := range all {
		placers = append(placers, NewPlacer(vm, clock, hclog.NewNullLogger(), newColdFleet(engineCount, engineCount), &coldPeers{self: vm, all: all}))
	}
	arrivals := map[string][]time.Time{}
	var open []*Placement
	served := 0
	length := coldSpec.WarmUpTime - 10*time.Millisecond
	for range int(float64(perSecond) * length.Seconds()) {
		clock.Advance(time.Second / perSecond)
		placed := placers[random.IntN(daemons)].Choose(context.Background(), "p", TargetCriteria{Engine: true, Route: "r", OwnTokens: 1500})
		if placed != nil {
			served++
			arrivals[placed.Spec.ID] = append(arrivals[placed.Spec.ID], clock.Now())
			open = append(open, placed)
		}
		// A response begins after a tenth of a second.
		if len(open) > perSecond/10 {
			open[0].Finish(VerdictSuccess, Load{})
			open = open[1:]
		}
	}
	for id, at := range arrivals {
		if got := maxWithinWindow(at); got > coldMaxRequests {
			t.Errorf("%s got %d requests within a second, limit %d", id, got, coldMaxRequests)
		}
	}
	capacity := coldSpec.RequestsPerSecond * engineCount * length.Seconds()
	if float64(served) < 0.9*capacity {
		t.Errorf("%d requests were served, throughput of the cold engines %.0f", served, capacity)
	}
}

func TestWarmTargetsArePreferred(t *testing.T) {
	p := NewPlacer("vm", clockwork.NewFakeClockAt(start), hclog.NewNullLogger(), newColdFleet(4, 2), &coldPeers{self: "vm", all: []proto.VM{"vm"}})
	chosen := map[string]int{}
	for range 12 {
		chosen[p.Choose(context.Background(), "p", TargetCriteria{Engine: true, Route: "r", OwnTokens: 300}).Spec.ID]++
	}
	if chosen["e000"]+chosen["e001"] > 0 {
		t.Errorf("cold targets were chosen although warm ones had capacity: %v", chosen)
	}
	for range 200 {
		if placed := p.Choose(context.Background(), "p", TargetCriteria{Engine: true, Route: "r", OwnTokens: 3000}); placed != nil {
			chosen[placed.Spec.ID]++
		}
	}
	if n := chosen["e000"]; n == 0 || n > coldMaxRequests/2 {
		t.Errorf("a cold target got %d requests at once while others were busy: %v", n, chosen)
	}
}

func TestColdQuotaReservedForUrgentRequests(t *testing.T) {
	p := NewPlacer("vm", clockwork.NewFakeClockAt(start), hclog.NewNullLogger(), newColdFleet(1, 1), &coldPeers{self: "vm", all: []proto.VM{"vm"}})
	count := func(rank int) int {
		n := 0
		for p.Choose(context.Background(), "p", TargetCriteria{Engine: true, Route: "r", OwnTokens: 10, Rank: rank}) != nil {
			n++
		}
		return n
	}
	if less, urgent := count(2), count(0); less != 5 || urgent != 2 {
		t.Errorf("sent %d less urgent requests, then %d urgent ones, want 5 and 2", less, urgent)
	}
}

// Follows what entries report over time.
func TestTargetColdPeriod(t *testing.T) {
	entry := func(version uint64, coldFor time.Duration) []FleetChange {
		spec := testTarget("e000", "p", "z")
		spec.ColdRemaining = coldFor
		return []FleetChange{putChange(version, spec)}
	}
	scenarios := []struct {
		testName string
		change   func(f *Fleet)
		after    time.Duration
		cold     bool
	}{
		{"just started", func(*Fleet) {}, 0, true},
		{"cold period over", func(*Fleet) {}, coldSpec.WarmUpTime, false},
		{"entry reports warm", func(f *Fleet) { f.ApplyChanges(start, entry(9, 0)) }, 0, false},
		{"entry reports cold again", func(f *Fleet) {
			f.ApplyChanges(start, entry(9, 0))
			f.ApplyChanges(start.Add(time.Second), entry(10, 2*time.Second))
		}, 2 * time.Second, true},
		{"same entry read again later", func(f *Fleet) { f.ApplyChanges(start.Add(2*time.Second), entry(1, coldSpec.WarmUpTime)) }, coldSpec.WarmUpTime, false},
		{"pool without cold limit", func(f *Fleet) { f.SetColdSpec("p", proto.ColdSpec{}) }, 0, false},
		{"zone back in service", func(f *Fleet) {
			f.ApplyChanges(start, entry(9, 0))
			f.ApplyEvacuations(start, []proto.Evacuation{{Zone: "z", Version: rev(20)}})
			f.ApplyEvacuations(start.Add(time.Second), []proto.Evacuation{{Zone: "z", Version: rev(21), Ended: true}})
		}, time.Second + coldSpec.WarmUpTime/2, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newColdFleet(1, 1)
			s.change(f)
			now := start.Add(s.after)
			_, cold := f.TimeUntilWarm(now, "p")
			if usable := len(f.Usable(now, "p")) > 0; cold != s.cold || usable == s.cold {
				t.Errorf("cold: %t, used for pieces: %t, want cold %t", cold, usable, s.cold)
			}
			if got := f.Pick(now, "p", TargetCriteria{}); (got == nil) != s.cold {
				t.Errorf("daemon without permission to use cold targets picks %v", got)
			}
		})
	}
}

// Of 21 engines 19 fail, and there are more requests than the others may have at a time. The excess must not go to the
// failing engines.
func TestPoolAtCapacityAvoidsFailingTargets(t *testing.T) {
	f := newColdFleet(21, 0)
	want := TargetCriteria{Engine: true, Route: "r", OwnTokens: 20}
	failing := map[string]bool{}
	for range 19 {
		target := f.Pick(start, "p", TargetCriteria{Engine: true, Tried: failing})
		failing[target.Spec.ID] = true
		f.FinishAttempt(start, target, TargetCriteria{Engine: true}, false, VerdictFailure, Load{})
	}
	sent := 0
	for range 100 {
		target := f.Pick(start.Add(10*time.Millisecond), "p", want)
		if target == nil {
			continue
		}
		sent++
		if failing[target.Spec.ID] {
			t.Fatalf("failing target %s was picked because the others are at capacity", target.Spec.ID)
		}
	}
	if sent == 0 || !f.AtCapacity(start.Add(10*time.Millisecond), "p") {
		t.Errorf("%d requests were sent", sent)
	}
}

// All requests share one long part of their prompts. The target that is preferred for it may have become cold a second
// ago without any daemon knowing yet.
func TestWarmTargetsRespectColdLimit(t *testing.T) {
	f := newColdFleet(6, 0)
	var chosen []time.Time
	first := ""
	for i := range 60 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		target := f.Pick(now, "p", TargetCriteria{Engine: true, Route: "r", OwnTokens: 20, SharedParts: []proto.PromptPart{{ID: "s", Tokens: 9000}}})
		if first == "" {
			first = target.Spec.ID
		}
		if target.Spec.ID == first {
			chosen = append(chosen, now)
		}
		f.RecordResponseStart(now, target, TargetCriteria{Engine: true, OwnTokens: 20})
		f.FinishAttempt(now, target, TargetCriteria{Engine: true}, true, VerdictSuccess, Load{})
	}
	if got := maxWithinWindow(chosen); got >= coldMaxRequests {
		t.Errorf("one target got %d requests within a second, limit for a cold one %d", got, coldMaxRequests)
	}
}

// Cold targets have a throughput of one request per second with no slack. Warm targets must be picked nevertheless, one
// request after the other.
func TestWarmTargetsWithColdLimitOfOne(t *testing.T) {
	f := fleetWith(putChange(1, testTarget("t", "p", "z")))
	f.SetColdSpec("p", proto.ColdSpec{WarmUpTime: time.Second, RequestsPerSecond: 1})
	for i := range 3 {
		now := start.Add(time.Duration(i) * 2 * coldWindow)
		target := f.Pick(now, "p", TargetCriteria{})
		if target == nil {
			t.Fatalf("no target for request %d", i)
		}
		f.FinishAttempt(now, target, TargetCriteria{}, false, VerdictSuccess, Load{})
	}
}
