package serve

import (
	"context"
	"time"

	"emberlead/proto"
)

const (
	// bootstrapWait limits how long a starting daemon waits for the daemons of its settings to send it the contents of the store, before it
	// looks elsewhere too. They answer within some milliseconds, and a daemon without a configuration serves nobody.
	bootstrapWait = 100 * time.Millisecond
	// bootstrapTimeout limits how long they may take to begin their answers.
	bootstrapTimeout = time.Second
	// bootstrapDelay is how long one of them is waited for before the next one is asked too.
	bootstrapDelay = 100 * time.Millisecond
	// rowsWait limits how long the list of daemons is waited for once the contents of the store are known.
	rowsWait = 100 * time.Millisecond
)

// bootstrap asks the daemons in the settings for the configuration and the targets. A list of 3,000 targets is 0.08 MB
// from another daemon, but more than a megabyte from the store, which all daemons would read when they are restarted.
// In the first start of all daemons, nobody has anything to send.
func (d *Relay) bootstrap(ctx context.Context) {
	defer close(d.bootstrapped)
	seeds := d.peers.seedNames()
	if d.settings.FirstStart || len(seeds) == 0 {
		return
	}
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		if answer, ok := d.askSeeds(ctx, seeds); ok && !d.hasTables() {
			d.adoptState(&answer)
		}
	}()
	select {
	case <-asked:
	case <-d.clock.After(bootstrapWait):
	case <-ctx.Done():
	}
	// The goroutine above goes on with ctx.
	rowsCtx, cancel := context.WithTimeout(ctx, rowsWait)
	defer cancel()
	d.waitForRows(rowsCtx)
}

// adoptState applies the contents of the store that another daemon sent.
func (d *Relay) adoptState(answer *proto.RoutingAnswer) {
	d.log.Info("loaded the store's tables from another daemon", "targets", len(answer.TargetEntries), "version", answer.Targets)
	d.handleFleetEvents(d.fleet.MergeInvalid(d.clock.Now(), answer.InvalidEntries), "another daemon")
	d.applyEvacuations(answer.Evacuations, "another daemon")
	d.applyReceivedRouting(answer, "another daemon", 0)
	d.adoptTargets(answer, "another daemon")
}

// askSeeds asks one daemon after another, the next one as soon as an earlier one fails or takes long, and returns the first complete
// answer. A whole list is expensive for its sender, and one is enough.
func (d *Relay) askSeeds(ctx context.Context, seeds []proto.VM) (proto.RoutingAnswer, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan proto.Message, len(seeds))
	asked, pending := 0, 0
	for asked < len(seeds) || pending > 0 {
		if asked < len(seeds) {
			seed := seeds[asked]
			asked++
			pending++
			go func() {
				ctx, _, cancel := proto.WithProgress(ctx, bootstrapTimeout)
				defer cancel()
				m, err := d.peers.Call(ctx, seed, proto.RoutingAsk{Packed: true})
				if err != nil {
					d.log.Debug("a daemon in the settings did not send its state", "from", seed, "error", err)
				}
				answers <- m
			}()
		}
		var next <-chan time.Time
		if asked < len(seeds) {
			next = d.clock.After(bootstrapDelay)
		}
		select {
		case m := <-answers:
			pending--
			if answer, ok := m.(proto.RoutingAnswer); ok && answer.HasRouting() && answer.Full {
				return answer, true
			}
		case <-next:
		}
	}
	return proto.RoutingAnswer{}, false
}

// waitForRows waits for the list of daemons, which determines whether this daemon reads the store for others.
func (d *Relay) waitForRows(ctx context.Context) {
	for d.hasTables() && !d.rowsRead.Load() && ctx.Err() == nil {
		d.sleep(ctx, rowsWait/20)
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
