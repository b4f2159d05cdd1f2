package relay

import (
	"net/netip"
	"time"

	"emberlead/proto"
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

// noLimit stands for the limit of a target that names none.
const noLimit = -1.0

// heard is what a run of a target has said of itself.
type heard struct {
	leaving bool
	// limit is in requests a second, and limitAt is when it became known here.
	limit     float64
	limitAt   time.Time
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
	defer f.mu.Unlock()
	k := f.heardOf(now, run)
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
	return changes
}

func (f *Fleet) heardOf(now time.Time, run proto.RunName) *heard {
	k := f.heard[run]
	if k == nil {
		k = &heard{limit: noLimit, listedAt: now}
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
