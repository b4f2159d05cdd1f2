package relay

import (
	"math"
	"math/rand/v2"
	"strconv"

	"emberlead/proto"
	"emberlead/state"
)

// engineGroupSize is the least number of engines of a zone that one daemon places requests on. A choice visits each of them, so that a
// larger group costs more for each request and gets more requests; with a smaller one fewer engines can stand in for busy ones. Zones
// with fewer engines share one group.
const engineGroupSize = 240

// engineGroup is a part of a large pool of engines, whose requests one daemon places. The zero index is the whole pool, or one that is
// too small to be divided.
type engineGroup struct {
	pool string
	// index is the index of the group's shard plus one.
	index int
}

// key names the group, and its task of placement, among those of all pools.
func (g engineGroup) key() string {
	if g.index == 0 {
		return g.pool
	}
	return g.pool + "/" + strconv.Itoa(g.index)
}

// groupLayout returns the division of a pool of engines into groups. The pool is locked.
func (p *targetPool) groupLayout() *shardLayout {
	if p.groups == nil || p.groupsVersion != p.listVersion {
		p.groups, p.groupsVersion = newShardLayout(p.list, engineGroupSize, math.MaxInt32), p.listVersion
		p.groupLists = map[int][]*Target{}
		if p.groups.count() > 1 {
			for _, t := range p.list {
				index := p.groups.shardOf(&t.Spec) + 1
				p.groupLists[index] = append(p.groupLists[index], t)
			}
		}
	}
	return p.groups
}

// candidates returns the targets of a group; all if the pool has no such group.
func (p *targetPool) candidates(group int) []*Target {
	if group == 0 {
		return p.list
	}
	p.groupLayout()
	if own := p.groupLists[group]; len(own) > 0 {
		return own
	}
	return p.list
}

// engineGroups returns the groups in which a request may be placed, the preferred one first: groups of its zone, chosen by the last part
// of its prompt that others may share, so that the same engines cache it.
func (f *Fleet) engineGroups(pool string, w *TargetCriteria) []engineGroup {
	p := f.pool(pool)
	if p == nil {
		return []engineGroup{{pool: pool}}
	}
	p.lock()
	defer p.mu.Unlock()
	layout := p.groupLayout()
	if layout.count() == 1 {
		return []engineGroup{{pool: pool}}
	}
	hash := rand.Uint64()
	if n := len(w.SharedParts); n > 0 {
		hash = state.Hash(w.SharedParts[n-1].ID)
	}
	near := layout.nearRange(w.Zone, w.AllowedRegions, hash)
	first := bestShard(hash, layout.hashes[:near.shards])
	groups := []engineGroup{{pool, near.first + first + 1}}
	if near.shards > 1 {
		second := (first + 1 + int(state.Mix(hash)%uint64(near.shards-1))) % near.shards
		groups = append(groups, engineGroup{pool, near.first + second + 1})
	}
	return groups
}

// groupFor returns the group in which to place a request: the preferred one, or another one while that is busy.
func (p *Placer) groupFor(pool string, w *TargetCriteria) engineGroup {
	groups := p.fleet.engineGroups(pool, w)
	for _, group := range groups {
		if !p.reportedBusy(group.key()) {
			return group
		}
	}
	return groups[0]
}

// groupOwner returns the daemon that places the requests of a group: one in the group's zone, if it has one.
func (p *Placer) groupOwner(group engineGroup) proto.VM {
	r := p.fleet.groupRange(group)
	task := placementTaskPrefix + group.key()
	if r.zone == "" {
		return p.peers.Owner(task, nil)
	}
	return p.peers.OwnerInZone(proto.Zone(r.region+"/"+r.zone), task, nil)
}

func (f *Fleet) groupRange(group engineGroup) shardRange {
	p := f.pool(group.pool)
	if p == nil || group.index == 0 {
		return shardRange{}
	}
	p.lock()
	defer p.mu.Unlock()
	r, _ := p.groupLayout().rangeOf(group.index - 1)
	return r
}
