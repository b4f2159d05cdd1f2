package serve

import (
	"context"
	"time"

	"github.com/oklog/run"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
)

// placementInterval is how often models are placed and leases are checked.
const placementInterval = 2 * time.Second

func (d *Daemon) addLoops(ctx context.Context, g *run.Group) {
	timing := &d.settings.Timing
	nodeTiming := coord.DefaultNodeTiming()
	d.addLoop(ctx, g, timing.TickInterval.Std(), func(context.Context) { d.driver.HandleEvent(core.Tick{}) })
	d.addLoop(ctx, g, nodeTiming.TickInterval, func(context.Context) {
		d.gate()
		d.node.Tick(d.clock.Now())
	})
	// Reading claims waits for other daemons, which must not delay the heartbeats.
	d.addLoop(ctx, g, nodeTiming.TickInterval, func(ctx context.Context) {
		d.gate()
		d.node.TransferClaims(ctx)
	})
	d.addLoop(ctx, g, timing.PollInterval.Std(), func(ctx context.Context) {
		d.gate()
		d.node.Poll(ctx)
	})
	d.addLoop(ctx, g, timing.RosterInterval.Std(), func(ctx context.Context) {
		d.gate()
		d.node.ReviseRoster(ctx)
	})
	d.addLoop(ctx, g, placementInterval, func(ctx context.Context) {
		d.gate()
		d.placement.ReportDemand(d.engine.TakeDemand())
		d.placement.Reconcile(ctx, d.node.Stopping())
	})
	d.addLoop(ctx, g, timing.LoadInterval.Std(), func(ctx context.Context) {
		d.gate()
		d.shareUsage()
		d.loads.collect(ctx)
	})
	d.addLoop(ctx, g, nodeTiming.TickInterval, func(context.Context) {
		d.gate()
		d.watchStops()
	})
}

// addLoop runs a function immediately and then at intervals, until the context or the group ends.
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
	d.engine.SetLeavingVMs(leaving)
	d.driver.HandleEvent(core.StopCheck{Lead: d.settings.Timing.StopLead.Std()})
	if leaving[d.settings.VM] || d.node.Config.Snapshot().Leaving(d.settings.VM, now, 0) {
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
	d.node.ReportUsage(rows)
}
