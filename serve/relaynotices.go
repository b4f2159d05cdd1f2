package serve

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// noticeGather is how long what targets say is gathered before the other daemons are told; it is the delay of each hop.
const noticeGather = 50 * time.Millisecond

// noticeNews passes on what targets say of themselves, as far as it is news here, and finds out who knows something else.
type noticeNews struct {
	clock clockwork.Clock
	send  func(proto.TargetNotices)

	mu sync.Mutex
	// waiting are the newest notices of runs that the other daemons are to be told.
	waiting map[proto.RunName]proto.TargetNotice
	others  digestWatch
}

func newNoticeNews(clock clockwork.Clock, send func(proto.TargetNotices)) *noticeNews {
	return &noticeNews{clock: clock, send: send, waiting: map[proto.RunName]proto.TargetNotice{}, others: newDigestWatch()}
}

// add takes in what was news here, from whomever; it is not sent back by its receivers, for whom it is none.
func (n *noticeNews) add(list []proto.TargetNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) == 0 {
		// AfterFunc may run in the goroutine of the clock, which must not wait for a lock.
		n.clock.AfterFunc(noticeGather, func() { go n.flush() })
	}
	for _, notice := range list {
		n.waiting[notice.Run] = notice
	}
}

func (n *noticeNews) flush() {
	n.mu.Lock()
	var m proto.TargetNotices
	for _, notice := range n.waiting {
		m.Notices = append(m.Notices, notice)
	}
	clear(n.waiting)
	n.mu.Unlock()
	n.send(m)
}

// differs tells whether to tell a linked daemon all now, by its digest.
func (n *noticeNews) differs(now time.Time, from proto.VM, own, theirs uint64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.others.differs(now, from, own, theirs, len(n.waiting))
}

// noteNotices passes on what targets say of themselves.
func (d *Relay) noteNotices(list []proto.TargetNotice) { d.noticeNews.add(list) }

// learnNotices takes in what another daemon knows of what targets say of themselves.
func (d *Relay) learnNotices(now time.Time, list []proto.TargetNotice, from proto.VM) {
	for _, n := range d.fleet.MergeNotices(now, list, from) {
		d.log.Info("target signals from another daemon", "target", n.Target, "run", n.Run, "leaving", n.Leaving, "limited", n.HasLimit, "limit", n.Limit, "change", n.LimitVersion, "from", from)
	}
}
