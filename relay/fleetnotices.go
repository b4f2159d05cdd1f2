package relay

import (
	"fmt"
	"net/netip"
	"time"

	"emberlead/proto"
	"emberlead/state"
)

// noticesKept is how long what a run of a target has said is remembered once the run is not listed. Its entry may come back, as
// after another writer spoilt it or with a copy of the store.
const noticesKept = 10 * time.Minute

// Hearing is what a target said in one answer.
type Hearing struct {
	Notice
	Target proto.RelayTarget
	// Sent is when the request went out that it answers.
	Sent time.Time
	// Partial answers end nothing by not mentioning it.
	Partial bool
}

// NoticeChange is what became known by an answer.
type NoticeChange struct {
	Text string
	// Limit and Before are the limits in force now and before, in requests a second; negative if there is none.
	Limit, Before float64
	Rest          time.Duration
}

// heard is what a run of a target has said of itself.
type heard struct {
	target  string
	leaving bool
	// limit is in requests a second, and limitAt is when it became known here.
	limit   float64
	limitAt time.Time
	// change counts the changes of the limit, at whatever daemon.
	change    uint64
	restUntil time.Time
	// listedAt is when the run was last seen to be listed.
	listedAt time.Time
}

// at returns the target that has an address.
func (f *Fleet) at(address netip.AddrPort) (proto.RelayTarget, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, t := range f.where {
		if spec := f.Spec(t); spec.Address == address {
			return spec, true
		}
	}
	return proto.RelayTarget{}, false
}

// limitsAt tells whether the target that has an address names a limit.
func (f *Fleet) limitsAt(address netip.AddrPort) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, k := range f.heard {
		t := f.where[k.target]
		if t == nil || k.limit == noLimit {
			continue
		}
		if f.Spec(t).Address == address {
			return true
		}
	}
	return false
}

// Hear takes in what a target said in an answer, and returns what changed by it.
func (f *Fleet) Hear(now time.Time, h *Hearing) []NoticeChange {
	run := h.Target.RunName()
	f.mu.RLock()
	_, known := f.heard[run]
	f.mu.RUnlock()
	if !known && !h.Leaving && !h.Limited && h.Rest <= 0 {
		return nil
	}
	f.mu.Lock()
	k := f.heardOf(now, run, h.Target.ID)
	before := k.notice(run)
	var changes []NoticeChange
	if h.Leaving && !k.leaving {
		k.leaving = true
		changes = append(changes, NoticeChange{Text: "a target says that it leaves", Limit: k.limit, Before: k.limit})
	}
	if change, changed := k.hearLimit(now, h); changed {
		changes = append(changes, change)
	}
	if change, changed := k.hearRest(now, h); changed {
		changes = append(changes, change)
	}
	notice := k.notice(run)
	if notice == before {
		f.mu.Unlock()
		return changes
	}
	pool := f.mark(run, k)
	f.mu.Unlock()
	f.noticed(pool, notice)
	return changes
}

// noticed tells of notices that are new here; the fleet is not locked.
func (f *Fleet) noticed(pool string, notices ...proto.TargetNotice) {
	if pool != "" {
		f.changed(pool)
	}
	f.tell(notices)
}

// mark has a listed target go by what its run has said, and returns its pool, or "" if the run is not listed; the fleet is locked.
func (f *Fleet) mark(run proto.RunName, k *heard) (pool string) {
	t := f.where[k.target]
	if t == nil {
		return ""
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	if t.Spec.RunName() != run {
		return ""
	}
	t.goBy(k)
	return t.Spec.Pool
}

// goBy takes over what the target's run has said, if anything; its pool is locked.
func (t *Target) goBy(k *heard) {
	if k == nil {
		return
	}
	t.notice = k.notice(t.Spec.RunName())
	t.pool.mayLimit = t.pool.mayLimit || t.notice.Limited
}

// notice is what other daemons are told.
func (k *heard) notice(run proto.RunName) proto.TargetNotice {
	n := proto.TargetNotice{Target: k.target, Run: run, Leaving: k.leaving, Change: k.change}
	if k.limit != noLimit {
		n.Limit, n.Limited = k.limit, true
	}
	return n
}

// LearnNotices takes in what another daemon knows of what targets have said, and returns what was news here.
func (f *Fleet) LearnNotices(now time.Time, list []proto.TargetNotice) []proto.TargetNotice {
	var news []proto.TargetNotice
	pools := map[string]bool{}
	f.mu.Lock()
	for _, n := range list {
		if k := f.heard[n.Run]; !n.Valid() || k != nil && !k.lacks(n) {
			continue
		}
		k := f.heardOf(now, n.Run, n.Target)
		k.learn(now, n)
		pools[f.mark(n.Run, k)] = true
		news = append(news, k.notice(n.Run))
	}
	f.mu.Unlock()
	for pool := range pools {
		if pool != "" {
			f.changed(pool)
		}
	}
	if len(news) > 0 {
		f.tell(news)
	}
	return news
}

// lacks tells whether a notice says what is not known here. Of two limits that daemons heard at the same time the lower one holds.
func (k *heard) lacks(n proto.TargetNotice) bool {
	newer := n.Change > k.change || n.Change == k.change && n.Limited && (k.limit == noLimit || n.Limit < k.limit)
	return n.Leaving && !k.leaving || newer
}

func (k *heard) learn(now time.Time, n proto.TargetNotice) {
	k.leaving = k.leaving || n.Leaving
	if n.Change < k.change {
		return
	}
	k.limit, k.limitAt, k.change = noLimit, now, n.Change
	if n.Limited {
		k.limit = n.Limit
	}
}

// Notices returns what is known of what listed targets have said.
func (f *Fleet) Notices() []proto.TargetNotice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var list []proto.TargetNotice
	for run, k := range f.heard {
		if n := k.notice(run); f.lists(run, k) && (n.Leaving || n.Change > 0) {
			list = append(list, n)
		}
	}
	return list
}

// lists tells whether a run is listed; the fleet is locked.
func (f *Fleet) lists(run proto.RunName, k *heard) bool {
	t := f.where[k.target]
	if t == nil {
		return false
	}
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.Spec.RunName() == run
}

// NoticeDigest returns a digest of what listed targets have said, which is the same at daemons that know the same; 0 if nothing.
func (f *Fleet) NoticeDigest() uint64 {
	digest := uint64(0)
	for _, n := range f.Notices() {
		digest ^= state.Hash(fmt.Sprintf("%s %t %d %t %g", n.Run, n.Leaving, n.Change, n.Limited, n.Limit))
	}
	return digest
}

// limited returns the targets of a pool that name a limit and may get new work.
func (f *Fleet) limited(pool string) []proto.TargetNotice {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	if !p.mayLimit {
		return nil
	}
	var list []proto.TargetNotice
	for _, t := range p.list {
		if t.notice.Limited && !t.closed() {
			list = append(list, t.notice)
		}
	}
	p.mayLimit = len(list) > 0
	return list
}

// limitOf returns the limit that a target names, if it names one.
func (f *Fleet) limitOf(t *Target) (n proto.TargetNotice, limited bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.notice, t.notice.Limited
}

func (f *Fleet) heardOf(now time.Time, run proto.RunName, target string) *heard {
	k := f.heard[run]
	if k == nil {
		k = &heard{target: target, limit: noLimit, listedAt: now}
		f.heard[run] = k
	}
	return k
}

// hearLimit takes in the limit that an answer names, or that it names none. An answer to a request from before the limit became known
// may be older than that.
func (k *heard) hearLimit(now time.Time, h *Hearing) (change NoticeChange, changed bool) {
	limit := noLimit
	if h.Limited {
		limit = h.Limit
	}
	if limit == k.limit || h.Sent.Before(k.limitAt) || h.Partial && !h.Limited {
		return NoticeChange{}, false
	}
	change = NoticeChange{Text: "a target names a limit", Limit: limit, Before: k.limit}
	if !h.Limited {
		change.Text = "a target names no limit any more"
	}
	k.limit, k.limitAt = limit, now
	k.change++
	return change, true
}

// hearRest takes in for how long the target wants nothing from this daemon.
func (k *heard) hearRest(now time.Time, h *Hearing) (change NoticeChange, changed bool) {
	until := now.Add(h.Rest)
	if h.Rest <= 0 || until.Before(k.restUntil) {
		return NoticeChange{}, false
	}
	rests := now.Before(k.restUntil)
	k.restUntil = until
	return NoticeChange{Text: "a target wants rest", Limit: k.limit, Before: k.limit, Rest: h.Rest}, !rests
}

// forgetNotices forgets what runs have said that are not listed any more; the fleet is locked.
func (f *Fleet) forgetNotices(now time.Time) {
	for run, k := range f.heard {
		if now.Sub(k.listedAt) > noticesKept {
			delete(f.heard, run)
		}
	}
}

// NoticeCounts tell what targets have said of themselves that still holds.
type NoticeCounts struct {
	Leaving int `json:"leaving"`
	Limited int `json:"limited"`
	Resting int `json:"resting"`
}

// NoticeCounts returns how many runs of targets leave, name a limit, or want rest from this daemon.
func (f *Fleet) NoticeCounts(now time.Time) NoticeCounts {
	f.mu.RLock()
	defer f.mu.RUnlock()
	var c NoticeCounts
	for _, k := range f.heard {
		if k.leaving {
			c.Leaving++
		}
		if k.limit != noLimit {
			c.Limited++
		}
		if now.Before(k.restUntil) {
			c.Resting++
		}
	}
	return c
}
