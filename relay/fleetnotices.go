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

// What targets that turn a daemon away may ask of it.
const (
	// restMost bounds a rest, since a target may recover sooner than it thought.
	restMost = 5 * time.Minute
	// restCredible is the longest rest that is believed. One that asks for more, such as a year, is not left out for that.
	restCredible = time.Hour
)

// hearing is what a target said in one answer.
type hearing struct {
	Notice
	target proto.RelayTarget
	// sent is when the request went out that was answered.
	sent time.Time
	// partial answers may lack headers that hold all the same, so that a limit does not end with one.
	partial bool
}

// noticeChange is what became known by an answer.
type noticeChange struct {
	// event is the line for the log.
	event string
	// limit and before are the limits in force now and before, in requests a second; negative if there is none.
	limit, before float64
	rest          time.Duration
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

// saidAt returns whether the target that has an address names a limit, and until when it wants rest from this daemon.
func (f *Fleet) saidAt(address netip.AddrPort) (limited bool, restUntil time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for run, k := range f.heard {
		t := f.where[k.target]
		if t == nil {
			continue
		}
		if spec := f.Spec(t); spec.Address == address && spec.RunName() == run {
			return k.limit != noLimit, k.restUntil
		}
	}
	return false, time.Time{}
}

// hear takes in what a target said in an answer, and returns what changed by it.
func (f *Fleet) hear(now time.Time, h *hearing) []noticeChange {
	run := h.target.RunName()
	f.mu.RLock()
	_, known := f.heard[run]
	f.mu.RUnlock()
	if !known && !h.Leaving && !h.Limited && h.Rest <= 0 {
		return nil
	}
	f.mu.Lock()
	k := f.keep(now, run, h.target.ID)
	before := k.notice(run)
	var changes []noticeChange
	if h.Leaving && !k.leaving {
		k.leaving = true
		changes = append(changes, noticeChange{event: "a target says that it leaves", limit: k.limit, before: k.limit})
	}
	if change, changed := k.hearLimit(now, h); changed {
		changes = append(changes, change)
	}
	if change, changed := k.hearRest(now, h); changed {
		changes = append(changes, change)
	}
	pool, notice := "", k.notice(run)
	if len(changes) > 0 {
		pool = f.mark(run, k)
	}
	f.mu.Unlock()
	if pool != "" {
		f.changed(pool)
	}
	if notice != before {
		f.tell([]proto.TargetNotice{notice})
	}
	return changes
}

// mark applies what a run has said to its target, and returns the pool, or "" if the run is not listed; the fleet is locked.
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
	t.apply(k)
	return t.Spec.Pool
}

// apply takes over what the target's run has said, if anything; its pool is locked.
func (t *Target) apply(k *heard) {
	if k == nil {
		return
	}
	t.notice, t.restUntil = k.notice(t.Spec.RunName()), k.restUntil
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
		k := f.keep(now, n.Run, n.Target)
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
	p.mayLimit = false
	var list []proto.TargetNotice
	for _, t := range p.list {
		p.mayLimit = p.mayLimit || t.notice.Limited
		if t.notice.Limited && !t.closed() {
			list = append(list, t.notice)
		}
	}
	return list
}

// limitOf returns the limit that a target names, if it names one.
func (f *Fleet) limitOf(t *Target) (n proto.TargetNotice, limited bool) {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	return t.notice, t.notice.Limited
}

// heardOf returns what is known of what a run has said.
func (f *Fleet) heardOf(run proto.RunName) proto.TargetNotice {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if k := f.heard[run]; k != nil {
		return k.notice(run)
	}
	return proto.TargetNotice{}
}

// keep returns what is kept of a run, which is nothing yet if it is new; the fleet is locked.
func (f *Fleet) keep(now time.Time, run proto.RunName, target string) *heard {
	k := f.heard[run]
	if k == nil {
		k = &heard{target: target, limit: noLimit, listedAt: now}
		f.heard[run] = k
	}
	return k
}

// hearLimit takes in the limit that an answer names, or that it names none. An answer to a request from before the limit became known
// may be older than that.
func (k *heard) hearLimit(now time.Time, h *hearing) (change noticeChange, changed bool) {
	limit := noLimit
	if h.Limited {
		limit = h.Limit
	}
	if limit == k.limit || h.sent.Before(k.limitAt) || h.partial && !h.Limited {
		return noticeChange{}, false
	}
	change = noticeChange{event: "a target names a limit", limit: limit, before: k.limit}
	if !h.Limited {
		change.event = "a target names no limit any more"
	}
	k.limit, k.limitAt = limit, now
	k.change++
	return change, true
}

// hearRest takes in for how long the target wants nothing from this daemon.
func (k *heard) hearRest(now time.Time, h *hearing) (change noticeChange, changed bool) {
	change = noticeChange{event: "a target wants rest", limit: k.limit, before: k.limit, rest: h.Rest}
	if h.Rest > restCredible {
		change.event = "a target wants more rest than is believed"
		return change, true
	}
	until := now.Add(min(h.Rest, restMost))
	if h.Rest <= 0 || !until.After(k.restUntil) {
		return noticeChange{}, false
	}
	k.restUntil = until
	return change, true
}

// rests tells whether the target wants nothing from this daemon.
func (t *Target) rests(now time.Time) bool { return now.Before(t.restUntil) }

// restsFor returns how long it takes until a target of a pool that wants rest from this daemon may get work, and false if none wants rest.
func (f *Fleet) restsFor(now time.Time, pool string) (left time.Duration, rests bool) {
	p := f.pool(pool)
	if p == nil {
		return 0, false
	}
	p.lock()
	defer p.mu.Unlock()
	for _, t := range p.list {
		if t.closed() || !t.rests(now) {
			continue
		}
		if in := t.restUntil.Sub(now); !rests || in < left {
			left, rests = in, true
		}
	}
	return left, rests
}

// allRest tells whether all targets of a pool in some regions that may get work want rest from this daemon, and for how long the first
// of them does.
func (f *Fleet) allRest(now time.Time, pool string, homes proto.Homes) (left time.Duration, all bool) {
	p := f.pool(pool)
	if p == nil {
		return 0, false
	}
	p.lock()
	defer p.mu.Unlock()
	for _, t := range p.list {
		if t.closed() || !homes.Allow(t.Spec.Region) {
			continue
		}
		if !t.rests(now) {
			return 0, false
		}
		if in := t.restUntil.Sub(now); !all || in < left {
			left, all = in, true
		}
	}
	return left, all
}

// targetTerms are what a target has said of the work that it takes from this daemon.
type targetTerms struct {
	id string
	// limit is in requests a second, from all daemons together; noLimit if it names none.
	limit     float64
	restUntil time.Time
}

// terms returns what the targets of a pool have said of the work that they take.
func (f *Fleet) terms(now time.Time, pool string) []targetTerms {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	p.lock()
	defer p.mu.Unlock()
	var list []targetTerms
	for _, t := range p.list {
		if !t.notice.Limited && !t.rests(now) {
			continue
		}
		terms := targetTerms{id: t.Spec.ID, limit: noLimit, restUntil: t.restUntil}
		if t.notice.Limited {
			terms.limit = t.notice.Limit
		}
		list = append(list, terms)
	}
	return list
}

// saidMost bounds the targets whose notices stand in one line of the log.
const saidMost = 8

// saidLine is what a target has said of itself, for the log. It belongs to the line of a request, so the age tells how old it was then.
type saidLine struct {
	Target  string  `json:"target"`
	Leaving bool    `json:"leaving,omitempty"`
	Limit   float64 `json:"perSecond,omitempty"`
	// Age is how long ago the limit became known here, and Rest how much longer the target wants rest.
	Age  string `json:"age,omitempty"`
	Rest string `json:"rest,omitempty"`
}

// said returns what the first targets of a pool have said of themselves that holds.
func (f *Fleet) said(now time.Time, pool string) []saidLine {
	p := f.pool(pool)
	if p == nil {
		return nil
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	p.lock()
	defer p.mu.Unlock()
	var lines []saidLine
	for _, t := range p.list {
		k := f.heard[t.Spec.RunName()]
		if k == nil || len(lines) == saidMost {
			continue
		}
		line := saidLine{Target: t.Spec.ID, Leaving: k.leaving}
		if k.limit != noLimit {
			line.Limit, line.Age = k.limit, brief(now.Sub(k.limitAt))
		}
		if t.rests(now) {
			line.Rest = brief(t.restUntil.Sub(now))
		}
		if line != (saidLine{Target: t.Spec.ID}) {
			lines = append(lines, line)
		}
	}
	return lines
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
