package relay

import (
	"strconv"

	"emberlead/proto"
	"emberlead/state"
)

// shardTargets is how many targets of a pool of stages one daemon batches for. It hears of each stage of each request
// for them, some hundred messages a second, and a larger pool is too much for a fifth of a core when all daemons come
// back at once. A smaller one fills its calls less: six daemons that batch apart for five targets earn half.
const shardTargets = 24

// shard is a part of a pool's targets, for which one daemon fills the calls.
type shard struct {
	pool  string
	index int
}

// task names the shard's work among the daemons.
func (s shard) taskName() string {
	if s.index == 0 {
		return batchTaskPrefix + s.pool
	}
	return batchTaskPrefix + s.pool + "/" + strconv.Itoa(s.index)
}

// shardsOf is how many shards so many targets are divided into.
func shardCount(targets int) int { return max(1, (targets+shardTargets-1)/shardTargets) }

// shardOf returns a target's shard of several by rendezvous hashing: another shard takes its part from all others, and
// daemons whose lists differ by a target agree on nearly all.
func shardOf(target string, shards int) int {
	if shards == 1 {
		return 0
	}
	hash := state.Hash(target)
	best, most := 0, uint64(0)
	for i := range shards {
		if rank := state.RendezvousScore(hash, state.Hash(strconv.Itoa(i))); rank >= most {
			best, most = i, rank
		}
	}
	return best
}

// shardTargetsOf returns the targets of a shard. One that is no shard any more, since the pool has shrunk, goes on with
// the targets of another until its work is done.
func targetsInShard(targets []proto.RelayTarget, index, shards int) []proto.RelayTarget {
	if shards == 1 {
		return targets
	}
	var own []proto.RelayTarget
	for _, t := range targets {
		if shardOf(t.ID, shards) == index%shards {
			own = append(own, t)
		}
	}
	return own
}

// chooseShard picks the shard for a stage of a request: of two, the one that was last heard to have the shorter queue.
func (p *PieceScheduler) chooseShard(pool, request string, rank int) int {
	shards := shardCount(p.fleet.Size(pool))
	if shards == 1 {
		return 0
	}
	hash := state.Hash(request)
	first := int(hash % uint64(shards))
	second := (first + 1 + int(hash>>32%uint64(shards-1))) % shards
	now := p.clock.Now()
	if p.queueTimes.estimate(now, queueKey{shard{pool, second}, rank}) < p.queueTimes.estimate(now, queueKey{shard{pool, first}, rank}) {
		return second
	}
	return first
}
