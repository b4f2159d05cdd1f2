package coord

import (
	"slices"
	"time"

	"emberlead/proto"
)

// HandleHeartbeat takes in a sign of life that came over a link.
func (m *Members) HandleHeartbeat(now time.Time, from proto.VM, beat proto.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[from]
	if mem == nil {
		return
	}
	if beat.Incarnation < mem.alive.Incarnation {
		m.correct(mem, beat.Incarnation, from)
		return
	}
	if beat.Incarnation > mem.alive.Incarnation {
		// The announcement was lost, or went out before this daemon listened.
		fresh := mem.alive
		fresh.Incarnation, fresh.Sequence, fresh.Stopping = beat.Incarnation, 0, beat.Stopping
		m.alive(now, fresh, from)
	}
	mem.lastSeen = now
	if mem.alarming {
		mem.alarming = false
		m.raise(now, mem, false)
	}
	m.compare(now, mem, beat.DeadDigest)
}

func (m *Members) links() []proto.VM {
	return m.ring().links(m.self.VM)
}

func (m *Members) sendBeats(now time.Time) {
	m.lastBeat = now
	beat := m.beat()
	beat.Incarnation = m.self.Incarnation
	beat.DeadDigest = m.digest
	m.beats++
	if m.beats%probeEvery == 0 {
		m.probe()
	}
	for _, vm := range m.links() {
		m.peers.Send(vm, beat)
		if m.beats%announceEvery == 0 {
			m.peers.Send(vm, m.self)
		}
	}
}

// SendHeartbeats sends heartbeats at once, because there is news in them.
func (m *Members) SendHeartbeats(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sendBeats(now)
}

// Tick sends heartbeats and raises alarms; it comes several times a second.
func (m *Members) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started.IsZero() {
		m.started = now
	}
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.timing.PauseThreshold {
		m.forgive(now)
	}
	m.lastTick = now
	if now.Sub(m.lastBeat) >= m.timing.HeartbeatInterval {
		m.sendBeats(now)
	}
	m.viewChanged(now)
	for _, vm := range m.links() {
		m.checkLink(now, m.members[vm])
	}
	m.forget(now)
	m.passOn(now)
}

// viewChanged follows the last changes of the view: a daemon whose monitors died with it is judged by those it has now.
func (m *Members) viewChanged(now time.Time) {
	if m.linkedOf == m.version {
		return
	}
	for _, vm := range m.alarmedAbout() {
		m.judge(now, m.members[vm])
	}
	m.linkedOf = m.version
	m.digest = m.deadDigest()
	m.relink(now)
}

// alarmedAbout lists in order those about whom there are alarms: to hold one to be dead changes who judges the next, and
// daemons with the same alarms are to come to the same view.
func (m *Members) alarmedAbout() []proto.VM {
	var about []proto.VM
	for vm, mem := range m.members {
		if len(mem.alarms) > 0 {
			about = append(about, vm)
		}
	}
	slices.Sort(about)
	return about
}

// relink notes which links are new since the view changed, and announces this daemon over them: the other end may not
// know it yet, and would send it nothing.
func (m *Members) relink(now time.Time) {
	links := m.links()
	linked := make(map[proto.VM]time.Time, len(links))
	for _, vm := range links {
		since, ok := m.linked[vm]
		if !ok {
			since = now
			m.peers.Send(vm, m.self)
		}
		linked[vm] = since
	}
	m.linked = linked
}

// expectedSince is from when on silence of a daemon counts: it was heard then, or came to have a link to this one,
// before which it owed no heartbeat.
func (m *Members) expectedSince(mem *member) time.Time {
	if since := m.linked[mem.alive.VM]; since.After(mem.lastSeen) {
		return since
	}
	return mem.lastSeen
}

func (m *Members) forget(now time.Time) {
	for vm, mem := range m.members {
		if _, listed := m.entries[vm]; mem.dead && !listed && now.Sub(mem.deadAt) > m.timing.ForgetAfter {
			delete(m.members, vm)
			m.changed()
			delete(m.lastListed, vm)
		}
	}
}
