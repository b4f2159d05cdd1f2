package serve

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

// orderEvery is how often models are placed and leases looked at.
const orderEvery = 2 * time.Second

func (d *Daemon) addLoops(ctx context.Context, g *run.Group) {
	t := &d.settings.Timing
	node := coord.DefaultNodeTiming()
	d.addLoop(ctx, g, t.Tick.Std(), func(context.Context) { d.driver.Do(core.Tick{}) })
	d.addLoop(ctx, g, node.Tick, func(context.Context) {
		d.gate()
		d.node.Tick(d.clock.Now())
	})
	// Reading claims waits for other daemons, which must not hold up the heartbeats.
	d.addLoop(ctx, g, node.Tick, func(ctx context.Context) {
		d.gate()
		d.node.Transfer(ctx)
	})
	d.addLoop(ctx, g, t.PollStore.Std(), func(ctx context.Context) {
		d.gate()
		d.node.Poll(ctx)
	})
	d.addLoop(ctx, g, t.ReviseWait.Std(), func(ctx context.Context) {
		d.gate()
		d.node.Revise(ctx)
	})
	d.addLoop(ctx, g, orderEvery, func(ctx context.Context) {
		d.gate()
		d.orders.ShareDemand(d.engine.TakeDemand())
		d.orders.Step(ctx, d.node.Stopping())
	})
	d.addLoop(ctx, g, t.Load.Std(), func(ctx context.Context) {
		d.gate()
		d.shareUsage()
		d.loads.read(ctx)
	})
	d.addLoop(ctx, g, node.Tick, func(context.Context) {
		d.gate()
		d.watchStops()
	})
}

// addLoop runs a function at once and then at intervals until the context or the group ends.
func (d *Daemon) addLoop(parent context.Context, g *run.Group, every time.Duration, fn func(context.Context)) {
	ctx, cancel := context.WithCancel(parent)
	g.Add(func() error {
		ticker := d.clock.NewTicker(every)
		defer ticker.Stop()
		for {
			fn(ctx)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.Chan():
			}
		}
	}, func(error) { cancel() })
}

// watchStops takes the targets of leaving VMs out of service, and stops this daemon when its own VM leaves.
func (d *Daemon) watchStops() {
	now := d.clock.Now()
	leaving := d.node.Members.Leaving()
	d.engine.SetListed(leaving)
	d.driver.Do(core.StopsDue{Lead: d.settings.Timing.StopLead.Std()})
	if leaving[d.settings.VM] || d.node.Changes.Snapshot().Leaving(d.settings.VM, now, 0) {
		d.Stop()
	}
}

func (d *Daemon) shareUsage() {
	reports := d.engine.TakeUsage()
	if len(reports) == 0 {
		return
	}
	rows := make([]proto.UsageRow, 0, len(reports))
	for _, r := range reports {
		rows = append(rows, proto.UsageRow{Pool: r.Pool, Workspace: r.Workspace, Spent: r.Spent})
	}
	d.node.ShareUsage(rows)
}

const loadReaders = 16

// loadReader reads the load of the targets that this daemon collects for all, and passes it on.
type loadReader struct {
	daemon *Daemon

	mu       sync.Mutex
	sequence map[string]uint64 // of cache events, by target
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
	for _, pool := range d.node.Changes.Snapshot().Pools {
		for i := range pool.Targets {
			target := &pool.Targets[i]
			if vm, ok := coord.CollectorOf(target, live); !ok || vm != d.settings.VM {
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
		Pool: pool.Name, Target: target.Name, Running: uint16(load.Running), Waiting: uint16(load.Waiting),
		Slots: uint16(load.Slots), Models: load.Models, Age: max(0, l.daemon.clock.Now().Sub(load.At)),
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
	for _, pool := range d.node.Changes.Snapshot().Pools {
		for _, target := range coord.Subset(alive.VM, alive.Zone, pool.Targets, d.settings.Limits.Subset) {
			uses[target.Name] = true
		}
	}
	batch := proto.Loads{}
	for _, row := range got.rows {
		if uses[row.Target] {
			batch.Rows = append(batch.Rows, row)
		}
	}
	for pool, events := range got.caches {
		for _, event := range events {
			if uses[event.Target] {
				batch.Caches = append(batch.Caches, event)
				batch.Pools = append(batch.Pools, pool)
			}
		}
	}
	if len(batch.Rows) == 0 && len(batch.Caches) == 0 {
		return nil
	}
	return []proto.Loads{batch}
}

// take feeds loads that this or another daemon read to the engine.
func (l *loadReader) take(m proto.Loads) {
	now := l.daemon.clock.Now()
	for _, row := range m.Rows {
		l.daemon.driver.Do(core.LoadReported{Pool: row.Pool, Load: proto.Load{
			Target: row.Target, Running: int(row.Running), Waiting: int(row.Waiting), Slots: int(row.Slots),
			Models: row.Models, At: now.Add(-row.Age),
		}})
	}
	for i, event := range m.Caches {
		if i < len(m.Pools) {
			l.daemon.driver.Do(core.CacheReported{Pool: m.Pools[i], Event: event})
		}
	}
}
