package coord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"emberlead/proto"
)

func skipNone(proto.VM) bool { return false }

func TestSingleDaemonOwnsEverything(t *testing.T) {
	m := NewMembers(proto.Alive{VM: "one", Zone: "r/z"}, quickTiming(), DefaultRings(), meshPeers{}, func() proto.Heartbeat { return proto.Heartbeat{} })
	if got := m.Owner("task", skipNone); got != "one" || !m.IsAmongFirst("task", 2, skipNone) {
		t.Errorf("owner %q", got)
	}
}

// TestOwnersFollowView compares the cached orders with freshly computed ones while daemons join, die, stop and are
// skipped.
func TestOwnersFollowView(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	s := newMesh(40, 1, 4, quickTiming())
	m := s.members["vm-0"]
	count := map[proto.VM]uint64{}
	for step := range 2000 {
		vm := proto.VM(fmt.Sprintf("vm-%d", 1+random.IntN(60)))
		switch random.IntN(4) {
		case 0:
			count[vm]++
			m.HandleAlive(s.now, proto.Alive{VM: vm, Zone: "region-0/zone-1", Incarnation: 2, Sequence: count[vm], Stopping: random.IntN(2) == 0}, vm)
		case 1:
			m.HandleDeaths(s.now.Add(quickTiming().SilenceTimeout), proto.Deaths{Runs: []proto.DaemonRun{{VM: vm, Incarnation: 2}}}, "vm-1")
		}
		skipped := map[proto.VM]bool{vm: true}
		if random.IntN(20) == 0 {
			for _, a := range m.Live() {
				skipped[a.VM] = random.IntN(10) > 0
			}
		}
		task := fmt.Sprint("task-", random.IntN(3))
		want, _ := firstRanked(task, vmsOf(m.Live(), func(a proto.Alive) bool { return !skipped[a.VM] }))
		if got := m.Owner(task, func(vm proto.VM) bool { return skipped[vm] }); got != want {
			t.Fatalf("step %d: owner %q, want %q", step, got, want)
		}
		zone := vmsOf(m.Live(), func(a proto.Alive) bool { return a.Zone == m.self.Zone && !skipped[a.VM] })
		among := len(zone) <= 2
		for _, vm := range rankVMs(task, zone)[:min(2, len(zone))] {
			among = among || vm == m.self.VM
		}
		if got := m.IsAmongFirst(task, 2, func(vm proto.VM) bool { return skipped[vm] }); got != among {
			t.Fatalf("step %d: among the first of its zone: %v, want %v", step, got, among)
		}
	}
}

// TestFirstPerZoneMatchesIsAmongFirst compares what one daemon computes for all zones with what each daemon computes
// for itself.
func TestFirstPerZoneMatchesIsAmongFirst(t *testing.T) {
	s := newMesh(40, 2, 3, quickTiming())
	var want []proto.VM
	for vm, m := range s.members {
		if m.IsAmongFirst("task", 2, skipNone) {
			want = append(want, vm)
		}
	}
	slices.Sort(want)
	for vm, m := range s.members {
		got := slices.Sorted(slices.Values(m.FirstPerZone("task", 2)))
		if !slices.Equal(got, want) {
			t.Fatalf("%s says %v, want %v", vm, got, want)
		}
	}
	if len(want) != 2*2*3 {
		t.Errorf("%d daemons, want two of each zone", len(want))
	}
}
