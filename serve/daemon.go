package serve

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"

	"emberlead/coord"
	"emberlead/core"
	"emberlead/proto"
	"emberlead/state"
	"emberlead/wire"
)

// Version is the version of the program.
const Version = "0.1.0"

// Daemon is one entry daemon.
type Daemon struct {
	settings Settings
	clock    clockwork.Clock
	log      hclog.Logger
	gate     func()

	engine       *core.Engine
	node         *coord.Node
	links        *wire.Links
	targetClient *wire.TargetClient
	platform     *wire.PlatformClient
	driver       *wire.Driver
	frontend     *wire.Frontend
	loads        *loadCollector
	placement    *coord.PlacementController

	callerListener   net.Listener
	peerListener     net.Listener
	operatorListener net.Listener
	servers          []*http.Server

	unready   atomic.Bool
	rejecting atomic.Bool
	stopOnce  sync.Once
	stop      chan struct{}
}

// Option configures a Daemon at construction.
type Option func(*Daemon)

// WithLog sets the logger.
func WithLog(log hclog.Logger) Option { return func(d *Daemon) { d.log = log } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(d *Daemon) { d.clock = clock } }

// WithGate sets a function that is called before each message and event, so that a test can block a daemon.
func WithGate(gate func()) Option { return func(d *Daemon) { d.gate = gate } }

// New returns a daemon with open listeners; it fails with KindInvalid or KindUnavailable.
func New(settings Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{settings: settings, clock: state.NewClock(), log: hclog.NewNullLogger(), gate: func() {}, stop: make(chan struct{})}
	for _, option := range options {
		option(d)
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	return d, d.assemble()
}

func (d *Daemon) listen() error {
	var err error
	if d.callerListener, err = openListener(d.settings.Callers.Listen); err != nil {
		return err
	}
	if d.peerListener, err = openListener(d.settings.Peers.Listen); err != nil {
		return err
	}
	d.operatorListener, err = openListener(d.settings.Operators.Listen)
	return err
}

func openListener(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, &Error{Op: "listen", Kind: proto.KindUnavailable, Err: err}
	}
	return l, nil
}

func addrOf(l net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(l.Addr().String())
}

// CallerAddr returns the address of the callers' listener.
func (d *Daemon) CallerAddr() netip.AddrPort { return addrOf(d.callerListener) }

// PeerAddr returns the address of the peers' listener.
func (d *Daemon) PeerAddr() netip.AddrPort { return addrOf(d.peerListener) }

// OperatorAddr returns the address of the operators' listener.
func (d *Daemon) OperatorAddr() netip.AddrPort { return addrOf(d.operatorListener) }

// Node returns the daemon's coordination node.
func (d *Daemon) Node() *coord.Node { return d.node }

// Engine returns the daemon's decision engine.
func (d *Daemon) Engine() *core.Engine { return d.engine }

// Links returns the links to other daemons.
func (d *Daemon) Links() *wire.Links { return d.links }

// Platform returns the client of the platform.
func (d *Daemon) Platform() *wire.PlatformClient { return d.platform }

func (d *Daemon) assemble() error {
	s := &d.settings
	peerTLS, err := s.Peers.TLS.config(true)
	if err != nil {
		return err
	}
	seed := xxhash.Sum64String(string(s.VM))
	advertised := s.advertised()
	if advertised.Port() == 0 {
		advertised = d.PeerAddr()
	}
	d.engine = core.New(core.WithZone(s.Zone), core.WithSeed(seed))
	d.targetClient = wire.NewTargetClient(wire.WithTargetClock(d.clock))
	d.platform = wire.NewPlatformClient(s.Platform.Address, string(s.VM), wire.PlatformLimits{
		ReadsPerSecond: s.Platform.ReadsPerSecond, WritesPerSecond: s.Platform.WritesPerSecond, Burst: wire.DefaultPlatformLimits().Burst, CallTimeout: s.Platform.CallTimeout.Std(),
	})
	d.links = wire.NewLinks(wire.LinksConfig{
		Self: s.VM, SharedKey: s.Peers.SharedKey, TLS: peerTLS, Log: d.log.Named("links"), BeforeMessage: d.gate,
		Resolve: func(vm proto.VM) (proto.Alive, bool) { return d.node.Members.Lookup(vm) },
		Handle: func(ctx context.Context, from proto.VM, m proto.Message) proto.Message {
			return d.node.Handle(ctx, from, m)
		},
	})
	self := proto.Alive{
		VM: s.VM, Zone: s.Zone, Peer: advertised,
		Incarnation: proto.Incarnation(d.clock.Now().UnixMilli()), Sequence: 1,
	}
	deps := coord.Deps{Self: self, Clock: d.clock, Log: d.log.Named("node"), Platform: d.platform, Peers: d.links}
	d.node = coord.NewNode(deps, d.nodeOptions()...)
	d.placement = coord.NewPlacementController(deps, d.node, d.targetClient, core.NewPlacement(core.DefaultPlacementTuning()), coord.DefaultLeaseTiming())
	d.driver = wire.NewDriver(d.engine, d.clock, d.targetClient, d.node.Claimer, d.log.Named("driver"), s.Limits.BufferedBytes, d.gate)
	d.frontend = wire.NewFrontend(d.driver, d.engine, d.clock, d.log.Named("front"), wire.FrontendLimits{
		MaxBodyBytes: s.Limits.BodyBytes, MaxOpenRequests: s.Limits.OpenRequests, MaxBufferedBytes: s.Limits.BufferedBytes,
		ReadTimeout: s.Limits.ReadTimeout.Std(), WriteTimeout: s.Limits.WriteTimeout.Std(),
	}, d, seed)
	d.loads = newLoadCollector(d)
	return nil
}

func (d *Daemon) nodeOptions() []coord.NodeOption {
	timing := &d.settings.Timing
	memberTiming := coord.DefaultMemberTiming()
	memberTiming.HeartbeatInterval, memberTiming.SilenceTimeout = timing.Heartbeat.Std(), timing.Silence.Std()
	claimTiming := coord.DefaultClaimTiming()
	claimTiming.Retention = timing.KeyRetention.Std()
	nodeTiming := coord.DefaultNodeTiming()
	nodeTiming.PollInterval, nodeTiming.RosterInterval = timing.PollInterval.Std(), timing.RosterInterval.Std()
	return []coord.NodeOption{
		coord.WithMemberTiming(memberTiming), coord.WithClaimTiming(claimTiming), coord.WithNodeTiming(nodeTiming),
		coord.WithSnapshotHandler(d.applySnapshot),
		coord.WithReportHandlers(
			func(rows []proto.UsageRow) { d.recordUsage(rows) },
			func(loads proto.Loads) { d.loads.apply(loads) },
		),
		coord.WithDemandHandler(func(rows []proto.DemandRow) { d.placement.AddDemand(rows) }),
	}
}

// applySnapshot puts a configuration snapshot in force, restricted to the targets that this daemon uses.
func (d *Daemon) applySnapshot(s *proto.Snapshot) {
	subset := *s
	subset.Pools = make(map[string]*proto.Pool, len(s.Pools))
	for name, pool := range s.Pools {
		subsetPool := *pool
		subsetPool.Targets = coord.Subset(d.settings.VM, d.settings.Zone, pool.Targets, d.settings.Limits.Subset)
		subset.Pools[name] = &subsetPool
	}
	if d.engine.Configure(&subset, d.clock.Now(), d.settings.Timing.StopLead.Std()) {
		d.log.Info("configuration is in force", "generation", s.Generation)
	}
}

func (d *Daemon) recordUsage(rows []proto.UsageRow) {
	for _, row := range rows {
		d.driver.HandleEvent(core.UsageReported{Pool: row.Pool, Workspace: row.Workspace, Spent: row.Spent})
	}
}

// Ready reports whether the platform's balancer should send requests here, and if not, why.
func (d *Daemon) Ready() (bool, string) {
	if d.unready.Load() {
		return false, "stopping"
	}
	return d.node.Ready(d.clock.Now())
}

// Accepts returns a failure for requests that arrive before the daemon knows its configuration, while it is isolated,
// or after it stopped.
func (d *Daemon) Accepts() *proto.Failure {
	now := d.clock.Now()
	failure := &proto.Failure{Outcome: proto.OutcomeNotRun, RetryAfter: time.Second}
	switch {
	case d.rejecting.Load():
		failure.Kind, failure.Detail = proto.FailureStopping, "the daemon is stopping"
	case !d.node.Config.Synced():
		failure.Kind, failure.Detail = proto.FailureIsolated, "the daemon does not know its configuration yet"
	case d.node.Isolated(now):
		failure.Kind, failure.Detail = proto.FailureIsolated, "the daemon can reach neither the store nor another daemon"
	default:
		return nil
	}
	return failure
}

// Stop starts a graceful shutdown; Run returns once it is complete.
func (d *Daemon) Stop() { d.stopOnce.Do(func() { close(d.stop) }) }

// Kill stops the daemon at once, like a crash; Run may not return afterwards.
func (d *Daemon) Kill() {
	for _, l := range []net.Listener{d.callerListener, d.peerListener, d.operatorListener} {
		_ = l.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.links.Close()
	d.targetClient.Abort()
}

// Run serves until Stop is called or the context ends, and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	var g run.Group
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.publishVars()
	if err := d.addServers(&g); err != nil {
		return err
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	d.addLoops(workCtx, &g)
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-d.stop:
		}
		d.drain(workCtx)
		return nil
	}, func(error) { cancel() })
	d.node.Start(d.seeds())
	d.log.Info("serving", "callers", d.CallerAddr(), "peers", d.PeerAddr(), "operators", d.OperatorAddr(), "version", Version)
	err := g.Run()
	d.links.Close()
	d.log.Info("stopped")
	return err
}

func (d *Daemon) seeds() []proto.Alive {
	var seeds []proto.Alive
	for _, seed := range d.settings.Peers.Seeds {
		seeds = append(seeds, proto.Alive{VM: seed.VM, Zone: seed.Zone, Peer: seed.Address})
	}
	return seeds
}

// drain shuts down gracefully: /readyz fails, other daemons take over what this daemon owns, and then new requests are
// rejected while those in progress complete.
func (d *Daemon) drain(parent context.Context) {
	d.log.Info("stopping")
	d.unready.Store(true)
	d.node.Stop()
	d.sleep(parent, d.settings.Timing.UnreadyTime.Std())
	d.rejecting.Store(true)
	ctx, cancel := context.WithTimeout(parent, d.settings.Timing.DrainTimeout.Std())
	defer cancel()
	if err := d.frontend.WaitIdle(ctx); err != nil {
		d.log.Warn("stopping with requests in progress", "error", err)
	}
	d.handOver(parent)
}

const maxHandOverTime = 6 * time.Second

// handOver waits until other daemons hold the claims that this daemon held. While the store is down this is impossible,
// but the majority of each group remains.
func (d *Daemon) handOver(ctx context.Context) {
	deadline := d.clock.Now().Add(maxHandOverTime)
	for d.clock.Now().Before(deadline) && d.node.HasTransferableClaims() {
		d.sleep(ctx, 100*time.Millisecond)
	}
}

func (d *Daemon) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-d.clock.After(duration):
	case <-ctx.Done():
	}
}

func (d *Daemon) addServers(g *run.Group) error {
	callerTLS, err := d.settings.Callers.TLS.config(false)
	if err != nil {
		return err
	}
	peerTLS, err := d.settings.Peers.TLS.config(true)
	if err != nil {
		return err
	}
	operatorTLS, err := d.settings.Operators.TLS.config(false)
	if err != nil {
		return err
	}
	operator := wire.NewOperatorAPI(d.node, d.settings.Operators.Key, d.log.Named("operator"), d.status)
	for _, s := range []struct {
		listener net.Listener
		server   *http.Server
	}{
		{d.callerListener, &http.Server{Handler: d.frontend.Handler(), TLSConfig: callerTLS, MaxHeaderBytes: d.settings.Limits.HeaderBytes}},
		{d.peerListener, &http.Server{Handler: d.links.Handler(), TLSConfig: peerTLS}},
		{d.operatorListener, &http.Server{Handler: operator.Handler(), TLSConfig: operatorTLS}},
	} {
		d.addServer(g, s.listener, s.server)
	}
	return nil
}

const shutdownTimeout = 2 * time.Second

func (d *Daemon) addServer(g *run.Group, l net.Listener, s *http.Server) {
	s.ReadHeaderTimeout = d.settings.Limits.ReadTimeout.Std()
	d.servers = append(d.servers, s)
	s.ErrorLog = d.log.StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true})
	g.Add(func() error {
		if s.TLSConfig != nil {
			return s.ServeTLS(l, "", "")
		}
		return s.Serve(l)
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		wire.Shutdown(ctx, s)
	})
}

func (d *Daemon) status() wire.Status {
	now := d.clock.Now()
	ready, reason := d.Ready()
	s := wire.Status{
		VM: d.settings.VM, Zone: d.settings.Zone, Version: Version, Ready: ready, Reason: reason,
		Generation: d.node.Config.Generation(), OpenRequests: d.frontend.OpenRequests(), LastStoreRead: d.node.LastStoreRead(),
		Members: d.node.Members.Counts(), Claims: d.node.Replica.Counts(), Links: d.links.Counts(), Pools: d.engine.Pools(now),
	}
	for _, alive := range d.node.Members.Live() {
		s.Daemons = append(s.Daemons, wire.DaemonStatus{VM: alive.VM, Zone: alive.Zone, Peer: alive.Peer.String(), Stopping: alive.Stopping})
	}
	return s
}

// Vars holds the metrics of a daemon at /debug/vars.
type Vars struct {
	core.Report
	Generation     proto.Generation      `json:"generation"`
	OpenRequests   int64                 `json:"openRequests"`
	Members        coord.MemberCounts    `json:"members"`
	Claims         coord.ReplicaCounts   `json:"claims"`
	Links          wire.LinkCounts       `json:"links"`
	Placement      coord.PlacementCounts `json:"orders"`
	PlatformReads  int64                 `json:"platformReads"`
	PlatformWrites int64                 `json:"platformWrites"`
}

func (d *Daemon) publishVars() {
	wire.PublishVars(string(d.settings.VM), func() any {
		reads, writes := d.platform.Counts()
		return Vars{
			Report: d.engine.Stats().Report(), Generation: d.node.Config.Generation(), OpenRequests: d.frontend.OpenRequests(),
			Members: d.node.Members.Counts(), Claims: d.node.Replica.Counts(), Links: d.links.Counts(),
			Placement: d.placement.Counts(), PlatformReads: reads, PlatformWrites: writes,
		}
	})
}
