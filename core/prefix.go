package core

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
	"emberlead/state"
)

const (
	maxPrefixes    = 4096
	preferredCount = 2
	// defaultSaving is the assumed fraction of the service time that a prefix hit saves, until it has been learned.
	defaultSaving = 0.3
	maxSaving     = 0.9
	// preferredBonus is the fraction of the saving credited to a preferred target that does not hold the prefix yet, so
	// that the requests with one prefix gather there.
	preferredBonus = 0.15
	minSamples     = 8
)

// bitset is a set of target indexes of a pool.
type bitset []uint64

func (b bitset) has(i int) bool { return i>>6 < len(b) && b[i>>6]&(1<<(i&63)) != 0 }

func (b bitset) set(i int, on bool) {
	if i>>6 >= len(b) {
		return
	}
	if on {
		b[i>>6] |= 1 << (i & 63)
		return
	}
	b[i>>6] &^= 1 << (i & 63)
}

// prefixEntry is what is known of one prompt prefix: the targets that are believed to hold it, and the preferred
// targets, which every daemon computes identically without communication.
type prefixEntry struct {
	holders   bitset
	preferred bitset
}

// prefixes is what a pool knows of the prefix caches of its targets. It is an estimate, because events arrive late and may be missing.
type prefixes struct {
	entries        map[string]*prefixEntry
	insertionOrder []string
	hitRatio       state.Mean
	missRatio      state.Mean
}

func newPrefixes() *prefixes { return &prefixes{entries: map[string]*prefixEntry{}} }

// reset discards everything, because the target indexes have changed.
func (p *prefixes) reset() {
	clear(p.entries)
	p.insertionOrder = nil
}

func (p *prefixes) entry(prefix string, targets []*target) *prefixEntry {
	e := p.entries[prefix]
	if e != nil {
		return e
	}
	if len(p.insertionOrder) >= maxPrefixes {
		delete(p.entries, p.insertionOrder[0])
		p.insertionOrder = p.insertionOrder[1:]
	}
	words := (len(targets) + 63) / 64
	e = &prefixEntry{holders: make(bitset, words), preferred: make(bitset, words)}
	for _, i := range preferredTargets(prefix, targets) {
		e.preferred.set(i, true)
	}
	p.entries[prefix] = e
	p.insertionOrder = append(p.insertionOrder, prefix)
	return e
}

// preferredTargets returns the targets that rank first for a prefix by rendezvous hashing.
func preferredTargets(prefix string, targets []*target) []int {
	type ranked struct {
		hash  uint64
		index int
	}
	seed := xxhash.Sum64String(prefix)
	var best []ranked
	for _, t := range targets {
		r := ranked{state.RendezvousScore(seed, t.hash), t.index}
		if len(best) < preferredCount {
			best = append(best, r)
			continue
		}
		worst := 0
		for i := range best {
			if cmp.Compare(best[i].hash, best[worst].hash) > 0 {
				worst = i
			}
		}
		if r.hash < best[worst].hash {
			best[worst] = r
		}
	}
	indexes := make([]int, len(best))
	for i, r := range best {
		indexes[i] = r.index
	}
	return indexes
}

// record records the ratio of actual to expected time of an attempt with a prefix, separately for hits and misses.
func (p *prefixes) record(hit bool, ratio float64) {
	if hit {
		p.hitRatio.Add(ratio)
		return
	}
	p.missRatio.Add(ratio)
}

// saving returns the fraction of the service time that a hit saves.
func (p *prefixes) saving() float64 {
	if p.hitRatio.Count() < minSamples || p.missRatio.Count() < minSamples || p.missRatio.Mean() <= 0 {
		return defaultSaving
	}
	return min(maxSaving, max(0, 1-p.hitRatio.Mean()/p.missRatio.Mean()))
}

func (p *prefixes) apply(ev proto.CacheEvent, targets []*target, index int) {
	if !ev.Present && p.entries[ev.Prefix] == nil {
		return
	}
	p.entry(ev.Prefix, targets).holders.set(index, ev.Present)
}
