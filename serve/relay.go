package serve

import (
	"context"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/run"
	"golang.org/x/time/rate"

	"emberlead/coord"
	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/wire"
)

const (
	// memoryFraction is the fraction of a VM's memory that the garbage collector aims to stay below.
	memoryFraction = 0.6
	// maxOpenPerMB limits open requests by memory; each request takes some tens of kilobytes at most.
	maxOpenPerMB = 5
	// minOpen is the limit of open requests of the smallest VMs.
	minOpen = 64
	// bufferedAnswersDivisor gives the part of a VM's memory that buffered answers may take. The largest single answer
	// that is buffered, 16 MB, fits into it on VMs with 128 MB.
	bufferedAnswersDivisor = 8
	// requestBodiesDivisor gives the part of a VM's memory that the bodies of requests in progress may take. With the
	// buffered answers and the garbage of both it stays below memoryFraction.
	requestBodiesDivisor = 5
	// maxTunnelsDivisor gives the number of connections that are carried for other daemons, as a fraction of the requests
	// that may be open: each takes about as much memory as a request, and two descriptors.
	maxTunnelsDivisor = 4
	// minUnreadyTime is how long a stopping daemon continues to accept requests: the balancer polls every second and
	// removes a daemon after two failed checks.
	minUnreadyTime = 3500 * time.Millisecond
	// stopMargin is how long before the process is killed a stopping daemon starts to close its listeners.
	stopMargin = 700 * time.Millisecond
	// closeTimeout limits the closing of the listeners, during which responses in progress are completed.
	closeTimeout = 400 * time.Millisecond
	// sweepInterval is how often lapsed targets and idle connections are checked.
	sweepInterval = 200 * time.Millisecond
	// statusInterval is how often the counters are logged, so that the log alone shows how much work was done.
	statusInterval = 10 * time.Second
	// intakeInterval is how often the load is measured and compared with that of the other daemons.
	intakeInterval = 100 * time.Millisecond
	// settingsInterval is how often the settings file is checked, since it may change without a signal.
	settingsInterval = 2 * time.Second
	// rowsTimeout is how long a daemon that already has the tables holds requests until the list of daemons is read,
	// from which it knows which daemon owns which task. The list arrives within some ten milliseconds, unless the store
	// is down; each held request is delayed by that.
	rowsTimeout = 250 * time.Millisecond
	// headerTimeout limits the reading of a request's header until a configuration sets the limit.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long callers' connections may stay idle until a configuration sets the limit.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes limits the header of a request until a configuration sets the limit, in bytes.
	maxHeaderBytes = 16 << 10
)

// Relay is a daemon that forwards requests to targets, on a platform that stores the configuration.
type Relay struct {
	settings platform.Settings
	clock    clockwork.Clock
	// restoreClock determines when data that is missing from a restored store is given up.
	restoreClock clockwork.Clock
	log          hclog.Logger
	sink         *LogSink
	self         proto.Alive

	store     *platform.Store
	tables    *relay.Tables
	fleet     *relay.Fleet
	transport *wire.TargetTransport
	paths     *relay.Paths
	pieces    *relay.PieceScheduler
	placer    *relay.Placer
	server    *relay.Server
	peers     *relayPeers
	documents documentCache
	// routingDocument holds the configuration as it is sent to other daemons.
	routingDocument routingDocument
	// routingParser parses the operator's configuration.
	routingParser platform.RoutingParser
	// crashTracker remembers which requests ran at targets that crashed, crashDetector detects crashes, and endGossip
	// forwards them to other daemons.
	crashTracker  *relay.CrashTracker
	crashDetector *relay.CrashDetector
	endGossip     *endGossip
	// origins knows at which software version streams began.
	origins *relay.Origins
	// intake decides which connections and requests are taken, and limits are those of the requests in progress.
	intake requestIntake
	limits relay.Limits
	// traffic counts the bytes of callers and targets, and statusMeter measures how much of the VM was used since the last status.
	traffic     *wire.Traffic
	statusMeter *loadMeter
	// noticeGossip forwards what targets say about themselves.
	noticeGossip *noticeGossip
	// endRowSync sends ends of targets through the store to daemons that this one cannot reach.
	endRowSync *endRowSync
	// routingFreshness and targetsFreshness tell how old the local copies of the store's tables are.
	routingFreshness, targetsFreshness tableFreshness
	// versionLag tells how far the configuration is behind those of other daemons.
	versionLag versionLag

	linkKey          string
	transportOptions []wire.TransportOption
	// dialLink opens connections to other daemons; nil for the default.
	dialLink func(ctx context.Context, network, address string) (net.Conn, error)
	// credentials holds the certificates used between daemons; nil if they authenticate with a key.
	credentials *wire.Credentials
	zoneCosts   relay.ZoneCosts
	// shareTracker divides the limits that all daemons share; loggedShare is the share that was logged last.
	shareTracker *coord.ShareTracker
	loggedShare  coord.Share
	// settingsFailed and credentialsFailed are only used by the loop that watches the settings.
	settingsFailed, credentialsFailed bool

	// eraChanged receives a value when the store is in a newer era, for the loop that maintains this daemon's row.
	eraChanged chan struct{}
	// rowTable is the table of the daemons as this one last read it.
	rowTable rowTable

	targetsKnown atomic.Bool
	// rowsRead is set once the store's list of daemons was read, from which the daemon knows which daemon owns which task.
	rowsRead atomic.Bool
	started  chan struct{}
	// bootstrapped is closed once the other daemons were asked for the contents of the store.
	bootstrapped chan struct{}
	startOnce    sync.Once
	// rowsTimeoutOnce starts the timeout for the list of daemons.
	rowsTimeoutOnce sync.Once
	pulls           pulls
	stopping        atomic.Bool
	heapTuner       heapTuner
	// eventLimiter limits the log lines about single targets.
	eventLimiter *rate.Limiter
}

// MemberCount returns the number of live daemons that this one knows, itself included.
func (d *Relay) MemberCount() int { return d.peers.Count() }

// TargetsVersion returns the revision of the newest change of the targets' entries that this daemon knows.
func (d *Relay) TargetsVersion() proto.Revision { return d.fleet.Version() }

// OpenRequests returns the number of requests in progress.
func (d *Relay) OpenRequests() int64 { return d.server.OpenRequests() }

// PieceCalls returns the number of calls for pieces that this daemon made.
func (d *Relay) PieceCalls() int64 { return d.pieces.Stats().Calls }

// StoreCalls returns the number of calls to the store since the start.
func (d *Relay) StoreCalls() platform.CallCounts { return d.store.Counts() }

// CloseLinks closes all links to other daemons, as if the process had died. It is for tests.
func (d *Relay) CloseLinks() { d.peers.links.Close() }

// RelayOption configures a Relay at construction.
type RelayOption func(*Relay)

// WithLinkKey sets the key with which daemons authenticate to each other, instead of the store's address.
func WithLinkKey(key string) RelayOption { return func(d *Relay) { d.linkKey = key } }

// WithLinkCredentials makes daemons authenticate to each other by certificates instead of a key.
func WithLinkCredentials(c *wire.Credentials) RelayOption {
	return func(d *Relay) { d.credentials = c }
}

// WithZoneCosts sets the costs of other availability zones in the choice of a target.
func WithZoneCosts(costs relay.ZoneCosts) RelayOption { return func(d *Relay) { d.zoneCosts = costs } }

// WithRestoreClock sets the clock that determines when data missing from a restored store is given up. Tests use it to
// stop that clock.
func WithRestoreClock(clock clockwork.Clock) RelayOption {
	return func(d *Relay) { d.restoreClock = clock }
}

// WithMaxOpenRequests sets the number of requests that may be in progress, instead of one that follows from the memory.
func WithMaxOpenRequests(n int64) RelayOption { return func(d *Relay) { d.limits.MaxOpen = n } }

// WithSharedProcess tells that other daemons run in the same process, whose use of the processor then says nothing about this one.
func WithSharedProcess() RelayOption {
	return func(d *Relay) { d.intake.meter.shared, d.statusMeter.shared = true, true }
}

// WithTargetDialer sets the function that opens connections to targets. Tests use it to cut single daemons off from targets.
func WithTargetDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) RelayOption {
	return func(d *Relay) { d.transportOptions = append(d.transportOptions, wire.WithDialer(dial)) }
}

// WithLinkDialer sets the function that opens connections to other daemons. Tests use it to limit or cut the links of single daemons.
func WithLinkDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) RelayOption {
	return func(d *Relay) { d.dialLink = dial }
}

// NewRelay returns a daemon that has not been started.
func NewRelay(settings platform.Settings, clock clockwork.Clock, log hclog.Logger, sink *LogSink, options ...RelayOption) *Relay {
	// The platform provides no secret; the store's address keeps the daemons of two deployments apart.
	d := &Relay{settings: settings, clock: clock, restoreClock: clock, log: log, sink: sink, tables: &relay.Tables{}, store: platform.NewStore(settings.StoreAddr), linkKey: settings.StoreAddr.String(), zoneCosts: relay.DefaultZoneCosts()}
	d.limits = relayLimits(settings)
	d.traffic = &wire.Traffic{}
	d.intake.meter = newLoadMeter(settings.CPULimit, settings.LinkRate, d.traffic)
	d.statusMeter = newLoadMeter(settings.CPULimit, settings.LinkRate, d.traffic)
	for _, option := range options {
		option(d)
	}
	d.eventLimiter = newEventLimiter()
	d.started, d.bootstrapped, d.eraChanged = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	d.routingFreshness.init(clock.Now())
	d.targetsFreshness.init(clock.Now())
	d.store.OnRestored(d.handleStoreRestored)
	d.routingDocument.sender.BytesPerSecond = settings.LinkRate
	d.documents.targets = map[string]proto.TargetDocument{}
	d.self = proto.Alive{
		VM: proto.VM(settings.VM), Zone: proto.Zone(settings.Region + "/" + settings.Zone), Peer: settings.PeerAddr,
		Incarnation: proto.Incarnation(clock.Now().UnixNano()), Sequence: 1, Protocol: proto.PeerProtocolTakeover,
	}
	d.fleet = relay.NewFleet(func(pool string) { d.pieces.TargetsChanged(pool) }, relay.WithZoneCosts(d.zoneCosts),
		relay.WithColdConfig(relay.ColdConfig{Factor: settings.ColdFactor, Slack: settings.ColdSlack}), relay.WithNoticeHandler(d.forwardNotices))
	d.shareTracker = coord.NewShareTracker(d.self.VM, shareTiming(settings))
	d.initPeers()
	d.paths = relay.NewPaths(d.self.Zone, clock, log.Named("paths"), d.peers, d.fleet)
	d.transport = wire.NewTargetTransport(clock, append(d.transportOptions, wire.WithTraffic(d.traffic), wire.WithOwnDelay(d.intake.delay), wire.WithPaths(d.paths, d.peers.links.OpenTunnel))...)
	dialect := platform.Dialect{}
	d.noticeGossip = newNoticeGossip(clock, func(m proto.TargetNotices) { d.peers.sendToLinks(m) })
	d.endGossip = newEndGossip(clock, func(m proto.TargetEnds) { d.peers.sendToLinks(m) })
	d.endRowSync = newEndRowSync(d)
	d.crashTracker = relay.NewCrashTracker(d.self.VM, clock, log.Named("crashes"), d.handleEnds)
	d.crashDetector = relay.NewCrashDetector(clock, log.Named("crashes"), d.transport, d.crashTracker)
	d.pieces = relay.NewPieceScheduler(d.self.VM, clock, log.Named("pieces"), dialect, d.transport, d.peers, d.fleet, d.tables, relay.WithCrashDetection(d.crashTracker, d.crashDetector), relay.WithOwnZone(settings.Zone))
	d.placer = relay.NewPlacer(d.self.VM, clock, log.Named("place"), d.fleet, d.peers, placerOptions(settings)...)
	d.origins = relay.NewOrigins(clock, log.Named("origins"), d.peers)
	d.server = relay.NewServer(relay.ServerConfig{
		Clock: clock, Log: log.Named("relay"), Dialect: dialect, Sender: d.transport, Fleet: d.fleet, Tables: d.tables,
		Pieces: d.pieces, Placer: d.placer, Peers: d.peers, Zone: settings.Zone,
		Budget:       relay.RetryBudgetConfig{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow},
		CrashTracker: d.crashTracker, CrashDetector: d.crashDetector, LinkChecker: d.transport, Origins: d.origins, Started: d.started, Limits: d.limits, Intake: relayIntake{d},
		RoutingAge: d.routingFreshness.age, MaxRoutingAge: settings.ConfigApplyTimeout,
	})
	return d
}

// relayLimits returns the limits that follow from a VM's memory.
func relayLimits(settings platform.Settings) relay.Limits {
	return relay.Limits{
		MaxOpen:             max(minOpen, settings.MemoryBytes/1_000_000*maxOpenPerMB),
		BufferedAnswerBytes: settings.MemoryBytes / bufferedAnswersDivisor,
		RequestBodyBytes:    settings.MemoryBytes / requestBodiesDivisor,
	}
}

func placerOptions(settings platform.Settings) []relay.PlacerOption {
	if settings.PipelineAdmission {
		return []relay.PlacerOption{relay.WithPipelineAdmission()}
	}
	return nil
}

func (d *Relay) initPeers() {
	d.peers = &relayPeers{clock: d.clock, log: d.log.Named("peers"), self: d.self, shareTracker: d.shareTracker, seeds: map[proto.VM]proto.Alive{}, newerSince: map[proto.VM]time.Time{}, invalidAskedAt: map[proto.VM]time.Time{}, loads: map[proto.VM]peerLoad{}}
	for _, seed := range d.settings.Seeds {
		if seed != d.self.Peer {
			d.peers.seeds[proto.VM("seed "+seed.String())] = proto.Alive{Peer: seed}
		}
	}
	d.peers.fleetSize = d.peers.Count
	d.peers.links = wire.NewLinks(wire.LinksConfig{
		Self: d.self.VM, SharedKey: d.linkKey, Credentials: d.credentials, Log: d.log.Named("links"),
		Resolve: d.peers.resolve, Handle: d.handle, Dial: d.dialLink, Tunnels: wire.TunnelConfig{
			Dial: d.dialTarget, IsTarget: d.fleet.IsAddress, TrustsLinks: func(ctx context.Context) bool { return d.transport.TrustsLinks(ctx) }, MaxOpen: relayLimits(d.settings).MaxOpen / maxTunnelsDivisor,
			Relays: d.peers.tunnelRelays,
		},
	})
	d.peers.members = coord.NewMembers(d.self, peerTiming(), coord.DefaultRings(), d.peers.links, d.heartbeat, coord.WithIncarnationBump())
}

// dialTarget opens an own connection to a target for another daemon.
func (d *Relay) dialTarget(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return d.transport.DialOwn(ctx, to)
}

func (d *Relay) heartbeat() proto.Heartbeat {
	var h proto.Heartbeat
	// The ages are taken before the versions, because a version may only include more than the age states.
	now := d.clock.Now()
	d.fillCopyAge(now, &h)
	h.SentAt = time.Duration(now.UnixNano())
	h.Incarnation, h.Stopping = d.self.Incarnation, d.stopping.Load()
	h.Routing, h.Targets, h.Evacuations = d.tables.Version(), d.fleet.Version(), d.fleet.EvacuationsVersion()
	h.EndsDigest, h.InvalidDigest, h.NoticesDigest = d.crashTracker.Digest(), d.fleet.InvalidDigest(), d.fleet.NoticeDigest()
	h.Load, h.CutOff, h.Pressure = uint32(d.server.OpenRequests()+d.peers.links.TunnelCounts().Open), d.paths.CutOff(), d.intake.pressure()
	return h
}

// handle processes a message of another daemon.
func (d *Relay) handle(ctx context.Context, from proto.VM, m proto.Message) proto.Message {
	now := d.clock.Now()
	switch msg := m.(type) {
	case proto.Heartbeat:
		d.peers.members.HandleHeartbeat(now, from, msg)
		sentAt := d.peers.recordLoad(now, from, msg)
		d.store.ObserveEra(msg.Targets.Era)
		d.tables.ObserveVersion(now, msg.Routing)
		d.versionLag.heard(now, from, msg.Routing, d.tables.Version())
		newer := msg.Routing > d.tables.Version() || msg.Targets.After(d.fleet.Version()) || msg.Evacuations.After(d.fleet.EvacuationsVersion())
		if d.peers.shouldPull(from, newer, newer && d.isServedReader()) {
			go d.pullFrom(from)
		}
		d.handleCopyAge(sentAt, &msg)
		if d.peers.shouldAskInvalid(now, from, d.fleet.InvalidDigest(), msg.InvalidDigest) {
			go d.pullFrom(from)
		}
		if d.endGossip.shouldSendAll(now, from, d.crashTracker.Digest(), msg.EndsDigest, d.crashTracker.Stats().Ends) {
			go d.sendAllEnds(from)
		}
		if d.noticeGossip.shouldSendAll(now, from, d.fleet.NoticeDigest(), msg.NoticesDigest) {
			d.peers.Send(from, proto.TargetNotices{Notices: d.fleet.Notices()})
		}
	case proto.Alive:
		d.peers.members.HandleAlive(now, msg, from)
	case proto.Alarm:
		d.peers.members.HandleAlarm(now, msg, from)
	case proto.Deaths:
		d.peers.members.HandleDeaths(now, msg, from)
	case proto.MembersAsk:
		d.peers.members.HandleMembersAsk(from)
	case proto.News:
		d.peers.members.HandleNews(now, msg, from)
	case proto.RoutingAsk:
		return d.answerRoutingAsk(msg)
	case proto.PiecesAsk:
		return d.pieces.RunLocally(ctx, msg, now.Add(msg.DueIn), now.Add(msg.TimeLeft))
	case proto.PiecesDrop:
		d.pieces.Drop(msg)
	case proto.PlaceAsk:
		return d.placer.HandlePlaceAsk(msg)
	case proto.PlaceNote:
		d.placer.HandlePlaceNote(from, msg)
	case proto.DaemonRowsAsk:
		return d.answerDaemonRowsAsk(ctx, msg)
	case proto.PermitAsk:
		return d.placer.HandlePermitAsk(from, msg)
	case proto.TargetNotices:
		d.mergeNotices(now, msg.Notices, from)
	case proto.AdmitAsk:
		return d.placer.DecideAdmission(msg)
	case proto.Confirmed:
		sentAt := d.peers.confirmedSentAt(now, from, msg)
		d.applyPeerConfirmation(sentAt, msg)
		d.recordStandIn(now, from, msg)
		d.recordServedReader(sentAt, from, msg)
	case proto.ReadAsk:
		d.handleReadAsk(now, from, msg)
	case proto.StreamStarts:
		d.origins.Merge(msg)
	case proto.StreamAsk:
		return d.origins.Answer(msg)
	case proto.StreamTakeover:
		return d.server.HandleTakeover(ctx, d.peers.takeoverSentAt(now, from, msg), msg)
	case proto.TargetEnds:
		d.crashTracker.Merge(msg, from)
	}
	return proto.Done{}
}

// startWhenReady admits requests once the daemon knows the configuration, the targets and the other daemons. A daemon that the store
// refuses gets the first two from other daemons, and waits for the list of daemons only for a short time.
func (d *Relay) startWhenReady() {
	switch {
	case !d.hasTables():
	case d.rowsRead.Load():
		d.start()
	default:
		d.rowsTimeoutOnce.Do(func() { d.clock.AfterFunc(rowsTimeout, d.start) })
	}
}

func (d *Relay) start() {
	d.startOnce.Do(func() {
		d.log.Info("started", "routing", d.tables.Version(), "targets", d.fleet.Version(), "members", d.peers.Count(), "listRead", d.rowsRead.Load())
		close(d.started)
	})
}

// Ready reports whether the balancer should send requests here, and if not, why.
func (d *Relay) Ready() (ok bool, reason string) {
	switch {
	case d.stopping.Load():
		return false, "stopping"
	case d.tables.Current() == nil:
		return false, "no configuration is known yet"
	case !d.targetsKnown.Load():
		return false, "no targets are known yet"
	}
	return true, ""
}

// sleep waits for a duration, or until the context ends.
func (d *Relay) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-d.clock.After(duration):
	case <-ctx.Done():
	}
}

// Run serves until the context ends, which is when the platform asks the process to stop, and then shuts down gracefully.
func (d *Relay) Run(ctx context.Context) error {
	limits := relayLimits(d.settings)
	debug.SetMemoryLimit(int64(memoryFraction * float64(d.settings.MemoryBytes)))
	d.heapTuner.adjust(uint64(d.settings.MemoryBytes))
	d.log.Info("starting", "version", Version, "incarnation", d.self.Incarnation, "zone", d.self.Zone, "callers", d.settings.CallerAddr,
		"health", d.settings.HealthAddr, "peers", d.settings.PeerAddr, "metrics", d.settings.MetricsAddr, "store", d.settings.StoreAddr,
		"seeds", len(d.settings.Seeds), "memory", d.settings.MemoryBytes, "openMost", d.limits.MaxOpen, "bufferedAnswersMost", limits.BufferedAnswerBytes, "requestBodiesMost", limits.RequestBodyBytes)
	d.logLinkAuth()
	var g run.Group
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := d.addRelayServers(&g); err != nil {
		return err
	}
	d.addRelayLoops(workCtx, cancel, &g)
	g.Add(func() error {
		<-ctx.Done()
		d.stop(workCtx)
		return nil
	}, func(error) { cancel() })
	err := g.Run()
	d.peers.links.Close()
	d.log.Info("stopped", "open", d.server.OpenRequests(), "error", err)
	return err
}

func (d *Relay) addRelayLoops(ctx context.Context, cancel func(), g *run.Group) {
	routing := &watcher{
		daemon: d, name: tableRouting, table: d.store.Routing(), freshness: &d.routingFreshness, isReader: d.readsTable(&d.routingFreshness, tableRouting), onConfirmed: d.notifyReaders, onResult: d.recordCall(&d.routingFreshness),
		replace: d.handleRoutingTable, apply: d.handleRoutingChanges,
	}
	targets := &watcher{
		daemon: d, name: tableTargets, table: d.store.Targets(), minInterval: minWatchInterval, leader: routing, freshness: &d.targetsFreshness, isReader: d.readsTable(&d.targetsFreshness, tableTargets), onConfirmed: d.notifyReaders, onResult: d.recordCall(&d.targetsFreshness),
		replace: d.handleTargetTable, apply: d.handleTargetChanges, onStep: d.recordStoreState,
	}
	for _, loop := range []func(context.Context){
		d.bootstrap, d.afterBootstrap(routing.run), d.afterBootstrap(targets.run), d.maintainRow, d.watchSettings, d.endRowSync.watch,
		d.periodic(peerTickInterval, func() {
			d.peers.members.Tick(d.clock.Now())
			d.peers.announceToSeeds()
			d.updateShare()
			d.askReaders()
		}),
		d.periodic(standInInterval, d.tellReadersWhileStandIn),
		d.periodic(sweepInterval, func() {
			d.handleFleetEvents(d.fleet.Sweep(d.clock.Now()), "time")
			d.reapplyExpired(d.fleet.ExpireInvalid(d.restoreClock.Now()))
			d.expireEvacuations(d.restoreClock.Now())
			d.transport.CloseExpired()
			d.paths.Sweep()
			d.peers.pruneLoads()
			d.placer.Sweep()
			d.crashDetector.Sweep()
			d.logFreshness()
		}),
		d.periodic(intakeInterval, d.observeIntake),
		d.periodic(forgetInterval, d.crashTracker.Sweep),
		d.periodic(forgetInterval, func() { d.origins.Sweep(d.peers.members.Live()) }),
		d.periodic(endRowInterval, d.endRowSync.writeIfDue),
		d.periodic(heapTuneInterval, func() { d.heapTuner.adjust(uint64(d.settings.MemoryBytes)) }),
		d.periodic(statusInterval, d.logStatus),
	} {
		g.Add(func() error {
			loop(ctx)
			// A loop that has nothing more to do must not end the others.
			<-ctx.Done()
			return nil
		}, func(error) { cancel() })
	}
}

func (d *Relay) periodic(interval time.Duration, fn func()) func(context.Context) {
	return func(ctx context.Context) {
		ticker := d.clock.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.Chan():
				fn()
			case <-ctx.Done():
				return
			}
		}
	}
}

// watchSettings reloads the settings on SIGHUP and at regular intervals.
func (d *Relay) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		cause := "time"
		select {
		case <-hangup:
			cause = "signal"
		case <-d.clock.After(settingsInterval):
		case <-ctx.Done():
			return
		}
		d.reload(cause)
	}
}

// reload applies the settings that may change at run time: the certificates between daemons, and the seeds.
func (d *Relay) reload(cause string) {
	d.reloadCredentials(cause)
	settings, err := platform.LoadSettings()
	if err != nil {
		if !d.settingsFailed {
			d.log.Warn("cannot reload the settings; keeping the current ones", "cause", cause, "error", err)
		}
		d.settingsFailed = true
		return
	}
	d.settingsFailed = false
	added := d.peers.addSeeds(settings.Seeds)
	if cause == "signal" || added > 0 {
		d.log.Info("settings read again", "cause", cause, "newSeeds", added)
	}
}

func (p *relayPeers) addSeeds(seeds []netip.AddrPort) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	added := 0
	for _, seed := range seeds {
		name := proto.VM("seed " + seed.String())
		if _, exists := p.seeds[name]; exists || seed == p.self.Peer {
			continue
		}
		p.seeds[name] = proto.Alive{Peer: seed}
		added++
	}
	return added
}

// stop shuts down gracefully: the health check fails, other daemons take over, and requests continue until none is left
// or the grace period is nearly over.
func (d *Relay) stop(ctx context.Context) {
	startedAt := d.clock.Now()
	d.log.Info("stopping", "open", d.server.OpenRequests())
	d.stopping.Store(true)
	deadline := startedAt.Add(d.settings.GracePeriod - stopMargin)
	d.server.Stop(startedAt, deadline)
	d.peers.members.AnnounceStop()
	for now := startedAt; now.Before(deadline); now = d.clock.Now() {
		if now.Sub(startedAt) >= minUnreadyTime && d.server.OpenRequests() == 0 && d.peers.links.TunnelCounts().Open == 0 {
			break
		}
		d.sleep(ctx, sweepInterval/4)
	}
	d.log.Info("closing", "open", d.server.OpenRequests(), "after", d.clock.Now().Sub(startedAt).String())
}
