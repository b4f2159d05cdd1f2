package serve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// noticeGather is how long what targets say is gathered before the other daemons are told; it is the delay of each hop.
const noticeBatchDelay = 50 * time.Millisecond

// noticeNews passes on what targets say of themselves, as far as it is news here, and finds out who knows something else.
type noticeGossip struct {
	clock clockwork.Clock
	send  func(proto.TargetNotices)

	mu sync.Mutex
	// waiting are the newest notices of runs that the other daemons are to be told.
	pending map[proto.RunName]proto.TargetNotice
	digests digestTracker
}

func newNoticeGossip(clock clockwork.Clock, send func(proto.TargetNotices)) *noticeGossip {
	return &noticeGossip{clock: clock, send: send, pending: map[proto.RunName]proto.TargetNotice{}, digests: newDigestTracker()}
}

// add takes in what was news here, from whomever; it is not sent back by its receivers, for whom it is none.
func (n *noticeGossip) add(list []proto.TargetNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pending) == 0 {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		n.clock.AfterFunc(noticeBatchDelay, func() { go n.flush() })
	}
	for _, notice := range list {
		n.pending[notice.Run] = notice
	}
}

func (n *noticeGossip) flush() {
	n.mu.Lock()
	var m proto.TargetNotices
	for _, notice := range n.pending {
		m.Notices = append(m.Notices, notice)
	}
	clear(n.pending)
	n.mu.Unlock()
	n.send(m)
}

// differs tells whether to tell a linked daemon all now, by its digest.
func (n *noticeGossip) shouldSendAll(now time.Time, from proto.VM, ownDigest, theirDigest uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digests.shouldSendAll(now, from, ownDigest, theirDigest, len(n.pending))
}

// noteNotices passes on what targets say of themselves.
func (d *Relay) forwardNotices(list []proto.TargetNotice) { d.noticeGossip.add(list) }

// learnNotices takes in what another daemon knows of what targets say of themselves.
func (d *Relay) mergeNotices(now time.Time, list []proto.TargetNotice, from proto.VM) {
	for _, n := range d.fleet.MergeNotices(now, list, from) {
		d.log.Info("target signals from another daemon", "target", n.Target, "run", n.Run, "leaving", n.Leaving, "limited", n.HasLimit, "limit", n.Limit, "change", n.LimitVersion, "from", from)
	}
}
