package core

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
	"emberlead/state"
)

const (
	maxPrefixes = 4096
	homeCount   = 2
	// defaultSaving is the part of the service time that a prefix hit saves, until that is learnt.
	defaultSaving = 0.3
	mostSaving    = 0.9
	// homeBonus is the part of the saving that a home without the prefix is credited, so that one prefix gathers there.
	homeBonus  = 0.15
	fewSamples = 8
)

// bitset marks targets of a pool by index.
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

// prefixEntry is what is known of one prompt prefix: the targets that are thought to hold it, and its homes,
// which every daemon works out alike without a message.
type prefixEntry struct {
	holders bitset
	homes   bitset
}

// prefixes is what a pool knows of its targets' prefix caches. Events are late and have gaps, so it is a guess.
type prefixes struct {
	entries map[string]*prefixEntry
	order   []string
	hit     state.Mean
	miss    state.Mean
}

func newPrefixes() *prefixes { return &prefixes{entries: map[string]*prefixEntry{}} }

// reset forgets all, because the targets' indexes have changed.
func (p *prefixes) reset() {
	clear(p.entries)
	p.order = nil
}

func (p *prefixes) entry(prefix string, targets []*target) *prefixEntry {
	e := p.entries[prefix]
	if e != nil {
		return e
	}
	if len(p.order) >= maxPrefixes {
		delete(p.entries, p.order[0])
		p.order = p.order[1:]
	}
	words := (len(targets) + 63) / 64
	e = &prefixEntry{holders: make(bitset, words), homes: make(bitset, words)}
	for _, i := range homesOf(prefix, targets) {
		e.homes.set(i, true)
	}
	p.entries[prefix] = e
	p.order = append(p.order, prefix)
	return e
}

// homesOf returns the targets that rank first for a prefix by rendezvous hashing.
func homesOf(prefix string, targets []*target) []int {
	type ranked struct {
		hash  uint64
		index int
	}
	seed := xxhash.Sum64String(prefix)
	var best []ranked
	for _, t := range targets {
		r := ranked{state.RendezvousScore(seed, t.hash), t.index}
		if len(best) < homeCount {
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
	homes := make([]int, len(best))
	for i, r := range best {
		homes[i] = r.index
	}
	return homes
}

// learn takes in how long an attempt with a prefix took against what was expected, by whether it hit.
func (p *prefixes) learn(hit bool, ratio float64) {
	if hit {
		p.hit.Add(ratio)
		return
	}
	p.miss.Add(ratio)
}

// saving is the part of the service time that a hit saves.
func (p *prefixes) saving() float64 {
	if p.hit.Count() < fewSamples || p.miss.Count() < fewSamples || p.miss.Mean() <= 0 {
		return defaultSaving
	}
	return min(mostSaving, max(0, 1-p.hit.Mean()/p.miss.Mean()))
}

func (p *prefixes) event(ev proto.CacheEvent, targets []*target, index int) {
	if !ev.Present && p.entries[ev.Prefix] == nil {
		return
	}
	p.entry(ev.Prefix, targets).holders.set(index, ev.Present)
}
