package coord

import (
	"slices"
	"time"

	"emberlead/proto"
)

const (
	// maxContentBurst is how many changes of the content of heartbeats are sent at once in fleets of up to contentBurstFleet/maxContentBurst
	// daemons, beside one in each heartbeat interval. In larger ones the number decreases, to one from contentBurstFleet daemons on.
	maxContentBurst   = 3
	contentBurstFleet = 1000
)

// HandleHeartbeat processes a heartbeat that was received over a link.
func (m *Members) HandleHeartbeat(now time.Time, from proto.VM, heartbeat proto.Heartbeat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[from]
	if mem == nil {
		return
	}
	if heartbeat.Incarnation < mem.announcement.Incarnation {
		m.sendCorrection(mem, heartbeat.Incarnation, from)
		return
	}
	if heartbeat.Incarnation > mem.announcement.Incarnation {
		// The announcement was lost, or was sent before this daemon was listening.
		announcement := mem.announcement
		announcement.Incarnation, announcement.Sequence, announcement.Stopping = heartbeat.Incarnation, 0, heartbeat.Stopping
		m.handleAlive(now, announcement, from)
	}
	mem.lastSeen = now
	if mem.alarmRaised {
		mem.alarmRaised = false
		m.raiseAlarm(now, mem, false)
	}
	m.compareDeaths(now, mem, heartbeat.DeadDigest)
	m.compareMembers(now, mem, heartbeat.MembersDigest)
}

// links returns the daemons that this one links to; callers must not change the slice.
func (m *Members) links() []proto.VM {
	if m.selfLinksVersion != m.graph.version {
		m.selfLinks, m.selfLinksVersion = m.graph.links(m.self.VM), m.graph.version
	}
	return m.selfLinks
}

func (m *Members) sendHeartbeats(now time.Time) {
	m.lastHeartbeat, m.contentChanged = now, false
	heartbeat := m.heartbeat()
	heartbeat.Incarnation = m.self.Incarnation
	heartbeat.DeadDigest, heartbeat.MembersDigest = m.deadDigestSent, m.membersDigest()
	m.heartbeatCount++
	if m.heartbeatCount%probeEvery == 0 {
		m.probe()
	}
	for _, vm := range m.links() {
		m.peers.Send(vm, heartbeat)
		if m.heartbeatCount%announceEvery == 0 {
			m.peers.Send(vm, m.self)
		}
	}
}

// SendHeartbeats sends heartbeats because their content has changed: at once, or with a later tick if the budget for that is used up.
// Changes in quick succession would otherwise cost as many messages over each link of each daemon.
func (m *Members) SendHeartbeats(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contentChanged = true
	m.sendChangedContent(now)
}

// contentBurst returns how many changes of the content may be sent at once after a quiet time. Callers' requests wait for news of targets
// and daemons, but the number of changes grows with the fleet, and each one costs a message over each link of each daemon.
func (m *Members) contentBurst() int {
	return max(1, min(maxContentBurst, contentBurstFleet/len(m.graph.regions)))
}

func (m *Members) sendChangedContent(now time.Time) {
	if !m.contentChanged {
		return
	}
	interval := m.timing.HeartbeatInterval
	if unused := now.Add(-time.Duration(m.contentBurst()) * interval); m.contentBudgetFrom.Before(unused) {
		m.contentBudgetFrom = unused
	}
	if now.Sub(m.contentBudgetFrom) >= interval {
		m.contentBudgetFrom = m.contentBudgetFrom.Add(interval)
		m.sendHeartbeats(now)
	}
}

// Tick sends heartbeats and raises alarms; it is called several times per second.
func (m *Members) Tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.started.IsZero() {
		m.started = now
	}
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.timing.PauseThreshold {
		m.resetSilence(now)
	}
	m.lastTick = now
	if now.Sub(m.lastHeartbeat) >= m.timing.HeartbeatInterval {
		m.sendHeartbeats(now)
	}
	m.sendChangedContent(now)
	m.viewChanged(now)
	for _, vm := range m.links() {
		m.checkLink(now, m.members[vm])
	}
	m.forgetDead(now)
	m.flushUpdates(now)
}

// viewChanged updates the state derived from the view after it changed. A daemon whose monitors died together with it
// is judged by the monitors that it has now.
func (m *Members) viewChanged(now time.Time) {
	if m.linkedVersion == m.version {
		return
	}
	for _, vm := range m.vmsWithAlarms() {
		m.judge(now, m.members[vm])
	}
	m.linkedVersion = m.version
	m.deadDigestSent = m.deadDigest()
	m.relink(now)
}

// vmsWithAlarms returns, in order of name, the daemons with alarms about them. The order matters, because considering
// one dead changes who judges the next, and daemons with the same alarms must reach the same view.
func (m *Members) vmsWithAlarms() []proto.VM {
	var vms []proto.VM
	for vm, mem := range m.members {
		if len(mem.alarms) > 0 {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// relink records which links are new since the view changed and announces this daemon over them: the other end may not
// know it yet and would send it nothing.
func (m *Members) relink(now time.Time) {
	links := m.links()
	linkedSince := make(map[proto.VM]time.Time, len(links))
	for _, vm := range links {
		since, ok := m.linkedSince[vm]
		if !ok {
			since = now
			m.peers.Send(vm, m.self)
		}
		linkedSince[vm] = since
	}
	m.linkedSince = linkedSince
}

// silentSince returns when the silence of a daemon began: when it was last heard, or when the link to it was created
// if that is later, because it owed no heartbeats before.
func (m *Members) silentSince(mem *member) time.Time {
	if since := m.linkedSince[mem.announcement.VM]; since.After(mem.lastSeen) {
		return since
	}
	return mem.lastSeen
}

func (m *Members) forgetDead(now time.Time) {
	for vm, mem := range m.members {
		if _, listed := m.entries[vm]; mem.dead && !listed && now.Sub(mem.deadAt) > m.timing.ForgetAfter {
			delete(m.members, vm)
			m.version++
			delete(m.lastListedAt, vm)
		}
	}
}
