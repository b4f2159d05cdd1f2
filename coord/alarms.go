package coord

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

// raiseAlarm tells the links that a daemon has fallen silent, or is heard again.
func (m *Members) raiseAlarm(now time.Time, mem *member, silent bool) {
	m.alarmSequence++
	alarm := proto.Alarm{Subject: mem.alive.VM, Incarnation: mem.alive.Incarnation, Reporter: m.self.VM, Sequence: m.alarmSequence, Silent: silent}
	mem.alarms[m.self.VM] = alarm
	if silent {
		m.alarmCount++
	}
	m.forwardAlarm(now, alarm, m.self.VM)
	m.judge(now, mem)
}

// HandleAlarm takes in another daemon's word on a silent link and passes it on if it is news.
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
	if mem == nil || a.Incarnation != mem.alive.Incarnation {
		return
	}
	if old, ok := mem.alarms[a.Reporter]; ok && old.Sequence >= a.Sequence {
		return
	}
	mem.alarms[a.Reporter] = a
	m.forwardAlarm(now, a, from)
	m.judge(now, mem)
}

// deny announces this daemon, which another holds to be silent or dead; many may at once.
func (m *Members) deny(now time.Time, to proto.VM) {
	if now.Sub(m.deniedAt) >= m.timing.HeartbeatInterval {
		m.deniedAt = now
		m.announce()
	}
	if !slices.Contains(m.links(), to) {
		m.peers.Send(to, m.self)
	}
}

// judge holds a daemon to be dead once more than half of those that link to it in its region, and at least two where there are two, are alarmed.
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
	mem.dead = false
	if dead {
		m.markDead(now, mem)
	}
	m.invalidateGraph()
}

// isSuspect tells whether more than one daemon misses another, which may well be dead: its silence on a third speaks for
// nothing. When a third of 200 daemons die at once, a quarter of the dead have lost half of those that watch them.
func (mem *member) isSuspect() bool {
	silent := 0
	for _, a := range mem.alarms {
		if a.Silent {
			silent++
		}
	}
	return silent > 1
}

// monitors are the regional links that the daemon has, or would have if it were alive.
func (m *Members) monitors(mem *member) []proto.VM {
	if !mem.dead {
		return m.linkGraph().regional[mem.alive.VM]
	}
	monitors := make([]proto.VM, 0, len(mem.alarms))
	for vm := range mem.alarms {
		monitors = append(monitors, vm)
	}
	return monitors
}

func (m *Members) checkLink(now time.Time, mem *member) {
	if mem == nil || mem.alarming || !mem.announced {
		return
	}
	if mem.lastSeen.IsZero() {
		mem.lastSeen = now
	}
	if now.Sub(m.silentSince(mem)) > m.timing.SilenceTimeout {
		mem.alarming = true
		m.raiseAlarm(now, mem, true)
	}
}

// resetSilence starts all links afresh after a pause of this daemon, which was silent itself and heard nothing.
func (m *Members) resetSilence(now time.Time) {
	m.pausedAt = now
	for _, mem := range m.members {
		if !mem.alarming {
			mem.lastSeen = now
		}
	}
	m.announce()
}

const (
	// compareAfter is how many heartbeats two daemons may disagree on who is dead before one tells the other what it
	// knows: word of a death takes a few hops, each well under a heartbeat.
	compareAfter = 3
	// maxCompareBackoff bounds how often that wait doubles while the disagreement stays: the other may not know the daemon.
	maxCompareBackoff = 5
)

// agreement is how a linked daemon's view of who is dead compares with the own one.
type agreement struct {
	// differsSince is since when they differ, or when this daemon last told the other.
	differsSince time.Time
	theirDigest  uint64
	timesSent    int
}

// deadDigest is equal at daemons that hold the same runs to be dead.
func (m *Members) deadDigest() uint64 {
	digest := uint64(0)
	for vm, mem := range m.members {
		if mem.dead {
			digest ^= xxhash.Sum64String(string(vm)) ^ uint64(mem.alive.Incarnation)
		}
	}
	return digest
}

// compareDeaths makes up for alarms that were lost, such as those that went by way of daemons that died: a linked daemon that
// goes on holding others to be dead than this one does is told this one's view.
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
	m.peers.Send(mem.alive.VM, m.deaths())
}

// deaths names the runs that this daemon holds to be dead.
func (m *Members) deaths() proto.Deaths {
	var d proto.Deaths
	for vm, mem := range m.members {
		if mem.dead {
			d.Runs = append(d.Runs, proto.DaemonRun{VM: vm, Incarnation: mem.alive.Incarnation})
		}
	}
	slices.SortFunc(d.Runs, func(a, b proto.DaemonRun) int { return cmp.Compare(a.VM, b.VM) })
	return d
}

// HandleDeaths takes over whom another daemon holds to be dead, unless this one hears it, and passes on what is news. A view
// that is wrong is put right by the daemon that it is wrong about, which is asked again and again.
func (m *Members) HandleDeaths(now time.Time, d proto.Deaths, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	links := m.links()
	var news proto.Deaths
	for _, run := range d.Runs {
		mem := m.members[run.VM]
		if run.VM == m.self.VM || mem == nil || mem.dead || mem.alive.Incarnation != run.Incarnation {
			continue
		}
		if slices.Contains(links, run.VM) && now.Sub(mem.lastSeen) < m.timing.SilenceTimeout {
			continue
		}
		m.markDead(now, mem)
		news.Runs = append(news.Runs, run)
	}
	if len(news.Runs) == 0 {
		return
	}
	m.invalidateGraph()
	for _, vm := range m.links() {
		if vm != from {
			m.peers.Send(vm, news)
		}
	}
}

func (m *Members) markDead(now time.Time, mem *member) {
	mem.dead = true
	mem.deadAt = now
	m.deathCount++
}

// probeEvery is after how many heartbeats a daemon asks one of those that it holds to be dead.
const probeEvery = 3

// probe tells one daemon after the other that it is held to be dead, which one that lives denies: two parts of the
// daemons that were cut off from each other send each other nothing else.
func (m *Members) probe() {
	dead := m.deaths().Runs
	if len(dead) == 0 {
		return
	}
	// Each daemon begins at another, so that together they ask all of them soon.
	run := dead[(m.heartbeatCount/probeEvery+xxhash.Sum64String(string(m.self.VM)))%uint64(len(dead))]
	m.alarmSequence++
	m.peers.Send(run.VM, proto.Alarm{Subject: run.VM, Incarnation: run.Incarnation, Reporter: m.self.VM, Sequence: m.alarmSequence, Silent: true})
}
