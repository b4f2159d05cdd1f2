package relay

import (
	"iter"
	"maps"
	"net/netip"
	"sync"
	"time"

	"emberlead/proto"
)

// noticeRetention is how long the signals of a run are kept after it was last listed. Its entry may come back, for
// example if another writer overwrote it or the store was restored from a copy.
const noticeRetention = 10 * time.Minute

// Bounds on the backoff that targets may ask for when they reject a request.
const (
	// maxBackoff bounds a backoff, since a target may recover sooner than it expected.
	maxBackoff = 5 * time.Minute
	// maxCredibleBackoff is the longest backoff that is believed. A target that asks for more, such as a year, is not excluded at all.
	maxCredibleBackoff = time.Hour
)

// signal is what a target reports in one response.
type signal struct {
	Notice
	target proto.RelayTarget
	// sent is when the request of that response was sent.
	sent time.Time
	// partial is set if the response may lack headers that still apply, so that a missing limit does not lift the known one.
	partial bool
}

// signalChange is a change of the known signals caused by a response.
type signalChange struct {
	// event is the log message.
	event string
	// limit and before are the current and the previous limit, in requests per second; negative if there is none.
	limit, before float64
	backoff       time.Duration
}

// targetSignals holds what a run of a target has reported.
type targetSignals struct {
	target  string
	leaving bool
	// limit is in requests per second, and limitAt is when this daemon learned it.
	limit   float64
	limitAt time.Time
	// limitFrom is the daemon that sent the limit; "" if a response reported it.
	limitFrom proto.VM
	// change counts the changes of the limit at any daemon.
	change       uint64
	backoffUntil time.Time
	// listedAt is when the run was last seen in the list.
	listedAt time.Time
}

// targetAt returns the target with an address.
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

// IsAddress reports whether a listed target has an address.
func (f *Fleet) IsAddress(address netip.AddrPort) bool { return f.knownAddresses()[address] }

// Addresses returns the addresses of all listed targets, in no particular order.
func (f *Fleet) Addresses() iter.Seq[netip.AddrPort] { return maps.Keys(f.knownAddresses()) }

// AddressCount returns the number of addresses of listed targets.
func (f *Fleet) AddressCount() int { return len(f.knownAddresses()) }

// knownAddresses returns the addresses of all listed targets. Callers must not change the map.
func (f *Fleet) knownAddresses() map[netip.AddrPort]bool {
	version := f.Version()
	f.addresses.mu.Lock()
	defer f.addresses.mu.Unlock()
	if f.addresses.known == nil || f.addresses.version != version {
		f.addresses.known, f.addresses.version = f.listAddresses(), version
	}
	return f.addresses.known
}

// addressSet holds the addresses of all targets as of a version of the fleet.
type addressSet struct {
	mu      sync.Mutex
	version proto.Revision
	known   map[netip.AddrPort]bool
}

func (f *Fleet) listAddresses() map[netip.AddrPort]bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	known := make(map[netip.AddrPort]bool, len(f.byID))
	for _, t := range f.byID {
		known[f.Spec(t).Address] = true
	}
	return known
}

// signalsAt reports whether the target with an address has a limit, and returns the end of its backoff for this daemon.
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

// signalsOf returns the known signals of a run.
func (f *Fleet) signalsOf(run proto.RunName) proto.TargetNotice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if s := f.signals[run]; s != nil {
		return s.notice(run)
	}
	return proto.TargetNotice{}
}

// recordSignal records the signal of a response, and returns what it changed.
func (f *Fleet) recordSignal(now time.Time, h *signal) []signalChange {
	run := h.target.RunName()
	f.mu.RLock()
	_, known := f.signals[run]
	f.mu.RUnlock()
	if !known && !h.Leaving && !h.HasLimit && h.Backoff <= 0 {
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

// ensureSignals returns the signals of a run, adding an empty record if there is none; the fleet is locked.
func (f *Fleet) ensureSignals(now time.Time, run proto.RunName, target string) *targetSignals {
	s := f.signals[run]
	if s == nil {
		s = &targetSignals{target: target, limit: noLimit, listedAt: now}
		f.signals[run] = s
	}
	return s
}

// recordLimit records the limit in a response, or its absence. Responses to requests from before the limit became known
// may be outdated and are ignored.
func (s *targetSignals) recordLimit(now time.Time, h *signal) (change signalChange, changed bool) {
	limit := noLimit
	if h.HasLimit {
		limit = h.Limit
	}
	if limit == s.limit || h.sent.Before(s.limitAt) || h.partial && !h.HasLimit {
		return signalChange{}, false
	}
	change = signalChange{event: "target limit", limit: limit, before: s.limit}
	if !h.HasLimit {
		change.event = "target limit lifted"
	}
	s.limit, s.limitAt, s.limitFrom = limit, now, ""
	s.change++
	return change, true
}

// recordBackoff records for how long the target accepts no requests from this daemon.
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

// applySignals applies the signals of a run to its target, and returns the pool, or "" if the run is not listed; the fleet is locked.
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

// apply copies the signals of the target's run, if any; its pool is locked.
func (t *Target) apply(s *targetSignals) {
	if s == nil {
		return
	}
	t.notice, t.backoffUntil = s.notice(t.Spec.RunName()), s.backoffUntil
	t.pool.mayHaveLimits = t.pool.mayHaveLimits || t.notice.HasLimit
}

// forgetNotices removes the signals of runs that are no longer listed; the fleet is locked.
func (f *Fleet) forgetNotices(now time.Time) {
	for run, s := range f.signals {
		if now.Sub(s.listedAt) > noticeRetention {
			delete(f.signals, run)
		}
	}
}

// markListedSignals records that runs with signals are still listed; the fleet is locked.
func (f *Fleet) markListedSignals(now time.Time) {
	for run, s := range f.signals {
		if f.isListed(run, s) {
			s.listedAt = now
		}
	}
}
