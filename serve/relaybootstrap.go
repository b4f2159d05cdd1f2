package serve

import (
	"context"
	"time"

	"emberlead/proto"
)

// bootstrapTimeout limits how long a starting daemon waits for other daemons to send it the contents of the store, before it reads the
// store itself. They answer within some milliseconds, and a daemon without a configuration serves nobody.
const bootstrapTimeout = 100 * time.Millisecond

// bootstrap asks the daemons in the settings for the configuration and the targets. A list of 3,000 targets is 0.08 MB
// from another daemon, but more than a megabyte from the store, which all daemons would read when they are restarted.
// In the first start of all daemons, nobody has anything to send.
func (d *Relay) bootstrap(ctx context.Context) {
	defer close(d.bootstrapped)
	seeds := d.peers.seedNames()
	if d.settings.FirstStart || len(seeds) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	answers := make(chan proto.Message, len(seeds))
	for _, seed := range seeds {
		go func() {
			m, err := d.peers.Call(ctx, seed, proto.RoutingAsk{})
			if err != nil {
				d.log.Debug("a daemon in the settings did not send its state", "from", seed, "error", err)
			}
			answers <- m
		}()
	}
	for range seeds {
		if answer, ok := (<-answers).(proto.RoutingAnswer); ok && len(answer.RoutingBody) > 0 && answer.Full {
			d.log.Info("loaded the store's tables from another daemon", "targets", len(answer.TargetEntries), "version", answer.Targets)
			d.handleFleetEvents(d.fleet.MergeInvalid(d.clock.Now(), answer.InvalidEntries), "another daemon")
			d.applyEvacuations(answer.Evacuations, "another daemon")
			d.applyRouting(answer.RoutingBody, "another daemon")
			d.adoptTargets(&answer, "another daemon")
			break
		}
	}
	d.waitForRows(ctx)
}

// waitForRows waits for the list of daemons, which determines whether this daemon reads the store for others.
func (d *Relay) waitForRows(ctx context.Context) {
	for d.hasTables() && !d.rowsRead.Load() && ctx.Err() == nil {
		d.sleep(ctx, bootstrapTimeout/20)
	}
}

// seedNames returns the names under which the daemons of the settings are reached.
func (p *relayPeers) seedNames() []proto.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := make([]proto.VM, 0, len(p.seeds))
	for name := range p.seeds {
		names = append(names, name)
	}
	return names
}

// afterBootstrap runs a loop once the other daemons were asked.
func (d *Relay) afterBootstrap(loop func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-d.bootstrapped:
			loop(ctx)
		case <-ctx.Done():
		}
	}
}
