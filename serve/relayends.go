package serve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

const (
	// endsGather is how long ends of targets are gathered before the other daemons are told: all requests that a target
	// ran fail within some milliseconds. It is the delay of each hop; eight links each reach some thousand daemons in
	// four.
	endsBatchDelay = 50 * time.Millisecond
	// endsDiffer is how long the ends that a linked daemon knows may differ before it is told all: what is on its way
	// arrives within a few hops.
	endsDigestGrace = 2 * peerHeartbeatInterval
	// endsAgain is how often one daemon is told all at the most, and endsPace how many ends a second it is told in the
	// long run, at some ten bytes each: daemons that had to forget different ones would go on telling each other.
	endsResendInterval = time.Second
	maxEndsPerSecond   = 1000
	// forgetEvery is how often ends that are too old are looked for; they count for an hour.
	forgetInterval = time.Second
)

// endNews passes on what this daemon learns of ends of targets, and finds out who knows something else.
type endGossip struct {
	clock clockwork.Clock
	send  func(proto.TargetEnds)

	mu      sync.Mutex
	pending []pendingEnd
	digests digestTracker
}

// waitingEnd is an end that the other daemons are to be told, with when its age held.
type pendingEnd struct {
	end proto.TargetEnd
	at  time.Time
}

func newEndGossip(clock clockwork.Clock, send func(proto.TargetEnds)) *endGossip {
	return &endGossip{clock: clock, send: send, digests: newDigestTracker()}
}

// add takes in what was news here, from whomever; it is not sent back by its receivers, for whom it is none.
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
	for _, w := range e.pending {
		w.end.Age += now.Sub(w.at)
		m.Ends = append(m.Ends, w.end)
	}
	e.pending = nil
	e.mu.Unlock()
	e.send(m)
}

// differs tells whether to tell a linked daemon all now, by its digest.
func (e *endGossip) shouldSendAll(now time.Time, from proto.VM, ownDigest, theirDigest uint64, known int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.digests.shouldSendAll(now, from, ownDigest, theirDigest, known)
}

// tellEnds tells another daemon all ends of targets that this one knows of.
func (d *Relay) sendAllEnds(to proto.VM) {
	m := d.crashTracker.Snapshot()
	d.log.Info("another daemon is told all ends of targets", "to", to, "ends", len(m.Ends))
	d.peers.Send(to, m)
}

// tellLinks sends a message to the daemons that this one links to.
func (p *relayPeers) sendToLinks(m proto.Message) {
	for _, vm := range p.members.Links() {
		p.Send(vm, m)
	}
}
