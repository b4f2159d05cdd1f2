package sched

import (
	"maps"
	"slices"
	"time"
)

const (
	// delayBaseline is for how long the fastest message of a sender counts; clocks drift apart by milliseconds in that time.
	delayBaseline = time.Minute
	// delayMaxAge is how old a message may be, and delayMinSenders from how many senders messages must be, for the delay to be known.
	delayMaxAge     = 900 * time.Millisecond
	delayMinSenders = 2
)

// LinkDelay measures how long messages wait at this end of their way, from times that their senders state. Their clocks need not agree:
// what counts is how much longer a message took than the fastest one of its sender. As most senders must agree, the way from a
// single one does not matter.
type LinkDelay[K comparable] struct {
	senders map[K]*senderDelay
	delays  []time.Duration
}

type senderDelay struct {
	// fastest is the least difference of the clocks since baselineAt, and before that one of the period before.
	fastest, before time.Duration
	baselineAt      time.Time
	delay           time.Duration
	at              time.Time
}

// Record records that a message arrived, and returns how much longer it took than the fastest one of its sender. sentAt is its time by a
// clock of the sender that continues evenly.
func (l *LinkDelay[K]) Record(now time.Time, sender K, sentAt time.Duration) time.Duration {
	if l.senders == nil {
		l.senders = map[K]*senderDelay{}
	}
	took := time.Duration(now.UnixNano()) - sentAt
	s := l.senders[sender]
	if s == nil {
		s = &senderDelay{fastest: took, before: took, baselineAt: now}
		l.senders[sender] = s
	}
	if now.Sub(s.baselineAt) > delayBaseline {
		s.before, s.fastest, s.baselineAt = s.fastest, took, now
	}
	s.fastest = min(s.fastest, took)
	s.delay, s.at = took-min(s.fastest, s.before), now
	return s.delay
}

// DelayOf returns how much longer a message took than the fastest one of its sender; 0 if nothing is known of that.
func (l *LinkDelay[K]) DelayOf(now time.Time, sender K, sentAt time.Duration) time.Duration {
	s := l.senders[sender]
	if s == nil {
		return 0
	}
	return max(0, time.Duration(now.UnixNano())-sentAt-min(s.fastest, s.before))
}

// Prune removes the senders that have not been heard for long.
func (l *LinkDelay[K]) Prune(now time.Time) {
	maps.DeleteFunc(l.senders, func(_ K, s *senderDelay) bool { return now.Sub(s.at) > 2*delayBaseline })
}

// Delay returns how long most messages waited lately; 0 if that is unknown.
func (l *LinkDelay[K]) Delay(now time.Time) time.Duration {
	l.delays = l.delays[:0]
	l.Prune(now)
	for _, s := range l.senders {
		if now.Sub(s.at) <= delayMaxAge {
			l.delays = append(l.delays, s.delay)
		}
	}
	if len(l.delays) < delayMinSenders {
		return 0
	}
	slices.Sort(l.delays)
	return l.delays[(len(l.delays)-1)/2]
}
