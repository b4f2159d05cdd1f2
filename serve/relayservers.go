package serve

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"math"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"emberlead/coord"
	"emberlead/platform"
	"emberlead/proto"
	"emberlead/relay"
	"emberlead/wire"
)

func (d *Relay) addRelayServers(g *run.Group) error {
	health := echo.New()
	health.HideBanner, health.HidePort = true, true
	health.GET(platform.HealthPath, func(c echo.Context) error {
		if ok, reason := d.Ready(); !ok {
			return c.String(http.StatusServiceUnavailable, reason+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	metrics := echo.New()
	metrics.HideBanner, metrics.HidePort = true, true
	metrics.GET("/debug/vars", echo.WrapHandler(expvar.Handler()))
	d.publishVars()
	for _, s := range []struct {
		address netip.AddrPort
		handler http.Handler
		tls     *tls.Config
		closes  func() bool
	}{
		// The methods and paths of callers are forwarded unchanged, so there is no router in front of the relay.
		{d.settings.CallerAddr, d.server, nil, func() bool { return d.intake.closes(d.clock.Now(), d.server.OpenRequests()) }},
		{d.settings.HealthAddr, health, nil, nil},
		{d.settings.PeerAddr, d.peers.links.Handler(), d.peers.links.ServerTLS(), nil},
		{d.settings.MetricsAddr, metrics, nil, nil},
	} {
		if err := d.addRelayServer(g, s.address, s.handler, s.tls, s.closes); err != nil {
			return err
		}
	}
	return nil
}

func (d *Relay) addRelayServer(g *run.Group, address netip.AddrPort, handler http.Handler, config *tls.Config, closes func() bool) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return &Error{Op: "listen", Kind: proto.KindUnavailable, Err: err}
	}
	callers := closes != nil
	if callers {
		// Only the bytes of requests count as their cost.
		listener = d.traffic.Listener(listener)
		listener = &wire.SheddingListener{Listener: listener, Closes: closes}
	}
	server := &http.Server{
		Handler: handler, ConnContext: relay.WithConnection, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: d.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	if callers {
		// The configuration sets these limits, and may change them.
		server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = 0, 0, math.MaxInt32
		listener = wire.NewCallerConns(d.clock, d.callerLimits).Limit(server, listener)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	// All listeners close concurrently, so that each has the full time.
	closed := make(chan struct{})
	serve := func() error {
		err := server.Serve(listener)
		if errors.Is(err, http.ErrServerClosed) {
			<-closed
		}
		return err
	}
	g.Add(serve, func(error) {
		go func() {
			defer close(closed)
			ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			wire.Shutdown(ctx, server)
		}()
	})
	return nil
}

// callerLimits returns the limits of the configuration in force, or the default of each one that it does not set.
func (d *Relay) callerLimits() proto.CallerLimits {
	limits := proto.CallerLimits{}
	if table := d.tables.Current(); table != nil {
		limits = table.Routing().Limits
	}
	limits.MaxHeaderBytes = cmp.Or(limits.MaxHeaderBytes, maxHeaderBytes)
	limits.HeaderTimeout = cmp.Or(limits.HeaderTimeout, headerTimeout)
	limits.IdleTimeout = cmp.Or(limits.IdleTimeout, idleTimeout)
	return limits
}

// RelayVars holds the metrics of a relay daemon at /debug/vars.
type RelayVars struct {
	Requests          relay.RequestStats   `json:"requests"`
	Pieces            relay.PieceStats     `json:"pieces"`
	TargetConnections wire.TransportCounts `json:"targetConnections"`
	Links             wire.LinkCounts      `json:"links"`
	Members           coord.MemberCounts   `json:"members"`
	// Share is this daemon's share of the limits that all daemons share.
	Share   relay.Share `json:"share"`
	Routing uint64      `json:"routing"`
	// Lag tells whether the configuration is behind that of other daemons, and why.
	Lag LagStats `json:"lag"`
	// Fleet is the revision of the list of targets, formatted as in the log.
	Fleet string `json:"fleet"`
	// Era counts how often the store was restored; 0 if the store does not report it.
	Era uint64 `json:"storeEra,omitempty"`
	// Evacuated lists the availability zones that receive no new work.
	Evacuated []string `json:"evacuated,omitempty"`
	// RoutingAge and TargetsAge are how long ago the store last confirmed the local copy of each table, to this daemon
	// or to one that told it, in milliseconds; -1 if it never did.
	RoutingAge int64 `json:"routingAgeMs"`
	TargetsAge int64 `json:"targetsAgeMs"`
	// Copies tells for each table of the store since when the local copy is unconfirmed, why, and whether this daemon reads the table.
	Copies map[string]CopyStats `json:"copies"`
	// LinkAuth is how daemons authenticate to each other: storeAddress (which keeps nobody out), key or certificates.
	LinkAuth linkAuth `json:"linkAuth"`
	// Crashes counts the remembered ends of targets under requests, and the requests affected.
	Crashes relay.CrashStats `json:"crashes"`
	// Origins counts the streams that callers took up again.
	Origins relay.OriginStats `json:"origins"`
	// Intake tells what this daemon did not take, since it could not serve it.
	Intake intakeStats `json:"intake"`
	// Cold counts what this daemon sent to cold targets, and how often others had taken the rest of a target's capacity.
	Cold relay.ColdStats `json:"cold"`
	// Paths tells which links to targets are lost, and what other daemons carry for this one; Tunnels counts what it carries for them.
	Paths   relay.PathStats   `json:"paths"`
	Tunnels wire.TunnelCounts `json:"tunnels"`
	// Placements counts what this daemon learned from the attempts that it placed for others.
	Placements relay.PlacementStats `json:"placements"`
	// Notices counts the targets whose responses say that they are leaving, name a limit or ask for a backoff.
	Notices relay.NoticeStats `json:"notices"`
	// Permits counts the permits that this daemon granted for targets that name a limit.
	Permits      relay.PermitStats `json:"permits"`
	OpenRequests int64             `json:"openRequests"`
	// Usage tells how much of the VM the daemon used a moment ago, and in the log since the previous status.
	Usage usage `json:"usage"`
	// Store counts the calls to the store by table and kind.
	Store           platform.CallCounts `json:"store"`
	LogLinesDropped int64               `json:"logLinesDropped"`
}

func (d *Relay) publishVars() {
	wire.PublishVars(d.settings.VM, func() any { return d.vars() })
}

func (d *Relay) vars() RelayVars {
	now, s := d.clock.Now(), d.standing()
	return RelayVars{
		Copies:     map[string]CopyStats{tableRouting: d.routingFreshness.stats(now, s), tableTargets: d.targetsFreshness.stats(now, s)},
		RoutingAge: ageMillis(&d.routingFreshness, now), TargetsAge: ageMillis(&d.targetsFreshness, now),
		Requests: d.server.Counts().Stats(), Pieces: d.pieces.Stats(), TargetConnections: d.transport.Counts(), Links: d.peers.links.Counts(),
		Members: d.peers.members.Counts(), Share: d.peers.Share(), Routing: d.tables.Version(), Lag: d.versionLag.stats(now), Fleet: d.fleet.Version().String(), Era: d.store.Era(), Evacuated: d.fleet.EvacuatedZones(), OpenRequests: d.server.OpenRequests(),
		LinkAuth: d.linkAuth(), Crashes: d.crashTracker.Stats(), Origins: d.origins.Stats(), Intake: d.intake.stats(), Cold: d.placer.ColdStats(), Placements: d.placer.PlacementStats(), Paths: d.paths.Stats(), Tunnels: d.peers.links.TunnelCounts(), Notices: d.fleet.NoticeStats(now), Permits: d.placer.PermitStats(), Store: d.store.Counts(), LogLinesDropped: d.sink.Dropped(),
		Usage: d.intake.meter.latest(),
	}
}

func ageMillis(v *tableFreshness, now time.Time) int64 {
	age, known := v.age(now)
	if !known {
		return -1
	}
	return age.Milliseconds()
}

func (d *Relay) logStatus() {
	v, now := d.vars(), d.clock.Now()
	d.log.Info("status", "usage", d.statusMeter.read(now, d.peers.linkDelay(now)), "requests", v.Requests, "pieces", v.Pieces, "connections", v.TargetConnections, "links", v.Links, "members", v.Members, "share", v.Share,
		"routing", v.Routing, "lag", v.Lag, "routingAgeMs", v.RoutingAge, "targets", v.Fleet, "targetsAgeMs", v.TargetsAge, "copies", v.Copies, "storeEra", v.Era, "evacuated", v.Evacuated, "linkAuth", v.LinkAuth, "crashes", v.Crashes, "origins", v.Origins, "intake", v.Intake, "cold", v.Cold, "placements", v.Placements, "paths", v.Paths, "tunnels", v.Tunnels, "notices", v.Notices, "permits", v.Permits, "open", v.OpenRequests, "store", v.Store, "dropped", v.LogLinesDropped)
}
