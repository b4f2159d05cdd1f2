package relay

import (
	"strconv"

	"emberlead/proto"
	"emberlead/state"
)

// shardTargets is the number of targets of a pool of stages that one daemon batches for. It receives a message for each stage of each
// request, some hundred per second, and with a larger pool exceeds a fifth of a core when all daemons come back at once. With fewer
// targets calls are filled less: six daemons that batch separately for five targets earn half.
const shardTargets = 24

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

// shardCount returns the number of shards that a number of targets is divided into.
func shardCount(targets int) int { return max(1, (targets+shardTargets-1)/shardTargets) }

// shardOf assigns a target to one of several shards by rendezvous hashing: an added shard takes targets from all
// others, and daemons whose lists differ by a target agree on nearly all assignments.
func shardOf(target string, shards int) int {
	if shards == 1 {
		return 0
	}
	hash := state.Hash(target)
	best, bestScore := 0, uint64(0)
	for i := range shards {
		if rank := state.RendezvousScore(hash, state.Hash(strconv.Itoa(i))); rank >= bestScore {
			best, bestScore = i, rank
		}
	}
	return best
}

// targetsInShard returns the targets of a shard. A shard that no longer exists because the pool has shrunk uses the
// targets of another one until its work is done.
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

// chooseShard chooses the shard for a stage of a request: of two candidates, the one whose queue was last reported to be shorter.
func (p *PieceScheduler) chooseShard(pool, request string, rank int) int {
	shards := shardCount(p.fleet.Size(pool))
	if shards == 1 {
		return 0
	}
	hash := state.Hash(request)
	first := int(hash % uint64(shards))
	second := (first + 1 + int(hash>>32%uint64(shards-1))) % shards
	now := p.clock.Now()
	if p.queueDelays.estimate(now, queueKey{shard{pool, second}, rank}) < p.queueDelays.estimate(now, queueKey{shard{pool, first}, rank}) {
		return second
	}
	return first
}
