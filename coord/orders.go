package coord

import (
	"context"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"emberlead/proto"
)

const (
	// PlacementLeases is the number of leases that the pools are shared out to.
	PlacementLeases = 4
	// OrderWait is the longest that one order takes.
	OrderWait = 2 * time.Second
)

// OrderTargets sends orders to targets and reads back what they have.
type OrderTargets interface {
	Order(ctx context.Context, address netip.AddrPort, order proto.Order) error
	Load(ctx context.Context, address netip.AddrPort) (proto.Load, error)
}

// Placer works out which models each target of a pool should have.
type Placer interface {
	// Place returns the targets to change, few at a time; the current models are what the targets report.
	Place(now time.Time, pool *proto.Pool, demand map[string]time.Duration, current map[string][]string) map[string][]string
}

// PlacementController gives orders for the pools whose lease this daemon holds.
type PlacementController struct {
	deps    Deps
	members *Members
	changes *ConfigState
	targets OrderTargets
	placer  Placer
	leases  [PlacementLeases]*Lease

	mu     sync.Mutex
	demand map[string]map[string]time.Duration
	counts PlacementCounts
}

// PlacementCounts are the totals since the start.
type PlacementCounts struct {
	Held    int   `json:"leasesHeld"`
	Sent    int64 `json:"sent"`
	Fenced  int64 `json:"fenced"`
	Failed  int64 `json:"failed"`
	Skipped int64 `json:"skipped"`
}

// NewPlacementController returns the order sender of a daemon.
func NewPlacementController(deps Deps, node *Node, targets OrderTargets, placer Placer, timing LeaseTiming) *PlacementController {
	o := &PlacementController{deps: deps, members: node.Members, changes: node.Config, targets: targets, placer: placer, demand: map[string]map[string]time.Duration{}}
	for i := range o.leases {
		o.leases[i] = NewLease(deps.Platform, leaseName(i), deps.Self.VM, deps.Self.Incarnation, timing)
	}
	return o
}

func leaseName(i int) string { return "placement-" + strconv.Itoa(i) }

func leaseOf(pool string) int { return int(xxhash.Sum64String(pool) % PlacementLeases) }

func (o *PlacementController) wants(i int) (proto.VM, bool) {
	vm, ok := first(leaseName(i), vmsOf(o.members.Live(), anyDaemon))
	return vm, ok && vm == o.deps.Self.VM
}

// Counts returns the totals.
func (o *PlacementController) Counts() PlacementCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.counts
	for _, lease := range o.leases {
		if _, held := lease.Held(o.deps.Clock.Now, 0); held {
			c.Held++
		}
	}
	return c
}

// AddDemand takes in what daemons spent by pool and model.
func (o *PlacementController) AddDemand(rows []proto.DemandRow) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		if o.demand[row.Pool] == nil {
			o.demand[row.Pool] = map[string]time.Duration{}
		}
		o.demand[row.Pool][row.Model] += row.Spent
	}
}

// ReportDemand sends what this daemon spent to the daemons that order the pools.
func (o *PlacementController) ReportDemand(rows []proto.DemandRow) {
	batches := map[proto.VM][]proto.DemandRow{}
	for _, row := range rows {
		if vm, mine := o.wants(leaseOf(row.Pool)); mine {
			o.AddDemand([]proto.DemandRow{row})
		} else if vm != "" {
			batches[vm] = append(batches[vm], row)
		}
	}
	for vm, batch := range batches {
		o.deps.Peers.Send(vm, proto.Demand{Rows: batch})
	}
}

// Reconcile keeps the leases and sends the orders that are due. Pools of a single model need neither.
func (o *PlacementController) Reconcile(ctx context.Context, stopping bool) {
	pools := o.placedPools()
	for i, lease := range o.leases {
		if len(pools[i]) == 0 {
			continue
		}
		_, mine := o.wants(i)
		if err := lease.Step(ctx, o.deps.Clock.Now, mine && !stopping); err != nil {
			o.deps.Log.Debug("a lease could not be kept", "lease", leaseName(i), "error", err)
		}
		for _, pool := range pools[i] {
			o.order(ctx, lease, i, pool)
		}
	}
}

func (o *PlacementController) placedPools() [PlacementLeases][]*proto.Pool {
	var pools [PlacementLeases][]*proto.Pool
	for name, pool := range o.changes.Snapshot().Pools {
		if len(pool.Models) > 1 {
			i := leaseOf(name)
			pools[i] = append(pools[i], pool)
		}
	}
	return pools
}

func (o *PlacementController) order(ctx context.Context, lease *Lease, index int, pool *proto.Pool) {
	if _, held := lease.Held(o.deps.Clock.Now, OrderWait); !held {
		return
	}
	current := o.readBack(ctx, pool)
	o.mu.Lock()
	demand := o.demand[pool.Name]
	o.demand[pool.Name] = nil
	o.mu.Unlock()
	changes := o.placer.Place(o.deps.Clock.Now(), pool, demand, current)
	for i := range pool.Targets {
		if models, ok := changes[pool.Targets[i].Name]; ok {
			o.send(ctx, lease, index, &pool.Targets[i], models)
		}
	}
}

// readBack asks the targets what they have, since the last holder may have ordered since this daemon last knew.
func (o *PlacementController) readBack(ctx context.Context, pool *proto.Pool) map[string][]string {
	current := map[string][]string{}
	for i := range pool.Targets {
		if load, err := o.targets.Load(ctx, pool.Targets[i].Address); err == nil {
			current[pool.Targets[i].Name] = load.Models
		}
	}
	return current
}

// send checks the lease right before the order. A target that checks epochs refuses what a paused holder sends
// later; for one that does not, the order must be over before the lease is, and says only what is wanted.
func (o *PlacementController) send(ctx context.Context, lease *Lease, index int, target *proto.Target, models []string) {
	epoch, held := lease.Held(o.deps.Clock.Now, OrderWait)
	if !held {
		o.count(func(c *PlacementCounts) { c.Skipped++ })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderWait)
	defer cancel()
	err := o.targets.Order(ctx, target.Address, proto.Order{Lease: leaseName(index), Epoch: uint64(epoch), Models: slices.Clone(models)})
	switch proto.KindOf(err) {
	case "":
		o.count(func(c *PlacementCounts) { c.Sent++ })
		o.deps.Log.Info("ordered models", "target", target.Name, "models", models, "epoch", epoch)
	case proto.KindDenied:
		o.count(func(c *PlacementCounts) { c.Fenced++ })
	default:
		o.count(func(c *PlacementCounts) { c.Failed++ })
	}
}

func (o *PlacementController) count(fn func(*PlacementCounts)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	fn(&o.counts)
}
