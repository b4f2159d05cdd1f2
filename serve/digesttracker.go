package serve

import (
	"time"

	"emberlead/proto"
)

// digestTracker detects by comparing digests which linked daemons have different data, so that all data is sent to
// them. It has no lock of its own.
type digestTracker struct {
	// differSince is since when other daemons have a different digest, and sentAt when all data was last sent to them.
	differSince, sentAt map[proto.VM]time.Time
}

func newDigestTracker() digestTracker {
	return digestTracker{differSince: map[proto.VM]time.Time{}, sentAt: map[proto.VM]time.Time{}}
}

// shouldSendAll records the digest of a linked daemon and reports whether to send it all data now: at once if it has
// none, like a daemon that has just started. count is the number of items that would be sent.
func (w *digestTracker) shouldSendAll(now time.Time, from proto.VM, ownDigest, theirDigest uint64, count int) bool {
	if ownDigest == theirDigest || ownDigest == 0 {
		delete(w.differSince, from)
		return false
	}
	since, differed := w.differSince[from]
	if !differed {
		since = now
		w.differSince[from] = now
	}
	resendInterval := max(endsResendInterval, time.Duration(count)*time.Second/maxEndsPerSecond)
	if theirDigest != 0 && now.Sub(since) < endsDigestGrace || now.Sub(w.sentAt[from]) < resendInterval {
		return false
	}
	w.sentAt[from] = now
	return true
}
