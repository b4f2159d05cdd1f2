package demo

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"emberlead/coord"
	"emberlead/fakes"
	"emberlead/proto"
	"emberlead/serve"
	"emberlead/wire"
)

const (
	readyTimeout         = 10 * time.Second
	balancerPollInterval = 200 * time.Millisecond
)

var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

// entryDaemon is one daemon of the deployment, with the gate that can suspend it.
type entryDaemon struct {
	vm     proto.VM
	daemon *serve.Daemon
	gate   *gate
	cancel context.CancelFunc
	done   chan struct{}
	dead   atomic.Bool
}

// gate lets events pass, or blocks them for a time or for good.
type gate struct {
	mu sync.RWMutex
}

func (g *gate) wait() {
	g.mu.RLock()
	defer g.mu.RUnlock()
}

func (g *gate) closeFor(duration time.Duration) {
	g.mu.Lock()
	time.AfterFunc(duration, g.mu.Unlock)
}

// deployment is a deployment of daemons with the fakes that they depend on.
type deployment struct {
	log      hclog.Logger
	file     *proto.File
	targets  *fakes.Targets
	store    *fakes.Store
	platform *fakes.Server
	entries  []*entryDaemon
	zones    []proto.Zone
}

func newDeployment(file *proto.File, entries int, seed uint64, log hclog.Logger) (*deployment, error) {
	targets, err := fakes.StartTargets(file, seed, true)
	if err != nil {
		return nil, err
	}
	d := &deployment{log: log, file: file, targets: targets, store: fakes.NewStore()}
	d.zones = zonesOf(file)
	d.platform, err = fakes.Serve(anyLoopbackPort, fakes.NewPlatform(d.store).Handler())
	if err != nil {
		d.close()
		return nil, err
	}
	for i := range entries {
		if err := d.addEntry(i); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

func zonesOf(file *proto.File) []proto.Zone {
	var zones []proto.Zone
	seen := map[proto.Zone]bool{}
	for _, pool := range file.Pools {
		for _, target := range pool.Targets {
			if !seen[target.Zone] {
				seen[target.Zone] = true
				zones = append(zones, target.Zone)
			}
		}
	}
	return zones
}

func (d *deployment) addEntry(i int) error {
	e := &entryDaemon{vm: proto.VM(fmt.Sprintf("entry-%d", i+1)), gate: &gate{}, done: make(chan struct{})}
	s := serve.DefaultSettings()
	s.VM, s.Zone = e.vm, d.zones[i%len(d.zones)]
	s.Callers.Listen, s.Peers.Listen, s.Operators.Listen = anyLoopbackPort, anyLoopbackPort, anyLoopbackPort
	s.Peers.SharedKey = "demo"
	s.Platform.Address = "http://" + d.platform.Address.String()
	if err := s.Validate(); err != nil {
		return err
	}
	daemon, err := serve.New(s, serve.WithLog(d.log.With("vm", e.vm)), serve.WithGate(e.gate.wait))
	if err != nil {
		return err
	}
	e.daemon = daemon
	d.store.SetVM(proto.VMEntry{VM: e.vm, Zone: s.Zone, Peer: daemon.PeerAddr(), Entry: true})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go func() {
		defer close(e.done)
		if err := daemon.Run(ctx); err != nil {
			d.log.Debug("daemon ended", "vm", e.vm, "error", err)
		}
	}()
	d.entries = append(d.entries, e)
	return nil
}

// waitReady applies the first configuration and waits until it is in force on every daemon and the replicas of all claims are ready.
func (d *deployment) waitReady(ctx context.Context) error {
	body, err := d.targets.EncodeFile()
	if err != nil {
		return err
	}
	firstNode := d.entries[0].daemon.Node()
	applied, err := firstNode.ConfigStore.Apply(ctx, firstNode.Config, coord.ApplyRequest{Body: body, By: "demo"})
	if err != nil {
		return err
	}
	if len(applied.Faults) > 0 {
		return newError("apply", proto.KindInvalid, "%v", applied.Faults)
	}
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if d.allReady(applied.Generation) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return newError("start", proto.KindUnavailable, "the daemons were not ready within %s", readyTimeout)
}

func (d *deployment) allReady(generation proto.Generation) bool {
	for _, e := range d.entries {
		ok, _ := e.daemon.Ready()
		claims := e.daemon.Node().Replica.Counts()
		members := e.daemon.Node().Members.Counts()
		if !ok || e.daemon.Node().Config.Generation() < generation || claims.Epoch == 0 || claims.Ready < claims.Slots || members.Known < len(d.entries) {
			return false
		}
	}
	return true
}

// crash stops a daemon as a crash would: it hands nothing over and all its connections break.
func (d *deployment) crash(e *entryDaemon) {
	e.dead.Store(true)
	e.gate.mu.Lock()
	e.daemon.Kill()
}

func (d *deployment) close() {
	for _, e := range d.entries {
		if !e.dead.Load() {
			e.cancel()
		}
	}
	for _, e := range d.entries {
		if !e.dead.Load() {
			<-e.done
		}
	}
	if d.platform != nil {
		d.platform.Close()
	}
	d.targets.Close()
}

// balancer stands in for the platform's load balancer: it sends to the daemons whose /readyz succeeds, round robin.
type balancer struct {
	deployment *deployment
	mu         sync.Mutex
	ready      []netip.AddrPort
	next       int
}

func newBalancer(d *deployment) *balancer {
	b := &balancer{deployment: d}
	for _, e := range d.entries {
		b.ready = append(b.ready, e.daemon.CallerAddr())
	}
	return b
}

func (b *balancer) nextAddr() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) pollLoop(ctx context.Context) {
	client := wire.NewAnswerClient(&http.Transport{})
	client.Timeout = balancerPollInterval
	ticker := time.NewTicker(balancerPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.poll(client)
		}
	}
}

func (b *balancer) poll(client *http.Client) {
	var ready []netip.AddrPort
	for _, e := range b.deployment.entries {
		resp, err := client.Get("http://" + e.daemon.CallerAddr().String() + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready = append(ready, e.daemon.CallerAddr())
		}
	}
	if len(ready) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}
