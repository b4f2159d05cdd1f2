package serve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// noticeBatchDelay is how long notices of targets are collected before the other daemons are told; it is the delay of each hop.
const noticeBatchDelay = 50 * time.Millisecond

// noticeGossip forwards what targets say about themselves, if it is new here, and finds linked daemons that know something else.
type noticeGossip struct {
	clock clockwork.Clock
	send  func(proto.TargetNotices)

	mu sync.Mutex
	// pending holds the newest notice of each run, to be sent to the other daemons.
	pending map[proto.RunName]proto.TargetNotice
	digests digestTracker
}

func newNoticeGossip(clock clockwork.Clock, send func(proto.TargetNotices)) *noticeGossip {
	return &noticeGossip{clock: clock, send: send, pending: map[proto.RunName]proto.TargetNotice{}, digests: newDigestTracker()}
}

// add queues notices that were new here, whatever their source. Receivers do not send them back, since for the sender
// they are not new.
func (n *noticeGossip) add(notices []proto.TargetNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.pending) == 0 {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		n.clock.AfterFunc(noticeBatchDelay, func() { go n.flush() })
	}
	for _, notice := range notices {
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

// shouldSendAll reports, by comparing digests, whether to send all notices to a linked daemon now.
func (n *noticeGossip) shouldSendAll(now time.Time, from proto.VM, ownDigest, theirDigest uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digests.shouldSendAll(now, from, ownDigest, theirDigest, len(n.pending))
}

// forwardNotices forwards what targets say about themselves to the other daemons.
func (d *Relay) forwardNotices(notices []proto.TargetNotice) { d.noticeGossip.add(notices) }

// mergeNotices merges what another daemon knows about targets from their notices.
func (d *Relay) mergeNotices(now time.Time, notices []proto.TargetNotice, from proto.VM) {
	for _, notice := range d.fleet.MergeNotices(now, notices, from) {
		d.log.Info("target signals from another daemon", "target", notice.Target, "run", notice.Run, "leaving", notice.Leaving, "limited", notice.HasLimit, "limit", notice.Limit, "change", notice.LimitVersion, "from", from)
	}
}
