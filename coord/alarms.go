package coord

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

// raiseAlarm reports over the links that a daemon went silent, or that it was heard again.
func (m *Members) raiseAlarm(now time.Time, mem *member, silent bool) {
	m.alarmSequence++
	alarm := proto.Alarm{Subject: mem.announcement.VM, Incarnation: mem.announcement.Incarnation, Reporter: m.self.VM, Sequence: m.alarmSequence, Silent: silent}
	mem.alarms[m.self.VM] = alarm
	if silent {
		m.alarmCount++
	}
	m.forwardAlarm(now, alarm, m.self.VM)
	m.judge(now, mem)
}

// HandleAlarm processes another daemon's report of a silent link and forwards it if it is new.
func (m *Members) HandleAlarm(now time.Time, a proto.Alarm, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handleAlarm(now, a, from)
}

func (m *Members) handleAlarm(now time.Time, a proto.Alarm, from proto.VM) {
	if a.Subject == m.self.VM {
		if a.Silent && a.Incarnation == m.self.Incarnation {
			m.deny(now, from)
		}
		return
	}
	mem := m.members[a.Subject]
	if mem == nil || a.Incarnation != mem.announcement.Incarnation {
		return
	}
	if old, ok := mem.alarms[a.Reporter]; ok && old.Sequence >= a.Sequence {
		return
	}
	mem.alarms[a.Reporter] = a
	m.forwardAlarm(now, a, from)
	m.judge(now, mem)
}

// deny announces this daemon because another one considers it silent or dead; announcements are rate limited, since
// many such reports may arrive at once.
func (m *Members) deny(now time.Time, to proto.VM) {
	if now.Sub(m.deniedAt) >= m.timing.HeartbeatInterval {
		m.deniedAt = now
		m.announce()
	}
	if !slices.Contains(m.links(), to) {
		m.peers.Send(to, m.self)
	}
}

// judge considers a daemon dead once more than half of its linked daemons in the region have raised an alarm about it,
// and at least two of them unless it has only one.
func (m *Members) judge(now time.Time, mem *member) {
	monitors, alarmed := 0, 0
	for _, vm := range m.monitors(mem) {
		other := m.members[vm]
		if other == nil || other.dead || other.isSuspect() {
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
	if dead {
		m.markDead(now, mem)
		return
	}
	mem.dead = false
	m.updateGraph(mem)
}

// isSuspect reports whether more than one daemon has raised an alarm about this one. Such a daemon may be dead itself,
// so its silence about a third daemon is no evidence. When a third of 200 daemons die at once, a quarter of the dead
// have lost half of the daemons that monitor them.
func (mem *member) isSuspect() bool {
	silent := 0
	for _, a := range mem.alarms {
		if a.Silent {
			silent++
		}
	}
	return silent > 1
}

// monitors returns the regional links of a live daemon; for a dead one, which has no links, it returns the daemons that
// reported on it.
func (m *Members) monitors(mem *member) []proto.VM {
	if !mem.dead {
		return m.graph.regionalLinks(mem.announcement.VM)
	}
	monitors := make([]proto.VM, 0, len(mem.alarms))
	for vm := range mem.alarms {
		monitors = append(monitors, vm)
	}
	return monitors
}

func (m *Members) checkLink(now time.Time, mem *member) {
	if mem == nil || mem.alarmRaised || !mem.announced {
		return
	}
	if mem.lastSeen.IsZero() {
		mem.lastSeen = now
	}
	if now.Sub(m.silentSince(mem)) > m.timing.SilenceTimeout {
		mem.alarmRaised = true
		m.raiseAlarm(now, mem, true)
	}
}

// resetSilence restarts the silence timers of all links after this daemon was paused, during which it neither sent nor
// received heartbeats.
func (m *Members) resetSilence(now time.Time) {
	m.pausedAt = now
	for _, mem := range m.members {
		if !mem.alarmRaised {
			mem.lastSeen = now
		}
	}
	m.announce()
}

const (
	// compareAfter is the number of heartbeats for which two daemons may disagree on which runs are dead before one
	// sends the other its view: news of a death takes a few hops, each well under a heartbeat interval.
	compareAfter = 3
	// maxCompareBackoff bounds how often that wait doubles while the disagreement lasts; the other daemon may not know
	// the dead one at all.
	maxCompareBackoff = 5
)

// agreement compares the set of dead runs of a linked daemon with that of this daemon.
type agreement struct {
	// differsSince is when the sets began to differ, or when this daemon last sent its own.
	differsSince time.Time
	theirDigest  uint64
	timesSent    int
}

// deadDigest returns a digest that is equal at daemons that consider the same runs dead.
func (m *Members) deadDigest() uint64 {
	digest := uint64(0)
	for vm, mem := range m.members {
		if mem.dead {
			digest ^= xxhash.Sum64String(string(vm)) ^ uint64(mem.announcement.Incarnation)
		}
	}
	return digest
}

// compareDeaths makes up for lost alarms, such as those routed through daemons that died: a linked daemon that keeps
// considering other runs dead than this one does is sent this daemon's set of dead runs.
func (m *Members) compareDeaths(now time.Time, mem *member, theirDigest uint64) {
	a := &mem.agreement
	if theirDigest == m.deadDigestSent {
		*a = agreement{}
		return
	}
	if a.differsSince.IsZero() || a.theirDigest != theirDigest {
		*a = agreement{differsSince: now, theirDigest: theirDigest}
		return
	}
	if now.Sub(a.differsSince) < compareAfter*m.timing.HeartbeatInterval<<a.timesSent {
		return
	}
	a.differsSince, a.timesSent = now, min(maxCompareBackoff, a.timesSent+1)
	m.peers.Send(mem.announcement.VM, m.deaths())
}

// deaths lists the runs that this daemon considers dead.
func (m *Members) deaths() proto.Deaths {
	var d proto.Deaths
	for vm, mem := range m.members {
		if mem.dead {
			d.Runs = append(d.Runs, proto.DaemonRun{VM: vm, Incarnation: mem.announcement.Incarnation})
		}
	}
	slices.SortFunc(d.Runs, func(a, b proto.DaemonRun) int { return cmp.Compare(a.VM, b.VM) })
	return d
}

// HandleDeaths marks the runs dead that another daemon considers dead, except those that this daemon still hears, and
// forwards the new ones. A wrong view is corrected by the daemon that it concerns, which is probed repeatedly.
func (m *Members) HandleDeaths(now time.Time, d proto.Deaths, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := m.links()
	var forwarded proto.Deaths
	for _, run := range d.Runs {
		mem := m.members[run.VM]
		if run.VM == m.self.VM || mem == nil || mem.dead || mem.announcement.Incarnation != run.Incarnation {
			continue
		}
		if slices.Contains(links, run.VM) && now.Sub(mem.lastSeen) < m.timing.SilenceTimeout {
			continue
		}
		m.markDead(now, mem)
		forwarded.Runs = append(forwarded.Runs, run)
	}
	if len(forwarded.Runs) == 0 {
		return
	}
	for _, vm := range m.links() {
		if vm != from {
			m.peers.Send(vm, forwarded)
		}
	}
}

func (m *Members) markDead(now time.Time, mem *member) {
	mem.dead = true
	mem.deadAt = now
	m.deathCount++
	m.updateGraph(mem)
}

// probeEvery is the number of heartbeats between two probes of daemons that are considered dead.
const probeEvery = 3

// probe tells one dead daemon after another that it is considered dead; one that is alive denies it. After a network
// partition, this is all that the two sides send each other.
func (m *Members) probe() {
	dead := m.deaths().Runs
	if len(dead) == 0 {
		return
	}
	// Each daemon starts at a different offset, so that together they soon probe all of them.
	run := dead[(m.heartbeatCount/probeEvery+xxhash.Sum64String(string(m.self.VM)))%uint64(len(dead))]
	m.alarmSequence++
	m.peers.Send(run.VM, proto.Alarm{Subject: run.VM, Incarnation: run.Incarnation, Reporter: m.self.VM, Sequence: m.alarmSequence, Silent: true})
}
