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
	// SilenceTimeout is how long a link may be silent before its daemon raises an alarm.
	SilenceTimeout time.Duration
	// PauseThreshold is how late its own tick may be before a daemon takes itself to have been paused.
	PauseThreshold time.Duration
	// MaxListLag bounds how late the platform's list is: a VM that no list has shown for so long is gone.
	MaxListLag time.Duration
	// ForgetAfter is how long a dead daemon stays known once the platform no longer lists it.
	ForgetAfter time.Duration
}

// DefaultMemberTiming returns timing that notices a dead daemon within four seconds.
func DefaultMemberTiming() MemberTiming {
	return MemberTiming{HeartbeatInterval: time.Second, SilenceTimeout: 3 * time.Second, PauseThreshold: 1500 * time.Millisecond, MaxListLag: 30 * time.Second, ForgetAfter: 10 * time.Minute}
}

// announceEvery is after how many heartbeats a daemon announces itself again, in case that was lost.
const announceEvery = 5

type member struct {
	alive     proto.Alive
	announced bool // announced by itself, not only listed
	dead      bool
	deadAt    time.Time
	alarms    map[proto.VM]proto.Alarm
	lastSeen  time.Time
	alarming  bool
	// agreement compares its view of who is dead with the own one.
	agreement agreement
}

// Members is one daemon's view of the others. Safety never rests on it: views may differ.
type Members struct {
	mu                sync.Mutex
	self              proto.Alive
	timing            MemberTiming
	rings             Rings
	peers             Peers
	members           map[proto.VM]*member
	graph             *graph
	linkedSince       map[proto.VM]time.Time // since when this daemon links to another
	linkedVersion     uint64                 // the version of the view that linked is of
	deadDigestSent    uint64                 // of those that are dead in that view
	updates           updateBatch
	orderCache        orderCache
	raisesIncarnation bool
	started           time.Time
	lastTick          time.Time
	lastHeartbeat     time.Time
	pausedAt          time.Time
	alarmSequence     uint64
	leaving           map[proto.VM]bool
	version           uint64
	heartbeat         func() proto.Heartbeat
	firstListAt       time.Time
	lastListAt        time.Time
	lastListedAt      map[proto.VM]time.Time // by own reads
	entries           map[proto.VM]proto.VMEntry
	enteredAt         map[proto.VM]time.Time
	heartbeatCount    uint64
	alarmCount        int64
	deathCount        int64
	deniedAt          time.Time
}

// MembersOption changes a view at construction.
type MembersOption func(*Members)

// WithIncarnationBump lets a daemon take a higher number for its run when others know of one that is not below its own, as
// they do after its clock went back. Nothing else may rest on the number of the run then.
func WithIncarnationBump() MembersOption { return func(m *Members) { m.raisesIncarnation = true } }

// NewMembers returns a view that holds only the daemon itself; beat supplies what heartbeats say.
func NewMembers(self proto.Alive, timing MemberTiming, rings Rings, peers Peers, heartbeat func() proto.Heartbeat, options ...MembersOption) *Members {
	m := &Members{
		self: self, timing: timing, rings: rings, peers: peers, heartbeat: heartbeat,
		members: map[proto.VM]*member{}, linkedSince: map[proto.VM]time.Time{}, orderCache: orderCache{candidates: map[string][]proto.VM{}}, leaving: map[proto.VM]bool{}, lastListedAt: map[proto.VM]time.Time{},
		entries: map[proto.VM]proto.VMEntry{}, enteredAt: map[proto.VM]time.Time{},
	}
	for _, option := range options {
		option(m)
	}
	m.members[self.VM] = &member{alive: self, announced: true, alarms: map[proto.VM]proto.Alarm{}}
	return m
}

// invalidateGraph marks the links as to be worked out anew, which is done when they are next asked for.
func (m *Members) invalidateGraph() {
	m.graph = nil
	m.version++
}

func (m *Members) linkGraph() *graph {
	if m.graph == nil {
		m.graph = m.rings.graph(m.nodes())
	}
	return m.graph
}

func (m *Members) nodes() []ringNode {
	nodes := make([]ringNode, 0, len(m.members))
	for vm, mem := range m.members {
		if !mem.dead {
			nodes = append(nodes, ringNode{vm: vm, region: mem.alive.Zone.Region()})
		}
	}
	return nodes
}

// Version changes whenever the view does.
func (m *Members) Version() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Links returns the daemons that this one links to.
func (m *Members) Links() []proto.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links()
}

// Live returns the daemons that are not dead, this one included, in order of name.
func (m *Members) Live() []proto.Alive {
	m.mu.Lock()
	defer m.mu.Unlock()
	var live []proto.Alive
	for _, mem := range m.members {
		if !mem.dead {
			live = append(live, mem.alive)
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

// Lookup returns where to reach a daemon.
func (m *Members) Lookup(vm proto.VM) (proto.Alive, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	if mem == nil {
		return proto.Alive{}, false
	}
	return mem.alive, true
}

// IsSilent tells whether a daemon is dead, or links to this one and has not been heard for a time.
func (m *Members) IsSilent(now time.Time, vm proto.VM, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	if mem == nil || mem.dead {
		return true
	}
	return slices.Contains(m.links(), vm) && now.Sub(m.silentSince(mem)) > since
}

// AllSilent tells whether there are other live daemons and none has been heard for a time.
func (m *Members) AllSilent(now time.Time, since time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := false
	for vm, mem := range m.members {
		if vm == m.self.VM || !mem.announced {
			continue
		}
		others = true
		if now.Sub(mem.lastSeen) < since {
			return false
		}
	}
	return others
}

// Dead tells whether the view holds a run of a daemon to be dead, which may be wrong if the daemon is paused or cut off.
func (m *Members) Dead(vm proto.VM, incarnation proto.Incarnation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mem := m.members[vm]
	return mem == nil && !m.started.IsZero() || mem != nil && (mem.dead || mem.alive.Incarnation > incarnation)
}

// AnnounceStop announces that this daemon is stopping.
func (m *Members) AnnounceStop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Stopping = true
	m.announce()
}

// Announce tells the links that this daemon is alive.
func (m *Members) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announce()
}

func (m *Members) announce() {
	m.self.Sequence++
	m.members[m.self.VM].alive = m.self
	for _, vm := range m.links() {
		m.peers.Send(vm, m.self)
	}
}

// HandleAlive takes in an announcement and passes it on if it is news.
func (m *Members) HandleAlive(now time.Time, a proto.Alive, from proto.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handleAlive(now, a, from)
}

func (m *Members) handleAlive(now time.Time, a proto.Alive, from proto.VM) {
	if a.VM == m.self.VM {
		m.raiseIncarnation(a.Incarnation)
		return
	}
	mem := m.members[a.VM]
	isNew := mem == nil
	if isNew {
		mem = &member{alarms: map[proto.VM]proto.Alarm{}, lastSeen: now}
		m.members[a.VM] = mem
	}
	if !isNew && (a.Incarnation < mem.alive.Incarnation || a.Incarnation == mem.alive.Incarnation && a.Sequence <= mem.alive.Sequence) {
		m.sendCorrection(mem, a.Incarnation, from)
		return
	}
	restarted := a.Incarnation != mem.alive.Incarnation
	if isNew || mem.dead || a.Zone != mem.alive.Zone {
		m.invalidateGraph()
	}
	mem.alive = a
	mem.announced = true
	if restarted || mem.dead {
		mem.dead = false
		mem.alarming = false
		mem.lastSeen = now
		mem.alarms = map[proto.VM]proto.Alarm{}
	}
	m.forwardAlive(now, a, from)
	if restarted && from == a.VM {
		m.introduce(a.VM)
	}
}

// sendCorrection tells a daemon that speaks for an earlier run than the last one known what is known of it.
func (m *Members) sendCorrection(mem *member, spoken proto.Incarnation, from proto.VM) {
	if from == mem.alive.VM && spoken < mem.alive.Incarnation {
		m.peers.Send(from, mem.alive)
	}
}

// raiseIncarnation takes a number above that of a run of this daemon that others know.
func (m *Members) raiseIncarnation(known proto.Incarnation) {
	if !m.raisesIncarnation || known <= m.self.Incarnation {
		return
	}
	m.self.Incarnation = known + 1
	m.announce()
}

// introduce tells a daemon that has just started what this one knows.
func (m *Members) introduce(vm proto.VM) {
	m.peers.Send(vm, m.self)
	var announced proto.News
	for other, mem := range m.members {
		if other != vm && other != m.self.VM && mem.announced && !mem.dead {
			announced.Alive = append(announced.Alive, mem.alive)
		}
	}
	if len(announced.Alive) > 0 {
		m.peers.Send(vm, announced)
	}
	m.peers.Send(vm, m.allEntries())
}

// MemberCounts are the totals since the start.
type MemberCounts struct {
	Known  int   `json:"known"`
	Dead   int   `json:"dead"`
	Links  int   `json:"links"`
	Alarms int64 `json:"alarms"`
	Deaths int64 `json:"deaths"`
}

// Counts returns the totals.
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
