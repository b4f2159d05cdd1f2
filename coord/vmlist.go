package coord

import (
	"time"

	"emberlead/proto"
)

// RunEnded reports whether a run of a daemon has certainly ended: a later run has announced itself, or the platform no
// longer lists the VM.
func (m *Members) RunEnded(now time.Time, vm proto.VM, incarnation proto.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mem := m.members[vm]; mem != nil && mem.announcement.Incarnation > incarnation {
		return true
	}
	if m.firstListReadAt.IsZero() || now.Sub(m.lastListReadAt) > m.timing.MaxListLag {
		return false
	}
	since := m.firstListReadAt
	if seen := m.lastListedAt[vm]; seen.After(since) {
		since = seen
	}
	return now.Sub(since) > m.timing.MaxListLag
}

// IsListed reports whether the platform lists the VM, as far as this daemon knows.
func (m *Members) IsListed(vm proto.VM) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.entries[vm]
	return ok
}

// Leaving returns the VMs that the platform lists as leaving, including the VMs of targets.
func (m *Members) Leaving() map[proto.VM]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving
}

// keepReceivedFor is how long entries received from other daemons are kept against an own read that does not show them.
// Reads lag by different amounts, and their readers must not keep contradicting each other.
const keepReceivedFor = 10 * time.Second

// HandleVMList processes this daemon's own read of the platform's list and forwards the changes.
func (m *Members) HandleVMList(now time.Time, list proto.VMList) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastListReadAt = now
	if m.firstListReadAt.IsZero() {
		m.firstListReadAt = now
	}
	seen := make(map[proto.VM]bool, len(list.VMs))
	for _, entry := range list.VMs {
		seen[entry.VM] = true
		m.lastListedAt[entry.VM] = now
	}
	change := proto.Listed{VMs: list.VMs}
	for vm := range m.entries {
		if !seen[vm] && now.Sub(m.enteredAt[vm]) > keepReceivedFor && now.Sub(m.lastListedAt[vm]) > keepReceivedFor {
			change.Removed = append(change.Removed, vm)
		}
	}
	m.applyListed(now, change, m.self.VM, true)
}

// HandleListed processes what another daemon read and forwards what is new.
func (m *Members) HandleListed(now time.Time, change proto.Listed, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyListed(now, change, from, false)
}

func (m *Members) applyListed(now time.Time, change proto.Listed, from proto.VM, own bool) {
	var updates proto.Listed
	for _, entry := range change.VMs {
		old, known := m.entries[entry.VM]
		// A leaving VM does not come back, so a stale read that does not show it as leaving is ignored.
		if known && (old == entry || own && old.Leaving && now.Sub(m.enteredAt[entry.VM]) < keepReceivedFor) {
			continue
		}
		m.entries[entry.VM] = entry
		m.enteredAt[entry.VM] = now
		updates.VMs = append(updates.VMs, entry)
	}
	for _, vm := range change.Removed {
		if _, known := m.entries[vm]; known {
			delete(m.entries, vm)
			delete(m.enteredAt, vm)
			updates.Removed = append(updates.Removed, vm)
		}
	}
	if len(updates.VMs) == 0 && len(updates.Removed) == 0 {
		return
	}
	m.adoptEntries(now, updates)
	for _, vm := range m.links() {
		if vm != from {
			m.peers.Send(vm, updates)
		}
	}
}

func (m *Members) adoptEntries(now time.Time, updates proto.Listed) {
	joined := false
	for _, entry := range updates.VMs {
		if !entry.Entry || m.members[entry.VM] != nil {
			continue
		}
		mem := &member{alarms: map[proto.VM]proto.Alarm{}, lastSeen: now}
		mem.announcement = proto.Alive{VM: entry.VM, Zone: entry.Zone, Peer: entry.Peer}
		m.addMember(mem)
		joined = true
	}
	leaving := map[proto.VM]bool{}
	for vm, entry := range m.entries {
		if entry.Leaving {
			leaving[vm] = true
		}
	}
	m.leaving = leaving
	if joined {
		m.announce()
	}
}

// allEntries returns all known entries of the platform's list.
func (m *Members) allEntries() proto.Listed {
	all := proto.Listed{VMs: make([]proto.VMEntry, 0, len(m.entries))}
	for _, entry := range m.entries {
		all.VMs = append(all.VMs, entry)
	}
	return all
}
