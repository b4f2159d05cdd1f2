package coord

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"

	"emberlead/fakes"
	"emberlead/proto"
)

// memoryTargets holds fake targets without sockets.
type memoryTargets struct {
	targets map[netip.AddrPort]*fakes.Target
	clock   clockwork.Clock
}

func (m memoryTargets) Order(_ context.Context, address netip.AddrPort, order proto.Order) error {
	if !m.targets[address].ApplyOrder(order) {
		return newError("order", proto.KindDenied, "the epoch is older than one seen")
	}
	return nil
}

func (m memoryTargets) Load(_ context.Context, address netip.AddrPort) (proto.Load, error) {
	return m.targets[address].Load(m.clock.Now()), nil
}

// firstModelPlacer gives every target the first model of its pool.
type firstModelPlacer struct{}

func (firstModelPlacer) Place(_ time.Time, pool *proto.Pool, _ map[string]time.Duration, current map[string][]string) map[string][]string {
	changes := map[string][]string{}
	for target := range current {
		changes[target] = pool.Models[:1]
	}
	return changes
}

// TestPausedHolderIsFenced pauses a holder in the middle of sending orders. A target that has seen an order of its
// successor must reject its late orders, and the holder must send none itself once its lease has expired.
func TestPausedHolderIsFenced(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	store := fakes.NewStore()
	pool := proto.Pool{Name: "generate", Kind: proto.PoolEngine, Models: []string{"small", "large"}}
	spec := proto.Target{Name: "t", Address: netip.MustParseAddrPort("127.0.0.1:1"), ChecksOrders: true}
	target := fakes.NewTarget(spec, &pool, 1)
	targets := memoryTargets{targets: map[netip.AddrPort]*fakes.Target{spec.Address: target}, clock: clock}
	holder := func(vm proto.VM) (*PlacementController, *Lease) {
		deps := Deps{Self: proto.Alive{VM: vm, Zone: "r/a", Incarnation: 1}, Clock: clock, Log: hclog.NewNullLogger(), Platform: store.ClientFor(string(vm)), Peers: meshPeers{sim: &meshSim{}, self: vm}}
		o := NewPlacementController(deps, NewNode(deps), targets, firstModelPlacer{}, DefaultLeaseTiming())
		return o, o.leases[0]
	}
	ctx := context.Background()
	first, firstLease := holder("first")
	second, secondLease := holder("second")
	step := func(l *Lease) {
		if err := l.Step(ctx, clock.Now, true); err != nil {
			t.Fatal(err)
		}
	}
	step(firstLease)
	first.sendOrder(ctx, firstLease, 0, &spec, []string{"small"})
	if got := first.Counts(); got.Sent != 1 || got.Held != 1 {
		t.Fatalf("first %+v", got)
	}
	// The first holder is paused. The second sees the row unchanged for the TTL and its margin, and then takes over.
	step(secondLease)
	clock.Advance(10 * time.Second)
	step(secondLease)
	if second.Counts().Held != 0 {
		t.Fatal("the lease was taken over before it expired")
	}
	clock.Advance(10 * time.Second)
	step(secondLease)
	second.sendOrder(ctx, secondLease, 0, &spec, []string{"large"})
	if got := second.Counts(); got.Sent != 1 {
		t.Fatalf("second %+v", got)
	}
	// The first holder resumes. Its lease has expired, so it sends nothing, and the target rejects the order that was
	// in flight.
	first.sendOrder(ctx, firstLease, 0, &spec, []string{"small"})
	if got := first.Counts(); got.Sent != 1 || got.Skipped != 1 {
		t.Fatalf("first after its pause %+v", got)
	}
	if err := targets.Order(ctx, spec.Address, proto.Order{Lease: leaseName(0), Epoch: 1, Models: []string{"small"}}); proto.KindOf(err) != proto.KindDenied {
		t.Fatalf("a delayed order ended with %v", err)
	}
	if models := target.Load(clock.Now()).Models; len(models) != 1 || models[0] != "large" {
		t.Fatalf("the target has %v", models)
	}
}
