package serve

import (
	"context"
	"sync"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
	"emberlead/state"
)

const maxConcurrentLoadReads = 16

// loadCollector reads the load of the targets that are assigned to this daemon, and sends it to the other daemons.
type loadCollector struct {
	daemon *Daemon

	mu               sync.Mutex
	lastSequence     map[string]uint64 // last cache event read, by target
	digestGeneration proto.Generation
	byDigest         map[uint32]proto.LoadRow
}

func newLoadCollector(d *Daemon) *loadCollector {
	return &loadCollector{daemon: d, lastSequence: map[string]uint64{}}
}

// collectedLoads holds the results of one round of reads.
type collectedLoads struct {
	mu          sync.Mutex
	rows        []proto.LoadRow
	cacheEvents map[string][]proto.CacheEvent
}

func (l *loadCollector) collect(ctx context.Context) {
	d := l.daemon
	live := d.node.Members.Live()
	collected := &collectedLoads{cacheEvents: map[string][]proto.CacheEvent{}}
	var group sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentLoadReads)
	for _, pool := range d.node.Config.Snapshot().Pools {
		for i := range pool.Targets {
			target := &pool.Targets[i]
			if vm, ok := coord.LoadCollector(target, live); !ok || vm != d.settings.VM {
				continue
			}
			group.Add(1)
			semaphore <- struct{}{}
			go func() {
				defer group.Done()
				l.readTarget(ctx, pool, target, collected)
				<-semaphore
			}()
		}
	}
	group.Wait()
	l.distribute(live, collected)
}

func (l *loadCollector) readTarget(ctx context.Context, pool *proto.Pool, target *proto.Target, collected *collectedLoads) {
	load, err := l.daemon.targetClient.Load(ctx, target.Address)
	if err != nil {
		return
	}
	var events []proto.CacheEvent
	if pool.Kind == proto.PoolEngine {
		events = l.readCacheEvents(ctx, target)
	}
	collected.mu.Lock()
	defer collected.mu.Unlock()
	collected.rows = append(collected.rows, proto.LoadRow{
		Pool: pool.Name, Target: target.Name, Running: load.Running, Waiting: load.Waiting,
		Slots: load.Slots, Models: load.Models, Age: max(0, state.WallTime(l.daemon.clock).Sub(load.At)),
	})
	collected.cacheEvents[pool.Name] = append(collected.cacheEvents[pool.Name], events...)
}

func (l *loadCollector) readCacheEvents(ctx context.Context, target *proto.Target) []proto.CacheEvent {
	l.mu.Lock()
	afterSequence := l.lastSequence[target.Name]
	l.mu.Unlock()
	events, err := l.daemon.targetClient.CacheEvents(ctx, target.Address, afterSequence)
	if err != nil || len(events) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence[target.Name] = events[len(events)-1].Sequence
	return events
}

// distribute sends each daemon the rows of the targets that it uses.
func (l *loadCollector) distribute(live []proto.Alive, collected *collectedLoads) {
	if len(collected.rows) == 0 {
		return
	}
	d := l.daemon
	for _, alive := range live {
		batches := l.batchesFor(alive, collected)
		for _, batch := range batches {
			if alive.VM == d.settings.VM {
				l.apply(batch)
				continue
			}
			d.links.Send(alive.VM, batch)
		}
	}
}

func (l *loadCollector) batchesFor(alive proto.Alive, collected *collectedLoads) []proto.Loads {
	d := l.daemon
	used := map[string]bool{}
	for _, pool := range d.node.Config.Snapshot().Pools {
		for _, target := range coord.Subset(alive.VM, alive.Zone, pool.Targets, d.settings.Limits.Subset) {
			used[target.Name] = true
		}
	}
	batch := proto.Loads{}
	var rows []proto.LoadRow
	for _, row := range collected.rows {
		if !used[row.Target] {
			continue
		}
		rows = append(rows, row)
		if len(row.Models) > 1 || len(d.node.Config.Snapshot().Pools[row.Pool].Models) > 1 {
			batch.Models = append(batch.Models, proto.ModelRow{Target: row.Target, Models: row.Models})
		}
	}
	batch.Digest = proto.PackLoads(rows)
	for pool, events := range collected.cacheEvents {
		for _, event := range events {
			if used[event.Target] {
				batch.Caches = append(batch.Caches, event)
				batch.Pools = append(batch.Pools, pool)
			}
		}
	}
	if len(rows) == 0 && len(batch.Caches) == 0 {
		return nil
	}
	return []proto.Loads{batch}
}

// rowsByDigest maps the digests of all targets to their rows; it is rebuilt for each generation of the configuration.
func (l *loadCollector) rowsByDigest() map[uint32]proto.LoadRow {
	snapshot := l.daemon.node.Config.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.digestGeneration == snapshot.Generation && l.byDigest != nil {
		return l.byDigest
	}
	l.digestGeneration, l.byDigest = snapshot.Generation, map[uint32]proto.LoadRow{}
	for _, pool := range snapshot.Pools {
		for i := range pool.Targets {
			name := pool.Targets[i].Name
			l.byDigest[proto.TargetHash(name)] = proto.LoadRow{Pool: pool.Name, Target: name}
		}
	}
	return l.byDigest
}

// apply passes loads that this or another daemon read to the engine.
func (l *loadCollector) apply(loads proto.Loads) {
	now := l.daemon.clock.Now()
	models := map[string][]string{}
	for _, row := range loads.Models {
		models[row.Target] = row.Models
	}
	for _, row := range proto.UnpackLoads(loads.Digest, l.rowsByDigest()) {
		l.daemon.driver.HandleEvent(core.LoadReported{Pool: row.Pool, Load: proto.Load{
			Target: row.Target, Running: row.Running, Waiting: row.Waiting, Slots: row.Slots,
			Models: models[row.Target], At: now.Add(-row.Age),
		}})
	}
	for i, event := range loads.Caches {
		if i < len(loads.Pools) {
			l.daemon.driver.HandleEvent(core.CacheReported{Pool: loads.Pools[i], Event: event})
		}
	}
}
