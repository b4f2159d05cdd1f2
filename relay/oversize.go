package relay

import (
	"maps"
	"sync"
)

const (
	// maxCommentBytes limits the comments of a stream between two events, beside what an event may hold.
	maxCommentBytes = maxEventBytes
	// uncountedEventBytes of an incomplete event do not count against the daemon's limit of buffered answers.
	uncountedEventBytes = 64 << 10
	// maxFailureBytes limits the body of a failure response that does not state its length.
	maxFailureBytes = 1 << 20
	// maxRefusalBytes limits what is read of the body of a refusal, whose head tells all, so that its connection can be used again.
	// refusalBodyTime is how long it may take.
	maxRefusalBytes = 64 << 10
	refusalBodyTime = minStartTimeout
)

// oversizeCause is what part of a response was larger than its limit; empty if none was.
type oversizeCause string

// Causes of oversized responses.
const (
	oversizedEvent     oversizeCause = "event"
	oversizedAllEvents oversizeCause = "allEvents"
	oversizedComments  oversizeCause = "comments"
	oversizedFailure   oversizeCause = "failure"
	oversizedRefusal   oversizeCause = "refusal"
)

// reason returns the reason why an attempt with such a response fails.
func (c oversizeCause) reason() string {
	switch c {
	case oversizedEvent:
		return "an event has no end"
	case oversizedAllEvents:
		return "the incomplete events of all streams are too large"
	case oversizedComments:
		return "the stream holds no event among its comments"
	case oversizedFailure:
		return "the failure response has no end"
	}
	return string(c)
}

// streamLimit limits what is read and held of a stream.
type streamLimit struct {
	// answers is what the request holds of the daemon's limit of buffered answers, held of which are an incomplete event.
	answers *reservation
	held    int
	// withoutEvent is how much was read since the last complete event.
	withoutEvent int
}

// hold records the size of the incomplete event, and returns what is too large, if anything is.
func (l *streamLimit) hold(size int) oversizeCause {
	switch {
	case size > maxEventBytes:
		return oversizedEvent
	case l.withoutEvent > maxCommentBytes+maxEventBytes:
		return oversizedComments
	case size <= uncountedEventBytes:
		l.release()
		return ""
	}
	if more := size - uncountedEventBytes - l.held; more > 0 {
		if !l.answers.take(int64(more)) {
			return oversizedAllEvents
		}
		l.held += more
	}
	return ""
}

func (l *streamLimit) release() {
	l.answers.release(int64(l.held))
	l.held = 0
}

// oversizeCounts counts oversized responses by cause.
type oversizeCounts struct {
	mu     sync.Mutex
	counts map[oversizeCause]int64
}

func (c *oversizeCounts) add(cause oversizeCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[oversizeCause]int64{}
	}
	c.counts[cause]++
}

func (c *oversizeCounts) snapshot() map[oversizeCause]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
