package coord

import (
	"maps"
	"slices"

	"emberlead/proto"
)

const (
	// candidates is how many daemons are kept in order for a task; the first of them that can, does it. That all are
	// stopping or left out at once is no common case, and all daemons are ordered anew then.
	candidates = 16
	// tasksMost bounds the orders that are kept: there are a few for each pool.
	tasksMost = 512
)

// orders keeps who comes first for each task in one view: it takes time in proportion to the number of daemons to work
// out, and each request needs some of them.
type orders struct {
	version uint64
	first   map[string][]proto.VM
}

// candidatesFor returns the live daemons that come first for a task by rendezvous hashing, of one zone or of all.
func (m *Members) candidatesFor(task string, zone proto.Zone) []proto.VM {
	key := task + "@" + string(zone)
	if m.orders.version != m.version || len(m.orders.first) >= tasksMost {
		m.orders = orders{version: m.version, first: map[string][]proto.VM{}}
	}
	if first, ok := m.orders.first[key]; ok {
		return first
	}
	order := m.order(task, zone)
	order = slices.Clone(order[:min(len(order), candidates)])
	m.orders.first[key] = order
	return order
}

// order returns all live daemons of a zone, or all, in their order for a task.
func (m *Members) order(task string, zone proto.Zone) []proto.VM {
	var live []proto.VM
	for vm, mem := range m.members {
		if !mem.dead && (zone == "" || mem.alive.Zone == zone) {
			live = append(live, vm)
		}
	}
	return rank(task, live)
}

// Owner returns the daemon that does a task for all, by rendezvous hashing over those that live and are not stopping;
// views may differ for a moment, so two daemons may hold themselves to be the owner. A skip leaves daemons out.
func (m *Members) Owner(task string, skip func(proto.VM) bool) proto.VM {
	m.mu.Lock()
	order := m.serving(m.candidatesFor(task, ""))
	m.mu.Unlock()
	if i := slices.IndexFunc(order, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return order[i]
	}
	m.mu.Lock()
	order = m.serving(m.order(task, ""))
	m.mu.Unlock()
	if i := slices.IndexFunc(order, func(vm proto.VM) bool { return !skip(vm) }); i >= 0 {
		return order[i]
	}
	return ""
}

// serving leaves out the daemons that are stopping.
func (m *Members) serving(order []proto.VM) []proto.VM {
	serving := make([]proto.VM, 0, len(order))
	for _, vm := range order {
		if !m.members[vm].alive.Stopping {
			serving = append(serving, vm)
		}
	}
	return serving
}

// IsAmongFirst tells whether this daemon is one of the first so many of its zone for a task, among those that live and are
// not stopping. A skip leaves daemons out.
func (m *Members) IsAmongFirst(task string, most int, skip func(proto.VM) bool) bool {
	m.mu.Lock()
	zone := m.self.Zone
	order := m.serving(m.candidatesFor(task, zone))
	m.mu.Unlock()
	order = slices.DeleteFunc(order, skip)
	if len(order) < most {
		m.mu.Lock()
		order = m.serving(m.order(task, zone))
		m.mu.Unlock()
		order = slices.DeleteFunc(order, skip)
	}
	return len(order) <= most || slices.Contains(order[:most], m.self.VM)
}

// FirstPerZone returns the first so many daemons of each zone for a task, among those that live and are not stopping, in
// order of zone.
func (m *Members) FirstPerZone(task string, most int) []proto.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	var firsts []proto.VM
	for _, zone := range m.zones() {
		order := m.serving(m.candidatesFor(task, zone))
		firsts = append(firsts, order[:min(len(order), most)]...)
	}
	return firsts
}

// zones returns the zones of the live daemons in order.
func (m *Members) zones() []proto.Zone {
	zones := map[proto.Zone]bool{}
	for _, mem := range m.members {
		if !mem.dead {
			zones[mem.alive.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}
