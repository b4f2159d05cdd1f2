package serve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// endsBatchDelay is how long ends of targets are collected before the other daemons are told, since all requests
	// that a target ran fail within some milliseconds. It is the delay of each hop; with eight links each, some
	// thousand daemons are reached in four hops.
	endsBatchDelay = 50 * time.Millisecond
	// endsDigestGrace is how long the ends known to a linked daemon may differ before it is sent all ends: those that
	// are on their way arrive within a few hops.
	endsDigestGrace = 2 * peerHeartbeatInterval
	// endsResendInterval is the minimum time between two complete sends to one daemon, and maxEndsPerSecond the number
	// of ends that it is sent per second in the long run, at some ten bytes each. Otherwise daemons that had to forget
	// different ends would send them to each other all the time.
	endsResendInterval = time.Second
	maxEndsPerSecond   = 1000
	// forgetInterval is how often expired ends are removed; an end counts for an hour.
	forgetInterval = time.Second
)

// endGossip forwards ends of targets that this daemon learns of, and finds linked daemons that know different ones.
type endGossip struct {
	clock clockwork.Clock
	send  func(proto.TargetEnds)

	mu      sync.Mutex
	pending []pendingEnd
	digests digestTracker
}

// pendingEnd is an end to be sent to the other daemons, with the time as of which its age holds.
type pendingEnd struct {
	end  proto.TargetEnd
	asOf time.Time
}

func newEndGossip(clock clockwork.Clock, send func(proto.TargetEnds)) *endGossip {
	return &endGossip{clock: clock, send: send, digests: newDigestTracker()}
}

// add queues ends that were new here, whatever their source. Receivers do not send them back, since for the sender they are not new.
func (e *endGossip) add(m proto.TargetEnds) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if len(e.pending) == 0 {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		e.clock.AfterFunc(endsBatchDelay, func() { go e.flush() })
	}
	for _, end := range m.Ends {
		e.pending = append(e.pending, pendingEnd{end, now})
	}
}

func (e *endGossip) flush() {
	e.mu.Lock()
	now := e.clock.Now()
	var m proto.TargetEnds
	for _, queued := range e.pending {
		queued.end.Age += now.Sub(queued.asOf)
		m.Ends = append(m.Ends, queued.end)
	}
	e.pending = nil
	e.mu.Unlock()
	e.send(m)
}

// shouldSendAll reports, by comparing digests, whether to send all ends to a linked daemon now.
func (e *endGossip) shouldSendAll(now time.Time, from proto.VM, ownDigest, theirDigest uint64, count int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digests.shouldSendAll(now, from, ownDigest, theirDigest, count)
}

// sendAllEnds sends all ends of targets that this daemon knows to another daemon.
func (d *Relay) sendAllEnds(to proto.VM) {
	m := d.crashTracker.Snapshot()
	d.log.Info("another daemon is told all ends of targets", "to", to, "ends", len(m.Ends))
	d.peers.Send(to, m)
}

// sendToLinks sends a message to the daemons that this one links to.
func (p *relayPeers) sendToLinks(m proto.Message) {
	for _, vm := range p.members.Links() {
		p.Send(vm, m)
	}
}
