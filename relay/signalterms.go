package relay

import (
	"time"

	"emberlead/proto"
)

// limited returns the targets of a pool that name a limit and may get new work.
func (f *Fleet) limited(pool string) []proto.TargetNotice {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	if !p.mayHaveLimits {
		return nil
	}
	p.mayHaveLimits = false
	var list []proto.TargetNotice
	for _, t := range p.list {
		p.mayHaveLimits = p.mayHaveLimits || t.notice.HasLimit
		if t.notice.HasLimit && !t.closed() {
			list = append(list, t.notice)
		}
	}
	return list
}

// limitOf returns the limit that a target names, if it names one.
func (f *Fleet) limitOf(t *Target) (n proto.TargetNotice, limited bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.notice, t.notice.HasLimit
}

// rests tells whether the target wants nothing from this daemon.
func (t *Target) backsOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// restsFor returns how long it takes until a target of a pool that wants rest from this daemon may get work, and false if none wants rest.
func (f *Fleet) backoffRemaining(now time.Time, pool string) (left time.Duration, backsOff bool) {
	p := f.pool(pool)
	if p == nil {
		return 0, false
	}
	p.lock()
	defer p.mu.Unlock()
	for _, t := range p.list {
		if t.closed() || !t.backsOff(now) {
			continue
		}
		if in := t.backoffUntil.Sub(now); !backsOff || in < left {
			left, backsOff = in, true
		}
	}
	return left, backsOff
}

// heldTarget is a target that may get no request for a while by what it signals: for left, if it asked for rest, and within its limit.
type blockedTarget struct {
	notice proto.TargetNotice
	left   time.Duration
}

// allHeld returns the targets of a pool in some regions that may get work, if each of them rests or names a limit; nil if one does neither.
func (f *Fleet) allBlocked(now time.Time, pool string, homes proto.AllowedRegions) []blockedTarget {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var held []blockedTarget
	for _, t := range p.list {
		if t.closed() || !homes.Allows(t.Spec.Region) {
			continue
		}
		if !t.backsOff(now) && !t.notice.HasLimit {
			return nil
		}
		held = append(held, blockedTarget{t.notice, max(0, t.backoffUntil.Sub(now))})
	}
	return held
}

// targetTerms are what a target accepts from this daemon.
type targetLimits struct {
	id string
	// limit is in requests a second, from all daemons together; noLimit if it names none.
	limit        float64
	backoffUntil time.Time
}

// terms returns what the targets of a pool accept.
func (f *Fleet) poolLimits(now time.Time, pool string) []targetLimits {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var list []targetLimits
	for _, t := range p.list {
		if !t.notice.HasLimit && !t.backsOff(now) {
			continue
		}
		terms := targetLimits{id: t.Spec.ID, limit: noLimit, backoffUntil: t.backoffUntil}
		if t.notice.HasLimit {
			terms.limit = t.notice.Limit
		}
		list = append(list, terms)
	}
	return list
}

// signalLinesMost bounds the targets whose notices stand in one line of the log.
const maxSignalLogEntries = 8

// signalLine is what a target signals, for the log. It belongs to the line of a request, so the age tells how old it was then.
type signalLogEntry struct {
	Target  string  `json:"target"`
	Leaving bool    `json:"leaving,omitempty"`
	Limit   float64 `json:"perSecond,omitempty"`
	// Age is how long ago the limit became known here, From the daemon that told it, if an answer did not, and Next how long it takes until
	// a request may be sent within it.
	Age  string   `json:"age,omitempty"`
	From proto.VM `json:"from,omitempty"`
	Next string   `json:"next,omitempty"`
	// Rest is how much longer the target wants rest.
	Backoff string `json:"rest,omitempty"`

	notice proto.TargetNotice
}

// signalLines returns what the first targets of a pool signal that holds.
func (f *Fleet) signalLogEntries(now time.Time, pool string) []signalLogEntry {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	p.lock()
	defer p.mu.Unlock()
	var lines []signalLogEntry
	for _, t := range p.list {
		s := f.signals[t.Spec.RunName()]
		if s == nil || len(lines) == maxSignalLogEntries {
			continue
		}
		line := signalLogEntry{Target: t.Spec.ID, Leaving: s.leaving}
		if s.limit != noLimit {
			line.Limit, line.Age, line.From, line.notice = s.limit, formatDuration(now.Sub(s.limitAt)), s.limitFrom, t.notice
		}
		if t.backsOff(now) {
			line.Backoff = formatDuration(t.backoffUntil.Sub(now))
		}
		if line != (signalLogEntry{Target: t.Spec.ID}) {
			lines = append(lines, line)
		}
	}
	return lines
}
