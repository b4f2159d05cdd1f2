package relay

import (
	"cmp"
	"slices"
	"strconv"

	"emberlead/proto"
	"emberlead/state"
)

// zoneShardBits is the number of bits of a shard's index that number the shards of one availability zone; those above identify the zone.
const zoneShardBits = 10

// shardRange holds the shards of one availability zone, or of all zones that have none of their own.
type shardRange struct {
	// zone and region are empty in the common range.
	zone, region  string
	first, shards int
}

// shardLayout divides the targets of a pool into shards. A zone with enough targets for a shard has shards of its own, for which daemons
// of that zone batch: in a pool so large, work rarely has to leave its zone. Daemons with the same list have the same layout.
type shardLayout struct {
	ranges []shardRange
	// byZone holds the index of each zone's range, and hashes those of the numbers of shards.
	byZone map[string]int
	hashes []uint64
}

// newShardLayout returns the layout of a pool with the given targets: zones with at least size targets have shards of at least that size,
// and the targets of the other zones are divided into shards of at most commonSize.
func newShardLayout(targets []*Target, size, commonSize int) *shardLayout {
	counts, regions := map[string]int{}, map[string]string{}
	for _, t := range targets {
		counts[t.Spec.Zone]++
		regions[t.Spec.Zone] = t.Spec.Region
	}
	l := &shardLayout{byZone: map[string]int{}}
	common := len(targets)
	if len(counts) > 1 {
		for zone, count := range counts {
			if count >= size {
				l.ranges = append(l.ranges, shardRange{zone: zone, region: regions[zone], first: firstZoneShard(zone), shards: count / size})
				common -= count
			}
		}
	}
	slices.SortFunc(l.ranges, func(a, b shardRange) int { return cmp.Compare(a.zone, b.zone) })
	if common > 0 || len(l.ranges) == 0 {
		l.ranges = append([]shardRange{{shards: shardCount(common, commonSize)}}, l.ranges...)
	}
	for i, r := range l.ranges {
		l.byZone[r.zone] = i
		for n := len(l.hashes); n < r.shards; n++ {
			l.hashes = append(l.hashes, state.Hash(strconv.Itoa(n)))
		}
	}
	return l
}

// firstZoneShard returns the index of the first shard of a zone, which does not depend on the other zones.
func firstZoneShard(zone string) int {
	return int(state.Mix(state.Hash(zone))>>40|1) << zoneShardBits
}

// hasZones reports whether a zone has shards of its own.
func (l *shardLayout) hasZones() bool { return len(l.byZone) > 1 || l.ranges[0].zone != "" }

// rangeFor returns the range that holds the targets of a zone; a zone without any has the common range, or the first one.
func (l *shardLayout) rangeFor(zone string) shardRange {
	if i, ok := l.byZone[zone]; ok {
		return l.ranges[i]
	}
	return l.ranges[l.byZone[""]]
}

// nearRange returns the range for a zone, or any that is in the allowed regions if that one is not.
func (l *shardLayout) nearRange(zone string, regions proto.AllowedRegions, hash uint64) shardRange {
	near := l.rangeFor(zone)
	if near.zone == "" || regions.Allows(near.region) {
		return near
	}
	allowed := slices.DeleteFunc(slices.Clone(l.ranges), func(r shardRange) bool { return r.zone != "" && !regions.Allows(r.region) })
	if len(allowed) == 0 {
		return near
	}
	return allowed[hash%uint64(len(allowed))]
}

// rangeOf returns the range of a shard, and false if the layout has no such shard.
func (l *shardLayout) rangeOf(index int) (shardRange, bool) {
	for _, r := range l.ranges {
		if index >= r.first && index < r.first+r.shards {
			return r, true
		}
	}
	return shardRange{}, false
}

// count returns the number of shards.
func (l *shardLayout) count() int {
	n := 0
	for _, r := range l.ranges {
		n += r.shards
	}
	return n
}

// at returns the index of the n-th shard of all; n may be larger than their number.
func (l *shardLayout) at(n int) int {
	n %= l.count()
	for _, r := range l.ranges {
		if n < r.shards {
			return r.first + n
		}
		n -= r.shards
	}
	return 0
}

// shardOf returns the shard of a target, by rendezvous hashing within its range.
func (l *shardLayout) shardOf(t *proto.RelayTarget) int {
	r := l.rangeFor(t.Zone)
	return r.first + bestShard(state.Hash(t.ID), l.hashes[:r.shards])
}

// targetsOf returns the targets of a shard. One that no longer exists uses those of another until its work is done.
func (l *shardLayout) targetsOf(index int, targets []proto.RelayTarget) []proto.RelayTarget {
	if l.count() == 1 {
		return targets
	}
	if _, exists := l.rangeOf(index); !exists {
		index = l.at(index)
	}
	var own []proto.RelayTarget
	for i := range targets {
		if l.shardOf(&targets[i]) == index {
			own = append(own, targets[i])
		}
	}
	return own
}

// shardLayout returns the division of a pool of stages into shards.
func (f *Fleet) shardLayout(pool string) *shardLayout {
	p := f.pool(pool)
	if p == nil {
		return newShardLayout(nil, shardTargets, shardTargets)
	}
	p.lock()
	defer p.mu.Unlock()
	if p.layout == nil || p.layoutVersion != p.listVersion {
		p.layout, p.layoutVersion = newShardLayout(p.list, shardTargets, shardTargets), p.listVersion
	}
	return p.layout
}
