package coord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"emberlead/fakes"
	"emberlead/proto"
)

// leaseSim simulates daemons with different clocks, writes that are slow or lose their answer, and holders that pause.
type leaseSim struct {
	random  *rand.Rand
	now     time.Time
	store   *fakes.Store
	leases  []*Lease
	offsets []time.Duration
	// epoch is the highest epoch that a target that checks epochs has seen, and orders counts the orders that it
	// accepted.
	epoch      proto.Epoch
	holders    map[proto.Epoch]int
	orders     int
	violations []string
}

// slowTable makes every call take time, during which the caller may be paused.
type slowTable struct {
	Table
	sim *leaseSim
}

func (t slowTable) Read(ctx context.Context, key string) (proto.Row, error) {
	t.sim.passTime()
	defer t.sim.passTime()
	return t.Table.Read(ctx, key)
}

func (t slowTable) Transact(ctx context.Context, tx proto.Transaction) error {
	t.sim.passTime()
	defer t.sim.passTime()
	return t.Table.Transact(ctx, tx)
}

func (s *leaseSim) passTime() {
	d := time.Duration(s.random.IntN(200)) * time.Millisecond
	if s.random.IntN(40) == 0 {
		d = time.Duration(s.random.IntN(40)) * time.Second
	}
	s.now = s.now.Add(d)
}

func newLeaseSim(seed uint64) *leaseSim {
	s := &leaseSim{random: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), store: fakes.NewStore(), holders: map[proto.Epoch]int{}}
	for i := range 3 {
		vm := proto.VM(fmt.Sprintf("vm-%d", i))
		s.leases = append(s.leases, NewLease(slowTable{s.store.ClientFor(string(vm)), s}, "x", vm, 1, DefaultLeaseTiming()))
		s.offsets = append(s.offsets, time.Duration(s.random.IntN(3600))*time.Second)
	}
	return s
}

func (s *leaseSim) clock(i int) func() time.Time {
	return func() time.Time { return s.now.Add(s.offsets[i]) }
}

func (s *leaseSim) step() {
	i := s.random.IntN(len(s.leases))
	s.store.SetDown(s.random.IntN(8) == 0)
	if s.random.IntN(6) == 0 {
		s.store.LoseResponses(1)
	}
	_ = s.leases[i].Step(context.Background(), s.clock(i), s.random.IntN(5) > 0)
	s.store.LoseResponses(0)
	s.check()
	s.order(i)
	s.passTime()
}

// check asks all daemons at one instant: at most one may hold the lease.
func (s *leaseSim) check() {
	holders := 0
	for i, lease := range s.leases {
		if _, held := lease.Held(s.clock(i), 0); held {
			holders++
		}
	}
	if holders > 1 {
		s.violations = append(s.violations, fmt.Sprintf("%d daemons hold the lease", holders))
	}
}

// order sends an order that may arrive late; a target that checks epochs must never see an older one.
func (s *leaseSim) order(i int) {
	epoch, held := s.leases[i].Held(s.clock(i), OrderTimeout)
	if !held {
		return
	}
	if epoch < s.epoch {
		s.violations = append(s.violations, fmt.Sprintf("an order of epoch %d was accepted after one of epoch %d", epoch, s.epoch))
	}
	if other, ok := s.holders[epoch]; ok && other != i {
		s.violations = append(s.violations, fmt.Sprintf("epoch %d has two holders", epoch))
	}
	s.holders[epoch] = i
	s.epoch = epoch
	s.orders++
}

func TestLeaseHasOneHolder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = histories(300)
	orders := 0
	properties := gopter.NewProperties(parameters)
	properties.Property("never two holders, epochs never decrease", prop.ForAll(func(seed uint64) string {
		s := newLeaseSim(seed)
		for range 300 {
			s.step()
		}
		orders += s.orders
		if len(s.violations) > 0 {
			return s.violations[0]
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
	if orders < 1000 {
		t.Fatalf("only %d orders were sent", orders)
	}
}
