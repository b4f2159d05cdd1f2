package relay

import (
	"net/netip"
	"time"

	"emberlead/proto"
)

// noticesKept is how long what a run of a target has said is remembered once the run is not listed. Its entry may come back, as
// after another writer spoilt it or with a copy of the store.
const noticeRetention = 10 * time.Minute

// What targets that turn a daemon away may ask of it.
const (
	// restMost bounds a rest, since a target may recover sooner than it thought.
	maxBackoff = 5 * time.Minute
	// restCredible is the longest rest that is believed. One that asks for more, such as a year, is not left out for that.
	maxCredibleBackoff = time.Hour
)

// signal is what a target signals in one answer.
type signal struct {
	Notice
	target proto.RelayTarget
	// sent is when the request went out that was answered.
	sent time.Time
	// partial answers may lack headers that hold all the same, so that a limit does not end with one.
	partial bool
}

// signalChange is what became known by an answer.
type signalChange struct {
	// event is the line for the log.
	event string
	// limit and before are the limits in force now and before, in requests a second; negative if there is none.
	limit, before float64
	backoff       time.Duration
}

// targetSignals is what a run of a target has signalled.
type targetSignals struct {
	target  string
	leaving bool
	// limit is in requests a second, and limitAt is when it became known here.
	limit   float64
	limitAt time.Time
	// limitFrom is the daemon that told the limit; "" if an answer to this one did.
	limitFrom proto.VM
	// change counts the changes of the limit, at whatever daemon.
	change       uint64
	backoffUntil time.Time
	// listedAt is when the run was last seen to be listed.
	listedAt time.Time
}

// at returns the target that has an address.
func (f *Fleet) targetAt(address netip.AddrPort) (proto.RelayTarget, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.byID {
		if spec := f.Spec(t); spec.Address == address {
			return spec, true
		}
	}
	return proto.RelayTarget{}, false
}

// signalsAt returns whether the target that has an address names a limit, and until when it wants rest from this daemon.
func (f *Fleet) signalsAt(address netip.AddrPort) (limited bool, backoffUntil time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for run, s := range f.signals {
		t := f.byID[s.target]
		if t == nil {
			continue
		}
		if spec := f.Spec(t); spec.Address == address && spec.RunName() == run {
			return s.limit != noLimit, s.backoffUntil
		}
	}
	return false, time.Time{}
}

// signalsOf returns what a run has signalled, as far as is known.
func (f *Fleet) signalsOf(run proto.RunName) proto.TargetNotice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if s := f.signals[run]; s != nil {
		return s.notice(run)
	}
	return proto.TargetNotice{}
}

// takeSignal takes in the signal of a target's answer, and returns what changed by it.
func (f *Fleet) recordSignal(now time.Time, h *signal) []signalChange {
	run := h.target.RunName()
	f.mu.RLock()
	_, known := f.signals[run]
	f.mu.RUnlock()
	if !known && !h.Leaving && !h.Limited && h.Backoff <= 0 {
		return nil
	}
	f.mu.Lock()
	s := f.ensureSignals(now, run, h.target.ID)
	before := s.notice(run)
	var changes []signalChange
	if h.Leaving && !s.leaving {
		s.leaving = true
		changes = append(changes, signalChange{event: "target draining", limit: s.limit, before: s.limit})
	}
	if change, changed := s.recordLimit(now, h); changed {
		changes = append(changes, change)
	}
	if change, changed := s.recordBackoff(now, h); changed {
		changes = append(changes, change)
	}
	pool, notice := "", s.notice(run)
	if len(changes) > 0 {
		pool = f.applySignals(run, s)
	}
	f.mu.Unlock()
	if pool != "" {
		f.changed(pool)
	}
	if notice != before {
		f.onNotices([]proto.TargetNotice{notice})
	}
	return changes
}

// keep returns what is kept of a run, which is nothing yet if it is new; the fleet is locked.
func (f *Fleet) ensureSignals(now time.Time, run proto.RunName, target string) *targetSignals {
	s := f.signals[run]
	if s == nil {
		s = &targetSignals{target: target, limit: noLimit, listedAt: now}
		f.signals[run] = s
	}
	return s
}

// takeLimit takes in the limit that an answer names, or that it names none. An answer to a request from before the limit became known
// may be older than that.
func (s *targetSignals) recordLimit(now time.Time, h *signal) (change signalChange, changed bool) {
	limit := noLimit
	if h.Limited {
		limit = h.Limit
	}
	if limit == s.limit || h.sent.Before(s.limitAt) || h.partial && !h.Limited {
		return signalChange{}, false
	}
	change = signalChange{event: "target limit", limit: limit, before: s.limit}
	if !h.Limited {
		change.event = "target limit lifted"
	}
	s.limit, s.limitAt, s.limitFrom = limit, now, ""
	s.change++
	return change, true
}

// takeRest takes in for how long the target wants nothing from this daemon.
func (s *targetSignals) recordBackoff(now time.Time, h *signal) (change signalChange, changed bool) {
	change = signalChange{event: "target asks for rest", limit: s.limit, before: s.limit, backoff: h.Backoff}
	if h.Backoff > maxCredibleBackoff {
		change.event = "excessive rest of a target ignored"
		return change, true
	}
	until := now.Add(min(h.Backoff, maxBackoff))
	if h.Backoff <= 0 || !until.After(s.backoffUntil) {
		return signalChange{}, false
	}
	s.backoffUntil = until
	return change, true
}

// mark applies what a run has signalled to its target, and returns the pool, or "" if the run is not listed; the fleet is locked.
func (f *Fleet) applySignals(run proto.RunName, s *targetSignals) (pool string) {
	t := f.byID[s.target]
	if t == nil {
		return ""
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.Spec.RunName() != run {
		return ""
	}
	t.apply(s)
	return t.Spec.Pool
}

// apply takes over what the target's run has signalled, if anything; its pool is locked.
func (t *Target) apply(s *targetSignals) {
	if s == nil {
		return
	}
	t.notice, t.backoffUntil = s.notice(t.Spec.RunName()), s.backoffUntil
	t.pool.mayHaveLimits = t.pool.mayHaveLimits || t.notice.HasLimit
}

// forgetNotices forgets what runs have signalled that are not listed any more; the fleet is locked.
func (f *Fleet) forgetNotices(now time.Time) {
	for run, s := range f.signals {
		if now.Sub(s.listedAt) > noticeRetention {
			delete(f.signals, run)
		}
	}
}
