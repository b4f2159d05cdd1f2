package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

func testTargets(n int) []proto.RelayTarget {
	targets := make([]proto.RelayTarget, n)
	for i := range targets {
		targets[i] = testTarget(fmt.Sprint("t", i), "p", "z")
	}
	return targets
}

func layoutOf(specs []proto.RelayTarget) *shardLayout {
	var targets []*Target
	for _, spec := range specs {
		targets = append(targets, &Target{Spec: spec})
	}
	return newShardLayout(targets, shardTargets, shardTargets)
}

func TestShardCount(t *testing.T) {
	for targets, want := range map[int]int{0: 1, 1: 1, 24: 1, 25: 2, 48: 2, 72: 3, 700: 30} {
		if got := shardCount(targets, shardTargets); got != want {
			t.Errorf("%d targets are divided into %d shards, want %d", targets, got, want)
		}
	}
}

func TestTargetsInShardPartitionPool(t *testing.T) {
	targets := testTargets(100)
	layout := layoutOf(targets)
	shards := shardCount(len(targets), shardTargets)
	seen := map[string]int{}
	for i := range shards {
		own := layout.targetsOf(i, targets)
		if len(own) < shardTargets/2 || len(own) > 2*shardTargets {
			t.Errorf("shard %d of %d has %d targets", i, shards, len(own))
		}
		for _, target := range own {
			seen[target.ID]++
		}
	}
	for _, target := range targets {
		if seen[target.ID] != 1 {
			t.Errorf("%s is in %d shards", target.ID, seen[target.ID])
		}
	}
	// A shard that no longer exists finishes its work with the targets of another one.
	if own := layout.targetsOf(shards, targets); len(own) == 0 {
		t.Error("a removed shard has no target for its waiting jobs")
	}
}

// Counts the targets that change their shard as a pool grows.
func TestAddedShardMovesFewTargets(t *testing.T) {
	moved := 0
	const targets, shards = 1000, 9
	for _, target := range testTargets(targets) {
		before, after := shardOf(target.ID, shards), shardOf(target.ID, shards+1)
		if before != after && after != shards {
			t.Errorf("%s moves from shard %d to %d, which already existed", target.ID, before, after)
		}
		if before != after {
			moved++
		}
	}
	if moved > 2*targets/shards {
		t.Errorf("%d of %d targets move to the added shard", moved, targets)
	}
}

// shardedPieces returns a scheduler that itself batches for all shards of a pool with a number of targets.
func shardedPieces(targets int) *PieceScheduler {
	peers := &recordingPeers{scriptedPeers: scriptedPeers{silent: make(chan struct{})}}
	p := newTestPieceScheduler(clockwork.NewRealClock(), peers, &stubSender{})
	var changes []FleetChange
	for i, target := range testTargets(targets) {
		changes = append(changes, putChange(uint64(i+1), target))
	}
	p.fleet.ApplyChanges(start, changes)
	return p
}

func TestChooseShardPrefersShorterQueue(t *testing.T) {
	p := shardedPieces(3 * shardTargets)
	got := map[int]int{}
	for i := range 300 {
		got[p.chooseShard(&proto.PiecesAsk{Pool: "p", RequestID: fmt.Sprint("r", i)})]++
	}
	for i := range 3 {
		if got[i] < 50 {
			t.Errorf("shard %d gets %d of 300 requests while no queue is known", i, got[i])
		}
	}
	p.queueDelays.record(p.clock.Now(), queueKey{shard{"p", 1}, 0}, time.Minute)
	for i := range 300 {
		if request := fmt.Sprint("r", i); p.chooseShard(&proto.PiecesAsk{Pool: "p", RequestID: request}) == 1 {
			t.Fatalf("%s goes to the shard with a queue of one minute", request)
		}
	}
	if got := p.QueueDelay("p", 0); got != 0 {
		t.Errorf("queue delay %v although two of three shards have none", got)
	}
}

// Another daemon batches for all shards.
func TestResultsAreFreedAtTheirShard(t *testing.T) {
	p := shardedPieces(3 * shardTargets)
	peers := p.peers.(*recordingPeers)
	for i := range 20 {
		ask := proto.PiecesAsk{Pool: "p", RequestID: fmt.Sprint("r", i), Pieces: 1}
		answer := p.Run(context.Background(), ask, start.Add(time.Hour), start.Add(time.Hour))
		if asked := peers.asked[i].Shard; answer.Shard != asked {
			t.Errorf("%s: shard %d was asked, but shard %d answered", ask.RequestID, asked, answer.Shard)
		}
		p.Free("p", answer.Shard, answer.Handles)
		if drop, ok := peers.sent[i].(proto.PiecesDrop); !ok || drop.Shard != answer.Shard {
			t.Errorf("%s: freed by %+v, want shard %d", ask.RequestID, peers.sent[i], answer.Shard)
		}
	}
}

// A pool of one shard grows to two.
func TestShardsFollowPoolGrowth(t *testing.T) {
	p := shardedPieces(shardTargets)
	first := p.workerFor(shard{"p", 0})
	if n := len(first.targets()); n != shardTargets {
		t.Fatalf("%d targets", n)
	}
	var more []FleetChange
	for i := range shardTargets {
		more = append(more, putChange(uint64(100+i), testTarget(fmt.Sprint("new", i), "p", "z")))
	}
	p.fleet.ApplyChanges(start, more)
	p.TargetsChanged("p")
	second := p.workerFor(shard{"p", 1})
	if a, b := len(first.batcher.targets), len(second.batcher.targets); a+b != 2*shardTargets || a == 0 || b == 0 {
		t.Errorf("%d and %d targets of %d", a, b, 2*shardTargets)
	}
}
