package coord

import (
	"time"

	"emberlead/proto"
)

// Over tells whether a run of a daemon is certainly over: a later run has announced itself, or the platform no longer lists the VM.
func (m *Members) Over(now time.Time, vm proto.VM, incarnation proto.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mem := m.members[vm]; mem != nil && mem.alive.Incarnation > incarnation {
		return true
	}
	if m.firstList.IsZero() || now.Sub(m.lastList) > m.timing.Lag {
		return false
	}
	since := m.firstList
	if seen := m.lastListed[vm]; seen.After(since) {
		since = seen
	}
	return now.Sub(since) > m.timing.Lag
}

// IsListed tells whether the platform's last list showed the VM.
func (m *Members) IsListed(vm proto.VM) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	return mem != nil && mem.listed
}

// Leaving returns the VMs that the platform lists as leaving, targets' VMs included.
func (m *Members) Leaving() map[proto.VM]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// listSilence is how long no newer list may come before the numbering starts afresh.
const listSilence = 10 * time.Second

// Listed takes in the platform's list; an older version than one seen is ignored.
func (m *Members) Listed(now time.Time, list proto.Listed, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// After a silence an older version is taken too, since the one who numbered the last list may have had a wrong clock.
	if list.Version <= m.listedAt && now.Sub(m.lastList) < listSilence {
		return
	}
	m.listedAt = list.Version
	m.lastList = now
	if m.firstList.IsZero() {
		m.firstList = now
	}
	seen := map[proto.VM]bool{}
	leaving := map[proto.VM]bool{}
	changed := false
	for _, entry := range list.VMs {
		if entry.Leaving {
			leaving[entry.VM] = true
		}
		if !entry.Entry {
			continue
		}
		seen[entry.VM] = true
		m.lastListed[entry.VM] = now
		mem := m.members[entry.VM]
		if mem == nil {
			mem = &member{alarms: map[proto.VM]proto.Alarm{}, heard: now}
			mem.alive = proto.Alive{VM: entry.VM, Zone: entry.Zone, Peer: entry.Peer}
			m.members[entry.VM] = mem
			changed = true
		}
		mem.listed, mem.leaving = true, entry.Leaving
	}
	for vm, mem := range m.members {
		mem.listed = seen[vm]
	}
	m.leaving = leaving
	if changed {
		m.changed()
		m.announce()
	}
	for _, vm := range m.links() {
		if vm != from {
			m.peers.Send(vm, list)
		}
	}
}
