package relay

import (
	"time"

	"emberlead/proto"
)

// limited returns the targets of a pool that report a limit and may get new work.
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

// limitOf returns the limit of a target, if it reports one.
func (f *Fleet) limitOf(t *Target) (n proto.TargetNotice, limited bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.notice, t.notice.HasLimit
}

// backsOff reports whether the target accepts no requests from this daemon for now.
func (t *Target) backsOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// backoffRemaining returns how long it takes until a target of a pool in backoff may get work, and false if none is in backoff.
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

// blockedTarget is a target that may get no request for a while: for left if it asked for backoff, and within its limit.
type blockedTarget struct {
	notice proto.TargetNotice
	left   time.Duration
}

// allBlocked returns the targets of a pool in the allowed regions that may get work, if each is in backoff or reports a
// limit; nil if one does neither.
func (f *Fleet) allBlocked(now time.Time, pool string, regions proto.AllowedRegions) []blockedTarget {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var blocked []blockedTarget
	for _, t := range p.list {
		if t.closed() || !regions.Allows(t.Spec.Region) {
			continue
		}
		if !t.backsOff(now) && !t.notice.HasLimit {
			return nil
		}
		blocked = append(blocked, blockedTarget{t.notice, max(0, t.backoffUntil.Sub(now))})
	}
	return blocked
}

// targetLimits are the requests that a target accepts from this daemon.
type targetLimits struct {
	id string
	// limit is in requests per second from all daemons together; noLimit if the target reports none.
	limit        float64
	backoffUntil time.Time
}

// poolLimits returns the limits and backoffs of the targets of a pool.
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
		limits := targetLimits{id: t.Spec.ID, limit: noLimit, backoffUntil: t.backoffUntil}
		if t.notice.HasLimit {
			limits.limit = t.notice.Limit
		}
		list = append(list, limits)
	}
	return list
}

// maxSignalLogEntries bounds the number of targets in one log line.
const maxSignalLogEntries = 8

// signalLogEntry holds a target's signals for the log line of a request. Ages are relative to the time of the request.
type signalLogEntry struct {
	Target  string  `json:"target"`
	Leaving bool    `json:"leaving,omitempty"`
	Limit   float64 `json:"perSecond,omitempty"`
	// Age is how long this daemon has known the limit, From the daemon that sent it (empty if a response did), and Next
	// how long it takes until a request within the limit may be sent.
	Age  string   `json:"age,omitempty"`
	From proto.VM `json:"from,omitempty"`
	Next string   `json:"next,omitempty"`
	// Backoff is the remaining backoff of the target.
	Backoff string `json:"rest,omitempty"`

	notice proto.TargetNotice
}

// signalLogEntries returns the signals in force of the first targets of a pool.
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
