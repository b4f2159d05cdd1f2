package relay

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// shardTargets is the number of targets of a pool of stages that one daemon batches for. It receives a message for each stage of each
// request, some hundred per second, and with a larger pool exceeds a fifth of a core when all daemons come back at once. With fewer
// targets calls are filled less: six daemons that batch separately for five targets earn half.
const shardTargets = 24

// closedShardDelay is the delay of a shard that has no target that a job may use.
const closedShardDelay = time.Minute

// shard is a part of a pool's targets for which one daemon fills the calls.
type shard struct {
	pool  string
	index int
}

// taskName is the name of the shard's task among the daemons.
func (s shard) taskName() string {
	if s.index == 0 {
		return batchTaskPrefix + s.pool
	}
	return batchTaskPrefix + s.pool + "/" + strconv.Itoa(s.index)
}

// shardCount returns the number of shards of at most the given size that a number of targets is divided into.
func shardCount(targets, size int) int { return max(1, (targets+size-1)/size) }

// shardOf assigns a target to one of several shards by rendezvous hashing: an added shard takes targets from all
// others, and daemons whose lists differ by a target agree on nearly all assignments.
func shardOf(target string, shards int) int {
	hashes := make([]uint64, shards)
	for i := range hashes {
		hashes[i] = state.Hash(strconv.Itoa(i))
	}
	return bestShard(state.Hash(target), hashes)
}

// bestShard returns the shard whose hash ranks first for a target's hash.
func bestShard(target uint64, hashes []uint64) int {
	best, bestScore := 0, uint64(0)
	for i, hash := range hashes {
		if score := state.RendezvousScore(target, hash); score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// chooseShard chooses the shard for a stage of a request: of two near the work and any other one, that with the shortest queue as last
// reported, where a shard in another zone counts as longer by the cost of the way.
func (p *PieceScheduler) chooseShard(ask *proto.PiecesAsk) int {
	layout := p.fleet.shardLayout(ask.Pool)
	if layout.count() == 1 {
		return layout.at(0)
	}
	zone := cmp.Or(ask.Zone, p.zone)
	hash := state.Hash(ask.RequestID)
	near := layout.nearRange(zone, ask.AllowedRegions, hash)
	first := int(hash % uint64(near.shards))
	candidates := []int{near.first + first}
	if near.shards > 1 {
		candidates = append(candidates, near.first+(first+1+int(hash>>32%uint64(near.shards-1)))%near.shards)
	}
	if layout.hasZones() {
		candidates = append(candidates, layout.at(int(state.Mix(hash)>>40)))
	}
	now := p.clock.Now()
	return slices.MinFunc(candidates, func(a, b int) int {
		return cmp.Compare(p.shardCost(now, layout, a, zone, ask), p.shardCost(now, layout, b, zone, ask))
	})
}

// shardCost returns the expected delay at a shard, plus the cost of results that cross zones.
func (p *PieceScheduler) shardCost(now time.Time, layout *shardLayout, index int, zone string, ask *proto.PiecesAsk) time.Duration {
	cost := p.queueDelays.estimate(now, queueKey{shard{ask.Pool, index}, ask.Rank})
	r, _ := layout.rangeOf(index)
	switch {
	case r.zone == "":
	case !ask.AllowedRegions.Allows(r.region):
		cost += closedShardDelay
	case r.zone != zone:
		costs := p.fleet.zones
		cost += costs.PerRequest + time.Duration(float64(costs.PerMegabyte)*float64(ask.ResultBytes*ask.Pieces)/1e6)
	}
	return cost
}

// owner returns the daemon that batches for a shard: one in the shard's zone, if it has one.
func (p *PieceScheduler) owner(s shard, skip map[proto.VM]bool) proto.VM {
	r, _ := p.fleet.shardLayout(s.pool).rangeOf(s.index)
	if r.zone == "" {
		return p.peers.Owner(s.taskName(), skip)
	}
	return p.peers.OwnerInZone(proto.Zone(r.region+"/"+r.zone), s.taskName(), skip)
}
