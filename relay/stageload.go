package relay

import (
	"sync"
	"time"

	"emberlead/proto"
)

// maxReportedSizes limits the sizes of results whose piece costs are kept for a shard. A pool serves one or two stages;
// more sizes come from configurations that are no longer in force.
const maxReportedSizes = 16

// stageReport is the newest report on a shard.
type stageReport struct {
	load       proto.StageLoad
	receivedAt time.Time
	// pieceCosts are the reported costs of pieces by the size of their results.
	pieceCosts map[int]time.Duration
}

// stageLoads holds the newest report on each shard, from whichever daemon batches for it.
type stageLoads struct {
	mu      sync.Mutex
	reports map[shard]*stageReport
}

func (l *stageLoads) record(now time.Time, key shard, resultBytes int, load proto.StageLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reports == nil {
		l.reports = map[shard]*stageReport{}
	}
	r := l.reports[key]
	if r == nil {
		r = &stageReport{}
		l.reports[key] = r
	}
	if r.pieceCosts == nil || len(r.pieceCosts) >= maxReportedSizes {
		r.pieceCosts = map[int]time.Duration{}
	}
	r.load, r.receivedAt = load, now
	r.pieceCosts[resultBytes] = load.PieceCost
}

// poolLoad is the sum of the reports on the shards of a pool.
type poolLoad struct {
	sum      proto.StageLoad
	age      time.Duration
	reported int
	costs    int
}

func (p *poolLoad) add(now time.Time, r *stageReport, resultBytes int) {
	p.sum.Capacity += r.load.Capacity
	p.sum.Backlog += r.load.Backlog
	if p.reported == 0 || r.load.QueueDelay < p.sum.QueueDelay {
		p.sum.QueueDelay = r.load.QueueDelay
	}
	p.age = max(p.age, now.Sub(r.receivedAt))
	p.reported++
	if cost, known := r.pieceCosts[resultBytes]; known {
		p.sum.PieceCost += cost
		p.costs++
	}
}

// StageLoad returns the state of a pool of stages: capacity and backlog are summed over its shards, the queue delay is
// that of the shortest shard, and the cost of a piece with a result of the given size is the mean. Shards without a
// recent report count like the mean of the others. age is the age of the oldest report that was used. Without any
// report, the load follows from the configuration and the usable targets, and known is false.
func (p *PieceScheduler) StageLoad(pool string, resultBytes int) (load proto.StageLoad, age time.Duration, known bool) {
	now := p.clock.Now()
	layout := p.fleet.shardLayout(pool)
	total := poolLoad{}
	p.stageLoads.mu.Lock()
	for n := range layout.count() {
		if r := p.stageLoads.reports[shard{pool, layout.at(n)}]; r != nil && now.Sub(r.receivedAt) < queueReportLifetime {
			total.add(now, r, resultBytes)
		}
	}
	p.stageLoads.mu.Unlock()
	if total.reported == 0 {
		return p.configuredLoad(pool), queueReportLifetime, false
	}
	load = total.sum
	missing := float64(layout.count()) / float64(total.reported)
	load.Capacity, load.Backlog = load.Capacity*missing, time.Duration(float64(load.Backlog)*missing)
	if total.costs > 0 {
		load.PieceCost /= time.Duration(total.costs)
	} else {
		load.PieceCost = p.configuredPieceCost(pool)
	}
	return load, total.age, true
}

// configuredPieceCost returns the target time of a piece in a full call by the configuration.
func (p *PieceScheduler) configuredPieceCost(pool string) time.Duration {
	table := p.tables.Current()
	if table == nil {
		return 0
	}
	spec := table.Routing().Pools[pool]
	if spec == nil || spec.Batch == nil {
		return 0
	}
	return spec.Batch.CallCost/time.Duration(max(1, spec.Batch.MaxPieces)) + spec.Batch.PieceCost
}

// configuredLoad returns the load of an idle pool by the configuration and the usable targets.
func (p *PieceScheduler) configuredLoad(pool string) proto.StageLoad {
	return proto.StageLoad{Capacity: float64(len(p.fleet.Usable(p.clock.Now(), pool))), PieceCost: p.configuredPieceCost(pool)}
}

// lateQueueDelay returns the last known queueing time of a job in a pool that can no longer be in time: it waits behind
// all others. The estimate decreases linearly with the age of the reports.
func (p *PieceScheduler) lateQueueDelay(pool string) time.Duration {
	load, age, known := p.StageLoad(pool, 0)
	if !known {
		return 0
	}
	return time.Duration(float64(load.QueueDelay) * (1 - float64(age)/float64(queueReportLifetime)))
}
