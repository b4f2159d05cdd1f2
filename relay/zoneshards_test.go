package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// zonedTargets returns targets of which each zone has the given number.
func zonedTargets(perZone map[string]int) []proto.RelayTarget {
	var targets []proto.RelayTarget
	for zone, n := range perZone {
		for i := range n {
			target := testTarget(fmt.Sprint(zone, "-", i), "p", zone)
			target.Region = "r"
			targets = append(targets, target)
		}
	}
	return targets
}

// TestZonesWithEnoughTargetsHaveOwnShards states how a pool is divided: as before while no zone has enough targets for a shard, and by
// zone beyond that. Each target is in one shard, of its own zone if that has shards, and a shard has about as many targets at any size.
func TestZonesWithEnoughTargetsHaveOwnShards(t *testing.T) {
	for _, scenario := range []struct {
		name    string
		perZone map[string]int
		common  int
		zones   map[string]int
	}{
		{"a small pool", map[string]int{"a": 3, "b": 2}, 1, nil},
		{"several shards, none of them within a zone", map[string]int{"a": 20, "b": 20, "c": 20}, 3, nil},
		{"one zone", map[string]int{"a": 240}, 10, nil},
		{"zones of their own", map[string]int{"a": 246, "b": 246, "c": 211}, 0, map[string]int{"a": 10, "b": 10, "c": 8}},
		{"a zone with few", map[string]int{"a": 246, "b": 246, "c": 5}, 1, map[string]int{"a": 10, "b": 10}},
	} {
		targets := zonedTargets(scenario.perZone)
		layout := layoutOf(targets)
		common, zones := 0, 0
		for _, r := range layout.ranges {
			if r.zone == "" {
				common = r.shards
				continue
			}
			zones++
			if r.shards != scenario.zones[r.zone] {
				t.Errorf("%s: %d shards in zone %s", scenario.name, r.shards, r.zone)
			}
		}
		if common != scenario.common || zones != len(scenario.zones) {
			t.Errorf("%s: %d common shards and %d zones with shards", scenario.name, common, zones)
		}
		seen := 0
		for n := range layout.count() {
			index := layout.at(n)
			r, _ := layout.rangeOf(index)
			own := layout.targetsOf(index, targets)
			seen += len(own)
			for i := range own {
				if r.zone != "" && own[i].Zone != r.zone {
					t.Errorf("%s: a shard of zone %s has a target of zone %s", scenario.name, r.zone, own[i].Zone)
				}
			}
			if len(own) > 3*shardTargets {
				t.Errorf("%s: %d targets in one shard", scenario.name, len(own))
			}
		}
		if seen != len(targets) {
			t.Errorf("%s: %d targets in all shards, want %d", scenario.name, seen, len(targets))
		}
	}
}

// zonedPeers has a daemon in each zone and records which of them is asked.
type zonedPeers struct {
	recordingPeers
	asked map[proto.VM]int
}

func (p *zonedPeers) OwnerInZone(zone proto.Zone, _ string, _ map[proto.VM]bool) proto.VM {
	return proto.VM(zone)
}

func (p *zonedPeers) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	p.asked[to]++
	answer, err := p.recordingPeers.Call(ctx, to, m)
	if pieces, ok := answer.(proto.PiecesAnswer); ok && to != "r/b" {
		pieces.QueueDelay = 0
		return pieces, err
	}
	return answer, err
}

// TestStagesStayInTheirZoneWhileItHasRoom plays requests of one zone to a pool that is far larger than its work: a daemon in that zone
// batches for them at targets of that zone, whatever the size of the fleet, and work leaves the zone as soon as its queues are longer
// than the way is costly.
func TestStagesStayInTheirZoneWhileItHasRoom(t *testing.T) {
	for _, perZone := range []int{2 * shardTargets, 10 * shardTargets, 40 * shardTargets} {
		peers := &zonedPeers{recordingPeers: recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}, asked: map[proto.VM]int{}}
		clock := clockwork.NewFakeClock()
		tables := &Tables{}
		tables.ReplaceIfNewer(&proto.Routing{Version: 1, Pools: map[string]*proto.RelayPool{"p": {Name: "p", Batch: &batchSpec}}})
		var changes []FleetChange
		for i, target := range zonedTargets(map[string]int{"a": perZone, "b": perZone, "c": perZone}) {
			changes = append(changes, putChange(uint64(i+1), target))
		}
		p := NewPieceScheduler("self", clock, hclog.NewNullLogger(), stubDialect{}, &stubSender{}, peers, fleetWith(changes...), tables, WithOwnZone("b"))
		send := func() {
			for i := range 200 {
				ask := proto.PiecesAsk{Pool: "p", RequestID: fmt.Sprint("r", i), Pieces: 1, ResultBytes: 100_000}
				p.Run(context.Background(), ask, clock.Now().Add(time.Hour), clock.Now().Add(time.Hour))
			}
		}
		send()
		if peers.asked["r/b"] != 200 {
			t.Errorf("%d targets a zone: the zones were asked %v", perZone, peers.asked)
		}
		layout := p.fleet.shardLayout("p")
		for n := range layout.count() {
			if index := layout.at(n); layout.rangeFor("b").first <= index && index < layout.rangeFor("b").first+layout.rangeFor("b").shards {
				p.queueDelays.record(clock.Now(), queueKey{shard{"p", index}, 0}, time.Second)
			}
		}
		peers.asked, peers.queue = map[proto.VM]int{}, time.Second
		send()
		if away := peers.asked["r/a"] + peers.asked["r/c"]; away < 100 {
			t.Errorf("%d targets a zone: with queues of a second in the own zone, the zones were asked %v", perZone, peers.asked)
		}
	}
}
