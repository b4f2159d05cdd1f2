package coord

import (
	"slices"
	"sync"
	"time"

	"emberlead/proto"
)

// MemberTiming holds the intervals of membership.
type MemberTiming struct {
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a link may be silent before an alarm is raised.
	SilenceTimeout time.Duration
	// PauseThreshold is the delay between two ticks from which a daemon assumes that it was paused.
	PauseThreshold time.Duration
	// MaxListLag bounds how stale the platform's list is: a VM that was missing from every list for that long is gone.
	MaxListLag time.Duration
	// ForgetAfter is how long a dead daemon is remembered once the platform no longer lists it.
	ForgetAfter time.Duration
}

// DefaultMemberTiming returns timing that detects a dead daemon within four seconds.
func DefaultMemberTiming() MemberTiming {
	return MemberTiming{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, PauseThreshold: 1500 * time.Millisecond, MaxListLag: 30 * time.Second, ForgetAfter: 10 * time.Minute}
}

// announceEvery is the number of heartbeats between repeated announcements, in case an earlier one was lost.
const announceEvery = 5

type member struct {
	announcement proto.Alive
	announced    bool // has announced itself, instead of being only on the VM list
	dead         bool
	deadAt       time.Time
	alarms       map[proto.VM]proto.Alarm
	lastSeen     time.Time
	alarmRaised  bool
	// agreement compares the daemon's set of dead runs with that of this daemon.
	agreement agreement
	// difference tells since when its set of live runs differs from that of this daemon.
	difference membersDifference
}

// Members is one daemon's view of the others. Views may differ between daemons, so safety must never depend on it.
type Members struct {
	mu                  sync.Mutex
	self                proto.Alive
	timing              MemberTiming
	rings               Rings
	peers               Peers
	members             map[proto.VM]*member
	graph               *graph
	selfLinks           []proto.VM // this daemon's links in selfLinksVersion of the graph
	selfLinksVersion    uint64
	linkedSince         map[proto.VM]time.Time // when the link to each linked daemon was created
	linkedVersion       uint64                 // the view's version that linkedSince belongs to
	deadDigestSent      uint64                 // digest of the runs considered dead in that version, sent in heartbeats
	updates             updateBatch
	orderCache          orderCache
	canRaiseIncarnation bool
	started             time.Time
	lastTick            time.Time
	lastHeartbeat       time.Time
	contentChanged      bool      // the content of heartbeats has changed since the last ones were sent
	contentBudgetFrom   time.Time // since when the budget for sending heartbeats because of that is unused
	pausedAt            time.Time
	alarmSequence       uint64
	leaving             map[proto.VM]bool
	version             uint64
	heartbeat           func() proto.Heartbeat
	firstListReadAt     time.Time
	lastListReadAt      time.Time
	lastListedAt        map[proto.VM]time.Time // by this daemon's own reads
	entries             map[proto.VM]proto.VMEntry
	enteredAt           map[proto.VM]time.Time
	heartbeatCount      uint64
	alarmCount          int64
	deathCount          int64
	deniedAt            time.Time
	liveDigest          uint64    // digest of the live runs; 0 if it has to be computed
	membersSentAt       time.Time // when the membership was last sent to a daemon that had just started
	membersAskedAt      time.Time // when this daemon last asked another one for its membership
}

// MembersOption configures a Members.
type MembersOption func(*Members)

// WithIncarnationBump lets a daemon raise its incarnation when others know one that is not below it, which happens
// after its clock was set back. Nothing else may depend on the value of the incarnation then.
func WithIncarnationBump() MembersOption { return func(m *Members) { m.canRaiseIncarnation = true } }

// NewMembers returns a view that holds only the daemon itself; heartbeat supplies the content of heartbeats.
func NewMembers(self proto.Alive, timing MemberTiming, rings Rings, peers Peers, heartbeat func() proto.Heartbeat, options ...MembersOption) *Members {
	m := &Members{
		self: self, timing: timing, rings: rings, peers: peers, heartbeat: heartbeat,
		members: map[proto.VM]*member{}, linkedSince: map[proto.VM]time.Time{}, orderCache: orderCache{candidates: map[string][]proto.VM{}}, leaving: map[proto.VM]bool{}, lastListedAt: map[proto.VM]time.Time{},
		entries: map[proto.VM]proto.VMEntry{}, enteredAt: map[proto.VM]time.Time{},
	}
	for _, option := range options {
		option(m)
	}
	m.graph = rings.graph(nil)
	m.addMember(&member{announcement: self, announced: true, alarms: map[proto.VM]proto.Alarm{}})
	return m
}

func (m *Members) addMember(mem *member) {
	m.members[mem.announcement.VM] = mem
	m.updateGraph(mem)
}

// updateGraph records in the view that a daemon was added, died, came back or moved to another zone.
func (m *Members) updateGraph(mem *member) {
	m.version++
	m.liveDigest = 0
	if mem.dead {
		m.graph.remove(mem.announcement.VM)
		return
	}
	m.graph.insert(ringNode{vm: mem.announcement.VM, region: mem.announcement.Zone.Region()})
}

// Version returns a number that changes whenever the view does.
func (m *Members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Links returns the daemons that this one links to.
func (m *Members) Links() []proto.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.links())
}

// LiveCount returns the number of daemons that are not considered dead, including this one.
func (m *Members) LiveCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.graph.regions)
}

// Live returns the daemons that are not considered dead, including this one, sorted by name.
func (m *Members) Live() []proto.Alive {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []proto.Alive
	for _, mem := range m.members {
		if !mem.dead {
			live = append(live, mem.announcement)
		}
	}
	slices.SortFunc(live, func(a, b proto.Alive) int {
		if a.VM < b.VM {
			return -1
		}
		return 1
	})
	return live
}

// Lookup returns the last announcement of a daemon, which says where to reach it.
func (m *Members) Lookup(vm proto.VM) (proto.Alive, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	if mem == nil {
		return proto.Alive{}, false
	}
	return mem.announcement, true
}

// IsSilent reports whether a daemon is unknown or considered dead, or is linked to this one and was not heard for
// longer than the timeout.
func (m *Members) IsSilent(now time.Time, vm proto.VM, timeout time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	if mem == nil || mem.dead {
		return true
	}
	return slices.Contains(m.links(), vm) && now.Sub(m.silentSince(mem)) > timeout
}

// AllSilent reports whether other daemons are known and none of them was heard within the timeout.
func (m *Members) AllSilent(now time.Time, timeout time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := false
	for vm, mem := range m.members {
		if vm == m.self.VM || !mem.announced {
			continue
		}
		others = true
		if now.Sub(mem.lastSeen) < timeout {
			return false
		}
	}
	return others
}

// Dead reports whether the view considers a run of a daemon dead. This may be wrong if the daemon is paused or unreachable.
func (m *Members) Dead(vm proto.VM, incarnation proto.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	return mem == nil && !m.started.IsZero() || mem != nil && (mem.dead || mem.announcement.Incarnation > incarnation)
}

// AnnounceStop announces that this daemon is stopping.
func (m *Members) AnnounceStop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Stopping = true
	m.announce()
}

// Announce announces this daemon over all links.
func (m *Members) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announce()
}

func (m *Members) announce() {
	m.self.Sequence++
	m.members[m.self.VM].announcement = m.self
	for _, vm := range m.links() {
		m.peers.Send(vm, m.self)
	}
}

// HandleAlive processes an announcement and forwards it if it is new.
func (m *Members) HandleAlive(now time.Time, a proto.Alive, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handleAlive(now, a, from)
}

func (m *Members) handleAlive(now time.Time, a proto.Alive, from proto.VM) {
	restarted, isNew := m.applyAlive(now, a, from)
	if !isNew {
		return
	}
	m.forwardAlive(now, a, from)
	if restarted && from == a.VM {
		m.introduce(now, a.VM)
	}
}

// applyAlive adds an announcement to the view. It reports whether the announcement was new, and whether it is of another run of its
// daemon than the one known before.
func (m *Members) applyAlive(now time.Time, a proto.Alive, from proto.VM) (restarted, isNew bool) {
	if a.VM == m.self.VM {
		m.raiseIncarnation(a.Incarnation)
		return false, false
	}
	mem := m.members[a.VM]
	isUnknown := mem == nil
	if isUnknown {
		mem = &member{alarms: map[proto.VM]proto.Alarm{}, lastSeen: now}
	}
	if !isUnknown && (a.Incarnation < mem.announcement.Incarnation || a.Incarnation == mem.announcement.Incarnation && a.Sequence <= mem.announcement.Sequence) {
		m.sendCorrection(mem, a.Incarnation, from)
		return false, false
	}
	restarted = a.Incarnation != mem.announcement.Incarnation
	viewChanged := isUnknown || mem.dead || a.Zone != mem.announcement.Zone
	mem.announcement = a
	mem.announced = true
	if restarted || mem.dead {
		mem.dead = false
		mem.alarmRaised = false
		mem.lastSeen = now
		mem.alarms = map[proto.VM]proto.Alarm{}
	}
	if viewChanged {
		m.addMember(mem)
	}
	m.liveDigest = 0
	return restarted, true
}

// sendCorrection sends a daemon that speaks for an older run the newest announcement known for it.
func (m *Members) sendCorrection(mem *member, spoken proto.Incarnation, from proto.VM) {
	if from == mem.announcement.VM && spoken < mem.announcement.Incarnation {
		m.peers.Send(from, mem.announcement)
	}
}

// raiseIncarnation takes an incarnation above that of a run of this daemon that others know.
func (m *Members) raiseIncarnation(known proto.Incarnation) {
	if !m.canRaiseIncarnation || known <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = known + 1
	m.announce()
}

// introduce sends the known membership to a daemon that has just started. If many start together, most of them get it a moment later
// from other daemons, whose digests show that they know more.
func (m *Members) introduce(now time.Time, vm proto.VM) {
	m.peers.Send(vm, m.self)
	m.peers.Send(vm, m.allEntries())
	if now.Sub(m.membersSentAt) < minMembersInterval {
		return
	}
	m.membersSentAt = now
	m.sendMembers(vm)
}

// MemberCounts holds the current size of the view, and the alarms and deaths since the start.
type MemberCounts struct {
	Known  int   `json:"known"`
	Dead   int   `json:"dead"`
	Links  int   `json:"links"`
	Alarms int64 `json:"alarms"`
	Deaths int64 `json:"deaths"`
}

// Counts returns the current counts.
func (m *Members) Counts() MemberCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := MemberCounts{Known: len(m.members), Links: len(m.links()), Alarms: m.alarmCount, Deaths: m.deathCount}
	for _, mem := range m.members {
		if mem.dead {
			c.Dead++
		}
	}
	return c
}
