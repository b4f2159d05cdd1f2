package serve

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/origin"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/sched"
	"emberlead/wire"
)

const (
	// peerHeartbeatInterval is how often daemons send each other heartbeats. Work that waits for a silent daemon is
	// late by its silence, so this is a fraction of the shortest latency goal of a request with stages.
	peerHeartbeatInterval = 300 * time.Millisecond
	// peerSilenceTimeout is how long a link may be silent: two lost heartbeats and a delay.
	peerSilenceTimeout = 900 * time.Millisecond
	// peerPauseThreshold is how late a daemon's own tick may be before the daemon concludes that it was paused.
	peerPauseThreshold = 600 * time.Millisecond
	// peerTickInterval is how often links are checked.
	peerTickInterval = 100 * time.Millisecond
	// peerForgetAfter is how long a dead daemon stays known.
	peerForgetAfter = 2 * time.Minute
	// pullDelay is how long another daemon may have newer state before it is asked for it: this daemon's own watch of
	// the store delivers the same within some milliseconds, unless the store does not answer this daemon.
	pullDelay = 250 * time.Millisecond
	// pullSpacing is the minimum time between two requests for newer state in a fleet of pullSpacingFleet daemons or more: while much
	// changes, each linked daemon has some other part of it first, and heartbeats show what is still missing. In smaller fleets less
	// changes, and the time is shorter by their size.
	pullSpacing      = peerHeartbeatInterval / 2
	pullSpacingFleet = 1000
	// rankingInterval is how often the daemons that keep streams are ranked anew: a stream costs less than a look at all daemons.
	rankingInterval = 20 * time.Millisecond
	// invalidAskInterval is how often a daemon is asked whose invalid entries differ from those known here. Entries
	// that are on their way arrive within a few heartbeats.
	invalidAskInterval = time.Second
)

func peerTiming() coord.MemberTiming {
	return coord.MemberTiming{HeartbeatInterval: peerHeartbeatInterval, SilenceTimeout: peerSilenceTimeout, PauseThreshold: peerPauseThreshold, MaxListLag: peerForgetAfter, ForgetAfter: peerForgetAfter}
}

// relayPeers gives the relay access to the other daemons.
type relayPeers struct {
	clock        clockwork.Clock
	log          hclog.Logger
	self         proto.Alive
	members      *coord.Members
	shareTracker *coord.ShareTracker
	links        *wire.Links
	// countedVersion is the version of the members' view that was last passed to shareTracker. Only the loop that calls
	// updateShare uses it.
	countedVersion uint64

	mu sync.Mutex
	// seeds holds addresses of daemons whose names are not known yet, under names derived from the addresses.
	seeds map[proto.VM]proto.Alive
	// newerSince is since when the heartbeats of another daemon show newer state.
	newerSince map[proto.VM]time.Time
	// fleetSize returns the number of live daemons; nil if unknown.
	fleetSize func() int
	// pulledAt is when another daemon was last asked for newer state.
	pulledAt time.Time
	// invalidAskedAt is when other daemons were last asked for the invalid entries that they know of.
	invalidAskedAt map[proto.VM]time.Time
	// loads holds what the heartbeats of other daemons last told of their load.
	loads map[proto.VM]peerLoad
	// delay tells how long heartbeats wait on this daemon's link, and confirmedDelay how long each confirmation took.
	delay, confirmedDelay sched.LinkDelay[peerRun]
	// ranking ranks the other daemons for streams, as of rankedAt.
	ranking  *origin.Ranking
	rankedAt time.Time
}

// peerLoad is the load of another daemon as of its last heartbeat.
type peerLoad struct {
	open     int
	pressure float64
	cutOff   bool
	at       time.Time
}

// peerRun is a run of another daemon.
type peerRun struct {
	vm          proto.VM
	incarnation proto.Incarnation
}

// recordLoad records the load that a heartbeat tells, and returns when it was sent.
func (p *relayPeers) recordLoad(now time.Time, from proto.VM, h proto.Heartbeat) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads[from] = peerLoad{open: int(h.Load), pressure: float64(h.Pressure) / 100, cutOff: h.CutOff, at: now}
	if h.SentAt == 0 {
		return now
	}
	return now.Add(-p.delay.Record(now, peerRun{from, h.Incarnation}, h.SentAt))
}

// confirmedSentAt returns when a confirmation was sent. It may have waited on a link, or while this daemon was suspended.
func (p *relayPeers) confirmedSentAt(now time.Time, from proto.VM, m proto.Confirmed) time.Time {
	alive, known := p.members.Lookup(from)
	if m.SentAt == 0 || !known {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Add(-p.confirmedDelay.Record(now, peerRun{from, alive.Incarnation}, m.SentAt))
}

// takeoverSentAt returns when the message of a takeover was sent, by the usual delay of heartbeats.
func (p *relayPeers) takeoverSentAt(now time.Time, from proto.VM, m proto.StreamTakeover) time.Time {
	alive, _ := p.members.Lookup(from)
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Add(-p.delay.DelayOf(now, peerRun{from, alive.Incarnation}, m.SentAt))
}

// Carriers returns the daemons that were heard a moment ago and can carry connections to targets.
func (p *relayPeers) Carriers() []relay.Carrier {
	now := p.clock.Now()
	p.mu.Lock()
	loads := maps.Clone(p.loads)
	p.mu.Unlock()
	var carriers []relay.Carrier
	for vm, load := range loads {
		if now.Sub(load.at) > peerSilenceTimeout {
			continue
		}
		if alive, known := p.members.Lookup(vm); known && !alive.Stopping && alive.Protocol >= proto.PeerProtocolTunnels {
			carriers = append(carriers, relay.Carrier{VM: vm, Zone: alive.Zone, Load: load.open, CutOff: load.cutOff})
		}
	}
	slices.SortFunc(carriers, func(a, b relay.Carrier) int { return cmp.Compare(a.VM, b.VM) })
	return carriers
}

// maxTunnelRelays is through how many daemons a carrier is told that a tunnel is closed.
const maxTunnelRelays = 2

// tunnelRelays returns daemons that were heard a moment ago, other than the given one.
func (p *relayPeers) tunnelRelays(except proto.VM) []proto.VM {
	var relays []proto.VM
	for _, c := range p.Carriers() {
		if c.VM != except && len(relays) < maxTunnelRelays {
			relays = append(relays, c.VM)
		}
	}
	return relays
}

// StreamHolders returns the other daemons that keep the streams of a request.
func (p *relayPeers) StreamHolders(request proto.RequestDigest, n int) []proto.VM {
	return p.currentRanking().Holders(request, n)
}

// Self returns the name of this daemon.
func (p *relayPeers) Self() proto.VM { return p.self.VM }

// TakesOver reports whether another daemon was heard a moment ago and knows StreamTakeover.
func (p *relayPeers) TakesOver(vm proto.VM) bool {
	alive, known := p.members.Lookup(vm)
	return known && alive.Protocol >= proto.PeerProtocolTakeover && !p.Silent(vm)
}

// currentRanking returns the ranking of the other daemons that keep streams, as of a moment ago.
func (p *relayPeers) currentRanking() *origin.Ranking {
	now := p.clock.Now()
	p.mu.Lock()
	ranking, rankedAt := p.ranking, p.rankedAt
	p.mu.Unlock()
	if ranking != nil && now.Sub(rankedAt) < rankingInterval {
		return ranking
	}
	var daemons []origin.Daemon
	for _, alive := range p.members.Live() {
		if alive.VM != p.self.VM && alive.Protocol >= proto.PeerProtocolStreams {
			daemons = append(daemons, origin.Daemon{VM: alive.VM, Stopping: alive.Stopping})
		}
	}
	ranking = origin.NewRanking(daemons)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ranking, p.rankedAt = ranking, now
	return ranking
}

// pruneLoads removes what is no longer true of the load of other daemons.
func (p *relayPeers) pruneLoads() {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmedDelay.Prune(now)
	maps.DeleteFunc(p.loads, func(_ proto.VM, load peerLoad) bool { return now.Sub(load.at) > peerSilenceTimeout })
}

func (p *relayPeers) resolve(vm proto.VM) (proto.Alive, bool) {
	p.mu.Lock()
	seed, ok := p.seeds[vm]
	p.mu.Unlock()
	if ok {
		return seed, true
	}
	return p.members.Lookup(vm)
}

// Owner returns the daemon that performs a task on behalf of all.
func (p *relayPeers) Owner(task string, skip map[proto.VM]bool) proto.VM {
	return p.members.Owner(task, func(vm proto.VM) bool { return skip[vm] || p.isSilentPeer(vm) })
}

// OwnerInZone returns the daemon of a zone that performs a task on behalf of all, or one of another zone if it has none.
func (p *relayPeers) OwnerInZone(zone proto.Zone, task string, skip map[proto.VM]bool) proto.VM {
	owner := p.members.OwnerInZone(zone, task, func(vm proto.VM) bool { return skip[vm] || p.isSilentPeer(vm) })
	if owner == "" {
		return p.Owner(task, skip)
	}
	return owner
}

// isSilentPeer is Silent, except that it is false for this daemon itself.
func (p *relayPeers) isSilentPeer(vm proto.VM) bool { return vm != p.self.VM && p.Silent(vm) }

// Silent reports whether a daemon has been silent for longer than a live one should be.
func (p *relayPeers) Silent(vm proto.VM) bool {
	return p.members.IsSilent(p.clock.Now(), vm, peerSilenceTimeout)
}

// Count returns the number of live daemons, this one included.
func (p *relayPeers) Count() int { return p.members.LiveCount() }

// Send queues a message.
func (p *relayPeers) Send(to proto.VM, m proto.Message) { p.links.Send(to, m) }

// Call sends a message and waits for its answer.
func (p *relayPeers) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	return p.links.Call(ctx, to, m)
}

// announceToSeeds announces this daemon to the seeds while it knows no other daemon.
func (p *relayPeers) announceToSeeds() {
	if p.Count() > 1 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.seeds {
		p.links.Send(vm, p.announcement())
	}
}

// announcement returns this daemon's entry about itself, with its first sequence number so that later entries replace it.
func (p *relayPeers) announcement() proto.Alive {
	alive, _ := p.members.Lookup(p.self.VM)
	return alive
}

// shouldPull records whether a heartbeat shows newer state and reports whether to ask its sender now: at once if this
// daemon does not read the store itself.
func (p *relayPeers) shouldPull(from proto.VM, isNewer, isReader bool) bool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isNewer {
		delete(p.newerSince, from)
		return false
	}
	since, ok := p.newerSince[from]
	switch {
	case now.Sub(p.pulledAt) < p.minPullSpacing():
		return false
	case !ok && isReader:
		p.newerSince[from] = now
		return false
	case ok && now.Sub(since) < pullDelay:
		return false
	}
	p.newerSince[from], p.pulledAt = now, now
	return true
}

// minPullSpacing returns the minimum time between two requests for newer state.
func (p *relayPeers) minPullSpacing() time.Duration {
	if p.fleetSize == nil {
		return pullSpacing
	}
	return pullSpacing * time.Duration(min(p.fleetSize(), pullSpacingFleet)) / pullSpacingFleet
}

// shouldAskInvalid reports, by comparing digests, whether to ask another daemon now for the invalid entries that it knows of.
func (p *relayPeers) shouldAskInvalid(now time.Time, from proto.VM, ownDigest, theirDigest uint64) bool {
	if theirDigest == 0 || theirDigest == ownDigest {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.invalidAskedAt[from]) < invalidAskInterval {
		return false
	}
	p.invalidAskedAt[from] = now
	return true
}
