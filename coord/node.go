package coord

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/proto"
)

// NodeTiming holds the intervals of a node's periodic work.
type NodeTiming struct {
	TickInterval   time.Duration
	PollInterval   time.Duration // between reads of the accepted generation
	ListInterval   time.Duration // between reads of the VM list
	RosterInterval time.Duration // between revisions of the roster
	SweepInterval  time.Duration
	// IsolationTimeout is how long a daemon keeps serving while it can reach neither the store nor another daemon.
	IsolationTimeout time.Duration
	// PollersPerZone is the number of daemons in a zone that poll the store.
	PollersPerZone int
}

// DefaultNodeTiming returns the production intervals.
func DefaultNodeTiming() NodeTiming {
	return NodeTiming{
		TickInterval: 200 * time.Millisecond, PollInterval: time.Second, ListInterval: 2 * time.Second, RosterInterval: time.Second,
		SweepInterval: 10 * time.Second, IsolationTimeout: 5 * time.Second, PollersPerZone: 2,
	}
}

// Deps holds the dependencies shared by all parts of a node.
type Deps struct {
	Self     proto.Alive
	Clock    clockwork.Clock
	Log      hclog.Logger
	Platform Platform
	Peers    Peers
}

// Node coordinates one daemon with the others.
type Node struct {
	deps        Deps
	timing      NodeTiming
	Members     *Members
	Config      *ConfigState
	ConfigStore *ConfigStore
	Replica     *Replica
	Claimer     *Claimer
	Roster      *RosterWriter
	UsageTotals *UsageTotals

	started        time.Time
	lastStoreRead  atomic.Int64 // unix nanoseconds
	pullingChanges atomic.Bool
	pullingRoster  atomic.Bool
	stopping       atomic.Bool

	mu           sync.Mutex
	nextListRead time.Time
	nextSweep    time.Time
	onUsage      func([]proto.UsageRow)
	onLoads      func(proto.Loads)
	onDemand     func([]proto.DemandRow)
}

// NodeOption configures a Node.
type NodeOption func(*nodeConfig)

type nodeConfig struct {
	nodeTiming   NodeTiming
	memberTiming MemberTiming
	claimTiming  ClaimTiming
	rings        Rings
	rosterPlan   RosterPlan
	onSnapshot   func(*proto.Snapshot)
	usage        func([]proto.UsageRow)
	loads        func(proto.Loads)
	demand       func([]proto.DemandRow)
}

// WithNodeTiming sets the intervals of the node's periodic work.
func WithNodeTiming(t NodeTiming) NodeOption { return func(c *nodeConfig) { c.nodeTiming = t } }

// WithMemberTiming sets the intervals of membership.
func WithMemberTiming(t MemberTiming) NodeOption { return func(c *nodeConfig) { c.memberTiming = t } }

// WithClaimTiming sets the intervals of claims.
func WithClaimTiming(t ClaimTiming) NodeOption { return func(c *nodeConfig) { c.claimTiming = t } }

// WithRosterPlan sets the size limits of the roster.
func WithRosterPlan(p RosterPlan) NodeOption { return func(c *nodeConfig) { c.rosterPlan = p } }

// WithSnapshotHandler sets the function that is called with each configuration snapshot that takes effect.
func WithSnapshotHandler(fn func(*proto.Snapshot)) NodeOption {
	return func(c *nodeConfig) { c.onSnapshot = fn }
}

// WithReportHandlers sets the functions that are called with the usage of other daemons and with the load of targets.
func WithReportHandlers(usage func([]proto.UsageRow), loads func(proto.Loads)) NodeOption {
	return func(c *nodeConfig) { c.usage, c.loads = usage, loads }
}

// WithDemandHandler sets the function that is called with the model demand of other daemons.
func WithDemandHandler(fn func([]proto.DemandRow)) NodeOption {
	return func(c *nodeConfig) { c.demand = fn }
}

// NewNode returns a node whose membership holds only itself.
func NewNode(deps Deps, options ...NodeOption) *Node {
	c := nodeConfig{
		nodeTiming: DefaultNodeTiming(), memberTiming: DefaultMemberTiming(), claimTiming: DefaultClaimTiming(),
		rings: DefaultRings(), rosterPlan: DefaultRosterPlan(),
		usage: func([]proto.UsageRow) {}, loads: func(proto.Loads) {}, demand: func([]proto.DemandRow) {},
	}
	for _, option := range options {
		option(&c)
	}
	n := &Node{deps: deps, started: deps.Clock.Now(), timing: c.nodeTiming, onUsage: c.usage, onLoads: c.loads, onDemand: c.demand, UsageTotals: NewUsageTotals()}
	self := proto.RosterMember{VM: deps.Self.VM, Zone: deps.Self.Zone, Incarnation: deps.Self.Incarnation}
	n.Config = NewConfigState(func(s *proto.Snapshot) {
		if c.onSnapshot != nil {
			c.onSnapshot(s)
		}
		// Heartbeats carry the new generation and are sent at once. They need their own goroutine because the lock of
		// the configuration state is held here.
		go n.Members.SendHeartbeats(deps.Clock.Now())
	})
	n.ConfigStore = NewConfigStore(deps.Platform, deps.Clock)
	n.Members = NewMembers(deps.Self, c.memberTiming, c.rings, deps.Peers, n.heartbeat)
	n.Replica = NewReplica(self, c.claimTiming)
	n.Roster = NewRosterWriter(deps.Platform, c.rosterPlan, c.claimTiming, n.Members, n.Replica, WithWallTime(func(time.Time) time.Time { return wallTime(deps.Clock) }))
	n.Claimer = NewClaimer(self, n.Replica, deps.Peers, deps.Clock, c.claimTiming, n.pullRoster, n.Members.Dead)
	return n
}

func (n *Node) heartbeat() proto.Heartbeat {
	heartbeat := proto.Heartbeat{Incarnation: n.deps.Self.Incarnation, Stopping: n.stopping.Load()}
	if n.Config != nil {
		heartbeat.Generation = n.Config.Generation()
	}
	if n.Replica != nil {
		heartbeat.Roster = n.Replica.Epoch()
	}
	return heartbeat
}

// Start announces the daemon to the seeds from its settings or the platform's list.
func (n *Node) Start(seeds []proto.Alive) {
	now := n.deps.Clock.Now()
	for _, seed := range seeds {
		if seed.VM != n.deps.Self.VM {
			n.Members.HandleAlive(now, seed, "")
		}
	}
	n.Members.Tick(now)
	n.Members.Announce()
}

// Stop announces that the daemon is stopping, so that others take over the tasks that it owns.
func (n *Node) Stop() {
	n.stopping.Store(true)
	n.Members.AnnounceStop()
}

// Handle processes a message and, if it was a call, returns the answer.
func (n *Node) Handle(_ context.Context, from proto.VM, m proto.Message) proto.Message {
	now := n.deps.Clock.Now()
	switch msg := m.(type) {
	case proto.Heartbeat:
		n.handleHeartbeat(now, from, msg)
	case proto.Alive:
		n.Members.HandleAlive(now, msg, from)
	case proto.Alarm:
		n.Members.HandleAlarm(now, msg, from)
	case proto.Deaths:
		n.Members.HandleDeaths(now, msg, from)
	case proto.MembersAsk:
		n.Members.HandleMembersAsk(from)
	case proto.News:
		n.Members.HandleNews(now, msg, from)
	case proto.Listed:
		n.Members.HandleListed(now, msg, from)
	case proto.ChangesAsk:
		return n.Config.After(msg.After)
	case proto.RosterAsk:
		return proto.RosterAnswer{Roster: n.Replica.Roster()}
	case proto.ClaimAsk:
		return n.Replica.Claim(wallTime(n.deps.Clock), msg)
	case proto.Settle:
		n.Replica.Settle(msg)
	case proto.TransferAsk:
		return n.Replica.Transfer(msg)
	case proto.SlotReady:
		n.Roster.Report(from, msg)
	case proto.Demand:
		n.onDemand(msg.Rows)
	case proto.Usage:
		n.handleUsage(now, from, msg)
	case proto.Loads:
		n.onLoads(msg)
	}
	return proto.Done{}
}

func (n *Node) handleHeartbeat(now time.Time, from proto.VM, heartbeat proto.Heartbeat) {
	n.Members.HandleHeartbeat(now, from, heartbeat)
	if heartbeat.Generation > n.Config.Generation() && n.pullingChanges.CompareAndSwap(false, true) {
		go n.pullChanges(from)
	} else if heartbeat.Generation > 0 {
		n.Config.MarkSynced(heartbeat.Generation)
	}
	if heartbeat.Roster > n.Replica.Epoch() && n.pullingRoster.CompareAndSwap(false, true) {
		go func() {
			defer n.pullingRoster.Store(false)
			n.pullRoster(context.Background(), from)
		}()
	}
}

func (n *Node) handleUsage(now time.Time, from proto.VM, msg proto.Usage) {
	if msg.Totals {
		n.onUsage(msg.Rows)
		return
	}
	if others := n.UsageTotals.Add(now, from, msg.Rows); len(others) > 0 {
		n.deps.Peers.Send(from, proto.Usage{Rows: others, Totals: true})
	}
}

// ReportUsage sends the usage of this daemon to the usage collectors of its region.
func (n *Node) ReportUsage(rows []proto.UsageRow) {
	live := n.Members.Live()
	region := n.deps.Self.Zone.Region()
	batches := map[proto.VM][]proto.UsageRow{}
	for _, row := range rows {
		if vm, ok := UsageCollector(row.Workspace, region, live); ok {
			batches[vm] = append(batches[vm], row)
		}
	}
	for vm, batch := range batches {
		if vm == n.deps.Self.VM {
			n.onUsage(n.UsageTotals.Add(n.deps.Clock.Now(), vm, batch))
			continue
		}
		n.deps.Peers.Send(vm, proto.Usage{Rows: batch})
	}
}

// Stopping reports whether the daemon has announced that it is stopping.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// Tick runs the periodic work that needs no store; it is called every NodeTiming.TickInterval.
func (n *Node) Tick(now time.Time) {
	n.Members.Tick(now)
	n.mu.Lock()
	sweep := !now.Before(n.nextSweep)
	if sweep {
		n.nextSweep = now.Add(n.timing.SweepInterval)
	}
	n.mu.Unlock()
	if sweep {
		n.Replica.Sweep(now)
		n.UsageTotals.Sweep(now)
	}
}

func anyDaemon(proto.Alive) bool { return true }

// HasTransferableClaims reports whether this run of the daemon keeps claims and enough other daemons are left to take them over.
func (n *Node) HasTransferableClaims() bool {
	others := vmsOf(n.Members.Live(), func(a proto.Alive) bool { return a.VM != n.deps.Self.VM })
	for _, slot := range n.Replica.Roster().Slots {
		for _, member := range slices.Concat(slot.Group, slot.Previous) {
			if member.VM == n.deps.Self.VM && member.Incarnation == n.deps.Self.Incarnation {
				return len(others) >= len(slot.Group)
			}
		}
	}
	return false
}
