package relay

import (
	"fmt"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// notice returns the part of the signals that is shared with other daemons.
func (s *targetSignals) notice(run proto.RunName) proto.TargetNotice {
	n := proto.TargetNotice{Target: s.target, Run: run, Leaving: s.leaving, LimitVersion: s.change}
	if s.limit != noLimit {
		n.Limit, n.HasLimit = s.limit, true
	}
	return n
}

// MergeNotices merges the notices that another daemon knows, and returns those that were new to this daemon.
func (f *Fleet) MergeNotices(now time.Time, list []proto.TargetNotice, from proto.VM) []proto.TargetNotice {
	var updates []proto.TargetNotice
	pools := map[string]bool{}
	f.mu.Lock()
	for _, n := range list {
		if s := f.signals[n.Run]; !n.Valid() || s != nil && !s.updatedBy(n) {
			continue
		}
		s := f.ensureSignals(now, n.Run, n.Target)
		s.merge(now, n, from)
		pools[f.applySignals(n.Run, s)] = true
		updates = append(updates, s.notice(n.Run))
	}
	f.mu.Unlock()
	for pool := range pools {
		if pool != "" {
			f.changed(pool)
		}
	}
	if len(updates) > 0 {
		f.onNotices(updates)
	}
	return updates
}

// updatedBy reports whether a notice is newer than the known signals. Of two limits of the same version, the lower one wins.
func (s *targetSignals) updatedBy(n proto.TargetNotice) bool {
	newerLimit := n.LimitVersion > s.change || n.LimitVersion == s.change && n.HasLimit && (s.limit == noLimit || n.Limit < s.limit)
	return n.Leaving && !s.leaving || newerLimit
}

func (s *targetSignals) merge(now time.Time, n proto.TargetNotice, from proto.VM) {
	s.leaving = s.leaving || n.Leaving
	if n.LimitVersion < s.change {
		return
	}
	s.limit, s.limitAt, s.limitFrom, s.change = noLimit, now, from, n.LimitVersion
	if n.HasLimit {
		s.limit = n.Limit
	}
}

// Notices returns the notices of listed targets.
func (f *Fleet) Notices() []proto.TargetNotice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []proto.TargetNotice
	for run, s := range f.signals {
		if n := s.notice(run); f.isListed(run, s) && (n.Leaving || n.LimitVersion > 0) {
			list = append(list, n)
		}
	}
	return list
}

// isListed reports whether a run is listed; the fleet is locked.
func (f *Fleet) isListed(run proto.RunName, s *targetSignals) bool {
	t := f.byID[s.target]
	if t == nil {
		return false
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.Spec.RunName() == run
}

// NoticeDigest returns a digest of the notices of listed targets, which is equal at daemons that know the same notices;
// 0 if there are none.
func (f *Fleet) NoticeDigest() uint64 {
	digest := uint64(0)
	for _, n := range f.Notices() {
		digest ^= state.Hash(fmt.Sprintf("%s %t %d %t %g", n.Run, n.Leaving, n.LimitVersion, n.HasLimit, n.Limit))
	}
	return digest
}

// NoticeStats counts the runs of targets whose signals are in force.
type NoticeStats struct {
	Leaving    int `json:"leaving"`
	Limited    int `json:"limited"`
	BackingOff int `json:"resting"`
}

// NoticeStats returns how many runs of targets are leaving, report a limit, or asked this daemon to back off.
func (f *Fleet) NoticeStats(now time.Time) NoticeStats {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var c NoticeStats
	for _, s := range f.signals {
		if s.leaving {
			c.Leaving++
		}
		if s.limit != noLimit {
			c.Limited++
		}
		if now.Before(s.backoffUntil) {
			c.BackingOff++
		}
	}
	return c
}
