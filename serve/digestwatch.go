package serve

import (
	"time"

	"emberlead/proto"
)

// digestWatch finds out by digests which linked daemons know something else, so that they are to be told all. It has no lock of its own.
type digestWatch struct {
	// differ is since when other daemons have another digest, and told when they were last told all.
	differ, told map[proto.VM]time.Time
}

func newDigestWatch() digestWatch {
	return digestWatch{differ: map[proto.VM]time.Time{}, told: map[proto.VM]time.Time{}}
}

// differs takes in the digest of a linked daemon and tells whether to tell it all now: at once if it knows nothing, as one
// that has just started. known is how many things it would be told.
func (w *digestWatch) differs(now time.Time, from proto.VM, own, theirs uint64, known int) bool {
	if own == theirs || own == 0 {
		delete(w.differ, from)
		return false
	}
	since, noted := w.differ[from]
	if !noted {
		since = now
		w.differ[from] = now
	}
	again := max(endsAgain, time.Duration(known)*time.Second/endsPace)
	if theirs != 0 && now.Sub(since) < endsDiffer || now.Sub(w.told[from]) < again {
		return false
	}
	w.told[from] = now
	return true
}
