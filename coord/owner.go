package coord

import (
	"maps"
	"slices"

	"emberlead/proto"
)

const (
	// maxCandidates is how many daemons are kept in order for a task; the first of them that can, does it. That all are
	// stopping or left out at once is no common case, and all daemons are ordered anew then.
	maxCandidates = 16
	// maxCachedOrders bounds the orders that are kept: there are a few for each pool.
	maxCachedOrders = 512
)

// orderCache keeps who comes first for each task in one view: it takes time in proportion to the number of daemons to work
// out, and each request needs some of them.
type orderCache struct {
	version    uint64
	candidates map[string][]proto.VM
}

// candidatesFor returns the live daemons that come first for a task by rendezvous hashing, of one zone or of all.
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

// ranked returns all live daemons of a zone, or all, in their order for a task.
func (m *Members) ranked(task string, zone proto.Zone) []proto.VM {
	var live []proto.VM
	for vm, mem := range m.members {
		if !mem.dead && (zone == "" || mem.alive.Zone == zone) {
			live = append(live, vm)
		}
	}
	return rankVMs(task, live)
}

// Owner returns the daemon that does a task for all, by rendezvous hashing over those that live and are not stopping;
// views may differ for a moment, so two daemons may hold themselves to be the owner. A skip leaves daemons out.
func (m *Members) Owner(task string, skip func(proto.VM) bool) proto.VM {
	m.mu.Lock()
	ranked := m.notStopping(m.candidatesFor(task, ""))
	m.mu.Unlock()
	if i := slices.IndexFunc(ranked, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return ranked[i]
	}
	m.mu.Lock()
	ranked = m.notStopping(m.ranked(task, ""))
	m.mu.Unlock()
	if i := slices.IndexFunc(ranked, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return ranked[i]
	}
	return ""
}

// notStopping leaves out the daemons that are stopping.
func (m *Members) notStopping(order []proto.VM) []proto.VM {
	notStopping := make([]proto.VM, 0, len(order))
	for _, vm := range order {
		if !m.members[vm].alive.Stopping {
			notStopping = append(notStopping, vm)
		}
	}
	return notStopping
}

// IsAmongFirst tells whether this daemon is one of the first so many of its zone for a task, among those that live and are
// not stopping. A skip leaves daemons out.
func (m *Members) IsAmongFirst(task string, limit int, skip func(proto.VM) bool) bool {
	m.mu.Lock()
	zone := m.self.Zone
	ranked := m.notStopping(m.candidatesFor(task, zone))
	m.mu.Unlock()
	ranked = slices.DeleteFunc(ranked, skip)
	if len(ranked) < limit {
		m.mu.Lock()
		ranked = m.notStopping(m.ranked(task, zone))
		m.mu.Unlock()
		ranked = slices.DeleteFunc(ranked, skip)
	}
	return len(ranked) <= limit || slices.Contains(ranked[:limit], m.self.VM)
}

// FirstPerZone returns the first so many daemons of each zone for a task, among those that live and are not stopping, in
// order of zone.
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

// liveZones returns the zones of the live daemons in order.
func (m *Members) liveZones() []proto.Zone {
	liveZones := map[proto.Zone]bool{}
	for _, mem := range m.members {
		if !mem.dead {
			liveZones[mem.alive.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(liveZones))
}
