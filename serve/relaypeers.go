package serve

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/coord"
	"emberlead/proto"
	"emberlead/wire"
)

const (
	// peerHeartbeat is how often daemons hear of each other. Work that waits for a silent daemon is late by its
	// silence, so this is a fraction of the shortest goal of a request with stages.
	peerHeartbeatInterval = 300 * time.Millisecond
	// peerSilence is how long a link may be silent: two lost heartbeats and a delay.
	peerSilenceTimeout = 900 * time.Millisecond
	// peerPause is how late a daemon's own tick may be before it holds itself to have been paused.
	peerPauseThreshold = 600 * time.Millisecond
	// peerTick is how often links are looked at.
	peerTickInterval = 100 * time.Millisecond
	// peerForget is how long a dead daemon stays known.
	peerForgetAfter = 2 * time.Minute
	// pullAfter is how long another daemon may have newer state before it is asked for it: the own watch of the store
	// shows the same within some milliseconds, unless the store does not answer this daemon.
	pullDelay = 250 * time.Millisecond
	// pullWait bounds the asking.
	pullTimeout = time.Second
	// voidAgain is how often a daemon is asked whose void entries differ from those known here: what is on its way
	// arrives within a few heartbeats.
	invalidAskInterval = time.Second
)

func peerTiming() coord.MemberTiming {
	return coord.MemberTiming{HeartbeatInterval: peerHeartbeatInterval, SilenceTimeout: peerSilenceTimeout, PauseThreshold: peerPauseThreshold, MaxListLag: peerForgetAfter, ForgetAfter: peerForgetAfter}
}

// relayPeers are the other daemons as the relay sees them.
type relayPeers struct {
	clock        clockwork.Clock
	log          hclog.Logger
	self         proto.Alive
	members      *coord.Members
	shareTracker *coord.ShareTracker
	links        *wire.Links
	// counted is the version of the members' view that the census has; only the loop that reports the share uses it.
	countedVersion uint64

	mu sync.Mutex
	// seeds are addresses of daemons whose names are not known yet, under names made from the addresses.
	seeds map[proto.VM]proto.Alive
	// newer is since when another daemon's heartbeats show newer state.
	newerSince map[proto.VM]time.Time
	// voidAsked is when other daemons were last asked for the void entries that they know of.
	invalidAskedAt map[proto.VM]time.Time
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

// Owner returns the daemon that does a task for all.
func (p *relayPeers) Owner(task string, skip map[proto.VM]bool) proto.VM {
	return p.members.Owner(task, func(vm proto.VM) bool { return skip[vm] || p.isSilentPeer(vm) })
}

// silent is Silent, but for this daemon itself.
func (p *relayPeers) isSilentPeer(vm proto.VM) bool { return vm != p.self.VM && p.Silent(vm) }

// Silent tells whether a daemon has not been heard for longer than a live one is silent.
func (p *relayPeers) Silent(vm proto.VM) bool {
	return p.members.IsSilent(p.clock.Now(), vm, peerSilenceTimeout)
}

// Count returns the number of live daemons, this one included.
func (p *relayPeers) Count() int { return len(p.members.Live()) }

// Send queues a message.
func (p *relayPeers) Send(to proto.VM, m proto.Message) { p.links.Send(to, m) }

// Call sends a message and waits for its answer.
func (p *relayPeers) Call(ctx context.Context, to proto.VM, m proto.Message) (proto.Message, error) {
	return p.links.Call(ctx, to, m)
}

// meet announces this daemon to the seeds while it knows nobody else, and to a daemon that the store lists.
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

// announcement is the daemon's own word on itself, of its first count so that later ones replace it.
func (p *relayPeers) announcement() proto.Alive {
	alive, _ := p.members.Lookup(p.self.VM)
	return alive
}

// sawNewer notes a heartbeat's versions and tells whether to ask the sender now: at once for a daemon that does not
// read the store itself.
func (p *relayPeers) shouldPull(from proto.VM, isNewer, isReader bool) bool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !isNewer {
		delete(p.newerSince, from)
		return false
	}
	since, ok := p.newerSince[from]
	if !ok && !isReader {
		p.newerSince[from] = now
		return true
	}
	if !ok {
		p.newerSince[from] = now
		return false
	}
	if now.Sub(since) < pullDelay {
		return false
	}
	p.newerSince[from] = now
	return true
}

// mayAskVoid tells whether to ask another daemon now for the void entries that it knows of, by their digests.
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
