package serve

import (
	"time"

	"emberlead/proto"
)

// digestWatch finds out by digests which linked daemons know something else, so that they are to be told all. It has no lock of its own.
type digestTracker struct {
	// differ is since when other daemons have another digest, and told when they were last told all.
	differSince, sentAt map[proto.VM]time.Time
}

func newDigestTracker() digestTracker {
	return digestTracker{differSince: map[proto.VM]time.Time{}, sentAt: map[proto.VM]time.Time{}}
}

// differs takes in the digest of a linked daemon and tells whether to tell it all now: at once if it knows nothing, as one
// that has just started. known is how many things it would be told.
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
