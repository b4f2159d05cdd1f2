package coord

import (
	"maps"
	"slices"

	"emberlead/proto"
)

const (
	// maxCandidates is how many daemons are cached in order for each task; the first of them that is eligible runs the
	// task. If all of them are stopping or skipped, which is rare, the full order is computed instead.
	maxCandidates = 16
	// maxCachedOrders bounds the cached orders; there are a few per pool.
	maxCachedOrders = 512
)

// orderCache caches the candidates of each task for one version of the view. Computing an order takes time linear in
// the number of daemons, and each request needs several.
type orderCache struct {
	version    uint64
	candidates map[string][]proto.VM
}

// candidatesFor returns the live daemons that rank first for a task, in the given zone or, if it is empty, in all zones.
func (m *Members) candidatesFor(task string, zone proto.Zone) []proto.VM {
	key := task + "@" + string(zone)
	if m.orderCache.version != m.version || len(m.orderCache.candidates) >= maxCachedOrders {
		m.orderCache = orderCache{version: m.version, candidates: map[string][]proto.VM{}}
	}
	if candidates, ok := m.orderCache.candidates[key]; ok {
		return candidates
	}
	ranked := m.ranked(task, zone)
	ranked = slices.Clone(ranked[:min(len(ranked), maxCandidates)])
	m.orderCache.candidates[key] = ranked
	return ranked
}

// ranked returns all live daemons ranked for a task, in the given zone or, if it is empty, in all zones.
func (m *Members) ranked(task string, zone proto.Zone) []proto.VM {
	var live []proto.VM
	for vm, mem := range m.members {
		if !mem.dead && (zone == "" || mem.announcement.Zone == zone) {
			live = append(live, vm)
		}
	}
	return rankVMs(task, live)
}

// Owner returns the daemon that runs a task on behalf of all, by rendezvous hashing over the daemons that are live and
// not stopping. Daemons for which skip returns true are excluded. Views may differ for a moment, so two daemons may
// both consider themselves the owner.
func (m *Members) Owner(task string, skip func(proto.VM) bool) proto.VM {
	return m.OwnerInZone("", task, skip)
}

// OwnerInZone is Owner among the daemons of a zone or, if it is empty, of all zones.
func (m *Members) OwnerInZone(zone proto.Zone, task string, skip func(proto.VM) bool) proto.VM {
	m.mu.Lock()
	ranked := m.notStopping(m.candidatesFor(task, zone))
	m.mu.Unlock()
	if i := slices.IndexFunc(ranked, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return ranked[i]
	}
	m.mu.Lock()
	ranked = m.notStopping(m.ranked(task, zone))
	m.mu.Unlock()
	if i := slices.IndexFunc(ranked, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return ranked[i]
	}
	return ""
}

// notStopping filters out the daemons that are stopping.
func (m *Members) notStopping(vms []proto.VM) []proto.VM {
	notStopping := make([]proto.VM, 0, len(vms))
	for _, vm := range vms {
		if !m.members[vm].announcement.Stopping {
			notStopping = append(notStopping, vm)
		}
	}
	return notStopping
}

// IsAmongFirst reports whether this daemon ranks among the first daemons of its zone for a task, up to the given
// number, of those that are live and not stopping. Daemons for which skip returns true are excluded.
func (m *Members) IsAmongFirst(task string, limit int, skip func(proto.VM) bool) bool {
	m.mu.Lock()
	zone := m.self.Zone
	ranked := m.notStopping(m.candidatesFor(task, zone))
	m.mu.Unlock()
	ranked = slices.DeleteFunc(ranked, skip)
	if len(ranked) < limit || limit >= maxCandidates {
		m.mu.Lock()
		ranked = m.notStopping(m.ranked(task, zone))
		m.mu.Unlock()
		ranked = slices.DeleteFunc(ranked, skip)
	}
	return len(ranked) <= limit || slices.Contains(ranked[:limit], m.self.VM)
}

// RankedInZone returns the daemons of this daemon's zone ranked for a task, of those that are live and not stopping. Daemons for which
// skip returns true are excluded.
func (m *Members) RankedInZone(task string, skip func(proto.VM) bool) []proto.VM {
	m.mu.Lock()
	ranked := m.notStopping(m.ranked(task, m.self.Zone))
	m.mu.Unlock()
	return slices.DeleteFunc(ranked, skip)
}

// ZoneCount returns the number of live daemons in this daemon's zone, this one included.
func (m *Members) ZoneCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, mem := range m.members {
		if !mem.dead && mem.announcement.Zone == m.self.Zone {
			count++
		}
	}
	return count
}

// FirstInZone returns the first daemons of this daemon's zone for a task, up to the given number, of those that are live and not
// stopping.
func (m *Members) FirstInZone(task string, limit int) []proto.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	ranked := m.notStopping(m.candidatesFor(task, m.self.Zone))
	return ranked[:min(len(ranked), limit)]
}

// IsFirst reports whether a daemon of this daemon's zone is one of the first for a task, up to the given number.
func (m *Members) IsFirst(task string, limit int, vm proto.VM) bool {
	return slices.Contains(m.FirstInZone(task, limit), vm)
}

// FirstPerZone returns, zone by zone in order of name, the first daemons of each zone for a task, up to the given
// number, of those that are live and not stopping.
func (m *Members) FirstPerZone(task string, limit int) []proto.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var selected []proto.VM
	for _, zone := range m.liveZones() {
		ranked := m.notStopping(m.candidatesFor(task, zone))
		selected = append(selected, ranked[:min(len(ranked), limit)]...)
	}
	return selected
}

// liveZones returns the sorted zones of the live daemons.
func (m *Members) liveZones() []proto.Zone {
	liveZones := map[proto.Zone]bool{}
	for _, mem := range m.members {
		if !mem.dead {
			liveZones[mem.announcement.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(liveZones))
}
