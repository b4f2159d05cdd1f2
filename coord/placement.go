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
	// PlacementLeases is the number of leases that the pools are distributed over.
	PlacementLeases = 4
	// OrderTimeout is the timeout of one order.
	OrderTimeout = 2 * time.Second
)

// TargetClient sends orders to targets and reads their state.
type TargetClient interface {
	Order(ctx context.Context, address netip.AddrPort, order proto.Order) error
	Load(ctx context.Context, address netip.AddrPort) (proto.Load, error)
}

// Placer decides which models each target of a pool should have.
type Placer interface {
	// Place returns the new models of the targets to change, a few targets at a time; current holds the models that the
	// targets report.
	Place(now time.Time, pool *proto.Pool, demand map[string]time.Duration, current map[string][]string) map[string][]string
}

// PlacementController sends the orders that place models on targets, for the pools whose lease this daemon holds.
type PlacementController struct {
	deps    Deps
	members *Members
	changes *ConfigState
	targets TargetClient
	placer  Placer
	leases  [PlacementLeases]*Lease

	mu     sync.Mutex
	demand map[string]map[string]time.Duration
	counts PlacementCounts
}

// PlacementCounts holds the number of leases held now and the totals since the start.
type PlacementCounts struct {
	Held    int   `json:"leasesHeld"`
	Sent    int64 `json:"sent"`
	Fenced  int64 `json:"fenced"`
	Failed  int64 `json:"failed"`
	Skipped int64 `json:"skipped"`
}

// NewPlacementController returns the placement controller of a daemon.
func NewPlacementController(deps Deps, node *Node, targets TargetClient, placer Placer, timing LeaseTiming) *PlacementController {
	pc := &PlacementController{deps: deps, members: node.Members, changes: node.Config, targets: targets, placer: placer, demand: map[string]map[string]time.Duration{}}
	for i := range pc.leases {
		pc.leases[i] = NewLease(deps.Platform, leaseName(i), deps.Self.VM, deps.Self.Incarnation, timing)
	}
	return pc
}

func leaseName(i int) string { return "placement-" + strconv.Itoa(i) }

func leaseIndex(pool string) int { return int(xxhash.Sum64String(pool) % PlacementLeases) }

func (pc *PlacementController) preferredHolder(i int) (proto.VM, bool) {
	vm, ok := firstRanked(leaseName(i), vmsOf(pc.members.Live(), anyDaemon))
	return vm, ok && vm == pc.deps.Self.VM
}

// Counts returns the current counts.
func (pc *PlacementController) Counts() PlacementCounts {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	c := pc.counts
	for _, lease := range pc.leases {
		if _, held := lease.Held(pc.deps.Clock.Now, 0); held {
			c.Held++
		}
	}
	return c
}

// AddDemand records the demand that daemons report by pool and model.
func (pc *PlacementController) AddDemand(rows []proto.DemandRow) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for _, row := range rows {
		if pc.demand[row.Pool] == nil {
			pc.demand[row.Pool] = map[string]time.Duration{}
		}
		pc.demand[row.Pool][row.Model] += row.Spent
	}
}

// ReportDemand sends this daemon's demand to the daemons that place models in the pools.
func (pc *PlacementController) ReportDemand(rows []proto.DemandRow) {
	batches := map[proto.VM][]proto.DemandRow{}
	for _, row := range rows {
		if vm, mine := pc.preferredHolder(leaseIndex(row.Pool)); mine {
			pc.AddDemand([]proto.DemandRow{row})
		} else if vm != "" {
			batches[vm] = append(batches[vm], row)
		}
	}
	for vm, batch := range batches {
		pc.deps.Peers.Send(vm, proto.Demand{Rows: batch})
	}
}

// Reconcile keeps the leases and sends the orders that are due. Pools with a single model need neither.
func (pc *PlacementController) Reconcile(ctx context.Context, stopping bool) {
	pools := pc.poolsByLease()
	for i, lease := range pc.leases {
		if len(pools[i]) == 0 {
			continue
		}
		_, mine := pc.preferredHolder(i)
		if err := lease.Step(ctx, pc.deps.Clock.Now, mine && !stopping); err != nil {
			pc.deps.Log.Debug("failed to update a lease", "lease", leaseName(i), "error", err)
		}
		for _, pool := range pools[i] {
			pc.placeModels(ctx, lease, i, pool)
		}
	}
}

func (pc *PlacementController) poolsByLease() [PlacementLeases][]*proto.Pool {
	var pools [PlacementLeases][]*proto.Pool
	for name, pool := range pc.changes.Snapshot().Pools {
		if len(pool.Models) > 1 {
			i := leaseIndex(name)
			pools[i] = append(pools[i], pool)
		}
	}
	return pools
}

func (pc *PlacementController) placeModels(ctx context.Context, lease *Lease, index int, pool *proto.Pool) {
	if _, held := lease.Held(pc.deps.Clock.Now, OrderTimeout); !held {
		return
	}
	current := pc.readModels(ctx, pool)
	pc.mu.Lock()
	demand := pc.demand[pool.Name]
	pc.demand[pool.Name] = nil
	pc.mu.Unlock()
	changes := pc.placer.Place(pc.deps.Clock.Now(), pool, demand, current)
	for i := range pool.Targets {
		if models, ok := changes[pool.Targets[i].Name]; ok {
			pc.sendOrder(ctx, lease, index, &pool.Targets[i], models)
		}
	}
}

// readModels reads the current models from the targets, because the previous lease holder may have sent orders since
// this daemon last read them.
func (pc *PlacementController) readModels(ctx context.Context, pool *proto.Pool) map[string][]string {
	current := map[string][]string{}
	for i := range pool.Targets {
		if load, err := pc.targets.Load(ctx, pool.Targets[i].Address); err == nil {
			current[pool.Targets[i].Name] = load.Models
		}
	}
	return current
}

// sendOrder checks the lease right before the order. A target that checks epochs rejects orders that a paused holder sends late. For a
// target that does not, the order must end before the lease does, and it only states the desired models.
func (pc *PlacementController) sendOrder(ctx context.Context, lease *Lease, index int, target *proto.Target, models []string) {
	epoch, held := lease.Held(pc.deps.Clock.Now, OrderTimeout)
	if !held {
		pc.updateCounts(func(c *PlacementCounts) { c.Skipped++ })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, OrderTimeout)
	defer cancel()
	err := pc.targets.Order(ctx, target.Address, proto.Order{Lease: leaseName(index), Epoch: uint64(epoch), Models: slices.Clone(models)})
	switch proto.KindOf(err) {
	case "":
		pc.updateCounts(func(c *PlacementCounts) { c.Sent++ })
		pc.deps.Log.Info("sent model order to target", "target", target.Name, "models", models, "epoch", epoch)
	case proto.KindDenied:
		pc.updateCounts(func(c *PlacementCounts) { c.Fenced++ })
	default:
		pc.updateCounts(func(c *PlacementCounts) { c.Failed++ })
	}
}

func (pc *PlacementController) updateCounts(fn func(*PlacementCounts)) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	fn(&pc.counts)
}
