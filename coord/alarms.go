package coord

import (
	"time"

	"emberlead/proto"
)

// raise tells the links that a daemon has fallen silent, or is heard again.
func (m *Members) raise(now time.Time, mem *member, silent bool) {
	m.counts++
	alarm := proto.Alarm{About: mem.alive.VM, Incarnation: mem.alive.Incarnation, By: m.self.VM, Count: m.counts, Silent: silent}
	mem.alarms[m.self.VM] = alarm
	if silent {
		m.alarms++
	}
	m.pass(alarm, m.self.VM)
	m.judge(now, mem)
}

func (m *Members) pass(a proto.Alarm, from proto.VM) {
	for _, vm := range m.links() {
		if vm != from && vm != a.By {
			m.peers.Send(vm, a)
		}
	}
}

// Alarm takes in another daemon's word on a silent link and passes it on if it is news.
func (m *Members) Alarm(now time.Time, a proto.Alarm, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.About == m.self.VM {
		if a.Silent && a.Incarnation == m.self.Incarnation {
			m.announce()
		}
		return
	}
	mem := m.members[a.About]
	if mem == nil || a.Incarnation != mem.alive.Incarnation {
		return
	}
	if old, ok := mem.alarms[a.By]; ok && old.Count >= a.Count {
		return
	}
	mem.alarms[a.By] = a
	m.pass(a, from)
	m.judge(now, mem)
}

// judge holds a daemon to be dead once more than half of those that link to it in its region, and at least two where there are two, are alarmed.
func (m *Members) judge(now time.Time, mem *member) {
	monitors, alarmed := 0, 0
	for _, vm := range m.monitors(mem) {
		other := m.members[vm]
		if other == nil || other.dead {
			continue
		}
		monitors++
		if a, ok := mem.alarms[vm]; ok && a.Silent {
			alarmed++
		}
	}
	dead := monitors > 0 && 2*alarmed > monitors && alarmed >= min(2, monitors)
	if dead == mem.dead {
		return
	}
	mem.dead = dead
	if dead {
		mem.deadAt = now
		m.deaths++
	}
	m.changed()
}

// monitors are the regional links that the daemon has, or would have if it were alive.
func (m *Members) monitors(mem *member) []proto.VM {
	if !mem.dead {
		return m.ring().regional[mem.alive.VM]
	}
	monitors := make([]proto.VM, 0, len(mem.alarms))
	for vm := range mem.alarms {
		monitors = append(monitors, vm)
	}
	return monitors
}

func (m *Members) checkLink(now time.Time, mem *member) {
	if mem == nil || mem.alarming || !mem.known {
		return
	}
	if mem.heard.IsZero() {
		mem.heard = now
	}
	if now.Sub(mem.heard) > m.timing.Silence {
		mem.alarming = true
		m.raise(now, mem, true)
	}
}

// forgive starts all links afresh after a pause of this daemon, which was silent itself and heard nothing.
func (m *Members) forgive(now time.Time) {
	m.pausedAt = now
	for _, mem := range m.members {
		if !mem.alarming {
			mem.heard = now
		}
	}
	m.announce()
}
