package serve

import (
	"context"
	"sync"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

const loadReaders = 16

// loadReader reads the load of the targets that this daemon collects for all, and passes it on.
type loadReader struct {
	daemon *Daemon

	mu       sync.Mutex
	sequence map[string]uint64 // of cache events, by target
	named    proto.Generation
	byDigest map[uint32]proto.LoadRow
}

func newLoadReader(d *Daemon) *loadReader {
	return &loadReader{daemon: d, sequence: map[string]uint64{}}
}

// collected is what one round read.
type collected struct {
	mu     sync.Mutex
	rows   []proto.LoadRow
	caches map[string][]proto.CacheEvent
}

func (l *loadReader) read(ctx context.Context) {
	d := l.daemon
	live := d.node.Members.Live()
	got := &collected{caches: map[string][]proto.CacheEvent{}}
	var group sync.WaitGroup
	slots := make(chan struct{}, loadReaders)
	for _, pool := range d.node.Config.Snapshot().Pools {
		for i := range pool.Targets {
			target := &pool.Targets[i]
			if vm, ok := coord.LoadCollector(target, live); !ok || vm != d.settings.VM {
				continue
			}
			group.Add(1)
			slots <- struct{}{}
			go func() {
				defer group.Done()
				l.readTarget(ctx, pool, target, got)
				<-slots
			}()
		}
	}
	group.Wait()
	l.pass(live, got)
}

func (l *loadReader) readTarget(ctx context.Context, pool *proto.Pool, target *proto.Target, got *collected) {
	load, err := l.daemon.targets.Load(ctx, target.Address)
	if err != nil {
		return
	}
	var events []proto.CacheEvent
	if pool.Kind == proto.PoolEngine {
		events = l.readCaches(ctx, target)
	}
	got.mu.Lock()
	defer got.mu.Unlock()
	got.rows = append(got.rows, proto.LoadRow{
		Pool: pool.Name, Target: target.Name, Running: load.Running, Waiting: load.Waiting,
		Slots: load.Slots, Models: load.Models, Age: max(0, l.daemon.clock.Now().Sub(load.At)),
	})
	got.caches[pool.Name] = append(got.caches[pool.Name], events...)
}

func (l *loadReader) readCaches(ctx context.Context, target *proto.Target) []proto.CacheEvent {
	l.mu.Lock()
	after := l.sequence[target.Name]
	l.mu.Unlock()
	events, err := l.daemon.targets.CacheEvents(ctx, target.Address, after)
	if err != nil || len(events) == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence[target.Name] = events[len(events)-1].Sequence
	return events
}

// pass sends every other daemon the rows of the targets that it uses.
func (l *loadReader) pass(live []proto.Alive, got *collected) {
	if len(got.rows) == 0 {
		return
	}
	d := l.daemon
	for _, alive := range live {
		batches := l.batchesFor(alive, got)
		for _, batch := range batches {
			if alive.VM == d.settings.VM {
				l.take(batch)
				continue
			}
			d.links.Send(alive.VM, batch)
		}
	}
}

func (l *loadReader) batchesFor(alive proto.Alive, got *collected) []proto.Loads {
	d := l.daemon
	uses := map[string]bool{}
	for _, pool := range d.node.Config.Snapshot().Pools {
		for _, target := range coord.Subset(alive.VM, alive.Zone, pool.Targets, d.settings.Limits.Subset) {
			uses[target.Name] = true
		}
	}
	batch := proto.Loads{}
	var rows []proto.LoadRow
	for _, row := range got.rows {
		if !uses[row.Target] {
			continue
		}
		rows = append(rows, row)
		if len(row.Models) > 1 || len(d.node.Config.Snapshot().Pools[row.Pool].Models) > 1 {
			batch.Models = append(batch.Models, proto.ModelRow{Target: row.Target, Models: row.Models})
		}
	}
	batch.Digest = proto.PackLoads(rows)
	for pool, events := range got.caches {
		for _, event := range events {
			if uses[event.Target] {
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

// names maps the digests of all targets to their rows; it is made anew with each generation.
func (l *loadReader) names() map[uint32]proto.LoadRow {
	snapshot := l.daemon.node.Config.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.named == snapshot.Generation && l.byDigest != nil {
		return l.byDigest
	}
	l.named, l.byDigest = snapshot.Generation, map[uint32]proto.LoadRow{}
	for _, pool := range snapshot.Pools {
		for i := range pool.Targets {
			name := pool.Targets[i].Name
			l.byDigest[proto.TargetHash(name)] = proto.LoadRow{Pool: pool.Name, Target: name}
		}
	}
	return l.byDigest
}

// take feeds loads that this or another daemon read to the engine.
func (l *loadReader) take(m proto.Loads) {
	now := l.daemon.clock.Now()
	models := map[string][]string{}
	for _, row := range m.Models {
		models[row.Target] = row.Models
	}
	for _, row := range proto.UnpackLoads(m.Digest, l.names()) {
		l.daemon.driver.HandleEvent(core.LoadReported{Pool: row.Pool, Load: proto.Load{
			Target: row.Target, Running: row.Running, Waiting: row.Waiting, Slots: row.Slots,
			Models: models[row.Target], At: now.Add(-row.Age),
		}})
	}
	for i, event := range m.Caches {
		if i < len(m.Pools) {
			l.daemon.driver.HandleEvent(core.CacheReported{Pool: m.Pools[i], Event: event})
		}
	}
}
